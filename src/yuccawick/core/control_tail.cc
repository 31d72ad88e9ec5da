#include "yuccawick/core/control_tail.h"

#include <algorithm>
#include <utility>

#include "yuccawick/core/hash.h"
#include "yuccawick/core/membership.h"

namespace yuccawick::core {

ControlTail::ControlTail(NodeRef self, ControlTailSettings settings,
                         Control& control, Outbox& outbox,
                         std::function<void(Time)> on_change)
    : m_self(std::move(self)),
      m_settings(settings),
      m_control(control),
      m_outbox(outbox),
      m_on_change(std::move(on_change)) {}

void ControlTail::OnTick(Time now) {
  const bool overdue = m_read != 0 && now - m_read_at > m_settings.read_timeout;
  if (overdue) {
    m_read = 0;
    OnReadFailed();
  }
  if (m_read == 0 && now >= m_next_read) ReadNow(now);
  MaybeSnapshot(now);
}

std::uint64_t ControlTail::ReadNow(Time now) {
  m_read = m_outbox.Read(std::string(kControlStream), m_control.version() + 1);
  m_read_at = now;
  m_next_read = now + m_settings.poll_interval;
  return m_read;
}

bool ControlTail::OnRead(const ReadDone& done, Time now) {
  if (done.stream != kControlStream) return false;
  const bool is_current_read = done.read == m_read;
  if (is_current_read) m_read = 0;
  if (done.status != LogStatus::kOk) {
    if (is_current_read) OnReadFailed();
    return true;
  }
  const Offset version_before = m_control.version();
  ApplyRecords(done);
  GetConfigChart().Fire(&m_phase, ConfigEvent::kRead);
  if (m_control.version() != version_before) m_on_change(now);
  const bool has_more =
      m_control.version() + 1 < done.end && !done.records.empty();
  if (has_more && m_read == 0) ReadNow(now);
  return true;
}

void ControlTail::OnReadFailed() {
  GetConfigChart().Fire(&m_phase, ConfigEvent::kReadFailed);
  if (HasState() || m_vms.empty()) return;
  // The node started while the log is unavailable and knows no members. The
  // platform's list names VMs whose nodes may have a state; one is asked at a
  // time.
  const auto& vm = m_vms[m_next_vm++ % m_vms.size()].vm;
  if (vm != m_self.vm) RequestSnapshot(NodeRef{vm, 0});
}

void ControlTail::ApplyRecords(const ReadDone& done) {
  const bool records_missing = done.earliest > m_control.version() + 1;
  if (records_missing) {
    // Unread records have been dropped. Only a snapshot taken after them
    // replaces them; continuing without one could restore old contracts.
    for (const auto& logged : done.records) {
      const auto* snapshot = std::get_if<SnapshotRecord>(&logged.record);
      if (snapshot != nullptr && snapshot->as_of >= done.earliest - 1)
        m_control.Apply(*snapshot);
    }
    if (done.earliest > m_control.version() + 1) return;
  }
  for (const auto& logged : done.records) m_control.Apply(logged);
}

void ControlTail::OnPull(const NodeRef& from) {
  if (HasState()) m_outbox.Send(from, ControlPush{m_control.Snapshot()});
}

void ControlTail::OnPush(const ControlPush& push, Time now) {
  if (m_control.Apply(push.snapshot) != Effect::kApplied) return;
  GetConfigChart().Fire(&m_phase, ConfigEvent::kFromPeer);
  m_on_change(now);
}

void ControlTail::RequestSnapshot(const NodeRef& peer) {
  m_outbox.Send(peer, ControlPull{});
}

void ControlTail::MaybeSnapshot(Time now) {
  if (!m_settings.writes_snapshots || m_phase != ConfigPhase::kCurrent) return;
  // Jitter of up to one interval, so that usually only one node writes the
  // snapshot.
  const auto jitter = static_cast<Duration>(
      PairHash("snapshot", ToString(m_self)) %
      static_cast<std::uint64_t>(m_settings.snapshot_interval));
  const bool has_new_snapshot = m_control.last_snapshot() != m_seen_snapshot;
  if (has_new_snapshot || m_snapshot_due == 0) {
    m_seen_snapshot = m_control.last_snapshot();
    m_snapshot_due = now + m_settings.snapshot_interval + jitter;
    return;
  }
  if (now < m_snapshot_due) return;
  m_snapshot_due = now + m_settings.snapshot_interval + jitter;
  m_outbox.Append(std::string(kControlStream), {m_control.Snapshot()});
}

}  // namespace yuccawick::core
