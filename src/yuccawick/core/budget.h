// Token budgets and program slots, granted to nodes in slices.
//
// A node appends a GrantRecord to the customer's grant stream, reads it back
// and spends the slice only once log order shows that all slices together stay
// within the customer's total. The total therefore holds even if messages are
// lost or nodes are partitioned. A slice whose holder is unreachable counts as
// spent until the period ends.
//
// GrantLedger   state of a grant stream, the same on every reader
// Budget        this node's slices of every customer, and their refills
#pragma once

#include <array>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "yuccawick/core/control.h"
#include "yuccawick/core/messages.h"

namespace yuccawick::core {

class GrantLedger {
 public:
  // Applies one record. `earliest` is the first offset that the log retains.
  Effect Apply(const LoggedRecord& logged, Offset earliest);
  // Marks the stream as read up to `end`.
  void   ReadTo(Offset end, Offset earliest);

  // False until the totals can be computed from the records read.
  bool                   IsKnown(Resource resource) const;
  const GrantCheckpoint& state(Resource resource) const;
  Offset                 next() const { return m_next; }
  // Net amount granted to `holder` by the records read so far.
  std::int64_t OutstandingOf(Resource resource, const NodeRef& holder) const;
  const std::map<NodeRef, std::int64_t>& Outstanding(Resource resource) const;

 private:
  struct Account {
    GrantCheckpoint           state;
    bool                      totals_known = false;
    std::vector<LoggedRecord> deferred;  // read before a usable checkpoint
    std::map<NodeRef, std::int64_t> outstanding;
  };
  static Effect ApplyGrant(Offset offset, const GrantRecord& grant,
                           Account* account);
  static void   Replay(Account* account);

  std::array<Account, kResourceCount> m_accounts;
  Offset                              m_next = 0;
};

enum class Funding : std::uint8_t {
  kFunded,          // reserved
  kWaiting,         // a slice was requested; retry after on_change
  kRefused,         // the total is exhausted
  kLogUnavailable,  // no slice left and the log is unavailable
};

struct BudgetSettings {
  // A slice is the total divided by `slice_divisor`, but at least the
  // requested amount.
  std::int64_t slice_divisor = 64;
  // Program slots per slice.
  std::int64_t slot_slice = 8;
  // Unused slots above this number are released.
  std::int64_t spare_slots = 8;
  // Timeout of an append or read, ms.
  Duration     log_timeout = 3000;
};

class Budget {
 public:
  // `on_change` is called with a customer whose reservations should be retried;
  // it must not call back synchronously.
  Budget(NodeRef self, BudgetSettings settings, Safeguards safeguards,
         const Control& control, Outbox& outbox,
         std::function<void(const std::string&)> on_change);

  // Reserves `amount` from this node's slices, or requests a new slice.
  Funding Reserve(const std::string& customer, Resource resource,
                  std::int64_t amount, Time now);
  // Returns an unused reservation. Tokens of a past period are dropped, since
  // their total no longer applies.
  void    Release(const std::string& customer, Resource resource,
                  std::int64_t amount, Time now);
  // Adds the slots of an adopted program.
  void    Inherit(const std::string& customer, std::int64_t slots);

  void OnAppend(const AppendDone& done, Time now);
  void OnRead(const ReadDone& done, Time now);
  void OnTick(Time now);
  // Called when contracts change; releases slices where a total was lowered.
  void OnContracts(Time now);
  // Releases every unused slice (planned stop).
  void ReleaseAllUnused(Time now);
  // True if no append is in progress.
  bool IsQuiet() const;

  std::int64_t AvailableOf(const std::string& customer,
                           Resource           resource) const;

 private:
  struct Allowance {
    std::int64_t available = 0;  // available for reservations
    std::int64_t releasing = 0;  // withdrawn, release not yet appended
    std::int64_t period = 0;
  };
  struct Account {
    GrantLedger                           ledger;
    std::array<Allowance, kResourceCount> allowances;
    std::uint64_t                         append = 0;  // in progress; 0: none
    std::uint64_t                         read = 0;    // in progress; 0: none
    Time         since = 0;  // start of the append or read
    Time         log_unavailable_until = 0;
    std::int64_t number = 0;  // count of grants appended, for unique ids
  };

  static Allowance& AllowanceOf(Account* account, Resource resource);
  std::int64_t      TotalOf(const ContractInForce& contract,
                            Resource               resource) const;
  void RollPeriod(const ContractInForce& contract, Account* account, Time now);
  Funding RequestSlice(const std::string& customer, Account* account,
                       Resource resource, std::int64_t amount, Time now);
  void    AppendGrant(const std::string& customer, Account* account,
                      Resource resource, std::int64_t amount, Time now);
  void    ReadLedger(const std::string& customer, Account* account, Time now);
  // Withdraws everything above `keep` and releases it once the log accepts
  // appends.
  void    ReleaseSpare(const std::string& customer, Account* account,
                       Resource resource, std::int64_t keep, Time now);
  // True if the contract in force grants less than has been granted already.
  bool    IsLowered(const ContractInForce& contract, const Account& account,
                    Resource resource) const;
  void    ApplyRead(const ReadDone& done, Account* account);

  NodeRef                                 m_self;
  BudgetSettings                          m_settings;
  Safeguards                              m_safeguards;
  const Control&                          m_control;
  Outbox&                                 m_outbox;
  std::function<void(const std::string&)> m_on_change;
  std::map<std::string, Account>          m_accounts;
};

}  // namespace yuccawick::core
