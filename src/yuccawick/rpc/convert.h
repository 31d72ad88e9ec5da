// Converts core structs to and from Cap'n Proto and the JSON of the log.
//
// Fields are copied by name through the structs' Visit(), so that each field is
// declared only in its struct and in node.capnp. A name that is missing on one
// side throws kj::Exception at the first conversion; tests convert every type.
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

// Returns the record as one line of JSON.
std::string                            ToJson(const core::Record& record);
tl::expected<core::Record, CodecError> RecordFromJson(const std::string& json);

}  // namespace yuccawick::rpc
