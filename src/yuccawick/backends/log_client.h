// HTTP client of the platform's append-only log.
//
//   POST /streams/S/records  {"records": ["...", ...]}  -> {"last": N}
//   GET  /streams/S/records?from=N
//        -> {"earliest": N, "end": N, "records": [{"offset": N, "data":
//        "..."}]}
//
// A 503 means that nothing was appended. Without a response, the records may
// or may not have been appended.
#pragma once

#include "yuccawick/backends/http.h"
#include "yuccawick/core/messages.h"

namespace yuccawick::backends {

class LogClient {
 public:
  LogClient(Endpoint endpoint, HttpSettings settings)
      : m_endpoint(std::move(endpoint)), m_settings(settings) {}

  core::AppendDone Append(const core::AppendRecords& command) const;
  core::ReadDone   Read(const core::ReadRecords& command) const;

 private:
  Endpoint     m_endpoint;
  HttpSettings m_settings;
};

// HTTP client of the platform's list of VMs: GET /vms
//   -> {"vms": [{"vm": "...", "address": "host:port", "leaving": false}]}
class VmListClient {
 public:
  VmListClient(Endpoint endpoint, HttpSettings settings)
      : m_endpoint(std::move(endpoint)), m_settings(settings) {}

  tl::expected<core::VmListRead, HttpError> Read() const;

 private:
  Endpoint     m_endpoint;
  HttpSettings m_settings;
};

}  // namespace yuccawick::backends
