// HTTP clients of backend servers, used by the agent to run calls.
//
// Model engines provide the chat completions API with streamed responses, and
// a request that releases prefixes:
//
//   POST /v1/chat/completions  {"model", "messages", "max_tokens", "stream",
//                               "priority", "cache_key", "fence"}
//   POST /v1/cache/release     {"cache_key" | "all", "fence"}
//
// Application servers execute one call per request:
//
//   POST /v1/calls  {"program", "sequence", "arguments", "fence"}
//                   -> {"result": "..."}
//
// A model call is cancelled by closing its connection.
#pragma once

#include <atomic>
#include <functional>

#include "yuccawick/backends/http.h"
#include "yuccawick/core/messages.h"

namespace yuccawick::backends {

using ChunkSink = std::function<void(const std::string& text)>;

// Interface of a backend server; one implementation per kind of server.
class BackendClient {
 public:
  virtual ~BackendClient() = default;
  // Runs a call and blocks until it ends; `on_chunk` is called on the same
  // thread. `cancelled` may be set by another thread.
  virtual core::RunDone Run(const core::RunCall&     command,
                            const std::atomic<bool>& cancelled,
                            const ChunkSink&         on_chunk) const = 0;
  virtual void          Release(const core::ReleasePrefix& command) const = 0;
};

class EngineClient : public BackendClient {
 public:
  EngineClient(Endpoint endpoint, HttpSettings settings)
      : m_endpoint(std::move(endpoint)), m_settings(settings) {}

  core::RunDone Run(const core::RunCall&     command,
                    const std::atomic<bool>& cancelled,
                    const ChunkSink&         on_chunk) const override;
  void          Release(const core::ReleasePrefix& command) const override;

 private:
  Endpoint     m_endpoint;
  HttpSettings m_settings;
};

class ServiceClient : public BackendClient {
 public:
  ServiceClient(Endpoint endpoint, HttpSettings settings)
      : m_endpoint(std::move(endpoint)), m_settings(settings) {}

  core::RunDone Run(const core::RunCall&     command,
                    const std::atomic<bool>& cancelled,
                    const ChunkSink&         on_chunk) const override;
  void          Release(const core::ReleasePrefix& command) const override;

 private:
  Endpoint     m_endpoint;
  HttpSettings m_settings;
};

// Maps a failed exchange to a call failure, including whether the call ran.
core::Failure FailureOf(HttpError error);

}  // namespace yuccawick::backends
