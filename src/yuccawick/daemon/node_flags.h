// Flags that entries and agents share, and what follows from them.
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

// The shared flags' rules followed by the daemon's own.
std::vector<SettingRule>  NodeRules(const std::vector<SettingRule>& own);
std::vector<SettingError> NodeContradictions();

core::Severity            MinSeverity();
core::ControlTailSettings MakeControlSettings();
core::MembershipSettings  MakeMembershipSettings();
ShellSettings             MakeShellSettings(const core::NodeRef& self);

}  // namespace yuccawick::daemon
