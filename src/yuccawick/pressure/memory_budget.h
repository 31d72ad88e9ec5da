// Bounds the memory that a node uses for requests, responses, and turns.
//
// Without a bound, many large bodies, or clients and servers that stop reading,
// make the process exceed its memory limit and be killed. Each object that
// buffers bytes for a client, a server or a program owns a MemoryCharge, which
// returns the bytes when destroyed. Call CanAcceptBody() before reading a body.
//
// Requests that have fallen behind while they are received make room first, see
// yield_order.h. Small requests may use a little more than the bound, so that
// large ones under way do not keep them out.
//
//   calm  accepts every request that fits
//   near  reports not ready to the load balancer, but serves requests
//   full  refuses new requests
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
#include "yuccawick/pressure/connection_limit.h"

namespace yuccawick::pressure {

using net::Duration;
using net::Time;

enum class MemoryKind : std::uint8_t {
  kRequests,     // bodies, prepended history, responses not yet forwarded
  kToClients,    // waiting to be sent to clients
  kToServers,    // waiting to be sent to servers
  kTurns,        // turns of programs cached in memory
  kConnections,  // of clients: their objects, heads, bytes not yet parsed
  kCount,
};
inline constexpr std::size_t kMemoryKindCount =
    static_cast<std::size_t>(MemoryKind::kCount);
std::string_view Name(MemoryKind kind);

enum class PressureLevel : std::uint8_t { kCalm, kNear, kFull };
std::string_view Name(PressureLevel level);

struct MemoryBudgetSettings {
  // Memory of the process itself in MB: code, threads, connections, tables, and
  // pages of the log.
  double   own_mb = 24;
  // MB of `own_mb` for connections of clients; what they use beyond counts
  // against the bound.
  double   connections_mb = 6;
  // Share of the limit left to the allocator and kernel socket buffers.
  double   spare = 0.25;
  // Share of `spare` that small requests may use beyond the bound.
  double   small_spare = 0.2;
  // Shares of the bound at which the levels near and full begin; the level
  // returns to calm below `calm`.
  double   near = 0.7;
  double   full = 0.9;
  double   calm = 0.5;
  // Share of the bound available for turns.
  double   turns = 0.6;
  // ms for which a level is held before it drops. Must cover the health checks
  // of the load balancer, one a second with two misses, or the node flaps.
  Duration hold = 3000;
  // A full node drops clients that have not read for this long, in ms. Must
  // allow for several round trips and a retransmitted packet.
  Duration full_stall_timeout = 500;
  // A request that is being received is behind once its bytes arrive more
  // slowly than this, in bytes per ms. One that is behind by `yield_after` ms
  // is refused if the node has no room for others. Must allow for a
  // retransmitted packet.
  double   yield_rate = 16;
  Duration yield_after = 250;
};

// Copies of a body in memory: the received one and the one being sent.
inline constexpr std::size_t kBodyCopies = 2;
// Largest body of a small request, in bytes.
inline constexpr std::size_t kSmallBody = 64UL * 1024;

class MemoryBudget {
 public:
  // `limit_bytes`: memory limit of the process; 0: unlimited, always calm.
  MemoryBudget(const MemoryBudgetSettings& settings, std::size_t limit_bytes);
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  // Whether a body of this size may be read. `charged`: bytes already charged
  // for this body.
  bool CanAcceptBody(std::size_t body_bytes, std::size_t charged = 0) const;
  // Whether what is held is within the bound and the reserve of small requests.
  bool Fits() const {
    return !bounded() || total() <= m_bound + m_small_reserve;
  }
  // Whether the node is full at this moment; level() may be higher, because it
  // is held before it drops.
  bool IsFull() const { return bounded() && IsAbove(m_settings.full, total()); }
  // Updates level() and returns true if it changed. Call periodically, and
  // after each large change. `yielding`: bytes that would make room at once;
  // they do not make the node turn clients away.
  bool Update(Time now, std::size_t yielding = 0);
  PressureLevel              level() const { return m_level; }
  bool                       bounded() const;
  std::size_t                bound() const { return m_bound; }
  // Bytes left to the allocator and the kernel; kUnlimited without a limit.
  std::size_t                spare() const { return m_spare; }
  // Bytes held of all kinds, without the process's own share for connections.
  std::size_t                total() const;
  // Size to which the cached turns should shrink; nullopt if `turn_bytes` is
  // within their share. Lies 10% below the share, so that they need not shrink
  // again at once.
  std::optional<std::size_t> TurnBytesTarget(std::size_t turn_bytes) const;
  std::size_t                used(MemoryKind kind) const {
                   return m_used[static_cast<std::size_t>(kind)];
  }

 private:
  friend class MemoryCharge;
  void          Change(MemoryKind kind, std::size_t from, std::size_t to);
  PressureLevel LevelFor(std::size_t bytes) const;
  bool          IsAbove(double share, std::size_t bytes) const;

  MemoryBudgetSettings                      m_settings;
  std::size_t                               m_bound;
  std::size_t                               m_spare;
  std::size_t                               m_small_reserve;
  std::size_t                               m_own_connections;
  std::array<std::size_t, kMemoryKindCount> m_used{};
  PressureLevel                             m_level = PressureLevel::kCalm;
  Time m_level_time = 0;  // last time that the load required m_level or more
};

// Shared, because charges may outlive the other parts of the node in event loop
// tasks.
using MemoryBudgetPtr = std::shared_ptr<MemoryBudget>;

// Bytes that one object charges to the budget, all of one kind.
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

// A client with buffered response bytes.
struct ClientBuffer {
  std::size_t waiting = 0;  // bytes buffered
  Duration    stalled = 0;  // ms since the client last read
};

inline constexpr std::size_t kNoClient =
    std::numeric_limits<std::size_t>::max();
// Chooses the client that a full node drops: the one with most buffered bytes
// among those stalled for at least `stall_timeout`. Returns an index into
// `clients`, or kNoClient.
std::size_t ChooseClientToDrop(const std::vector<ClientBuffer>& clients,
                               Duration                         stall_timeout);

}  // namespace yuccawick::pressure
