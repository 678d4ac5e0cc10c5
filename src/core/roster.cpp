/// \file
/// Quorum evaluation and roster changes.
#include "agatedale/roster.h"

#include <algorithm>
#include <map>
#include <string>

namespace agatedale {

namespace {

/// Vote totals over one list of voters.
struct vote_count {
  std::size_t Eligible = 0; ///< Voters not known to have terminated.
  std::size_t Granted = 0;  ///< Eligible voters that granted.
};

vote_count countVotes(const std::vector<vm_id> &Voters,
                      const std::set<vm_id> &Granted,
                      const termination_tracker &Terminations, time_point Now) {
  vote_count Count;
  for (const vm_id &Voter : Voters) {
    if (Terminations.hasTerminated(Voter, Now))
      continue;
    ++Count.Eligible;
    Count.Granted += Granted.contains(Voter) ? 1 : 0;
  }
  return Count;
}

bool isMajority(const vote_count &Count) {
  return 2 * Count.Granted > Count.Eligible;
}

/// Returns true if no voter of the roster can have a grant in force.
bool allTerminated(const roster &Roster,
                   const termination_tracker &Terminations, time_point Now) {
  const std::set<vm_id> NoVoters;
  return countVotes(Roster.Voters, NoVoters, Terminations, Now).Eligible == 0 &&
         countVotes(Roster.Prior, NoVoters, Terminations, Now).Eligible == 0;
}

/// Returns the member to add as the next voter, from the zone with the fewest
/// voters, so that the failure of one zone does not cost the majority. Returns
/// null if no ready member is left.
const entry_vm *nextVoter(std::span<const entry_vm> Live,
                          const std::vector<vm_id> &Voters) {
  std::map<std::string, int> VotersInZone;
  for (const entry_vm &Vm : Live)
    VotersInZone[Vm.Zone] +=
        static_cast<int>(std::count(Voters.begin(), Voters.end(), Vm.Id));
  const entry_vm *Best = nullptr;
  for (const entry_vm &Vm : Live) {
    const bool IsVoter =
        std::find(Voters.begin(), Voters.end(), Vm.Id) != Voters.end();
    if (IsVoter || Vm.Leaving || !Vm.Ready)
      continue;
    if (!Best || VotersInZone[Vm.Zone] < VotersInZone[Best->Zone])
      Best = &Vm;
  }
  return Best;
}

/// Returns the current voters that have not terminated, filled up with live
/// members to MaxVoters.
std::vector<vm_id> desiredVoters(const roster &Current,
                                 std::span<const entry_vm> Live,
                                 const termination_tracker &Terminations,
                                 time_point Now) {
  std::vector<vm_id> Desired;
  for (const vm_id &Voter : Current.Voters) {
    if (!Terminations.hasTerminated(Voter, Now))
      Desired.push_back(Voter);
  }
  while (Desired.size() < MaxVoters) {
    const entry_vm *Next = nextVoter(Live, Desired);
    if (!Next)
      break;
    Desired.push_back(Next->Id);
  }
  std::sort(Desired.begin(), Desired.end());
  return Desired;
}

} // namespace

bool isQuorum(const roster &Roster, const std::set<vm_id> &Granted,
              const termination_tracker &Terminations, time_point Now) {
  if (!isMajority(countVotes(Roster.Voters, Granted, Terminations, Now)))
    return false;
  const vote_count Prior = countVotes(Roster.Prior, Granted, Terminations, Now);
  return Prior.Eligible == 0 || isMajority(Prior);
}

void roster_adoption::recordEpoch(const vm_id &Voter, std::uint64_t Epoch,
                                  time_point Now) {
  followed_epoch &Followed = FollowedEpochs[Voter];
  if (Followed.Epoch != Epoch)
    Followed = {Epoch, Now};
}

bool roster_adoption::isAdopted(const roster &Roster,
                                const termination_tracker &Terminations,
                                duration MinDuration, time_point Now) const {
  std::set<vm_id> Adopted;
  for (const auto &[Voter, Followed] : FollowedEpochs) {
    if (Followed.Epoch == Roster.Epoch && Now - Followed.Since >= MinDuration)
      Adopted.insert(Voter);
  }
  return isQuorum(Roster, Adopted, Terminations, Now);
}

std::optional<roster> nextRoster(const roster &Current,
                                 std::span<const entry_vm> Live,
                                 const roster_adoption &Adoption,
                                 const termination_tracker &Terminations,
                                 duration LeaseTime, time_point Now) {
  const std::vector<vm_id> Desired =
      desiredVoters(Current, Live, Terminations, Now);
  if (Desired.empty())
    return std::nullopt;
  if (allTerminated(Current, Terminations, Now))
    return roster{Current.Epoch + 1, Desired, {}};
  if (!Adoption.isAdopted(Current, Terminations, LeaseTime, Now))
    return std::nullopt;
  if (!Current.Prior.empty())
    return roster{Current.Epoch + 1, Current.Voters, {}};
  std::vector<vm_id> Voters = Current.Voters;
  std::sort(Voters.begin(), Voters.end());
  if (Desired == Voters)
    return std::nullopt;
  return roster{Current.Epoch + 1, Desired, Current.Voters};
}

} // namespace agatedale
