// Stand-ins of the platform, the servers and the clients around real processes
// of yw-gateway, on loopback addresses and the real clock.
#pragma once

#include <sys/types.h>

#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/standin/client.h"
#include "platform/standin/http_service.h"
#include "review/standin-2/store.hpp"

namespace review {

using platform::standin::Client;

class World;

// A sound server of one service: `slots` requests at once, a short queue, the
// answers of PROTOCOL.md to full queues, foreign instances and health checks.
class Server {
 public:
  struct Job {
    Request            request;
    HttpService::Reply reply;
    std::string        attempt;
    net::Time          arrived = 0;
    net::Time          give_up_at = 0;  // the deadline that it was sent with
    bool               is_health = false;
  };
  using JobPtr = std::shared_ptr<Job>;
  // Runs a job in a slot; has to call Done() when the slot is free again.
  using Run = std::function<void(Server*, const JobPtr&)>;

  Server(World* world, std::string id, std::string service, int host, int slots,
         bool is_model);
  void      Start();
  net::Time SetDraining();  // returns when the store has acknowledged it
  void      Done(const JobPtr& job);
  void      Exit() {
         m_http.Crash();
         m_gone = true;
  }
  const std::string& id() const { return m_id; }
  std::size_t        queued() const { return m_queue.size(); }

  Run run;

 private:
  void        Take(const Request& request, const HttpService::Reply& reply);
  void        StartJobs();
  void        Beat();
  std::string Entry() const;

  World*             m_world;
  std::string        m_id;
  std::string        m_service;
  net::Endpoint      m_at;
  int                m_slots;
  bool               m_is_model;
  HttpService        m_http;
  bool               m_draining = false;
  bool               m_gone = false;
  int                m_seq = 0;
  int                m_busy = 0;
  std::deque<JobPtr> m_queue;
};

// A request as a server got it.
struct Arrival {
  std::string server;
  std::string attempt;
  std::string line;  // method and target
  net::Time   at = 0;
};

// One process of yw-gateway, started as deploy/system.toml says.
class Gateway {
 public:
  Gateway(World* world, std::string name, const std::string& zone, int host);
  ~Gateway();
  void          Start();
  void          Signal(int signal) const;
  void          Kill();  // SIGKILL, and waits for the end
  bool          running() const;
  net::Endpoint clients() const { return m_clients; }
  net::Endpoint ready() const { return m_ready; }
  pid_t         pid() const { return m_pid; }

 private:
  World*        m_world;
  std::string   m_name;
  std::string   m_settings;
  net::Endpoint m_clients;
  net::Endpoint m_ready;
  mutable pid_t m_pid = 0;
};

class World {
 public:
  explicit World(const std::string& folder);
  ~World();

  // Writes a line with the time since the start to record.txt.
  void Note(const std::string& line);
  bool Until(const std::function<bool()>& done, net::Duration limit);
  void Pass(net::Duration time) {
    Until([] { return false; }, time);
  }
  net::Endpoint At(int host, int port) const;
  std::string   Ip(int host) const;
  net::Time     now() const { return loop.now(); }

  Server*  AddServer(const std::string& id, const std::string& service,
                     int slots, bool is_model);
  Gateway* AddGateway(const std::string& name, const std::string& zone = "a");
  // Starts the gateways and waits until each says that it is ready.
  bool     StartGateways();
  bool     IsReady(const Gateway& gateway);
  void     PutManifest(int version, const std::string& routes,
                       std::size_t body_bytes = 4'194'304, int kv_tokens = 95119);
  // A channel to a gateway with its first request.
  std::unique_ptr<Client> Ask(const Gateway&     gateway,
                              const std::string& request) {
    NoteSent(request);
    return std::make_unique<Client>(&loop, gateway.clients(), request);
  }
  // One more request on a kept channel.
  void AskNext(Client* client, const std::string& request) {
    NoteSent(request);
    client->SendNext(request);
  }
  void        NoteSent(const std::string& request);
  void        NoteAnswer(const std::string& attempt, const Client& client);
  std::string NewAttempt();

  net::EventLoop                        loop;
  Store                                 store;
  std::string                           folder;
  std::vector<std::unique_ptr<Server>>  servers;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::vector<Arrival>                  arrivals;
  int memory_mb = 130;  // of the gateways that are added from now on

 private:
  net::Time     m_started;
  std::ofstream m_record;
  std::uint64_t m_last_attempt = 0;
};

// Request texts ---------------------------------------------------------------

std::string Text(const std::string& method, const std::string& target,
                 const std::string& headers, const std::string& body = "");
std::string Route(const std::string& prefix, const std::string& more);
std::string Headers(const Request& request);  // of a sound server's answer
std::string Event(int number, const std::string& words);

}  // namespace review
