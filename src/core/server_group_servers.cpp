/// \file
/// Backend servers of a server group: concurrency limits, slot accounting,
/// outcomes, and selection.
#include "agatedale/server_group.h"
#include "attempt_outcome.h"

#include <algorithm>

namespace agatedale {

namespace {

/// Weight of a new service time in a server's moving average.
constexpr double ServerSmoothing = 0.3;

/// Weight of a new service time in the moving averages of the group and of its
/// routes.
constexpr double GroupSmoothing = 0.05;

/// Time after its last answer during which a server's average is used. Then its
/// service time counts as typical, so that a slow server is tried again.
constexpr duration ServerSpeedLifetime = std::chrono::milliseconds(500);

/// Validity of a load report. Interference from other VMs on the server's
/// machine changes in about this time.
constexpr duration ReportLifetime = std::chrono::milliseconds(150);

/// Score penalty that ranks the server that just failed a request last.
constexpr double AvoidedScore = 1e12;

/// Time during which a draining server is sent no requests.
constexpr duration DrainPause = std::chrono::seconds(1);

} // namespace

int server_group::slotsOf(const backend_server &Server) const {
  return Server.Slots > 0 ? Server.Slots : Settings.Service.Slots;
}

slot_limit_settings
server_group::limitSettings(const backend_server &Server) const {
  slot_limit_settings Limit;
  Limit.Slots = slotsOf(Server);
  Limit.WarmUpAnswers = Settings.Service.WarmUpAnswers;
  return Limit;
}

void server_group::reconfigure(const service &Service) {
  Settings.Service = Service;
  for (server_state &State : Servers) {
    State.Limit.reconfigure(limitSettings(State.Server));
    assignLearnedLimit(State);
  }
  resizeQueue();
}

int server_group::findServer(std::string_view Name) const {
  int Found = -1;
  for (std::size_t I = 0; I < Servers.size(); ++I) {
    if (Servers[I].Server.Name != Name)
      continue;
    Found = static_cast<int>(I);
    if (!Servers[I].Gone)
      break;
  }
  return Found;
}

void server_group::addServer(const backend_server &Server, bool HasJoined,
                             time_point Now) {
  server_state Fresh(Server, slot_limit::create(limitSettings(Server)));
  Fresh.ColdUntil = Now + Server.ColdLeft;
  Fresh.AwaitsFirstRequest = HasJoined;
  assignLearnedLimit(Fresh);
  if (Holds)
    Fresh.HeldUntil = Holds->heldUntil(Server.Name, Server.Start);
  for (server_state &State : Servers) {
    if (!State.Gone || occupied(State, Now) > 0)
      continue;
    State = std::move(Fresh);
    return;
  }
  Servers.push_back(std::move(Fresh));
}

void server_group::resizeQueue() {
  std::size_t Active = 0;
  for (const server_state &State : Servers)
    Active += State.Gone ? 0 : 1;
  Queue.setCapacity(Active * static_cast<std::size_t>(Settings.Service.Slots) *
                    static_cast<std::size_t>(Settings.Service.QueuePerSlot));
}

std::vector<group_action>
server_group::setServers(std::span<const backend_server> NewServers,
                         bool NewIsZoneActive, time_point Now) {
  if (NewIsZoneActive && !IsZoneActive) {
    for (server_state &State : Servers) {
      State.Limit.resetToCold();
      State.ColdUntil = Now + Settings.Service.ColdDuration;
    }
  }
  IsZoneActive = NewIsZoneActive;
  for (server_state &State : Servers)
    State.Gone = true;
  std::vector<backend_server> Added;
  for (const backend_server &Server : NewServers) {
    const auto Known = std::find_if(
        Servers.begin(), Servers.end(), [&Server](const server_state &State) {
          return State.Server.Name == Server.Name &&
                 State.Server.Address == Server.Address &&
                 State.Server.Start == Server.Start;
        });
    if (Known == Servers.end()) {
      Added.push_back(Server);
      continue;
    }
    if (Known->Server.Leaving && !Server.Leaving)
      Known->Limit.resetToCold();
    if (Known->Server.ColdLeft != Server.ColdLeft)
      Known->ColdUntil = Now + Server.ColdLeft;
    Known->Server = Server;
    Known->Limit.reconfigure(limitSettings(Server));
    assignLearnedLimit(*Known);
    Known->Gone = false;
  }
  const bool HadServers =
      std::any_of(Servers.begin(), Servers.end(),
                  [](const server_state &State) { return !State.Gone; });
  for (const backend_server &Server : Added)
    addServer(Server, HadServers, Now);
  resizeQueue();
  std::vector<group_action> Actions;
  dispatch(Now, Actions);
  return Actions;
}

int server_group::occupied(const server_state &State, time_point Now) const {
  int Taken = State.InFlight;
  if (Now < State.AssumedUntil)
    Taken += State.AssumedInFlight;
  for (const inherited_attempt &Inherited : State.Inherited)
    Taken += Now < Inherited.Deadline + Settings.CancelGrace ? 1 : 0;
  for (const time_point End : State.SlotReleaseTimes)
    Taken += Now < End ? 1 : 0;
  return Taken;
}

bool server_group::isClosed(const server_state &State, time_point Now) const {
  return State.Gone || State.Server.Leaving || !IsZoneActive ||
         Now < State.DrainingUntil || Now < State.HeldUntil ||
         isShutByRollout(State);
}

void server_group::hold(std::string_view Server, std::uint64_t Start,
                        time_point Until) {
  for (server_state &State : Servers) {
    if (State.Server.Name != Server || State.Server.Start != Start ||
        Until <= State.HeldUntil)
      continue;
    State.HeldUntil = Until;
    // It begins again with one request at a time, so that what has waited for
    // the end of the hold does not overload it at once.
    State.Limit.resetToCold();
  }
}

std::optional<time_point> server_group::allHeldUntil(time_point Now) const {
  std::optional<time_point> Earliest;
  for (const server_state &State : Servers) {
    if (State.Gone || State.Server.Leaving)
      continue;
    if (Now >= State.HeldUntil)
      return std::nullopt;
    Earliest = std::min(Earliest.value_or(State.HeldUntil), State.HeldUntil);
  }
  return Earliest;
}

double server_group::coldRate(const server_state &State, time_point Now) const {
  return Now < State.ColdUntil ? Settings.Service.ColdRequestsPerSecond : 0;
}

bool server_group::areEjectionsEnforced(time_point Now) const {
  std::size_t Open = 0;
  std::size_t Ejected = 0;
  for (const server_state &State : Servers) {
    if (isClosed(State, Now))
      continue;
    ++Open;
    Ejected += State.Health.isEjected(Now) ? 1 : 0;
  }
  return 2 * Ejected <= Open;
}

int server_group::freeSlots(const server_state &State, time_point Now) const {
  if (isClosed(State, Now) ||
      !State.StartLimiter.allows(Now, coldRate(State, Now)))
    return 0;
  if (EjectionsEnforced && State.Health.isEjected(Now))
    return 0;
  return std::max(0, allowedAt(State, Now) - occupied(State, Now));
}

double server_group::expectedMicros(const server_state &State,
                                    time_point Now) const {
  if (Now - State.LastReportAt < ReportLifetime)
    return std::max(State.ReportedSlowness * TypicalMicros, 1.0);
  const bool Known =
      State.SmoothedMicros > 0 && Now - State.AnsweredAt < ServerSpeedLifetime;
  return std::max(Known ? State.SmoothedMicros : TypicalMicros, 1.0);
}

int server_group::chooseServer(int Avoid, time_point Now, bool WarmOnly,
                               const work_item *Item) const {
  const version_choice Choice =
      Item ? choiceFor(*Item, Now) : version_choice::Any;
  int Best = -1;
  std::pair<double, attempt_id> BestRank;
  for (std::size_t I = 0; I < Servers.size(); ++I) {
    const server_state &State = Servers[I];
    const bool IsCold = State.Limit.isCold() || Now < State.ColdUntil;
    if (freeSlots(State, Now) <= 0 || (WarmOnly && IsCold) ||
        !maySend(State, Choice))
      continue;
    const bool IsAvoided = static_cast<int>(I) == Avoid;
    const double Score = expectedMicros(State, Now) * (1 + State.InFlight) +
                         (IsAvoided ? AvoidedScore : 0);
    const std::pair Rank{Score, State.LastAttempt};
    if (Best >= 0 && Rank >= BestRank)
      continue;
    BestRank = Rank;
    Best = static_cast<int>(I);
  }
  return WarmOnly && Best == Avoid ? -1 : Best;
}

int server_group::totalFree(time_point Now) const {
  int Free = 0;
  for (const server_state &State : Servers)
    Free += freeSlots(State, Now);
  return Free;
}

int server_group::totalLimit(time_point Now) const {
  int Total = 0;
  for (const server_state &State : Servers) {
    Total += isClosed(State, Now) ? 0 : allowedAt(State, Now);
  }
  return Total;
}

void server_group::recordAnswer(server_state &State, const attempt &Attempt,
                                time_point Now) {
  State.AnsweredAt = Now;
  recordConcurrency(State, Attempt, Now);
  const double Micros = static_cast<double>(toMicros(Now - Attempt.Started));
  const bool WasCold = State.Limit.isCold();
  State.Limit.onAnswer(Now - Attempt.Started, fromMicros(TypicalMicros));
  if (!WasCold && State.Limit.isCold())
    ++Counters.LimitCuts;
  const auto Request = Running.find(Attempt.Request);
  double &RouteTypicalMicros =
      RouteMicros[Request == Running.end() ? "" : Request->second.Item.Route];
  if (Request != Running.end())
    Hedges.record(Request->second.Item.Route, Now - Attempt.Started);
  const double Normalized = Micros / Attempt.Slowness;
  if (Settings.MeasuresSpeed && RouteTypicalMicros > 0)
    measureSpeed(State, Normalized / RouteTypicalMicros, Now);
  RouteTypicalMicros +=
      RouteTypicalMicros <= 0
          ? Normalized
          : GroupSmoothing * (Normalized - RouteTypicalMicros);
  TypicalMicros +=
      TypicalMicros <= 0 ? Micros : GroupSmoothing * (Micros - TypicalMicros);
  // Service times differ between routes, so the server's average is scaled from
  // the route's to the group's typical time.
  const double Scaled = Micros * TypicalMicros / RouteTypicalMicros;
  State.SmoothedMicros +=
      State.SmoothedMicros <= 0
          ? Scaled
          : ServerSmoothing * (Scaled - State.SmoothedMicros);
}

/// Returns true if a server shed a request while it had a free slot. Such a
/// server is not overloaded but fails some requests. Less load would not help,
/// and pausing the servers when all of them do so would leave hardly any.
bool server_group::shedWithFreeSlot(const server_state &State,
                                    attempt_outcome Outcome,
                                    time_point Now) const {
  return Outcome == attempt_outcome::Shed && State.ReportedFreeSlot &&
         Now - State.LastReportAt < ReportLifetime;
}

void server_group::recordHealth(server_state &State, attempt_outcome Outcome,
                                time_point Now) {
  const bool IsFullShed = Outcome == attempt_outcome::Shed &&
                          !shedWithFreeSlot(State, Outcome, Now);
  const bool IsInconclusive =
      IsFullShed || Outcome == attempt_outcome::NotSent ||
      Outcome == attempt_outcome::TooLate ||
      Outcome == attempt_outcome::Cancelled ||
      Outcome == attempt_outcome::Draining ||
      Outcome == attempt_outcome::BodyIncomplete ||
      (Outcome == attempt_outcome::Shed && Now < State.HeldUntil);
  if (IsInconclusive)
    return;
  State.Health.onResult(Outcome != attempt_outcome::Answered, Now);
  EjectionsEnforced = areEjectionsEnforced(Now);
}

void server_group::recordOutcome(server_state &State, const attempt &Attempt,
                                 attempt_outcome Outcome, time_point Now) {
  --State.InFlight;
  recordHealth(State, Outcome, Now);
  updateReachability(State, Outcome, Now);
  switch (Outcome) {
  case attempt_outcome::Answered:
    recordAnswer(State, Attempt, Now);
    return;
  case attempt_outcome::WrongServer:
    // The server list will soon remove the entry or update its address.
    State.DrainingUntil = Now + DrainPause;
    return;
  case attempt_outcome::ErrorAnswer:
    State.Limit.onErrorAnswer(Now);
    return;
  case attempt_outcome::Shed:
    // A hold takes the place of a lower limit and of an ejection.
    if (Now < State.HeldUntil || shedWithFreeSlot(State, Outcome, Now))
      return;
    State.Limit.onShed(Now);
    ++Counters.LimitCuts;
    return;
  case attempt_outcome::Draining:
    State.DrainingUntil = Now + DrainPause;
    State.Limit.resetToCold();
    return;
  case attempt_outcome::NotSent:
  case attempt_outcome::TooLate:
  case attempt_outcome::Cancelled:
    return;
  case attempt_outcome::ConnectFailed:
    State.Limit.onFailure(Now);
    ++Counters.LimitCuts;
    return;
  case attempt_outcome::BodyIncomplete:
    State.SlotReleaseTimes.push_back(Now + Settings.CancelGrace);
    return;
  case attempt_outcome::TimedOut:
  case attempt_outcome::ConnectionLost:
  case attempt_outcome::Truncated:
    break;
  }
  State.SlotReleaseTimes.push_back(std::max(Now, Attempt.Deadline) +
                                   Settings.CancelGrace);
  const bool StartedTooLate =
      Outcome == attempt_outcome::TimedOut && TypicalMicros > 0 &&
      Now - Attempt.Started <
          fromMicros(TypicalMicros * Settings.FailureFactor);
  if (StartedTooLate)
    return;
  State.Limit.onFailure(Now);
  ++Counters.LimitCuts;
}

void server_group::onRestart(std::string_view Server) {
  const int Index = findServer(Server);
  if (Index < 0)
    return;
  Servers[static_cast<std::size_t>(Index)].Limit.resetToCold();
  ++Counters.LimitCuts;
}

void server_group::resetIdleServers(time_point Now) {
  for (server_state &State : Servers) {
    const bool Silent =
        State.InFlight == 0 && Now - State.AnsweredAt >= Settings.IdleUntilCold;
    if (Silent && !State.Limit.isCold())
      State.Limit.resetToCold();
  }
}

void server_group::assumeOccupied(time_point Until) {
  for (server_state &State : Servers) {
    State.AssumedInFlight = slotsOf(State.Server);
    State.AssumedUntil = Until;
  }
}

std::vector<group_action> server_group::onLoadReport(std::string_view Server,
                                                     int InFlight,
                                                     time_point Now) {
  std::vector<group_action> Actions;
  const int Index = findServer(Server);
  if (Index < 0)
    return Actions;
  server_state &State = Servers[static_cast<std::size_t>(Index)];
  if (Now < State.AssumedUntil)
    State.AssumedInFlight =
        std::min(State.AssumedInFlight, std::max(0, InFlight - State.InFlight));
  dispatch(Now, Actions);
  return Actions;
}

void server_group::inherit(const inherited_attempt &Attempt) {
  const int Index = findServer(Attempt.Server);
  if (Index >= 0)
    Servers[static_cast<std::size_t>(Index)].Inherited.push_back(Attempt);
}

std::vector<group_action>
server_group::onInheritedAttemptEnd(std::string_view Server, attempt_id Attempt,
                                    time_point Now) {
  std::vector<group_action> Actions;
  const int Index = findServer(Server);
  if (Index < 0)
    return Actions;
  std::erase_if(Servers[static_cast<std::size_t>(Index)].Inherited,
                [Attempt](const inherited_attempt &Inherited) {
                  return Inherited.Attempt == Attempt;
                });
  dispatch(Now, Actions);
  return Actions;
}

group_load server_group::load(time_point Now) const {
  group_load Load;
  Load.Queued = static_cast<int>(Queue.size());
  Load.Limit = totalLimit(Now);
  Load.TypicalServiceTime = fromMicros(TypicalMicros);
  for (const server_state &State : Servers)
    Load.InFlight += occupied(State, Now);
  return Load;
}

std::vector<std::string> server_group::assumedServers(time_point Now) const {
  std::vector<std::string> Names;
  for (const server_state &State : Servers) {
    if (Now < State.AssumedUntil && State.AssumedInFlight > 0)
      Names.push_back(State.Server.Name);
  }
  return Names;
}

int server_group::inFlightAt(std::string_view Server) const {
  const int Index = findServer(Server);
  return Index < 0 ? 0 : Servers[static_cast<std::size_t>(Index)].InFlight;
}

int server_group::limitOf(std::string_view Server, time_point Now) const {
  const int Index = findServer(Server);
  return Index < 0 ? 0
                   : allowedAt(Servers[static_cast<std::size_t>(Index)], Now);
}

} // namespace agatedale
