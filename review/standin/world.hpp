// Small stand-ins of the platform for the scripts of this review: the store,
// servers, clients and the machine that runs gateway processes.
//
// They follow PROTOCOL.md and DEPLOY.md of the users' pages and use blocking
// sockets and one thread per connection. Every address is a loopback address.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Time ------------------------------------------------------------------------

inline std::int64_t NowMs() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
      .count();
}
inline std::int64_t UnixMs() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
      .count();
}
inline void Sleep(std::int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Record ----------------------------------------------------------------------

// Writes record.txt: what was sent, answered and run, with ms since the start.
class Record {
 public:
  explicit Record(const std::string& path)
      : m_file(std::fopen(path.c_str(), "w")), m_start(NowMs()) {}
  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    const std::scoped_lock lock(m_lock);
    if (m_file == nullptr) return;
    std::fprintf(m_file, "%7lld ", static_cast<long long>(NowMs() - m_start));
    va_list args;
    va_start(args, format);
    std::vfprintf(m_file, format, args);
    va_end(args);
    std::fputc('\n', m_file);
    std::fflush(m_file);
  }
  std::int64_t start() const { return m_start; }

 private:
  std::mutex   m_lock;
  std::FILE*   m_file;
  std::int64_t m_start;
};

// Sockets ---------------------------------------------------------------------

struct Address {
  std::string ip;
  int         port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSystem(const Address& at) {
  sockaddr_in system{};
  system.sin_family = AF_INET;
  system.sin_port = htons(static_cast<std::uint16_t>(at.port));
  inet_pton(AF_INET, at.ip.c_str(), &system.sin_addr);
  return system;
}

// 127.A.B.x with A and B of this run, so that runs do not share addresses.
inline std::string Ip(int last) {
  static const auto kNet = [] {
    std::random_device random;
    return std::pair(20 + random() % 200, 1 + random() % 250);
  }();
  return "127." + std::to_string(kNet.first) + "." +
         std::to_string(kNet.second) + "." + std::to_string(last);
}

inline int FreePort(const std::string& ip) {
  const int   fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = ToSystem({ip, 0});
  socklen_t   size = sizeof at;
  int         port = 0;
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 &&
      getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) == 0)
    port = ntohs(at.sin_port);
  close(fd);
  return port;
}

struct Message {
  std::string                                      first;  // first line
  std::vector<std::pair<std::string, std::string>> headers;
  std::string                                      body;
  bool                                             complete = false;
  std::string Get(const std::string& name) const {
    for (const auto& [key, value] : headers)
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    return {};
  }
  bool Has(const std::string& name) const {
    for (const auto& [key, value] : headers)
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return true;
    return false;
  }
  int status() const {
    return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
  }
  std::string method() const { return first.substr(0, first.find(' ')); }
  std::string target() const {
    const auto from = first.find(' ') + 1;
    return first.substr(from, first.find(' ', from) - from);
  }
};

