/// \file
/// Executes the actions of server groups over the connection pool.
#include "group_host.h"

#include "../core/log.h"

#include <algorithm>

namespace agatedale {

namespace {

server_group_settings groupSettings(const service &Service,
                                    const gateway_settings &Settings) {
  server_group_settings Group;
  Group.Service = Service;
  Group.RetryPercent = Settings.RetryPercent;
  Group.Hedging = Settings.HedgePercent > 0;
  Group.HedgePercent = Settings.HedgePercent;
  Group.ControlsOverload = Settings.ControlsOverload;
  Group.BoundsRetryAfter = Settings.BoundsRetryAfter;
  Group.MeasuresSpeed = Settings.MeasuresSpeed;
  Group.QueryServerLoad = !Service.LoadPath.empty();
  return Group;
}

/// Returns the share of a group in the unused retries that the operators allow
/// for its service: by its servers, so that it does not depend on the number of
/// groups. Half is left to changes of the owner, when two VMs may dispatch for
/// a group at the same time.
double retryBurstOf(const server_group_spec &Spec, const configuration &Config,
                    double ServiceBurst) {
  constexpr double OwnerShare = 0.5;
  const auto Servers =
      std::count_if(Config.servers().begin(), Config.servers().end(),
                    [&Spec](const backend_server &Server) {
                      return Server.Service == Spec.Id.Service;
                    });
  const double Share =
      static_cast<double>(Spec.Servers.size()) /
      static_cast<double>(std::max<std::ptrdiff_t>(Servers, 1));
  return std::max(1.0, OwnerShare * ServiceBurst * Share);
}

} // namespace

group_host::hosted_group *group_host::findOrCreate(const group_id &Id) {
  const auto ExistingGroup = Groups.find(Id);
  if (ExistingGroup != Groups.end())
    return ExistingGroup->second.get();
  if (!Snapshot)
    return nullptr;
  const auto Service = Snapshot->Config->services().find(Id.Service);
  if (Service == Snapshot->Config->services().end())
    return nullptr;
  result<server_group> Group =
      server_group::create(groupSettings(Service->second, Settings), {});
  if (const error *Error = errorOf(Group)) {
    logLine(log_level::Error, "group-refused",
            {{"group", toText(Id)}, {"why", Error->Message}});
    return nullptr;
  }
  auto Hosted = std::make_unique<hosted_group>(moveValue(std::move(Group)));
  Hosted->Group.setLeaseEnd(time_point::max());
  Hosted->Group.setHolds(Holds);
  if (Settings.LearnsConcurrency)
    Hosted->Group.setLearnedLimits(Limits);
  Hosted->Group.setFinishLimit(Finish);
  hosted_group *Created = Hosted.get();
  Groups.emplace(Id, std::move(Hosted));
  configureGroup(Id, *Created);
  if (FollowsOwner && FollowsOwner(Id)) {
    Created->Group.limitUnusedRetries();
    logLine(log_level::Info, "group-taken-over", {{"group", toText(Id)}});
  }
  return Created;
}

void group_host::onOtherOwner(const group_id &Id) {
  const auto Found = Groups.find(Id);
  if (Found != Groups.end())
    Found->second->Group.limitUnusedRetries();
}

void group_host::configureGroup(const group_id &Id, hosted_group &Hosted) {
  const configuration &Config = *Snapshot->Config;
  const auto Service = Config.services().find(Id.Service);
  if (Service != Config.services().end())
    Hosted.Group.reconfigure(Service->second);
  const server_group_spec *Spec = Config.findGroup(Id);
  if (Spec)
    Hosted.Group.setRetryBurst(
        retryBurstOf(*Spec, Config, Settings.RetryBurst));
  executeActions(Id, Hosted.Group.setVersionShares(sharesOf(Id), bootNow()));
  const std::vector<backend_server> NoServers;
  executeActions(Id, Hosted.Group.setServers(Spec ? Spec->Servers : NoServers,
                                             Config.isZoneActive(Id.Zone),
                                             bootNow()));
}

void group_host::setSnapshot(
    std::shared_ptr<const fleet_snapshot> NewSnapshot) {
  Snapshot = std::move(NewSnapshot);
  for (const auto &[Id, Hosted] : Groups)
    configureGroup(Id, *Hosted);
}

std::optional<version_shares> group_host::sharesOf(const group_id &Id) const {
  const auto ByRegion = Shares.find(Id.Service);
  if (ByRegion == Shares.end() || !Snapshot)
    return std::nullopt;
  const auto Found = ByRegion->second.find(Snapshot->Config->regionOf(Id.Zone));
  return Found == ByRegion->second.end() ? std::nullopt
                                         : std::optional(Found->second);
}

void group_host::setVersionShares(
    const std::string &Service,
    std::map<std::string, version_shares, std::less<>> ByRegion) {
  const auto Known = Shares.find(Service);
  if (Known == Shares.end() ? ByRegion.empty() : Known->second == ByRegion)
    return;
  if (ByRegion.empty())
    Shares.erase(Known);
  else
    Shares[Service] = std::move(ByRegion);
  for (const auto &[Id, Hosted] : Groups) {
    if (Id.Service == Service)
      executeActions(Id,
                     Hosted->Group.setVersionShares(sharesOf(Id), bootNow()));
  }
}

bool group_host::hasGroupOf(const std::string &Service) const {
  const auto First = Groups.lower_bound({Service, "", 0});
  return First != Groups.end() && First->first.Service == Service;
}

void group_host::addEvidence(rollout_report &Report) const {
  for (const auto &[Id, Hosted] : Groups) {
    if (Id.Service != Report.Service)
      continue;
    Report.OldInFlight +=
        static_cast<std::uint32_t>(Hosted->Group.inFlightAtOldVersion());
    for (const auto &[Key, Tally] : Hosted->Group.evidence())
      Report.Evidence[Key].add(Tally);
  }
}

void group_host::setFinishLimit(const finish_limit &Limit) {
  Finish = Limit;
  for (const auto &[Id, Hosted] : Groups)
    Hosted->Group.setFinishLimit(Limit);
}

forward_ticket group_host::submit(forward_request Request,
                                  forward_callback Done) {
  const forward_ticket Ticket = ++LastTicket;
  const group_id Id = Request.Group;
  hosted_group *Hosted = findOrCreate(Id);
  if (!Hosted) {
    forward_response Response;
    Response.Reason = refusal_reason::NoServer;
    Loop.post([Done = std::move(Done), Response] { Done(Response); });
    return Ticket;
  }
  work_item Item;
  Item.Id = Ticket;
  Item.Account = Request.Account;
  Item.Weight = Request.AccountWeight;
  Item.Deadline = Request.Deadline;
  Item.Aim = Request.Aim;
  Item.Priority = Request.Priority;
  Item.Idempotent = Request.Idempotent;
  Item.Route = Request.Route;
  Item.MaxAttempts = Request.MaxAttempts;
  Item.AttemptsBefore = Request.AttemptsBefore;
  Item.IsFirstOffer = Request.OffersBefore == 0;
  Item.Finish = Request.Finish;
  Item.Versions = Request.Versions;
  Requests.emplace(Ticket,
                   hosted_request{std::move(Request), std::move(Done), "", 0});
  executeActions(Id, Hosted->Group.submit(Item, bootNow()));
  return Ticket;
}

void group_host::executeActions(const group_id &Id,
                                const std::vector<group_action> &Actions) {
  for (const group_action &Action : Actions) {
    if (const auto *Order = std::get_if<send_action>(&Action))
      send(Id, *Order);
    else if (const auto *Cancel = std::get_if<cancel_action>(&Action))
      cancelCall(Id, Cancel->Attempt);
    else if (const auto *Refusal = std::get_if<group_refusal>(&Action))
      refuse(Id, *Refusal);
    else if (const auto *Delivery = std::get_if<deliver_action>(&Action))
      deliver(Id, *Delivery);
    else if (const auto *Probe = std::get_if<load_query_action>(&Action))
      probeLoad(Id, *Probe);
  }
}

void group_host::send(const group_id &Id, const send_action &Order) {
  const auto Found = Requests.find(Order.Request);
  if (Found == Requests.end()) {
    // The request was cancelled while the group decided to send it.
    Loop.post([this, Id, Order] {
      onResult(Id, Order, {attempt_outcome::NotSent, {}, std::nullopt});
    });
    return;
  }
  hosted_request &Request = Found->second;
  if (reasonNotToRun(Request.Request) != refusal_reason::None) {
    // Posted because the group may still be deciding about this request.
    Loop.post([this, Id, Order] {
      onResult(Id, Order, {attempt_outcome::TooLate, {}, std::nullopt});
    });
    return;
  }
  Request.Server = Order.Server;
  ++Request.Attempts;
  if (OnSend)
    OnSend(Request.Request, Order.Server);
  Groups.at(Id)->Calls[Order.Attempt] = Pool.send(
      Order, Request.Request,
      [this, Id, Order](call_result Result) {
        onResult(Id, Order, std::move(Result));
      },
      [this, Ticket = Order.Request] { return reasonNotToSend(Ticket); });
}

/// Returns why a request must not be sent now that the server is connected;
/// empty if it may.
std::string_view group_host::reasonNotToSend(forward_ticket Ticket) const {
  const auto Found = Requests.find(Ticket);
  if (Found == Requests.end())
    return {};
  const refusal_reason Reason = reasonNotToRun(Found->second.Request);
  return Reason == refusal_reason::None ? std::string_view()
                                        : reasonName(Reason);
}

void group_host::probeLoad(const group_id &Id, const load_query_action &Order) {
  const auto Service = Snapshot->Config->services().find(Id.Service);
  const std::string Path = Service == Snapshot->Config->services().end()
                               ? std::string()
                               : Service->second.LoadPath;
  Pool.probeLoad(Order, Path, [this, Id, Order](call_result Result) {
    applyNotices(Id, Order.Server, Order.ServerStart, Result);
    const bool HasReport =
        Result.Outcome == attempt_outcome::Answered && Result.Report;
    executeActions(Id, Groups.at(Id)->Group.onLoadQueryResult(
                           Order.Server, HasReport ? &*Result.Report : nullptr,
                           bootNow()));
  });
}

void group_host::applyNotices(const group_id &Id, const std::string &Server,
                              std::uint64_t Start, const call_result &Result) {
  if (Result.SaidLeaving && OnLeaving)
    OnLeaving({Server, Start, Id.Service, Id.Zone});
  if (Result.RetryAfter)
    holdServer(Id, Server, Start, *Result.RetryAfter);
}

void group_host::holdServer(const group_id &Id, const std::string &Server,
                            std::uint64_t Start, duration Asked) {
  const time_point Now = bootNow();
  const time_point Before = Holds.heldUntil(Server, Start);
  const time_point Until = Holds.record(Server, Start, Asked, Now);
  // Also in a group that the server has moved to since it was sent the request.
  for (const auto &[OtherId, Hosted] : Groups)
    Hosted->Group.hold(Server, Start, Until);
  ++HoldsMade;
  const bool IsGroupHeld = Groups.at(Id)->Group.allHeldUntil(Now).has_value();
  logLine(
      log_level::Info, "server-held",
      {{"server", Server},
       {"group", toText(Id)},
       {"asked_ms", toMillis(Asked)},
       {"held_ms", toMillis(Until - Now)},
       {"left_before_ms", toMillis(std::max(Before - Now, duration::zero()))},
       {"whole_group", IsGroupHeld}});
}

void group_host::onResult(const group_id &Id, const send_action &Order,
                          call_result Result) {
  hosted_group &Hosted = *Groups.at(Id);
  const attempt_id Attempt = Order.Attempt;
  Hosted.Calls.erase(Attempt);
  applyNotices(Id, Order.Server, Order.ServerStart, Result);
  const attempt_outcome Outcome = Result.Outcome;
  const std::optional<server_report> Report = Result.Report;
  Hosted.Responses[Attempt] = std::move(Result);
  // With a hedged request, the last attempt may not be the one that answered.
  const auto Request = Requests.find(Order.Request);
  if (Outcome == attempt_outcome::Answered && Request != Requests.end())
    Request->second.Server = Order.Server;
  executeActions(Id, Hosted.Group.finish(Attempt, Outcome, bootNow(),
                                         Report ? &*Report : nullptr));
  Hosted.Responses.erase(Attempt);
}

void group_host::cancelCall(const group_id &Id, attempt_id Attempt) {
  hosted_group &Hosted = *Groups.at(Id);
  const auto Call = Hosted.Calls.find(Attempt);
  if (Call == Hosted.Calls.end())
    return;
  Call->second->cancel();
  Hosted.Calls.erase(Call);
  executeActions(
      Id, Hosted.Group.finish(Attempt, attempt_outcome::Cancelled, bootNow()));
}

void group_host::deliver(const group_id &Id, const deliver_action &Order) {
  hosted_group &Hosted = *Groups.at(Id);
  forward_response Response;
  Response.Verdict = verdict::Answered;
  Response.Response = std::move(Hosted.Responses[Order.Attempt].Response);
  Response.Load = Hosted.Group.load(bootNow());
  finish(Order.Request, std::move(Response));
}

void group_host::refuse(const group_id &Id, const group_refusal &Refusal) {
  forward_response Response;
  Response.Verdict = Refusal.Verdict;
  Response.Reason = Refusal.Reason;
  // The group knows only that the request was not sent.
  const auto Found = Requests.find(Refusal.Request);
  if (Refusal.Verdict == verdict::NotRun && Found != Requests.end()) {
    const refusal_reason Unfit = reasonNotToRun(Found->second.Request);
    Response.Reason = Unfit != refusal_reason::None ? Unfit : Refusal.Reason;
  }
  Response.RetryAfter = Refusal.RetryAfter;
  Response.Load = Groups.at(Id)->Group.load(bootNow());
  finish(Refusal.Request, std::move(Response));
}

void group_host::finish(forward_ticket Ticket, forward_response Response) {
  const auto Found = Requests.find(Ticket);
  if (Found == Requests.end())
    return;
  Response.Server = Found->second.Server;
  Response.Attempts = Found->second.Attempts;
  // Posted because the handler may submit another request at once, and the
  // group must have finished processing this one before.
  Loop.post([Done = std::move(Found->second.Done),
             Response = std::move(Response)]() mutable {
    Done(std::move(Response));
  });
  Requests.erase(Found);
}

bool group_host::withdraw(forward_ticket Ticket) {
  const auto Found = Requests.find(Ticket);
  const bool IsUnsent =
      Found != Requests.end() && Found->second.Attempts == 0 &&
      Groups.at(Found->second.Request.Group)->Group.withdraw(Ticket);
  if (IsUnsent)
    Requests.erase(Found);
  return IsUnsent;
}

void group_host::cancel(forward_ticket Ticket) {
  const auto Found = Requests.find(Ticket);
  if (Found == Requests.end())
    return;
  const group_id Id = Found->second.Request.Group;
  const bool MayCancel = Found->second.Request.Idempotent;
  hosted_group &Hosted = *Groups.at(Id);
  if (Hosted.Group.withdraw(Ticket)) {
    Requests.erase(Found);
    return;
  }
  Hosted.Group.forbidRetry(Ticket);
  if (!MayCancel)
    return;
  Requests.erase(Found);
  for (const attempt_id Attempt : Hosted.Group.attemptsOf(Ticket))
    cancelCall(Id, Attempt);
}

group_counters group_host::counters() const {
  group_counters Sum;
  for (const auto &[Id, Hosted] : Groups) {
    const group_counters &Counters = Hosted->Group.counters();
    Sum.Submitted += Counters.Submitted;
    Sum.Sent += Counters.Sent;
    Sum.Hedges += Counters.Hedges;
    Sum.HedgesWon += Counters.HedgesWon;
    Sum.HedgesRefused += Counters.HedgesRefused;
    Sum.Retries += Counters.Retries;
    Sum.Delivered += Counters.Delivered;
    Sum.Refused += Counters.Refused;
    Sum.LimitCuts += Counters.LimitCuts;
  }
  return Sum;
}

void group_host::tick() {
  const time_point Now = bootNow();
  for (const auto &[Id, Hosted] : Groups)
    executeActions(Id, Hosted->Group.tick(Now));
}

} // namespace agatedale
