// A customer's contract: limits, priorities, budgets and waiting times.
//
// Operators publish contracts; programs are governed by the contract in force.
// A contract's version is the log offset of its record. An amendment names the
// version it replaces; of two amendments of one version, the first in log order
// takes effect (see control.h).
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "yuccawick/core/types.h"

namespace yuccawick::core {

// One class of work, selected when a program starts.
struct ServiceClass {
  std::string  name;          // e.g. "urgent", "routine"
  std::int64_t priority = 5;  // 0 is served first, 9 last
  Duration     max_wait = 0;  // ms that a call may wait for a backend server

  bool operator==(const ServiceClass&) const = default;
  template <class V>
  void Visit(V& v) {
    v("name", name);
    v("priority", priority);
    v("maxWait", max_wait);
  }
};

struct Contract {
  std::string  customer;            // [a-z0-9-]
  std::int64_t max_programs = 0;    // running at the same time
  std::int64_t max_turns = 0;       // calls per program
  Tokens       program_budget = 0;  // per program, including sub-agents
  Tokens       total_budget = 0;    // per period, for all programs
  Duration     period = 0;          // ms
  Duration     idle_timeout = 0;    // ms of inactivity until a program is ended
  std::int64_t cache_weight = 50;   // 0: favor latency, 100: favor cache hits
  std::vector<ServiceClass> classes;  // the first is the default

  bool operator==(const Contract&) const = default;
  template <class V>
  void Visit(V& v) {
    v("customer", customer);
    v("maxPrograms", max_programs);
    v("maxTurns", max_turns);
    v("programBudget", program_budget);
    v("totalBudget", total_budget);
    v("period", period);
    v("idleTimeout", idle_timeout);
    v("cacheWeight", cache_weight);
    v("classes", classes);
  }
};

enum class ContractFault : std::uint8_t {
  kBadCustomer,       // name not [a-z0-9-]{1,63}
  kMaxPrograms,       // not 1 .. 1,000,000
  kMaxTurns,          // not 1 .. 10,000
  kProgramBudget,     // not positive
  kTotalBudget,       // below the program budget
  kPeriod,            // not 1 s .. 366 d
  kIdleTimeout,       // not 1 s .. 7 d
  kCacheWeight,       // not 0 .. 100
  kNoClass,           // no service class
  kBadClassName,      // class name not [a-z0-9-]{1,63}
  kDuplicateClass,    // two classes of one name
  kPriority,          // priority not 0 .. 9
  kMaxWait,           // max wait not 0 .. 24 h
  kWaitAboveTimeout,  // a class may wait longer than the idle timeout
};
std::string_view Name(ContractFault fault);

// All faults of the contract; empty if it may be published.
std::vector<ContractFault> Validate(const Contract& contract);

// The class called `name`; the first class if `name` is empty; null if unknown.
const ServiceClass* FindClass(const Contract& contract, std::string_view name);

}  // namespace yuccawick::core
