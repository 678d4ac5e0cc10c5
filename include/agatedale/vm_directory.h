/// \file
/// Selection of the entry VMs that requests can be forwarded to, and of the
/// owner of each server group.
#pragma once

#include "agatedale/entry_vm.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace agatedale {

/// Configuration of a vm_directory.
struct vm_directory_settings {
  /// A VM of the own zone is considered failed if neither this VM nor a hub has
  /// received its heartbeat for this long: three heartbeat intervals and the
  /// transmission delay.
  duration LivenessTimeout = std::chrono::milliseconds(950);
  /// Number of VMs of a zone that exchange heartbeats with all others of it and
  /// relay their state.
  std::size_t HubsPerZone = 2;
  /// After a failed forward to a VM, no request is forwarded to it for this
  /// long. The time doubles with each consecutive failure up to
  /// MaxForwardBackOff.
  duration InitialForwardBackOff = std::chrono::milliseconds(500);
  duration MaxForwardBackOff = std::chrono::seconds(4);
  /// A VM that sees at least half of the other VMs of its zone as live removes
  /// a VM of the zone from the list in the store after this long without a
  /// heartbeat.
  duration RemovalTimeout = std::chrono::seconds(5);
  /// The same for a VM that sees fewer of them. It may itself be the one that
  /// is partitioned, so it waits longer.
  duration MinorityRemovalTimeout = std::chrono::seconds(15);
  /// Time for which a VM that has ended, or one that was there when this VM
  /// started, is remembered as a possible owner: the window of 10 s in which
  /// retries are limited, and as long again for a start.
  duration FormerOwnerMemory = std::chrono::seconds(20);
  /// A VM that started this much before this one may have been an owner when
  /// this VM became ready. VMs that start together differ by less.
  duration MinStartLead = std::chrono::seconds(1);
};

/// Returns a text by which the VMs of a zone sort in the order in which they
/// are hubs, the first hub first.
std::string hubOrder(const entry_vm &Vm);

/// What a starting VM knows of those that may send it the tables.
struct start_view {
  bool IsHub = false;
  /// Hubs of the region that come before this VM and can read the tables.
  int Preceding = 0;
  bool IsPrecedingHeard = false;  ///< One of them is alive.
  bool HasPeerWithTables = false; ///< A live VM of the region has all tables.
  bool HasSilentPeer = false;     ///< A hub of the zone was not heard yet.
  bool HasHeardPeer = false;      ///< A VM of the region is alive.
};

/// Returns the time for which a starting VM lets its peers read and send the
/// tables, beyond the usual time-out for a first snapshot, or nothing if it
/// reads them now. One VM of a region reads: the tables are the largest part of
/// what a start sends between regions. \p Waited is the time since the hubs are
/// known, \p ZoneTime that in which the hubs serve the whole zone.
std::optional<duration> firstSnapshotWait(const start_view &View,
                                          duration Waited, duration ZoneTime);

/// The state of a VM of a zone, as relayed to other VMs of the zone.
struct zone_member {
  std::uint32_t NameHash = 0;
  time_point LastSeenAt{};
  bool Ready = false;
  bool Leaving = false;
};

/// A listed VM and whether its heartbeat is recent.
struct listed_vm {
  entry_vm Vm;
  bool IsHeard = false;
};

/// The entry VMs that are listed in the store, with their liveness as seen by
/// this VM. The owner of a group is selected by rendezvous hashing over the
/// usable VMs, so that VMs with the same view agree without coordination. Two
/// VMs that disagree for a short time send to the same servers. Each of them
/// respects the servers' slots, and the servers queue requests beyond these.
///
///   vm_directory Vms = vm_directory::create(Self, Settings);
///   Vms.setListed(Listed, Now);
///   std::optional<entry_vm> Owner = Vms.ownerOf("orders/a/0", "a", Now);
class vm_directory {
public:
  static vm_directory create(const entry_vm &Self,
                             const vm_directory_settings &Settings) {
    return vm_directory(Self, Settings);
  }

  vm_directory(vm_directory &&) = default;
  vm_directory &operator=(vm_directory &&) = default;

  /// Replaces the list of VMs by the one in the store. Liveness is kept for VMs
  /// whose incarnation is unchanged.
  void setListed(std::span<const entry_vm> Vms, time_point Now) {
    setListed(Vms, Now, false);
  }

  /// The same with the first VMs of each zone only, in their order as hubs.
  /// This VM is a hub then only if it comes before them.
  void setListedHubs(std::span<const entry_vm> Vms, time_point Now) {
    setListed(Vms, Now, true);
  }

  /// Returns true if only the first VMs of each zone are listed.
  bool listsHubsOnly() const { return ListsHubsOnly; }

  /// Records a heartbeat of \p Name and the state that it reports.
  void recordHeartbeat(const std::string &Name, bool Ready, bool Leaving,
                       time_point Now);

  /// Records whether \p Name reports that its reads of the store fail.
  void setReadsFail(const std::string &Name, bool Fail);

  /// Records whether \p Name reports that it has all tables.
  void setHasTables(const std::string &Name, bool HasTables);

  /// Returns what decides whether this VM reads the first snapshot itself.
  /// \p OwnReadsFail tells whether its reads of the store fail.
  start_view startView(bool OwnReadsFail, time_point Now) const;

  /// Merges a VM's state as relayed by a hub, if it is newer than the local
  /// one.
  void mergeZoneMember(const zone_member &ZoneMember);

