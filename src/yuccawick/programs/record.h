// Turns and claims as records of the log and messages between nodes.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "yuccawick/programs/membership.h"
#include "yuccawick/programs/record.capnp.h"
#include "yuccawick/programs/token_ledger.h"
#include "yuccawick/programs/turn_history.h"

namespace yuccawick::programs {

std::string               EncodeTurn(const Turn& turn);
std::optional<Turn>       DecodeTurn(std::string_view bytes);
std::string               EncodeClaim(const TokenClaim& claim);
std::optional<TokenClaim> DecodeClaim(std::string_view bytes);

std::string             EncodeNode(const NodeInfo& node);
// `name` is the key that the record lies under.
std::optional<NodeInfo> DecodeNode(const std::string& name,
                                   std::string_view   bytes);

void       Write(const Turn& turn, wire::Turn::Builder builder);
Turn       Read(wire::Turn::Reader reader);
void       Write(const TokenClaim& claim, wire::Claim::Builder builder);
TokenClaim Read(wire::Claim::Reader reader);

}  // namespace yuccawick::programs
