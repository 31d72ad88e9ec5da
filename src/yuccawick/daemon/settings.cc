#include "yuccawick/daemon/settings.h"

#include <gflags/gflags.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <iostream>

#include "yuccawick/backends/http.h"
#include "yuccawick/core/types.h"

DEFINE_bool(check, false, "check the settings and exit");

namespace yuccawick::daemon {
namespace {

constexpr std::string_view kPrefix = "YUCCAWICK_";
constexpr int              kExitBadSettings = 2;

constexpr std::array<std::string_view, 7> kFaultNames{
    "unknown_variable", "bad_value",       "missing",      "out_of_range",
    "not_a_name",       "not_an_endpoint", "contradiction"};

std::string FlagOfVariable(std::string_view variable) {
  std::string flag(variable.substr(kPrefix.size()));
  std::transform(flag.begin(), flag.end(), flag.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return flag;
}

std::string ValueOf(const std::string& flag) {
  std::string value;
  gflags::GetCommandLineOption(flag.c_str(), &value);
  return value;
}

using Check = void (*)(const SettingRule&, const std::string&,
                       std::vector<SettingError>*);

void CheckName(const SettingRule& rule, const std::string& value,
               std::vector<SettingError>* errors) {
  if (!core::IsValidName(value))
    errors->push_back(
        {SettingFault::kNotAName, rule.flag, "want [a-z0-9-], 1 to 63 long"});
}

void CheckEndpoint(const SettingRule& rule, const std::string& value,
                   std::vector<SettingError>* errors) {
  if (!backends::ParseEndpoint(value))
    errors->push_back({SettingFault::kNotAnEndpoint, rule.flag,
                       "want host:port, have " + value});
}

void CheckNumber(const SettingRule& rule, const std::string& value,
                 std::vector<SettingError>* errors) {
  std::int64_t number = 0;
  const auto [end, error] =
      std::from_chars(value.data(), value.data() + value.size(), number);
  const bool is_number =
      error == std::errc() && end == value.data() + value.size();
  if (is_number && number >= rule.low && number <= rule.high) return;
  errors->push_back({SettingFault::kOutOfRange, rule.flag,
                     "want " + std::to_string(rule.low) + " to " +
                         std::to_string(rule.high) + ", have " + value});
}

void CheckChoice(const SettingRule& rule, const std::string& value,
                 std::vector<SettingError>* errors) {
  const auto& choices = rule.choices;
  if (std::find(choices.begin(), choices.end(), value) != choices.end()) return;
  std::string expected = "want one of";
  for (const auto& choice : choices) expected += " " + choice;
  errors->push_back({SettingFault::kBadValue, rule.flag, expected});
}

constexpr std::array<Check, 4> kChecks{CheckName, CheckEndpoint, CheckNumber,
                                       CheckChoice};

std::vector<std::string> ProcessEnvironment() {
  std::vector<std::string> environment;
  for (char** entry = environ; *entry != nullptr; ++entry)
    environment.emplace_back(*entry);
  return environment;
}

}  // namespace

std::string Name(SettingFault fault) {
  return std::string(kFaultNames[static_cast<std::size_t>(fault)]);
}

std::vector<SettingError> ApplyEnvironment(
    const std::vector<std::string>& environment) {
  std::vector<SettingError> errors;
  for (const auto& entry : environment) {
    const auto equals = entry.find('=');
    if (!entry.starts_with(kPrefix) || equals == std::string::npos) continue;
    const std::string           flag = FlagOfVariable(entry.substr(0, equals));
    gflags::CommandLineFlagInfo info;
    if (!gflags::GetCommandLineFlagInfo(flag.c_str(), &info)) {
      errors.push_back({SettingFault::kUnknownVariable, entry.substr(0, equals),
                        "no such setting"});
      continue;
    }
    if (!info.is_default) continue;  // the command line takes precedence
    const std::string value = entry.substr(equals + 1);
    if (gflags::SetCommandLineOption(flag.c_str(), value.c_str()).empty())
      errors.push_back({SettingFault::kBadValue, flag, "have " + value});
  }
  return errors;
}

std::vector<SettingError> CheckFlags(const std::vector<SettingRule>& rules) {
  std::vector<SettingError> errors;
  for (const auto& rule : rules) {
    const std::string value = ValueOf(rule.flag);
    if (value.empty()) {
      if (rule.required)
        errors.push_back({SettingFault::kMissing, rule.flag, "required"});
      continue;
    }
    kChecks[static_cast<std::size_t>(rule.kind)](rule, value, &errors);
  }
  return errors;
}

bool LoadSettings(int* argc, char*** argv,
                  const std::vector<SettingRule>& rules,
                  const ExtraCheck& extra, int* exit) {
  // gflags prints unknown and malformed flags and exits.
  gflags::ParseCommandLineFlags(argc, argv, true);
  auto       errors = ApplyEnvironment(ProcessEnvironment());
  const auto add = [&errors](const std::vector<SettingError>& more) {
    errors.insert(errors.end(), more.begin(), more.end());
  };
  add(CheckFlags(rules));
  add(extra());
  if (*argc > 1) {
    errors.push_back({SettingFault::kBadValue, (*argv)[1],
                      "settings are written --name=value"});
  }
  for (const auto& error : errors) {
    std::cerr << "setting " << error.setting << ": " << Name(error.fault)
              << ": " << error.detail << "\n";
  }
  if (!errors.empty()) {
    *exit = kExitBadSettings;
    return false;
  }
  if (!FLAGS_check) return true;
  std::cerr << "settings are valid\n";
  *exit = 0;
  return false;
}

}  // namespace yuccawick::daemon
