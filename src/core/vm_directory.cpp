/// \file
/// Liveness of entry VMs and rendezvous hashing over the usable ones.
#include "agatedale/vm_directory.h"

#include <fmt/format.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <set>

namespace agatedale {

namespace {

/// Number of failures after which the back-off no longer doubles.
constexpr int MaxBackOffDoublings = 6;

/// Subject whose rendezvous weights select the hubs of a zone.
constexpr std::string_view HubSubject = "#hub";

/// A starting VM that would read the tables first asks its peers for this long
/// whether they have them: a connection and a reply inside a zone take a few
/// milliseconds.
constexpr duration PeerReplyTimeout = std::chrono::milliseconds(150);

/// A hub that has not been heard for this long, plus the time for each hub that
/// comes before, counts as dead when the tables are to be read.
constexpr duration SilentReaderTimeout = std::chrono::milliseconds(300);
constexpr duration SilentReaderTimePerRank = std::chrono::milliseconds(120);

/// What a hub that is alive and whose reads do not fail gets for the tables
/// beyond the time-out for a first snapshot: they have many pages, each of
/// which takes a round trip to another region.
constexpr duration ReadingTime = std::chrono::milliseconds(800);

std::pair<double, std::uint64_t> hubWeight(const entry_vm &Vm) {
  return {Vm.Capacity, rendezvousWeight(Vm.Id.Name, HubSubject)};
}

std::uint32_t nameHash(std::string_view Name) {
  return static_cast<std::uint32_t>(stableHash(Name));
}

/// Returns the weight for weighted rendezvous hashing, in which the share of
/// subjects that a VM owns is proportional to its capacity.
double ownerWeight(const entry_vm &Vm, std::string_view Subject) {
  const double UnitHash =
      (static_cast<double>(rendezvousWeight(Vm.Id.Name, Subject)) + 1) /
      (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
  return -Vm.Capacity / std::log(UnitHash);
}

} // namespace

std::string hubOrder(const entry_vm &Vm) {
  // The bits of positive numbers sort as the numbers do.
  const auto Capacity =
      std::bit_cast<std::uint32_t>(static_cast<float>(Vm.Capacity));
  const auto Hash = static_cast<std::uint32_t>(
      rendezvousWeight(Vm.Id.Name, HubSubject) >> 32);
  return fmt::format("{:08x}{:08x}", ~Capacity, ~Hash);
}

std::optional<duration> firstSnapshotWait(const start_view &View,
                                          duration Waited, duration ZoneTime) {
  if (!View.IsHub)
    return ZoneTime;
  if (View.IsPrecedingHeard && !View.HasPeerWithTables)
    return ReadingTime;
  bool Waits = View.HasPeerWithTables;
  if (View.Preceding == 0)
    Waits = Waits || (View.HasSilentPeer && Waited < PeerReplyTimeout);
  else
    Waits = Waits || Waited < SilentReaderTimeout +
                                  View.Preceding * SilentReaderTimePerRank;
  return Waits ? std::optional(duration::zero()) : std::nullopt;
}

void vm_directory::setListed(std::span<const entry_vm> Vms, time_point Now,
                             bool HubsOnly) {
  const bool WasComplete = !ListsHubsOnly;
  ListsHubsOnly = HubsOnly;
  if (!FirstListedAt)
    FirstListedAt = Now;
  std::map<std::string, member> Next;
  for (const entry_vm &Vm : Vms) {
    HasPredecessor = HasPredecessor || startedBeforeSelf(Vm);
    if (Vm.Id.Name == Self.Id.Name)
      continue;
    const auto Known = Members.find(Vm.Id.Name);
    const bool IsSameIncarnation =
        Known != Members.end() && Known->second.Vm.Id == Vm.Id;
    member &Member = Next[Vm.Id.Name];
    if (IsSameIncarnation) {
      Member = Known->second;
      continue;
    }
    Member.Vm = Vm;
    Member.HubWeight = hubWeight(Vm);
    Member.ListedAt = Now;
    Member.WasReady = Vm.Ready;
  }
  // A list of hubs says nothing about the other VMs.
  if (WasComplete && !HubsOnly)
    rememberDeparted(Next, Now);
  Members = std::move(Next);
  ZoneMembers.clear();
  for (auto &[Name, Member] : Members) {
    if (Member.Vm.Zone == Self.Zone)
      ZoneMembers.emplace(nameHash(Name), &Member);
  }
}

void vm_directory::recordHeartbeat(const std::string &Name, bool Ready,
                                   bool Leaving, time_point Now) {
  const auto Found = Members.find(Name);
  if (Found == Members.end())
    return;
  member &Member = Found->second;
  Member.LastSeenAt = std::max(Member.LastSeenAt, Now);
  Member.Vm.Ready = Ready;
  Member.Vm.Leaving = Leaving;
  Member.WasReady = Member.WasReady || Ready;
}

void vm_directory::setReadsFail(const std::string &Name, bool Fail) {
  const auto Found = Members.find(Name);
  if (Found != Members.end())
    Found->second.ReadsFail = Fail;
}

void vm_directory::setHasTables(const std::string &Name, bool HasTables) {
  const auto Found = Members.find(Name);
  if (Found != Members.end())
    Found->second.HasTables = HasTables;
}

start_view vm_directory::startView(bool OwnReadsFail, time_point Now) const {
  start_view View;
  View.IsHub = isHub(Now);
  std::set<std::string> Zones{Self.Zone};
  for (const auto &[Name, Member] : Members) {
    if (Member.Vm.Region != Self.Region)
      continue;
    Zones.insert(Member.Vm.Zone);
    View.HasHeardPeer = View.HasHeardPeer || isLive(Member, Now);
    View.HasPeerWithTables =
        View.HasPeerWithTables || (Member.HasTables && isLive(Member, Now));
  }
  for (const std::string &Zone : Zones) {
    for (const entry_vm *Hub : hubsOf(Zone, Now)) {
      if (Hub == &Self)
        continue;
      const member &Member = Members.at(Hub->Id.Name);
      const bool IsHeard = isLive(Member, Now);
      View.HasSilentPeer =
          View.HasSilentPeer || (Zone == Self.Zone && !IsHeard);
      if (Member.ReadsFail ||
          (!OwnReadsFail && Member.HubWeight <= hubWeight(Self)))
        continue;
      // Those of other zones may be listed for long.
      if (!IsHeard && Now - Member.ListedAt >= Settings.LivenessTimeout)
        continue;
      ++View.Preceding;
      View.IsPrecedingHeard = View.IsPrecedingHeard || IsHeard;
    }
  }
  return View;
}

void vm_directory::recordForwardFailure(const std::string &Name,
                                        time_point Now) {
  const auto Found = Members.find(Name);
  if (Found == Members.end())
    return;
  member &Member = Found->second;
  const int Doublings = std::min(Member.Failures++, MaxBackOffDoublings);
  Member.BackOffUntil =
      Now + std::min(Settings.InitialForwardBackOff * (1 << Doublings),
                     Settings.MaxForwardBackOff);
}

void vm_directory::recordForwardSuccess(const std::string &Name) {
  const auto Found = Members.find(Name);
  if (Found == Members.end())
    return;
  Found->second.Failures = 0;
  Found->second.BackOffUntil = time_point{};
}

void vm_directory::setSelf(bool Ready, bool Leaving) {
  Self.Ready = Ready;
  Self.Leaving = Leaving;
}

std::vector<entry_vm> vm_directory::otherVms() const {
  std::vector<entry_vm> All;
  for (const auto &[Name, Member] : Members)
    All.push_back(Member.Vm);
  std::stable_partition(All.begin(), All.end(), [this](const entry_vm &Vm) {
    return Vm.Region == Self.Region;
  });
  return All;
}

std::vector<listed_vm> vm_directory::zoneVms(time_point Now) const {
  std::vector<listed_vm> Vms;
  Vms.reserve(ZoneMembers.size());
  for (const auto &[NameHash, Member] : ZoneMembers)
    Vms.push_back(
        {Member->Vm, Now - Member->LastSeenAt < Settings.LivenessTimeout});
  return Vms;
}

std::optional<entry_vm> vm_directory::find(const std::string &Name) const {
  const auto Found = Members.find(Name);
  if (Found == Members.end())
    return std::nullopt;
  return Found->second.Vm;
}

bool vm_directory::hasVmIn(std::string_view Zone) const {
  return std::any_of(Members.begin(), Members.end(), [Zone](const auto &Entry) {
    return Entry.second.Vm.Zone == Zone;
  });
}

bool vm_directory::isUsable(const std::string &Name, time_point Now) const {
  const auto Found = Members.find(Name);
  return Found != Members.end() && isUsable(Found->second, Now);
}

bool vm_directory::isUsable(const member &Member, time_point Now) const {
  if (Member.Vm.Leaving || Now < Member.BackOffUntil)
    return false;
  if (Member.Vm.Zone != Self.Zone)
    return true;
  return Member.Vm.Ready && Now - Member.LastSeenAt < Settings.LivenessTimeout;
}

/// Returns the owner among the usable VMs of \p Region and, if it is not empty,
/// of \p Zone.
const entry_vm *vm_directory::bestOwner(std::string_view Subject,
                                        std::string_view Region,
                                        std::string_view Zone,
                                        time_point Now) const {
  const entry_vm *Best = nullptr;
  double BestWeight = 0;
  const auto Consider = [&](const entry_vm &Vm) {
    const double Weight = ownerWeight(Vm, Subject);
    if (Best && Weight <= BestWeight)
      return;
    BestWeight = Weight;
    Best = &Vm;
  };
  const auto IsInPlace = [&](const entry_vm &Vm) {
    return Vm.Region == Region && (Zone.empty() || Vm.Zone == Zone);
  };
  if (Self.Ready && !Self.Leaving && IsInPlace(Self))
    Consider(Self);
  for (const auto &[Name, Member] : Members) {
    if (IsInPlace(Member.Vm) && isUsable(Member, Now))
      Consider(Member.Vm);
  }
  return Best;
}

std::optional<entry_vm> vm_directory::ownerOf(std::string_view Subject,
                                              std::string_view Zone,
                                              std::string_view Region,
                                              time_point Now) const {
  const entry_vm *Owner = bestOwner(Subject, Region, Zone, Now);
  if (!Owner)
    Owner = bestOwner(Subject, Region, {}, Now);
  return Owner ? std::optional(*Owner) : std::nullopt;
}

void vm_directory::rememberDeparted(const std::map<std::string, member> &Next,
                                    time_point Now) {
  std::erase_if(Departed, [&](const departed_vm &Vm) {
    return Now - Vm.At >= Settings.FormerOwnerMemory;
  });
  for (const auto &[Name, Member] : Members) {
    const auto Found = Next.find(Name);
    const bool IsListed =
        Found != Next.end() && Found->second.Vm.Id == Member.Vm.Id;
    if (!IsListed && Member.WasReady && Member.Vm.Region == Self.Region)
      Departed.push_back({Member.Vm, Now});
  }
}

/// Incarnations are microseconds of the VMs' clocks.
bool vm_directory::startedBeforeSelf(const entry_vm &Vm) const {
  const auto Lead = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          Settings.MinStartLead)
          .count());
  return Vm.Region == Self.Region && Vm.Id.Incarnation < Self.Id.Incarnation &&
         Self.Id.Incarnation - Vm.Id.Incarnation >= Lead;
}

