// Core structs to Cap'n Proto and to the JSON of the log, and back.
//
// Fields are copied by name through the structs' own Visit(), so that each is
// listed in two places only: its struct and node.capnp. A name that one side
// lacks throws kj::Exception at the first conversion; tests convert every type.
#pragma once

#include <string>
#include <tl/expected.hpp>

#include "yuccawick/core/messages.h"
#include "yuccawick/rpc/node.capnp.h"

namespace yuccawick::rpc {

struct Envelope {
  core::NodeRef from;
  core::NodeRef to;
  std::string   from_address;  // host:port
  core::Message message;
};

enum class CodecError : std::uint8_t { kBadRecord, kBadMessage };

void Write(const Envelope& envelope, wire::Envelope::Builder builder);
tl::expected<Envelope, CodecError> Read(wire::Envelope::Reader reader);

// The record as one line of JSON.
std::string                            ToJson(const core::Record& record);
tl::expected<core::Record, CodecError> RecordFromJson(const std::string& json);

}  // namespace yuccawick::rpc
