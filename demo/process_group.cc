#include "process_group.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>

namespace demo {
namespace {

constexpr int kRpcPort = 7000;
constexpr int kHttpPort = 7001;
constexpr int kBackendPort = 7002;
constexpr int kLogHostNumber = 250;  // last byte of the address
constexpr int kVmListHostNumber = 251;
constexpr int kByteValues = 256;
constexpr int kExecFailed = 127;   // exit code
constexpr int kHttpTimeout = 120;  // seconds

std::string HostPort(const std::string& host, int port) {
  return host + ":" + std::to_string(port);
}

}  // namespace

Process::Process(const std::string&              program,
                 const std::vector<std::string>& arguments) {
  int pipe_ends[2];
  if (pipe2(pipe_ends, O_CLOEXEC) != 0) return;
  std::vector<std::string> command_line{program};
  command_line.insert(command_line.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  argv.reserve(command_line.size() + 1);
  for (auto& word : command_line) argv.push_back(word.data());
  argv.push_back(nullptr);
  const pid_t parent = getpid();
  m_pid = fork();
  if (m_pid == 0) {
    // Without this, children outlive a parent that is killed by a failed check
    // and never runs the destructor.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(kExecFailed);
    dup2(pipe_ends[1], STDOUT_FILENO);
    dup2(pipe_ends[1], STDERR_FILENO);
    execv(program.c_str(), argv.data());
    _exit(kExecFailed);
  }
  close(pipe_ends[1]);
  m_output = pipe_ends[0];
  m_reader = std::thread([this] { ReadLines(); });
}

Process::~Process() {
  if (!m_waited) {
    Signal(SIGCONT);
    Signal(SIGKILL);
    Wait();
  }
  m_reader.join();
  close(m_output);
}

void Process::ReadLines() {
  std::string line;
  char        buffer[4096];
  ssize_t     count = 0;
  while ((count = read(m_output, buffer, sizeof(buffer))) > 0) {
    const std::lock_guard lock(m_mutex);
    for (ssize_t i = 0; i < count; ++i) {
      if (buffer[i] != '\n') {
        line += buffer[i];
        continue;
      }
      m_lines.push_back(std::move(line));
      line.clear();
    }
    m_changed.notify_all();
  }
  const std::lock_guard lock(m_mutex);
  m_ended = true;
  m_changed.notify_all();
}

bool Process::WaitForLine(const std::string& text, int limit_ms) {
  std::size_t seen = 0;
  bool        found = false;
  const auto  scan_lines = [&] {
    for (; seen < m_lines.size(); ++seen)
      found = found || m_lines[seen].find(text) != std::string::npos;
    return found || m_ended;
  };
  std::unique_lock lock(m_mutex);
  m_changed.wait_for(lock, std::chrono::milliseconds(limit_ms), scan_lines);
  return found;
}

std::string Process::Line(std::size_t n) {
  std::unique_lock lock(m_mutex);
  m_changed.wait(lock, [&] { return m_lines.size() > n || m_ended; });
  return m_lines.size() > n ? m_lines[n] : "";
}

void Process::Signal(int number) {
  if (m_pid > 0 && !m_waited) kill(m_pid, number);
}

int Process::Wait() {
  if (m_waited || m_pid <= 0) return m_exit;
  int status = 0;
  waitpid(m_pid, &status, 0);
  m_waited = true;
  m_exit = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return m_exit;
}

std::string Answer::Text(const std::string& key) const {
  if (json.isNull() || !json->has(key)) return "";
  return json->getValue<std::string>(key);
}

std::string Answer::Reason() const {
  if (json.isNull() || !json->isObject("error")) return "";
  return json->getObject("error")->optValue<std::string>("reason", "");
}

std::string Answer::Ran() const {
  if (json.isNull() || !json->isObject("error")) return "";
  return json->getObject("error")->optValue<std::string>("ran", "");
}

ProcessGroup::ProcessGroup(std::string programs)
    : m_programs(std::move(programs)) {
  const int pid = getpid();
  m_prefix = "127." +
             std::to_string(1 + pid / kByteValues % (kByteValues - 2)) + "." +
             std::to_string(pid % kByteValues) + ".";
}

void ProcessGroup::StartPlatform() {
  const std::string log_host = m_prefix + std::to_string(kLogHostNumber);
  m_log = std::make_unique<Process>(
      m_programs + "/yw-standin",
      std::vector<std::string>{"--kind=log", "--host=" + log_host});
  m_log_address = m_log->Line(0);
  const std::string vms_host = m_prefix + std::to_string(kVmListHostNumber);
  m_vms = std::make_unique<Process>(
      m_programs + "/yw-standin",
      std::vector<std::string>{"--kind=vms", "--lag_ms=1000",
                               "--host=" + vms_host});
  m_vms_address = m_vms->Line(0);
}

std::string ProcessGroup::AddressOf(const std::string& vm) const {
  return m_prefix + std::to_string(m_specs.at(vm).number);
}

std::string ProcessGroup::HttpOf(const std::string& vm) const {
  return HostPort(AddressOf(vm), kHttpPort);
}

std::string ProcessGroup::BackendOf(const std::string& vm) const {
  return HostPort(AddressOf(vm), kBackendPort);
}

void ProcessGroup::AddAgent(const AgentSpec& spec) {
  m_specs[spec.vm] = {false, spec, static_cast<int>(m_specs.size()) + 1};
  const bool                     model = spec.kind == "model";
  const std::vector<std::string> arguments{
      model ? "--kind=engine" : "--kind=app", "--host=" + AddressOf(spec.vm),
      "--port=" + std::to_string(kBackendPort), "--model=" + spec.target,
      spec.checks_fence ? "--checks_fence=true" : "--checks_fence=false"};
  m_backends[spec.vm] =
      std::make_unique<Process>(m_programs + "/yw-standin", arguments);
  m_backends[spec.vm]->Line(0);
  Launch(spec.vm);
}

void ProcessGroup::AddEntry(const std::string& vm, const std::string& zone) {
  NodeSpec node;
  node.is_entry = true;
  node.spec.vm = vm;
  node.spec.zone = zone;
  node.number = static_cast<int>(m_specs.size()) + 1;
  m_specs[vm] = node;
  Launch(vm);
}

void ProcessGroup::Restart(const std::string& vm) {
  m_nodes.erase(vm);
  Launch(vm);
}

void ProcessGroup::Launch(const std::string& vm) {
  const NodeSpec&          node = m_specs.at(vm);
  const std::string        rpc = HostPort(AddressOf(vm), kRpcPort);
  std::vector<std::string> arguments{"--vm=" + vm,
                                     "--zone=" + node.spec.zone,
                                     "--listen=" + rpc,
                                     "--http=" + HttpOf(vm),
                                     "--log_service=" + m_log_address,
                                     "--vm_list=" + m_vms_address,
                                     "--control_poll_ms=500"};
  if (!node.is_entry) {
    arguments.push_back("--kind=" + node.spec.kind);
    arguments.push_back("--target=" + node.spec.target);
    arguments.push_back("--backend=" + BackendOf(vm));
  }
  const std::string program = node.is_entry ? "/yw-entry" : "/yw-agent";
  m_nodes[vm] = std::make_unique<Process>(m_programs + program, arguments);
  Answer listed =
      Post(m_vms_address, "/vms/" + vm, {}, R"({"address": ")" + rpc + R"("})");
}

bool ProcessGroup::WaitUntilReady(const std::string& vm) {
  const NodeSpec& node = m_specs.at(vm);
  if (!m_nodes.at(vm)->WaitForLine("\"event\":\"joined\"")) return false;
  if (node.is_entry || node.spec.kind != "model") return true;
  return m_nodes.at(vm)->WaitForLine("\"event\":\"replica_assigned\"");
}

bool ProcessGroup::WaitForContract(const std::string& vm,
                                   const std::string& customer) {
  return m_nodes.at(vm)->WaitForLine(R"("event":"contract_in_force","vm":")" +
                                     vm + "\"") &&
         m_nodes.at(vm)->WaitForLine(R"("customer":")" + customer + "\"");
}