/// Returns true if \p Vm would be the owner rather than this VM if both were
/// usable.
bool vm_directory::ranksBeforeSelf(const entry_vm &Vm, std::string_view Subject,
                                   std::string_view Zone) const {
  if (Vm.Region != Self.Region)
    return false;
  const bool IsSelfInZone = Self.Zone == Zone;
  if ((Vm.Zone == Zone) != IsSelfInZone)
    return !IsSelfInZone;
  return ownerWeight(Vm, Subject) > ownerWeight(Self, Subject);
}

bool vm_directory::followsOwner(std::string_view Subject, std::string_view Zone,
                                time_point Now) const {
  if (HasPredecessor && Now - *FirstListedAt < Settings.FormerOwnerMemory)
    return true;
  for (const auto &[Name, Member] : Members) {
    if ((Member.WasReady || isUsable(Member, Now)) &&
        ranksBeforeSelf(Member.Vm, Subject, Zone))
      return true;
  }
  return std::any_of(Departed.begin(), Departed.end(),
                     [&](const departed_vm &Former) {
                       return Now - Former.At < Settings.FormerOwnerMemory &&
                              ranksBeforeSelf(Former.Vm, Subject, Zone);
                     });
}

bool vm_directory::isHubCandidate(const member &Member, time_point Now) const {
  if (Member.Vm.Leaving || Now < Member.BackOffUntil)
    return false;
  const time_point Since = std::max(Member.ListedAt, Member.LastSeenAt);
  return Member.Vm.Zone != Self.Zone || Now - Since < Settings.LivenessTimeout;
}

