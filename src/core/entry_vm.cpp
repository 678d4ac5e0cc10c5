/// \file
/// Membership view, rendezvous hashing and termination tracking.
#include "agatedale/entry_vm.h"

#include <xxhash.h>

#include <algorithm>

namespace agatedale {

namespace {

/// Heartbeats from other regions arrive this many times less often, and their
/// timeout is longer by the same factor.
constexpr int RemoteRegionTimeoutFactor = 4;

} // namespace

std::uint64_t stableHash(std::string_view Text) {
  return XXH64(Text.data(), Text.size(), 0);
}

std::uint64_t rendezvousWeight(std::string_view Vm, std::string_view Subject) {
  return XXH64(Vm.data(), Vm.size(), stableHash(Subject));
}

void member_view::recordHeartbeat(const entry_vm &Vm, time_point Now) {
  if (Vm.Id.Name == Self.Id.Name)
    return;
  auto [Member, IsNew] = Members.try_emplace(Vm.Id.Name, member{Vm, Now});
  const bool IsOlderIncarnation =
      !IsNew && Vm.Id.Incarnation < Member->second.Vm.Id.Incarnation;
  if (IsOlderIncarnation)
    return;
  Member->second = {Vm, Now};
}

void member_view::setSelf(bool Ready, bool Leaving) {
  Self.Ready = Ready;
  Self.Leaving = Leaving;
}

std::vector<entry_vm> member_view::live(time_point Now) const {
  std::vector<entry_vm> Live{Self};
  for (const auto &[Name, Member] : Members) {
    if (isLive(Member, Now))
      Live.push_back(Member.Vm);
  }
  std::sort(Live.begin(), Live.end(),
            [](const entry_vm &Left, const entry_vm &Right) {
              return Left.Id < Right.Id;
            });
  return Live;
}

std::optional<entry_vm> member_view::find(const vm_id &Id,
                                          time_point Now) const {
  for (const entry_vm &Vm : live(Now)) {
    if (Vm.Id == Id)
      return Vm;
  }
  return std::nullopt;
}

std::optional<entry_vm> member_view::findByName(std::string_view Name) const {
  if (Name == Self.Id.Name)
    return Self;
  const auto Member = Members.find(Name);
  if (Member == Members.end())
    return std::nullopt;
  return Member->second.Vm;
}

bool member_view::isLive(const member &Member, time_point Now) const {
  const bool IsSameRegion = Member.Vm.Region == Self.Region;
  return Now - Member.LastHeartbeatAt <
         (IsSameRegion ? HeartbeatTimeout
                       : RemoteRegionTimeoutFactor * HeartbeatTimeout);
}

std::optional<entry_vm> member_view::preferredOwner(std::string_view Subject,
                                                    std::string_view Zone,
                                                    std::string_view Region,
                                                    time_point Now) const {
  const entry_vm *Best = nullptr;
  std::pair<bool, std::uint64_t> BestRank;
  const auto Consider = [&](const entry_vm &Vm) {
    if (!Vm.Ready || Vm.Leaving || Vm.Region != Region)
      return;
    const std::pair Rank{Vm.Zone == Zone,
                         rendezvousWeight(Vm.Id.Name, Subject)};
    if (Best && Rank <= BestRank)
      return;
    Best = &Vm;
    BestRank = Rank;
  };
  Consider(Self);
  for (const auto &[Name, Member] : Members) {
    if (isLive(Member, Now))
      Consider(Member.Vm);
  }
  return Best ? std::optional(*Best) : std::nullopt;
}

void termination_tracker::onVmList(std::span<const std::string> Names,
                                   time_point Now) {
  std::set<std::string, std::less<>> Present(Names.begin(), Names.end());
  for (const std::string &Name : Present) {
    Listed.insert(Name);
    UnlistedSince.erase(Name);
  }
  for (const std::string &Name : Listed) {
    if (!Present.contains(Name))
      UnlistedSince.try_emplace(Name, Now);
  }
}

void termination_tracker::onIncarnationSeen(const vm_id &VmInstance,
                                            time_point Now) {
  auto [Known, IsNew] = LatestIncarnations.try_emplace(
      VmInstance.Name, VmInstance.Incarnation, time_point::min());
  if (!IsNew && VmInstance.Incarnation > Known->second.first)
    Known->second = {VmInstance.Incarnation, Now};
}

void termination_tracker::onRetired(const vm_id &VmInstance, time_point Now) {
  RetiredSince.try_emplace(VmInstance, Now);
}

bool termination_tracker::hasTerminated(const vm_id &VmInstance,
                                        time_point Now) const {
  const auto Delisted = UnlistedSince.find(VmInstance.Name);
  if (Delisted != UnlistedSince.end() && Now - Delisted->second >= Wait)
    return true;
  const auto Newer = LatestIncarnations.find(VmInstance.Name);
  const bool Replaced = Newer != LatestIncarnations.end() &&
                        Newer->second.first > VmInstance.Incarnation &&
                        Newer->second.second != time_point::min() &&
                        Now - Newer->second.second >= Wait;
  if (Replaced)
    return true;
  const auto RetiredInstance = RetiredSince.find(VmInstance);
  return RetiredInstance != RetiredSince.end() &&
         Now - RetiredInstance->second >= Wait;
}

} // namespace agatedale
