/// \file
/// Dispatch to the servers that currently report a low slowness.
///
/// Servers share their machines with other VMs: at any time about one server in
/// four is several times slower, for periods of some 100 ms. A request that
/// starts in such a period is slow as a whole, so that waiting briefly for a
/// fast server gives a shorter response time.
#include "agatedale/server_group.h"
#include "attempt_outcome.h"

#include <algorithm>
#include <cmath>

namespace agatedale {

namespace {

/// Maximum age of a fresh load report; a fraction of a slow period.
constexpr duration FreshReportAge = std::chrono::milliseconds(15);

/// Minimum time between two load queries to a server. The operators allow at
/// most 60 per second.
constexpr duration MinQueryInterval = std::chrono::milliseconds(20);

/// Time after which an unanswered load query may be repeated.
constexpr duration QueryTimeout = std::chrono::milliseconds(150);

/// Slowness assumed for a server that did not answer its load query.
constexpr double DefaultSlowness = 3;

/// Requests to a server after which its load is queried although its answers
/// report it: only the answer to a query says that it has become cold. A cold
/// server may get 9 requests in a second at a warm-up rate of 2.7. A request is
/// sent before each check, and some before the query is answered. A server that
/// gets fewer in a second cannot exceed the bound and is not queried for it.
constexpr int RequestsPerQuery = 4;

/// Weight of a new service time in the measured slowness of a server.
constexpr double SpeedSmoothing = 0.2;

/// Time in which half of the measured slowness is forgotten, so that the server
/// is tried again.
constexpr double ForgetSeconds = 2;

/// Service times vary, and a server can become slow while it works on a request
/// without being slower than it reports: smaller differences are ignored.
constexpr double NoticedSlowness = 1.5;

/// A single stalled request does not keep a server out for many seconds.
constexpr double MaxHiddenSlowness = 5;

/// Expected service times before the target time at which a request stops
/// waiting for a faster server.
constexpr double WaitingMargin = 1.15;

} // namespace

bool server_group::hasFreshReport(const server_state &State,
                                  time_point Now) const {
  return Now - State.LastReportAt <= FreshReportAge;
}

void server_group::applyReport(server_state &State, const server_report &Report,
                               time_point Now) {
  if (Report.ColdLeft)
    State.ColdUntil = Now + *Report.ColdLeft;
  if (!Report.HasLoad)
    return;
  State.ReportedSlowness = Report.Slowness;
  State.ReportedFreeSlot =
      Report.Waiting == 0 && Report.Running < slotsOf(State.Server);
  State.LastReportAt = Now;
}

/// Returns how many times slower a server is than it reports.
double server_group::hiddenSlowness(const server_state &State,
                                    time_point Now) const {
  if (!Settings.MeasuresSpeed)
    return 1;
  const double Age =
      std::chrono::duration<double>(Now - State.MeasuredAt).count();
  const double Known =
      1 + (State.HiddenSlowness - 1) * std::exp2(-Age / ForgetSeconds);
  return Known < NoticedSlowness ? 1 : Known;
}

void server_group::measureSpeed(server_state &State, double Factor,
                                time_point Now) const {
  State.HiddenSlowness +=
      SpeedSmoothing *
      (std::min(Factor, MaxHiddenSlowness) - State.HiddenSlowness);
  State.MeasuredAt = Now;
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
  if (Report)
    applyReport(State, *Report, Now);
  if (!Report || !Report->HasLoad)
    applyReport(State, DefaultReport, Now);
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
  const version_choice Choice = choiceFor(Item, Now);
  int Best = -1;
  double BestScore = 0;
  for (std::size_t I = 0; I < Servers.size(); ++I) {
    const server_state &State = Servers[I];
    const bool Known = hasFreshReport(State, Now) || IsLastChance;
    const bool IsAvoided =
        static_cast<int>(I) == Item.AvoidServer && !IsLastChance;
    if (freeSlots(State, Now) <= 0 || !Known || IsAvoided ||
        !maySend(State, Choice))
      continue;
    const double Score = State.ReportedSlowness * relativeTime(State) *
                         hiddenSlowness(State, Now);
    if (!IsLastChance && leavesToUrgent(Item, State, Now))
      continue;
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
  std::map<version_choice, std::size_t> Waiting;
  for (const work_item &Item : Queue.itemsInOrder()) {
    if (startsTooLate(Item, Now)) {
      Queue.remove(Item.Id);
      refuse(Item, refusal_reason::DeadlinePassed, Now, Actions);
      continue;
    }
    const int Server = chooseBySpeed(Item, Now);
    if (Server < 0) {
      ++Waiting[choiceFor(Item, Now)];
      continue;
    }
    Queue.take(Item.Id);
    send(Item, Server, false, Now, Actions);
  }
  for (const auto &[Choice, Count] : Waiting)
    queryServerLoads(Count, Choice, Now, Actions);
}

void server_group::queryServerLoads(std::size_t Waiting, version_choice Choice,
                                    time_point Now,
                                    std::vector<group_action> &Actions) {
  std::vector<server_state *> Candidates;
  std::size_t PendingQueries = 0;
  for (server_state &State : Servers) {
    if (!maySend(State, Choice))
      continue;
    const bool IsPending =
        State.IsQueryPending && Now - State.LastQueryAt < QueryTimeout;
    PendingQueries += IsPending ? 1 : 0;
    if (IsPending || hasFreshReport(State, Now) || freeSlots(State, Now) <= 0 ||
        Now - State.LastQueryAt < MinQueryInterval)
      continue;
    Candidates.push_back(&State);
  }
  // Among idle servers one that has joined comes first: while the others have
  // room for everything, it would never be queried and so get no request.
  std::stable_sort(
      Candidates.begin(), Candidates.end(),
      [](const server_state *Left, const server_state *Right) {
        return std::pair(Left->InFlight, !Left->AwaitsFirstRequest) <
               std::pair(Right->InFlight, !Right->AwaitsFirstRequest);
      });
  // One more query than waiting requests, because one server in four is slow.
  for (server_state *State : Candidates) {
    if (PendingQueries >= Waiting + 1)
      return;
    ++PendingQueries;
    State->IsQueryPending = true;
    State->LastQueryAt = Now;
    State->SentSinceQuery = 0;
    Actions.push_back(load_query_action{
        State->Server.Name, State->Server.Address, State->Server.Start});
  }
}

void server_group::countSent(server_state &State, time_point Now) {
  const double Age = std::chrono::duration<double>(Now - State.SentAt).count();
  State.SentRecently = State.SentRecently * std::exp(-Age) + 1;
  State.SentAt = Now;
  ++State.SentSinceQuery;
}

/// Queries servers that report their load with every answer, to notice those
/// that become cold while they serve.
void server_group::queryBusyServers(time_point Now,
                                    std::vector<group_action> &Actions) {
  if (!Settings.QueryServerLoad || Settings.Service.ColdRequestsPerSecond <= 0)
    return;
  for (server_state &State : Servers) {
    const bool IsPending =
        State.IsQueryPending && Now - State.LastQueryAt < QueryTimeout;
    if (IsPending || State.SentSinceQuery < RequestsPerQuery ||
        State.SentRecently < RequestsPerQuery || isClosed(State, Now) ||
        Now < State.ColdUntil || Now - State.LastQueryAt < MinQueryInterval)
      continue;
    State.IsQueryPending = true;
    State.LastQueryAt = Now;
    State.SentSinceQuery = 0;
    Actions.push_back(load_query_action{State.Server.Name, State.Server.Address,
                                        State.Server.Start});
  }
}

} // namespace agatedale