/// While only the first VMs of the zone are listed, others that come before
/// this VM may exist: it takes the place of dead hubs once all are listed.
bool vm_directory::mayBeHub() const {
  if (!ListsHubsOnly)
    return true;
  const auto Own = hubWeight(Self);
  const auto Preceding = std::count_if(
      ZoneMembers.begin(), ZoneMembers.end(),
      [&](const auto &Entry) { return Entry.second->HubWeight > Own; });
  return static_cast<std::size_t>(Preceding) < Settings.HubsPerZone;
}

std::vector<const entry_vm *> vm_directory::hubsOf(std::string_view Zone,
                                                   time_point Now) const {
  std::vector<std::pair<std::pair<double, std::uint64_t>, const entry_vm *>>
      Ranked;
  if (Self.Zone == Zone && !Self.Leaving && mayBeHub())
    Ranked.emplace_back(hubWeight(Self), &Self);
  for (const auto &[Name, Member] : Members) {
    if (Member.Vm.Zone == Zone && isHubCandidate(Member, Now))
      Ranked.emplace_back(Member.HubWeight, &Member.Vm);
  }
  const auto Count = std::min(Ranked.size(), Settings.HubsPerZone);
  std::partial_sort(Ranked.begin(),
                    Ranked.begin() + static_cast<std::ptrdiff_t>(Count),
                    Ranked.end(), std::greater<>());
  std::vector<const entry_vm *> Hubs;
  for (std::size_t I = 0; I < Count; ++I)
    Hubs.push_back(Ranked[I].second);
  return Hubs;
}

