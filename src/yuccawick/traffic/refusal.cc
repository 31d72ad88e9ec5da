#include "yuccawick/traffic/refusal.h"

#include <array>

namespace yuccawick::traffic {
namespace {

struct Row {
  std::string_view name;
  int              status;
  bool             is_retriable;
};

constexpr std::array<Row, kRefusalCount> kRows{{
    {"malformed", 400, false},      {"head_too_large", 431, false},
    {"body_too_large", 413, false}, {"too_slow", 408, false},
    {"no_route", 404, false},       {"unknown_key", 401, false},
    {"unknown_turn", 404, false},   {"budget_spent", 402, false},
    {"over_limit", 429, true},      {"not_ready", 503, true},
    {"route_unsure", 503, true},    {"key_unsure", 503, true},
    {"partial_turn", 503, true},    {"version_unknown", 503, true},
    {"version_gone", 503, true},    {"no_server", 503, true},
    {"overloaded", 503, true},      {"no_room", 503, true},
    {"node_full", 503, true},       {"log_away", 503, true},
    {"history_unsure", 503, true},  {"budget_unsure", 503, true},
    {"limit_unsure", 503, true},    {"late_unsent", 503, true},
    {"late_sent", 504, false},      {"server_failed", 502, false},
    {"server_ends", 502, false},    {"node_stops", 503, true},
    {"node_ends", 502, false},
}};

}  // namespace

std::string_view Name(Refusal refusal) {
  return kRows[static_cast<std::size_t>(refusal)].name;
}

int Status(Refusal refusal) {
  return kRows[static_cast<std::size_t>(refusal)].status;
}

bool IsRetriable(Refusal refusal) {
  return kRows[static_cast<std::size_t>(refusal)].is_retriable;
}

}  // namespace yuccawick::traffic
