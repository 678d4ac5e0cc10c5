/// \file
/// Admission, dispatch, retries and hedging in one server group.
#include "agatedale/server_group.h"
#include "attempt_outcome.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace agatedale {

server_group::server_group(const server_group_settings &Settings)
    : Settings(Settings), Budget(retry_budget::create(Settings.RetryPercent)),
      Hedges(hedge_policy::create(Settings.HedgePercent)),
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

duration server_group::expectedWait(const work_item &Item,
                                    time_point Now) const {
  if (Queue.empty() && chooseServer(-1, Now, false, &Item) >= 0)
    return duration::zero();
  const double Ahead = static_cast<double>(Queue.countAhead(Item)) + 1;
  const double Rate =
      std::max(totalLimit(Now), 1) * Queue.shareOf(Item.Account, Item.Weight);
  return fromMicros(Ahead * TypicalMicros / Rate);
}

duration server_group::expectedServiceTime(const work_item &Item) const {
  const auto Known = RouteMicros.find(Item.Route);
  return fromMicros(Known == RouteMicros.end() ? TypicalMicros : Known->second);
}

void server_group::refuse(const work_item &Item, refusal_reason Reason,
                          time_point Now, std::vector<group_action> &Actions) {
  ++Counters.Refused;
  Running.erase(Item.Id);
  Actions.push_back(group_refusal{
      Item.Id, Reason, Item.MayHaveRun ? verdict::MayHaveRun : verdict::NotRun,
      retryAfter(Item, Reason, Now), Item.AttemptsMade});
}

duration server_group::retryAfter(time_point Now) {
  const std::optional<time_point> HeldUntil = allHeldUntil(Now);
  if (!HeldUntil) {
    RefusedWhileHeld = 0;
    const double Backlog = static_cast<double>(Queue.size()) + 1;
    return fromMicros(Backlog * TypicalMicros / std::max(totalLimit(Now), 1));
  }
  // Callers that are refused during a hold are told to return one after the
  // other at the rate at which the servers begin after it, one at a time each.
  const double Rate = static_cast<double>(std::max<std::size_t>(
      std::count_if(Servers.begin(), Servers.end(),
                    [](const server_state &State) { return !State.Gone; }),
      1));
  return *HeldUntil - Now +
         fromMicros(RefusedWhileHeld++ * TypicalMicros / Rate);
}

void server_group::refuseIfAllHeld(time_point Now,
                                   std::vector<group_action> &Actions) {
  if (Queue.empty() || !allHeldUntil(Now))
    return;
  for (const work_item &Item : Queue.drain())
    refuse(Item, refusal_reason::ServerShed, Now, Actions);
}

std::vector<group_action> server_group::submit(const work_item &Offered,
                                               time_point Now) {
  std::vector<group_action> Actions;
  work_item Item = withReserve(Offered, Now);
  if (Shares && Item.Versions == version_choice::Undecided)
    Item.Versions = drawVersion();
  ++Counters.Submitted;
  HighestPriority = std::min(HighestPriority, Item.Priority);
  LowestPriority = std::max(LowestPriority, Item.Priority);
  // A request earns retry budget only at the first group that it is offered to.
  if (Item.IsFirstOffer) {
    Budget.deposit();
    Hedges.onRequest();
  }
  const bool HasServer = IsZoneActive &&
                         std::any_of(Servers.begin(), Servers.end(),
                                     [](const server_state &S) {
                                       return !S.Gone && !S.Server.Leaving;
                                     }) &&
                         hasServerFor(Item);
  if (HandedOver || Now >= LeaseEnd) {
    refuse(Item, refusal_reason::NotOwner, Now, Actions);
    return Actions;
  }
  if (!HasServer) {
    refuse(Item, refusal_reason::NoServer, Now, Actions);
    return Actions;
  }
  if (allHeldUntil(Now)) {
    refuse(Item, refusal_reason::ServerShed, Now, Actions);
    return Actions;
  }
  if (isUnfinishable(Item, Now)) {
    refuse(Item, refusal_reason::Stopping, Now, Actions);
    return Actions;
  }
  // An attempt after those of other groups is charged as a retry.
  if (Item.AttemptsBefore > 0 &&
      !Budget.tryWithdraw(retriesReservedFrom(Item))) {
    refuse(Item, refusal_reason::RetryBudgetSpent, Now, Actions);
    return Actions;
  }
  // A request is always admitted when a server is idle. Otherwise a group whose
  // typical service time became too long would refuse all requests and never
  // measure a shorter one.
  const bool IsIdle = Queue.empty() && chooseServer(-1, Now, false, &Item) >= 0;
  if (!IsIdle && !canBeOnTime(Item, Now + expectedWait(Item, Now))) {
    refuse(Item, refusal_reason::CannotBeOnTime, Now, Actions);
    return Actions;
  }
  const fair_queue::push_result Pushed = Queue.push(Item);
  if (Pushed.Refused != refusal_reason::None)
    refuse(Item, Pushed.Refused, Now, Actions);
  if (Pushed.Evicted)
    refuse(*Pushed.Evicted, refusal_reason::AccountQueueFull, Now, Actions);
  dispatch(Now, Actions);
  refuseUnmeetable(Now, Actions);
  return Actions;
}