// A connected socket with buffered reading.
class Channel {
 public:
  explicit Channel(int fd) : m_fd(fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Channel() { Close(); }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  static std::unique_ptr<Channel> Connect(const Address& to,
                                          std::int64_t   limit_ms = 1000) {
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in at = ToSystem(to);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
      pollfd    wait{fd, POLLOUT, 0};
      int       error = 0;
      socklen_t size = sizeof error;
      if (errno != EINPROGRESS ||
          poll(&wait, 1, static_cast<int>(limit_ms)) != 1 ||
          getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
          error != 0) {
        close(fd);
        return nullptr;
      }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<Channel>(fd);
  }
  int  fd() const { return m_fd; }
  bool open() const { return m_fd >= 0; }
  void Close() {
    if (m_fd >= 0) close(std::exchange(m_fd, -1));
  }
  void Reset() {
    if (m_fd < 0) return;
    const linger now{1, 0};
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    Close();
  }
  bool Write(std::string_view bytes) {
    while (!bytes.empty()) {
      const auto sent = send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }
  // Whether the peer has closed or reset the channel.
  bool PeerLeft() {
    pollfd wait{m_fd, POLLRDHUP, 0};
    return poll(&wait, 1, 0) == 1;
  }
  // Reads a head; false at the end of the channel or after `limit_ms`.
  bool ReadHead(Message* message, std::int64_t limit_ms) {
    const std::int64_t end = NowMs() + limit_ms;
    std::size_t        at = 0;
    while ((at = m_buffer.find("\r\n\r\n")) == std::string::npos)
      if (!Fill(end)) return false;
    std::istringstream lines(m_buffer.substr(0, at));
    m_buffer.erase(0, at + 4);
    std::string line;
    *message = {};
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (message->first.empty()) {
        message->first = line;
        continue;
      }
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      message->headers.emplace_back(line.substr(0, colon), value);
    }
    return true;
  }
  // Reads the body as its head frames it; `on_bytes` sees each part.
  bool ReadBody(Message* message, std::int64_t limit_ms,
                const std::function<void(std::string_view)>& on_bytes = {}) {
    const std::int64_t end = NowMs() + limit_ms;
    const auto         take = [&](std::size_t size) {
      while (size > 0) {
        if (m_buffer.empty() && !Fill(end)) return false;
        const auto part = std::min(size, m_buffer.size());
        if (on_bytes) on_bytes(std::string_view(m_buffer).substr(0, part));
        message->body.append(m_buffer, 0, part);
        m_buffer.erase(0, part);
        size -= part;
      }
      return true;
    };
    if (message->Get("Transfer-Encoding") == "chunked") {
      while (true) {
        std::size_t at = 0;
        while ((at = m_buffer.find("\r\n")) == std::string::npos)
          if (!Fill(end)) return false;
        const auto size = std::strtoul(m_buffer.c_str(), nullptr, 16);
        m_buffer.erase(0, at + 2);
        if (!take(size)) return false;
        while (m_buffer.size() < 2)
          if (!Fill(end)) return false;
        m_buffer.erase(0, 2);
        if (size == 0) break;
      }
    } else {
      const auto length = message->Get("Content-Length");
      if (!take(length.empty() ? 0 : std::stoul(length))) return false;
    }
    message->complete = true;
    return true;
  }

 private:
  bool Fill(std::int64_t end) {
    if (m_fd < 0) return false;
    pollfd     wait{m_fd, POLLIN, 0};
    const auto left = end - NowMs();
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) != 1) return false;
    std::array<char, 65536> bytes;
    const auto              got = recv(m_fd, bytes.data(), bytes.size(), 0);
    if (got <= 0) {
      Close();
      return false;
    }
    m_buffer.append(bytes.data(), static_cast<std::size_t>(got));
    return true;
  }
  int         m_fd;
  std::string m_buffer;
};

// Accepts channels and serves each on a thread of its own.
class Listener {
 public:
  using Serve = std::function<void(std::shared_ptr<Channel>)>;
  Listener(const Address& at, Serve serve) : m_serve(std::move(serve)) {
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in system = ToSystem(at);
    m_ok = bind(m_fd, reinterpret_cast<const sockaddr*>(&system),
                sizeof system) == 0 &&
           listen(m_fd, 1024) == 0;
    if (m_ok) std::thread([this, fd = m_fd] { Run(fd); }).detach();
  }
  bool ok() const { return m_ok; }

 private:
  void Run(int listener) {
    while (true) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      std::thread([serve = m_serve, fd] {
        serve(std::make_shared<Channel>(fd));
      }).detach();
    }
  }
  Serve m_serve;
  int   m_fd = -1;
  bool  m_ok = false;
};

