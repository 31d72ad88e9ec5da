#include "yuccawick/gateway/rate_coordinator.h"

#include <xxhash.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "yuccawick/programs/record.h"

// Index: Asking, Claiming, Opening and reading.

namespace yuccawick::gateway {
namespace {

using platform::StoreFailure;
using platform::StoreResult;
using platform::Topic;
using workspaces::RateRecord;
using workspaces::RateRequest;
using workspaces::RateResponse;

// Records before its own first one that a desk reads: some seconds' claims.
constexpr std::int64_t kTailRecords = 64;
// With so many a window is covered in any case: no home claims more often than
// the log takes appends, some 5 ms.
constexpr std::int64_t kMostTail = 4096;
// With more than this in between, it is as well to open anew.
constexpr std::int64_t kMostBetween = 256;
// Between two claims, in ms: some calls of the log, so that one claim serves
// many questions.
constexpr Duration     kClaimPause = 20;
constexpr Duration     kLongestClaimPause = 250;  // a quarter of a token's life
constexpr std::size_t  kPageBytes = 64UL * 1024;

}  // namespace

int RatePartitionOf(const std::string& workspace) {
  return static_cast<int>(XXH3_64bits(workspace.data(), workspace.size()) %
                          kRatePartitions);
}

std::string RateCoordinatorKey(int partition) {
  return "rates " + std::to_string(partition);
}

RateCoordinator::RateCoordinator(
    net::EventLoop* loop, const Thresholds* thresholds,
    platform::RecordLog* store, Log* log, std::string incarnation,
    int partition, const workspaces::RateLedger::LimitLookup& limit_of,
    const workspaces::RateWindow& window)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_store(store),
      m_health(loop, log, RateCoordinatorKey(partition)),
      m_log(log),
      m_incarnation(std::move(incarnation)),
      m_partition(partition),
      m_home(limit_of, window),
      m_appender(loop, thresholds, store, &m_health, Topic::kRates, partition,
                 m_incarnation) {}

// Asking ---------------------------------------------------------------------

void RateCoordinator::RequestTokens(const RateRequest& ask, Done done) {
  const std::uint64_t number = ++m_last_question;
  m_waiting.push_back(
      {number, m_home.Submit(ask, m_loop->ReadClock()), std::move(done)});
  Serve();
  const auto waits = std::any_of(
      m_waiting.begin(), m_waiting.end(),
      [number](const Waiting& each) { return each.number == number; });
  if (!waits) return;
  m_loop->After(m_thresholds->rate_answer, [this, number] { GiveUp(number); });
}

void RateCoordinator::Serve() {
  if (m_state != State::kOpen) {
    Open();
    // A call that hangs is tried again until the log is back; who takes this
    // node's place may reach it now.
    if (m_health.unavailable()) AnswerUnsure();
    return;
  }
  struct Reply {
    Done         done;
    RateResponse answer;
  };
  std::vector<Reply>   replies;
  std::vector<Waiting> left;
  for (Waiting& waiting : m_waiting) {
    if (const auto answer =
            m_home.TryRespond(waiting.entered, m_loop->ReadClock())) {
      replies.push_back({std::move(waiting.done), *answer});
    } else {
      left.push_back(std::move(waiting));
    }
  }
  m_waiting = std::move(left);
  Claim();
  if (m_health.unavailable() && m_claiming) AnswerUnsure();
  // Last: whoever is answered may ask again at once.
  for (const Reply& reply : replies) reply.done(reply.answer);
}

void RateCoordinator::AnswerUnsure() {
  RateResponse unsure;
  unsure.unsure = true;
  for (const Waiting& waiting : std::exchange(m_waiting, {})) {
    waiting.done(unsure);
  }
}

void RateCoordinator::GiveUp(std::uint64_t number) {
  const auto found = std::find_if(
      m_waiting.begin(), m_waiting.end(),
      [number](const Waiting& each) { return each.number == number; });
  if (found == m_waiting.end()) return;
  const Done done = std::move(found->done);
  m_waiting.erase(found);
  RateResponse unsure;
  unsure.unsure = true;
  done(unsure);
}

void RateCoordinator::Sweep() {
  m_home.Sweep(m_loop->now());
  if (m_state == State::kOpen && !m_claiming) {
    SendClaim(m_home.NextReleases(m_loop->now()));
  }
}

void RateCoordinator::LogRefusals() {
  for (const auto& use : m_home.TakeRefusalReports(m_loop->now())) {
    m_log->Write(LogEvent::kLimit,
                 {{"workspace", use.workspace},
                  {"turned_away", use.refused},
                  {"asked_per_s", static_cast<int>(use.asked_per_second)},
                  {"allowance", static_cast<int>(use.allowance)},
                  {"left", static_cast<int>(use.left)},
                  {"claimed_ahead", use.pool},
                  {"program_needs", static_cast<int>(use.need)}});
  }
}

// Claiming -------------------------------------------------------------------

void RateCoordinator::Append(
    const RateRecord&                                record,
    std::function<void(std::optional<std::int64_t>)> done) {
  m_appender.Add(programs::EncodeRate(record),
                 [done = std::move(done)](const Appender::Result& result) {
                   done(result ? std::optional(result->offset) : std::nullopt);
                 });
}

// All homes of a partition together claim about as often, however many there
// are. Nodes that do not reach each other take each the others' place: twelve
// of them, each claiming as soon as its last claim was in, took the log's
// appends to their limit, and nobody's tokens came in time.
Duration RateCoordinator::ClaimPause() const {
  return std::min(kClaimPause * (1 + m_others), kLongestClaimPause);
}

void RateCoordinator::Claim() {
  if (m_claiming || m_claim_due) return;
  const Duration wait = m_claimed_at + ClaimPause() - m_loop->now();
  if (wait <= 0) {
    SendClaim(m_home.NextClaim(ClaimPause(), m_loop->now()));
    return;
  }
  m_claim_due = true;
  m_loop->After(wait, [this] {
    m_claim_due = false;
    if (m_state != State::kOpen || m_claiming) return;
    SendClaim(m_home.NextClaim(ClaimPause(), m_loop->now()));
  });
}

void RateCoordinator::SendClaim(std::vector<workspaces::RateEntry> entries) {
  if (entries.empty()) return;
  const RateRecord record{m_incarnation, m_last_offset, m_loop->now(),
                          m_last_acked, std::move(entries)};
  m_claiming = true;
  m_claimed_at = m_loop->now();
  Append(record, [this, record, sent = m_loop->now()](auto offset) {
    ClaimAppended(record, sent, offset);
  });
}

void RateCoordinator::ClaimAppended(const RateRecord& record, Time sent,
                                    std::optional<std::int64_t> offset) {
  if (!offset || *offset < m_next || *offset - m_next > kMostBetween) {
    Close();
    return;
  }
  m_last_offset = *offset;
  m_last_acked = m_loop->now();
  m_others = *offset - m_next;
  const Claimed claimed{record, sent, *offset};
  ReadUpTo(
      m_next, *offset,
      [this](const platform::LogRecord& raw) {
        auto other = programs::DecodeRate(raw.value);
        if (!other) return;
        m_home.ledger().Apply({raw.offset, std::move(*other)}, m_loop->now());
      },
      [this, claimed] { TakeClaimed(claimed); });
}

void RateCoordinator::TakeClaimed(const Claimed& claimed) {
  m_next = claimed.offset + 1;
  m_claiming = false;
  const workspaces::LoggedRate claim{claimed.offset, claimed.record};
  m_home.ledger().Apply(claim, m_loop->now());
  m_home.OnGranted(claim, claimed.sent, m_loop->now());
  Serve();
}

// Opening and reading --------------------------------------------------------

void RateCoordinator::Close() {
  m_state = State::kClosed;
  m_claiming = false;
  if (!m_waiting.empty()) Open();
}

void RateCoordinator::Open() {
  if (m_state != State::kClosed || m_appender.busy()) return;
  m_state = State::kOpening;
  // Claims nothing; tells where the log ends.
  const RateRecord record{m_incarnation, -1, m_loop->now(), 0, {}};
  Append(record, [this](std::optional<std::int64_t> offset) {
    if (!offset) {
      Close();
      return;
    }
    m_last_offset = *offset;
    m_last_acked = m_loop->now();
    ReadBack(*offset, kTailRecords);
  });
}

// Reads the last `count` records before `end`, and more if they do not cover a
// window. What the log has deleted by age is older than that.
void RateCoordinator::ReadBack(std::int64_t end, std::int64_t count) {
  const auto before = std::make_shared<std::vector<workspaces::LoggedRate>>();
  const std::int64_t from = std::max<std::int64_t>(0, end - count);
  ReadUpTo(
      from, end,
      [before](const platform::LogRecord& raw) {
        auto record = programs::DecodeRate(raw.value);
        if (record) before->push_back({raw.offset, std::move(*record)});
      },
      [this, before, end, count, from] {
        const auto ages = workspaces::MinAges(*before);
        const bool whole = from == 0 || ages.empty() ||
                           before->front().offset > from ||
                           ages.front() >= m_home.ledger().Span();
        if (!whole && count < kMostTail) {
          ReadBack(end, 4 * count);
          return;
        }
        m_home.ledger().Begin(*before, m_loop->now());
        m_next = end + 1;
        m_state = State::kOpen;
        Serve();
      });
}

void RateCoordinator::ReadUpTo(std::int64_t from, std::int64_t to,
                               const TakeRecord&            take,
                               const std::function<void()>& done) {
  if (from >= to) {
    done();
    return;
  }
  m_store->Read(
      Topic::kRates, m_partition, {from, kPageBytes}, m_thresholds->log_timeout,
      [this, from, to, take,
       done](const StoreResult<platform::ReadPage>& result) {
        const bool gone =
            !result && result.error().failure == StoreFailure::kExpired;
        m_health.Observe(result.has_value() || gone, "read");
        // While opening, what was deleted is only not recovered from; later it
        // may be a claim that was never taken.
        if (gone && m_state == State::kOpening && result.error().first > from) {
          ReadUpTo(result.error().first, to, take, done);
          return;
        }
        if (!result || result->records.empty()) {
          Close();
          return;
        }
        for (const auto& record : result->records) {
          if (record.offset < to) take(record);
        }
        ReadUpTo(result->next, to, take, done);
      });
}

}  // namespace yuccawick::gateway
