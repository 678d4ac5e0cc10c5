/// \file
/// Which entry VMs can be handed work, and which of them owns a server group.
#pragma once

#include "agatedale/entry_vm.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace agatedale {

/// What a vm_directory is built from.
struct vm_directory_settings {
  /// A VM of the own zone that was not heard for this long, by this VM or by
  /// those that told it, is taken as lost: three heartbeats and the way.
  duration LivenessTimeout = std::chrono::milliseconds(950);
  /// VMs of a zone that hear all others of it and tell them of each other.
  std::size_t HubsPerZone = 2;
  /// A VM that failed a hand-over is passed over for this long at first.
  duration InitialForwardBackOff = std::chrono::milliseconds(500);
  duration MaxForwardBackOff = std::chrono::seconds(4);
  /// A VM of the own zone that was silent for this long is taken off the list
  /// by one that hears most of the zone.
  duration RemovalTimeout = std::chrono::seconds(5);
  /// The same by one that hears fewer: it may be the one that is cut off.
  duration MinorityRemovalTimeout = std::chrono::seconds(15);
};

/// What one VM has heard of another one of its zone.
struct zone_member {
  std::uint32_t NameHash = 0;
  time_point LastSeenAt{};
  bool Ready = false;
  bool Leaving = false;
};

/// The entry VMs that the store lists, with what this VM has seen of them. The
/// owner of a group is found by rendezvous hashing over those that can be used,
/// so that VMs which see the same fleet agree without asking each other. Two
/// VMs that disagree for a moment send to the same servers; each keeps to the
/// slots, and servers queue what is beyond them.
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

  /// Takes over the list of VMs in the store.
  void setListed(std::span<const entry_vm> Vms, time_point Now);

  /// Records a sign of life of \p Name with what it says of itself.
  void recordHeartbeat(const std::string &Name, bool Ready, bool Leaving,
                       time_point Now);

  /// Records whether \p Name said that its reads of the store fail.
  void setReadsFail(const std::string &Name, bool Fail);

  /// Takes in what a hub of the own zone has heard.
  void mergeZoneMember(const zone_member &ZoneMember);

  /// Returns what this VM knows of its zone, for others of it.
  std::vector<zone_member> zoneMembers(time_point Now) const;

  /// Returns the VMs that heartbeats go to: hubs, and while one that would be a
  /// hub is silent, one of those in turn, so that VMs which lost sight of each
  /// other meet again at the same ones.
  std::vector<entry_vm> heartbeatPeers(time_point Now);

  /// Records that a request handed to \p Name got no answer, or that it did.
  void recordForwardFailure(const std::string &Name, time_point Now);
  void recordForwardSuccess(const std::string &Name);

  void setSelf(bool Ready, bool Leaving);
  const entry_vm &self() const { return Self; }

  /// Returns the other VMs that the store lists, of the own region first.
  std::vector<entry_vm> otherVms() const;

  /// Returns the listed VM named \p Name.
  std::optional<entry_vm> find(const std::string &Name) const;

  /// Returns true if \p Name can be handed work.
  bool isUsable(const std::string &Name, time_point Now) const;

  /// Returns the VM that should dispatch for \p Subject, which stands in
  /// \p Zone: one of that zone, else one of its region.
  std::optional<entry_vm> ownerOf(std::string_view Subject,
                                  std::string_view Zone,
                                  std::string_view Region,
                                  time_point Now) const;

  /// Returns the place of this VM among those that read the store for the
  /// region: 0 for the reader, one of the hubs. Those whose reads fail come
  /// last; \p OwnReadsFail says so of this VM.
  int readerRank(bool OwnReadsFail, time_point Now) const;

  /// Returns the VMs of the own zone that should be taken off the list.
  std::vector<std::string> removableVms(time_point Now) const;

  /// Returns the listed VMs of the own zone that were silent for \p MinSilence.
  std::vector<std::string> silentVms(duration MinSilence, time_point Now) const;

private:
  struct member {
    entry_vm Vm;
    time_point ListedAt{};
    time_point LastSeenAt{};
    time_point BackOffUntil{};
    time_point ProbedAt{};
    int Failures = 0;
    bool ReadsFail = false;
  };

  vm_directory(const entry_vm &Self, const vm_directory_settings &Settings)
      : Self(Self), Settings(Settings) {}

  bool isUsable(const member &Member, time_point Now) const;
  bool isHubCandidate(const member &Member, time_point Now) const;
  std::vector<entry_vm> hubsOf(std::string_view Zone, time_point Now) const;
  bool isHub(time_point Now) const;
  bool receivesFromMostOfZone(time_point Now) const;
  member *nextSilentHub(time_point Now);

  entry_vm Self;
  vm_directory_settings Settings;
  std::map<std::string, member> Members;
};

} // namespace agatedale