bool vm_directory::isHub(time_point Now) const {
  const std::vector<const entry_vm *> Hubs = hubsOf(Self.Zone, Now);
  return std::find(Hubs.begin(), Hubs.end(), &Self) != Hubs.end();
}

vm_directory::member *vm_directory::nextSilentHub(time_point Now) {
  const std::vector<const entry_vm *> Hubs = hubsOf(Self.Zone, Now);
  const bool HasAll = Hubs.size() == Settings.HubsPerZone;
  const auto LastHubWeight =
      Hubs.empty() ? hubWeight(Self) : hubWeight(*Hubs.back());
  member *Next = nullptr;
  for (auto &[Name, Member] : Members) {
    const bool IsSilent = Member.Vm.Zone == Self.Zone && !Member.Vm.Leaving &&
                          !isHubCandidate(Member, Now);
    const bool WouldBeHub = !HasAll || Member.HubWeight > LastHubWeight;
    if (!IsSilent || !WouldBeHub)
      continue;
    const bool IsEarlier =
        !Next || std::pair(Next->ProbedAt, Member.HubWeight) >
                     std::pair(Member.ProbedAt, Next->HubWeight);
    if (IsEarlier)
      Next = &Member;
  }
  return Next;
}

std::vector<entry_vm> vm_directory::heartbeatPeers(time_point Now) {
  std::set<std::string> Zones{Self.Zone};
  if (isHub(Now)) {
    for (const auto &[Name, Member] : Members) {
      if (Member.Vm.Region == Self.Region)
        Zones.insert(Member.Vm.Zone);
    }
  }
  std::vector<entry_vm> Peers;
  for (const std::string &Zone : Zones) {
    for (const entry_vm *Hub : hubsOf(Zone, Now)) {
      if (Hub != &Self)
        Peers.push_back(*Hub);
    }
  }
  if (member *Silent = nextSilentHub(Now)) {
    Silent->ProbedAt = Now;
    Peers.push_back(Silent->Vm);
  }
  return Peers;
}