int ProcessGroup::Operate(const std::vector<std::string>& arguments,
                          std::string*                    output) {
  std::vector<std::string> command_line{"--log_service=" + m_log_address};
  command_line.insert(command_line.end(), arguments.begin(), arguments.end());
  Process   command(m_programs + "/yw", command_line);
  const int code = command.Wait();
  output->clear();
  for (std::size_t i = 0;; ++i) {
    const std::string line = command.Line(i);
    if (line.empty()) break;
    *output += line + "\n";
  }
  return code;
}

Answer ProcessGroup::Get(const std::string& address, const std::string& path,
                         const Headers& headers, const std::string& method) {
  Answer answer;
  try {
    const auto                   colon = address.rfind(':');
    Poco::Net::HTTPClientSession session(
        address.substr(0, colon),
        static_cast<Poco::UInt16>(std::stoi(address.substr(colon + 1))));
    session.setTimeout(Poco::Timespan(kHttpTimeout, 0));
    Poco::Net::HTTPRequest request(method, path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    std::string            body;
    for (const auto& [name, value] : headers) {
      if (name == "body") {
        body = value;
      } else {
        request.set(name, value);
      }
    }
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body << std::flush;
    Poco::Net::HTTPResponse response;
    auto&                   in = session.receiveResponse(response);
    Poco::StreamCopier::copyToString(in, answer.body);
    answer.status = response.getStatus();
    Poco::JSON::Parser parser;
    answer.json = parser.parse(answer.body).extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception&) {
    // No answer, if `status` is 0, or a body that is not a JSON object.
  }
  return answer;
}

Answer ProcessGroup::Post(const std::string& address, const std::string& path,
                          const Headers& headers, const std::string& body) {
  Headers all = headers;
  all["body"] = body;
  all["Content-Type"] = "application/json";
  return Get(address, path, all, "POST");
}

Answer ProcessGroup::Effects(const std::string& vm) {
  return Get(BackendOf(vm), "/effects");
}

Answer ProcessGroup::ControlLog(const std::string& body) {
  return Post(m_log_address, "/control", {}, body);
}

}  // namespace demo
