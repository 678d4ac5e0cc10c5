/// \file
/// Membership as one node sees it.
#include "agatedale/entry_vm.h"

#include <xxhash.h>

#include <algorithm>

namespace agatedale {

namespace {

/// Members of other regions are heard this many times less often.
constexpr int FarTimeoutFactor = 4;

} // namespace

std::uint64_t stableHash(std::string_view Text) {
  return XXH64(Text.data(), Text.size(), 0);
}

std::uint64_t rendezvousWeight(std::string_view Vm, std::string_view Subject) {
  return XXH64(Vm.data(), Vm.size(), stableHash(Subject));
}

void member_view::heard(const entry_vm &Vm, time_point Now) {
  if (Vm.Id.Name == Self.Id.Name)
    return;
  auto [Member, IsNew] = Members.try_emplace(Vm.Id.Name, member{Vm, Now});
  const bool IsOldLife =
      !IsNew && Vm.Id.Incarnation < Member->second.Vm.Id.Incarnation;
  if (IsOldLife)
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
  const bool IsNear = Member.Vm.Region == Self.Region;
  return Now - Member.LastHeard <
         (IsNear ? HeartbeatTimeout : FarTimeoutFactor * HeartbeatTimeout);
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

void departures::onVmList(std::span<const std::string> Names, time_point Now) {
  std::set<std::string, std::less<>> Present(Names.begin(), Names.end());
  for (const std::string &Name : Present) {
    Listed.insert(Name);
    Unlisted.erase(Name);
  }
  for (const std::string &Name : Listed) {
    if (!Present.contains(Name))
      Unlisted.try_emplace(Name, Now);
  }
}

void departures::onHeard(const vm_id &Life, time_point Now) {
  auto [Known, IsNew] =
      Latest.try_emplace(Life.Name, Life.Incarnation, time_point::min());
  if (!IsNew && Life.Incarnation > Known->second.first)
    Known->second = {Life.Incarnation, Now};
}

void departures::onRetired(const vm_id &Life, time_point Now) {
  Retired.try_emplace(Life, Now);
}

bool departures::certain(const vm_id &Life, time_point Now) const {
  const auto Off = Unlisted.find(Life.Name);
  if (Off != Unlisted.end() && Now - Off->second >= Wait)
    return true;
  const auto Newer = Latest.find(Life.Name);
  const bool Replaced = Newer != Latest.end() &&
                        Newer->second.first > Life.Incarnation &&
                        Newer->second.second != time_point::min() &&
                        Now - Newer->second.second >= Wait;
  if (Replaced)
    return true;
  const auto Gone = Retired.find(Life);
  return Gone != Retired.end() && Now - Gone->second >= Wait;
}

} // namespace agatedale
