/// \file
/// Threads and connections around one server group.
#include "group_shard.h"
#include "node_clock.h"

#include <fmt/format.h>

#include <algorithm>

namespace agatedale {

namespace {

/// How much longer than a deadline a thread waits for the group's decision.
constexpr duration DecisionSlack = std::chrono::milliseconds(50);

/// Entry VMs that may have owned a group within the idle time of connections.
/// Each keeps so few that a server's bound on connections holds for all.
constexpr int LateOwners = 16;
constexpr int MaxIdleConnections = 8;

} // namespace

result<std::shared_ptr<group_shard>>
group_shard::create(const server_group_spec &Spec,
                    const server_group_settings &Settings,
                    const shard_context &Context) {
  result<server_group> Group = server_group::create(Settings, Spec.Servers);
  if (const error *Error = errorOf(Group))
    return *Error;
  return std::shared_ptr<group_shard>(new group_shard(
      Spec, moveValue(std::move(Group)), Settings.Service, Context));
}

work_item group_shard::itemOf(const node_request &Request,
                              request_id Number) const {
  work_item Item;
  Item.Id = Number;
  Item.Account = Request.Account;
  Item.Weight = Request.Weight;
  Item.Deadline = Request.Deadline;
  Item.Idempotent = Request.Idempotent;
  return Item;
}

node_answer group_shard::serve(const node_request &Request,
                               const answer_writer &Writer) {
  auto Waiter = std::make_shared<waiter>();
  Waiter->Request = &Request;
  const time_point Begin = monotonicNow();
  std::unique_lock Guard(Lock);
  const request_id Number = NextRequest++;
  Waiters.emplace(Number, Waiter);
  apply(Group.submit(itemOf(Request, Number), Begin));
  node_answer Answer = wait(Guard, Waiter, Request, Number, Writer);
  Waiters.erase(Number);
  if (Waiter->Order)
    apply(Group.finish(Waiter->Order->Attempt, attempt_outcome::NotSent,
                       monotonicNow()));
  Answer.Load = Group.load(monotonicNow());
  return Answer;
}

node_answer group_shard::wait(std::unique_lock<std::mutex> &Guard,
                              std::shared_ptr<waiter> Waiter,
                              const node_request &Request,
                              request_id RequestNumber,
                              const answer_writer &Writer) {
  const time_point Begin = monotonicNow();
  bool Waited = true;
  for (;;) {
    const bool Decided =
        Waiter->Wake.wait_until(Guard, Request.Deadline + DecisionSlack, [&] {
          return Waiter->Order || Waiter->Refusal || Waiter->Delivered;
        });
    if (Waiter->Delivered)
      return std::move(Waiter->Answers[*Waiter->Delivered]);
    if (Waiter->Refusal)
      return refused(*Waiter->Refusal, Request);
    if (!Decided) {
      const bool WasQueued = Group.withdraw(RequestNumber);
      return refusalOf(refusal_reason::DeadlinePassed,
                       WasQueued ? verdict::NotRun : verdict::MayHaveRun);
    }
    const send_action Order = *Waiter->Order;
    Waiter->Order.reset();
    Guard.unlock();
    if (Waited)
      Context.Metrics.record(
          "agatedale_queue_wait_seconds",
          formatAccountLabels(Request.Account, Request.Class),
          monotonicNow() - Begin);
    Waited = false;
    attempt_result Result = attempt(Order, Request, &Writer, *Waiter);
    Guard.lock();
    conclude(Order, std::move(Result), *Waiter);
    if (Waiter->Streaming)
      Waiter->Delivered = Order.Attempt;
  }
}

node_answer group_shard::refused(const group_refusal &Refusal,
                                 const node_request &Request) const {
  Context.Events.add(
      {wallNow(), event_kind::Refused, Id.Service, Request.Id,
       fmt::format("group={} reason={} verdict={}", toText(Id),
                   reasonName(Refusal.Reason), verdictName(Refusal.Verdict))});
  return refusalOf(Refusal.Reason, Refusal.Verdict);
}

attempt_result group_shard::attempt(const send_action &Order,
                                    const node_request &Request,
                                    const answer_writer *Writer,
                                    waiter &Waiter) {
  bool FoundClosed = false;
  const auto Opened =
      Connections.take(Order.Address, Request.Idempotent,
                       Order.Deadline - monotonicNow(), FoundClosed);
  if (FoundClosed) {
    const std::lock_guard Guard(Lock);
    Group.onRestart(Order.Server);
  }
  if (errorOf(Opened))
    return {attempt_outcome::ConnectFailed, {}};
  const std::shared_ptr<backend_connection> &Connection = valueOf(Opened);
  {
    const std::lock_guard Guard(Lock);
    Running.emplace(Order.Attempt, running_attempt{Connection});
  }
  attempt_hooks Hooks;
  Hooks.MaySend = [this] {
    const std::lock_guard Guard(Lock);
    return monotonicNow() < Group.leaseEnd();
  };
  Hooks.BodyBegins = [this, &Order] {
    const std::lock_guard Guard(Lock);
    Group.forbidRetry(Order.Request);
  };
  Hooks.MayStream = [this, &Order, &Waiter] {
    return beginStreaming(Order, Waiter);
  };
  attempt_result Result = runAttempt(*Connection, Order, Request, Hooks, Writer,
                                     Context.BufferedAnswerBytes);
  const bool Whole = Result.Outcome == attempt_outcome::Answered ||
                     Result.Outcome == attempt_outcome::ErrorAnswer;
  if (Whole)
    Connections.giveBack(Order.Address, Connection);
  else if (Result.Outcome == attempt_outcome::TimedOut ||
           Result.Outcome == attempt_outcome::ConnectionLost)
    Connections.condemn(Order.Address);
  return Result;
}

bool group_shard::beginStreaming(const send_action &Order, waiter &Waiter) {
  const std::lock_guard Guard(Lock);
  if (Waiter.Delivered || Waiter.Streaming)
    return false;
  Waiter.Streaming = true;
  Running.at(Order.Attempt).Streaming = true;
  Group.forbidRetry(Order.Request);
  return true;
}

void group_shard::conclude(const send_action &Order, attempt_result Result,
                           waiter &Waiter) {
  Running.erase(Order.Attempt);
  Context.Metrics.increment(
      "agatedale_attempts_total",
      formatLabel("service", Id.Service) + "," +
          formatLabel("outcome", outcomeName(Result.Outcome)));
  const std::string RequestId = Waiter.Request ? Waiter.Request->Id : "";
  Waiter.Answers[Order.Attempt] = std::move(Result.Answer);
  const auto Before = Group.counters();
  const int LimitBefore = Group.limitOf(Order.Server, monotonicNow());
  apply(Group.finish(Order.Attempt, Result.Outcome, monotonicNow()));
  const auto After = Group.counters();
  if (After.Retries > Before.Retries)
    Context.Events.add(
        {wallNow(), event_kind::Retried, Id.Service, RequestId,
         fmt::format("group={} server={} outcome={}", toText(Id), Order.Server,
                     outcomeName(Result.Outcome))});
  if (Group.limitOf(Order.Server, monotonicNow()) != LimitBefore)
    noteLimits(Order.Server, Result.Outcome, RequestId);
  if (OnFreed)
    OnFreed(Order.Server, Order.Attempt);
}

void group_shard::noteLimits(std::string_view Server, attempt_outcome Outcome,
                             const std::string &RequestId) {
  Context.Events.add(
      {wallNow(), event_kind::LimitChanged, Id.Service, RequestId,
       fmt::format("group={} server={} limit={} after={}", toText(Id), Server,
                   Group.limitOf(Server, monotonicNow()),
                   outcomeName(Outcome))});
}

void group_shard::apply(const std::vector<group_action> &Actions) {
  for (const group_action &Action : Actions) {
    if (const auto *Send = std::get_if<send_action>(&Action)) {
      applySend(*Send);
      continue;
    }
    if (const auto *Cancel = std::get_if<cancel_action>(&Action)) {
      applyCancel(*Cancel);
      continue;
    }
    const auto *Refusal = std::get_if<group_refusal>(&Action);
    const auto *Deliver = std::get_if<deliver_action>(&Action);
    const auto Waiter =
        Waiters.find(Refusal ? Refusal->Request : Deliver->Request);
    if (Waiter == Waiters.end())
      continue;
    if (Refusal)
      Waiter->second->Refusal = *Refusal;
    else if (!Waiter->second->Streaming)
      Waiter->second->Delivered = Deliver->Attempt;
    Waiter->second->Wake.notify_all();
  }
}

void group_shard::applySend(const send_action &Order) {
  const auto Found = Waiters.find(Order.Request);
  if (Found == Waiters.end()) {
    apply(
        Group.finish(Order.Attempt, attempt_outcome::NotSent, monotonicNow()));
    return;
  }
  const std::shared_ptr<waiter> Waiter = Found->second;
  if (!Order.Hedge) {
    Waiter->Order = Order;
    Waiter->Wake.notify_all();
    return;
  }
  // The hedge may outlive the caller's thread, so it works on a copy.
  auto Copy = std::make_shared<node_request>(*Waiter->Request);
  Context.Events.add(
      {wallNow(), event_kind::Hedged, Id.Service, Copy->Id,
       fmt::format("group={} server={}", toText(Id), Order.Server)});
  const auto Self = shared_from_this();
  const bool Queued = Context.Tasks.submit([Self, Order, Copy, Waiter] {
    attempt_result Result = Self->attempt(Order, *Copy, nullptr, *Waiter);
    const std::lock_guard Guard(Self->Lock);
    const bool Alive = Self->Waiters.contains(Order.Request);
    waiter Nobody;
    Self->conclude(Order, std::move(Result), Alive ? *Waiter : Nobody);
  });
  if (!Queued)
    apply(Group.finish(Order.Attempt, attempt_outcome::ConnectFailed,
                       monotonicNow()));
}

void group_shard::applyCancel(const cancel_action &Order) {
  const auto Found = Running.find(Order.Attempt);
  // An answer that already streams to its caller goes on.
  if (Found != Running.end() && !Found->second.Streaming)
    Found->second.Connection->cancel();
}

void group_shard::setLeaseEnd(time_point Until) {
  const std::lock_guard Guard(Lock);
  Group.setLeaseEnd(Until);
  apply(Group.tick(monotonicNow()));
}

std::size_t group_shard::idleConnections(const service &Service) {
  return static_cast<std::size_t>(
      std::clamp(Service.MaxConnections / LateOwners, 1, MaxIdleConnections));
}

void group_shard::reconfigure(const service &Service,
                              std::span<const backend_server> Servers,
                              bool IsZoneActive) {
  const std::lock_guard Guard(Lock);
  Group.reconfigure(Service);
  apply(Group.setServers(Servers, IsZoneActive, monotonicNow()));
}

void group_shard::assumeOccupied(time_point Until) {
  const std::lock_guard Guard(Lock);
  Group.assumeOccupied(Until);
}

void group_shard::inherit(std::span<const inherited_attempt> Attempts) {
  const std::lock_guard Guard(Lock);
  for (const inherited_attempt &Attempt : Attempts)
    Group.inherit(Attempt);
}

void group_shard::onInheritedAttemptEnd(const std::string &Server,
                                        attempt_id Attempt) {
  const std::lock_guard Guard(Lock);
  apply(Group.onInheritedAttemptEnd(Server, Attempt, monotonicNow()));
}

void group_shard::onLoadReport(const std::string &Server, int InFlight) {
  const std::lock_guard Guard(Lock);
  apply(Group.onLoadReport(Server, InFlight, monotonicNow()));
}

void group_shard::tick() {
  const std::lock_guard Guard(Lock);
  apply(Group.tick(monotonicNow()));
}

std::vector<inherited_attempt> group_shard::handOver(
    std::function<void(const std::string &, attempt_id)> NewOnFreed) {
  const std::lock_guard Guard(Lock);
  std::vector<inherited_attempt> Attempts;
  Group.setLeaseEnd(monotonicNow());
  OnFreed = std::move(NewOnFreed);
  apply(Group.handOver(Attempts));
  return Attempts;
}

group_load group_shard::load() const {
  const std::lock_guard Guard(Lock);
  return Group.load(monotonicNow());
}

group_counters group_shard::counters() const {
  const std::lock_guard Guard(Lock);
  return Group.counters();
}

std::vector<std::string> group_shard::assumedServers() const {
  const std::lock_guard Guard(Lock);
  return Group.assumedServers(monotonicNow());
}

std::size_t group_shard::running() const {
  const std::lock_guard Guard(Lock);
  return Running.size();
}

} // namespace agatedale
