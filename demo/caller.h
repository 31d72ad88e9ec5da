// Client of an entry, as the runtime of an agent program has it: numbers its
// calls and retries a refused request after the retry delay of the response.
#pragma once

#include <string>
#include <vector>

#include "process_group.h"

namespace demo {

class Caller {
 public:
  Caller(ProcessGroup& group, std::vector<std::string> entries,
         std::string customer, std::string workspace);

  // Starts a program, as a sub-agent of `parent` unless that is empty. False if
  // it was refused.
  bool   Start(const std::string& model, const std::string& parent = "",
               const std::string& service_class = "");
  // Successive requests use the entries in turn. A call that may be retried is
  // sent again with the same sequence number, at most `kMaxAttempts` times.
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
  Answer      PostWithRetries(const std::string& path, const std::string& body);

  ProcessGroup&            m_group;
  std::vector<std::string> m_entries;
  std::size_t              m_next_entry = 0;
  std::string              m_customer;
  std::string              m_workspace;
  std::string              m_program;
  int                      m_sequence = 0;  // sequence number of the last call
  int                      m_tries = 0;     // requests sent in total
};

// Returns `text` as a JSON string literal, with quotes.
std::string Quote(const std::string& text);

}  // namespace demo
