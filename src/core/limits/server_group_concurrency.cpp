/// \file
/// Learned concurrency limits in a server group.
#include "agatedale/server_group.h"

#include <algorithm>

namespace agatedale {

namespace {

/// Relative slowdown of a request per attempt already in flight at the server,
/// as long as none was learned.
constexpr double SlowdownPerInFlight = 0.4;

} // namespace

void server_group::setLearnedLimits(concurrency_limits &NewLimits) {
  LearnedLimits = &NewLimits;
  for (server_state &State : Servers)
    assignLearnedLimit(State);
}

void server_group::assignLearnedLimit(server_state &State) const {
  if (LearnedLimits)
    State.Learned = LearnedLimits->of(
        {Settings.Service.Name, slotsOf(State.Server), State.Server.Version});
}

/// Returns how many requests \p State may have in flight.
int server_group::allowedAt(const server_state &State, time_point Now) const {
  const int Allowed = State.Limit.allowed(Now);
  if (!State.Learned)
    return Allowed;
  const auto Index = static_cast<std::size_t>(&State - Servers.data());
  return std::min(Allowed, State.Learned->allowed(Index, Servers.size(), Now));
}

/// Returns the expected service time of a request that is sent to \p State now,
/// relative to one at a server without other requests or, if a slowdown was
/// learned, to the mean of the service.
double server_group::relativeTime(const server_state &State) const {
  const std::optional<double> Known =
      State.Learned ? State.Learned->relativeTime(State.InFlight + 1)
                    : std::nullopt;
  return Known ? *Known : 1 + SlowdownPerInFlight * State.InFlight;
}

/// Returns the requests that are in flight at \p State with one that is sent
/// now, or zero if its service time will not be comparable: the server is cold
/// or recovers from a fault, its slowness is not known, or the previous owner
/// may have requests in flight there.
int server_group::comparableInFlight(const server_state &State,
                                     time_point Now) const {
  const bool IsSlownessKnown =
      !Settings.QueryServerLoad || hasFreshReport(State, Now);
  const bool IsWarm = !State.Limit.isCold() && Now >= State.ColdUntil;
  const bool IsOccupancyKnown =
      Now >= State.AssumedUntil || State.AssumedInFlight == 0;
  if (!State.Learned || !IsSlownessKnown || !IsWarm || !IsOccupancyKnown)
    return 0;
  return occupied(State, Now) + 1;
}

void server_group::recordConcurrency(const server_state &State,
                                     const attempt &Attempt,
                                     time_point Now) const {
  if (!State.Learned || Attempt.InFlight == 0)
    return;
  const auto Request = Running.find(Attempt.Request);
  if (Request == Running.end())
    return;
  const work_item &Item = Request->second.Item;
  std::optional<duration> TimeLeft;
  if (Item.Aim > time_point{})
    TimeLeft = Item.Aim - Attempt.Started;
  State.Learned->record({Item.Route, Attempt.InFlight, Now - Attempt.Started,
                         Attempt.Slowness, TimeLeft},
                        Now);
}

} // namespace agatedale
