// Keeps Control up to date by polling the control stream.
//
// While the log is unavailable, the node requests a snapshot from a peer with a
// higher version. Agents append snapshots before log retention drops the
// records that the state was built from; an append by one agent resets the
// timers of the others.
#pragma once

#include <functional>

#include "yuccawick/core/chart.h"
#include "yuccawick/core/control.h"
#include "yuccawick/core/messages.h"

namespace yuccawick::core {

struct ControlTailSettings {
  Duration poll_interval = 2000;         // ms between reads
  Duration read_timeout = 3000;          // ms until a read fails
  Duration snapshot_interval = 3600000;  // ms between snapshots; must be below
                                         // a third of the log's retention
  bool     writes_snapshots = true;      // true for agents, false for entries
};

class ControlTail {
 public:
  // `on_change` is called after the state has changed.
  ControlTail(NodeRef self, ControlTailSettings settings, Control& control,
              Outbox& outbox, std::function<void(Time)> on_change);

  void OnTick(Time now);
  // Returns false if the read was not issued by this object.
  bool OnRead(const ReadDone& done, Time now);
  void OnPull(const NodeRef& from);
  void OnPush(const ControlPush& push, Time now);
  // VMs to request a snapshot from while no state is known and the log is
  // unavailable.
  void OnVmList(const VmListRead& list) { m_vms = list.vms; }
  // Requests a snapshot from a peer whose control version is higher.
  void RequestSnapshot(const NodeRef& peer);

  // Starts a read and returns its number; supersedes a read in progress.
  std::uint64_t ReadNow(Time now);
  ConfigPhase   phase() const { return m_phase; }
  bool          HasState() const { return m_phase != ConfigPhase::kNone; }
  bool IsLogUnavailable() const { return m_phase == ConfigPhase::kBehind; }

 private:
  void ApplyRecords(const ReadDone& done);
  void OnReadFailed();
  void MaybeSnapshot(Time now);

  NodeRef                   m_self;
  ControlTailSettings       m_settings;
  Control&                  m_control;
  Outbox&                   m_outbox;
  std::function<void(Time)> m_on_change;
  ConfigPhase               m_phase = ConfigPhase::kNone;
  std::uint64_t             m_read = 0;  // in progress; 0: none
  Time                      m_read_at = 0;
  Time                      m_next_read = 0;
  std::vector<VmEntry>      m_vms;
  std::size_t m_next_vm = 0;  // index into m_vms of the next VM to ask
  Offset      m_seen_snapshot = kNoOffset;
  Time        m_snapshot_due = 0;
};

}  // namespace yuccawick::core
