/// \file
/// Rendezvous hashing over the VMs of a zone, and the shares of owners.
#include "agatedale/quota_view.h"
#include "agatedale/entry_vm.h"

#include <fmt/format.h>

#include <algorithm>

namespace agatedale {

namespace {

/// Time for which a VM of another zone that did not answer as the owner is not
/// asked again: somewhat longer than it takes to be seen as failed.
constexpr duration AvoidTime = std::chrono::seconds(2);

std::string subjectOf(std::string_view Account) {
  return fmt::format("quota/{}", Account);
}

bool canOwn(const quota_vm &Vm) { return Vm.CanOwn && Vm.IsHeard; }

/// A VM that leaves answers until its end. It is the owner if its zone has no
/// other one, so that the last VM of a zone keeps its bucket while it stops.
bool canOwnWhileLeaving(const quota_vm &Vm) {
  return Vm.IsLeaving && Vm.IsHeard && !canOwn(Vm);
}

} // namespace

void quota_view::apply(const quota_vm &Vm, time_point Now) {
  const auto [Found, IsNew] = Vms.try_emplace(Vm.Name);
  member &Member = Found->second;
  if (IsNew || canOwn(Member.Vm) != canOwn(Vm))
    Member.ChangedAt = Now;
  if (canOwnWhileLeaving(Member.Vm) && !canOwnWhileLeaving(Vm))
    Member.EndedAt = Now;
  Member.Vm = Vm;
  Member.UnlistedAt = time_point{};
}

void quota_view::updateLiveness(std::span<const quota_vm> Listed,
                                time_point Now) {
  for (const quota_vm &Vm : Listed)
    apply(Vm, Now);
  recount(Now);
}

void quota_view::update(std::span<const quota_vm> Listed, time_point Now) {
  for (auto &[Name, Member] : Vms) {
    if (Member.UnlistedAt == time_point{})
      Member.UnlistedAt = Now;
  }
  for (const quota_vm &Vm : Listed)
    apply(Vm, Now);
  for (auto Entry = Vms.begin(); Entry != Vms.end();) {
    member &Member = Entry->second;
    const bool IsListed = Member.UnlistedAt == time_point{};
    if (!IsListed && canOwn(Member.Vm))
      Member.ChangedAt = Now;
    if (!IsListed && canOwnWhileLeaving(Member.Vm))
      Member.EndedAt = Now;
    Member.Vm.IsHeard = Member.Vm.IsHeard && IsListed;
    const bool IsGone =
        !IsListed && Now - Member.UnlistedAt > UnlistedRetention;
    Entry = IsGone ? Vms.erase(Entry) : std::next(Entry);
  }
  recount(Now);
}

void quota_view::recount(time_point Now) {
  ZoneVms = 0;
  HeardVms = 0;
  ServedVms = 0;
  AllVms = 0;
  const auto Own = Vms.find(Self);
  const bool IsLeaving = Own != Vms.end() && Own->second.Vm.IsLeaving;
  for (const auto &[Name, Member] : Vms) {
    const bool IsEnding =
        Member.UnlistedAt > time_point{} && Member.Vm.IsLeaving;
    if (IsEnding && Now - Member.UnlistedAt > LeavingTime)
      continue;
    ++AllVms;
    if (Member.Vm.Zone != Zone)
      continue;
    ++ZoneVms;
    // A VM of the own zone that ends asks this zone's owner, as one that is
    // heard does.
    HeardVms += Member.Vm.IsHeard || IsEnding ? 1 : 0;
    // Two VMs that end do not list each other; each serves its own part.
    ServedVms += Member.Vm.IsHeard || (IsEnding && !IsLeaving) ? 1 : 0;
  }
  const bool NowHearsMost = 2 * HeardVms >= ZoneVms;
  if (NowHearsMost != HearsMost)
    HearsMostChangedAt = Now;
  HearsMost = NowHearsMost;
}

std::string quota_view::ownerOf(std::string_view Account) const {
  const std::string Subject = subjectOf(Account);
  const std::string *Best = nullptr;
  std::uint64_t BestWeight = 0;
  bool IsBestLeaving = false;
  for (const auto &[Name, Member] : Vms) {
    const bool IsLeaving = canOwnWhileLeaving(Member.Vm);
    if (Member.Vm.Zone != Zone || (!canOwn(Member.Vm) && !IsLeaving))
      continue;
    const std::uint64_t Weight = rendezvousWeight(Name, Subject);
    const bool IsBetter =
        IsLeaving == IsBestLeaving ? Weight > BestWeight : IsBestLeaving;
    if (Best && !IsBetter)
      continue;
    Best = &Name;
    BestWeight = Weight;
    IsBestLeaving = IsLeaving;
  }
  return Best ? *Best : std::string();
}

quota_share quota_view::shareOf(std::string_view Account) const {
  quota_share Share;
  const auto Own = Vms.find(Self);
  if (Own == Vms.end())
    return Share;
  Share.Fraction = static_cast<double>(ServedVms) * fairFraction();
  Share.HearsMost = HearsMost;
  Share.OwnedSince = std::max(Own->second.ChangedAt, HearsMostChangedAt);
  const std::string Subject = subjectOf(Account);
  const std::uint64_t OwnWeight = rendezvousWeight(Self, Subject);
  if (canOwnWhileLeaving(Own->second.Vm)) {
    // Any other VM that was able to own the bucket may have owned it.
    for (const auto &[Name, Member] : Vms) {
      if (Member.Vm.Zone == Zone && Name != Self)
        Share.OwnedSince =
            std::max({Share.OwnedSince, Member.ChangedAt, Member.EndedAt});
    }
    return Share;
  }
  for (const auto &[Name, Member] : Vms) {
    // A VM that comes first owned the bucket until it could no longer.
    if (Member.Vm.Zone == Zone && !canOwn(Member.Vm) &&
        Member.ChangedAt > Share.OwnedSince &&
        rendezvousWeight(Name, Subject) > OwnWeight)
      Share.OwnedSince = Member.ChangedAt;
  }
  return Share;
}

std::vector<std::string> quota_view::otherOwners(std::string_view Account,
                                                 bool IsAbroad,
                                                 time_point Now) const {
  struct candidate {
    const std::string *Name = nullptr;
    std::uint64_t Weight = 0;
    bool IsListed = false;
  };
  const std::string Subject = subjectOf(Account);
  std::map<std::string_view, candidate> Best; // By zone.
  for (const auto &[Name, Member] : Vms) {
    const bool IsListed = Member.UnlistedAt == time_point{};
    const bool MayServe = IsListed || Now - Member.UnlistedAt <= LeavingTime;
    if (Member.Vm.Zone == Zone || (Member.Vm.Region != Region) != IsAbroad ||
        !MayServe || Now < Member.AvoidUntil)
      continue;
    const candidate New{&Name, rendezvousWeight(Name, Subject), IsListed};
    candidate &Entry = Best[Member.Vm.Zone];
    const bool IsBetter =
        IsListed == Entry.IsListed ? New.Weight > Entry.Weight : IsListed;
    if (!Entry.Name || IsBetter)
      Entry = New;
  }
  std::vector<std::string> Owners;
  Owners.reserve(Best.size());
  for (const auto &[Name, Entry] : Best)
    Owners.push_back(*Entry.Name);
  return Owners;
}

void quota_view::recordNotOwner(const std::string &Vm, time_point Now) {
  const auto Found = Vms.find(Vm);
  if (Found != Vms.end())
    Found->second.AvoidUntil = Now + AvoidTime;
}

} // namespace agatedale
