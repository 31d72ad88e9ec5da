#pragma once

#include "review/standin-2/world.hpp"

namespace review {

bool Trouble();
int  Verdict(World* world, bool broken, const std::string& what);
void AnswerWhole(Server* server, const Server::JobPtr& job);

// What a case does; each has its own in review/N/case.cpp.
int RunCase(World* world);

}  // namespace review
