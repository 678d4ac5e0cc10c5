/// \file
/// The voters that grant leases in a region, and changes to that set.
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

/// The entry VMs of one region that vote on leases. The roster is stored in the
/// platform's table service, changes by compare-and-set only, and does not
/// change while the store is unavailable. While Prior is not empty, the roster
/// is a joint one: the change from Prior to Voters is in progress and a quorum
/// needs a majority of both.
struct roster {
  std::uint64_t Epoch = 0;
  std::vector<vm_id> Voters;
  std::vector<vm_id> Prior;

  bool operator==(const roster &) const = default;
};

/// Maximum number of voters in a region.
inline constexpr std::size_t MaxVoters = 7;

/// Returns true if \p Granted contains a majority of the voters of \p Roster
/// and a majority of its prior voters. Voters that \p Terminations reports as
/// terminated do not count.
bool isQuorum(const roster &Roster, const std::set<vm_id> &Granted,
              const termination_tracker &Terminations, time_point Now);

/// Tracks which epoch each voter follows, and since when.
///
///   roster_adoption Adoption;
///   Adoption.recordEpoch(Voter, Epoch, Now);
///   if (Adoption.isAdopted(Roster, Terminations, LeaseTime, Now)) ...
class roster_adoption {
public:
  /// Records that \p Voter follows \p Epoch.
  void recordEpoch(const vm_id &Voter, std::uint64_t Epoch, time_point Now);

  /// Returns true if a quorum has followed the epoch of \p Roster for at least
  /// \p MinDuration. With one lease time as the minimum, every grant of that
  /// quorum under an earlier epoch has expired.
  bool isAdopted(const roster &Roster, const termination_tracker &Terminations,
                 duration MinDuration, time_point Now) const;

private:
  struct followed_epoch {
    std::uint64_t Epoch = 0;
    time_point Since;
  };
  std::map<vm_id, followed_epoch> FollowedEpochs;
};

/// Returns the roster to write next, or nothing if the current one needs no
/// change or has not been adopted by a quorum yet. The next roster either adds
/// new voters as a joint roster or, once a quorum adopted the joint roster,
/// drops the prior voters. If all voters have terminated, it replaces them
/// directly.
std::optional<roster> nextRoster(const roster &Current,
                                 std::span<const entry_vm> Live,
                                 const roster_adoption &Adoption,
                                 const termination_tracker &Terminations,
                                 duration LeaseTime, time_point Now);

} // namespace agatedale
