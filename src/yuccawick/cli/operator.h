// What operators do: publish and amend contracts, drain servers, look.
//
// All of it goes through the platform's log. Publishing is compare-and-set by
// log order: the record names the version it amends, and is read back to see
// whether it took effect. A lost reply is looked up by the amendment's id, so
// nothing is ever published twice.
#pragma once

#include <string>
#include <tl/expected.hpp>

#include "yuccawick/core/budget.h"
#include "yuccawick/core/control.h"
#include "yuccawick/core/failure.h"

namespace yuccawick::cli {

// The log as the operator sees it; a client in the command, a fake in tests.
class LogAccess {
 public:
  virtual ~LogAccess() = default;
  virtual core::AppendDone Append(const core::AppendRecords& command) = 0;
  virtual core::ReadDone   Read(const core::ReadRecords& command) = 0;
};

struct Published {
  core::Offset version = core::kNoOffset;  // of the contract now in force
};

class Operator {
 public:
  // `id` makes amendments of this run distinct from all others.
  Operator(LogAccess& log, std::string id);

  // The control stream's state, read in full.
  tl::expected<core::Control, core::Failure> ReadControl();

  // Publishes the contract as an amendment of the version in force, or of
  // `amends` if given. Fails with kConflict if another amendment came first,
  // and with kLogUnavailable if the log does not answer; `ran` then says
  // whether it took effect (unknown: run `show` once the log is back).
  tl::expected<Published, core::Failure> Publish(const core::Contract& contract,
                                                 const core::Offset*   amends);

  // Has the node on that VM finish and hand over.
  tl::expected<void, core::Failure> Drain(const std::string& vm);

  // What is granted of a customer's totals.
  tl::expected<core::GrantLedger, core::Failure> ReadGrants(
      const std::string& customer);

 private:
  tl::expected<core::ReadDone, core::Failure> ReadFrom(
      const std::string& stream, core::Offset from);

  LogAccess&  m_log;
  std::string m_id;
  int         m_amendments = 0;
};

}  // namespace yuccawick::cli
