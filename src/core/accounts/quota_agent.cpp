/// \file
/// The order of a VM's decisions on a request of a limited account.
#include "agatedale/quota_agent.h"
#include "agatedale/entry_vm.h"

#include <algorithm>

namespace agatedale {

namespace {

/// After an owner did not answer, it is not asked for this long. The other VMs
/// of the zone see a failed owner after 950 ms.
constexpr duration SilenceMemory = std::chrono::milliseconds(500);

/// A refusal without an owner is remembered only briefly, as the next owner
/// may be there soon.
constexpr duration LocalRefusal = std::chrono::milliseconds(100);
constexpr duration LocalRetryAfter = std::chrono::milliseconds(1000);

/// How long a VM remembers which messages have handed buckets over to it. A
/// connection between VMs that carries nothing ends much earlier.
constexpr duration HandOverMemory = std::chrono::minutes(1);

/// Maximum share added at random to the time that a refused caller is told.
constexpr double RetryAfterJitter = 0.3;

} // namespace

quota_agent::quota_agent(const std::string &Vm, const std::string &Zone,
                         const std::string &Region,
                         const quota_agent_settings &Settings)
    : View(quota_view::create(Vm, Zone, Region)),
      Ledger(quota_ledger::create(Settings.ExtraBurstShare * Settings.Slack)),
      Random(stableHash(Vm)) {}

quota_agent quota_agent::create(const std::string &Vm, const std::string &Zone,
                                const std::string &Region,
                                const quota_agent_settings &Settings) {
  return quota_agent(Vm, Zone, Region, Settings);
}

void quota_agent::setLimits(const quota_limits &Limits, time_point Now) {
  Ledger.setLimits(Limits, View, Now);
  Client.forgetRefusals();
}

quota_verdict quota_agent::begin(const std::string &Account, time_point Now) {
  quota_verdict Verdict;
  if (!isLimited(Account))
    return Verdict;
  if (const auto RetryAfter = Client.refusal(Account, draw(), Now)) {
    Verdict.Kind = quota_verdict::kind::Refuse;
    Verdict.IsRemembered = true;
    Verdict.RetryAfter = *RetryAfter;
    return Verdict;
  }
  Verdict.Owner = View.ownerOf(Account);
  const auto Silent = SilentUntil.find(Verdict.Owner);
  const bool IsSilent = Silent != SilentUntil.end() && Now < Silent->second;
  if (Verdict.Owner.empty() || IsSilent)
    return decideLocally(Account, Now);
  Verdict.Kind = quota_verdict::kind::Ask;
  return Verdict;
}

quota_verdict quota_agent::onAnswer(const std::string &Account,
                                    const quota_answer &Answer,
                                    time_point Now) {
  if (!Answer.IsOwner)
    return decideLocally(Account, Now);
  Client.onOwnerAnswered(Account);
  quota_verdict Verdict;
  if (Answer.IsGranted)
    return Verdict;
  Client.onRefused(Account, Answer.RefuseFor, Answer.RetryAfter, Now);
  Verdict.Kind = quota_verdict::kind::Refuse;
  Verdict.RetryAfter = std::chrono::duration_cast<duration>(
      Answer.RetryAfter * (1 + RetryAfterJitter * draw()));
  return Verdict;
}

quota_verdict quota_agent::onNoAnswer(const std::string &Account,
                                      const std::string &Owner,
                                      time_point Now) {
  SilentUntil[Owner] = Now + SilenceMemory;
  return decideLocally(Account, Now);
}

quota_verdict quota_agent::decideLocally(const std::string &Account,
                                         time_point Now) {
  quota_verdict Verdict;
  Verdict.HasOwner = false;
  const quota_limit *Limit = Ledger.limitOf(Account);
  if (!Limit ||
      Client.takeLocal(Account, Limit->RatePerSecond * View.fairFraction(),
                       draw(), Now))
    return Verdict;
  Client.onRefused(Account, LocalRefusal, LocalRetryAfter, Now);
  Verdict.Kind = quota_verdict::kind::Refuse;
  Verdict.RetryAfter = std::chrono::duration_cast<duration>(
      LocalRetryAfter * (1 + RetryAfterJitter * draw()));
  return Verdict;
}

quota_answer quota_agent::serve(const std::string &Account, time_point Now) {
  quota_answer Answer;
  Answer.IsOwner = View.isOwner(Account);
  if (!Answer.IsOwner)
    return Answer;
  const quota_ledger::grant Grant =
      Ledger.take(Account, View.shareOf(Account), draw(), Now);
  Answer.IsGranted = Grant.IsGranted;
  Answer.RefuseFor = Grant.RoomIn;
  Answer.RetryAfter = Grant.RetryIn;
  return Answer;
}

void quota_agent::giveBack(const std::string &Account, double Tokens,
                           time_point Now) {
  if (View.isOwner(Account))
    Ledger.giveBack(Account, View.shareOf(Account), Tokens, draw(), Now);
}

quota_loan_order quota_agent::nextLoan(const std::string &Account,
                                       time_point Now) {
  quota_loan_order Order;
  const quota_share Share = View.shareOf(Account);
  // A partitioned VM reaches no lender; its share is its own.
  if (!View.isOwner(Account) || !Share.HearsMost)
    return Order;
  Order.Near = View.otherOwners(Account, false, Now);
  Order.Abroad = View.otherOwners(Account, true, Now);
  if (Order.Near.empty() && Order.Abroad.empty())
    return Order;
  Order.Wanted = Ledger.borrowDue(Account, Share, draw(), Now).value_or(0);
  return Order;
}

void quota_agent::onHandOver(const std::map<std::string, double> &Left,
                             std::uint64_t Message, time_point Now) {
  std::erase_if(HandOversSeen, [Now](const auto &Seen) {
    return Now - Seen.second > HandOverMemory;
  });
  if (!HandOversSeen.emplace(Message, Now).second)
    return;
  for (const auto &[Account, Tokens] : Left)
    Ledger.receive(Account, Tokens, Now);
}

std::optional<double> quota_agent::lend(const std::string &Account,
                                        double Wanted, time_point Now) {
  if (!View.isOwner(Account))
    return std::nullopt;
  return Ledger.lend(Account, View.shareOf(Account), Wanted, draw(), Now);
}

} // namespace agatedale
