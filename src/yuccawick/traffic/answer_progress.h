// Relates the answers of backend servers to the one answer that a client gets.
//
// A request may be sent several times. Once a part of an answer was passed on,
// the client holds its status, headers and form, and a later answer can only
// continue it, as a stream that goes on behind the last event, written by the
// same software. Only AnswerProgress creates an AnswerEnd, and nothing ends an
// answer as complete without one; it alone creates a SendPermit, and nothing is
// sent without one.
//
//   progress.ResumeAt(origin);                  // the client resumes a stream
//   auto permit = progress.PermitSend(server, after_event);
//   progress.OnHead(info, answer, is_stream);   // see fit()
//   if (progress.OnEvent(id)) ...               // pass the event on
//   progress.Begin();                           // the head is passed on
//   if (auto end = progress.PermitEnd(mid_event)) client->EndAnswer(*end);
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "yuccawick/traffic/manifest.h"
#include "yuccawick/traffic/request.h"
#include "yuccawick/traffic/stream_origins.h"

namespace yuccawick::traffic {

// How a server's answer fits what the client has received.
enum class AnswerFit : std::uint8_t {
  kFirst,           // nothing was passed on before
  kContinuation,    // continues the stream that was passed on in part
  kNotRun,          // the server states that it did not run the request
  kNotRunUnstated,  // a status that means "not run" without that statement
  kInvalid,         // not an answer to this request, or without a signature
  kOtherStatus,     // a part with another status was passed on
  kOtherForm,       // a part was passed on, and not both are event streams
};
constexpr std::size_t kAnswerFitCount = 7;
std::string_view      Name(AnswerFit fit);

// Permits to end an answer as complete.
class AnswerEnd {
 private:
  friend class AnswerProgress;
  AnswerEnd() = default;
};

// Permits to send a request to a server.
class SendPermit {
 public:
  const BackendServer& server() const { return m_server; }

 private:
  friend class AnswerProgress;
  explicit SendPermit(BackendServer server) : m_server(std::move(server)) {}

  BackendServer m_server;
};

class AnswerProgress {
 public:
  // The client resumes a stream that `origin` began.
  void ResumeAt(const StreamOrigin& origin) { m_origin = origin; }
  // The software that began the stream; empty if nothing was passed on and the
  // client does not resume a stream.
  const std::optional<StreamOrigin>& origin() const { return m_origin; }
  // Whether the server runs the software that began the stream, if any.
  bool                      MayServe(const BackendServer& server) const;
  // Call for each send. `after_event`: id behind which the server is asked to
  // go on; empty: from the first event. Empty unless MayServe(), and for a send
  // that goes on with a stream whose origin is not known.
  std::optional<SendPermit> PermitSend(const BackendServer& server,
                                       std::string_view     after_event);
  // The head of the server's answer to `request`. `is_stream`: it is passed on
  // event by event.
  void OnHead(const RequestInfo& request, const AnswerInfo& answer,
              bool is_stream);
  // The next event of the current server's answer; `id` is empty if it has
  // none. Returns whether it may be passed on. A server that was asked to go on
  // behind an event has to begin with a higher id, and its ids have to
  // increase; otherwise the client would get events twice.
  bool OnEvent(std::string_view id);
  // The head of the current server's answer is passed on, with its first part.
  // Later answers have to continue this one.
  void Begin();
  // Once the server's answer is whole; `mid_event`: it stopped within an event.
  // Empty unless it completes what the client has received.
  std::optional<AnswerEnd> PermitEnd(bool mid_event) const;
  // For an answer of the gateway's own; empty once a part of a server's answer
  // was passed on.
  std::optional<AnswerEnd> PermitOwnAnswer() const;
  // Whether a part of an answer was passed on.
  bool                     begun() const { return m_begun; }
  // Whether another send may still complete the client's answer: nothing was
  // passed on, or a stream that `route` allows to be resumed and that has not
  // got behind the last id that is a number.
  bool                     CanContinue(const Route& route) const;
  // Last id that the client has received, or has named as such.
  const std::string&       last_id() const { return m_last_id; }
  // Of the current send; kInvalid before its head.
  AnswerFit                fit() const { return m_fit; }
  // Software of the current server.
  const StreamOrigin&      current() const { return m_current; }
  // Whether the body of the current server's answer is passed on.
  bool                     passes_body() const;
  // Whether the current server's answer is passed on event by event.
  bool                     is_stream() const { return m_is_stream; }
  // First id of the current send; empty if there is none.
  const std::string&       first_id() const { return m_first_id; }

 private:
  AnswerFit Classify(const RequestInfo& request, const AnswerInfo& answer,
                     bool is_stream) const;

  // What the client has received.
  std::optional<StreamOrigin> m_origin;
  bool                        m_begun = false;
  int                         m_begun_status = 0;
  bool                        m_begun_stream = false;
  std::string                 m_last_id;
  // The rest can be asked for by m_last_id: no event was passed on since, and
  // it is a number, so that what follows can be told from what was before.
  bool                        m_can_resume = true;

  // The current send.
  StreamOrigin m_current;          // software of its server
  bool         m_resumes = false;  // the server was asked for the rest
  AnswerFit    m_fit = AnswerFit::kInvalid;
  int          m_status = 0;
  bool         m_is_stream = false;
  bool         m_had_id = false;  // an event with an id was passed on
  std::string  m_first_id;
};

}  // namespace yuccawick::traffic
