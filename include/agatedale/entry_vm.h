/// \file
/// Entry VMs: identity, membership and rendezvous hashing.
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

/// Identifies one incarnation of the process on an entry VM. A restarted
/// process has another identity, so it is never mistaken for the process that
/// granted leases before.
struct vm_id {
  std::string Name;
  std::uint64_t Incarnation = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const vm_id &) const = default;
};

/// An entry VM of the fleet and its last reported state.
struct entry_vm {
  vm_id Id;
  std::string Ip;
  std::string Zone;
  std::string Region;
  bool Ready = false;        ///< Has a configuration and serves requests.
  bool Leaving = false;      ///< Shutting down; accepts no new work and is not
                             ///< chosen as an owner.
  double Capacity = 1;       ///< In cores; the weight in hashing.
  double LinkMegabits = 1e6; ///< Speed of its link, per second.
};

/// Returns the weight of \p Vm for \p Subject in rendezvous hashing. The VM
/// with the highest weight owns the subject. The weight depends on the VM's
/// name but not on its incarnation, so that a restart moves no subjects.
std::uint64_t rendezvousWeight(std::string_view Vm, std::string_view Subject);

/// Returns a 64-bit hash of \p Text that is equal on every entry VM.
std::uint64_t stableHash(std::string_view Text);

/// The live entry VMs as seen by this node: those whose last heartbeat arrived
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

  /// Records a heartbeat. One from an earlier incarnation is ignored.
  void recordHeartbeat(const entry_vm &Vm, time_point Now);

  /// Sets the state of this node.
  void setSelf(bool Ready, bool Leaving);

  /// Returns this node and the live members, ordered by name.
  std::vector<entry_vm> live(time_point Now) const;

  /// Returns the live member with identity \p Id, or nothing.
  std::optional<entry_vm> find(const vm_id &Id, time_point Now) const;

  /// Returns the latest incarnation of the member named \p Name, live or not.
  std::optional<entry_vm> findByName(std::string_view Name) const;

  const entry_vm &self() const { return Self; }

  /// Returns the member that should own \p Subject: the one with the highest
  /// rendezvous weight among the ready members of \p Zone or, if there is none,
  /// of \p Region.
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

/// Tracks which incarnations of entry VMs have provably terminated. Evidence of
/// termination is that the platform removed the VM from its list, that a newer
/// incarnation of the same VM was seen, or that the process reported that it
/// retired. Missing heartbeats are no evidence: a paused process can resume. A
/// VM that was never listed is not considered removed.
///
///   termination_tracker Terminations = termination_tracker::create(LeaseTime);
///   Terminations.onVmList(Names, Now);
///   if (Terminations.hasTerminated(Voter, Now)) ...
class termination_tracker {
public:
  /// \p Wait is the time between the evidence and the moment when the
  /// termination counts. With one lease time, all grants of the incarnation
  /// have expired.
  static termination_tracker create(duration Wait) {
    return termination_tracker(Wait);
  }

  /// Records a snapshot of the platform's list of VMs.
  void onVmList(std::span<const std::string> Names, time_point Now);

  /// Records that \p VmInstance was seen, which proves that earlier
  /// incarnations of its VM have terminated.
  void onIncarnationSeen(const vm_id &VmInstance, time_point Now);

  /// Records that \p VmInstance reported that it grants no more leases.
  void onRetired(const vm_id &VmInstance, time_point Now);

  /// Returns true if the evidence that \p VmInstance terminated is at least the
  /// waiting time old.
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
