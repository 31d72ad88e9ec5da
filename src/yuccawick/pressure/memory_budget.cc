#include "yuccawick/pressure/memory_budget.h"

#include <algorithm>

namespace yuccawick::pressure {
namespace {

constexpr double kBytesPerMb = 1024.0 * 1024.0;
// Under a limit too small for the process itself, still a body or two.
constexpr double kLeastBound = 4 * kBytesPerMb;
constexpr auto   kNoBound = std::numeric_limits<std::size_t>::max();

std::size_t BoundOf(const MemoryBudgetSettings& settings,
                    std::size_t                 limit_bytes) {
  if (limit_bytes == 0) return kNoBound;
  const double rest = (1.0 - settings.spare) * static_cast<double>(limit_bytes);
  return static_cast<std::size_t>(
      std::max(kLeastBound, rest - settings.own_mb * kBytesPerMb));
}

}  // namespace

std::string_view Name(MemoryKind held) {
  constexpr std::array<std::string_view, kMemoryKindCount> kNames{
      "requests", "to_clients", "to_servers", "turns"};
  return kNames[static_cast<std::size_t>(held)];
}

std::string_view Name(PressureLevel level) {
  constexpr std::array<std::string_view, 3> kNames{"calm", "near", "full"};
  return kNames[static_cast<std::size_t>(level)];
}

MemoryBudget::MemoryBudget(const MemoryBudgetSettings& settings,
                           std::size_t                 limit_bytes)
    : m_settings(settings), m_bound(BoundOf(settings, limit_bytes)) {}

bool MemoryBudget::CanAcceptBody(std::size_t body_bytes,
                                 std::size_t held) const {
  if (!bounded()) return true;
  // A request that is being read is finished on a node that turns full
  // meanwhile, as long as it fits.
  if (held == 0 && Above(m_settings.full)) return false;
  return m_total - held + kBodyCopies * body_bytes <= m_bound;
}

bool MemoryBudget::bounded() const { return m_bound != kNoBound; }

std::optional<std::size_t> MemoryBudget::TurnBytesTarget(
    std::size_t kept) const {
  constexpr double kLeft = 0.9;
  if (!bounded()) return std::nullopt;
  const double most = m_settings.turns * static_cast<double>(m_bound);
  if (static_cast<double>(kept) <= most) return std::nullopt;
  return static_cast<std::size_t>(kLeft * most);
}

bool MemoryBudget::Above(double share) const {
  return static_cast<double>(m_total) > share * static_cast<double>(m_bound);
}

PressureLevel MemoryBudget::LevelNow() const {
  if (!bounded()) return PressureLevel::kCalm;
  if (Above(m_settings.full)) return PressureLevel::kFull;
  if (Above(m_settings.near)) return PressureLevel::kNear;
  const bool stays = m_level != PressureLevel::kCalm && Above(m_settings.calm);
  return stays ? PressureLevel::kNear : PressureLevel::kCalm;
}

bool MemoryBudget::Update(Time now) {
  const PressureLevel next = LevelNow();
  if (next >= m_level)
    m_risen_at = next == PressureLevel::kCalm ? m_risen_at : now;
  const bool held_back = next < m_level && now - m_risen_at < m_settings.hold;
  if (next == m_level || held_back) return false;
  m_level = next;
  return true;
}

void MemoryBudget::Change(MemoryKind kind, std::size_t from, std::size_t to) {
  std::size_t& held = m_held[static_cast<std::size_t>(kind)];
  held += to - from;
  m_total += to - from;
}

void MemoryCharge::Set(std::size_t bytes) {
  if (bytes == m_bytes) return;
  m_budget->Change(m_kind, m_bytes, bytes);
  m_bytes = bytes;
}

std::size_t ChooseClientToDrop(const std::vector<ClientBuffer>& readers,
                               Duration                         patience) {
  std::size_t drop = kNoClient;
  for (std::size_t i = 0; i < readers.size(); ++i) {
    if (readers[i].waiting == 0 || readers[i].stalled < patience) continue;
    if (drop == kNoClient || readers[i].waiting > readers[drop].waiting)
      drop = i;
  }
  return drop;
}

}  // namespace yuccawick::pressure
