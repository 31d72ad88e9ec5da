// Settings of the daemons: flags and environment variables, checked in whole.
//
// Every flag --some-name has the environment variable YUCCAWICK_SOME_NAME; the
// command line goes first. At start every fault is listed before the process
// refuses to run; --check does only that.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace yuccawick::daemon {

enum class SettingFault : std::uint8_t {
  kUnknownVariable,  // YUCCAWICK_... that names no flag
  kBadValue,         // not of the flag's type
  kMissing,          // required and empty
  kOutOfRange,       // number outside its bounds
  kNotAName,         // not [a-z0-9-]{1,63}
  kNotAnEndpoint,    // not host:port
  kContradiction,    // two settings that exclude each other
};
std::string Name(SettingFault fault);

struct SettingError {
  SettingFault fault;
  std::string  setting;  // flag name
  std::string  detail;   // what would be right
};

enum class SettingKind : std::uint8_t { kName, kEndpoint, kNumber, kChoice };

struct SettingRule {
  std::string              flag;
  SettingKind              kind;
  std::int64_t             low = 0;   // of a number
  std::int64_t             high = 0;  // of a number
  bool                     required = true;
  std::vector<std::string> choices{};  // of a choice
};

// Takes environment variables into flags that the command line left alone;
// `environment` is a list of NAME=value.
std::vector<SettingError> ApplyEnvironment(
    const std::vector<std::string>& environment);

// Checks the present value of each flag against its rule.
std::vector<SettingError> CheckFlags(const std::vector<SettingRule>& rules);

// Parses, applies the environment, checks by the rules and by `extra`. Lists
// faults on standard error. Returns true if the daemon may start; sets `*exit`
// to the code to leave with otherwise (0 after --check without faults).
using ExtraCheck = std::function<std::vector<SettingError>()>;
bool LoadSettings(int* argc, char*** argv,
                  const std::vector<SettingRule>& rules,
                  const ExtraCheck& extra, int* exit);

}  // namespace yuccawick::daemon
