// Conversion between callers' HTTP headers and JSON and the core's types.
//
// The Read and ...Of functions return a typed failure for invalid input;
// nothing here acts on a request. The interface is described in docs/API.md.
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
  core::Duration answer_margin = 15000;     // ms to wait past the deadline
};

// ---- Requests

struct CallerHeaders {
  std::string     customer;
  std::string     workspace;
  core::ProgramId program;
  core::Sequence  sequence = 0;
  core::Duration  deadline = 0;  // ms from the time of the request
};

// Reads the headers of every request: customer, workspace, deadline.
tl::expected<CallerHeaders, core::Failure> ReadHeaders(
    const Poco::Net::HTTPServerRequest& request,
    const CallerApiSettings&            settings);
// Also reads the headers of calls: program and sequence.
tl::expected<CallerHeaders, core::Failure> ReadCallHeaders(
    const Poco::Net::HTTPServerRequest& request,
    const CallerApiSettings&            settings);

// Reads the body as a JSON object of at most `max_bytes` bytes.
tl::expected<Poco::JSON::Object::Ptr, core::Failure> ReadJson(
    Poco::Net::HTTPServerRequest& request, std::size_t max_bytes);

// Reads a string member. If it is absent, returns `*fallback`, or a failure if
// `fallback` is null.
tl::expected<std::string, core::Failure> TextOf(const Poco::JSON::Object& json,
                                                const std::string&        name,
                                                const std::string* fallback);
// Joins the new messages of a chat completion into one text. Callers do not
// resend the history, which the system stores.
tl::expected<std::string, core::Failure> ContentOf(
    const Poco::JSON::Object& json);
tl::expected<core::Tokens, core::Failure> MaxTokensOf(
    const Poco::JSON::Object& json);
// True if the member exists and is `true`.
bool FlagOf(const Poco::JSON::Object& json, const std::string& name);

// ---- Replies

std::string             ToText(const Poco::JSON::Object& json);
Poco::JSON::Object::Ptr FailureJson(const core::Failure& failure);
Poco::JSON::Object::Ptr UsageJson(const core::Usage& usage);
// Formats one choice; `key` is "message" or "delta".
Poco::JSON::Object::Ptr ChoiceJson(const char* key, const std::string& content,
                                   bool finished);
// Formats a completion or a chunk of one; `kind` is its "object" member.
Poco::JSON::Object::Ptr CompletionJson(const core::Call& call, const char* kind,
                                       const Poco::JSON::Object::Ptr& choice);
Poco::JSON::Object::Ptr ProgramJson(const core::ProgramDelta& program);

void SendJson(Poco::Net::HTTPServerResponse& response, int status,
              const Poco::JSON::Object& json);
// Sends the failure as JSON, with its HTTP status and Retry-After header.
void SendFailure(Poco::Net::HTTPServerResponse& response,
                 const core::Failure&           failure);

}  // namespace yuccawick::daemon
