/// \file
/// Entry VMs, their identities, and the order in which they own things.
#pragma once

#include "agatedale/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace agatedale {

/// One life of the process on an entry VM. A restarted process is another
/// identity, so it cannot be taken for one that made promises.
struct vm_id {
  std::string Name;
  std::uint64_t Incarnation = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const vm_id &) const = default;
};

/// What is known of an entry VM of the fleet.
struct entry_vm {
  vm_id Id;
  std::string Ip;
  std::string Zone;
  std::string Region;
  bool Ready = false;   ///< Has a configuration and serves.
  bool Leaving = false; ///< Stops; takes no new work and owns nothing.
  double Capacity = 1;  ///< Its share of a core; larger ones own more.
};

/// The weight of \p Vm for \p Subject under rendezvous hashing; the highest
/// weight owns the subject. Depends on names only, not on incarnations.
std::uint64_t rendezvousWeight(std::string_view Vm, std::string_view Subject);

/// A 64-bit hash that is equal on every entry VM.
std::uint64_t stableHash(std::string_view Text);

/// The entry VMs that this node believes to be alive: those it has heard
/// within the heartbeat timeout.
///
///   member_view Members = member_view::create(Self, HeartbeatTimeout);
///   Members.recordHeartbeat(Vm, Now);
///   std::vector<entry_vm> Live = Members.live(Now);
class member_view {
public:
  static member_view create(const entry_vm &Self, duration HeartbeatTimeout) {
    return member_view(Self, HeartbeatTimeout);
  }

  /// Records a sign of life.
  void recordHeartbeat(const entry_vm &Vm, time_point Now);

  /// Changes this node's own state.
  void setSelf(bool Ready, bool Leaving);

  /// Returns the members heard lately and this node, in the order of names.
  std::vector<entry_vm> live(time_point Now) const;

  /// Returns a member heard lately, or nothing.
  std::optional<entry_vm> find(const vm_id &Id, time_point Now) const;

  /// Returns the member named \p Name in its latest life, heard lately or not.
  std::optional<entry_vm> findByName(std::string_view Name) const;

  const entry_vm &self() const { return Self; }

  /// Returns the member that should own \p Subject: the highest rendezvous
  /// weight among the ready members of \p Zone, else of \p Region.
  std::optional<entry_vm> preferredOwner(std::string_view Subject,
                                         std::string_view Zone,
                                         std::string_view Region,
                                         time_point Now) const;

private:
  struct member {
    entry_vm Vm;
    time_point LastHeartbeatAt;
  };

  bool isLive(const member &Member, time_point Now) const;

  member_view(const entry_vm &Self, duration HeartbeatTimeout)
      : Self(Self), HeartbeatTimeout(HeartbeatTimeout) {}

  entry_vm Self;
  duration HeartbeatTimeout;
  std::map<std::string, member, std::less<>> Members;
};

/// Knows which lives of entry VMs have certainly ended, and for how long.
/// Proofs are: the platform dropped a VM from its list after having listed it,
/// a newer life of the same VM was heard, or the process said that it retires.
///
///   termination_tracker Terminations = termination_tracker::create(LeaseTime);
///   Terminations.onVmList(Names, Now);
///   if (Terminations.hasTerminated(Voter, Now)) ...
class termination_tracker {
public:
  /// \p Wait is how long after its proof an end counts: by then every promise
  /// of that life has lapsed.
  static termination_tracker create(duration Wait) {
    return termination_tracker(Wait);
  }

  /// Records one answer of the platform's list of VMs.
  void onVmList(std::span<const std::string> Names, time_point Now);

  /// Records that \p VmInstance was heard; earlier lives of its VM have ended.
  void onIncarnationSeen(const vm_id &VmInstance, time_point Now);

  /// Records that \p VmInstance said it makes no more promises.
  void onRetired(const vm_id &VmInstance, time_point Now);

  /// Returns true if \p VmInstance ended at least the waiting time ago.
  bool hasTerminated(const vm_id &VmInstance, time_point Now) const;

private:
  explicit termination_tracker(duration Wait) : Wait(Wait) {}

  duration Wait;
  std::set<std::string, std::less<>> Listed;
  std::map<std::string, time_point, std::less<>> UnlistedSince;
  std::map<std::string, std::pair<std::uint64_t, time_point>, std::less<>>
      LatestIncarnations;
  std::map<vm_id, time_point> RetiredSince;
};

} // namespace agatedale
