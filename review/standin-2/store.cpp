#include "review/standin-2/store.hpp"

#include <Poco/Base64Encoder.h>
#include <Poco/URI.h>

#include <algorithm>
#include <sstream>

namespace review {
namespace {

using platform::standin::PlainAnswer;

constexpr char kJson[] = "Content-Type: application/json\r\n";

std::string Bytes(std::uint64_t number, int count) {
  std::string text;
  for (int i = count; i-- > 0;)
    text.push_back(static_cast<char>(number >> (8 * i)));
  return text;
}

std::size_t Length(const std::string& bytes, std::size_t at) {
  std::size_t number = 0;
  for (std::size_t i = 0; i < 4; ++i)
    number = number << 8 | static_cast<unsigned char>(bytes[at + i]);
  return number;
}

std::string Base64(const std::string& bytes) {
  std::ostringstream  text;
  Poco::Base64Encoder encoder(text);
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return text.str();
}

}  // namespace

Store::Store(net::EventLoop* loop, net::Endpoint at)
    : m_loop(loop),
      m_at(at),
      m_service(loop, [this](const Request&            request,
                             const HttpService::Reply& reply) {
        Serve(request, reply);
      }) {
  Expire();
}

void Store::Expire() {
  for (auto& [key, partition] : m_partitions) {
    while (!partition.records.empty() &&
           (m_loop->now() - partition.records.front().at > kRetention ||
            partition.bytes > kMostPartition)) {
      DropFirst(&partition);
    }
  }
  m_loop->After(500, [this] { Expire(); });
}

void Store::DropFirst(Partition* partition) {
  const std::size_t size = partition->records.front().bytes.size();
  partition->bytes -= size;
  m_bytes -= size;
  partition->records.pop_front();
  ++partition->first;
}

void Store::Serve(const Request& request, const HttpService::Reply& reply) {
  if (m_mode == Mode::kSilent) return;
  if (m_mode == Mode::kBusy) {
    reply(PlainAnswer(503, "", ""), Ending::kKeep);
    return;
  }
  const Poco::URI uri(request.head.target);
  Query           query;
  for (const auto& [name, value] : uri.getQueryParameters())
    query[name] = value;
  const std::string& path = uri.getPath();
  if (path == "/yuccawick/log-append") {
    Append(query, request.body, reply);
  } else if (path == "/yuccawick/log-read") {
    Read(query, reply);
  } else if (path == "/yuccawick/log-newest") {
    Newest(query, reply);
  } else if (path == "/yuccawick/log-trim") {
    Trim(query, reply);
  } else {
    reply(PlainAnswer(404, "", ""), Ending::kKeep);
  }
}

void Store::AddRecord(const std::string& key, std::string record) {
  Partition&        partition = m_partitions[key];
  const std::string topic = key.substr(0, key.find('/'));
  if (topic.starts_with("keyed.")) {
    const auto        size = static_cast<unsigned char>(record.front());
    const std::string name = record.substr(1, size);
    const std::string value = record.substr(1U + size);
    if (value.empty()) {
      m_newest[topic].erase(name);
    } else {
      m_newest[topic][name] = {value, partition.End()};
    }
  }
  partition.bytes += record.size();
  m_bytes += record.size();
  partition.records.push_back({std::move(record), m_loop->now()});
}

void Store::Append(const Query& query, const std::string& body,
                   const HttpService::Reply& given) {
  const std::string topic = query.at("topic");
  const std::string key = topic + "/" + query.at("part");
  const auto        reply = [&](int status, const std::string& json) {
    if (m_on_append) m_on_append(topic, status);
    given(PlainAnswer(status, kJson, json), Ending::kKeep);
  };
  std::vector<std::string> records;
  for (std::size_t at = 0; at + 4 <= body.size();) {
    const std::size_t size = Length(body, at);
    if (size > kMostRecord || at + 4 + size > body.size()) {
      reply(size > kMostRecord ? 413 : 400, "{}");
      return;
    }
    records.push_back(body.substr(at + 4, size));
    at += 4 + size;
  }
  if (body.size() > kMostCall) return reply(413, "{}");
  Partition& partition = m_partitions[key];
  const auto answer = [](std::int64_t offset, std::int64_t end) {
    return "{\"offset\":" + std::to_string(offset) +
           ",\"endOffset\":" + std::to_string(end) + "}";
  };
  const auto producer = query.find("producer");
  Answered   now;
  if (producer != query.end()) {
    now.epoch = std::stoll(query.at("epoch"));
    now.number = std::stoll(query.at("seq"));
    const auto& known = partition.producers[producer->second];
    if (!known.empty()) {
      const Answered& last = known.back();
      if (now.epoch < last.epoch) return reply(409, "{\"why\":\"fenced\"}");
      if (now.epoch == last.epoch && now.number != last.number + 1) {
        for (const Answered& each : known) {
          if (each.epoch == now.epoch && each.number == now.number)
            return reply(200, answer(each.offset, each.end));
        }
        return reply(409, "{\"why\":\"seq\",\"expected\":" +
                              std::to_string(last.number + 1) + "}");
      }
    }
  }
  if (m_bytes + body.size() > kMostBytes) return reply(507, "{}");
  now.offset = partition.End();
  for (std::string& record : records) AddRecord(key, std::move(record));
  now.end = partition.End();
  if (producer != query.end()) {
    auto& known = partition.producers[producer->second];
    known.push_back(now);
    if (known.size() > 5) known.pop_front();
  }
  reply(200, answer(now.offset, now.end));
  Wake(key);
}

void Store::AnswerRead(const std::string& key, std::int64_t from,
                       std::size_t most, const HttpService::Reply& reply) {
  const Partition& partition = m_partitions[key];
  std::string body = Bytes(static_cast<std::uint64_t>(partition.End()), 8) +
                     Bytes(static_cast<std::uint64_t>(partition.first), 8);
  const std::size_t head = body.size();
  for (auto i = from - partition.first;
       i < static_cast<std::int64_t>(partition.records.size()); ++i) {
    const std::string& record =
        partition.records[static_cast<std::size_t>(i)].bytes;
    // At least one record, however small the page.
    if (body.size() > head && body.size() - head + record.size() + 4 > most)
      break;
    body += Bytes(record.size(), 4) + record;
  }
  reply(PlainAnswer(200, "", body), Ending::kKeep);
}

void Store::Read(const Query& query, const HttpService::Reply& reply) {
  const std::string key = query.at("topic") + "/" + query.at("part");
  const auto        from = std::stoll(query.at("from"));
  const auto        kilobytes = query.find("maxKb");
  const std::size_t most =
      1024UL *
      (kilobytes == query.end() ? 1024UL : std::stoul(kilobytes->second));
  const Partition& partition = m_partitions[key];
  if (from < partition.first) {
    reply(PlainAnswer(
              410, kJson,
              "{\"firstOffset\":" + std::to_string(partition.first) + "}"),
          Ending::kKeep);
    return;
  }
  const auto wait = query.find("waitMs");
  if (from < partition.End() || wait == query.end()) {
    AnswerRead(key, from, most, reply);
    return;
  }
  const std::uint64_t id = ++m_last_waiting;
  m_waiting.push_back({id, key, from, most, reply});
  m_loop->After(std::stoll(wait->second), [this, id] {
    const auto found =
        std::find_if(m_waiting.begin(), m_waiting.end(),
                     [id](const Waiting& each) { return each.id == id; });
    if (found == m_waiting.end()) return;
    const Waiting read = *found;
    m_waiting.erase(found);
    if (m_mode == Mode::kUp)
      AnswerRead(read.key, read.from, read.most, read.reply);
  });
}

void Store::Wake(const std::string& key) {
  auto waiting = std::exchange(m_waiting, {});
  for (const Waiting& read : waiting) {
    if (read.key == key && m_mode == Mode::kUp) {
      AnswerRead(read.key, read.from, read.most, read.reply);
    } else {
      m_waiting.push_back(read);
    }
  }
}

void Store::Newest(const Query& query, const HttpService::Reply& reply) {
  const std::string topic = query.at("topic");
  const auto        given = query.find("after");
  const std::string after = given == query.end() ? "" : given->second;
  std::string       items;
  std::size_t       count = 0;
  bool              more = false;
  for (const auto& [key, entry] : m_newest[topic]) {
    if (!after.empty() && key <= after) continue;
    if (count == 500 || (count > 0 && items.size() > 1'000'000)) {
      more = true;
      break;
    }
    items += (count++ == 0 ? "" : ",");
    items += "{\"key\":\"" + key + "\",\"value\":\"" + Base64(entry.first) +
             "\",\"offset\":" + std::to_string(entry.second) + "}";
  }
  reply(PlainAnswer(200, kJson,
                    "{\"items\":[" + items + "],\"hasMore\":" +
                        (more ? "true" : "false") + ",\"endOffset\":" +
                        std::to_string(m_partitions[topic + "/0"].End()) + "}"),
        Ending::kKeep);
}

void Store::Trim(const Query& query, const HttpService::Reply& reply) {
  Partition& partition =
      m_partitions[query.at("topic") + "/" + query.at("part")];
  const auto before = std::stoll(query.at("before"));
  while (!partition.records.empty() && partition.first < before)
    DropFirst(&partition);
  reply(PlainAnswer(200, kJson, "{}"), Ending::kKeep);
}

net::Time Store::Put(const std::string& topic, const std::string& key,
                     const std::string& value) {
  const std::string partition = topic + "/0";
  AddRecord(partition,
            std::string(1, static_cast<char>(key.size())) + key + value);
  Wake(partition);
  return m_loop->now();
}

}  // namespace review
