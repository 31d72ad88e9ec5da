// Callers' requests and replies as HTTP headers and JSON.
//
// Reading gives a typed failure for whatever is not of the interface; nothing
// here acts on a request. docs/API.md describes the interface.
#pragma once

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <cstddef>
#include <string>
#include <tl/expected.hpp>

#include "yuccawick/core/failure.h"
#include "yuccawick/core/program.h"

namespace yuccawick::daemon {

struct CallerApiSettings {
  std::size_t    max_body_bytes = 1 << 20;
  core::Duration default_deadline = 60000;  // ms
  core::Duration max_deadline = 3600000;    // ms
  core::Duration answer_margin = 15000;  // ms past the deadline for an answer
};

// ---- Requests

struct CallerHeaders {
  std::string     customer;
  std::string     workspace;
  core::ProgramId program;
  core::Sequence  sequence = 0;
  core::Duration  deadline = 0;  // ms from now
};

// What every request carries: customer, workspace, deadline.
tl::expected<CallerHeaders, core::Failure> ReadHeaders(
    const Poco::Net::HTTPServerRequest& request,
    const CallerApiSettings&            settings);
// The same with program and sequence.
tl::expected<CallerHeaders, core::Failure> ReadCallHeaders(
    const Poco::Net::HTTPServerRequest& request,
    const CallerApiSettings&            settings);

// The body as a JSON object of at most `most` bytes.
tl::expected<Poco::JSON::Object::Ptr, core::Failure> ReadJson(
    Poco::Net::HTTPServerRequest& request, std::size_t most);

// A text member; `fallback` if it is absent (null: it must be there).
tl::expected<std::string, core::Failure> TextOf(const Poco::JSON::Object& json,
                                                const std::string&        name,
                                                const std::string* fallback);
// The new messages of a chat completion, as one text. History is kept by the
// system and not sent again.
tl::expected<std::string, core::Failure> ContentOf(
    const Poco::JSON::Object& json);
tl::expected<core::Tokens, core::Failure> MaxTokensOf(
    const Poco::JSON::Object& json);
// True if the member is there and true.
bool FlagOf(const Poco::JSON::Object& json, const std::string& name);

// ---- Replies

std::string             ToText(const Poco::JSON::Object& json);
Poco::JSON::Object::Ptr FailureJson(const core::Failure& failure);
Poco::JSON::Object::Ptr UsageJson(const core::Usage& usage);
// One choice; `key` is "message" or "delta".
Poco::JSON::Object::Ptr ChoiceJson(const char* key, const std::string& content,
                                   bool finished);
// A completion or a chunk of one; `kind` is its "object".
Poco::JSON::Object::Ptr CompletionJson(const core::Call& call, const char* kind,
                                       const Poco::JSON::Object::Ptr& choice);
Poco::JSON::Object::Ptr ProgramJson(const core::ProgramDelta& program);

void SendJson(Poco::Net::HTTPServerResponse& response, int status,
              const Poco::JSON::Object& json);
// With status and Retry-After of the failure.
void SendFailure(Poco::Net::HTTPServerResponse& response,
                 const core::Failure&           failure);

}  // namespace yuccawick::daemon
