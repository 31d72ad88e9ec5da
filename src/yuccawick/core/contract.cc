#include "yuccawick/core/contract.h"

#include <array>
#include <set>

namespace yuccawick::core {
namespace {

constexpr Duration     kSecond = 1000;
constexpr Duration     kHour = 3600 * kSecond;
constexpr Duration     kDay = 24 * kHour;
constexpr std::int64_t kMaxPrograms = 1'000'000;
constexpr std::int64_t kMaxTurns = 10'000;
constexpr std::int64_t kMaxPriority = 9;
constexpr std::int64_t kMaxWeight = 100;
constexpr std::int64_t kYearDays = 366;
constexpr std::int64_t kWeekDays = 7;

constexpr std::array<std::string_view, 14> kFaultNames{
    "bad_customer",   "max_programs",      "max_turns",
    "program_budget", "total_budget",      "period",
    "idle_timeout",   "cache_weight",      "no_class",
    "bad_class_name", "duplicate_class",   "priority",
    "max_wait",       "wait_above_timeout"};

bool Within(std::int64_t value, std::int64_t low, std::int64_t high) {
  return value >= low && value <= high;
}

void ValidateClasses(const Contract&             contract,
                     std::vector<ContractFault>* faults) {
  if (contract.classes.empty()) faults->push_back(ContractFault::kNoClass);
  std::set<std::string_view> names;
  for (const auto& c : contract.classes) {
    if (!IsValidName(c.name)) faults->push_back(ContractFault::kBadClassName);
    if (!names.insert(c.name).second)
      faults->push_back(ContractFault::kDuplicateClass);
    if (!Within(c.priority, 0, kMaxPriority))
      faults->push_back(ContractFault::kPriority);
    if (!Within(c.max_wait, 0, kDay))
      faults->push_back(ContractFault::kMaxWait);
    if (c.max_wait > contract.idle_timeout)
      faults->push_back(ContractFault::kWaitAboveTimeout);
  }
}

}  // namespace

std::string_view Name(ContractFault fault) {
  return kFaultNames[static_cast<std::size_t>(fault)];
}

std::vector<ContractFault> Validate(const Contract& contract) {
  std::vector<ContractFault> faults;
  const auto                 require = [&faults](bool ok, ContractFault fault) {
    if (!ok) faults.push_back(fault);
  };
  require(IsValidName(contract.customer), ContractFault::kBadCustomer);
  require(Within(contract.max_programs, 1, kMaxPrograms),
          ContractFault::kMaxPrograms);
  require(Within(contract.max_turns, 1, kMaxTurns), ContractFault::kMaxTurns);
  require(contract.program_budget > 0, ContractFault::kProgramBudget);
  require(contract.total_budget >= contract.program_budget,
          ContractFault::kTotalBudget);
  require(Within(contract.period, kSecond, kYearDays * kDay),
          ContractFault::kPeriod);
  require(Within(contract.idle_timeout, kSecond, kWeekDays * kDay),
          ContractFault::kIdleTimeout);
  require(Within(contract.cache_weight, 0, kMaxWeight),
          ContractFault::kCacheWeight);
  ValidateClasses(contract, &faults);
  return faults;
}

const ServiceClass* FindClass(const Contract& contract, std::string_view name) {
  if (contract.classes.empty()) return nullptr;
  if (name.empty()) return &contract.classes.front();
  for (const auto& c : contract.classes) {
    if (c.name == name) return &c;
  }
  return nullptr;
}

}  // namespace yuccawick::core
