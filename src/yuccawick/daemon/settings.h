// Settings of the daemons: command-line flags and environment variables.
//
// Every flag --some_name can also be set by the environment variable
// YUCCAWICK_SOME_NAME; the command line takes precedence. At startup all errors
// are printed before the process exits; --check only validates.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace yuccawick::daemon {

enum class SettingFault : std::uint8_t {
  kUnknownVariable,  // YUCCAWICK_... without a matching flag
  kBadValue,         // not of the flag's type
  kMissing,          // required but empty
  kOutOfRange,       // outside its valid range
  kNotAName,         // not [a-z0-9-]{1,63}
  kNotAnEndpoint,    // not host:port
  kContradiction,    // conflicts with another setting
};
std::string Name(SettingFault fault);

struct SettingError {
  SettingFault fault;
  std::string  setting;  // flag name
  std::string  detail;   // expected value or reason
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

// Sets flags that are not on the command line from `environment`, a list of
// NAME=value strings.
std::vector<SettingError> ApplyEnvironment(
    const std::vector<std::string>& environment);

// Checks the current value of each flag against its rule.
std::vector<SettingError> CheckFlags(const std::vector<SettingRule>& rules);

// Parses the command line, applies the environment and runs all checks,
// including `extra`. Prints every error to standard error. Returns true if the
// daemon may start; otherwise `*exit` is the exit code (0 after --check without
// errors).
using ExtraCheck = std::function<std::vector<SettingError>()>;
bool LoadSettings(int* argc, char*** argv,
                  const std::vector<SettingRule>& rules,
                  const ExtraCheck& extra, int* exit);

}  // namespace yuccawick::daemon
