#include "yuccawick/workspaces/workspace.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace yuccawick::workspaces {
namespace {

constexpr char kScopeSeparator = '\n';
constexpr char kLastControlChar = 0x1f;

bool IsValidName(std::string_view name) {
  return !name.empty() && std::none_of(name.begin(), name.end(), [](char c) {
    return c >= 0 && c <= kLastControlChar;
  });
}

bool IsValidLimit(const RateLimit& limit) {
  return std::isfinite(limit.per_second) && limit.per_second >= 0 &&
         std::isfinite(limit.burst) && limit.burst >= 0;
}

}  // namespace

std::string_view Name(WorkspaceFault fault) {
  constexpr std::array<std::string_view, 4> kNames{"name", "same_name",
                                                   "shared_key", "rate"};
  return kNames[static_cast<std::size_t>(fault)];
}

tl::expected<WorkspaceTable, WorkspaceError> WorkspaceTable::Build(
    std::vector<Workspace> workspaces) {
  WorkspaceTable table;
  table.m_workspaces = std::move(workspaces);
  for (std::size_t i = 0; i < table.m_workspaces.size(); ++i) {
    const Workspace& workspace = table.m_workspaces[i];
    const auto       reject = [&workspace](WorkspaceFault fault) {
      return tl::unexpected(WorkspaceError{fault, workspace.name});
    };
    if (!IsValidName(workspace.name)) return reject(WorkspaceFault::kName);
    if (!table.m_by_name.emplace(workspace.name, i).second) {
      return reject(WorkspaceFault::kSameName);
    }
    if (workspace.limit && !IsValidLimit(*workspace.limit)) {
      return reject(WorkspaceFault::kRate);
    }
    for (const std::string& key : workspace.keys) {
      const auto [entry, added] = table.m_by_key.emplace(key, i);
      // A workspace may list the same key twice.
      if (key.empty() || entry->second != i) {
        return reject(WorkspaceFault::kSharedKey);
      }
    }
  }
  return table;
}

const Workspace* WorkspaceTable::Lookup(const Index&     index,
                                        std::string_view text) const {
  const auto found = index.find(text);
  return found == index.end() ? nullptr : &m_workspaces[found->second];
}

const Workspace* WorkspaceTable::FindByKey(std::string_view key) const {
  return Lookup(m_by_key, key);
}

const Workspace* WorkspaceTable::Find(std::string_view name) const {
  return Lookup(m_by_name, name);
}

std::string Scoped(const Workspace* workspace, const std::string& id) {
  if (workspace == nullptr || id.empty()) return id;
  return workspace->name + kScopeSeparator + id;
}

}  // namespace yuccawick::workspaces
