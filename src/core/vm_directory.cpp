/// \file
/// Liveness of entry VMs and rendezvous hashing over those that can be used.
#include "agatedale/vm_directory.h"

#include <algorithm>

namespace agatedale {

namespace {

/// After this many failures the suspicion no longer grows.
constexpr int MaxDoublings = 6;

/// Subject whose owner reads the store for its region.
constexpr std::string_view ReaderSubject = "#store-reader";

} // namespace

void vm_directory::setListed(std::span<const entry_vm> Vms, time_point Now) {
  std::map<std::string, member> Next;
  for (const entry_vm &Vm : Vms) {
    if (Vm.Id.Name == Self.Id.Name)
      continue;
    const auto Known = Members.find(Vm.Id.Name);
    const bool SameLife =
        Known != Members.end() && Known->second.Vm.Id == Vm.Id;
    member &Member = Next[Vm.Id.Name];
    if (SameLife) {
      Member = Known->second;
      continue;
    }
    Member.Vm = Vm;
    Member.ListedAt = Now;
  }
  Members = std::move(Next);
}

void vm_directory::heard(const std::string &Name, bool Ready, bool Leaving,
                         time_point Now) {
  const auto Found = Members.find(Name);
  if (Found == Members.end())
    return;
  member &Member = Found->second;
  Member.HeardAt = std::max(Member.HeardAt, Now);
  Member.Vm.Ready = Ready;
  Member.Vm.Leaving = Leaving;
}

void vm_directory::failed(const std::string &Name, time_point Now) {
  const auto Found = Members.find(Name);
  if (Found == Members.end())
    return;
  member &Member = Found->second;
  const int Doublings = std::min(Member.Failures++, MaxDoublings);
  Member.SuspectUntil =
      Now + std::min(Settings.FirstSuspicion * (1 << Doublings),
                     Settings.LongestSuspicion);
}

void vm_directory::answered(const std::string &Name) {
  const auto Found = Members.find(Name);
  if (Found == Members.end())
    return;
  Found->second.Failures = 0;
  Found->second.SuspectUntil = time_point{};
}

void vm_directory::setSelf(bool Ready, bool Leaving) {
  Self.Ready = Ready;
  Self.Leaving = Leaving;
}

std::vector<entry_vm> vm_directory::others() const {
  std::vector<entry_vm> All;
  for (const auto &[Name, Member] : Members)
    All.push_back(Member.Vm);
  std::stable_partition(All.begin(), All.end(), [this](const entry_vm &Vm) {
    return Vm.Region == Self.Region;
  });
  return All;
}

std::optional<entry_vm> vm_directory::find(const std::string &Name) const {
  const auto Found = Members.find(Name);
  if (Found == Members.end())
    return std::nullopt;
  return Found->second.Vm;
}

bool vm_directory::isUsable(const std::string &Name, time_point Now) const {
  const auto Found = Members.find(Name);
  return Found != Members.end() && isUsable(Found->second, Now);
}

bool vm_directory::isUsable(const member &Member, time_point Now) const {
  if (Member.Vm.Leaving || Now < Member.SuspectUntil)
    return false;
  if (Member.Vm.Region != Self.Region)
    return true;
  return Member.Vm.Ready && Now - Member.HeardAt < Settings.HeardWithin;
}

std::optional<entry_vm> vm_directory::ownerOf(std::string_view Subject,
                                              std::string_view Zone,
                                              std::string_view Region,
                                              time_point Now) const {
  std::optional<entry_vm> Best;
  std::pair<bool, std::uint64_t> BestRank{false, 0};
  const auto Offer = [&](const entry_vm &Vm) {
    if (Vm.Region != Region)
      return;
    const std::pair Rank{Vm.Zone == Zone,
                         rendezvousWeight(Vm.Id.Name, Subject)};
    if (Best && Rank <= BestRank)
      return;
    BestRank = Rank;
    Best = Vm;
  };
  if (Self.Ready && !Self.Leaving)
    Offer(Self);
  for (const auto &[Name, Member] : Members) {
    if (isUsable(Member, Now))
      Offer(Member.Vm);
  }
  return Best;
}

int vm_directory::readerRank(time_point Now) const {
  const std::uint64_t Own = rendezvousWeight(Self.Id.Name, ReaderSubject);
  return static_cast<int>(
      std::count_if(Members.begin(), Members.end(), [&](const auto &Entry) {
        const member &Member = Entry.second;
        return Member.Vm.Region == Self.Region && isUsable(Member, Now) &&
               rendezvousWeight(Entry.first, ReaderSubject) > Own;
      }));
}

std::vector<std::string> vm_directory::silentFor(duration Length,
                                                 time_point Now) const {
  std::vector<std::string> Silent;
  for (const auto &[Name, Member] : Members) {
    const time_point Since = std::max(Member.ListedAt, Member.HeardAt);
    if (Member.Vm.Zone == Self.Zone && Now - Since >= Length)
      Silent.push_back(Name);
  }
  return Silent;
}

} // namespace agatedale
