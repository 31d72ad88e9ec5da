// A caller of the system, as an agent program's runtime would be: it numbers
// its calls, and asks again when told when to come back.
#pragma once

#include <string>
#include <vector>

#include "process_group.h"

namespace demo {

class Caller {
 public:
  Caller(ProcessGroup& group, std::vector<std::string> entries,
         std::string customer, std::string workspace);

  // Starts a program; a sub-agent of `parent` if that is not empty.
  bool   Start(const std::string& model, const std::string& parent = "",
               const std::string& service_class = "");
  // Each call goes through another entry than the one before. Asks again with
  // the same sequence as often as it is told to, at most `kMostTries` times.
  Answer Model(const std::string& model, const std::string& content,
               bool stream = false);
  Answer Service(const std::string& service, const std::string& arguments);
  Answer History();
  Answer End();

  const std::string& program() const { return m_program; }
  int                sequence() const { return m_sequence; }
  int                tries() const { return m_tries; }

 private:
  Headers     CallHeaders() const;
  std::string NextEntry();
  Answer      Persist(const std::string& path, const std::string& body);

  ProcessGroup&            m_group;
  std::vector<std::string> m_entries;
  std::size_t              m_next_entry = 0;
  std::string              m_customer;
  std::string              m_workspace;
  std::string              m_program;
  int                      m_sequence = 0;  // of the last call
  int                      m_tries = 0;     // requests sent in all
};

// A text as a JSON string, quotes included.
std::string Quote(const std::string& text);

}  // namespace demo
