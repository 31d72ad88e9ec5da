// A small stand-in of the platform's store, written from PROTOCOL.md: topics
// with partitions, numbered appends, reads of at most maxKb that may wait, the
// newest record of each key, trimming, expiry, and the limit of 400 MB.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "platform/standin/http_service.h"
#include "yuccawick/net/event_loop.h"

namespace review {

namespace net = yuccawick::net;
using platform::standin::Ending;
using platform::standin::HttpService;
using platform::standin::Request;

class Store {
 public:
  enum class Mode { kUp, kBusy, kSilent };
  using Observer = std::function<void(const std::string& topic, int status)>;

  Store(net::EventLoop* loop, net::Endpoint at);
  bool        Listen() { return m_service.Listen(m_at); }
  void        SetMode(Mode mode) { m_mode = mode; }
  // Sets a key as the operator and the servers do; returns when acknowledged.
  net::Time   Put(const std::string& topic, const std::string& key,
                  const std::string& value);
  std::size_t bytes() const { return m_bytes; }
  void        SetAppendObserver(Observer observer) {
           m_on_append = std::move(observer);
  }

 private:
  static constexpr std::size_t   kMostBytes = 400UL * 1000 * 1000;
  static constexpr std::size_t   kMostRecord = 262'144;
  static constexpr std::size_t   kMostCall = 2'097'152;
  static constexpr net::Duration kRetention = 300'000;
  static constexpr std::size_t   kMostPartition = 200UL * 1000 * 1000;

  struct Stored {
    std::string bytes;
    net::Time   at = 0;
  };
  struct Answered {
    std::int64_t epoch = 0, number = 0, offset = 0, end = 0;
  };
  struct Partition {
    std::int64_t                                first = 0;
    std::size_t                                 bytes = 0;
    std::deque<Stored>                          records;
    std::map<std::string, std::deque<Answered>> producers;
    std::int64_t                                End() const {
                                     return first + static_cast<std::int64_t>(records.size());
    }
  };
  struct Waiting {
    std::uint64_t      id = 0;
    std::string        key;
    std::int64_t       from = 0;
    std::size_t        most = 0;
    HttpService::Reply reply;
  };
  using Query = std::map<std::string, std::string>;

  void Serve(const Request& request, const HttpService::Reply& reply);
  void Append(const Query& query, const std::string& body,
              const HttpService::Reply& reply);
  void Read(const Query& query, const HttpService::Reply& reply);
  void Newest(const Query& query, const HttpService::Reply& reply);
  void Trim(const Query& query, const HttpService::Reply& reply);
  void AnswerRead(const std::string& key, std::int64_t from, std::size_t most,
                  const HttpService::Reply& reply);
  void Wake(const std::string& key);
  void AddRecord(const std::string& key, std::string record);
  void DropFirst(Partition* partition);
  void Expire();

  net::EventLoop*                  m_loop;
  net::Endpoint                    m_at;
  HttpService                      m_service;
  Mode                             m_mode = Mode::kUp;
  std::map<std::string, Partition> m_partitions;  // by "topic/number"
  std::map<std::string,
           std::map<std::string, std::pair<std::string, std::int64_t>>>
                       m_newest;
  std::vector<Waiting> m_waiting;
  std::uint64_t        m_last_waiting = 0;
  std::size_t          m_bytes = 0;
  Observer             m_on_append;
};

}  // namespace review
