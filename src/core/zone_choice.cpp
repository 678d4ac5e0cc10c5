/// \file
/// Choice between server groups by told queue lengths.
#include "agatedale/zone_choice.h"

#include <algorithm>

namespace agatedale {

namespace {

/// Ranks groups that are passed over behind all others.
constexpr duration PassedOverCost = std::chrono::hours(1);

} // namespace

void zone_choice::onLoad(const group_id &Group, const group_load &Load,
                         time_point Now) {
  group_state &State = States[Group];
  State.Load = Load;
  State.ToldAt = Now;
  State.SentSince = 0;
  State.SilentUntil = time_point{};
}

void zone_choice::onSent(const group_id &Group) {
  ++States[Group].SentSince;
  ++States[Group].Outstanding;
}

void zone_choice::onAnswered(const group_id &Group) {
  group_state &State = States[Group];
  State.Outstanding = std::max(0, State.Outstanding - 1);
}

void zone_choice::onSilent(const group_id &Group, time_point Now, bool Lost) {
  States[Group].SilentUntil =
      Now + (Lost ? Settings.SilencePause : Settings.ChangePause);
}

duration zone_choice::expectedWait(const group_state &State,
                                   time_point Now) const {
  const bool Fresh = Now - State.ToldAt < Settings.LoadLifetime;
  if (!Fresh)
    return State.Outstanding * Settings.ZoneHop;
  const int Load = State.Load.Queued + State.Load.InFlight + State.SentSince;
  const int Limit = std::max(State.Load.Limit, 1);
  const int Waiting = std::max(0, Load - Limit + 1);
  const duration None =
      State.Load.Limit == 0 ? 10 * Settings.ZoneHop : duration::zero();
  return None + State.Load.Typical * Waiting / Limit;
}

std::optional<group_id> zone_choice::choose(std::span<const group_id> Groups,
                                            std::string_view OwnZone,
                                            time_point Now,
                                            const group_id *Except) const {
  std::vector<zone_candidate> Candidates;
  Candidates.reserve(Groups.size());
  for (const group_id &Group : Groups) {
    const bool IsOther = Group.Zone != OwnZone;
    Candidates.push_back(
        {Group, IsOther ? Settings.ZoneHop : duration::zero()});
  }
  return choose(Candidates, Now, Except);
}

std::optional<group_id>
zone_choice::choose(std::span<const zone_candidate> Candidates, time_point Now,
                    const group_id *Except) const {
  std::optional<group_id> Best;
  duration BestCost = duration::max();
  static const group_state NeverHeard;
  for (const auto &[Group, Hop] : Candidates) {
    const auto Found = States.find(Group);
    const group_state &State =
        Found == States.end() ? NeverHeard : Found->second;
    const bool PassedOver =
        Now < State.SilentUntil || (Except && Group == *Except);
    const duration Cost = expectedWait(State, Now) + Hop +
                          (PassedOver ? PassedOverCost : duration::zero());
    if (Cost >= BestCost)
      continue;
    BestCost = Cost;
    Best = Group;
  }
  return Best;
}

} // namespace agatedale
