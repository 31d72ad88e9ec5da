// Command-line flags shared by yw-entry and yw-agent, and the settings built
// from them.
#pragma once

#include <gflags/gflags.h>

#include <vector>

#include "yuccawick/core/control_tail.h"
#include "yuccawick/core/membership.h"
#include "yuccawick/daemon/node_shell.h"
#include "yuccawick/daemon/settings.h"

DECLARE_string(vm);
DECLARE_string(zone);
DECLARE_string(listen);
DECLARE_string(http);

namespace yuccawick::daemon {

// Rules for the shared flags, followed by `own`.
std::vector<SettingRule>  NodeRules(const std::vector<SettingRule>& own);
// Conflicts between shared flags.
std::vector<SettingError> NodeContradictions();

core::Severity            MinSeverity();
core::ControlTailSettings MakeControlSettings();
core::MembershipSettings  MakeMembershipSettings();
ShellSettings             MakeShellSettings(const core::NodeRef& self);

}  // namespace yuccawick::daemon
