/// \file
/// The versions of a server group's servers while one is rolled out.
#include "agatedale/server_group.h"

#include <algorithm>

namespace agatedale {

namespace {

/// Time after a failed connection for which a server counts as not listening.
constexpr duration UnreachableTime = std::chrono::seconds(2);

} // namespace

std::vector<group_action>
server_group::setVersionShares(const std::optional<version_shares> &NewShares,
                               time_point Now) {
  std::vector<group_action> Actions;
  if (Shares == NewShares)
    return Actions;
  if (!NewShares || !Shares || Shares->Order != NewShares->Order) {
    Evidence.clear();
    NewShareDue = 0;
  }
  Shares = NewShares;
  updateOldVersion(Now);
  dispatch(Now, Actions);
  return Actions;
}

/// Returns the share of the new version. It is all if the last stage known was
/// to give it all and no server of another version can be reached: a VM that is
/// partitioned while a rollout is completed does not learn that these have
/// stopped. A connection that failed was not used, so nothing has run there.
double server_group::newShare() const {
  return IsOldGone ? 1 : Shares->NewShare;
}

void server_group::updateReachability(server_state &State,
                                      attempt_outcome Outcome, time_point Now) {
  const bool SaysNothing = Outcome == attempt_outcome::NotSent ||
                           Outcome == attempt_outcome::TooLate ||
                           Outcome == attempt_outcome::Cancelled;
  if (SaysNothing)
    return;
  State.UnreachableUntil = Outcome == attempt_outcome::ConnectFailed
                               ? Now + UnreachableTime
                               : time_point{};
  updateOldVersion(Now);
}

/// Finds out whether the group has a server of the new version and none of
/// another that can be reached, in a stage that has lapsed.
void server_group::updateOldVersion(time_point Now) {
  IsOldGone = false;
  if (!Shares || !Shares->IsFullStageLapsed)
    return;
  bool HasNew = false;
  for (const server_state &State : Servers) {
    if (State.Gone || State.Server.Leaving)
      continue;
    if (isNewVersion(State))
      HasNew = true;
    else if (Now >= State.UnreachableUntil)
      return;
  }
  IsOldGone = HasNew;
}

bool server_group::isNewVersion(const server_state &State) const {
  return Shares && State.Server.Version == Shares->To;
}

/// Returns true if no request may be sent to a server at the present stage.
bool server_group::isShutByRollout(const server_state &State) const {
  if (!Shares)
    return false;
  return isNewVersion(State) ? newShare() <= 0 && Shares->HasOld
                             : newShare() >= 1 && Shares->HasNew;
}

/// Chooses the version of a request for which no other VM has done so. The
/// shares are kept exactly and not at random, which suits groups with few
/// requests.
version_choice server_group::drawVersion() {
  constexpr double WholeRequest = 1 - 1e-9; // Shares add up inexactly.
  NewShareDue += newShare();
  if (NewShareDue < WholeRequest)
    return version_choice::Old;
  NewShareDue -= 1;
  return version_choice::New;
}

/// Returns the versions that may serve \p Item at the present stage, which may
/// differ from the one at which its version was chosen.
version_choice server_group::choiceFor(const work_item &Item,
                                       time_point Now) const {
  if (!Shares || Item.Versions == version_choice::Any)
    return version_choice::Any;
  if (newShare() <= 0)
    return version_choice::Old;
  if (newShare() >= 1)
    return version_choice::New;
  // The old version stands in for new servers without a free slot. The reverse
  // would send the new version more than its share under load.
  const bool HasFreeNew =
      Item.Versions == version_choice::New &&
      std::any_of(Servers.begin(), Servers.end(),
                  [this, Now](const server_state &State) {
                    return isNewVersion(State) && freeSlots(State, Now) > 0;
                  });
  return HasFreeNew ? version_choice::New : version_choice::Old;
}

bool server_group::maySend(const server_state &State,
                           version_choice Choice) const {
  if (Choice == version_choice::Old)
    return !isNewVersion(State);
  return Choice != version_choice::New || isNewVersion(State);
}

/// Returns true if the group has a server, busy or not, that may serve \p Item.
bool server_group::hasServerFor(const work_item &Item) const {
  if (!Shares || Item.Versions == version_choice::Any)
    return true;
  return std::any_of(
      Servers.begin(), Servers.end(), [&](const server_state &State) {
        if (State.Gone || State.Server.Leaving || isShutByRollout(State))
          return false;
        if (isNewVersion(State))
          return newShare() >= 1 ||
                 (newShare() > 0 && Item.Versions == version_choice::New);
        return newShare() < 1;
      });
}

/// Refuses queued requests that no server of the group may serve any more. They
/// are offered to another group.
void server_group::refuseUnservable(time_point Now,
                                    std::vector<group_action> &Actions) {
  if (!Shares)
    return;
  for (const work_item &Item : Queue.itemsInOrder()) {
    if (hasServerFor(Item))
      continue;
    Queue.remove(Item.Id);
    refuse(Item, refusal_reason::NoServer, Now, Actions);
  }
}

/// As dispatch() in the order of the queue; a request that waits for a server
/// of its version does not hold up those behind it.
void server_group::dispatchByVersion(time_point Now,
                                     std::vector<group_action> &Actions) {
  for (const work_item &Item : Queue.itemsInOrder()) {
    const int Server = chooseServer(Item.AvoidServer, Now, false, &Item);
    if (Server < 0)
      continue;
    Queue.remove(Item.Id);
    if (!Queue.empty() && startsTooLate(Item, Now))
      refuse(Item, refusal_reason::DeadlinePassed, Now, Actions);
    else
      send(Item, Server, false, Now, Actions);
  }
}

int server_group::inFlightAtOldVersion() const {
  int Count = 0;
  for (const server_state &State : Servers)
    Count += isNewVersion(State) ? 0 : State.InFlight;
  return Count;
}

void server_group::recordEvidence(const attempt &Attempt,
                                  attempt_outcome Outcome,
                                  const server_report *Report, time_point Now) {
  if (!Shares || Attempt.Abandoned)
    return;
  const server_state &State = Servers[static_cast<std::size_t>(Attempt.Server)];
  const auto Request = Running.find(Attempt.Request);
  response_tally Tally;
  switch (Outcome) {
  case attempt_outcome::Answered:
  case attempt_outcome::TimedOut: {
    // A request that timed out is compared by the time that it had.
    const double Slowness =
        std::max({1.0, Attempt.Slowness, Report ? Report->Slowness : 1.0});
    const auto Normalized = std::chrono::duration_cast<duration>(
        (Now - Attempt.Started) / Slowness);
    // A cold server is slow whatever its version.
    if (Attempt.Cold)
      Tally.Untimed = 1;
    else
      Tally.Times[response_tally::bucketOf(Normalized)] = 1;
    break;
  }
  case attempt_outcome::ErrorAnswer:
  case attempt_outcome::ConnectionLost:
  case attempt_outcome::Truncated:
    Tally.Failed = 1;
    break;
  default:
    // The server has not run the request, or was not allowed to finish it.
    return;
  }
  Evidence[{isNewVersion(State), State.Server.Name,
            Request == Running.end() ? std::string()
                                     : Request->second.Item.Route}]
      .add(Tally);
}

} // namespace agatedale