void server_group::expireQueue(time_point Now,
                               std::vector<group_action> &Actions) {
  for (const work_item &Item : Queue.expire(Now))
    refuse(Item, refusal_reason::DeadlinePassed, Now, Actions);
}

bool server_group::canBeOnTime(const work_item &Item, time_point Begin) const {
  if (Item.Aim > time_point{})
    return Begin + expectedServiceTime(Item) + Item.Reserve <= Item.Aim;
  return Begin + fromMicros(TypicalMicros * Settings.AdmissionFactor) <=
         Item.Deadline;
}

/// Returns when the server of a queued request begins, given the number of
/// requests that wait for a slot with it.
time_point server_group::expectedBegin(int Waiting, time_point Now) const {
  const double Rate = std::max(totalLimit(Now), 1);
  return Now + fromMicros(std::max(Waiting, 0) * TypicalMicros / Rate);
}

bool server_group::canFinish(const work_item &Item, time_point Begin,
                             bool MustWait) const {
  const auto Known = RouteMicros.find(Item.Route);
  const std::optional<duration> RunTime =
      Known == RouteMicros.end() ? std::nullopt
                                 : std::optional(fromMicros(Known->second));
  return finish_limit::earlier(Item.Finish, Finish)
      .allows({Begin, Item.Deadline, RunTime, MustWait});
}

/// Returns true if a request that arrives cannot be finished in time.
bool server_group::isUnfinishable(const work_item &Item, time_point Now) {
  HasFinishLimits = HasFinishLimits || Item.Finish.isSet();
  if (!HasFinishLimits)
    return false;
  const bool MustWait = std::cmp_less_equal(totalFree(Now), Queue.size());
  return !canFinish(Item, Now + expectedWait(Item, Now), MustWait);
}

void server_group::refuseUnfinishable(time_point Now,
                                      std::vector<group_action> &Actions) {
  if (Queue.empty())
    HasFinishLimits = Finish.isSet();
  if (!HasFinishLimits)
    return;
  int Waiting = 1 - totalFree(Now);
  for (const work_item &Item : Queue.itemsInOrder()) {
    if (canFinish(Item, expectedBegin(Waiting, Now))) {
      ++Waiting;
      continue;
    }
    Queue.remove(Item.Id);
    refuse(Item, refusal_reason::Stopping, Now, Actions);
  }
}

void server_group::refuseUnmeetable(time_point Now,
                                    std::vector<group_action> &Actions) {
  int Waiting = 1 - totalFree(Now);
  for (const work_item &Item : Queue.itemsInOrder()) {
    // A refusal gains nothing while a slot is free.
    const time_point Begin = expectedBegin(Waiting, Now);
    const bool IsUnmeetable =
        Waiting > 0 && Item.Aim > time_point{} && !canBeOnTime(Item, Begin);
    if (!IsUnmeetable) {
      ++Waiting;
      continue;
    }
    Queue.remove(Item.Id);
    refuse(Item, refusal_reason::CannotBeOnTime, Now, Actions);
  }
}

bool server_group::startsTooLate(const work_item &Item, time_point Now) const {
  if (Item.Aim > time_point{})
    return Now + expectedServiceTime(Item) / 2 > Item.Deadline;
  return Now + fromMicros(TypicalMicros * Settings.StartFactor) > Item.Deadline;
}

