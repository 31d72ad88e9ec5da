#include "yuccawick/fairness/fair_share_policy.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace yuccawick::fairness {
namespace {

// A workspace with less than this part of a turn of average work is forgotten.
constexpr double kFaded = 0.1;
// Whatever the settings, nobody leaves more than half of the room.
constexpr double kLeastShare = 0.5;

}  // namespace

FairSharePolicy::FairSharePolicy(const FairShareSettings& settings,
                                 PriorityOf               priority_of)
    : m_settings(settings), m_priority_of(std::move(priority_of)) {}

double FairSharePolicy::AdmissionThreshold(const NewProgram& beginner,
                                           Time              now) {
  double margin = UrgencyMargin(beginner.priority, now);
  if (beginner.late) margin += m_settings.late;
  if (IsOpen(now)) margin = 0;
  const auto use = m_uses.find(beginner.workspace);
  if (use != m_uses.end()) margin += UseMargin(use->second);
  return std::max(1 - margin, kLeastShare);
}

void FairSharePolicy::Charge(const std::string& workspace, double work,
                             Time now) {
  if (workspace.empty() || work <= 0) return;
  const UsageCharge charge{workspace, work, 1};
  Add(charge, now);
  if (!m_uses.contains(workspace)) return;
  UsageCharge& untold =
      m_untold.try_emplace(workspace, UsageCharge{workspace}).first->second;
  untold.work += charge.work;
  untold.turns += charge.turns;
}

std::vector<UsageCharge> FairSharePolicy::TakeUnsent() {
  std::vector<UsageCharge> charges;
  charges.reserve(m_untold.size());
  for (auto& [workspace, charge] : m_untold) {
    charges.push_back(std::move(charge));
  }
  m_untold.clear();
  return charges;
}

void FairSharePolicy::MergePeer(const std::vector<UsageCharge>& charges,
                                Time                            now) {
  for (const UsageCharge& charge : charges) {
    const bool sound =
        !charge.workspace.empty() && std::isfinite(charge.work) &&
        std::isfinite(charge.turns) && charge.work > 0 && charge.turns > 0;
    if (sound) Add(charge, now);
  }
}

void FairSharePolicy::Add(const UsageCharge& charge, Time now) {
  if (now - m_origin >= m_settings.usage_half_life) Sweep(now);
  auto it = m_uses.find(charge.workspace);
  if (it == m_uses.end()) {
    if (static_cast<std::int64_t>(m_uses.size()) >= m_settings.workspaces) {
      return;
    }
    it = m_uses.try_emplace(charge.workspace).first;
    it->second.weight = WeightOf(charge.workspace);
    m_weight += it->second.weight;
  }
  const double growth = Growth(now);
  it->second.work += charge.work * growth;
  m_work += charge.work * growth;
  m_turns += charge.turns * growth;
}

std::vector<FairSharePolicy::WorkspaceUsage> FairSharePolicy::TopWorkspaces(
    std::size_t most) const {
  std::vector<WorkspaceUsage> users;
  users.reserve(m_uses.size());
  for (const auto& [workspace, use] : m_uses) {
    users.push_back({workspace, use.work / m_work, UseMargin(use)});
  }
  const auto first = [](const WorkspaceUsage& a, const WorkspaceUsage& b) {
    return std::tie(b.part, a.workspace) < std::tie(a.part, b.workspace);
  };
  const auto end =
      users.begin() + static_cast<std::ptrdiff_t>(std::min(most, users.size()));
  std::partial_sort(users.begin(), end, users.end(), first);
  users.erase(end, users.end());
  return users;
}

double FairSharePolicy::Growth(Time now) const {
  return std::exp2(static_cast<double>(now - m_origin) /
                   static_cast<double>(m_settings.usage_half_life));
}

double FairSharePolicy::UseMargin(const Use& use) const {
  const double others_weight = m_weight - use.weight;
  // Floating-point sums may leave a rest where the workspace is alone.
  if (m_uses.size() < 2 || others_weight <= 0) return 0;
  const double credit = m_settings.credit_turns * m_work / m_turns;
  const double average = std::max((m_work - use.work) / others_weight, credit);
  const double doublings = std::log2(use.work / use.weight / average);
  return std::clamp(m_settings.step * doublings, 0.0,
                    m_settings.max_usage_margin);
}

double FairSharePolicy::UrgencyMargin(int priority, Time now) {
  const auto last = static_cast<int>(m_asked.size()) - 1;
  const int  level = std::clamp(priority, 0, last);
  m_asked[static_cast<std::size_t>(level)] = now;
  int first = 0;
  while (!HasAsked(first, now)) ++first;
  return m_settings.urgency * (level - first);
}

bool FairSharePolicy::HasAsked(int level, Time now) const {
  const auto& asked = m_asked[static_cast<std::size_t>(level)];
  return asked && now - *asked < m_settings.usage_half_life;
}

double FairSharePolicy::WeightOf(const std::string& workspace) const {
  return 1.0 / (1 + std::max(0, m_priority_of(workspace)));
}

bool FairSharePolicy::IsOpen(Time now) const {
  return static_cast<double>(now % m_settings.cycle) <
         m_settings.open * static_cast<double>(m_settings.cycle);
}

void FairSharePolicy::Sweep(Time now) {
  const double fade = 1 / Growth(now);
  m_origin = now;
  m_turns *= fade;
  // Summed anew, so that rounding does not add up.
  const double faded = m_turns > 0 ? kFaded * m_work * fade / m_turns : m_work;
  m_work = 0;
  m_weight = 0;
  for (auto it = m_uses.begin(); it != m_uses.end();) {
    it->second.work *= fade;
    if (it->second.work <= faded) {
      it = m_uses.erase(it);
      continue;
    }
    it->second.weight = WeightOf(it->first);
    m_work += it->second.work;
    m_weight += it->second.weight;
    ++it;
  }
}

}  // namespace yuccawick::fairness
