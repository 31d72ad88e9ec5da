// yw: the operator's command-line tool.
//
// Exit codes: 0 success, 1 refused (reason on standard error), 2 usage error.
#include <gflags/gflags.h>

#include <array>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include "yuccawick/backends/log_client.h"
#include "yuccawick/cli/contract_file.h"
#include "yuccawick/cli/explain.h"
#include "yuccawick/cli/operator.h"
#include "yuccawick/daemon/node_shell.h"
#include "yuccawick/daemon/settings.h"

DEFINE_string(log_service, "", "host:port of the platform's log");
DEFINE_int64(amends, -2, "version to amend; default: the version in force");

namespace yuccawick::cli {
namespace {

constexpr int          kRefused = 1;
constexpr int          kUsage = 2;
constexpr std::int64_t kNoAmends = -2;
constexpr const char*  kHelp = R"(usage: yw [--log_service=HOST:PORT] COMMAND
  contract check FILE     check a contract file
  contract publish FILE   publish it (--amends=VERSION: only over VERSION)
  contract show [NAME]    show contracts in force and their versions
  members                 list nodes with zones, replicas and claims
  budget NAME             show how much of a customer's totals is granted
  drain VM                drain the agent on VM: finish, hand over, stop
  explain ID [FILE]       show the timeline of a request or program from gateway
                          logs in FILE or on standard input
The environment variable YUCCAWICK_LOG_SERVICE can replace --log_service.
)";

class ClientLog : public LogAccess {
 public:
  explicit ClientLog(const backends::LogClient& client) : m_client(client) {}
  core::AppendDone Append(const core::AppendRecords& command) override {
    return m_client.Append(command);
  }
  core::ReadDone Read(const core::ReadRecords& command) override {
    return m_client.Read(command);
  }

