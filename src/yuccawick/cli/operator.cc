#include "yuccawick/cli/operator.h"

#include <algorithm>
#include <utility>

namespace yuccawick::cli {
namespace {

using core::Failure;
using core::LogStatus;
using core::Ran;
using core::Reason;

const std::string kControl(core::kControlStream);

Failure LogUnavailable(Ran ran) {
  return {Reason::kLogUnavailable, ran,
          core::Info(Reason::kLogUnavailable).retry_after};
}

}  // namespace

Operator::Operator(LogAccess& log, std::string id)
    : m_log(log), m_id(std::move(id)) {}

tl::expected<core::ReadDone, Failure> Operator::ReadFrom(
    const std::string& stream, core::Offset from) {
  auto done = m_log.Read({0, stream, from});
  if (done.status != LogStatus::kOk)
    return tl::make_unexpected(LogUnavailable(Ran::kNo));
  return done;
}

tl::expected<core::Control, Failure> Operator::ReadControl() {
  core::Control control(core::Safeguards::All());
  core::Offset  next = 0;
  while (true) {
    const auto done = ReadFrom(kControl, next);
    if (!done) return tl::make_unexpected(done.error());
    for (const auto& logged : done->records) {
      const bool  gap = done->earliest > control.version() + 1;
      const auto* snapshot = std::get_if<core::SnapshotRecord>(&logged.record);
      const bool  covers =
          snapshot != nullptr && snapshot->as_of >= done->earliest - 1;
      if (gap && !covers) continue;
      if (gap) control.Apply(*snapshot);
      control.Apply(logged);
    }
    const core::Offset read =
        done->records.empty() ? done->end : done->records.back().offset + 1;
    next = std::max(next, read);
    if (next >= done->end) return control;
  }
}

tl::expected<Published, Failure> Operator::Publish(
    const core::Contract& contract, const core::Offset* amends) {
  if (!core::Validate(contract).empty())
    return tl::make_unexpected(core::Refuse(Reason::kMalformed));
  auto before = ReadControl();
  if (!before) return tl::make_unexpected(before.error());
  const auto*          current = before->FindContract(contract.customer);
  core::ContractRecord record;
  record.amendment = m_id + "." + std::to_string(++m_amendments);
  record.amends = current == nullptr ? core::kNoOffset : current->version;
  if (amends != nullptr) record.amends = *amends;
  record.contract = contract;
  const auto appended = m_log.Append({0, kControl, {record}});
  if (appended.status == LogStatus::kRefused)
    return tl::make_unexpected(LogUnavailable(Ran::kNo));
  // Only the log decides whether the record took effect, so it is read back
  // even if the append failed without a definite answer.
  core::Offset next = before->version() + 1;
  while (true) {
    const auto done = ReadFrom(kControl, next);
    if (!done) return tl::make_unexpected(LogUnavailable(Ran::kUnknown));
    for (const auto& logged : done->records) {
      const auto  effect = before->Apply(logged);
      const auto* seen = std::get_if<core::ContractRecord>(&logged.record);
      if (seen == nullptr || seen->amendment != record.amendment) continue;
      if (effect == core::Effect::kApplied) return Published{logged.offset};
      return tl::make_unexpected(core::Refuse(Reason::kConflict));
    }
    const core::Offset read =
        done->records.empty() ? done->end : done->records.back().offset + 1;
    next = std::max(next, read);
    if (next >= done->end)
      return tl::make_unexpected(LogUnavailable(Ran::kUnknown));
  }
}

tl::expected<void, Failure> Operator::Drain(const std::string& vm) {
  const auto control = ReadControl();
  if (!control) return tl::make_unexpected(control.error());
  const core::Member* member = control->FindVm(vm);
  if (member == nullptr)
    return tl::make_unexpected(core::Refuse(Reason::kUnknownBackend));
  const auto appended =
      m_log.Append({0, kControl, {core::LeaveRecord{member->join.node}}});
  if (appended.status == LogStatus::kOk) return {};
  const bool refused = appended.status == LogStatus::kRefused;
  return tl::make_unexpected(
      LogUnavailable(refused ? Ran::kNo : Ran::kUnknown));
}

tl::expected<core::GrantLedger, Failure> Operator::ReadGrants(
    const std::string& customer) {
  core::GrantLedger ledger;
  while (true) {
    const auto done = ReadFrom(core::GrantStream(customer), ledger.next());
    if (!done) return tl::make_unexpected(done.error());
    for (const auto& logged : done->records)
      ledger.Apply(logged, done->earliest);
    if (done->records.empty() || ledger.next() >= done->end) return ledger;
  }
}

}  // namespace yuccawick::cli
