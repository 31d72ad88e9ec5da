// Operator actions: publish and amend contracts, drain servers, read state.
//
// All actions go through the platform's log. Publishing is a compare-and-set in
// log order: the record names the version that it amends and is read back to
// see whether it took effect. After a lost reply the record is found by its
// amendment id, so nothing is published twice.
#pragma once

#include <string>
#include <tl/expected.hpp>

#include "yuccawick/core/budget.h"
#include "yuccawick/core/control.h"
#include "yuccawick/core/failure.h"

namespace yuccawick::cli {

// Access to the platform's log: a client in the tool, a fake in tests.
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
  // `id` must be unique among all runs; it prefixes the amendment ids.
  Operator(LogAccess& log, std::string id);

  // Reads the whole control stream and returns its state.
  tl::expected<core::Control, core::Failure> ReadControl();

  // Publishes the contract as an amendment of the version in force, or of
  // `amends` if given. Fails with kConflict if another amendment came first and
  // with kLogUnavailable if the log does not answer; `ran` then says whether it
  // took effect (if unknown, run `show` once the log is back).
  tl::expected<Published, core::Failure> Publish(const core::Contract& contract,
                                                 const core::Offset*   amends);

  // Asks the node on the VM to finish its work, hand over and stop.
  tl::expected<void, core::Failure> Drain(const std::string& vm);

  // Reads how much of the customer's totals has been granted.
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
