#include "yuccawick/programs/record.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <utility>

namespace yuccawick::programs {
namespace {

template <class Fill>
std::string Encode(Fill fill) {
  capnp::MallocMessageBuilder message;
  fill(&message);
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, message);
  const auto bytes = out.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

// Returns nullopt if the bytes are not a valid record.
template <class Record, class ReadRecord>
std::optional<Record> Decode(std::string_view bytes, ReadRecord read_record) {
  std::optional<Record> record;
  const auto            exception = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream       in(kj::arrayPtr(
                         reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader reader(in);
    record = read_record(&reader);
  });
  return exception == nullptr ? std::move(record) : std::nullopt;
}

std::string ToString(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

std::string ToBytes(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

capnp::Data::Reader ToData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

}  // namespace

void Write(const Turn& turn, wire::Turn::Builder builder) {
  builder.setId(turn.id);
  builder.setPrevious(turn.previous);
  builder.setProgram(turn.program);
  builder.setInput(ToData(turn.input));
  builder.setOutput(ToData(turn.output));
}

Turn Read(wire::Turn::Reader reader) {
  return {ToString(reader.getId()), ToString(reader.getPrevious()),
          ToString(reader.getProgram()), ToBytes(reader.getInput()),
          ToBytes(reader.getOutput())};
}

std::vector<std::string> EncodeTurn(const Turn& turn) {
  const std::size_t bytes = turn.input.size() + turn.output.size();
  const std::size_t parts =
      std::max<std::size_t>(1, (bytes + kMaxTurnRecord - 1) / kMaxTurnRecord);
  const std::string        all = turn.input + turn.output;
  std::vector<std::string> records;
  records.reserve(parts);
  for (std::size_t part = 0; part < parts; ++part) {
    const std::size_t begin = part * kMaxTurnRecord;
    const std::size_t end = std::min(bytes, begin + kMaxTurnRecord);
    const std::string slice_bytes = all.substr(begin, end - begin);
    // The turn's bytes are its input followed by its output.
    const std::size_t input =
        std::min(slice_bytes.size(),
                 turn.input.size() - std::min(begin, turn.input.size()));
    const Turn slice{turn.id, turn.previous, turn.program,
                     slice_bytes.substr(0, input), slice_bytes.substr(input)};
    records.push_back(Encode([&](auto* message) {
      auto builder = message->template initRoot<wire::Turn>();
      Write(slice, builder);
      builder.setPart(static_cast<std::uint32_t>(part));
      builder.setParts(static_cast<std::uint32_t>(parts));
    }));
  }
  return records;
}

std::optional<TurnPart> DecodeTurn(std::string_view bytes) {
  return Decode<TurnPart>(bytes, [](auto* message) {
    const auto reader = message->template getRoot<wire::Turn>();
    return TurnPart{Read(reader), reader.getPart(),
                    std::max<std::uint32_t>(1, reader.getParts())};
  });
}

void Write(const ReservationId& id, wire::ReservationId::Builder builder) {
  builder.setSender(id.sender);
  builder.setNumber(id.number);
}

ReservationId Read(wire::ReservationId::Reader reader) {
  return {ToString(reader.getSender()), reader.getNumber()};
}

void Write(const TurnSettlement&         settlement,
           wire::TurnSettlement::Builder builder) {
  Write(settlement.id, builder.initId());
  builder.setReserved(settlement.reserved);
  builder.setUsed(settlement.used);
}

TurnSettlement Read(wire::TurnSettlement::Reader reader) {
  return {Read(reader.getId()), reader.getReserved(), reader.getUsed()};
}

void Write(const TokenClaim& claim, wire::Claim::Builder builder) {
  builder.setProgram(claim.program);
  builder.setBudget(claim.budget);
  builder.setBefore(claim.before);
  builder.setWriter(claim.writer);
  auto settled =
      builder.initSettled(static_cast<unsigned>(claim.settled.size()));
  for (unsigned i = 0; i < settled.size(); ++i)
    Write(claim.settled[i], settled[i]);
  auto reservations = builder.initReservations(
      static_cast<unsigned>(claim.reservations.size()));
  for (unsigned i = 0; i < reservations.size(); ++i) {
    Write(claim.reservations[i].id, reservations[i].initId());
    reservations[i].setMaxTokens(claim.reservations[i].max_tokens);
  }
}

TokenClaim Read(wire::Claim::Reader reader) {
  TokenClaim claim{ToString(reader.getProgram()), reader.getBudget(),
                   reader.getBefore()};
  for (const auto each : reader.getSettled())
    claim.settled.push_back(Read(each));
  for (const auto each : reader.getReservations())
    claim.reservations.push_back({Read(each.getId()), each.getMaxTokens()});
  claim.writer = ToString(reader.getWriter());
  return claim;
}

std::string EncodeClaim(const TokenClaim& claim) {
  return Encode([&](auto* message) {
    Write(claim, message->template initRoot<wire::Claim>());
  });
}

std::optional<TokenClaim> DecodeClaim(std::string_view bytes) {
  return Decode<TokenClaim>(bytes, [](auto* message) {
    return Read(message->template getRoot<wire::Claim>());
  });
}

std::string EncodeRate(const workspaces::RateRecord& record) {
  return Encode([&](auto* message) {
    auto builder = message->template initRoot<wire::RateRecord>();
    builder.setNode(record.node);
    builder.setPrevious(record.previous);
    builder.setSent(record.sent);
    builder.setPreviousAcked(record.previous_acked);
    auto list =
        builder.initEntries(static_cast<unsigned>(record.entries.size()));
    unsigned index = 0;
    for (const workspaces::RateEntry& entry : record.entries) {
      list[index].setWorkspace(entry.workspace);
      list[index].setTokens(static_cast<std::int32_t>(entry.tokens));
      list[index].setOrigin(entry.origin);
      ++index;
    }
  });
}

std::optional<workspaces::RateRecord> DecodeRate(std::string_view bytes) {
  return Decode<workspaces::RateRecord>(bytes, [](auto* message) {
    const auto reader = message->template getRoot<wire::RateRecord>();
    workspaces::RateRecord record{ToString(reader.getNode()),
                                  reader.getPrevious(),
                                  reader.getSent(),
                                  reader.getPreviousAcked(),
                                  {}};
    for (const auto& entry : reader.getEntries()) {
      record.entries.push_back({ToString(entry.getWorkspace()),
                                static_cast<std::int64_t>(entry.getTokens()),
                                entry.getOrigin()});
    }
    return record;
  });
}

std::string EncodePossibleOrigin(const traffic::PossibleOrigin& origin) {
  return Encode([&](auto* message) {
    auto builder = message->template initRoot<wire::PossibleOrigin>();
    builder.setGroup(origin.group);
    builder.setMember(origin.member);
  });
}

std::optional<traffic::PossibleOrigin> DecodePossibleOrigin(
    std::string_view bytes) {
  return Decode<traffic::PossibleOrigin>(bytes, [](auto* message) {
    const auto reader = message->template getRoot<wire::PossibleOrigin>();
    return traffic::PossibleOrigin{ToString(reader.getGroup()),
                                   ToString(reader.getMember())};
  });
}

std::string EncodeStreams(const std::vector<OriginStreams>& batch) {
  return Encode([&](auto* message) {
    auto builder = message->template initRoot<wire::StreamBatch>();
    auto list = builder.initOrigins(static_cast<unsigned>(batch.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
      const OriginStreams& each = batch[i];
      list[i].setService(each.origin.service);
      list[i].setVersion(each.origin.version);
      auto streams =
          list[i].initStreams(static_cast<unsigned>(each.streams.size()));
      for (unsigned k = 0; k < streams.size(); ++k) {
        streams[k].setHigh(each.streams[k].high);
        streams[k].setLow(each.streams[k].low);
      }
    }
  });
}

std::optional<std::vector<OriginStreams>> DecodeStreams(
    std::string_view bytes) {
  return Decode<std::vector<OriginStreams>>(bytes, [](auto* message) {
    std::vector<OriginStreams> batch;
    const auto reader = message->template getRoot<wire::StreamBatch>();
    for (const auto origin : reader.getOrigins()) {
      OriginStreams each{
          {ToString(origin.getService()), ToString(origin.getVersion())}, {}};
      for (const auto key : origin.getStreams())
        each.streams.push_back({key.getHigh(), key.getLow()});
      batch.push_back(std::move(each));
    }
    return batch;
  });
}

std::string EncodeMark(const KeptMark& mark) {
  return Encode([&](auto* message) {
    auto builder = message->template initRoot<wire::RequestMark>();
    builder.initKey().setHigh(mark.key.high);
    builder.getKey().setLow(mark.key.low);
    builder.setServer(mark.server);
    builder.setState(mark.ended ? wire::MarkState::ENDED
                                : wire::MarkState::UNRESOLVED);
  });
}

std::optional<KeptMark> DecodeMark(std::string_view bytes) {
  return Decode<KeptMark>(bytes, [](auto* message) {
    const auto reader = message->template getRoot<wire::RequestMark>();
    return KeptMark{{reader.getKey().getHigh(), reader.getKey().getLow()},
                    ToString(reader.getServer()),
                    reader.getState() == wire::MarkState::ENDED};
  });
}

std::string EncodeNode(const NodeInfo& node) {
  return Encode([&](auto* message) {
    auto builder = message->template initRoot<wire::Node>();
    builder.setIncarnation(node.incarnation);
    builder.setAddress(node.address.Text());
    builder.setZone(node.zone);
    builder.setCapacity(node.millicores);
    builder.setHoldsStreams(node.holds_streams);
  });
}

std::optional<NodeInfo> DecodeNode(const std::string& name,
                                   std::string_view   bytes) {
  auto node = Decode<NodeInfo>(bytes, [&](auto* message) {
    const auto reader = message->template getRoot<wire::Node>();
    const auto address = net::ParseEndpoint(ToString(reader.getAddress()));
    const auto capacity = reader.getCapacity();
    return NodeInfo{name,
                    ToString(reader.getIncarnation()),
                    address.value_or(net::Endpoint{}),
                    ToString(reader.getZone()),
                    capacity > 0 ? capacity : kDefaultMillicores,
                    reader.getHoldsStreams()};
  });
  return node && node->address.port != 0 ? node : std::nullopt;
}

}  // namespace yuccawick::programs
