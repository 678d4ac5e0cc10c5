/// \file
/// The backend servers of one server group: their limits, what they run, and
/// the choice between them.
#include "agatedale/server_group.h"
#include "attempt_outcome.h"

#include <algorithm>

namespace agatedale {

namespace {

/// Weight of a new service time in a server's smoothed one.
constexpr double ServerSmoothing = 0.3;

/// Weight of a new service time in the group's typical one.
constexpr double GroupSmoothing = 0.05;

/// How long a server's own speed is remembered after its last answer; then it
/// counts as typical, so that a server that was slow once is tried again.
constexpr duration SpeedMemory = std::chrono::milliseconds(500);

/// How long the slowness that a server told is believed; neighbours on its
/// machine come and go within about that time.
constexpr duration ToldMemory = std::chrono::milliseconds(150);

/// Ranks the server that just failed a request behind all others.
constexpr double AvoidedScore = 1e12;

/// How long a server that says it is draining gets no new work.
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
  for (server_state &State : Servers)
    State.Limit.reconfigure(limitSettings(State.Server));
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

void server_group::addServer(const backend_server &Server, time_point Now) {
  server_state Fresh(Server, slot_limit::create(limitSettings(Server)));
  Fresh.ColdUntil = Now + Server.ColdLeft;
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
                         bool NewZoneIn, time_point Now) {
  if (NewZoneIn && !ZoneIn) {
    for (server_state &State : Servers) {
      State.Limit.turnCold();
      State.ColdUntil = Now + Settings.Service.ColdDuration;
    }
  }
  ZoneIn = NewZoneIn;
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
      Known->Limit.turnCold();
    if (Known->Server.ColdLeft != Server.ColdLeft)
      Known->ColdUntil = Now + Server.ColdLeft;
    Known->Server = Server;
    Known->Gone = false;
  }
  for (const backend_server &Server : Added)
    addServer(Server, Now);
  resizeQueue();
  std::vector<group_action> Actions;
  dispatch(Now, Actions);
  return Actions;
}

int server_group::occupied(const server_state &State, time_point Now) const {
  int Taken = State.InFlight;
  if (Now < State.AssumedUntil)
    Taken += State.Assumed;
  for (const inherited_attempt &Inherited : State.Inherited)
    Taken += Now < Inherited.Deadline + Settings.CancelGrace ? 1 : 0;
  for (const time_point End : State.Lingering)
    Taken += Now < End ? 1 : 0;
  return Taken;
}

bool server_group::isClosed(const server_state &State, time_point Now) const {
  return State.Gone || State.Server.Leaving || !ZoneIn ||
         Now < State.DrainingUntil;
}

double server_group::coldRate(const server_state &State, time_point Now) const {
  return Now < State.ColdUntil ? Settings.Service.ColdRequestsPerSecond : 0;
}

bool server_group::ejectionsCount(time_point Now) const {
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
  if (isClosed(State, Now) || !State.Pace.allows(Now, coldRate(State, Now)))
    return 0;
  if (EjectionsCount && State.Health.isEjected(Now))
    return 0;
  return std::max(0, State.Limit.allowed(Now) - occupied(State, Now));
}

double server_group::expectedMicros(const server_state &State,
                                    time_point Now) const {
  if (Now - State.ToldAt < ToldMemory)
    return std::max(State.ToldSlowness * TypicalMicros, 1.0);
  const bool Known =
      State.SmoothedMicros > 0 && Now - State.AnsweredAt < SpeedMemory;
  return std::max(Known ? State.SmoothedMicros : TypicalMicros, 1.0);
}

int server_group::chooseServer(int Avoid, time_point Now, bool WarmOnly) const {
  int Best = -1;
  std::pair<double, attempt_id> BestRank;
  for (std::size_t I = 0; I < Servers.size(); ++I) {
    const server_state &State = Servers[I];
    if (freeSlots(State, Now) <= 0 || (WarmOnly && State.Limit.isCold()))
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
    Total += isClosed(State, Now) ? 0 : State.Limit.allowed(Now);
  }
  return Total;
}

void server_group::recordAnswer(server_state &State, const attempt &Attempt,
                                time_point Now) {
  State.AnsweredAt = Now;
  const double Micros = static_cast<double>(toMicros(Now - Attempt.Started));
  const bool WasCold = State.Limit.isCold();
  State.Limit.onAnswer(Now - Attempt.Started, fromMicros(TypicalMicros));
  if (!WasCold && State.Limit.isCold())
    ++Counters.LimitCuts;
  const auto Request = Running.find(Attempt.Request);
  double &OfRoute =
      RouteMicros[Request == Running.end() ? "" : Request->second.Item.Route];
  const double AsUsual = Micros / Attempt.Slowness;
  OfRoute += OfRoute <= 0 ? AsUsual : GroupSmoothing * (AsUsual - OfRoute);
  TypicalMicros +=
      TypicalMicros <= 0 ? Micros : GroupSmoothing * (Micros - TypicalMicros);
  // Routes take unlike long; a server's speed is told by the ratio.
  const double Scaled = Micros * TypicalMicros / OfRoute;
  State.SmoothedMicros +=
      State.SmoothedMicros <= 0
          ? Scaled
          : ServerSmoothing * (Scaled - State.SmoothedMicros);
}

/// A server that refuses though it has room is not overloaded but failing a
/// part of its requests. Less load would not help it, and when all servers of a
/// service do so, pauses would leave hardly any to serve.
bool server_group::refusedWithRoom(const server_state &State,
                                   attempt_outcome Outcome,
                                   time_point Now) const {
  return Outcome == attempt_outcome::Shed && State.ToldRoom &&
         Now - State.ToldAt < ToldMemory;
}

void server_group::recordHealth(server_state &State, attempt_outcome Outcome,
                                time_point Now) {
  const bool IsFullShed =
      Outcome == attempt_outcome::Shed && !refusedWithRoom(State, Outcome, Now);
  const bool SaysNothing = IsFullShed || Outcome == attempt_outcome::NotSent ||
                           Outcome == attempt_outcome::Cancelled ||
                           Outcome == attempt_outcome::Draining ||
                           Outcome == attempt_outcome::BodyIncomplete;
  if (SaysNothing)
    return;
  State.Health.onResult(Outcome != attempt_outcome::Answered, Now);
  EjectionsCount = ejectionsCount(Now);
}

void server_group::recordOutcome(server_state &State, const attempt &Attempt,
                                 attempt_outcome Outcome, time_point Now) {
  --State.InFlight;
  recordHealth(State, Outcome, Now);
  switch (Outcome) {
  case attempt_outcome::Answered:
    recordAnswer(State, Attempt, Now);
    return;
  case attempt_outcome::WrongServer:
    // Its entry goes soon, or names its new address.
    State.DrainingUntil = Now + DrainPause;
    return;
  case attempt_outcome::ErrorAnswer:
    State.Limit.onErrorAnswer(Now);
    return;
  case attempt_outcome::Shed:
    if (refusedWithRoom(State, Outcome, Now))
      return;
    State.Limit.onShed(Now);
    ++Counters.LimitCuts;
    return;
  case attempt_outcome::Draining:
    State.DrainingUntil = Now + DrainPause;
    State.Limit.turnCold();
    return;
  case attempt_outcome::NotSent:
  case attempt_outcome::Cancelled:
    return;
  case attempt_outcome::ConnectFailed:
    State.Limit.onFailure(Now);
    ++Counters.LimitCuts;
    return;
  case attempt_outcome::BodyIncomplete:
    State.Lingering.push_back(Now + Settings.CancelGrace);
    return;
  case attempt_outcome::TimedOut:
  case attempt_outcome::Broke:
  case attempt_outcome::Truncated:
    break;
  }
  State.Lingering.push_back(std::max(Now, Attempt.Deadline) +
                            Settings.CancelGrace);
  const bool BeganTooLate =
      Outcome == attempt_outcome::TimedOut && TypicalMicros > 0 &&
      Now - Attempt.Started <
          fromMicros(TypicalMicros * Settings.FailureFactor);
  if (BeganTooLate)
    return;
  State.Limit.onFailure(Now);
  ++Counters.LimitCuts;
}

void server_group::onRestart(std::string_view Server) {
  const int Index = findServer(Server);
  if (Index < 0)
    return;
  Servers[static_cast<std::size_t>(Index)].Limit.turnCold();
  ++Counters.LimitCuts;
}

void server_group::coolSilentServers(time_point Now) {
  for (server_state &State : Servers) {
    const bool Silent =
        State.InFlight == 0 && Now - State.AnsweredAt >= Settings.SilenceToCold;
    if (Silent && !State.Limit.isCold())
      State.Limit.turnCold();
  }
}

void server_group::assumeOccupied(time_point Until) {
  for (server_state &State : Servers) {
    State.Assumed = slotsOf(State.Server);
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
    State.Assumed =
        std::min(State.Assumed, std::max(0, InFlight - State.InFlight));
  dispatch(Now, Actions);
  return Actions;
}

void server_group::inherit(const inherited_attempt &Attempt) {
  const int Index = findServer(Attempt.Server);
  if (Index >= 0)
    Servers[static_cast<std::size_t>(Index)].Inherited.push_back(Attempt);
}

std::vector<group_action> server_group::inheritedDone(std::string_view Server,
                                                      attempt_id Attempt,
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
  Load.Typical = fromMicros(TypicalMicros);
  for (const server_state &State : Servers)
    Load.InFlight += occupied(State, Now);
  return Load;
}

std::vector<std::string> server_group::assumedServers(time_point Now) const {
  std::vector<std::string> Names;
  for (const server_state &State : Servers) {
    if (Now < State.AssumedUntil && State.Assumed > 0)
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
  return Index < 0
             ? 0
             : Servers[static_cast<std::size_t>(Index)].Limit.allowed(Now);
}

} // namespace agatedale
