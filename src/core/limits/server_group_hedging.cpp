/// \file
/// Hedged requests of a server group.
#include "agatedale/server_group.h"

namespace agatedale {

/// Returns true if a slow attempt is the only one of its request and may be
/// repeated.
bool server_group::isHedgeable(const attempt &Attempt, time_point Now) const {
  const auto Request = Running.find(Attempt.Request);
  if (Attempt.Abandoned || Attempt.Hedge || Request == Running.end())
    return false;
  const work_item &Item = Request->second.Item;
  const bool IsBelowBound =
      Item.MaxAttempts == 0 || Item.AttemptsMade < Item.MaxAttempts;
  if (Request->second.Attempts.size() != 1 || !Item.Idempotent ||
      !Item.Repeatable || !IsBelowBound)
    return false;
  const std::optional<duration> Slow =
      Hedges.isEnabled() ? Hedges.ageOf(Item.Route)
                         : std::optional<duration>(std::chrono::microseconds(
                               static_cast<std::int64_t>(
                                   TypicalMicros * Settings.HedgeFactor)));
  return Slow && Now - Attempt.Started >= *Slow && canFinish(Item, Now);
}

void server_group::hedgeSlowAttempts(time_point Now,
                                     std::vector<group_action> &Actions) {
  // Requests that wait need the free slots.
  if (!Settings.Hedging || !Queue.empty() || TypicalMicros <= 0)
    return;
  if (load(Now).InFlight > Settings.HedgeMaxUtilization * totalLimit(Now))
    return;
  std::vector<attempt_id> Candidates;
  for (const auto &[Id, Attempt] : Attempts) {
    if (isHedgeable(Attempt, Now))
      Candidates.push_back(Id);
  }
  for (const attempt_id Id : Candidates) {
    attempt &Slow = Attempts.at(Id);
    const int Server =
        chooseServer(Slow.Server, Now, true, &Running.at(Slow.Request).Item);
    if (Server < 0)
      return;
    const bool IsAllowed =
        (!Hedges.isEnabled() || Hedges.tryTake()) && Budget.tryWithdraw();
    if (!IsAllowed) {
      Counters.HedgesRefused += Slow.HedgeRefused ? 0 : 1;
      Slow.HedgeRefused = true;
      return;
    }
    ++Counters.Hedges;
    const work_item Item = Running.at(Slow.Request).Item;
    send(Item, Server, true, Now, Actions);
  }
}

} // namespace agatedale
