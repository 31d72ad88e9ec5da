// Runs the whole system as processes on loopback: stand-ins, agents, entries.
//
// For the demonstration and for tests of the real daemons. Each node has its
// own address in 127.0.0.0/8, derived from the process id of the parent, so
// that groups of different processes do not conflict. Progress is detected by
// the lines that the processes log, not by fixed waits.
#pragma once

#include <Poco/JSON/Object.h>
#include <sys/types.h>

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace demo {

// Child process whose output (stdout and stderr) is read line by line.
class Process {
 public:
  Process(const std::string&              program,
          const std::vector<std::string>& arguments);
  // Kills the child if it is still running.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Waits for a line that contains `text`. False if the process ends or
  // `limit_ms` passes first.
  bool        WaitForLine(const std::string& text, int limit_ms = 30000);
  // Waits for line `n`, counted from 0. Empty if the process ends first.
  std::string Line(std::size_t n);
  void        Signal(int number);
  // Waits for the end. Returns the exit code, or -1 if a signal ended it.
  int         Wait();
  pid_t       pid() const { return m_pid; }

 private:
  void ReadLines();

  pid_t                    m_pid = -1;
  int                      m_output = -1;
  int                      m_exit = 0;
  bool                     m_waited = false;
  std::mutex               m_mutex;
  std::condition_variable  m_changed;
  std::vector<std::string> m_lines;
  bool                     m_ended = false;
  std::thread              m_reader;
};

struct Answer {
  int                     status = 0;  // HTTP status; 0: no answer
  std::string             body;
  Poco::JSON::Object::Ptr json;  // null if the body is not a JSON object

  // Fields `reason` and `ran` of the error; empty if there is no error.
  std::string Reason() const;
  std::string Ran() const;
  std::string Text(const std::string& key) const;
};

struct AgentSpec {
  std::string vm;
  std::string zone;
  std::string kind;    // model or service
  std::string target;  // name of the model or service
  bool        checks_fence = true;
};

using Headers = std::map<std::string, std::string>;

class ProcessGroup {
 public:
  // `programs` is the folder of the built programs.
  explicit ProcessGroup(std::string programs);

  void StartPlatform();
  // Starts a backend server on the VM and then the agent.
  void AddAgent(const AgentSpec& spec);
  void AddEntry(const std::string& vm, const std::string& zone);
  // Restarts a node as a new incarnation.
  void Restart(const std::string& vm);
  bool WaitUntilReady(const std::string& vm);
  // Waits until the node has read a contract of the customer.
  bool WaitForContract(const std::string& vm, const std::string& customer);

  // Runs the `yw` command and stores its output. Returns its exit code.
  int Operate(const std::vector<std::string>& arguments, std::string* output);

  Process&    node(const std::string& vm) { return *m_nodes.at(vm); }
  Process&    backend(const std::string& vm) { return *m_backends.at(vm); }
  // host:port
  std::string HttpOf(const std::string& vm) const;
  std::string BackendOf(const std::string& vm) const;
  std::string log_address() const { return m_log_address; }
  std::string vms_address() const { return m_vms_address; }

  // HTTP requests to `address` (host:port).
  Answer Post(const std::string& address, const std::string& path,
              const Headers& headers, const std::string& body);
  Answer Get(const std::string& address, const std::string& path,
             const Headers& headers = {}, const std::string& method = "GET");
  // Calls executed by the backend server of the VM.
  Answer Effects(const std::string& vm);
  Answer ControlLog(const std::string& body);

 private:
  std::string AddressOf(const std::string& vm) const;
  void        Launch(const std::string& vm);

  struct NodeSpec {
    bool      is_entry = false;
    AgentSpec spec;
    int       number = 0;
  };
  std::string                                     m_programs;
  std::string                                     m_prefix;  // "127.a.b."
  std::map<std::string, NodeSpec>                 m_specs;
  std::unique_ptr<Process>                        m_log;
  std::unique_ptr<Process>                        m_vms;
  std::string                                     m_log_address;
  std::string                                     m_vms_address;
  std::map<std::string, std::unique_ptr<Process>> m_backends;
  std::map<std::string, std::unique_ptr<Process>> m_nodes;
};

}  // namespace demo
