#include "yuccawick/programs/membership.h"

#include <xxhash.h>

namespace yuccawick::programs {
namespace {

std::uint64_t Weight(std::string_view key, const std::string& node) {
  const XXH64_hash_t seed = XXH3_64bits(node.data(), node.size());
  return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

}  // namespace

void Membership::Put(const NodeInfo& node) {
  if (node.name == m_self.name) return;
  auto& known = m_nodes[node.name];
  if (known.incarnation != node.incarnation) m_suspects.erase(node.name);
  known = node;
}

void Membership::Suspect(const std::string& name, Time now) {
  m_suspects[name] = now + kSuspicion;
}

bool Membership::Suspected(const std::string& name, Time now) const {
  const auto found = m_suspects.find(name);
  return found != m_suspects.end() && now < found->second;
}

const NodeInfo& Membership::HomeOf(std::string_view key, Time now) const {
  const NodeInfo* home = &m_self;
  std::uint64_t   most = Weight(key, m_self.name);
  for (const auto& [name, node] : m_nodes) {
    if (Suspected(name, now)) continue;
    const std::uint64_t weight = Weight(key, name);
    if (weight <= most) continue;
    most = weight;
    home = &node;
  }
  return *home;
}

const NodeInfo* Membership::Find(const std::string& name) const {
  const auto found = m_nodes.find(name);
  return found == m_nodes.end() ? nullptr : &found->second;
}

std::vector<NodeInfo> Membership::Others(Time now) const {
  std::vector<NodeInfo> others;
  for (const auto& [name, node] : m_nodes) {
    if (!Suspected(name, now)) others.push_back(node);
  }
  return others;
}

std::vector<NodeInfo> Membership::All() const {
  std::vector<NodeInfo> all;
  for (const auto& [name, node] : m_nodes) all.push_back(node);
  return all;
}

}  // namespace yuccawick::programs