void vm_directory::mergeZoneMember(const zone_member &ZoneMember) {
  const auto Found = ZoneMembers.find(ZoneMember.NameHash);
  if (Found == ZoneMembers.end())
    return;
  member &Member = *Found->second;
  if (ZoneMember.LastSeenAt <= Member.LastSeenAt)
    return;
  Member.LastSeenAt = ZoneMember.LastSeenAt;
  Member.Vm.Ready = ZoneMember.Ready;
  Member.Vm.Leaving = ZoneMember.Leaving;
  Member.WasReady = Member.WasReady || ZoneMember.Ready;
}

std::vector<zone_member> vm_directory::zoneMembers(time_point Now) const {
  std::vector<zone_member> Statuses;
  for (const auto &[NameHash, Member] : ZoneMembers) {
    if (Now - Member->LastSeenAt < 2 * Settings.LivenessTimeout)
      Statuses.push_back(
          {NameHash, Member->LastSeenAt, Member->Vm.Ready, Member->Vm.Leaving});
  }
  return Statuses;
}

/// Returns the number of live VMs of the own zone that come first as hubs.
int vm_directory::largerZoneMembers(time_point Now) const {
  const auto Own = hubWeight(Self);
  return static_cast<int>(std::count_if(
      ZoneMembers.begin(), ZoneMembers.end(), [&](const auto &Entry) {
        const member &Member = *Entry.second;
        return Member.HubWeight > Own && isHubCandidate(Member, Now);
      }));
}

int vm_directory::readerRank(bool OwnReadsFail, time_point Now) const {
  const auto Own = hubWeight(Self);
  const int HubCount = static_cast<int>(Settings.HubsPerZone);
  if (!isHub(Now))
    return std::max(HubCount, largerZoneMembers(Now));
  if (OwnReadsFail)
    return HubCount;
  int Preceding = 0;
  for (const auto &[Name, Member] : Members) {
    const bool MayRead = Member.Vm.Region == Self.Region &&
                         Now - Member.LastSeenAt < Settings.LivenessTimeout &&
                         !Member.Vm.Leaving && !Member.ReadsFail;
    if (!MayRead || Member.HubWeight <= Own)
      continue;
    // Only hubs of other zones exchange heartbeats with this VM.
    Preceding +=
        Member.Vm.Zone != Self.Zone || isHubCandidate(Member, Now) ? 1 : 0;
  }
  return Preceding;
}

std::vector<std::string> vm_directory::silentVms(duration MinSilence,
                                                 time_point Now) const {
  std::vector<std::string> Silent;
  for (const auto &[Name, Member] : Members) {
    const time_point Since = std::max(Member.ListedAt, Member.LastSeenAt);
    if (Member.Vm.Zone == Self.Zone && Now - Since >= MinSilence)
      Silent.push_back(Name);
  }
  return Silent;
}

bool vm_directory::receivesFromMostOfZone(time_point Now) const {
  std::size_t ZoneSize = 0;
  std::size_t Reachable = 0;
  for (const auto &[Name, Member] : Members) {
    if (Member.Vm.Zone != Self.Zone)
      continue;
    ++ZoneSize;
    Reachable += Now - Member.LastSeenAt < Settings.LivenessTimeout ? 1 : 0;
  }
  return 2 * Reachable >= ZoneSize;
}

bool vm_directory::receivesFromHalfOfZone(time_point Now) const {
  const auto Live = std::count_if(
      ZoneMembers.begin(), ZoneMembers.end(), [&](const auto &Entry) {
        return Now - Entry.second->LastSeenAt < Settings.LivenessTimeout;
      });
  return 2 * (static_cast<std::size_t>(Live) + 1) >= zoneSize();
}

std::vector<std::string> vm_directory::removableVms(time_point Now) const {
  return silentVms(receivesFromMostOfZone(Now)
                       ? Settings.RemovalTimeout
                       : Settings.MinorityRemovalTimeout,
                   Now);
}

} // namespace agatedale