void server_group::dispatch(time_point Now,
                            std::vector<group_action> &Actions) {
  if (HandedOver || Now >= LeaseEnd)
    return;
  expireQueue(Now, Actions);
  refuseIfAllHeld(Now, Actions);
  refuseUnfinishable(Now, Actions);
  refuseUnservable(Now, Actions);
  if (Settings.QueryServerLoad) {
    dispatchBySpeed(Now, Actions);
    return;
  }
  if (Shares) {
    dispatchByVersion(Now, Actions);
    return;
  }
  while (!Queue.empty()) {
    if (chooseServer(-1, Now) < 0)
      return;
    const std::optional<work_item> Item = Queue.pop();
    const bool IsLast = Queue.empty();
    if (!IsLast && startsTooLate(*Item, Now)) {
      refuse(*Item, refusal_reason::DeadlinePassed, Now, Actions);
      continue;
    }
    send(*Item, chooseServer(Item->AvoidServer, Now), false, Now, Actions);
  }
}

time_point server_group::attemptDeadline(const work_item &Item,
                                         time_point Now) const {
  if (!Item.Idempotent || TypicalMicros <= 0 || Item.Aim > time_point{})
    return Item.Deadline;
  const duration Given =
      std::max(Settings.MinAttemptTime,
               fromMicros(TypicalMicros * Settings.AttemptFactor));
  return std::min(Item.Deadline, Now + Given);
}

void server_group::send(const work_item &Item, int Server, bool Hedge,
                        time_point Now, std::vector<group_action> &Actions) {
  server_state &State = Servers[static_cast<std::size_t>(Server)];
  const attempt_id Id = NextAttempt++;
  const attempt Attempt{Item.Id,
                        Server,
                        Now,
                        attemptDeadline(Item, Now),
                        Hedge,
                        false,
                        hasFreshReport(State, Now) ? State.ReportedSlowness
                                                   : 1.0,
                        comparableInFlight(State, Now),
                        Now < State.ColdUntil};
  ++State.InFlight;
  State.LastAttempt = Id;
  State.AwaitsFirstRequest = false;
  countSent(State, Now);
  ++Counters.Sent;
  Attempts.emplace(Id, Attempt);
  running_request &Request = Running[Item.Id];
  Request.Item = Item;
  ++Request.Item.AttemptsMade;
  State.StartLimiter.onSent(Now, coldRate(State, Now));
  Request.Attempts.push_back(Id);
  Actions.push_back(send_action{Item.Id, Id, State.Server.Name,
                                State.Server.Address, Attempt.Deadline, Hedge,
                                State.Server.Start});
}

void server_group::abandonOthers(running_request &Request, attempt_id Winner,
                                 time_point Now,
                                 std::vector<group_action> &Actions) {
  for (const attempt_id Other : Request.Attempts) {
    const auto Found = Attempts.find(Other);
    if (Other == Winner || Found == Attempts.end())
      continue;
    Found->second.Abandoned = true;
    if (!Found->second.Hedge)
      Hedges.record(Request.Item.Route, Now - Found->second.Started, true);
    Actions.push_back(cancel_action{Other});
  }
}

std::vector<group_action> server_group::finish(attempt_id Id,
                                               attempt_outcome Outcome,
                                               time_point Now,
                                               const server_report *Report) {
  std::vector<group_action> Actions;
  const auto Found = Attempts.find(Id);
  if (Found == Attempts.end())
    return Actions;
  const attempt Attempt = Found->second;
  Attempts.erase(Found);
  recordEvidence(Attempt, Outcome, Report, Now);
  if (Report)
    applyReport(Servers[static_cast<std::size_t>(Attempt.Server)], *Report,
                Now);
  recordOutcome(Servers[static_cast<std::size_t>(Attempt.Server)], Attempt,
                Outcome, Now);
  const auto Request = Running.find(Attempt.Request);
  if (Attempt.Abandoned || Request == Running.end()) {
    dispatch(Now, Actions);
    return Actions;
  }
  std::erase(Request->second.Attempts, Id);
  if (Outcome == attempt_outcome::Answered) {
    Counters.HedgesWon += Attempt.Hedge ? 1 : 0;
    abandonOthers(Request->second, Id, Now, Actions);
    Running.erase(Request);
    ++Counters.Delivered;
    Actions.push_back(deliver_action{Attempt.Request, Id});
  } else if (Request->second.Attempts.empty()) {
    const work_item Item = Request->second.Item;
    Running.erase(Request);
    retryOrRefuse(Item, Attempt.Server, Outcome, Now, Actions);
    if (!Actions.empty() && std::holds_alternative<deliver_action>(Actions[0]))
      std::get<deliver_action>(Actions[0]).Attempt = Id;
  } else {
    Request->second.Item.MayHaveRun |= verdictOf(Outcome) != verdict::NotRun;
  }
  dispatch(Now, Actions);
  return Actions;
}

