#include "yuccawick/testing/fakes.h"

#include <algorithm>

#include "yuccawick/core/durability.h"

namespace yuccawick::testing {
namespace {

constexpr std::size_t kRecordBytes = 200;  // size of a record without history

std::size_t BytesOf(const core::Record& record) {
  std::size_t bytes = kRecordBytes;
  if (const auto* history = std::get_if<core::HistoryRecord>(&record)) {
    for (const auto& delta : history->deltas) bytes += core::SizeOf(delta);
  }
  return bytes;
}

}  // namespace

core::AppendDone FakeLog::Append(const core::AppendRecords& command) {
  core::AppendDone done{command.append, core::LogStatus::kRefused, -1};
  if (m_mode == LogMode::kDown) return done;
  ++m_appends;
  Stream& stream = m_streams[command.stream];
  for (const auto& record : command.records) {
    m_bytes += static_cast<std::int64_t>(BytesOf(record));
    stream.records.push_back(record);
  }
  done.last_offset = static_cast<core::Offset>(stream.records.size()) - 1;
  done.status =
      m_mode == LogMode::kUp ? core::LogStatus::kOk : core::LogStatus::kUnknown;
  return done;
}

core::ReadDone FakeLog::Read(const core::ReadRecords& command) const {
  core::ReadDone done;
  done.stream = command.stream;
  done.read = command.read;
  if (m_mode == LogMode::kDown) {
    done.status = core::LogStatus::kRefused;
    return done;
  }
  const auto it = m_streams.find(command.stream);
  if (it == m_streams.end()) return done;
  const Stream& stream = it->second;
  done.earliest = stream.earliest;
  done.end = static_cast<core::Offset>(stream.records.size());
  const core::Offset from = std::max(command.from, stream.earliest);
  for (core::Offset i = from; i < done.end; ++i) {
    done.records.push_back({i, stream.records[static_cast<std::size_t>(i)]});
  }
  return done;
}

void FakeLog::Trim(const std::string& stream, core::Offset offset) {
  m_streams[stream].earliest = offset;
}

core::Offset FakeLog::EndOf(const std::string& stream) const {
  const auto it = m_streams.find(stream);
  if (it == m_streams.end()) return 0;
  return static_cast<core::Offset>(it->second.records.size());
}

const std::vector<core::Record>& FakeLog::Records(const std::string& stream) {
  return m_streams[stream].records;
}

std::string FakeBackend::AnswerTo(const core::Call& call) {
  return "answer to <" + call.body + ">";
}

void FakeBackend::Run(const core::RunCall& order, core::Time now,
                      core::Duration takes) {
  if (m_checks_fence && order.fence < m_fence) {
    core::RunDone refused;
    refused.run = order.run;
    refused.failure = core::Refuse(core::Reason::kFenced);
    m_refused.push_back(refused);
    return;
  }
  m_fence = std::max(m_fence, order.fence);
  const Key key{order.call.program, order.call.sequence};
  ++m_effects[key];
  m_order.push_back(key);
  if (order.call.kind == core::BackendKind::kModel)
    m_prefixes.insert(order.call.program);
  m_running[order.run] = {order, now + takes};
}

void FakeBackend::Cancel(std::uint64_t run) {
  const auto it = m_running.find(run);
  if (it == m_running.end()) return;
  m_running.erase(it);
  core::RunDone done;
  done.run = run;
  done.failure = {core::Reason::kCancelled, core::Ran::kUnknown, 0};
  m_refused.push_back(done);
}

void FakeBackend::Release(const core::ReleasePrefix& order) {
  if (m_checks_fence && order.fence < m_fence) return;
  m_fence = std::max(m_fence, order.fence);
  if (order.program.IsSet()) {
    m_prefixes.erase(order.program);
  } else {
    m_prefixes.clear();
  }
}

std::vector<core::RunDone> FakeBackend::Finish(core::Time now) {
  std::vector<core::RunDone> done = std::exchange(m_refused, {});
  if (m_hold) return done;
  std::erase_if(m_running, [&](const auto& entry) {
    const Running& running = entry.second;
    if (running.done_at > now) return false;
    const core::Call& call = running.order.call;
    core::RunDone     result;
    result.run = entry.first;
    result.ok = true;
    result.answer.text = AnswerTo(call);
    if (call.kind == core::BackendKind::kModel) {
      core::Usage& usage = result.answer.usage;
      usage.prompt =
          core::EstimateTokens(core::FullPrompt(running.order.prompt, call));
      usage.completion =
          std::min(call.max_tokens, core::EstimateTokens(result.answer.text));
      m_tokens += usage.prompt + usage.completion;
      m_tokens_of[call.customer] += usage.prompt + usage.completion;
    }
    done.push_back(std::move(result));
    return true;
  });
  return done;
}

int FakeBackend::EffectsOf(const Key& key) const {
  const auto it = m_effects.find(key);
  return it == m_effects.end() ? 0 : it->second;
}

core::Tokens FakeBackend::TokensOf(const std::string& customer) const {
  const auto it = m_tokens_of.find(customer);
  return it == m_tokens_of.end() ? 0 : it->second;
}

}  // namespace yuccawick::testing
