// Stand-in for the platform's append-only log.
//
// Deletes records after their retention and limits the appends per second. Can
// simulate an outage, slowness, and lost replies to successful appends:
//
//   POST /control {"mode": "up" | "down" | "lose_replies", "slow_ms": N,
//                  "retention_ms": N}
#pragma once

#include <chrono>
#include <deque>
#include <mutex>

#include "server.h"

namespace standins {

class LogService : public StandIn {
 public:
  explicit LogService(int appends_per_second)
      : m_appends_per_second(appends_per_second) {}
  void Serve(const Request&                 request,
             Poco::Net::HTTPServerResponse& response) override;

 private:
  using Clock = std::chrono::steady_clock;
  struct StoredRecord {
    std::string       data;
    Clock::time_point at;
  };
  struct Stream {
    std::deque<StoredRecord> records;
    std::int64_t             earliest = 0;
  };
  enum class Mode { kUp, kDown, kLoseReplies };

  void Control(const Request& request);
  void Append(const std::string& name, const Request& request,
              Poco::Net::HTTPServerResponse& response);
  void Read(const std::string& name, const Request& request,
            Poco::Net::HTTPServerResponse& response);
  void Effects(Poco::Net::HTTPServerResponse& response);
  bool TryConsumeQuota();
  void DeleteExpired(Stream* stream);

  std::mutex                    m_mutex;
  std::map<std::string, Stream> m_streams;
  Mode                          m_mode = Mode::kUp;
  int                           m_slow_ms = 0;
  std::int64_t                  m_retention_ms = 0;  // 0: unlimited
  int                           m_appends_per_second;
  std::deque<Clock::time_point> m_recent;  // appends of the last second
  std::int64_t                  m_appends = 0;
  std::int64_t                  m_refused = 0;
  std::int64_t                  m_reads = 0;
};

}  // namespace standins
