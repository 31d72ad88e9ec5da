// Maps API keys to workspaces.
//
// WorkspaceTable holds the workspaces of one manifest version. It is immutable
// and finds the workspace of a key in constant time:
//
//   auto table = WorkspaceTable::Build(std::move(workspaces));
//   if (!table) reject the manifest; table.error() never contains a key
//   const Workspace* owner = table->FindByKey(key);  // nullptr: unknown key
//
// Ids of programs, sessions and turns are private to their workspace: Scoped()
// prefixes an id with the workspace's name, so equal ids in two workspaces
// never refer to the same object.
//
// Keys are secrets and must not appear in logs, metrics, responses or errors.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

namespace yuccawick::workspaces {

// Request rate to backend servers, over all nodes.
struct RateLimit {
  double per_second = 0;
  double burst = 0;  // additional requests after a period of lower use

  bool operator==(const RateLimit&) const = default;
};

struct Workspace {
  std::string              name;
  std::vector<std::string> keys;
  std::optional<int> priority;  // overrides the route's priority; 0 is highest
  std::optional<RateLimit> limit;  // nullopt: unlimited
};

enum class WorkspaceFault : std::uint8_t {
  kName,       // empty, or contains a control character
  kSameName,   // duplicate workspace name
  kSharedKey,  // key is empty or belongs to two workspaces
  kRate,       // negative or not a finite number
};
std::string_view Name(WorkspaceFault fault);

struct WorkspaceError {
  WorkspaceFault fault;
  std::string    workspace;  // name of the rejected workspace
};

class WorkspaceTable {
 public:
  WorkspaceTable() = default;  // empty
  static tl::expected<WorkspaceTable, WorkspaceError> Build(
      std::vector<Workspace> workspaces);

  // Pointers are valid as long as the table; nullptr if not found.
  const Workspace* FindByKey(std::string_view key) const;
  const Workspace* Find(std::string_view name) const;
  std::size_t      size() const { return m_workspaces.size(); }

 private:
  // Transparent hash, so that lookups accept string views.
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };
  using Index =
      std::unordered_map<std::string, std::size_t, Hash, std::equal_to<>>;
  const Workspace* Lookup(const Index& index, std::string_view text) const;

  std::vector<Workspace> m_workspaces;
  Index                  m_by_key;
  Index                  m_by_name;
};

// Returns the workspace's name, a line feed and the id. Neither headers nor
// workspace names can contain a line feed. Without a workspace, or for an empty
// id, returns the id itself.
std::string Scoped(const Workspace* workspace, const std::string& id);

}  // namespace yuccawick::workspaces
