#include "yuccawick/traffic/answer_progress.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

namespace yuccawick::traffic {
namespace {

constexpr int                kFirstSuccess = 200;
constexpr int                kLastSuccess = 299;
// Statuses that mean "not run" to a client. Only AnswerInfo::not_run states it.
constexpr std::array<int, 4> kNotRunStatuses{408, 421, 429, 503};

bool MeansNotRun(int status) {
  return std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(), status) !=
         kNotRunStatuses.end();
}

bool IsValid(const RequestInfo& request, const AnswerInfo& answer) {
  const bool success =
      answer.status >= kFirstSuccess && answer.status <= kLastSuccess;
  return answer.attempt == request.attempt && !answer.encoded &&
         (answer.stamped || !success);
}

std::optional<std::uint64_t> ParseId(std::string_view id) {
  std::uint64_t number = 0;
  const char*   end = id.data() + id.size();
  const auto    result = std::from_chars(id.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return number;
}

bool IsHigher(std::string_view id, std::string_view other) {
  const auto number = ParseId(id);
  const auto other_number = ParseId(other);
  return number && other_number && *number > *other_number;
}

}  // namespace

std::string_view Name(AnswerFit fit) {
  constexpr std::array<std::string_view, kAnswerFitCount> kNames{
      "first",   "continuation", "not_run",   "not_run_unstated",
      "invalid", "other_status", "other_form"};
  return kNames[static_cast<std::size_t>(fit)];
}

bool AnswerProgress::MayServe(const BackendServer& server) const {
  return !m_origin || OriginOf(server) == *m_origin;
}

std::optional<SendPermit> AnswerProgress::PermitSend(
    const BackendServer& server, std::string_view after_event) {
  const bool origin_missing = !after_event.empty() && !m_origin;
  if (origin_missing || !MayServe(server)) return std::nullopt;
  m_current = OriginOf(server);
  m_last_id = after_event;
  m_resumes = ParseId(m_last_id).has_value();
  m_fit = AnswerFit::kInvalid;
  m_status = 0;
  m_is_stream = false;
  m_had_id = false;
  m_first_id.clear();
  return SendPermit(server);
}

void AnswerProgress::OnHead(const RequestInfo& request,
                            const AnswerInfo& answer, bool is_stream) {
  m_status = answer.status;
  m_is_stream = is_stream;
  m_fit = Classify(request, answer, is_stream);
}

AnswerFit AnswerProgress::Classify(const RequestInfo& request,
                                   const AnswerInfo&  answer,
                                   bool               is_stream) const {
  if (answer.not_run) return AnswerFit::kNotRun;
  if (!IsValid(request, answer)) return AnswerFit::kInvalid;
  if (m_begun) {
    if (answer.status != m_begun_status) return AnswerFit::kOtherStatus;
    return is_stream && m_begun_stream ? AnswerFit::kContinuation
                                       : AnswerFit::kOtherForm;
  }
  return MeansNotRun(answer.status) ? AnswerFit::kNotRunUnstated
                                    : AnswerFit::kFirst;
}

bool AnswerProgress::passes_body() const {
  return m_fit == AnswerFit::kFirst || m_fit == AnswerFit::kContinuation;
}

bool AnswerProgress::CanContinue(const Route& route) const {
  return !m_begun || (m_begun_stream && route.resumable && m_can_resume);
}

std::optional<AnswerEnd> AnswerProgress::PermitEnd(bool mid_event) const {
  if (!passes_body() || (m_is_stream && mid_event)) return std::nullopt;
  return AnswerEnd();
}

std::optional<AnswerEnd> AnswerProgress::PermitOwnAnswer() const {
  if (m_begun) return std::nullopt;
  return AnswerEnd();
}

bool AnswerProgress::OnEvent(std::string_view id) {
  if (m_first_id.empty()) m_first_id = id;
  // Events without an id belong behind the one before them.
  if (m_resumes && id.empty() && !m_had_id) return false;
  if (m_resumes && !id.empty() && !IsHigher(id, m_last_id)) return false;
  m_can_resume = ParseId(id).has_value();
  if (id.empty()) return true;
  m_had_id = true;
  m_last_id = id;
  return true;
}

void AnswerProgress::Begin() {
  if (std::exchange(m_begun, true)) return;
  m_begun_status = m_status;
  m_begun_stream = m_is_stream;
  if (!m_origin) m_origin = m_current;
}

}  // namespace yuccawick::traffic
