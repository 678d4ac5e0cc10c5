/// \file
/// Grants, refusals and loans of the buckets that a VM owns.
#include "agatedale/quota_ledger.h"

#include <algorithm>

namespace agatedale {

namespace {

/// Time until the next attempt to borrow after one that brought nothing. It
/// doubles with each; a round trip between regions takes 24 ms.
constexpr duration MinBorrowGap = std::chrono::milliseconds(100);
constexpr duration MaxBorrowGap = std::chrono::seconds(2);

/// An owner borrows before its bucket is empty: at a tenth of a second of the
/// fleet's rate, at most a quarter of the capacity.
constexpr double LowLevelSeconds = 0.1;
constexpr double LowLevelCapacity = 0.25;

/// Wanted from each of the others: some seconds of the fleet's rate and a share
/// of its burst, so that a few loans move a burst that arrives in one zone.
constexpr double BorrowSeconds = 0.25;
constexpr double BorrowBurstShare = 0.1;

/// Less than this counts as nothing borrowed.
constexpr double MinBorrowed = 0.5;

duration secondsToDuration(double Seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

quota_limit quota_ledger::partOf(const quota_limit &Limit,
                                 double Fraction) const {
  // Below a capacity of one the bucket could not serve a single request.
  return {Limit.RatePerSecond * Fraction,
          std::max(1.0, (Limit.Burst + ExtraBurst) * Fraction)};
}

void quota_ledger::setLimits(const quota_limits &NewLimits,
                             const quota_view &View, time_point Now) {
  std::erase_if(Entries, [&NewLimits](const auto &Entry) {
    return !NewLimits.contains(Entry.first);
  });
  std::erase_if(HandOvers, [&NewLimits](const auto &HandOver) {
    return !NewLimits.contains(HandOver.first);
  });
  for (const auto &[Account, Limit] : NewLimits) {
    const bool WasUnlimited = HasConfiguration && !Limits.contains(Account);
    if (!WasUnlimited || !View.isOwner(Account))
      continue;
    const quota_share Share = View.shareOf(Account);
    const quota_limit Part = partOf(Limit, Share.Fraction);
    Entries.insert_or_assign(
        Account,
        entry{quota_bucket::create(Part, Limit.Burst * Share.Fraction, Now),
              Share.OwnedSince,
              Limit.Burst * Share.Fraction,
              {},
              {},
              MinBorrowGap});
  }
  Limits = NewLimits;
  HasConfiguration = true;
}

const quota_limit *quota_ledger::limitOf(std::string_view Account) const {
  const auto Found = Limits.find(Account);
  return Found == Limits.end() ? nullptr : &Found->second;
}

/// Returns the bucket with the limit that is in force now.
quota_ledger::entry *quota_ledger::find(const std::string &Account,
                                        const quota_share &Share, double Draw,
                                        time_point Now) {
  const quota_limit *Limit = limitOf(Account);
  if (!Limit)
    return nullptr;
  const quota_limit Part = partOf(*Limit, Share.Fraction);
  const auto Found = Entries.find(Account);
  if (Found != Entries.end() && Found->second.OwnedSince >= Share.OwnedSince) {
    if (Found->second.Bucket.limit() != Part)
      Found->second.Bucket.setLimit(Part, Now);
    applyHandOver(Account, Found->second, Now);
    return &Found->second;
  }
  // The random part makes the number of tokens that many such buckets grant in
  // a time proportional to their rates, however small these are.
  const double Initial = Share.HearsMost ? 1 + Draw : Draw;
  entry New{quota_bucket::create(Part, Initial, Share.OwnedSince),
            Share.OwnedSince,
            std::min(Initial, Part.Burst),
            {},
            {},
            MinBorrowGap};
  applyHandOver(Account, New, Now);
  return &Entries.insert_or_assign(Account, New).first->second;
}

void quota_ledger::applyHandOver(const std::string &Account, entry &Entry,
                                 time_point Now) {
  const auto Found = HandOvers.find(Account);
  if (Found == HandOvers.end())
    return;
  const hand_over Received = Found->second;
  HandOvers.erase(Found);
  const bool IsSuccessor = Received.At <= Entry.OwnedSince + HandOverTime &&
                           Entry.OwnedSince <= Received.At + HandOverTime;
  if (!IsSuccessor || Entry.HasHandOver)
    return;
  Entry.HasHandOver = true;
  const double Left = std::min(Received.Tokens, Entry.Bucket.limit().Burst);
  Entry.Bucket.adjust(Left - Entry.Initial, Now);
}

std::map<std::string, double> quota_ledger::takeAll(const quota_view &View,
                                                    time_point Now) {
  std::map<std::string, double> Left;
  for (auto &[Account, Entry] : Entries) {
    if (!View.isOwner(Account))
      continue;
    const quota_share Share = View.shareOf(Account);
    const bool IsCurrent = Entry.OwnedSince >= Share.OwnedSince;
    // A VM that hears less than half of its zone may not be the only owner.
    if (!IsCurrent || !Share.HearsMost)
      continue;
    Entry.Bucket.setLimit(partOf(*limitOf(Account), Share.Fraction), Now);
    Left.emplace(Account, std::max(Entry.Bucket.level(Now), 0.0));
  }
  Entries.clear();
  return Left;
}

void quota_ledger::receive(const std::string &Account, double Tokens,
                           time_point Now) {
  if (limitOf(Account))
    HandOvers.insert_or_assign(Account, hand_over{Tokens, Now});
}

quota_ledger::grant quota_ledger::take(const std::string &Account,
                                       const quota_share &Share, double Draw,
                                       time_point Now) {
  grant Grant;
  entry *Entry = find(Account, Share, Draw, Now);
  if (!Entry || Entry->Bucket.tryTake(Now)) {
    Grant.IsGranted = true;
    return Grant;
  }
  Grant.RoomIn =
      std::max(Entry->Bucket.timeUntilToken(Now, MaxRefusal), MinRefusal);
  // Callers that are refused are told to return one after the other, at the
  // rate at which tokens accrue.
  const double Rate = std::max(Entry->Bucket.limit().RatePerSecond, 1e-3);
  const duration Step = secondsToDuration(std::min(1 / Rate, 5.0));
  Entry->NextTurn = std::max(Entry->NextTurn + Step, Now + Grant.RoomIn);
  Entry->NextTurn = std::min(Entry->NextTurn, Now + MaxRefusal);
  Grant.RetryIn = Entry->NextTurn - Now;
  return Grant;
}

void quota_ledger::giveBack(const std::string &Account,
                            const quota_share &Share, double Tokens,
                            double Draw, time_point Now) {
  if (entry *Entry = find(Account, Share, Draw, Now))
    Entry->Bucket.give(Tokens, Entry->Bucket.limit().Burst, Now);
}

/// Returns the level below which an owner borrows.
double quota_ledger::lowLevel(const entry &Entry, double FleetRate) {
  return std::max(1.0, std::min(LowLevelCapacity * Entry.Bucket.limit().Burst,
                                LowLevelSeconds * FleetRate));
}

std::optional<double> quota_ledger::borrowDue(const std::string &Account,
                                              const quota_share &Share,
                                              double Draw, time_point Now) {
  entry *Entry = find(Account, Share, Draw, Now);
  if (!Entry || Now < Entry->NextBorrowAt)
    return std::nullopt;
  const double Rate = limitOf(Account)->RatePerSecond;
  if (Entry->Bucket.level(Now) >= lowLevel(*Entry, Rate))
    return std::nullopt;
  Entry->NextBorrowAt = Now + Entry->BorrowGap;
  return 1 + BorrowSeconds * Rate + BorrowBurstShare * limitOf(Account)->Burst;
}

void quota_ledger::onBorrowed(const std::string &Account, double Tokens,
                              time_point Now) {
  const auto Found = Entries.find(Account);
  const quota_limit *Limit = limitOf(Account);
  if (Found != Entries.end() && Limit)
    Found->second.Bucket.give(Tokens, Limit->Burst + ExtraBurst, Now);
}

void quota_ledger::onLoanEnded(const std::string &Account, double Tokens,
                               time_point Now) {
  const auto Found = Entries.find(Account);
  if (Found == Entries.end())
    return;
  entry &Entry = Found->second;
  const bool IsLoan = Tokens >= MinBorrowed;
  Entry.NextBorrowAt = IsLoan ? Now : Now + Entry.BorrowGap;
  Entry.BorrowGap =
      IsLoan ? MinBorrowGap : std::min(2 * Entry.BorrowGap, MaxBorrowGap);
}

double quota_ledger::lend(const std::string &Account, const quota_share &Share,
                          double Wanted, double Draw, time_point Now) {
  constexpr double LentShare = 0.5;
  entry *Entry = find(Account, Share, Draw, Now);
  // An owner that is short itself lends nothing; otherwise the owners of an
  // account that is over its limit would pass tokens back and forth.
  if (!Entry || Entry->Bucket.level(Now) <
                    lowLevel(*Entry, limitOf(Account)->RatePerSecond))
    return 0;
  return Entry->Bucket.takeUpTo(
      std::min(Wanted, LentShare * Entry->Bucket.level(Now)), Now);
}

} // namespace agatedale
