// The main program of each case: case-N RECORD. Exit code 1 if the rule was
// broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
// trouble out.
#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "review/standin-2/case.hpp"

namespace review {

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::strcmp(value, "0") != 0;
}

int Verdict(World* world, bool broken, const std::string& what) {
  world->Note((broken ? "BROKEN: " : "held: ") + what);
  std::printf("%s%s\n", broken ? "BROKEN: " : "held: ", what.c_str());
  return broken ? 1 : 0;
}

void AnswerWhole(Server* server, const Server::JobPtr& job) {
  job->reply(platform::standin::PlainAnswer(200, Headers(job->request), "done"),
             Ending::kKeep);
  server->Done(job);
}

}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  signal(SIGPIPE, SIG_IGN);
  review::World world(argv[1]);
  return review::RunCase(&world);
}
