#pragma once

#include "review/standin-2/world.hpp"

namespace review {

bool Trouble();
int  Verdict(World* world, bool broken, const std::string& what);
void AnswerWhole(Server* server, const Server::JobPtr& job);

int RunDrain(World* world);
int RunAttempts(World* world);
int RunBudget(World* world);
int RunLimits(World* world);
int RunMemory(World* world);

}  // namespace review
