// Budgets and program slots, granted in slices (escrow).
//
// A customer's total is split by the log: a node appends a GrantRecord, reads
// it back, and may spend the slice only once log order shows that the sum of
// all slices stays within the total. Nothing is spent first and settled later,
// so the total holds whatever is lost, late or cut off. A slice whose holder
// cannot be reached counts as spent until the period ends.
//
// GrantLedger   what the stream says, the same for every reader
// Budget        this node's slices of every customer, and their refilling
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
  // Folds one record in. `earliest` is the first offset the log still holds.
  Effect Apply(const LoggedRecord& logged, Offset earliest);
  // Notes that the stream has been read up to `end`.
  void   ReadTo(Offset end, Offset earliest);

  // False until enough has been read to know the sums.
  bool                   IsKnown(Resource resource) const;
  const GrantCheckpoint& state(Resource resource) const;
  Offset                 next() const { return m_next; }
  // Net amount the records read so far give to `holder`.
  std::int64_t OutstandingOf(Resource resource, const NodeRef& holder) const;
  const std::map<NodeRef, std::int64_t>& Outstanding(Resource resource) const;

 private:
  struct Account {
    GrantCheckpoint           state;
    bool                      known = false;
    std::vector<LoggedRecord> deferred;  // read before a usable checkpoint
    std::map<NodeRef, std::int64_t> outstanding;
  };
  static Effect Fold(Offset offset, const GrantRecord& grant, Account* account);
  static void   Replay(Account* account);

  std::array<Account, kResourceCount> m_accounts;
  Offset                              m_next = 0;
};

enum class Funding : std::uint8_t {
  kFunded,          // reserved
  kWaiting,         // a slice has been asked for; try again when told
  kRefused,         // the total is used up
  kLogUnavailable,  // no slice left here and the log does not answer
};

struct BudgetSettings {
  // A slice is this part of the total, but at least what is asked for.
  std::int64_t slice_divisor = 64;
  // Program slots are taken in slices of this size.
  std::int64_t slot_slice = 8;
  // Unused slots above this many are given back.
  std::int64_t spare_slots = 8;
  // An append or read without an answer is given up after this long, ms.
  Duration     log_timeout = 3000;
};

class Budget {
 public:
  // `on_change` is called with a customer whose funding should be tried again;
  // it must not call back at once.
  Budget(NodeRef self, BudgetSettings settings, Safeguards safeguards,
         const Control& control, Outbox& outbox,
         std::function<void(const std::string&)> on_change);

  // Takes `amount` out of this node's slices, or sets about getting one.
  Funding Reserve(const std::string& customer, Resource resource,
                  std::int64_t amount, Time now);
  // Gives back what was reserved and not used. Tokens of a past period are
  // dropped: their total is no longer in force.
  void    Release(const std::string& customer, Resource resource,
                  std::int64_t amount, Time now);
  // Slots that came with an adopted program.
  void    Inherit(const std::string& customer, std::int64_t slots);

  void OnAppend(const AppendDone& done, Time now);
  void OnRead(const ReadDone& done, Time now);
  void OnTick(Time now);
  // The contracts changed: gives slices back where a total was lowered.
  void OnContracts(Time now);
  // Gives every unused slice back (planned stop).
  void ReleaseAllUnused(Time now);
  // True if no append of a returned slice is under way.
  bool IsQuiet() const;

  std::int64_t AvailableOf(const std::string& customer,
                           Resource           resource) const;

 private:
  struct Allowance {
    std::int64_t available = 0;  // may be reserved
    std::int64_t releasing = 0;  // no longer spendable, not yet written back
    std::int64_t period = 0;
  };
  struct Account {
    GrantLedger                           ledger;
    std::array<Allowance, kResourceCount> allowances;
    std::uint64_t                         append = 0;  // under way; 0: none
    std::uint64_t                         read = 0;    // under way; 0: none
    Time                                  since = 0;   // of the above
    Time                                  log_down_until = 0;
    std::int64_t                          number = 0;  // of grants written
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
  // Sets everything above `keep` aside and writes it back when the log allows.
  void    ReleaseSpare(const std::string& customer, Account* account,
                       Resource resource, std::int64_t keep, Time now);
  // True if the contract in force grants less than the slices already out.
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
