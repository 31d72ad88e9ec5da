#include "yuccawick/fairness/fair_share_policy.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace yuccawick::fairness {
namespace {

// Workspaces whose decayed usage is below this many average turns are dropped.
constexpr double kMinTurnsKept = 0.1;
// Lower bound of the admission threshold, whatever the margins.
constexpr double kMinThreshold = 0.5;

}  // namespace

FairSharePolicy::FairSharePolicy(const FairShareSettings& settings,
                                 PriorityOf               priority_of)
    : m_settings(settings), m_priority_of(std::move(priority_of)) {}

double FairSharePolicy::AdmissionThreshold(const NewProgram& program,
                                           Time              now) {
  double margin = UrgencyMargin(program.priority, now);
  if (program.late) margin += m_settings.late;
  if (AreMarginsLifted(now)) margin = 0;
  const auto usage = m_usage.find(program.workspace);
  if (usage != m_usage.end()) margin += UsageMargin(usage->second);
  return std::max(1 - margin, kMinThreshold);
}

void FairSharePolicy::Charge(const std::string& workspace, double work,
                             Time now) {
  if (workspace.empty() || work <= 0) return;
  const UsageCharge charge{workspace, work, 1};
  Add(charge, now);
  if (!m_usage.contains(workspace)) return;
  UsageCharge& unsent =
      m_unsent.try_emplace(workspace, UsageCharge{workspace}).first->second;
  unsent.work += charge.work;
  unsent.turns += charge.turns;
}

std::vector<UsageCharge> FairSharePolicy::TakeUnsent() {
  std::vector<UsageCharge> charges;
  charges.reserve(m_unsent.size());
  for (auto& [workspace, charge] : m_unsent) {
    charges.push_back(std::move(charge));
  }
  m_unsent.clear();
  return charges;
}

void FairSharePolicy::MergePeer(const std::vector<UsageCharge>& charges,
                                Time                            now) {
  for (const UsageCharge& charge : charges) {
    const bool is_valid =
        !charge.workspace.empty() && std::isfinite(charge.work) &&
        std::isfinite(charge.turns) && charge.work > 0 && charge.turns > 0;
    if (is_valid) Add(charge, now);
  }
}

void FairSharePolicy::Add(const UsageCharge& charge, Time now) {
  if (now - m_origin >= m_settings.usage_half_life) Sweep(now);
  auto it = m_usage.find(charge.workspace);
  if (it == m_usage.end()) {
    if (static_cast<std::int64_t>(m_usage.size()) >= m_settings.workspaces) {
      return;
    }
    it = m_usage.try_emplace(charge.workspace).first;
    it->second.weight = WeightOf(charge.workspace);
    m_weight += it->second.weight;
  }
  const double growth = GrowthFactor(now);
  it->second.work += charge.work * growth;
  m_work += charge.work * growth;
  m_turns += charge.turns * growth;
}

std::vector<FairSharePolicy::WorkspaceUsage> FairSharePolicy::TopWorkspaces(
    std::size_t max_count) const {
  std::vector<WorkspaceUsage> result;
  result.reserve(m_usage.size());
  for (const auto& [workspace, usage] : m_usage) {
    result.push_back({workspace, usage.work / m_work, UsageMargin(usage)});
  }
  const auto first = [](const WorkspaceUsage& a, const WorkspaceUsage& b) {
    return std::tie(b.part, a.workspace) < std::tie(a.part, b.workspace);
  };
  const auto end = result.begin() + static_cast<std::ptrdiff_t>(
                                        std::min(max_count, result.size()));
  std::partial_sort(result.begin(), end, result.end(), first);
  result.erase(end, result.end());
  return result;
}

double FairSharePolicy::GrowthFactor(Time now) const {
  return std::exp2(static_cast<double>(now - m_origin) /
                   static_cast<double>(m_settings.usage_half_life));
}

double FairSharePolicy::UsageMargin(const Usage& usage) const {
  const double others_weight = m_weight - usage.weight;
  // Rounding may leave a small remainder when there is no other workspace.
  if (m_usage.size() < 2 || others_weight <= 0) return 0;
  const double credit = m_settings.credit_turns * m_work / m_turns;
  const double average =
      std::max((m_work - usage.work) / others_weight, credit);
  const double doublings = std::log2(usage.work / usage.weight / average);
  return std::clamp(m_settings.step * doublings, 0.0,
                    m_settings.max_usage_margin);
}

double FairSharePolicy::UrgencyMargin(int priority, Time now) {
  const auto last = static_cast<int>(m_last_requests.size()) - 1;
  const int  level = std::clamp(priority, 0, last);
  m_last_requests[static_cast<std::size_t>(level)] = now;
  int first = 0;
  while (!HasRequestedRecently(first, now)) ++first;
  return m_settings.urgency * (level - first);
}

bool FairSharePolicy::HasRequestedRecently(int level, Time now) const {
  const auto& last_request = m_last_requests[static_cast<std::size_t>(level)];
  return last_request && now - *last_request < m_settings.usage_half_life;
}

double FairSharePolicy::WeightOf(const std::string& workspace) const {
  return 1.0 / (1 + std::max(0, m_priority_of(workspace)));
}

bool FairSharePolicy::AreMarginsLifted(Time now) const {
  return static_cast<double>(now % m_settings.cycle) <
         m_settings.open * static_cast<double>(m_settings.cycle);
}

void FairSharePolicy::Sweep(Time now) {
  const double decay = 1 / GrowthFactor(now);
  m_origin = now;
  m_turns *= decay;
  // Recomputed from the entries, so that rounding errors do not accumulate.
  const double min_work =
      m_turns > 0 ? kMinTurnsKept * m_work * decay / m_turns : m_work;
  m_work = 0;
  m_weight = 0;
  for (auto it = m_usage.begin(); it != m_usage.end();) {
    it->second.work *= decay;
    if (it->second.work <= min_work) {
      it = m_usage.erase(it);
      continue;
    }
    it->second.weight = WeightOf(it->first);
    m_work += it->second.work;
    m_weight += it->second.weight;
    ++it;
  }
}

}  // namespace yuccawick::fairness
