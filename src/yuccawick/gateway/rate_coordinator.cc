#include "yuccawick/gateway/rate_coordinator.h"

#include <xxhash.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "yuccawick/programs/record.h"

namespace yuccawick::gateway {
namespace {

using platform::StoreFailure;
using platform::StoreResult;
using platform::Topic;
using workspaces::RateRecord;
using workspaces::RateRequest;
using workspaces::RateResponse;

// Number of records read before the first own record; raised while these are
// too few.
constexpr std::int64_t kTailRecords = 64;
// Upper bound for this number; covers a rate window even if each log append
// carries a claim.
constexpr std::int64_t kMaxTailRecords = 4096;
// Records between two own claims above which it is cheaper to reopen.
constexpr std::int64_t kMaxRecordsBetween = 256;
// Least time between two claims, in ms: a few log calls, so that one claim
// serves many requests.
constexpr Duration     kMinClaimInterval = 20;
// ms; a quarter of kRateTokenLifetime.
constexpr Duration     kMaxClaimInterval = 250;
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
    int partition, const workspaces::RateLedger::LimitLookup& limit_lookup,
    const workspaces::RateWindow& window)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_store(store),
      m_health(loop, log, RateCoordinatorKey(partition)),
      m_log(log),
      m_incarnation(std::move(incarnation)),
      m_partition(partition),
      m_allocator(limit_lookup, window),
      m_appender(loop, thresholds, store, &m_health, Topic::kRates, partition,
                 m_incarnation) {}

// Requests -------------------------------------------------------------------

void RateCoordinator::RequestTokens(const RateRequest& request, Done done) {
  const std::uint64_t number = ++m_last_request;
  m_pending.push_back({number, m_allocator.Submit(request, m_loop->ReadClock()),
                       std::move(done)});
  Serve();
  const auto is_pending = std::any_of(
      m_pending.begin(), m_pending.end(),
      [number](const PendingRequest& each) { return each.number == number; });
  if (!is_pending) return;
  m_loop->After(m_thresholds->rate_answer,
                [this, number] { AbandonRequest(number); });
}

void RateCoordinator::Serve() {
  if (m_state != State::kOpen) {
    Open();
    // Log calls are retried until the log is back; until then the requester
    // should try the coordinator next in rank.
    if (m_health.unavailable()) RespondUnsure();
    return;
  }
  struct Reply {
    Done         done;
    RateResponse response;
  };
  std::vector<Reply>          replies;
  std::vector<PendingRequest> undecided;
  for (PendingRequest& pending : m_pending) {
    if (const auto response =
            m_allocator.TryRespond(pending.submitted, m_loop->ReadClock())) {
      replies.push_back({std::move(pending.done), *response});
    } else {
      undecided.push_back(std::move(pending));
    }
  }
  m_pending = std::move(undecided);
  Claim();
  if (m_health.unavailable() && m_claiming) RespondUnsure();
  // Called last, because a callback may call RequestTokens() again.
  for (const Reply& reply : replies) reply.done(reply.response);
}

void RateCoordinator::RespondUnsure() {
  RateResponse unsure;
  unsure.unsure = true;
  for (const PendingRequest& pending : std::exchange(m_pending, {})) {
    pending.done(unsure);
  }
}

void RateCoordinator::AbandonRequest(std::uint64_t number) {
  const auto found = std::find_if(
      m_pending.begin(), m_pending.end(),
      [number](const PendingRequest& each) { return each.number == number; });
  if (found == m_pending.end()) return;
  const Done done = std::move(found->done);
  m_pending.erase(found);
  RateResponse unsure;
  unsure.unsure = true;
  done(unsure);
}

void RateCoordinator::Sweep() {
  m_allocator.Sweep(m_loop->now());
  if (m_state == State::kOpen && !m_claiming) {
    SendClaim(m_allocator.NextReleases(m_loop->now()));
  }
}

void RateCoordinator::LogRefusals() {
  for (const auto& report : m_allocator.TakeRefusalReports(m_loop->now())) {
    m_log->Write(LogEvent::kLimit,
                 {{"workspace", report.workspace},
                  {"turned_away", report.refused},
                  {"asked_per_s", static_cast<int>(report.asked_per_second)},
                  {"allowance", static_cast<int>(report.allowance)},
                  {"left", static_cast<int>(report.left)},
                  {"claimed_ahead", report.pool},
                  {"program_needs", static_cast<int>(report.need)}});
  }
}

// Claims ---------------------------------------------------------------------

void RateCoordinator::Append(
    const RateRecord&                                record,
    std::function<void(std::optional<std::int64_t>)> done) {
  m_appender.Add(programs::EncodeRate(record),
                 [done = std::move(done)](const Appender::Result& result) {
                   done(result ? std::optional(result->offset) : std::nullopt);
                 });
}

// Keeps the total rate of claims constant when several nodes coordinate the
// same partition, which happens if they cannot reach each other. Otherwise
// their claims could use up the appends that the log accepts, and all tokens
// would arrive late.
Duration RateCoordinator::ClaimInterval() const {
  return std::min(kMinClaimInterval * (1 + m_other_records), kMaxClaimInterval);
}

void RateCoordinator::Claim() {
  if (m_claiming || m_claim_scheduled) return;
  const Duration wait = m_claimed_at + ClaimInterval() - m_loop->now();
  if (wait <= 0) {
    SendClaim(m_allocator.NextClaim(ClaimInterval(), m_loop->now()));
    return;
  }
  m_claim_scheduled = true;
  m_loop->After(wait, [this] {
    m_claim_scheduled = false;
    if (m_state != State::kOpen || m_claiming) return;
    SendClaim(m_allocator.NextClaim(ClaimInterval(), m_loop->now()));
  });
}

void RateCoordinator::SendClaim(std::vector<workspaces::RateEntry> entries) {
  if (entries.empty()) return;
  const RateRecord record{m_incarnation, m_last_offset, m_loop->now(),
                          m_last_acked, std::move(entries)};
  m_claiming = true;
  m_claimed_at = m_loop->now();
  Append(record, [this, record, sent = m_loop->now()](auto offset) {
    OnClaimAppended(record, sent, offset);
  });
}

void RateCoordinator::OnClaimAppended(const RateRecord& record, Time sent,
                                      std::optional<std::int64_t> offset) {
  if (!offset || *offset < m_next_offset ||
      *offset - m_next_offset > kMaxRecordsBetween) {
    Close();
    return;
  }
  m_last_offset = *offset;
  m_last_acked = m_loop->now();
  m_other_records = *offset - m_next_offset;
  const PendingClaim pending_claim{record, sent, *offset};
  ReadUpTo(
      m_next_offset, *offset,
      [this](const platform::LogRecord& raw) {
        auto decoded_claim = programs::DecodeRate(raw.value);
        if (!decoded_claim) return;
        m_allocator.ledger().Apply({raw.offset, std::move(*decoded_claim)},
                                   m_loop->now());
      },
      [this, pending_claim] { ApplyClaim(pending_claim); });
}

void RateCoordinator::ApplyClaim(const PendingClaim& pending_claim) {
  m_next_offset = pending_claim.offset + 1;
  m_claiming = false;
  const workspaces::LoggedRate claim{pending_claim.offset,
                                     pending_claim.record};
  m_allocator.ledger().Apply(claim, m_loop->now());
  m_allocator.OnGranted(claim, pending_claim.sent, m_loop->now());
  Serve();
}

// Opening and reading --------------------------------------------------------

void RateCoordinator::Close() {
  m_state = State::kClosed;
  m_claiming = false;
  if (!m_pending.empty()) Open();
}

void RateCoordinator::Open() {
  if (m_state != State::kClosed || m_appender.busy()) return;
  m_state = State::kOpening;
  // An empty claim; its offset is the end of the log.
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
// rate window. Records that the log has deleted by age are older than that.
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
        const bool window_covered = from == 0 || ages.empty() ||
                                    before->front().offset > from ||
                                    ages.front() >= m_allocator.ledger().Span();
        if (!window_covered && count < kMaxTailRecords) {
          ReadBack(end, 4 * count);
          return;
        }
        m_allocator.ledger().Begin(*before, m_loop->now());
        m_next_offset = end + 1;
        m_state = State::kOpen;
        Serve();
      });
}

void RateCoordinator::ReadUpTo(std::int64_t from, std::int64_t to,
                               const RecordCallback&        on_record,
                               const std::function<void()>& done) {
  if (from >= to) {
    done();
    return;
  }
  m_store->Read(Topic::kRates, m_partition, {from, kPageBytes},
                m_thresholds->log_timeout,
                [this, from, to, on_record,
                 done](const StoreResult<platform::ReadPage>& result) {
                  const bool expired = !result && result.error().failure ==
                                                      StoreFailure::kExpired;
                  m_health.Observe(result.has_value() || expired, "read");
                  // Deleted records do no harm while opening; later, one of
                  // them may be a claim that was never applied.
                  if (expired && m_state == State::kOpening &&
                      result.error().first > from) {
                    ReadUpTo(result.error().first, to, on_record, done);
                    return;
                  }
                  if (!result || result->records.empty()) {
                    Close();
                    return;
                  }
                  for (const auto& record : result->records) {
                    if (record.offset < to) on_record(record);
                  }
                  ReadUpTo(result->next, to, on_record, done);
                });
}

}  // namespace yuccawick::gateway
