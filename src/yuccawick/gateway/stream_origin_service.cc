#include "yuccawick/gateway/stream_origin_service.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

namespace yuccawick::gateway {
namespace {

using platform::Topic;
using programs::NodeInfo;
using traffic::StreamKey;
using traffic::StreamOrigin;

// Nodes that remember a stream. With three, two of five nodes and any zone may
// go at once, and nearly all streams go on.
constexpr std::size_t kHolders = 3;
// ms between two looks at how far the log was followed.
constexpr Duration    kFollowedPause = 20;
// Bytes of the records of a read that only asks for the end.
constexpr std::size_t kSmallestPage = 1024;

void Write(const StreamKey& key, programs::wire::StreamKey::Builder builder) {
  builder.setHigh(key.high);
  builder.setLow(key.low);
}

StreamKey ReadKey(programs::wire::StreamKey::Reader reader) {
  return {reader.getHigh(), reader.getLow()};
}

void Write(const StreamKey& key, const StreamOrigin& origin,
           programs::wire::StreamOrigin::Builder builder) {
  Write(key, builder.initKey());
  builder.setService(origin.service);
  builder.setVersion(origin.version);
}

StreamOrigin ReadOrigin(programs::wire::StreamOrigin::Reader reader) {
  return {reader.getService().cStr(), reader.getVersion().cStr()};
}

}  // namespace

std::string_view Name(OriginSource source) {
  constexpr std::array<std::string_view, kOriginSourceCount> kNames{
      "unknown", "this_node", "other_node", "sole_origin"};
  return kNames[static_cast<std::size_t>(source)];
}

StreamOriginService::StreamOriginService(net::EventLoop*             loop,
                                         const Thresholds*           thresholds,
                                         platform::RecordLog*        store,
                                         const programs::Membership* members,
                                         PeerNetwork*                network,
                                         DurableOrigins* durable_origins)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_store(store),
      m_members(members),
      m_network(network),
      m_durable_origins(durable_origins),
      m_origins(thresholds->origin_memory),
      m_tell_window(thresholds->stream_memory) {}

void StreamOriginService::Start() {
  m_durable_origins->Load(
      [this](const StreamKey& key, const StreamOrigin& origin) {
        m_origins.Put(key, origin, m_loop->now());
      });
}

std::vector<NodeInfo> StreamOriginService::Holders(const StreamKey& key) const {
  return m_members->ChooseStreamHolders(traffic::Text(key), kHolders);
}

std::vector<NodeInfo> StreamOriginService::OtherHolders(
    const StreamKey& key) const {
  auto holders = Holders(key);
  std::erase_if(holders, [this](const NodeInfo& node) {
    return node.name == m_members->self().name;
  });
  return holders;
}

void StreamOriginService::Announce(const std::string&  attempt,
                                   const StreamOrigin& origin) {
  const StreamKey key = traffic::StreamKeyOf(attempt);
  m_origins.Put(key, origin, m_loop->now());
  for (const NodeInfo& node : Holders(key)) {
    if (node.name == m_members->self().name) {
      Hold(key, origin);
      continue;
    }
    m_network->SendOneWay(node, [&](PeerMessage::Builder message) {
      Write(key, origin, message.initStreamBegun());
    });
  }
}

void StreamOriginService::ReceiveBegun(PeerMessage::Reader message) {
  const auto begun = message.getStreamBegun();
  Hold(ReadKey(begun.getKey()), ReadOrigin(begun));
}

void StreamOriginService::Hold(const StreamKey&    key,
                               const StreamOrigin& origin) {
  m_origins.Put(key, origin, m_loop->now());
  if (IsAmbiguous(origin) && m_origins.TakeNew(key))
    m_durable_origins->Put(key, origin);
}

void StreamOriginService::TakeSoftware(
    const traffic::SoftwareHistory& software) {
  const bool changed = m_software.origins != software.origins;
  m_software = software;
  if (changed) SaveStreams();
}

void StreamOriginService::SaveStreams() {
  const auto wanted = [this](const StreamOrigin& origin) {
    return IsAmbiguous(origin);
  };
  for (const auto& [key, origin] : m_origins.TakeNew(wanted))
    m_durable_origins->Put(key, origin);
}

bool StreamOriginService::IsAmbiguous(const StreamOrigin& origin) const {
  return !m_software.origins || m_split_services.contains(origin.service) ||
         m_software.origins->HasOtherVersion(origin.service, origin.version);
}

void StreamOriginService::Find(const std::string&    attempt,
                               const traffic::Route& route, FindDone done) {
  if (attempt.empty()) {
    FindSoleOrigin(route, done);
    return;
  }
  const StreamKey key = traffic::StreamKeyOf(attempt);
  const auto      origin = m_origins.Find(key, m_loop->now());
  if (origin) {
    done({origin, OriginSource::kThisNode});
    return;
  }
  AskHolders(key,
             [this, route, done = std::move(done)](const FoundOrigin& found) {
               if (found.origin) {
                 done(found);
               } else {
                 FindSoleOrigin(route, done);
               }
             });
}

void StreamOriginService::AskHolders(const StreamKey& key, FindDone done) {
  const auto holders = OtherHolders(key);
  if (holders.empty()) {
    done({});
    return;
  }
  auto remaining = std::make_shared<std::size_t>(holders.size());
  auto pending = std::make_shared<FindDone>(std::move(done));
  for (const NodeInfo& node : holders) {
    m_network->SendRequest(
        node,
        [&key](PeerMessage::Builder message) {
          Write(key, message.initFindStream());
        },
        m_thresholds->origin_timeout,
        [remaining, pending](std::optional<PeerMessage::Reader> response) {
          --*remaining;
          FoundOrigin found;
          if (response && response->isStreamFound() &&
              response->getStreamFound().getService().size() > 0) {
            found = {ReadOrigin(response->getStreamFound()),
                     OriginSource::kOtherNode};
          }
          if (!found.origin && *remaining > 0) return;
          if (const auto callback = std::exchange(*pending, nullptr))
            callback(found);
        });
  }
}

void StreamOriginService::ServeFind(PeerMessage::Reader       message,
                                    const PeerNetwork::Reply& reply) {
  const StreamKey key = ReadKey(message.getFindStream());
  const auto      origin = m_origins.Find(key, m_loop->now());
  reply([&](PeerMessage::Builder response) {
    Write(key, origin.value_or(StreamOrigin()), response.initStreamFound());
  });
}

void StreamOriginService::FindSoleOrigin(const traffic::Route& route,
                                         const FindDone&       done) {
  const auto sole_origin = [this, route] {
    return m_software.SoleOrigin(route, m_tell_window, m_loop->now());
  };
  if (!m_log_reachable || !sole_origin()) {
    done({});
    return;
  }
  const Time give_up_at = m_loop->now() + m_thresholds->origin_wait;
  const auto on_manifest = [sole_origin, done](bool followed) {
    const auto sole = followed ? sole_origin() : std::nullopt;
    done(sole ? FoundOrigin{sole, OriginSource::kSoleOrigin} : FoundOrigin{});
  };
  ConfirmFollowed(Topic::kServers, give_up_at,
                  [this, give_up_at, on_manifest](bool followed) {
                    if (followed) {
                      ConfirmFollowed(Topic::kOperator, give_up_at,
                                      on_manifest);
                    } else {
                      on_manifest(false);
                    }
                  });
}

void StreamOriginService::ConfirmFollowed(Topic topic, Time give_up_at,
                                          ConfirmDone done) {
  ReadEnd(topic, [this, topic, give_up_at,
                  done = std::move(done)](std::optional<std::int64_t> end) {
    if (end) {
      WaitFollowed(topic, *end, give_up_at, done);
    } else {
      done(false);
    }
  });
}

void StreamOriginService::ReadEnd(Topic topic, EndDone done) {
  FollowedTopic& followed = m_followed[topic];
  followed.waiting.push_back(std::move(done));
  if (!followed.reading_end) StartEndRead(topic);
}

void StreamOriginService::StartEndRead(Topic topic) {
  FollowedTopic& followed = m_followed[topic];
  if (followed.waiting.empty()) return;
  followed.reading_end = true;
  platform::ReadRange range;
  range.from = followed.applied;
  range.bytes = kSmallestPage;
  range.kind = platform::CallKind::kProbe;
  m_store->Read(topic, 0, range, m_thresholds->origin_wait,
                [this, topic, waiting = std::exchange(followed.waiting, {})](
                    const platform::StoreResult<platform::ReadPage>& result) {
                  m_followed[topic].reading_end = false;
                  for (const EndDone& done : waiting) {
                    done(result ? std::optional(result->end) : std::nullopt);
                  }
                  if (!m_followed[topic].reading_end) StartEndRead(topic);
                });
}

void StreamOriginService::WaitFollowed(Topic topic, std::int64_t offset,
                                       Time give_up_at, ConfirmDone done) {
  const bool followed = m_followed[topic].applied >= offset;
  if (followed || m_loop->now() >= give_up_at) {
    done(followed);
    return;
  }
  m_loop->After(kFollowedPause,
                [this, topic, offset, give_up_at, done = std::move(done)] {
                  WaitFollowed(topic, offset, give_up_at, done);
                });
}

void StreamOriginService::TakeManifest(const traffic::Manifest& manifest) {
  m_tell_window = m_thresholds->stream_memory;
  m_split_services.clear();
  for (const traffic::Route& route : manifest.routes) {
    if (!route.resumable) continue;
    m_tell_window = std::max(m_tell_window, 2 * route.timeout);
    if (route.services.size() == 1) continue;
    for (const traffic::WeightedService& each : route.services)
      m_split_services.insert(each.service);
  }
  const Duration lifetime =
      std::max(m_tell_window, m_thresholds->origin_memory);
  m_origins.SetLifetime(lifetime);
  m_durable_origins->SetLifetime(lifetime);
  SaveStreams();
}

}  // namespace yuccawick::gateway
