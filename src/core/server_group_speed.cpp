/// \file
/// Placing requests on servers that are fast at the moment.
///
/// The load that it answers: servers share their machines, and for spells of
/// some 100 ms one in four works several times slower. A request that begins in
/// such a spell takes that much longer, so a moment's wait for a server that is
/// out of it is the shorter way.
#include "agatedale/server_group.h"
#include "attempt_outcome.h"

#include <algorithm>

namespace agatedale {

namespace {

/// How long a told speed is relied on; a fraction of a spell.
constexpr duration FreshReportAge = std::chrono::milliseconds(15);

/// Least time between two questions to a server: below the operators' bound of
/// 60 a second.
constexpr duration MinQueryInterval = std::chrono::milliseconds(20);

/// A question that is not answered by then is asked again.
constexpr duration QueryTimeout = std::chrono::milliseconds(150);

/// Slowness that is assumed of a server that did not tell it.
constexpr double DefaultSlowness = 3;

/// What each request that a server runs already adds to the next one's time.
constexpr double SlowdownPerInFlight = 0.4;

/// Waiting for a faster server ends this much before the aim would be missed.
constexpr double WaitingMargin = 1.15;

} // namespace

bool server_group::hasFreshReport(const server_state &State,
                                  time_point Now) const {
  return Now - State.LastReportAt <= FreshReportAge;
}

void server_group::applyReport(server_state &State, const server_report &Report,
                               time_point Now) {
  State.ReportedSlowness = Report.Slowness;
  State.ReportedFreeSlot =
      Report.Waiting == 0 && Report.Running < slotsOf(State.Server);
  State.LastReportAt = Now;
  if (Report.ColdLeft)
    State.ColdUntil = Now + *Report.ColdLeft;
}

std::vector<group_action>
server_group::onLoadQueryResult(std::string_view Server,
                                const server_report *Report, time_point Now) {
  std::vector<group_action> Actions;
  const int Index = findServer(Server);
  if (Index < 0)
    return Actions;
  server_state &State = Servers[static_cast<std::size_t>(Index)];
  State.IsQueryPending = false;
  server_report DefaultReport;
  DefaultReport.Slowness = DefaultSlowness;
  applyReport(State, Report ? *Report : DefaultReport, Now);
  dispatch(Now, Actions);
  refuseUnmeetable(Now, Actions);
  return Actions;
}

int server_group::chooseBySpeed(const work_item &Item, time_point Now) const {
  const double Service =
      static_cast<double>(toMicros(expectedServiceTime(Item)));
  const bool HasAim = Item.Aim > time_point{};
  const bool IsLastChance =
      HasAim && Now + fromMicros(Service * WaitingMargin) > Item.Aim;
  int Best = -1;
  double BestScore = 0;
  for (std::size_t I = 0; I < Servers.size(); ++I) {
    const server_state &State = Servers[I];
    const bool Known = hasFreshReport(State, Now) || IsLastChance;
    const bool IsAvoided =
        static_cast<int>(I) == Item.AvoidServer && !IsLastChance;
    if (freeSlots(State, Now) <= 0 || !Known || IsAvoided)
      continue;
    const double Score =
        State.ReportedSlowness * (1 + SlowdownPerInFlight * State.InFlight);
    const bool IsOnTime = !HasAim || IsLastChance ||
                          Now + fromMicros(Score * Service) <= Item.Aim;
    if (!IsOnTime || (Best >= 0 && Score >= BestScore))
      continue;
    Best = static_cast<int>(I);
    BestScore = Score;
  }
  return Best;
}

void server_group::dispatchBySpeed(time_point Now,
                                   std::vector<group_action> &Actions) {
  std::size_t Waiting = 0;
  for (const work_item &Item : Queue.itemsInOrder()) {
    if (startsTooLate(Item, Now)) {
      Queue.remove(Item.Id);
      refuse(Item, refusal_reason::DeadlinePassed, Now, Actions);
      continue;
    }
    const int Server = chooseBySpeed(Item, Now);
    if (Server < 0) {
      ++Waiting;
      continue;
    }
    Queue.remove(Item.Id);
    send(Item, Server, false, Now, Actions);
  }
  if (Waiting > 0)
    queryServerLoads(Waiting, Now, Actions);
}

void server_group::queryServerLoads(std::size_t Waiting, time_point Now,
                                    std::vector<group_action> &Actions) {
  std::vector<server_state *> Candidates;
  std::size_t PendingQueries = 0;
  for (server_state &State : Servers) {
    const bool IsPending =
        State.IsQueryPending && Now - State.LastQueryAt < QueryTimeout;
    PendingQueries += IsPending ? 1 : 0;
    if (IsPending || hasFreshReport(State, Now) || freeSlots(State, Now) <= 0 ||
        Now - State.LastQueryAt < MinQueryInterval)
      continue;
    Candidates.push_back(&State);
  }
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [](const server_state *Left, const server_state *Right) {
                     return Left->InFlight < Right->InFlight;
                   });
  // One more than there are requests: one in four is slow.
  for (server_state *State : Candidates) {
    if (PendingQueries >= Waiting + 1)
      return;
    ++PendingQueries;
    State->IsQueryPending = true;
    State->LastQueryAt = Now;
    Actions.push_back(
        load_query_action{State->Server.Name, State->Server.Address});
  }
}

} // namespace agatedale