/// Returns the share of the retries that is left to requests more urgent than
/// \p Item. When servers shed more than the retries make up for, the urgent
/// requests get them first.
double server_group::retriesReservedFrom(const work_item &Item) const {
  if (LowestPriority <= HighestPriority)
    return 0;
  return static_cast<double>(Item.Priority - HighestPriority) /
         (LowestPriority - HighestPriority);
}

void server_group::retryOrRefuse(const work_item &Item, int Server,
                                 attempt_outcome Outcome, time_point Now,
                                 std::vector<group_action> &Actions) {
  work_item Next = Item;
  Next.MayHaveRun |= verdictOf(Outcome) != verdict::NotRun;
  Next.AvoidServer = Server;
  // A repeat has less time left than was there when it was admitted.
  Next.Reserve = duration::zero();
  const bool IsBelowBound =
      Item.MaxAttempts == 0 || Item.AttemptsMade < Item.MaxAttempts;
  const bool Repeatable =
      Item.Repeatable && Outcome != attempt_outcome::BodyIncomplete &&
      Outcome != attempt_outcome::NotSent &&
      Outcome != attempt_outcome::TooLate &&
      isRetryAllowed(Next.MayHaveRun ? verdict::MayHaveRun : verdict::NotRun,
                     Item.Idempotent);
  const bool HasTime = Now + fromMicros(TypicalMicros) < Item.Deadline;
  const bool Allowed = !HandedOver && Now < LeaseEnd && Repeatable && HasTime &&
                       IsBelowBound && !allHeldUntil(Now) &&
                       canFinish(Next, Now);
  if (Allowed && Queue.size() < Queue.capacity() &&
      Budget.tryWithdraw(retriesReservedFrom(Item))) {
    ++Counters.Retries;
    HasFinishLimits = HasFinishLimits || Next.Finish.isSet();
    Queue.requeue(Next);
    return;
  }
  if (Outcome == attempt_outcome::ErrorAnswer) {
    ++Counters.Delivered;
    Actions.push_back(deliver_action{Item.Id, 0});
    return;
  }
  refuse(Next, reasonOf(Outcome), Now, Actions);
}

bool server_group::withdraw(request_id Request) {
  return Queue.remove(Request);
}

void server_group::forbidRetry(request_id Request) {
  const auto Found = Running.find(Request);
  if (Found != Running.end())
    Found->second.Item.Repeatable = false;
}

std::vector<attempt_id> server_group::attemptsOf(request_id Request) const {
  const auto Found = Running.find(Request);
  return Found == Running.end() ? std::vector<attempt_id>()
                                : Found->second.Attempts;
}

std::vector<group_action> server_group::tick(time_point Now) {
  std::vector<group_action> Actions;
  for (server_state &State : Servers) {
    std::erase_if(State.SlotReleaseTimes,
                  [Now](time_point End) { return End <= Now; });
    std::erase_if(State.Inherited, [&](const inherited_attempt &Attempt) {
      return Attempt.Deadline + Settings.CancelGrace <= Now;
    });
  }
  resetIdleServers(Now);
  updateOldVersion(Now);
  expireQueue(Now, Actions);
  EjectionsEnforced = areEjectionsEnforced(Now);
  dispatch(Now, Actions);
  refuseUnmeetable(Now, Actions);
  if (!HandedOver && Now < LeaseEnd)
    hedgeSlowAttempts(Now, Actions);
  if (!HandedOver && Now < LeaseEnd)
    queryBusyServers(Now, Actions);
  return Actions;
}

std::vector<group_action>
server_group::handOver(std::vector<inherited_attempt> &InFlight) {
  std::vector<group_action> Actions;
  HandedOver = true;
  for (const work_item &Item : Queue.drain())
    refuse(Item, refusal_reason::NotOwner, time_point{}, Actions);
  for (const auto &[Id, Attempt] : Attempts) {
    const server_state &State =
        Servers[static_cast<std::size_t>(Attempt.Server)];
    InFlight.push_back({State.Server.Name, Id, Attempt.Deadline});
  }
  for (const server_state &State : Servers) {
    for (const inherited_attempt &Inherited : State.Inherited)
      InFlight.push_back(Inherited);
    for (const time_point End : State.SlotReleaseTimes)
      InFlight.push_back({State.Server.Name, 0, End});
    // Slots that this owner assumes to be occupied may still be occupied under
    // the next owner.
    for (int I = 0; I < State.AssumedInFlight; ++I)
      InFlight.push_back({State.Server.Name, 0, State.AssumedUntil});
  }
  return Actions;
}

} // namespace agatedale
