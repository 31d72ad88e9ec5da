#include "yuccawick/pressure/memory_budget.h"

#include <algorithm>
#include <numeric>

namespace yuccawick::pressure {
namespace {

constexpr double kBytesPerMb = 1024.0 * 1024.0;
// Minimum bound in bytes, so that one or two bodies still fit if the limit is
// too small for the process itself.
constexpr double kMinBound = 4 * kBytesPerMb;

std::size_t ComputeBound(const MemoryBudgetSettings& settings,
                         std::size_t                 limit_bytes) {
  if (limit_bytes == 0) return kUnlimited;
  const double usable =
      (1.0 - settings.spare) * static_cast<double>(limit_bytes);
  return static_cast<std::size_t>(
      std::max(kMinBound, usable - settings.own_mb * kBytesPerMb));
}

std::size_t ComputeSpare(const MemoryBudgetSettings& settings,
                         std::size_t                 limit_bytes) {
  if (limit_bytes == 0) return kUnlimited;
  return static_cast<std::size_t>(settings.spare *
                                  static_cast<double>(limit_bytes));
}

}  // namespace

std::string_view Name(MemoryKind kind) {
  constexpr std::array<std::string_view, kMemoryKindCount> kNames{
      "requests", "to_clients", "to_servers", "turns", "connections"};
  return kNames[static_cast<std::size_t>(kind)];
}

std::string_view Name(PressureLevel level) {
  constexpr std::array<std::string_view, 3> kNames{"calm", "near", "full"};
  return kNames[static_cast<std::size_t>(level)];
}

MemoryBudget::MemoryBudget(const MemoryBudgetSettings& settings,
                           std::size_t                 limit_bytes)
    : m_settings(settings),
      m_bound(ComputeBound(settings, limit_bytes)),
      m_spare(ComputeSpare(settings, limit_bytes)),
      m_small_reserve(static_cast<std::size_t>(settings.small_spare *
                                               static_cast<double>(m_spare))),
      m_own_connections(
          static_cast<std::size_t>(settings.connections_mb * kBytesPerMb)) {}

std::size_t MemoryBudget::total() const {
  const std::size_t connections = used(MemoryKind::kConnections);
  return std::accumulate(m_used.begin(), m_used.end(), std::size_t{0}) -
         std::min(connections, m_own_connections);
}

bool MemoryBudget::CanAcceptBody(std::size_t body_bytes,
                                 std::size_t charged) const {
  if (!bounded()) return true;
  const std::size_t needed = total() - charged + kBodyCopies * body_bytes;
  if (body_bytes <= kSmallBody && m_small_reserve > 0)
    return needed <= m_bound + m_small_reserve;
  // A request that is already being read may finish when the node becomes full,
  // as long as it fits.
  if (charged == 0 && IsFull()) return false;
  return needed <= m_bound;
}

bool MemoryBudget::bounded() const { return m_bound != kUnlimited; }

std::optional<std::size_t> MemoryBudget::TurnBytesTarget(
    std::size_t turn_bytes) const {
  constexpr double kTargetShare = 0.9;
  if (!bounded()) return std::nullopt;
  const double max_bytes = m_settings.turns * static_cast<double>(m_bound);
  if (static_cast<double>(turn_bytes) <= max_bytes) return std::nullopt;
  return static_cast<std::size_t>(kTargetShare * max_bytes);
}

bool MemoryBudget::IsAbove(double share, std::size_t bytes) const {
  return static_cast<double>(bytes) > share * static_cast<double>(m_bound);
}

PressureLevel MemoryBudget::LevelFor(std::size_t bytes) const {
  if (!bounded()) return PressureLevel::kCalm;
  if (IsAbove(m_settings.full, bytes)) return PressureLevel::kFull;
  if (IsAbove(m_settings.near, bytes)) return PressureLevel::kNear;
  const bool stays_near =
      m_level != PressureLevel::kCalm && IsAbove(m_settings.calm, bytes);
  return stays_near ? PressureLevel::kNear : PressureLevel::kCalm;
}

bool MemoryBudget::Update(Time now, std::size_t yielding) {
  const PressureLevel new_level =
      LevelFor(total() - std::min(total(), yielding));
  if (new_level >= m_level)
    m_level_time = new_level == PressureLevel::kCalm ? m_level_time : now;
  const bool is_held =
      new_level < m_level && now - m_level_time < m_settings.hold;
  if (new_level == m_level || is_held) return false;
  m_level = new_level;
  return true;
}

void MemoryBudget::Change(MemoryKind kind, std::size_t from, std::size_t to) {
  m_used[static_cast<std::size_t>(kind)] += to - from;
}

void MemoryCharge::Set(std::size_t bytes) {
  if (bytes == m_bytes) return;
  m_budget->Change(m_kind, m_bytes, bytes);
  m_bytes = bytes;
}

std::size_t ChooseClientToDrop(const std::vector<ClientBuffer>& clients,
                               Duration                         stall_timeout) {
  std::size_t chosen = kNoClient;
  for (std::size_t i = 0; i < clients.size(); ++i) {
    if (clients[i].waiting == 0 || clients[i].stalled < stall_timeout) continue;
    if (chosen == kNoClient || clients[i].waiting > clients[chosen].waiting)
      chosen = i;
  }
  return chosen;
}

}  // namespace yuccawick::pressure
