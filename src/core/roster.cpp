/// \file
/// Quorums and the change from one roster to the next.
#include "agatedale/roster.h"

#include <algorithm>
#include <map>
#include <string>

namespace agatedale {

namespace {

/// What the voters of one list amount to.
struct vote_count {
  std::size_t Able = 0;    ///< Voters whose end is not certain.
  std::size_t Granted = 0; ///< Those of them that granted.
};

vote_count countVotes(const std::vector<vm_id> &Voters,
                      const std::set<vm_id> &Granted, const departures &Ended,
                      time_point Now) {
  vote_count Count;
  for (const vm_id &Voter : Voters) {
    if (Ended.certain(Voter, Now))
      continue;
    ++Count.Able;
    Count.Granted += Granted.contains(Voter) ? 1 : 0;
  }
  return Count;
}

bool isMajority(const vote_count &Count) {
  return 2 * Count.Granted > Count.Able;
}

/// Returns true if no voter of the roster can have a promise in force.
bool allEnded(const roster &Roster, const departures &Ended, time_point Now) {
  const std::set<vm_id> Nobody;
  return countVotes(Roster.Voters, Nobody, Ended, Now).Able == 0 &&
         countVotes(Roster.Prior, Nobody, Ended, Now).Able == 0;
}

/// Returns the member that should become the next voter: one of the zone with
/// the fewest voters, so that a lost zone takes no majority with it.
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

/// Returns the voters that the live members should be, keeping present ones.
std::vector<vm_id> desiredVoters(const roster &Current,
                                 std::span<const entry_vm> Live,
                                 const departures &Ended, time_point Now) {
  std::vector<vm_id> Desired;
  for (const vm_id &Voter : Current.Voters) {
    if (!Ended.certain(Voter, Now))
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
              const departures &Ended, time_point Now) {
  if (!isMajority(countVotes(Roster.Voters, Granted, Ended, Now)))
    return false;
  const vote_count Prior = countVotes(Roster.Prior, Granted, Ended, Now);
  return Prior.Able == 0 || isMajority(Prior);
}

void roster_adoption::heard(const vm_id &Voter, std::uint64_t Epoch,
                            time_point Now) {
  following &Following = Followers[Voter];
  if (Following.Epoch != Epoch)
    Following = {Epoch, Now};
}

bool roster_adoption::isAdopted(const roster &Roster, const departures &Ended,
                                duration Wait, time_point Now) const {
  std::set<vm_id> Adopted;
  for (const auto &[Voter, Following] : Followers) {
    if (Following.Epoch == Roster.Epoch && Now - Following.Since >= Wait)
      Adopted.insert(Voter);
  }
  return isQuorum(Roster, Adopted, Ended, Now);
}

std::optional<roster> nextRoster(const roster &Current,
                                 std::span<const entry_vm> Live,
                                 const roster_adoption &Adoption,
                                 const departures &Ended, duration LeaseTime,
                                 time_point Now) {
  const std::vector<vm_id> Desired = desiredVoters(Current, Live, Ended, Now);
  if (Desired.empty())
    return std::nullopt;
  if (allEnded(Current, Ended, Now))
    return roster{Current.Epoch + 1, Desired, {}};
  if (!Adoption.isAdopted(Current, Ended, LeaseTime, Now))
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
