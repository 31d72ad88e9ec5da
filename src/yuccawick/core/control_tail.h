// Follows the control stream: reads, gaps, snapshots, help from peers.
//
// Each node reads the stream every poll interval. While the log is down it
// takes the highest state its peers have. Before retention drops what the state
// was built from, some agent appends a snapshot; the first to do so resets the
// others' timers.
#pragma once

#include <functional>

#include "yuccawick/core/chart.h"
#include "yuccawick/core/control.h"
#include "yuccawick/core/messages.h"

namespace yuccawick::core {

struct ControlTailSettings {
  Duration poll_interval = 2000;         // ms between reads
  Duration read_timeout = 3000;          // ms until a read is given up
  Duration snapshot_interval = 3600000;  // ms between snapshots; below a third
                                         // of the log's retention
  bool     writes_snapshots = true;      // agents do, entries do not
};

class ControlTail {
 public:
  // `on_change` runs after the state has moved on.
  ControlTail(NodeRef self, ControlTailSettings settings, Control& control,
              Outbox& outbox, std::function<void(Time)> on_change);

  void OnTick(Time now);
  // False if the read is not one of this tail's.
  bool OnRead(const ReadDone& done, Time now);
  void OnPull(const NodeRef& from);
  void OnPush(const ControlPush& push, Time now);
  // Where to ask while no state is held and the log is down.
  void OnVmList(const VmListRead& list) { m_vms = list.vms; }
  // A peer is ahead of us while we cannot read.
  void RequestSnapshot(const NodeRef& peer);

  // Reads at once; returns the read's number. A read under way is superseded.
  std::uint64_t ReadNow(Time now);
  ConfigPhase   phase() const { return m_phase; }
  bool          HasState() const { return m_phase != ConfigPhase::kNone; }
  // Number of the last read that ended well, and of the last that ended.
  bool IsLogUnavailable() const { return m_phase == ConfigPhase::kBehind; }

 private:
  void Fold(const ReadDone& done);
  void OnReadFailed();
  void MaybeSnapshot(Time now);

  NodeRef                   m_self;
  ControlTailSettings       m_settings;
  Control&                  m_control;
  Outbox&                   m_outbox;
  std::function<void(Time)> m_on_change;
  ConfigPhase               m_phase = ConfigPhase::kNone;
  std::uint64_t             m_read = 0;  // under way; 0: none
  Time                      m_read_at = 0;
  Time                      m_next_read = 0;
  std::vector<VmEntry>      m_vms;
  std::size_t m_next_vm = 0;  // index into m_vms of the next to ask
  Offset      m_seen_snapshot = kNoOffset;
  Time        m_snapshot_due = 0;
};

}  // namespace yuccawick::core
