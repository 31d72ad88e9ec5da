// Clients of backend servers, over HTTP.
//
// Model engines speak the chat-completions interface with streamed answers,
// and a few orders beside it:
//
//   POST /v1/chat/completions  {"model", "messages", "max_tokens", "stream",
//                               "priority", "cache_key", "fence"}
//   POST /v1/cache/release     {"cache_key" | "all", "fence"}
//
// Application servers take one call and answer it:
//
//   POST /v1/calls  {"program", "sequence", "arguments", "fence"}
//                   -> {"result": "..."}
//
// Closing the connection cancels a model call.
#pragma once

#include <atomic>
#include <functional>

#include "yuccawick/backends/http.h"
#include "yuccawick/core/messages.h"

namespace yuccawick::backends {

using ChunkSink = std::function<void(const std::string& text)>;

// One strategy per kind of backend server.
class BackendClient {
 public:
  virtual ~BackendClient() = default;
  // Blocks until the call has ended. `cancelled` may be set by another thread.
  virtual core::RunDone Run(const core::RunCall&     order,
                            const std::atomic<bool>& cancelled,
                            const ChunkSink&         on_chunk) const = 0;
  virtual void          Release(const core::ReleasePrefix& order) const = 0;
};

class EngineClient : public BackendClient {
 public:
  EngineClient(Endpoint endpoint, HttpSettings settings)
      : m_endpoint(std::move(endpoint)), m_settings(settings) {}

  core::RunDone Run(const core::RunCall&     order,
                    const std::atomic<bool>& cancelled,
                    const ChunkSink&         on_chunk) const override;
  void          Release(const core::ReleasePrefix& order) const override;

 private:
  Endpoint     m_endpoint;
  HttpSettings m_settings;
};

class ServiceClient : public BackendClient {
 public:
  ServiceClient(Endpoint endpoint, HttpSettings settings)
      : m_endpoint(std::move(endpoint)), m_settings(settings) {}

  core::RunDone Run(const core::RunCall&     order,
                    const std::atomic<bool>& cancelled,
                    const ChunkSink&         on_chunk) const override;
  void          Release(const core::ReleasePrefix& order) const override;

 private:
  Endpoint     m_endpoint;
  HttpSettings m_settings;
};

// What a failed exchange says about the call.
core::Failure FailureOf(HttpError error);

}  // namespace yuccawick::backends
