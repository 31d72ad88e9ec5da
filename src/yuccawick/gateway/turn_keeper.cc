#include "yuccawick/gateway/turn_keeper.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "yuccawick/programs/record.h"

namespace yuccawick::gateway {
namespace {

using platform::Appended;
using platform::LogRecord;
using platform::ReadPage;
using platform::StoreError;
using platform::StoreFailure;
using platform::StoreResult;
using platform::Topic;

// An append takes some 6 ms; in a slow spell of the log a quarter of a second.
constexpr Duration kCallTimeout = 600;     // ms
constexpr Duration kRetryDelay = 80;       // ms between tries of an append
constexpr Duration kAwayPause = 150;       // ms between tries while it is away
constexpr Duration kAccountMemory = 180'000;  // ms; above the turns' retention
// Turns are kept longer than a client may name them, so that clocks and
// answers on the way do not matter.
constexpr Duration kRetentionSlack = 15'000;  // ms
constexpr std::size_t kMaxBatchBytes = 1UL << 20;  // the log takes 2 MB a call

int PartitionOf(const std::string& program) {
  return static_cast<int>(XXH3_64bits(program.data(), program.size()) %
                          kTurnPartitions);
}

}  // namespace

Appender::Appender(net::EventLoop* loop, platform::Store* store, Topic topic,
                   int partition)
    : m_loop(loop), m_store(store), m_topic(topic), m_partition(partition) {}

void Appender::Add(std::string record, bool insist, Done done) {
  m_waiting.push_back({std::move(record), insist, std::move(done)});
  Pump();
}

void Appender::Pump() {
  if (m_busy || m_waiting.empty()) return;
  m_busy = true;
  std::vector<std::string> records;
  std::size_t              bytes = 0;
  while (!m_waiting.empty() && bytes < kMaxBatchBytes) {
    bytes += m_waiting.front().record.size();
    records.push_back(m_waiting.front().record);
    m_flying.push_back(std::move(m_waiting.front()));
    m_waiting.erase(m_waiting.begin());
  }
  m_store->Append(
      m_topic, m_partition, records, kCallTimeout,
      [this](const StoreResult<Appended>& result) { Finish(result); });
}

void Appender::Finish(const tl::expected<Appended, StoreError>& result) {
  auto              flown = std::exchange(m_flying, {});
  std::vector<Item> again;
  for (Item& item : flown) {
    if (!result && item.insist) {
      again.push_back(std::move(item));
    } else {
      item.done(result);
    }
  }
  m_waiting.insert(m_waiting.begin(), std::make_move_iterator(again.begin()),
                   std::make_move_iterator(again.end()));
  m_loop->After(result ? 0 : kRetryDelay, [this] {
    m_busy = false;
    Pump();
  });
}

TurnKeeper::TurnKeeper(net::EventLoop* loop, platform::Store* store, Log* log,
                       Metrics* metrics, std::string incarnation)
    : m_loop(loop),
      m_store(store),
      m_log(log),
      m_metrics(metrics),
      m_incarnation(std::move(incarnation)),
      m_claim_appender(loop, store, Topic::kClaims, 0),
      m_partitions(kTurnPartitions) {
  for (int i = 0; i < kTurnPartitions; ++i) {
    m_turn_appenders.emplace_back(loop, store, Topic::kTurns, i);
  }
}

void TurnKeeper::NoteLog(bool answered, std::string_view call) {
  m_metrics->CountStoreCall(answered);
  if (!answered) m_retry_log_at = m_loop->now() + kAwayPause;
  if (answered != m_log_away) return;
  m_log_away = !answered;
  m_log->Write(answered ? LogEvent::kLogBack : LogEvent::kLogLost,
               {{"call", call}});
}

std::size_t TurnKeeper::unkept() const { return m_unkept; }

// Looks for turns ------------------------------------------------------------

void TurnKeeper::Find(const std::string& id, FindDone done) {
  if (m_history.HoldsChain(id)) {
    done(FindOutcome::kFound);
    return;
  }
  m_scan_waiting.emplace_back(id, std::move(done));
  if (!m_scanning) StartScan();
}

void TurnKeeper::StartScan() {
  m_scanning = true;
  m_scan_failed = false;
  m_scan_served = std::exchange(m_scan_waiting, {});
  m_scan_open = kTurnPartitions;
  for (int i = 0; i < kTurnPartitions; ++i) ScanPartition(i);
}

void TurnKeeper::ScanPartition(int partition) {
  auto& state = m_partitions[static_cast<std::size_t>(partition)];
  m_store->Read(
      Topic::kTurns, partition, state.next, 0, kCallTimeout,
      [this, partition, &state](const StoreResult<ReadPage>& result) {
        if (!result && result.error().failure == StoreFailure::kExpired) {
          state.next = result.error().first;
          ScanPartition(partition);
          return;
        }
        NoteLog(result.has_value(), "read turns");
        if (!result) {
          m_scan_failed = true;
        } else {
          TakeTurns(result->records);
          state.next = std::max(state.next, result->next);
          if (state.next < result->end && !result->records.empty()) {
            ScanPartition(partition);
            return;
          }
        }
        if (--m_scan_open == 0) EndScan(!m_scan_failed);
      });
}

void TurnKeeper::TakeTurns(const std::vector<LogRecord>& records) {
  for (const LogRecord& record : records) {
    auto turn = programs::DecodeTurn(record.value);
    if (!turn) {
      m_log->Write(LogEvent::kFault, {{"what", "undecodable turn"},
                                      {"offset", record.offset}});
      continue;
    }
    m_history.Add(std::move(*turn), m_loop->now(),
                  m_retention + kRetentionSlack);
  }
}

void TurnKeeper::EndScan(bool complete) {
  const auto served = std::exchange(m_scan_served, {});
  m_scanning = false;
  m_log->Write(LogEvent::kScan, {{"complete", complete ? "yes" : "no"},
                                 {"waiting", served.size()},
                                 {"turns", m_history.size()}});
  for (const auto& [id, done] : served) {
    if (m_history.HoldsChain(id)) {
      done(FindOutcome::kFound);
    } else {
      done(complete ? FindOutcome::kUnknown : FindOutcome::kUnsure);
    }
  }
  if (!m_scan_waiting.empty() && !m_scanning) StartScan();
}

// Records turns --------------------------------------------------------------

void TurnKeeper::Keep(programs::Turn turn, Duration retention,
                      std::function<void()> done) {
  const Time  began = m_loop->now();
  const int   partition = PartitionOf(turn.program);
  std::string record = programs::EncodeTurn(turn);
  m_history.Add(std::move(turn), began, retention + kRetentionSlack);
  ++m_unkept;
  m_turn_appenders[static_cast<std::size_t>(partition)].Add(
      std::move(record), true,
      [this, began,
       done = std::move(done)](const StoreResult<Appended>& result) {
        --m_unkept;
        NoteLog(result.has_value(), "append turn");
        constexpr double kMillisPerSecond = 1000.0;
        m_metrics->ObserveTurnKept(
            static_cast<double>(m_loop->now() - began) / kMillisPerSecond);
        done();
      });
}

// Token budgets --------------------------------------------------------------

void TurnKeeper::Reserve(const std::string& program, programs::Tokens budget,
                         programs::Tokens most, ReserveDone done) {
  auto [found, added] =
      m_accounts.try_emplace(program, Account{programs::TokenAccount(budget)});
  found->second.used = m_loop->now();
  const auto answer = found->second.tokens.Reserve(most);
  if (answer != programs::TokenAnswer::kClaim) {
    done(answer);
    return;
  }
  SubmitClaim(program, most, std::move(done));
}

void TurnKeeper::SubmitClaim(const std::string& program, programs::Tokens most,
                             ReserveDone done) {
  auto&                account = m_accounts.at(program).tokens;
  programs::TokenClaim claim = account.NextClaim(most);
  claim.number = ++m_last_claim;
  claim.node = m_incarnation;
  claim.program = program;
  m_claims.emplace(claim.number, Waiting{program, most, std::move(done)});
  if (m_loop->now() < m_retry_log_at) {
    // The log has just failed to answer; waiting for it again would cost each
    // request the whole timeout.
    ClaimFailed(claim.number);
    return;
  }
  m_claim_appender.Add(
      programs::EncodeClaim(claim), false,
      [this, number = claim.number](const StoreResult<Appended>& result) {
        NoteLog(result.has_value(), "append claim");
        if (!result) {
          ClaimFailed(number);
          return;
        }
        m_claims_goal = std::max(m_claims_goal, result->end);
        ReadClaims();
      });
}

void TurnKeeper::ReadClaims() {
  if (m_reading_claims || m_claims_next >= m_claims_goal) return;
  m_reading_claims = true;
  m_store->Read(
      Topic::kClaims, 0, m_claims_next, 0, kCallTimeout,
      [this](const StoreResult<ReadPage>& result) {
        m_reading_claims = false;
        if (!result && result.error().failure == StoreFailure::kExpired) {
          m_claims_next = result.error().first;
          ReadClaims();
          return;
        }
        NoteLog(result.has_value(), "read claims");
        if (!result) {
          // Claims that are in the log stay decided; they are credited when it
          // can be read again.
          std::vector<std::uint64_t> open;
          for (const auto& [number, waiting] : m_claims) open.push_back(number);
          for (const std::uint64_t number : open) ClaimFailed(number);
          m_loop->After(kRetryDelay, [this] { ReadClaims(); });
          return;
        }
        m_claims_next = result->next;
        for (const LogRecord& record : result->records) TakeClaim(record.value);
        ReadClaims();
      });
}

void TurnKeeper::TakeClaim(const std::string& record) {
  const auto claim = programs::DecodeClaim(record);
  if (!claim) {
    m_log->Write(LogEvent::kFault, {{"what", "undecodable claim"}});
    return;
  }
  const auto granted = m_ledger.Apply(*claim, m_loop->now());
  if (claim->node != m_incarnation || claim->taken) return;
  const auto account = m_accounts.find(claim->program);
  if (account != m_accounts.end()) account->second.tokens.Granted(granted);
  SettleClaim(claim->number, granted);
}

void TurnKeeper::SettleClaim(std::uint64_t number, programs::Tokens granted) {
  auto node = m_claims.extract(number);
  if (node.empty()) return;
  const Waiting& waiting = node.mapped();
  m_log->Write(LogEvent::kClaim, {{"program", waiting.program},
                                  {"granted", granted},
                                  {"most", waiting.most}});
  Retry(waiting);
}

void TurnKeeper::Retry(const Waiting& waiting) {
  auto& account = m_accounts.at(waiting.program);
  auto  answer = account.tokens.Reserve(waiting.most);
  // Another turn of the program may have taken what this claim brought.
  if (answer == programs::TokenAnswer::kClaim) {
    SubmitClaim(waiting.program, waiting.most, waiting.done);
    return;
  }
  waiting.done(answer);
}

void TurnKeeper::ClaimFailed(std::uint64_t number) {
  auto node = m_claims.extract(number);
  if (node.empty()) return;
  const Waiting& waiting = node.mapped();
  auto&          account = m_accounts.at(waiting.program).tokens;
  if (account.TakeAllowance()) {
    programs::TokenClaim taken;
    taken.number = ++m_last_claim;
    taken.node = m_incarnation;
    taken.program = waiting.program;
    taken.budget = account.budget();
    taken.wish = account.allowance();
    taken.taken = true;
    m_claim_appender.Add(programs::EncodeClaim(taken), true,
                         [](const StoreResult<Appended>&) {});
  }
  const auto answer = account.Reserve(waiting.most);
  m_log->Write(LogEvent::kClaim,
               {{"program", waiting.program},
                {"log", "away"},
                {"granted", account.granted()},
                {"most", waiting.most}});
  if (answer == programs::TokenAnswer::kClaim) {
    waiting.done(std::nullopt);
  } else {
    waiting.done(answer);
  }
}

void TurnKeeper::Use(const std::string& program, programs::Tokens tokens) {
  const auto found = m_accounts.find(program);
  if (found != m_accounts.end()) found->second.tokens.Use(tokens);
}

void TurnKeeper::EndTurn(const std::string& program, programs::Tokens most) {
  const auto found = m_accounts.find(program);
  if (found == m_accounts.end()) return;
  found->second.tokens.EndTurn(most);
  found->second.used = m_loop->now();
}

void TurnKeeper::Sweep() {
  const Time now = m_loop->now();
  m_history.Expire(now);
  m_ledger.Expire(now);
  std::erase_if(m_accounts, [now](const auto& entry) {
    return now - entry.second.used > kAccountMemory;
  });
}

}  // namespace yuccawick::gateway
