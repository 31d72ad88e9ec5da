#include "yuccawick/core/budget.h"

#include <algorithm>
#include <cassert>

namespace yuccawick::core {
namespace {

std::size_t Index(Resource resource) {
  return static_cast<std::size_t>(resource);
}

constexpr std::array<Resource, kResourceCount> kResources{Resource::kTokens,
                                                          Resource::kPrograms};

}  // namespace

// ---- GrantLedger

Effect GrantLedger::Apply(const LoggedRecord& logged, Offset earliest) {
  const auto* grant = std::get_if<GrantRecord>(&logged.record);
  if (logged.offset < m_next) return Effect::kOld;
  m_next = logged.offset + 1;
  if (grant == nullptr) return Effect::kVoid;
  Account& account = m_accounts[Index(grant->resource)];
  if (account.totals_known) return ApplyGrant(logged.offset, *grant, &account);
  account.deferred.push_back(logged);
  const bool from_start = earliest == 0;
  // A checkpoint is usable if no record after it has been dropped.
  const bool usable = grant->checkpoint.as_of != kNoOffset &&
                      grant->checkpoint.as_of >= earliest - 1;
  if (!from_start && !usable) return Effect::kVoid;
  if (!from_start) account.state = grant->checkpoint;
  account.totals_known = true;
  Replay(&account);
  return Effect::kApplied;
}

void GrantLedger::Replay(Account* account) {
  for (const auto& logged : account->deferred) {
    if (logged.offset <= account->state.as_of) continue;
    ApplyGrant(logged.offset, std::get<GrantRecord>(logged.record), account);
  }
  account->deferred.clear();
}

Effect GrantLedger::ApplyGrant(Offset offset, const GrantRecord& grant,
                               Account* account) {
  GrantCheckpoint& state = account->state;
  state.as_of = offset;
  // A slice requested under an older contract or period could exceed the
  // current total. The holder reads that the grant is void and requests
  // another.
  if (grant.amount > 0 && grant.version < state.version) return Effect::kVoid;
  if (grant.period < state.period) return Effect::kVoid;
  if (grant.period > state.period) {
    state.period = grant.period;
    state.granted = 0;
    account->outstanding.clear();
  }
  if (grant.version > state.version) {
    state.version = grant.version;
    state.total = grant.total;
  }
  if (grant.amount > 0 && state.granted + grant.amount > state.total)
    return Effect::kVoid;
  state.granted += grant.amount;
  account->outstanding[grant.holder] += grant.amount;
  return Effect::kApplied;
}

void GrantLedger::ReadTo(Offset end, Offset earliest) {
  m_next = std::max(m_next, end);
  if (earliest != 0) return;
  for (auto& account : m_accounts) account.totals_known = true;
}

bool GrantLedger::IsKnown(Resource resource) const {
  return m_accounts[Index(resource)].totals_known;
}

const GrantCheckpoint& GrantLedger::state(Resource resource) const {
  return m_accounts[Index(resource)].state;
}

std::int64_t GrantLedger::OutstandingOf(Resource       resource,
                                        const NodeRef& holder) const {
  const auto& outstanding_by_holder = m_accounts[Index(resource)].outstanding;
  const auto  it = outstanding_by_holder.find(holder);
  return it == outstanding_by_holder.end() ? 0 : it->second;
}

const std::map<NodeRef, std::int64_t>& GrantLedger::Outstanding(
    Resource resource) const {
  return m_accounts[Index(resource)].outstanding;
}

// ---- Budget

Budget::Budget(NodeRef self, BudgetSettings settings, Safeguards safeguards,
               const Control& control, Outbox& outbox,
               std::function<void(const std::string&)> on_change)
    : m_self(std::move(self)),
      m_settings(settings),
      m_safeguards(safeguards),
      m_control(control),
      m_outbox(outbox),
      m_on_change(std::move(on_change)) {}

Budget::Allowance& Budget::AllowanceOf(Account* account, Resource resource) {
  return account->allowances[Index(resource)];
}

std::int64_t Budget::TotalOf(const ContractInForce& contract,
                             Resource               resource) const {
  return resource == Resource::kTokens ? contract.contract.total_budget
                                       : contract.contract.max_programs;
}

void Budget::RollPeriod(const ContractInForce& contract, Account* account,
                        Time now) {
  Allowance&         allowance = AllowanceOf(account, Resource::kTokens);
  const std::int64_t period = now / contract.contract.period;
  if (period <= allowance.period) return;
  allowance.period = period;
  allowance.available = 0;
  allowance.releasing = 0;
}

Funding Budget::Reserve(const std::string& customer, Resource resource,
                        std::int64_t amount, Time now) {
  assert(amount >= 0 && "reserve a worst case, then Release the rest");
  const ContractInForce* contract = m_control.FindContract(customer);
  if (contract == nullptr) return Funding::kRefused;
  Account& account = m_accounts[customer];
  RollPeriod(*contract, &account, now);
  Allowance& allowance = AllowanceOf(&account, resource);
  if (allowance.available >= amount) {
    allowance.available -= amount;
    return Funding::kFunded;
  }
  return RequestSlice(customer, &account, resource, amount, now);
}

Funding Budget::RequestSlice(const std::string& customer, Account* account,
                             Resource resource, std::int64_t amount, Time now) {
  Allowance& allowance = AllowanceOf(account, resource);
  if (now < account->log_unavailable_until) return Funding::kLogUnavailable;
  if (account->append != 0 || account->read != 0) return Funding::kWaiting;
  if (!account->ledger.IsKnown(resource)) {
    ReadLedger(customer, account, now);
    return Funding::kWaiting;
  }
  const ContractInForce& contract = *m_control.FindContract(customer);
  const GrantCheckpoint& state = account->ledger.state(resource);
  const std::int64_t     total = TotalOf(contract, resource);
  const bool             new_period = state.period < allowance.period;
  const std::int64_t     granted = new_period ? 0 : state.granted;
  const std::int64_t     remaining = total - granted;
  const std::int64_t     missing = amount - allowance.available;
  if (remaining < missing) return Funding::kRefused;
  const std::int64_t slice = resource == Resource::kTokens
                                 ? total / m_settings.slice_divisor
                                 : m_settings.slot_slice;
  const std::int64_t requested = std::min(remaining, std::max(slice, missing));
  AppendGrant(customer, account, resource, requested, now);
  // Spending before the slice is confirmed by log order would let two nodes
  // spend the same remainder.
  if (m_safeguards.Has(Safeguard::kGrantReadBack)) return Funding::kWaiting;
  allowance.available += requested - amount;
  return Funding::kFunded;
}

void Budget::AppendGrant(const std::string& customer, Account* account,
                         Resource resource, std::int64_t amount, Time now) {
  const ContractInForce* contract = m_control.FindContract(customer);
  if (contract == nullptr) return;
  GrantRecord grant;
  grant.id = ToString(m_self) + "." + std::to_string(++account->number);
  grant.holder = m_self;
  grant.resource = resource;
  grant.amount = amount;
  grant.version = contract->version;
  grant.total = TotalOf(*contract, resource);
  grant.period = AllowanceOf(account, resource).period;
  grant.checkpoint = account->ledger.state(resource);
  // Records of the other resource may lie between; they do not change the
  // sums of this resource.
  grant.checkpoint.as_of = account->ledger.next() - 1;
  account->append = m_outbox.Append(GrantStream(customer), {grant});
  account->since = now;
}

void Budget::ReadLedger(const std::string& customer, Account* account,
                        Time now) {
  account->read = m_outbox.Read(GrantStream(customer), account->ledger.next());
  account->since = now;
}

void Budget::Release(const std::string& customer, Resource resource,
                     std::int64_t amount, Time now) {
  const ContractInForce* contract = m_control.FindContract(customer);
  if (contract == nullptr) return;
  Account& account = m_accounts[customer];
  RollPeriod(*contract, &account, now);
  Allowance& allowance = AllowanceOf(&account, resource);
  // An amount reserved under a total that was lowered since must not be spent
  // again, or programs would exceed the amended contract.
  const bool lowered = IsLowered(*contract, account, resource);
  (lowered ? allowance.releasing : allowance.available) += amount;
  m_on_change(customer);
}

void Budget::Inherit(const std::string& customer, std::int64_t slots) {
  AllowanceOf(&m_accounts[customer], Resource::kPrograms).available += slots;
}

void Budget::OnAppend(const AppendDone& done, Time now) {
  for (auto& [customer, account] : m_accounts) {
    if (account.append != done.append || done.append == 0) continue;
    account.append = 0;
    if (done.status == LogStatus::kRefused) {
      account.log_unavailable_until =
          now + Info(Reason::kLogUnavailable).retry_after;
      m_on_change(customer);
      return;
    }
    // Even after a lost reply, the stream shows whether the record was
    // appended.
    ReadLedger(customer, &account, now);
    return;
  }
}

void Budget::ApplyRead(const ReadDone& done, Account* account) {
  for (const auto& logged : done.records) {
    const Effect effect = account->ledger.Apply(logged, done.earliest);
    const auto*  grant = std::get_if<GrantRecord>(&logged.record);
    if (grant == nullptr || grant->holder != m_self) continue;
    Allowance& allowance = AllowanceOf(account, grant->resource);
    // A released amount was withdrawn when its record was appended.
    const bool is_confirmed = effect == Effect::kApplied && grant->amount > 0 &&
                              grant->period == allowance.period &&
                              m_safeguards.Has(Safeguard::kGrantReadBack);
    if (is_confirmed) allowance.available += grant->amount;
  }
  account->ledger.ReadTo(done.end, done.earliest);
}

void Budget::OnRead(const ReadDone& done, Time now) {
  for (auto& [customer, account] : m_accounts) {
    if (account.read != done.read || done.read == 0) continue;
    account.read = 0;
    if (done.status != LogStatus::kOk) {
      account.log_unavailable_until =
          now + Info(Reason::kLogUnavailable).retry_after;
      m_on_change(customer);
      return;
    }
    account.log_unavailable_until = 0;
    ApplyRead(done, &account);
    m_on_change(customer);
    return;
  }
}

void Budget::OnTick(Time now) {
  for (auto& [customer, account] : m_accounts) {
    const bool pending = account.append != 0 || account.read != 0;
    if (pending && now - account.since > m_settings.log_timeout) {
      account.append = 0;
      account.read = 0;
      account.log_unavailable_until =
          now + Info(Reason::kLogUnavailable).retry_after;
      m_on_change(customer);
    }
    ReleaseSpare(customer, &account, Resource::kPrograms,
                 m_settings.spare_slots, now);
  }
  OnContracts(now);
}

void Budget::ReleaseSpare(const std::string& customer, Account* account,
                          Resource resource, std::int64_t keep, Time now) {
  Allowance&         allowance = AllowanceOf(account, resource);
  const std::int64_t spare =
      std::max<std::int64_t>(0, allowance.available - keep);
  // The spare amount is withdrawn at once, even while the log is unavailable,
  // and removed from `releasing` when its release is appended: after a lost
  // reply the slice stays stranded until the period ends, but is never released
  // twice.
  allowance.available -= spare;
  allowance.releasing += spare;
  if (allowance.releasing == 0 || account->append != 0) return;
  if (now < account->log_unavailable_until) return;
  if (m_control.FindContract(customer) == nullptr) return;
  AppendGrant(customer, account, resource, -allowance.releasing, now);
  allowance.releasing = 0;
}

bool Budget::IsLowered(const ContractInForce& contract, const Account& account,
                       Resource resource) const {
  const GrantCheckpoint& state = account.ledger.state(resource);
  const std::int64_t     total = TotalOf(contract, resource);
  const bool             amended =
      state.version != kNoOffset && contract.version > state.version;
  return (amended && total < state.total) || state.granted > total;
}

void Budget::OnContracts(Time now) {
  for (auto& [customer, account] : m_accounts) {
    const ContractInForce* contract = m_control.FindContract(customer);
    if (contract == nullptr) continue;
    for (const Resource resource : kResources) {
      if (IsLowered(*contract, account, resource))
        ReleaseSpare(customer, &account, resource, 0, now);
    }
  }
}

void Budget::ReleaseAllUnused(Time now) {
  for (auto& [customer, account] : m_accounts) {
    for (const Resource resource : kResources)
      ReleaseSpare(customer, &account, resource, 0, now);
  }
}

bool Budget::IsQuiet() const {
  return std::all_of(
      m_accounts.begin(), m_accounts.end(),
      [](const auto& entry) { return entry.second.append == 0; });
}

std::int64_t Budget::AvailableOf(const std::string& customer,
                                 Resource           resource) const {
  const auto it = m_accounts.find(customer);
  if (it == m_accounts.end()) return 0;
  return it->second.allowances[Index(resource)].available;
}

}  // namespace yuccawick::core
