// How much memory a node holds for others, and what it still takes on.
//
// Whoever holds bytes for a client, a server or a program keeps a MemoryCharge
// of its kind and says how many; its destructor gives them back, whichever way
// the request ends. Ask CanAcceptBody() before a body is read.
//
//   calm  everything is taken that fits
//   near  the node wants no new clients; requests that it has got are served
//   full  no new request is taken
//
// The load it answers: many large bodies at once, and clients or servers that
// stop reading, on nodes whose process is ended above a fixed size.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "yuccawick/net/event_loop.h"
#include "yuccawick/net/stream.h"

namespace yuccawick::pressure {

using net::Duration;
using net::Time;

enum class MemoryKind : std::uint8_t {
  kRequests,   // bodies, histories put before them, answers not passed on yet
  kToClients,  // not taken yet
  kToServers,  // not taken yet
  kTurns,      // of programs, kept in memory
  kCount,
};
inline constexpr std::size_t kMemoryKindCount =
    static_cast<std::size_t>(MemoryKind::kCount);
std::string_view Name(MemoryKind held);

enum class PressureLevel : std::uint8_t { kCalm, kNear, kFull };
std::string_view Name(PressureLevel level);

struct MemoryBudgetSettings {
  // Of the process itself: code, threads, connections, tables, the log's pages.
  double   own_mb = 24;
  // Share of the limit for the allocator and for bytes that wait in the kernel.
  double   spare = 0.25;
  // Shares of the bound at which a level begins; calm again below `calm`.
  double   near = 0.7;
  double   full = 0.9;
  double   calm = 0.5;
  // Share of the bound up to which turns are kept in memory.
  double   turns = 0.6;
  // A level holds for so long at least before a lower one: the balancer asks
  // once a second and turns away after two misses.
  Duration hold = 3000;
  // A client is let go by a full node if it has taken nothing for so long:
  // several round trips, and a lost packet sent again.
  Duration full_stall_timeout = 500;
};

// A body is held once whole and once on its way to the server.
inline constexpr std::size_t kBodyCopies = 2;

class MemoryBudget {
 public:
  // `limit_bytes` of the whole process; 0: there is none, all is calm.
  MemoryBudget(const MemoryBudgetSettings& settings, std::size_t limit_bytes);
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  // Whether a body of this size, which grows a holding that counts `held` of it
  // already, may be read.
  bool CanAcceptBody(std::size_t body_bytes, std::size_t held = 0) const;
  // At this moment; the level may be higher for a while.
  bool IsFull() const { return bounded() && Above(m_settings.full); }
  // True if the level has changed. Call often, and after each large change.
  bool Update(Time now);
  PressureLevel              level() const { return m_level; }
  bool                       bounded() const;
  std::size_t                bound() const { return m_bound; }
  std::size_t                total() const { return m_total; }
  // How many bytes of turns are to be left if more are kept in memory; a tenth
  // below the most, so that it does not come up again at once.
  std::optional<std::size_t> TurnBytesTarget(std::size_t kept) const;
  std::size_t                used(MemoryKind kind) const {
                   return m_held[static_cast<std::size_t>(kind)];
  }

 private:
  friend class MemoryCharge;
  void          Change(MemoryKind kind, std::size_t from, std::size_t to);
  PressureLevel LevelNow() const;
  bool          Above(double share) const;

  MemoryBudgetSettings                      m_settings;
  std::size_t                               m_bound;
  std::size_t                               m_total = 0;
  std::array<std::size_t, kMemoryKindCount> m_held{};
  PressureLevel                             m_level = PressureLevel::kCalm;
  Time m_risen_at = 0;  // to this level or above
};

// What is held may outlive the node's other parts, in tasks of its loop.
using MemoryBudgetPtr = std::shared_ptr<MemoryBudget>;

// What one object holds of one kind.
class MemoryCharge final : public net::BufferMeter {
 public:
  MemoryCharge(MemoryBudgetPtr budget, MemoryKind kind)
      : m_budget(std::move(budget)), m_kind(kind) {}
  ~MemoryCharge() override { Set(0); }
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  void        Set(std::size_t bytes) override;
  std::size_t bytes() const { return m_bytes; }

 private:
  MemoryBudgetPtr m_budget;
  MemoryKind      m_kind;
  std::size_t     m_bytes = 0;
};

// A client for which bytes wait.
struct ClientBuffer {
  std::size_t waiting = 0;  // bytes
  Duration    stalled = 0;  // ms since it took any
};

inline constexpr std::size_t kNoClient =
    std::numeric_limits<std::size_t>::max();
// Whom a full node lets go: of those that took nothing for `patience`, the one
// for which most waits; an index into `readers`, or kNoClient.
std::size_t ChooseClientToDrop(const std::vector<ClientBuffer>& readers,
                               Duration                         patience);

}  // namespace yuccawick::pressure
