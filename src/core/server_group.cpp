/// \file
/// Decisions of the dispatcher of one server group.
#include "agatedale/server_group.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace agatedale {

namespace {

/// Weight of a new service time in a server's smoothed one.
constexpr double ServerSmoothing = 0.3;

/// Weight of a new service time in the group's typical one.
constexpr double GroupSmoothing = 0.05;

/// How long a server's own speed is remembered after its last answer; then it
/// counts as typical, so that a server that was slow once is tried again.
constexpr duration SpeedMemory = std::chrono::milliseconds(500);

/// Ranks the server that just failed a request behind all others.
constexpr double AvoidedScore = 1e12;

/// How long a server that says it is draining gets no new work.
constexpr duration DrainPause = std::chrono::seconds(1);

duration fromMicros(double Micros) {
  return std::chrono::microseconds(static_cast<std::int64_t>(Micros));
}

/// What an outcome proves about whether the request has run.
verdict verdictOf(attempt_outcome Outcome) {
  switch (Outcome) {
  case attempt_outcome::Answered:
  case attempt_outcome::ErrorAnswer:
    return verdict::Answered;
  case attempt_outcome::Shed:
  case attempt_outcome::Draining:
  case attempt_outcome::ConnectFailed:
  case attempt_outcome::NotSent:
    return verdict::NotRun;
  case attempt_outcome::Broke:
  case attempt_outcome::TimedOut:
  case attempt_outcome::Truncated:
  case attempt_outcome::Cancelled:
  case attempt_outcome::BodyIncomplete:
    break;
  }
  return verdict::MayHaveRun;
}

refusal_reason reasonOf(attempt_outcome Outcome) {
  switch (Outcome) {
  case attempt_outcome::Shed:
  case attempt_outcome::Draining:
    return refusal_reason::ServerShed;
  case attempt_outcome::ConnectFailed:
    return refusal_reason::ServerUnreachable;
  case attempt_outcome::NotSent:
    return refusal_reason::NotOwner;
  case attempt_outcome::TimedOut:
    return refusal_reason::DeadlinePassed;
  case attempt_outcome::Truncated:
    return refusal_reason::AnswerTruncated;
  case attempt_outcome::BodyIncomplete:
    return refusal_reason::BodyIncomplete;
  case attempt_outcome::Answered:
  case attempt_outcome::ErrorAnswer:
  case attempt_outcome::Broke:
  case attempt_outcome::Cancelled:
    break;
  }
  return refusal_reason::ServerBroke;
}

} // namespace

std::string_view outcomeName(attempt_outcome Outcome) {
  switch (Outcome) {
  case attempt_outcome::Answered:
    return "answered";
  case attempt_outcome::ErrorAnswer:
    return "error-answer";
  case attempt_outcome::Shed:
    return "shed";
  case attempt_outcome::Draining:
    return "draining";
  case attempt_outcome::ConnectFailed:
    return "connect-failed";
  case attempt_outcome::NotSent:
    return "not-sent";
  case attempt_outcome::Broke:
    return "broke";
  case attempt_outcome::TimedOut:
    return "timed-out";
  case attempt_outcome::Truncated:
    return "truncated";
  case attempt_outcome::Cancelled:
    return "cancelled";
  case attempt_outcome::BodyIncomplete:
    return "body-incomplete";
  }
  return "unknown";
}

server_group::server_group(const server_group_settings &Settings)
    : Settings(Settings), Budget(retry_budget::create(Settings.RetryPercent)),
      Queue(fair_queue::create(0)) {}

result<server_group>
server_group::create(const server_group_settings &Settings,
                     std::span<const backend_server> Servers) {
  if (Settings.Service.Slots < 1)
    return error{error_kind::InvalidInput,
                 fmt::format("service {}: slots must be at least 1",
                             Settings.Service.Name)};
  server_group Group(Settings);
  Group.setServers(Servers, true, time_point{});
  return Group;
}

slot_limit_settings server_group::limitSettings() const {
  slot_limit_settings Limit;
  Limit.Slots = Settings.Service.Slots;
  Limit.WarmUpAnswers = Settings.Service.WarmUpAnswers;
  return Limit;
}