 private:
  const backends::LogClient& m_client;
};

int PrintFailure(const core::Failure& failure) {
  std::cerr << "refused: " << core::Name(failure.reason)
            << ", ran: " << core::Name(failure.ran)
            << ", retry after ms: " << failure.retry_after << "\n";
  return kRefused;
}

ContractResult ReadFile(const std::string& path) {
  std::ifstream      in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return ParseContract(text.str());
}

int PrintErrors(const std::vector<FileError>& errors) {
  for (const auto& error : errors) {
    std::cerr << Name(error.fault) << " " << error.key
              << (error.key.empty() ? "" : " ") << error.detail << "\n";
  }
  return kRefused;
}

using Arguments = std::vector<std::string>;

int CheckContract(Operator& /*op*/, const Arguments& arguments) {
  const auto contract = ReadFile(arguments.at(0));
  if (!contract) return PrintErrors(contract.error());
  std::cout << "contract of " << contract->customer << " is valid\n";
  return 0;
}

int PublishContract(Operator& op, const Arguments& arguments) {
  const auto contract = ReadFile(arguments.at(0));
  if (!contract) return PrintErrors(contract.error());
  const core::Offset amends = FLAGS_amends;
  const auto         published =
      op.Publish(*contract, amends == kNoAmends ? nullptr : &amends);
  if (!published) return PrintFailure(published.error());
  std::cout << contract->customer << " in force as version "
            << published->version << "\n";
  return 0;
}

int ShowContracts(Operator& op, const Arguments& arguments) {
  const auto control = op.ReadControl();
  if (!control) return PrintFailure(control.error());
  for (const auto& [customer, in_force] : control->contracts()) {
    if (!arguments.empty() && arguments[0] != customer) continue;
    std::cout << "version " << in_force.version << "\n"
              << FormatContract(in_force.contract) << "\n";
  }
  return 0;
}

std::string NamesOf(const std::vector<core::NodeRef>& nodes) {
  std::string names;
  for (const auto& node : nodes) names += (names.empty() ? "" : ",") + node.vm;
  return names;
}

int ShowMembers(Operator& op, const Arguments& /*arguments*/) {
  const auto control = op.ReadControl();
  if (!control) return PrintFailure(control.error());
  for (const auto& [node, member] : control->members()) {
    std::cout << core::ToString(node) << " " << member.join.zone << " "
              << core::Name(member.join.kind) << " " << member.join.target
              << " replicas=" << NamesOf(member.replicas)
              << (member.leaving ? " leaving" : "");
    if (member.IsClaimed())
      std::cout << " claimed-by=" << core::ToString(member.adopter);
    std::cout << "\n";
  }
  return 0;
}

int ShowBudget(Operator& op, const Arguments& arguments) {
  const auto ledger = op.ReadGrants(arguments.at(0));
  if (!ledger) return PrintFailure(ledger.error());
  for (const auto resource :
       {core::Resource::kTokens, core::Resource::kPrograms}) {
    const auto& state = ledger->state(resource);
    std::cout << core::Name(resource) << ": granted " << state.granted << " of "
              << state.total << " (period " << state.period << ")\n";
  }
  return 0;
}

int DrainNode(Operator& op, const Arguments& arguments) {
  const auto drained = op.Drain(arguments.at(0));
  if (!drained) return PrintFailure(drained.error());
  std::cout << arguments[0] << " is leaving\n";
  return 0;
}

int ExplainId(Operator& /*op*/, const Arguments& arguments) {
  std::ifstream file;
  if (arguments.size() > 1) file.open(arguments[1]);
  const auto timeline =
      Explain(arguments.size() > 1 ? file : std::cin, arguments.at(0));
  if (!timeline) {
    std::cerr << Name(timeline.error()) << " " << arguments[0] << "\n";
    return kRefused;
  }
  for (const std::string& line : *timeline) std::cout << line << "\n";
  return 0;
}

struct Subcommand {
  const char* group;
  const char* name;  // empty: the command is the group alone
  std::size_t min_arguments;
  std::size_t max_arguments;
  int (*run)(Operator&, const Arguments&);
};
constexpr std::array<Subcommand, 7> kCommands{{
    {"contract", "check", 1, 1, CheckContract},
    {"contract", "publish", 1, 1, PublishContract},
    {"contract", "show", 0, 1, ShowContracts},
    {"members", "", 0, 0, ShowMembers},
    {"budget", "", 1, 1, ShowBudget},
    {"drain", "", 1, 1, DrainNode},
    {"explain", "", 1, 2, ExplainId},
}};

const Subcommand* FindCommand(const Arguments& words, Arguments* arguments) {
  for (const auto& command : kCommands) {
    const std::size_t used = *command.name == '\0' ? 1 : 2;
    if (words.size() < used || words[0] != command.group) continue;
    if (used == 2 && words[1] != command.name) continue;
    *arguments = Arguments(words.begin() + static_cast<std::ptrdiff_t>(used),
                           words.end());
    if (arguments->size() < command.min_arguments ||
        arguments->size() > command.max_arguments)
      return nullptr;
    return &command;
  }
  return nullptr;
}

}  // namespace
}  // namespace yuccawick::cli

int main(int argc, char** argv) {
  namespace cli = yuccawick::cli;
  gflags::SetUsageMessage(cli::kHelp);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::vector<std::string> environment;
  if (const char* log = std::getenv("YUCCAWICK_LOG_SERVICE"); log != nullptr)
    environment.push_back(std::string("YUCCAWICK_LOG_SERVICE=") + log);
  yuccawick::daemon::ApplyEnvironment(environment);
  const cli::Arguments   words(argv + 1, argv + argc);
  cli::Arguments         arguments;
  const cli::Subcommand* command = cli::FindCommand(words, &arguments);
  const auto endpoint = yuccawick::backends::ParseEndpoint(FLAGS_log_service);
  const bool offline =
      command != nullptr &&
      (command->run == cli::CheckContract || command->run == cli::ExplainId);
  if (command == nullptr || (!endpoint && !offline)) {
    std::cerr << cli::kHelp;
    return cli::kUsage;
  }
  const yuccawick::backends::LogClient client(
      endpoint.value_or(yuccawick::backends::Endpoint{}), {});
  cli::ClientLog log(client);
  cli::Operator  op(log,
                    std::to_string(yuccawick::daemon::GenerateIncarnation()));
  return command->run(op, arguments);
}