inline std::string Answer(int status, const std::string& headers,
                          const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Store -----------------------------------------------------------------------

// The platform's store: topics, partitions, producers, keyed topics, limits.
class Store {
 public:
  struct Limits {
    double       append_ms = 2.0;
    double       partition_mb_s = 20.0;
    double       read_mb_s = 80.0;
    std::size_t  record_bytes = 262144;
    std::size_t  request_bytes = 2097152;
    double       total_mb = 400;
    double       partition_mb = 200;
    int          writes_per_s = 800;
    int          reads_per_s = 2000;
    int          parts = 12;
    std::int64_t answer_ms = 4;
  };
  Store(const Address& at, const Limits& limits, Record* record)
      : m_limits(limits),
        m_record(record),
        m_at(at),
        m_listener(at, [this](std::shared_ptr<Channel> channel) {
          Message request;
          while (channel->ReadHead(&request, 600'000) &&
                 channel->ReadBody(&request, 600'000)) {
            Sleep(m_limits.answer_ms);
            if (!channel->Write(Serve(request))) return;
          }
        }) {}

  bool           ok() const { return m_listener.ok(); }
  const Address& at() const { return m_at; }
  // What the operator and the servers write.
  void           Put(const std::string& topic, const std::string& key,
                     const std::string& value) {
              std::string content(1, static_cast<char>(key.size()));
              content += key + value;
              const std::scoped_lock lock(m_lock);
              Add(topic, 0, content);
              m_changed.notify_all();
  }
  std::size_t bytes() const { return m_bytes; }
  std::size_t full_answers() const { return m_full_answers; }
  std::size_t trims() const { return m_trims; }
  std::size_t read_bytes() const { return m_read_bytes; }

 private:
  struct Producer {
    std::int64_t                                     epoch = -1;
    std::int64_t                                     next = 0;
    std::deque<std::pair<std::int64_t, std::string>> last;
  };
  struct Partition {
    std::int64_t                    first = 0;
    std::deque<std::string>         records;
    std::size_t                     bytes = 0;
    std::map<std::string, Producer> producers;
    std::int64_t                    busy_until = 0;  // us
    std::int64_t                    End() const {
                         return first + static_cast<std::int64_t>(records.size());
    }
  };
  using Query = std::map<std::string, std::string>;

  static Query ParseQuery(const std::string& target) {
    Query      query;
    const auto mark = target.find('?');
    if (mark == std::string::npos) return query;
    std::istringstream parts(target.substr(mark + 1));
    std::string        part;
    while (std::getline(parts, part, '&')) {
      const auto equals = part.find('=');
      if (equals != std::string::npos)
        query[part.substr(0, equals)] = part.substr(equals + 1);
    }
    return query;
  }
  static std::int64_t Number(const Query& query, const std::string& name,
                             std::int64_t other) {
    const auto found = query.find(name);
    return found == query.end() ? other : std::atoll(found->second.c_str());
  }
  static void Big(std::string* out, std::uint64_t number, int bytes) {
    for (int i = bytes; i-- > 0;)
      out->push_back(static_cast<char>(number >> (i * 8)));
  }
  static std::int64_t NowUs() {
    using namespace std::chrono;
    return duration_cast<microseconds>(steady_clock::now().time_since_epoch())
        .count();
  }

  void Add(const std::string& topic, int part, const std::string& content) {
    Partition& partition = m_topics[topic][part];
    if (topic.starts_with("keyed.")) {
      const auto size = static_cast<unsigned char>(content[0]);
      const auto key = content.substr(1, size);
      const auto value = content.substr(1 + size);
      auto&      newest = m_newest[topic];
      if (value.empty()) {
        newest.erase(key);
      } else {
        newest[key] = {value, partition.End()};
      }
    }
    partition.records.push_back(content);
    partition.bytes += content.size() + 4;
    m_bytes += content.size() + 4;
    while (static_cast<double>(partition.bytes) > m_limits.partition_mb * 1e6)
      DropOldest(&partition);
  }
  void DropOldest(Partition* partition) {
    const auto size = partition->records.front().size() + 4;
    partition->bytes -= size;
    m_bytes -= size;
    partition->records.pop_front();
    ++partition->first;
  }
  bool WithinRate(bool write) {
    const std::int64_t second = NowMs() / 1000;
    if (second != m_second) {
      m_second = second;
      m_writes = m_reads = 0;
    }
    return write ? ++m_writes <= m_limits.writes_per_s
                 : ++m_reads <= m_limits.reads_per_s;
  }

  std::string Serve(const Message& request) {
    const auto target = request.target();
    const auto path = target.substr(0, target.find('?'));
    const auto query = ParseQuery(target);
    if (path == "/yuccawick/log-append") return Append(query, request.body);
    if (path == "/yuccawick/log-read") return Read(query);
    if (path == "/yuccawick/log-newest") return Newest(query);
    if (path == "/yuccawick/log-trim") return Trim(query);
    return Answer(404, "", "{}");
  }

  std::string Append(const Query& query, const std::string& body) {
    std::unique_lock lock(m_lock);
    if (!WithinRate(true)) return Answer(429, "", "{}");
    const auto topic = query.at("topic");
    const int  part = static_cast<int>(Number(query, "part", 0));
    if (part < 0 || part >= m_limits.parts) return Answer(400, "", "{}");
    if (topic == "keyed.op" || topic == "keyed.servers")
      return Answer(403, "", "{}");
    std::vector<std::string> records;
    for (std::size_t at = 0; at + 4 <= body.size();) {
      std::size_t size = 0;
      for (int i = 0; i < 4; ++i)
        size = size << 8 | static_cast<unsigned char>(body[at + i]);
      at += 4;
      if (size > m_limits.record_bytes || at + size > body.size())
        return Answer(413, "", "{}");
      records.push_back(body.substr(at, size));
      at += size;
    }
    if (body.size() > m_limits.request_bytes) return Answer(413, "", "{}");
    Partition& partition = m_topics[topic][part];
    Producer*  producer = nullptr;
    const auto seq = Number(query, "seq", 0);
    if (query.contains("producer")) {
      producer = &partition.producers[query.at("producer")];
      const auto epoch = Number(query, "epoch", 0);
      if (epoch < producer->epoch)
        return Answer(409, "", R"({"why":"fenced"})");
      if (epoch > producer->epoch) {
        *producer = {};
        producer->epoch = epoch;
        producer->next = seq;
      }
      for (const auto& [number, answer] : producer->last)
        if (number == seq) return answer;
      if (seq != producer->next)
        return Answer(
            409, "",
            R"({"why":"seq","seq":)" + std::to_string(producer->next) + "}");
    }
    // All or nothing: a full store takes no append.
    if (static_cast<double>(m_bytes + body.size()) > m_limits.total_mb * 1e6) {
      if (m_full_answers++ == 0)
        m_record->Line("store: full, %zu bytes stored; appends get 507",
                       m_bytes.load());
      return Answer(507, "", "{}");
    }
    const auto now = NowUs();
    const auto from = std::max(now, partition.busy_until);
    if (from - now > 2'000'000) return Answer(503, "", "{}");
    partition.busy_until =
        from + static_cast<std::int64_t>(m_limits.append_ms * 1000 +
                                         static_cast<double>(body.size()) /
                                             m_limits.partition_mb_s);
    const auto offset = partition.End();
    for (const auto& record : records) Add(topic, part, record);
    const auto answer =
        Answer(200, "Content-Type: application/json\r\n",
               "{\"offset\":" + std::to_string(offset) +
                   ",\"endOffset\":" + std::to_string(partition.End()) + "}");
    if (producer != nullptr) {
      producer->next = seq + 1;
      producer->last.emplace_back(seq, answer);
      if (producer->last.size() > 5) producer->last.pop_front();
    }
    const auto until = partition.busy_until;
    m_changed.notify_all();
    lock.unlock();
    Sleep((until - NowUs()) / 1000);
    return answer;
  }

  std::string Read(const Query& query) {
    std::unique_lock lock(m_lock);
    if (!WithinRate(false)) return Answer(429, "", "{}");
    Partition& partition =
        m_topics[query.at("topic")][static_cast<int>(Number(query, "part", 0))];
    const auto from = Number(query, "from", 0);
    const auto most =
        static_cast<std::size_t>(Number(query, "maxKb", 1024)) * 1024;
    const auto wait = Number(query, "waitMs", 0);
    m_changed.wait_for(lock, std::chrono::milliseconds(wait), [&] {
      return partition.End() > from || from < partition.first;
    });
    if (from < partition.first)
      return Answer(
          410, "Content-Type: application/json\r\n",
          "{\"firstOffset\":" + std::to_string(partition.first) + "}");
    std::string body;
    Big(&body, static_cast<std::uint64_t>(partition.End()), 8);
    Big(&body, static_cast<std::uint64_t>(partition.first), 8);
    for (auto at = from; at < partition.End(); ++at) {
      const auto& record =
          partition.records[static_cast<std::size_t>(at - partition.first)];
      // A record that alone is larger than maxKb is still handed out.
      if (body.size() > 16 && body.size() + record.size() + 4 > most + 16)
        break;
      Big(&body, record.size(), 4);
      body += record;
    }
    m_read_bytes += body.size();
    const auto now = NowUs();
    m_read_busy = std::max(now, m_read_busy) +
                  static_cast<std::int64_t>(static_cast<double>(body.size()) /
                                            m_limits.read_mb_s);
    const auto until = m_read_busy;
    lock.unlock();
    Sleep((until - NowUs()) / 1000);
    return Answer(200, "Content-Type: application/octet-stream\r\n", body);
  }

  static std::string Base64(const std::string& bytes) {
    static const char* kDigits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
      std::uint32_t group = 0;
      for (std::size_t j = 0; j < 3; ++j)
        group = group << 8 |
                (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                      : 0U);
      for (std::size_t j = 0; j < 4; ++j)
        out.push_back(
            i + j <= bytes.size() ? kDigits[group >> (18 - 6 * j) & 63] : '=');
    }
    return out;
  }
  std::string Newest(const Query& query) {
    const std::scoped_lock lock(m_lock);
    if (!WithinRate(false)) return Answer(429, "", "{}");
    const auto  topic = query.at("topic");
    std::string body = "{\"items\":[";
    bool        first = true;
    for (const auto& [key, entry] : m_newest[topic]) {
      body += std::string(first ? "" : ",") + "{\"key\":\"" + key +
              "\",\"value\":\"" + Base64(entry.first) +
              "\",\"offset\":" + std::to_string(entry.second) + "}";
      first = false;
    }
    body += "],\"hasMore\":false,\"endOffset\":" +
            std::to_string(m_topics[topic][0].End()) + "}";
    return Answer(200, "Content-Type: application/json\r\n", body);
  }
  std::string Trim(const Query& query) {
    const std::scoped_lock lock(m_lock);
    ++m_trims;
    Partition& partition =
        m_topics[query.at("topic")][static_cast<int>(Number(query, "part", 0))];
    while (partition.first < Number(query, "before", 0) &&
           !partition.records.empty())
      DropOldest(&partition);
    return Answer(200, "Content-Type: application/json\r\n", "{}");
  }

  Limits                                          m_limits;
  Record*                                         m_record;
  Address                                         m_at;
  std::mutex                                      m_lock;
  std::condition_variable                         m_changed;
  std::map<std::string, std::map<int, Partition>> m_topics;
  std::map<std::string,
           std::map<std::string, std::pair<std::string, std::int64_t>>>
                           m_newest;
  std::atomic<std::size_t> m_bytes = 0;
  std::atomic<std::size_t> m_full_answers = 0;
  std::atomic<std::size_t> m_trims = 0;
  std::atomic<std::size_t> m_read_bytes = 0;
  std::int64_t             m_second = 0;
  int                      m_writes = 0;
  int                      m_reads = 0;
  std::int64_t             m_read_busy = 0;
  Listener                 m_listener;
};

// Servers ---------------------------------------------------------------------

struct Run {
  std::string  attempt;
  std::string  server;
  std::int64_t at = 0;
  std::size_t  bytes = 0;  // of the body
  bool         ended = false;
};

// A server of a service. `serve` answers a request on its channel and returns
// whether the channel stays open.
class Server {
 public:
  using Serve =
      std::function<bool(Server* server, const Message&, Channel* channel)>;
  Server(Store* store, std::string id, std::string service, std::string zone,
         const Address& at, int slots, Serve serve)
      : m_store(store),
        m_id(std::move(id)),
        m_service(std::move(service)),
        m_zone(std::move(zone)),
        m_at(at),
        m_slots(slots),
        m_born(UnixMs()),
        m_serve(std::move(serve)),
        m_listener(at, [this](std::shared_ptr<Channel> channel) {
          Message request;
          while (channel->ReadHead(&request, 600'000) &&
                 channel->ReadBody(&request, 60'000)) {
            if (!Handle(request, channel.get())) return;
          }
        }) {
    Beat();
  }
  bool               ok() const { return m_listener.ok(); }
  const std::string& id() const { return m_id; }
  // Writes the server's entry, as each check-in does.
  void               Beat() {
                  ++m_seq;
                  m_store->Put(
                      "keyed.servers", m_id,
                      R"({"service":")" + m_service + R"(","address":")" + m_at.Text() +
                          R"(","zone":")" + m_zone + R"(","version":"v1","slots":)" +
                          std::to_string(m_slots) +
                          R"(,"state":"ready","coldLeftMs":0,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"seq":)" +
                          std::to_string(m_seq) + R"(,"born":)" + std::to_string(m_born) +
                          "}");
  }
  std::vector<Run> runs() {
    const std::scoped_lock lock(m_lock);
    return m_runs;
  }
  std::size_t Begin(const Message& request) {
    const std::scoped_lock lock(m_lock);
    m_runs.push_back(
        {request.Get("Attempt-Id"), m_id, NowMs(), request.body.size(), false});
    return m_runs.size() - 1;
  }
  void End(std::size_t run) {
    const std::scoped_lock lock(m_lock);
    m_runs[run].ended = true;
  }
  int running() const { return m_running; }

 private:
  bool Handle(const Message& request, Channel* channel) {
    const auto expected = request.Get("Expect-Instance");
    const auto attempt = "Attempt-Id: " + request.Get("Attempt-Id") + "\r\n";
    if (!expected.empty() && expected != m_id)
      return channel->Write(Answer(421, attempt + "Not-Executed: 1\r\n", ""));
    if (request.target() == "/health")
      return channel->Write(Answer(200, "Instance-Id: " + m_id + "\r\n", ""));
    if (request.target() == "/yuccawick/report")
      return channel->Write(Answer(
          200, "Content-Type: application/json\r\n",
          R"({"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queueDepth":0,"inFlight":)" +
              std::to_string(m_running.load()) +
              R"(,"kvUsed":0,"kvTotal":377056,"handles":0,"born":)" +
              std::to_string(m_born) + "}"));
    if (request.Get("Attempt-Id").empty())
      return channel->Write(Answer(400, "Not-Executed: 1\r\n", ""));
    // A few requests wait for a slot, the others are rejected.
    if (m_running >= m_slots + 3 * m_slots)
      return channel->Write(Answer(503, attempt + "Not-Executed: 1\r\n", ""));
    ++m_running;
    {
      std::unique_lock lock(m_slot_lock);
      m_slot_free.wait(lock, [this] { return m_used < m_slots; });
      ++m_used;
    }
    const bool keep = m_serve(this, request, channel);
    {
      const std::scoped_lock lock(m_slot_lock);
      --m_used;
    }
    m_slot_free.notify_one();
    --m_running;
    return keep;
  }

  Store*                  m_store;
  std::string             m_id;
  std::string             m_service;
  std::string             m_zone;
  Address                 m_at;
  int                     m_slots;
  std::int64_t            m_born;
  int                     m_seq = 0;
  Serve                   m_serve;
  std::mutex              m_lock;
  std::vector<Run>        m_runs;
  std::atomic<int>        m_running = 0;
  std::mutex              m_slot_lock;
  std::condition_variable m_slot_free;
  int                     m_used = 0;
  Listener                m_listener;
};

inline std::string Stamp(const Message& request) {
  return "Attempt-Id: " + request.Get("Attempt-Id") + "\r\nResponse-Stamp: s." +
         request.Get("Attempt-Id") + "\r\n";
}

inline std::string Chunk(const std::string& bytes) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  return size.data() + bytes + "\r\n";
}

// Answers with a stream of `events` events, one each `gap_ms`. Stops when the
// channel closes, as most servers do.
inline bool ServeStream(Server* server, const Message& request,
                        Channel* channel, int events, std::int64_t gap_ms) {
  const auto run = server->Begin(request);
  if (!channel->Write("HTTP/1.1 200 OK\r\n" + Stamp(request) +
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n"))
    return false;
  for (int i = 1; i <= events; ++i) {
    for (std::int64_t slept = 0; slept < gap_ms; slept += 10) {
      Sleep(std::min<std::int64_t>(10, gap_ms - slept));
      if (channel->PeerLeft()) return false;
    }
    if (!channel->Write(Chunk("id: " + std::to_string(i) + "\ndata: event " +
                              std::to_string(i) + " of " +
                              request.Get("Attempt-Id") + "\n\n")))
      return false;
  }
  server->End(run);
  return channel->Write("0\r\n\r\n");
}

// Gateways --------------------------------------------------------------------

struct GatewaySettings {
  std::string name;
  std::string zone;
  std::string ip;
  int         front = 0;
  int         ready = 0;
  int         inner = 0;
  int         memory_mb = 130;
  double      grace_s = 8;
};

// One machine that runs the deploy file's command as a process of its own.
class Gateway {
 public:
  Gateway(const GatewaySettings& settings, const Address& store,
          const std::string& folder, Record* record)
      : m_settings(settings), m_folder(folder), m_record(record) {
    m_path = folder + "/" + settings.name + ".toml";
    std::ofstream file(m_path);
    file << "nodeName = \"" << settings.name << "\"\nrole = \"gateway\"\n"
         << "machineClass = \"front\"\nserves = [\"front\"]\nip = \""
         << settings.ip << "\"\nzone = \"" << settings.zone
         << "\"\nregion = \"r\"\ninternalPorts = [" << settings.inner << ","
         << settings.inner << "]\nseeds = []\nfirstStart = true\n"
         << "discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n"
         << "[zones]\na = \"r\"\nb = \"r\"\nc = \"r\"\n"
         << "[listen]\nfront = \"" << settings.ip << ":" << settings.front
         << "\"\nready = \"" << settings.ip << ":" << settings.ready
         << "\"\n[limits]\ncpuShare = 0.5\ncores = 1\nmemoryMb = "
         << settings.memory_mb
         << "\nmaxFds = 8200\nlinkMbps = 1000.0\ndiskMb = 0\n"
         << "[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n"
         << "[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\n"
         << "ackMs = 4000\ncatchUpS = 4.4\ndrainMs = 2000\ngraceS = "
         << settings.grace_s
         << "\nlossSlackMs = 200\nconfigApplyMs = 2000\n"
            "rollbackSlackMs = 250\nouterMs = 5000\nrecoveryS = 12\n"
            "passMs = 120\nretryAfterS = 0\ndeadlineS = 10\nsettleMs = 1000\n"
         << "[provider]\naddress = \"" << store.Text()
         << "\"\nform = \"log\"\nwritesPerS = 800\nreadsPerS = 2000\n"
            "parts = 12\nappendMs = 2.0\npartitionMbS = 20.0\n"
            "readMbS = 80.0\nrecordBytes = 262144\nrequestBytes = 2097152\n"
            "retentionS = 300\npartitionMb = 200\nminTtlMs = 1000\n";
  }
  ~Gateway() { Kill(SIGKILL); }

  void Start() {
    const pid_t parent = getpid();
    const auto  log = m_folder + "/" + m_settings.name + ".log";
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(127);
      const int out =
          open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      dup2(out, 1);
      dup2(out, 2);
      const std::string config = "YUCCAWICK_CONFIG=" + m_path;
      const char*       path = std::getenv("PATH");
      const std::string path_text =
          std::string("PATH=") + (path != nullptr ? path : "");
      char  program[] = "target/yw-gateway";
      char* args[] = {program, nullptr};
      char* env[] = {const_cast<char*>(config.c_str()),
                     const_cast<char*>(path_text.c_str()), nullptr};
      execve(program, args, env);
      _exit(127);
    }
    m_pid = pid;
    m_record->Line("%s: started", m_settings.name.c_str());
  }
  void Signal(int signal) {
    if (m_pid > 0) kill(m_pid, signal);
  }
  void Kill(int signal) {
    const pid_t pid = m_pid.exchange(0);
    if (pid <= 0) return;
    kill(pid, signal);
    waitpid(pid, nullptr, 0);
    m_record->Line("%s: ended by signal %d of the script",
                   m_settings.name.c_str(), signal);
  }
  // Whether the process has ended; fills in how.
  bool Ended(int* status) {
    const pid_t pid = m_pid;
    if (pid <= 0 || waitpid(pid, status, WNOHANG) != pid) return false;
    m_pid = 0;
    return true;
  }
  // Resident memory of the process, in MB.
  double MemoryMb() const {
    const pid_t pid = m_pid;
    if (pid <= 0) return 0;
    std::ifstream statm("/proc/" + std::to_string(pid) + "/statm");
    long          total = 0;
    long          resident = 0;
    statm >> total >> resident;
    return static_cast<double>(resident) *
           static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  }
  Address front() const { return {m_settings.ip, m_settings.front}; }
  Address ready() const { return {m_settings.ip, m_settings.ready}; }
  const GatewaySettings& settings() const { return m_settings; }
  // What the platform asks once a second.
  bool                   Ready() const {
                      auto channel = Channel::Connect(ready(), 300);
                      if (!channel) return false;
    Message answer;
                      return channel->Write(
                                 "GET /yuccawick/readiness HTTP/1.1\r\nHost: x\r\n"
                                                   "Connection: close\r\n\r\n") &&
                             channel->ReadHead(&answer, 500) && answer.status() == 200;
  }
  bool WaitReady(std::int64_t limit_ms) const {
    for (const auto end = NowMs() + limit_ms; NowMs() < end; Sleep(50))
      if (Ready()) return true;
    return false;
  }

 private:
  GatewaySettings    m_settings;
  std::string        m_folder;
  std::string        m_path;
  Record*            m_record;
  std::atomic<pid_t> m_pid = 0;
};

inline GatewaySettings MakeSettings(int number, int memory_mb) {
  GatewaySettings settings;
  settings.name = "front-" + std::to_string(number);
  settings.zone = std::string(1, static_cast<char>('a' + (number - 1) % 3));
  settings.ip = Ip(10 + number);
  settings.front = FreePort(settings.ip);
  settings.ready = FreePort(settings.ip);
  settings.inner = FreePort(settings.ip);
  settings.memory_mb = memory_mb;
  return settings;
}

// Clients ---------------------------------------------------------------------

inline std::string NewId() {
  static std::atomic<std::uint64_t> next = [] {
    std::random_device random;
    return static_cast<std::uint64_t>(random()) << 32 | random();
  }();
  std::array<char, 17> text{};
  std::snprintf(
      text.data(), text.size(), "%016llx",
      static_cast<unsigned long long>(next.fetch_add(0x9e3779b97f4a7c15ULL)));
  return text.data();
}

inline std::string TemporaryFolder() {
  const char* base = std::getenv("TMPDIR");
  std::string path =
      std::string(base != nullptr ? base : "/tmp") + "/review-XXXXXX";
  return mkdtemp(path.data()) != nullptr ? path : std::string();
}

// Removes a folder that holds only files.
inline void RemoveFolder(const std::string& folder) {
  std::error_code error;
  std::filesystem::remove_all(folder, error);
}

inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review