void server_group::reconfigure(const service &Service) {
  Settings.Service = Service;
  for (server_state &State : Servers)
    State.Limit.reconfigure(limitSettings());
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
  server_state Fresh(Server, slot_limit::create(limitSettings()));
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
    for (server_state &State : Servers)
      State.Limit.turnCold();
  }
  ZoneIn = NewZoneIn;
  for (server_state &State : Servers)
    State.Gone = true;
  std::vector<backend_server> Added;
  for (const backend_server &Server : NewServers) {
    const auto Known = std::find_if(
        Servers.begin(), Servers.end(), [&Server](const server_state &State) {
          return State.Server.Name == Server.Name &&
                 State.Server.Address == Server.Address;
        });
    if (Known == Servers.end()) {
      Added.push_back(Server);
      continue;
    }
    if (Known->Server.Leaving && !Server.Leaving)
      Known->Limit.turnCold();
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

int server_group::freeSlots(const server_state &State, time_point Now) const {
  const bool Closed = State.Gone || State.Server.Leaving || !ZoneIn ||
                      Now < State.DrainingUntil;
  if (Closed)
    return 0;
  return std::max(0, State.Limit.allowed(Now) - occupied(State, Now));
}

double server_group::expectedMicros(const server_state &State,
                                    time_point Now) const {
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

int server_group::totalLimit(time_point Now) const {
  int Total = 0;
  for (const server_state &State : Servers) {
    const bool Closed = State.Gone || State.Server.Leaving || !ZoneIn ||
                        Now < State.DrainingUntil;
    Total += Closed ? 0 : State.Limit.allowed(Now);
  }
  return Total;
}

duration server_group::expectedWait(const work_item &Item,
                                    time_point Now) const {
  if (Queue.empty() && chooseServer(-1, Now) >= 0)
    return duration::zero();
  const double Ahead =
      static_cast<double>(Queue.ahead(Item.Account, Item.Deadline)) + 1;
  const double Rate =
      std::max(totalLimit(Now), 1) * Queue.shareOf(Item.Account, Item.Weight);
  return fromMicros(Ahead * TypicalMicros / Rate);
}

void server_group::refuse(request_id Request, refusal_reason Reason,
                          verdict Verdict, std::vector<group_action> &Actions) {
  ++Counters.Refused;
  Running.erase(Request);
  Actions.push_back(group_refusal{Request, Reason, Verdict});
}

std::vector<group_action> server_group::submit(const work_item &Item,
                                               time_point Now) {
  std::vector<group_action> Actions;
  ++Counters.Submitted;
  Budget.earn();
  const bool HasServer =
      ZoneIn &&
      std::any_of(Servers.begin(), Servers.end(), [](const server_state &S) {
        return !S.Gone && !S.Server.Leaving;
      });
  if (HandedOver || Now >= RightUntil) {
    refuse(Item.Id, refusal_reason::NotOwner, verdict::NotRun, Actions);
    return Actions;
  }
  if (!HasServer) {
    refuse(Item.Id, refusal_reason::NoServer, verdict::NotRun, Actions);
    return Actions;
  }
  // An idle server takes the request whatever the past was like; else a group
  // whose typical time grew too long would refuse all and never learn better.
  const bool IsIdle = Queue.empty() && chooseServer(-1, Now) >= 0;
  const time_point Expected =
      Now + expectedWait(Item, Now) +
      fromMicros(TypicalMicros * Settings.AdmissionFactor);
  if (!IsIdle && Expected > Item.Deadline) {
    refuse(Item.Id, refusal_reason::CannotBeOnTime, verdict::NotRun, Actions);
    return Actions;
  }
  const fair_queue::push_result Pushed = Queue.push(Item);
  if (Pushed.Refused != refusal_reason::None)
    refuse(Item.Id, Pushed.Refused, verdict::NotRun, Actions);
  if (Pushed.PushedOut)
    refuse(Pushed.PushedOut->Id, refusal_reason::AccountQueueFull,
           Pushed.PushedOut->MayHaveRun ? verdict::MayHaveRun : verdict::NotRun,
           Actions);
  dispatch(Now, Actions);
  return Actions;
}

void server_group::expireQueue(time_point Now,
                               std::vector<group_action> &Actions) {
  for (const work_item &Item : Queue.expire(Now))
    refuse(Item.Id, refusal_reason::DeadlinePassed,
           Item.MayHaveRun ? verdict::MayHaveRun : verdict::NotRun, Actions);
}

bool server_group::startsTooLate(const work_item &Item, time_point Now) const {
  return Now + fromMicros(TypicalMicros * Settings.StartFactor) > Item.Deadline;
}

void server_group::dispatch(time_point Now,
                            std::vector<group_action> &Actions) {
  if (HandedOver || Now >= RightUntil)
    return;
  expireQueue(Now, Actions);
  while (!Queue.empty()) {
    if (chooseServer(-1, Now) < 0)
      return;
    const std::optional<work_item> Item = Queue.pop();
    const bool IsLast = Queue.empty();
    if (!IsLast && startsTooLate(*Item, Now)) {
      refuse(Item->Id, refusal_reason::DeadlinePassed,
             Item->MayHaveRun ? verdict::MayHaveRun : verdict::NotRun, Actions);
      continue;
    }
    send(*Item, chooseServer(Item->AvoidServer, Now), false, Now, Actions);
  }
}

time_point server_group::attemptDeadline(const work_item &Item,
                                         time_point Now) const {
  if (!Item.Idempotent || TypicalMicros <= 0)
    return Item.Deadline;
  const duration Given =
      std::max(Settings.LeastAttemptTime,
               fromMicros(TypicalMicros * Settings.AttemptFactor));
  return std::min(Item.Deadline, Now + Given);
}

void server_group::send(const work_item &Item, int Server, bool Hedge,
                        time_point Now, std::vector<group_action> &Actions) {
  server_state &State = Servers[static_cast<std::size_t>(Server)];
  const attempt_id Id = NextAttempt++;
  const attempt Attempt{Item.Id, Server, Now, attemptDeadline(Item, Now),
                        Hedge,   false};
  ++State.InFlight;
  State.LastAttempt = Id;
  ++Counters.Sent;
  Attempts.emplace(Id, Attempt);
  running_request &Request = Running[Item.Id];
  Request.Item = Item;
  Request.Attempts.push_back(Id);
  Actions.push_back(send_order{Item.Id, Id, State.Server.Name,
                               State.Server.Address, Attempt.Deadline, Hedge});
}

void server_group::recordAnswer(server_state &State, duration ServiceTime,
                                time_point Now) {
  State.AnsweredAt = Now;
  const double Micros = static_cast<double>(toMicros(ServiceTime));
  const bool WasCold = State.Limit.isCold();
  State.Limit.onAnswer(ServiceTime, fromMicros(TypicalMicros));
  if (!WasCold && State.Limit.isCold())
    ++Counters.LimitCuts;
  State.SmoothedMicros +=
      State.SmoothedMicros <= 0
          ? Micros
          : ServerSmoothing * (Micros - State.SmoothedMicros);
  TypicalMicros +=
      TypicalMicros <= 0 ? Micros : GroupSmoothing * (Micros - TypicalMicros);
}

void server_group::recordOutcome(server_state &State, const attempt &Attempt,
                                 attempt_outcome Outcome, time_point Now) {
  --State.InFlight;
  switch (Outcome) {
  case attempt_outcome::Answered:
    recordAnswer(State, Now - Attempt.Started, Now);
    return;
  case attempt_outcome::ErrorAnswer:
    State.Limit.onErrorAnswer(Now);
    return;
  case attempt_outcome::Shed:
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

void server_group::abandonOthers(running_request &Request, attempt_id Winner,
                                 std::vector<group_action> &Actions) {
  for (const attempt_id Other : Request.Attempts) {
    const auto Found = Attempts.find(Other);
    if (Other == Winner || Found == Attempts.end())
      continue;
    Found->second.Abandoned = true;
    Actions.push_back(cancel_order{Other});
  }
}

std::vector<group_action>
server_group::finish(attempt_id Id, attempt_outcome Outcome, time_point Now) {
  std::vector<group_action> Actions;
  const auto Found = Attempts.find(Id);
  if (Found == Attempts.end())
    return Actions;
  const attempt Attempt = Found->second;
  Attempts.erase(Found);
  recordOutcome(Servers[static_cast<std::size_t>(Attempt.Server)], Attempt,
                Outcome, Now);
  const auto Request = Running.find(Attempt.Request);
  if (Attempt.Abandoned || Request == Running.end()) {
    dispatch(Now, Actions);
    return Actions;
  }
  std::erase(Request->second.Attempts, Id);
  if (Outcome == attempt_outcome::Answered) {
    abandonOthers(Request->second, Id, Actions);
    Running.erase(Request);
    ++Counters.Delivered;
    Actions.push_back(deliver_order{Attempt.Request, Id});
  } else if (Request->second.Attempts.empty()) {
    const work_item Item = Request->second.Item;
    Running.erase(Request);
    retryOrRefuse(Item, Attempt.Server, Outcome, Now, Actions);
    if (!Actions.empty() && std::holds_alternative<deliver_order>(Actions[0]))
      std::get<deliver_order>(Actions[0]).Attempt = Id;
  } else {
    Request->second.Item.MayHaveRun |= verdictOf(Outcome) != verdict::NotRun;
  }
  dispatch(Now, Actions);
  return Actions;
}

void server_group::retryOrRefuse(const work_item &Item, int Server,
                                 attempt_outcome Outcome, time_point Now,
                                 std::vector<group_action> &Actions) {
  work_item Next = Item;
  Next.MayHaveRun |= verdictOf(Outcome) != verdict::NotRun;
  Next.AvoidServer = Server;
  const bool Repeatable =
      Item.Repeatable && Outcome != attempt_outcome::BodyIncomplete &&
      Outcome != attempt_outcome::NotSent &&
      maySendAgain(Next.MayHaveRun ? verdict::MayHaveRun : verdict::NotRun,
                   Item.Idempotent);
  const bool HasTime = Now + fromMicros(TypicalMicros) < Item.Deadline;
  const bool Allowed = !HandedOver && Now < RightUntil && Repeatable && HasTime;
  if (Allowed && Queue.size() < Queue.capacity() && Budget.spend()) {
    ++Counters.Retries;
    Queue.putBack(Next);
    return;
  }
  if (Outcome == attempt_outcome::ErrorAnswer) {
    ++Counters.Delivered;
    Actions.push_back(deliver_order{Item.Id, 0});
    return;
  }
  refuse(Item.Id, reasonOf(Outcome),
         Next.MayHaveRun ? verdict::MayHaveRun : verdict::NotRun, Actions);
}

void server_group::onRestart(std::string_view Server) {
  const int Index = findServer(Server);
  if (Index < 0)
    return;
  Servers[static_cast<std::size_t>(Index)].Limit.turnCold();
  ++Counters.LimitCuts;
}

bool server_group::withdraw(request_id Request) {
  return Queue.remove(Request);
}

void server_group::forbidRetry(request_id Request) {
  const auto Found = Running.find(Request);
  if (Found != Running.end())
    Found->second.Item.Repeatable = false;
}

void server_group::hedgeSlow(time_point Now,
                             std::vector<group_action> &Actions) {
  if (!Settings.Hedging || !Queue.empty() || TypicalMicros <= 0)
    return;
  if (load(Now).InFlight > Settings.HedgeBelowShare * totalLimit(Now))
    return;
  const duration Slow = fromMicros(TypicalMicros * Settings.HedgeFactor);
  std::vector<attempt_id> Candidates;
  for (const auto &[Id, Attempt] : Attempts) {
    if (Attempt.Abandoned || Attempt.Hedge || Now - Attempt.Started < Slow)
      continue;
    const auto Request = Running.find(Attempt.Request);
    const bool Alone =
        Request != Running.end() && Request->second.Attempts.size() == 1 &&
        Request->second.Item.Idempotent && Request->second.Item.Repeatable;
    if (Alone)
      Candidates.push_back(Id);
  }
  for (const attempt_id Id : Candidates) {
    const attempt Attempt = Attempts.at(Id);
    const int Server = chooseServer(Attempt.Server, Now, true);
    if (Server < 0 || !Budget.spend())
      return;
    ++Counters.Hedges;
    send(Running.at(Attempt.Request).Item, Server, true, Now, Actions);
  }
}

void server_group::coolSilentServers(time_point Now) {
  for (server_state &State : Servers) {
    const bool Silent =
        State.InFlight == 0 && Now - State.AnsweredAt >= Settings.SilenceToCold;
    if (Silent && !State.Limit.isCold())
      State.Limit.turnCold();
  }
}

std::vector<group_action> server_group::tick(time_point Now) {
  std::vector<group_action> Actions;
  for (server_state &State : Servers) {
    std::erase_if(State.Lingering,
                  [Now](time_point End) { return End <= Now; });
    std::erase_if(State.Inherited, [&](const inherited_attempt &Attempt) {
      return Attempt.Deadline + Settings.CancelGrace <= Now;
    });
  }
  coolSilentServers(Now);
  expireQueue(Now, Actions);
  dispatch(Now, Actions);
  if (!HandedOver && Now < RightUntil)
    hedgeSlow(Now, Actions);
  return Actions;
}

void server_group::assumeOccupied(time_point Until) {
  for (server_state &State : Servers) {
    State.Assumed = Settings.Service.Slots;
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

std::vector<group_action>
server_group::handOver(std::vector<inherited_attempt> &InFlight) {
  std::vector<group_action> Actions;
  HandedOver = true;
  for (const work_item &Item : Queue.drain())
    refuse(Item.Id, refusal_reason::NotOwner,
           Item.MayHaveRun ? verdict::MayHaveRun : verdict::NotRun, Actions);
  for (const auto &[Id, Attempt] : Attempts) {
    const server_state &State =
        Servers[static_cast<std::size_t>(Attempt.Server)];
    InFlight.push_back({State.Server.Name, Id, Attempt.Deadline});
  }
  for (const server_state &State : Servers) {
    for (const inherited_attempt &Inherited : State.Inherited)
      InFlight.push_back(Inherited);
    for (const time_point End : State.Lingering)
      InFlight.push_back({State.Server.Name, 0, End});
  }
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

bool server_group::hasAssumedWork(time_point Now) const {
  return !assumedServers(Now).empty();
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
