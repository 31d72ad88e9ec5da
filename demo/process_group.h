// The whole system as processes on loopback: stand-ins, agents, entries.
//
// For the demonstration and for proofs against the real daemons. Each node has
// an address of its own in 127.0.0.0/8, made from the starter's process id, so
// that groups never meet. Nothing waits by time: the group waits for lines that
// the processes write.
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

// A child process whose output is read line by line.
class Process {
 public:
  Process(const std::string&              program,
          const std::vector<std::string>& arguments);
  // Ends the child if it still runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // True once a line containing `text` has been written; false if the process
  // ends or `limit_ms` passes first.
  bool        WaitForLine(const std::string& text, int limit_ms = 30000);
  // The n-th line written (0 is the first), empty if there was none.
  std::string Line(std::size_t n);
  void        Signal(int number);
  // Waits for the end; the exit code, or -1 if a signal ended it.
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
  int                     status = 0;  // 0: no answer
  std::string             body;
  Poco::JSON::Object::Ptr json;  // null if the body is not an object

  // The error's reason and whether the call ran; empty if there is none.
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
  // Each starts the backend server beside it first, unless it runs already.
  void AddAgent(const AgentSpec& spec);
  void AddEntry(const std::string& vm, const std::string& zone);
  // Starts a node again as a new incarnation.
  void Restart(const std::string& vm);
  bool WaitUntilReady(const std::string& vm);
  // The node has read a contract of that customer.
  bool WaitForContract(const std::string& vm, const std::string& customer);

  // Runs the operator's command; its exit code. Output goes to `*output`.
  int Operate(const std::vector<std::string>& arguments, std::string* output);

  Process&    node(const std::string& vm) { return *m_nodes.at(vm); }
  Process&    backend(const std::string& vm) { return *m_backends.at(vm); }
  // host:port
  std::string HttpOf(const std::string& vm) const;
  std::string BackendOf(const std::string& vm) const;
  std::string log_address() const { return m_log_address; }
  std::string vms_address() const { return m_vms_address; }

  // Callers' requests.
  Answer Post(const std::string& address, const std::string& path,
              const Headers& headers, const std::string& body);
  Answer Get(const std::string& address, const std::string& path,
             const Headers& headers = {}, const std::string& method = "GET");
  // Effects counted by the stand-in beside that VM.
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