  /// Returns the VMs of the own zone with a recent heartbeat, for relaying.
  std::vector<zone_member> zoneMembers(time_point Now) const;

  /// Returns the VMs to send heartbeats to: the hubs and, while VMs that would
  /// be hubs are silent, one of these in round-robin order. Probing them lets
  /// VMs with diverged views converge on the same hubs again.
  std::vector<entry_vm> heartbeatPeers(time_point Now);

  /// Records whether a request forwarded to \p Name received a response.
  void recordForwardFailure(const std::string &Name, time_point Now);
  void recordForwardSuccess(const std::string &Name);

  void setSelf(bool Ready, bool Leaving);
  const entry_vm &self() const { return Self; }

  /// Returns the number of listed VMs of the own zone, with this one.
  std::size_t zoneSize() const { return ZoneMembers.size() + 1; }

  /// Returns all listed VMs but this one, those of the own region first.
  std::vector<entry_vm> otherVms() const;

  /// Returns the listed VMs of the own zone without this one, with their
  /// liveness. That of other zones is not known.
  std::vector<listed_vm> zoneVms(time_point Now) const;

  /// Returns the listed VM named \p Name, or nothing.
  std::optional<entry_vm> find(const std::string &Name) const;

  /// Returns true if another VM of \p Zone is listed.
  bool hasVmIn(std::string_view Zone) const;

  /// Returns true if requests can be forwarded to \p Name.
  bool isUsable(const std::string &Name, time_point Now) const;

  /// Returns the VM that owns \p Subject: a usable VM of \p Zone or, if there
  /// is none, of \p Region.
  std::optional<entry_vm> ownerOf(std::string_view Subject,
                                  std::string_view Zone,
                                  std::string_view Region,
                                  time_point Now) const;

  /// Returns true if this VM, about to dispatch for \p Subject, has reason to
  /// know that another VM has recently been its owner: a VM that ranks before
  /// this one is or was in use, or this VM has just started beside others that
  /// run for longer. An earlier process of this VM counts as another VM. Starts
  /// are compared by the clocks of the VMs; a wrong clock makes the answer
  /// wrong until FormerOwnerMemory has passed.
  bool followsOwner(std::string_view Subject, std::string_view Zone,
                    time_point Now) const;

  /// Returns true if this VM is a hub of its zone.
  bool isHub(time_point Now) const;

  /// Returns the rank of this VM among those that may read the store for the
  /// region; the VM with rank 0 reads it. The hubs come first, then the other
  /// VMs of each zone in their order as hubs. Hubs whose reads fail rank after
  /// the others. \p OwnReadsFail tells whether the reads of this VM fail.
  int readerRank(bool OwnReadsFail, time_point Now) const;

  /// Returns true if this VM and those of its zone with a recent heartbeat are
  /// at least half of the zone.
  bool receivesFromHalfOfZone(time_point Now) const;

  /// Returns the VMs of the own zone to remove from the list in the store.
  std::vector<std::string> removableVms(time_point Now) const;

  /// Returns the listed VMs of the own zone without a heartbeat for at least
  /// \p MinSilence.
  std::vector<std::string> silentVms(duration MinSilence, time_point Now) const;

private:
  struct member {
    entry_vm Vm;
    /// Rank as a hub: VMs with a larger capacity come first, because a hub
    /// handles the heartbeats of its whole zone.
    std::pair<double, std::uint64_t> HubWeight;
    time_point ListedAt{};
    time_point LastSeenAt{};
    time_point BackOffUntil{};
    time_point ProbedAt{};
    int Failures = 0;
    bool ReadsFail = false;
    bool HasTables = false;
    bool WasReady = false; ///< It may have been an owner.
  };

  /// A VM that was ready and is not listed any more, or not with the same
  /// incarnation.
  struct departed_vm {
    entry_vm Vm;
    time_point At{};
  };

  vm_directory(const entry_vm &Self, const vm_directory_settings &Settings)
      : Self(Self), Settings(Settings) {}

  void setListed(std::span<const entry_vm> Vms, time_point Now, bool HubsOnly);
  void rememberDeparted(const std::map<std::string, member> &Next,
                        time_point Now);
  bool startedBeforeSelf(const entry_vm &Vm) const;
  bool ranksBeforeSelf(const entry_vm &Vm, std::string_view Subject,
                       std::string_view Zone) const;
  bool isUsable(const member &Member, time_point Now) const;
  bool isLive(const member &Member, time_point Now) const {
    return Now - Member.LastSeenAt < Settings.LivenessTimeout;
  }
  bool mayBeHub() const;
  bool isHubCandidate(const member &Member, time_point Now) const;
  /// Returns the hubs of \p Zone; the pointers are valid until the next change.
  std::vector<const entry_vm *> hubsOf(std::string_view Zone,
                                       time_point Now) const;
  const entry_vm *bestOwner(std::string_view Subject, std::string_view Region,
                            std::string_view Zone, time_point Now) const;
  bool receivesFromMostOfZone(time_point Now) const;
  int largerZoneMembers(time_point Now) const;
  member *nextSilentHub(time_point Now);

  entry_vm Self;
  vm_directory_settings Settings;
  std::map<std::string, member> Members;
  bool ListsHubsOnly = false;
  std::vector<departed_vm> Departed; ///< Of the own region.
  std::optional<time_point> FirstListedAt;
  /// A VM that started before this one was listed.
  bool HasPredecessor = false;
  /// The members of the own zone by the hash of their name.
  std::unordered_map<std::uint32_t, member *> ZoneMembers;
};

} // namespace agatedale
