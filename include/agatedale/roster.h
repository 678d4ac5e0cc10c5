/// \file
/// The numbered roster of voters of a region, and how it changes.
#pragma once

#include "agatedale/clock.h"
#include "agatedale/entry_vm.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace agatedale {

/// The entry VMs of one region whose promises decide who owns what. It is kept
/// in the platform's table service, changed by compare-and-set only, and stays
/// as it is while the store is down. While Prior is not empty the change from
/// Prior to Voters is under way and a quorum needs a majority of both.
struct roster {
  std::uint64_t Epoch = 0;
  std::vector<vm_id> Voters;
  std::vector<vm_id> Prior;

  bool operator==(const roster &) const = default;
};

/// The most voters that a region has.
inline constexpr std::size_t MaxVoters = 7;

/// Returns true if \p Granted holds a majority of the voters of \p Roster, and
/// of the prior ones, leaving out those whose end \p Terminations is certain
/// of.
bool isQuorum(const roster &Roster, const std::set<vm_id> &Granted,
              const termination_tracker &Terminations, time_point Now);

/// Knows since when each voter has followed the current epoch.
///
///   roster_adoption Adoption;
///   Adoption.recordEpoch(Voter, Epoch, Now);
///   if (Adoption.isAdopted(Roster, Terminations, LeaseTime, Now)) ...
class roster_adoption {
public:
  /// Records that \p Voter follows \p Epoch.
  void recordEpoch(const vm_id &Voter, std::uint64_t Epoch, time_point Now);

  /// Returns true if a quorum has followed the epoch of \p Roster for \p
  /// MinDuration, so that no promise under an earlier epoch can still be in
  /// force.
  bool isAdopted(const roster &Roster, const termination_tracker &Terminations,
                 duration MinDuration, time_point Now) const;

private:
  struct followed_epoch {
    std::uint64_t Epoch = 0;
    time_point Since;
  };
  std::map<vm_id, followed_epoch> FollowedEpochs;
};

/// Returns the roster that should be written next, or nothing when the current
/// one is right or a change may not begin yet. The next roster either brings in
/// new voters beside the prior ones, or drops the prior ones after a quorum
/// adopted the change.
std::optional<roster> nextRoster(const roster &Current,
                                 std::span<const entry_vm> Live,
                                 const roster_adoption &Adoption,
                                 const termination_tracker &Terminations,
                                 duration LeaseTime, time_point Now);

} // namespace agatedale
