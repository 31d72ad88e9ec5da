// Encodes and decodes the Cap'n Proto records stored in the log: turns, token
// claims, rate claims and nodes. Decode functions return nullopt for bytes that
// are not a valid record. Write() and Read() convert the same types within
// messages between nodes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "yuccawick/programs/membership.h"
#include "yuccawick/programs/record.capnp.h"
#include "yuccawick/programs/token_ledger.h"
#include "yuccawick/programs/turn_history.h"
#include "yuccawick/traffic/request_key.h"
#include "yuccawick/traffic/software_history.h"
#include "yuccawick/traffic/stream_origins.h"
#include "yuccawick/workspaces/rate_ledger.h"

namespace yuccawick::programs {

// Maximum bytes of input and output in one record; leaves room below the log's
// limit of 256 KB. Larger turns are split.
inline constexpr std::size_t kMaxTurnRecord = 200UL * 1024;
// One record of a turn. The inputs and outputs of all parts, concatenated in
// order, are those of the turn.
struct TurnPart {
  Turn          turn;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
};
std::vector<std::string>  EncodeTurn(const Turn& turn);
std::optional<TurnPart>   DecodeTurn(std::string_view bytes);
std::string               EncodeClaim(const TokenClaim& claim);
std::optional<TokenClaim> DecodeClaim(std::string_view bytes);

std::string EncodeRate(const workspaces::RateRecord& record);
std::optional<workspaces::RateRecord> DecodeRate(std::string_view bytes);

std::string             EncodeNode(const NodeInfo& node);
// `name` is the key under which the record is stored.
std::optional<NodeInfo> DecodeNode(const std::string& name,
                                   std::string_view   bytes);

std::string EncodePossibleOrigin(const traffic::PossibleOrigin& origin);
std::optional<traffic::PossibleOrigin> DecodePossibleOrigin(
    std::string_view bytes);

// The streams that began under an origin; see traffic/stream_origins.h.
struct OriginStreams {
  traffic::StreamOrigin           origin;
  std::vector<traffic::StreamKey> streams;
};
std::string EncodeStreams(const std::vector<OriginStreams>& batch);
std::optional<std::vector<OriginStreams>> DecodeStreams(std::string_view bytes);

// A mark of a suspect request; see traffic/suspect_requests.h.
struct KeptMark {
  traffic::RequestKey key;
  std::string         server;
  bool                ended = false;  // else it is not known
};
std::string             EncodeMark(const KeptMark& mark);
std::optional<KeptMark> DecodeMark(std::string_view bytes);

void       Write(const Turn& turn, wire::Turn::Builder builder);
Turn       Read(wire::Turn::Reader reader);
void       Write(const TokenClaim& claim, wire::Claim::Builder builder);
TokenClaim Read(wire::Claim::Reader reader);

void Write(const ReservationId& id, wire::ReservationId::Builder builder);
ReservationId  Read(wire::ReservationId::Reader reader);
void           Write(const TurnSettlement&         settlement,
                     wire::TurnSettlement::Builder builder);
TurnSettlement Read(wire::TurnSettlement::Reader reader);

}  // namespace yuccawick::programs
