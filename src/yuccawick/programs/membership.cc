#include "yuccawick/programs/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace yuccawick::programs {
namespace {

// Weighted rendezvous hashing: draws a uniform u from the key and the node's
// name; the node with the highest millicores / -ln(u) ranks first.
double Weight(std::string_view key, const NodeInfo& node) {
  const XXH64_hash_t seed = XXH3_64bits(node.name.data(), node.name.size());
  const auto         hash = XXH3_64bits_withSeed(key.data(), key.size(), seed);
  const auto         draw =
      (static_cast<double>(hash) + 1.0) /
      static_cast<double>(std::numeric_limits<XXH64_hash_t>::max());
  // Rounding maps the highest hash to 1, whose logarithm is 0.
  constexpr double kAlmostOne = 1.0 - 1e-12;
  return node.millicores / -std::log(std::min(draw, kAlmostOne));
}

}  // namespace

void Membership::Put(const NodeInfo& node) {
  if (node.name == m_self.name) return;
  auto& stored_node = m_nodes[node.name];
  if (stored_node.incarnation != node.incarnation) {
    m_suspects.erase(node.name);
    m_stopping.erase(node.name);
  }
  stored_node = node;
}

void Membership::Remove(const std::string& name) {
  m_nodes.erase(name);
  m_stopping.erase(name);
}

void Membership::SetStopping(const std::string& name) {
  if (name == m_self.name || m_nodes.contains(name)) m_stopping.insert(name);
}

bool Membership::OthersServeZone() const {
  return std::any_of(m_nodes.begin(), m_nodes.end(), [this](const auto& entry) {
    const auto& [name, node] = entry;
    return node.zone == m_self.zone && !Suspected(name) &&
           !m_stopping.contains(name);
  });
}

bool Membership::Suspect(const std::string& name, Time now) {
  const auto [suspicion, added] = m_suspects.try_emplace(name);
  // Repeated failures do not restart the probe interval.
  if (added) suspicion->second = {now + kMinProbeInterval, kMinProbeInterval};
  return added;
}

std::vector<NodeInfo> Membership::TakeDueProbes(Time now) {
  std::vector<NodeInfo> due_nodes;
  for (auto& [name, suspicion] : m_suspects) {
    const auto node = m_nodes.find(name);
    if (now < suspicion.probe_at || node == m_nodes.end()) continue;
    suspicion.interval = std::min(2 * suspicion.interval, kMaxProbeInterval);
    suspicion.probe_at = now + suspicion.interval;
    due_nodes.push_back(node->second);
  }
  return due_nodes;
}

std::vector<NodeInfo> Membership::RankCoordinators(std::string_view key) const {
  auto coordinators = RankAllNodes(key);
  std::erase_if(coordinators,
                [this](const NodeInfo& node) { return Suspected(node.name); });
  return coordinators;
}

std::vector<NodeInfo> Membership::RankAllNodes(std::string_view key) const {
  std::vector<NodeInfo> nodes = All();
  nodes.push_back(m_self);
  std::sort(nodes.begin(), nodes.end(),
            [key](const NodeInfo& a, const NodeInfo& b) {
              return Weight(key, a) > Weight(key, b);
            });
  return nodes;
}

std::vector<NodeInfo> Membership::ChooseStreamHolders(std::string_view key,
                                                      std::size_t count) const {
  std::vector<std::pair<double, const NodeInfo*>> ranked;
  const auto add = [&](const NodeInfo& node) {
    if (node.holds_streams && !Suspected(node.name))
      ranked.emplace_back(Weight(key, node), &node);
  };
  add(m_self);
  for (const auto& [name, node] : m_nodes) add(node);
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  std::set<std::string_view> zones;
  // The best of each zone first, in order of rank.
  std::stable_partition(ranked.begin(), ranked.end(), [&](const auto& each) {
    return zones.insert(each.second->zone).second;
  });
  std::vector<NodeInfo> holders;
  for (const auto& [weight, node] : ranked) {
    if (holders.size() < count) holders.push_back(*node);
  }
  return holders;
}

bool Membership::Runs(const std::string& incarnation) const {
  return incarnation == m_self.incarnation ||
         std::any_of(m_nodes.begin(), m_nodes.end(), [&](const auto& entry) {
           return entry.second.incarnation == incarnation;
         });
}

const NodeInfo* Membership::Find(const std::string& name) const {
  const auto found = m_nodes.find(name);
  return found == m_nodes.end() ? nullptr : &found->second;
}

std::vector<NodeInfo> Membership::Others() const {
  std::vector<NodeInfo> others;
  for (const auto& [name, node] : m_nodes) {
    if (!Suspected(name)) others.push_back(node);
  }
  return others;
}

std::vector<NodeInfo> Membership::All() const {
  std::vector<NodeInfo> all;
  for (const auto& [name, node] : m_nodes) all.push_back(node);
  return all;
}

}  // namespace yuccawick::programs
