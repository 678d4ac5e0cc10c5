/// \file
/// Routing, forwarding and retries of requests, and the responses to callers.
#include "request_router.h"

#include "../core/log.h"
#include "agatedale/configuration_faults.h"
#include "agatedale/retry_after.h"
#include "body_parts.h"
#include "platform/headers.h"
#include "wire_convert.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace agatedale {

namespace {

/// Cost of sending to another zone of the region: the local zone is preferred
/// until its expected wait is longer by this much. Traffic between zones is
/// charged.
constexpr duration CrossZoneLatency = std::chrono::milliseconds(15);

/// Cost of sending to another region. The round trip takes 24 ms and the price
/// per volume is seven times that of traffic between zones.
constexpr duration CrossRegionLatency = std::chrono::milliseconds(120);

/// Time for which a load reported by an owner is used: about one service time.
constexpr duration LoadReportLifetime = std::chrono::milliseconds(400);

/// Of the costs of groups over which requests are spread while slots are
/// scarce: less sends all requests to one group until the next report, more
/// sends requests to other zones that their own zone could serve.
constexpr duration PlacementSpread = std::chrono::milliseconds(60);

/// Maximum number of server groups that one request is sent to.
constexpr int MaxGroupsPerRequest = 3;

/// Grace times after the deadline for a request and for a call to a peer. An
/// owner responds at the deadline at the latest, so an owner that has not
/// responded after this time is not waited for.
constexpr duration OverdueGrace = std::chrono::milliseconds(300);
constexpr duration PeerResponseGrace = std::chrono::milliseconds(250);

/// Shorter than PeerResponseGrace, so that the VM that waits in another region
/// gets the response.
constexpr duration RerouteGrace = std::chrono::milliseconds(150);

/// Bounds of the Retry-After time. The minimum also applies if the group has no
/// estimate.
constexpr duration MinRetryAfter = std::chrono::milliseconds(50);
constexpr duration MaxRetryAfter = std::chrono::seconds(5);

constexpr int StatusUnauthorized = 401;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;
constexpr int StatusGatewayTimeout = 504;

/// Returns a Retry-After time; clients read fractions of a second, but no
/// exponents.
std::string formatSeconds(duration Time) {
  return fmt::format("{:.3f}", std::chrono::duration<double>(Time).count());
}

group_selector_settings selectorSettings(const gateway_settings &Gateway) {
  group_selector_settings Settings;
  Settings.CrossZoneLatency = CrossZoneLatency;
  Settings.LoadReportLifetime = LoadReportLifetime;
  if (Gateway.SpreadsPlacement)
    Settings.Spread = PlacementSpread;
  return Settings;
}

std::string_view hostName(std::string_view Host) {
  return Host.substr(0, Host.find(':'));
}

/// Returns the slots of the servers that accept requests for \p Versions.
int usableSlots(const server_group_spec &Spec, const rollout_host *Rollouts,
                version_choice Versions) {
  int Slots = 0;
  for (const backend_server &Server : Spec.Servers) {
    const bool IsUsable =
        !Server.Leaving && (!Rollouts || Rollouts->permits(Server, Versions));
    Slots += IsUsable ? std::max(Server.Slots, 1) : 0;
  }
  return Slots;
}

/// Returns the response of a peer's reply, which is moved from.
forward_response responseOf(wire_gateway::Forwarded &Reply,
                            received_body Body) {
  forward_response Response = fromMessage(std::move(Reply));
  if (!Body.Bytes.empty())
    Response.Response.Body = std::move(Body.Bytes);
  Response.Response.Held = std::move(Body.Held);
  return Response;
}

bool isRetriableOnAnotherGroup(refusal_reason Reason) {
  switch (Reason) {
  // An owner of an earlier build cannot read bytes that are not UTF-8.
  case refusal_reason::MalformedRequest:
  case refusal_reason::CannotBeOnTime:
  case refusal_reason::QueueFull:
  case refusal_reason::AccountQueueFull:
  case refusal_reason::NoServer:
  case refusal_reason::NoOwner:
  case refusal_reason::NotOwner:
  case refusal_reason::OwnerLost:
  case refusal_reason::ServerShed:
  case refusal_reason::ServerUnreachable:
  case refusal_reason::MemoryFull:
  case refusal_reason::ConfigurationUnproven:
    return true;
  default:
    return false;
  }
}

/// Returns the response to a request that is refused or has failed.
http_response_message makeRefusal(const forward_response &Response) {
  http_response_message Message;
  if (Response.Verdict != verdict::NotRun) {
    // The reason may come from a later group that did not run the request, and
    // its status would wrongly tell the caller that the request did not run.
    Message.Status =
        std::max(httpStatusOf(Response.Reason), StatusGatewayTimeout);
    return Message;
  }
  if (httpStatusOf(Response.Reason) == StatusUnauthorized) {
    Message.Status = StatusUnauthorized;
    platform::addAuthenticationHeader(Message);
    return Message;
  }
  Message.Status = Response.Reason == refusal_reason::QuotaExceeded
                       ? StatusTooManyRequests
                       : StatusUnavailable;
  Message.Headers.add("Retry-After", formatSeconds(Response.RetryAfter));
  return Message;
}

} // namespace

/// State of a caller's request from its arrival to its response.
struct request_router::active_request {
  std::shared_ptr<caller_exchange> Exchange; ///< Null if it came from a peer.
  forward_callback PeerDone;                 ///< Of a request from a peer.
  forward_request Request;
  std::string Service;
  std::vector<std::string> HomeRegions;
  std::set<group_id> TriedGroups;
  int Attempts = 0;
  int GroupsAsked = 0;                       ///< By this VM.
  int Offers = 0;                            ///< Groups that have answered.
  verdict CombinedVerdict = verdict::NotRun; ///< Of all attempts so far.
  time_point ArrivedAt{};
  bool Done = false;
  event_loop::timer_id Timer = 0;
  std::function<void()> Cancel;  ///< Cancels the request at its current owner.
  forward_ticket HostTicket = 0; ///< 0 if this VM is not the owner.
  bool AwaitsQuota = false;      ///< Sent to no server yet.
  bool HoldsToken = false;       ///< To return if the request was not run.
  /// When the caller gives up, as it states it; zero if it does not.
  time_point StatedDeadline{};
  /// Of a caller that returns: the Retry-After that it was told, or the time
  /// that it has waited if another VM told it.
  std::optional<duration> ToldRetryAfter;
};

request_router::request_router(event_loop &Loop,
                               const gateway_settings &Settings,
                               vm_directory &Vms, group_host &Host,
                               const leaving_servers &Leaving, metrics &Metrics)
    : Loop(Loop), Settings(Settings), Vms(Vms), Host(Host), Leaving(Leaving),
      Metrics(Metrics),
      Selector(group_selector::create(selectorSettings(Settings))),
      Random(Vms.self().Id.Incarnation ^ stableHash(Settings.Vm)) {}

void request_router::setSnapshot(
    std::shared_ptr<const fleet_snapshot> NewSnapshot) {
  const bool IsNewVersion =
      !Snapshot || Snapshot->Version != NewSnapshot->Version;
  Snapshot = std::move(NewSnapshot);
  if (IsNewVersion)
    retainRouteSplits();
}

/// Drops the splits of routes that are no longer configured.
void request_router::retainRouteSplits() {
  std::map<std::string, weighted_round_robin> Retained;
  for (const route &Route : Snapshot->Config->routes()) {
    if (auto Split = RouteSplits.extract(Route.Name))
      Retained.insert(std::move(Split));
  }
  RouteSplits = std::move(Retained);
}

void request_router::refuseImmediately(
    const std::shared_ptr<caller_exchange> &Exchange,
    const arrival_refusal &Refusal) {
  http_response_message Response;
  Response.Status = httpStatusOf(Refusal.Reason);
  if (Response.Status == StatusUnauthorized)
    platform::addAuthenticationHeader(Response);
  if (Response.Status == StatusUnavailable)
    Response.Headers.add("Retry-After", formatSeconds(Refusal.RetryAfter));
  const platform::request_metadata Terms =
      platform::readMetadata(Exchange->Request);
  countRefusal(Refusal.Reason, Refusal.Account);
  logLine(log_level::Info, "request-refused",
          {{"request", Terms.Id},
           {"reason", reasonName(Refusal.Reason)},
           {"account", Refusal.Account},
           {"verdict", verdictName(verdict::NotRun)},
           {"version", Snapshot ? Snapshot->Version : 0}});
  Exchange->respond(Response, Refusal.Close);
}

/// Refuses a request because a later configuration, which may allow or forbid
/// it, cannot be applied here. Another VM may be able to.
void request_router::refuseSuperseded(
    const std::shared_ptr<caller_exchange> &Exchange) {
  arrival_refusal Refusal{refusal_reason::ConfigurationSuperseded};
  Refusal.Close = true;
  refuseImmediately(Exchange, Refusal);
}

/// Counts a refusal, and apart from that by account: the reasons that have no
/// account are watched as before.
void request_router::countRefusal(refusal_reason Reason,
                                  const std::string &Account) {
  const metric_labels Label = formatLabel("reason", reasonName(Reason));
  Metrics.increment("agatedale_refusals_total", Label);
  if (!Account.empty())
    Metrics.increment("agatedale_account_refusals_total",
                      formatLabel("account", Account) + "," + Label);
}

/// Finds the account of a request and takes the client's key out of it. Without
/// a table of accounts in the configuration, requests pass unchanged.
account_admission request_router::admit(const route &Route,
                                        caller_exchange &Exchange) {
  const account_directory &Directory = Snapshot->Config->directory();
  if (!Directory.requiresAccount())
    return {};
  account_admission Found;
  if (!Route.IsPublic)
    Found = Gate.admit(Directory, platform::readClientKey(Exchange.Request),
                       {bootNow(), Exchange.ArrivedAt, Age.AsOf()});
  platform::setAccountHeaders(Exchange.Request,
                              Found.Account ? Found.Account->Name : "");
  return Found;
}

std::optional<std::string>
request_router::accountOf(const request_decoder &Received) const {
  if (!Snapshot || !Snapshot->Config->directory().requiresAccount())
    return std::nullopt;
  const http_request_message Head = Received.head();
  const presented_key Key = platform::readClientKey(Head);
  const client_account *Account =
      Key.State == presented_key::state::Present && isKeyText(Key.Value)
          ? Snapshot->Config->directory().find(Key.Value)
          : nullptr;
  return Account ? Account->Name : std::string();
}

void request_router::serve(const std::shared_ptr<caller_exchange> &Exchange) {
  const auto Refuse = [&](refusal_reason Reason) {
    refuseImmediately(Exchange, {Reason});
  };
  if (!Snapshot || IsEnding)
    return Refuse(IsEnding ? refusal_reason::Stopping
                           : refusal_reason::NotReady);
  if (!Age.MayServe())
    return refuseSuperseded(Exchange);
  const route *Route = Snapshot->Config->findRouteForHost(
      hostName(Exchange->Request.Headers.get("Host")),
      Exchange->Request.Target);
  if (!Route)
    return Age.IsSuperseded() ? refuseSuperseded(Exchange)
                              : Refuse(refusal_reason::NoRoute);
  if (!Route->Fault.empty())
    return refuseImmediately(Exchange,
                             {refusal_reason::RouteUnusable, FaultRetryAfter});
  const account_admission Admission = admit(*Route, *Exchange);
  if (Admission.Reason != refusal_reason::None)
    return refuseImmediately(Exchange,
                             {Admission.Reason, Admission.RetryAfter});
  if (Admission.Account && !Age.MayAdmitKeys())
    return refuseImmediately(Exchange,
                             {refusal_reason::ConfigurationUnproven,
                              MinRetryAfter, true, Admission.Account->Name});
  if (Admission.Account && refuseOverQuota(Exchange, Admission.Account->Name))
    return;
  place(Exchange, *Route, Admission);
}

/// Sends a request that was admitted to the owner of a server group.
void request_router::place(const std::shared_ptr<caller_exchange> &Exchange,
                           const route &Route,
                           const account_admission &Admission) {
  const client_account *Account = Admission.Account;
  std::optional<std::vector<std::string>> Homes = commonHomes(Route, Account);
  if (!Homes) {
    refuseImmediately(Exchange, {refusal_reason::RegionsDisjoint, MinRetryAfter,
                                 false, Account->Name});
    return;
  }
  http_request_message &Message = Exchange->Request;
  if (Budget && Budget->refusesWork()) {
    refuseImmediately(Exchange, {refusal_reason::MemoryFull});
    return;
  }
  const std::string &Service =
      RouteSplits[Route.Name].next(Route.Split, Random);
  const refusal_reason Unusable =
      reasonNotToPlace(*Snapshot->Config, Service, *Homes);
  if (Unusable != refusal_reason::None) {
    refuseImmediately(Exchange, {Unusable, FaultRetryAfter, false,
                                 Account ? Account->Name : ""});
    return;
  }
  const platform::request_metadata Terms = platform::readMetadata(Message);
  const auto ActiveRequest = std::make_shared<active_request>();
  ActiveRequest->Exchange = Exchange;
  ActiveRequest->ArrivedAt = Exchange->ArrivedAt;
  ActiveRequest->Service = Service;
  ActiveRequest->HomeRegions = std::move(*Homes);
  forward_request &Request = ActiveRequest->Request;
  Request.Id = Terms.Id;
  Request.ArrivedAt = Exchange->ArrivedAt;
  Request.Route = Route.Name;
  if (Account) {
    Exchange->setAccount(Account->Name);
    Request.Account = Account->Name;
    Request.AccountWeight = Account->Weight;
    Request.KeyCheck = Admission.KeyCheck;
    Request.ConfigurationVersion = Snapshot->Version;
    Request.ConfigurationAsOf =
        Age.IsProofNeeded ? Age.ProvenAsOf() : time_point{};
  }
  // The caller waits since it began to send; the operators' times are those of
  // a request that is whole.
  const std::chrono::milliseconds Longest =
      std::chrono::ceil<std::chrono::milliseconds>(Exchange->WholeAt -
                                                   Exchange->ArrivedAt) +
      Route.Timeout;
  Request.Deadline =
      Exchange->ArrivedAt +
      std::min(Terms.RemainingTimeout.value_or(Longest), Longest);
  if (Terms.RemainingTimeout)
    ActiveRequest->StatedDeadline =
        Exchange->ArrivedAt + *Terms.RemainingTimeout;
  if (Route.Aim.count() > 0) {
    const std::chrono::milliseconds CallerAge =
        ageOfCaller(Route.Name, Terms.RemainingTimeout);
    Request.Aim = Exchange->WholeAt + Route.Aim - CallerAge;
    if (CallerAge.count() > 0)
      ActiveRequest->ToldRetryAfter =
          Told.recall(Route.Name, ActiveRequest->StatedDeadline)
              .value_or(CallerAge);
  }
  Request.Priority =
      Account ? Account->Priority.value_or(Route.Priority) : Route.Priority;
  Request.Idempotent = Route.Idempotent;
  Request.MaxAttempts = Route.MaxAttempts;
  if (Rollouts)
    Request.Versions =
        Rollouts->choose(ActiveRequest->Service, ActiveRequest->HomeRegions);
  // Moved to avoid a second copy of the body; the exchange no longer uses it.
  Request.Message = std::move(Message);
  ActiveRequests.insert(ActiveRequest);
  Request.IsWanted = [Weak = std::weak_ptr(Exchange)] {
    const auto Waiting = Weak.lock();
    return Waiting && !Waiting->hasCallerLeft();
  };
  Exchange->OnDisconnected = [this, ActiveRequest](connection_end By) {
    onDisconnected(ActiveRequest, By);
  };
  ActiveRequest->Timer =
      Loop.after(Request.Deadline + OverdueGrace - bootNow(),
                 [this, ActiveRequest] { onOverdue(ActiveRequest); });
  admitByQuota(ActiveRequest);
}

bool request_router::refuseOverQuota(
    const std::shared_ptr<caller_exchange> &Exchange,
    const std::string &Account) {
  const auto RetryAfter =
      Quotas && !Account.empty() ? Quotas->refusal(Account) : std::nullopt;
  if (!RetryAfter)
    return false;
  http_response_message Response;
  Response.Status = StatusTooManyRequests;
  Response.Headers.add("Retry-After", formatSeconds(*RetryAfter));
  countRefusal(refusal_reason::QuotaExceeded, Account);
  Exchange->respond(Response);
  return true;
}

void request_router::admitByQuota(const active_request_ptr &ActiveRequest) {
  const std::string &Account = ActiveRequest->Request.Account;
  if (!Quotas || Account.empty() || !Quotas->isLimited(Account)) {
    dispatch(ActiveRequest);
    return;
  }
  ActiveRequest->AwaitsQuota = true;
  Quotas->admit(Account, [this, ActiveRequest](const quota_verdict &Verdict) {
    onQuotaVerdict(ActiveRequest, Verdict);
  });
}

void request_router::onQuotaVerdict(const active_request_ptr &ActiveRequest,
                                    const quota_verdict &Verdict) {
  ActiveRequest->AwaitsQuota = false;
  const bool IsAdmitted = Verdict.Kind == quota_verdict::kind::Admit;
  // A token of the local allowance belongs to no bucket.
  const bool HasToken = IsAdmitted && Verdict.HasOwner;
  if (ActiveRequest->Done) {
    if (HasToken)
      Quotas->giveBack(ActiveRequest->Request.Account);
    return;
  }
  if (IsAdmitted) {
    ActiveRequest->HoldsToken = HasToken;
    dispatch(ActiveRequest);
    return;
  }
  forward_response Refused;
  Refused.Reason = refusal_reason::QuotaExceeded;
  Refused.RetryAfter = Verdict.RetryAfter;
  complete(ActiveRequest, std::move(Refused));
}

/// Returns how long a caller has waited before it sent its request again.
std::chrono::milliseconds
request_router::ageOfCaller(const std::string &Route,
                            std::optional<std::chrono::milliseconds> TimeLeft) {
  if (!Settings.ControlsOverload || !TimeLeft)
    return std::chrono::milliseconds(0);
  const std::chrono::milliseconds Age = CallerAges.ageOf(Route, *TimeLeft);
  if (Age.count() > 0)
    Metrics.record("agatedale_caller_age_seconds", {}, Age);
  return Age;
}

std::vector<group_candidate>
request_router::candidates(const active_request &ActiveRequest) const {
  std::vector<group_candidate> Found;
  const configuration &Config = *Snapshot->Config;
  for (const server_group_spec &Spec : Config.groups()) {
    if (Spec.Id.Service != ActiveRequest.Service ||
        !Config.isZoneActive(Spec.Id.Zone) ||
        ActiveRequest.TriedGroups.contains(Spec.Id))
      continue;
    const std::string_view Region = Config.regionOf(Spec.Id.Zone);
    const bool IsHome = ActiveRequest.HomeRegions.empty() ||
                        std::find(ActiveRequest.HomeRegions.begin(),
                                  ActiveRequest.HomeRegions.end(),
                                  Region) != ActiveRequest.HomeRegions.end();
    const int Slots =
        usableSlots(Spec, Rollouts, ActiveRequest.Request.Versions);
    if (!IsHome || Slots == 0)
      continue;
    const duration Hop = Spec.Id.Zone == Settings.Zone ? duration::zero()
                         : Region == Settings.Region   ? CrossZoneLatency
                                                       : CrossRegionLatency;
    Found.push_back({Spec.Id, Hop, Slots});
  }
  return Found;
}

/// Returns the groups that may serve a request, of its version or else of
/// others: the old version stands in for the new one, and what stands in for
/// the old one the owner of a group decides.
std::vector<group_candidate>
request_router::candidatesOrNextBest(active_request &ActiveRequest) const {
  version_choice &Versions = ActiveRequest.Request.Versions;
  std::vector<group_candidate> Found = candidates(ActiveRequest);
  if (Found.empty() && Versions == version_choice::New) {
    Versions = version_choice::Old;
    Found = candidates(ActiveRequest);
  }
  if (Found.empty() && Versions == version_choice::Old) {
    Versions = version_choice::Undecided;
    Found = candidates(ActiveRequest);
  }
  return Found;
}

void request_router::dispatch(const active_request_ptr &ActiveRequest) {
  const time_point Now = bootNow();
  if (Now >= ActiveRequest->Request.Deadline) {
    forward_response TooOld;
    TooOld.Reason = refusal_reason::DeadlinePassed;
    TooOld.Verdict = ActiveRequest->CombinedVerdict;
    complete(ActiveRequest, std::move(TooOld));
    return;
  }
  const refusal_reason Unfit = Age.ReasonNotToRun(ActiveRequest->Request);
  if (Unfit != refusal_reason::None) {
    forward_response Refused;
    Refused.Reason = Unfit;
    Refused.Verdict = ActiveRequest->CombinedVerdict;
    complete(ActiveRequest, std::move(Refused));
    return;
  }
  std::uniform_real_distribution<double> Draw(0, 1);
  const auto Group = Selector.choose(candidatesOrNextBest(*ActiveRequest), Now,
                                     nullptr, Draw(Random));
  if (!Group) {
    forward_response None;
    None.Reason = refusal_reason::NoServer;
    complete(ActiveRequest, std::move(None));
    return;
  }
  dispatchTo(*Group, ActiveRequest);
}

void request_router::dispatchTo(const group_id &Group,
                                const active_request_ptr &ActiveRequest) {
  ActiveRequest->TriedGroups.insert(Group);
  ++ActiveRequest->GroupsAsked;
  ActiveRequest->Request.Group = Group;
  ActiveRequest->Request.IsReroutable =
      Settings.RegionalOverflow && isRemote(Group);
  Selector.onSent(Group);
  const auto Owner =
      Vms.ownerOf(toText(Group), Group.Zone,
                  Snapshot->Config->regionOf(Group.Zone), bootNow());
  // If there is no VM near the servers, this VM dispatches for the group.
  sendToOwner(Owner ? *Owner : Vms.self(), ActiveRequest);
}

bool request_router::isRemote(const group_id &Group) const {
  return Snapshot->Config->regionOf(Group.Zone) != Settings.Region;
}

/// The owner of a group in another region has offered the request to other
/// groups there. Offering it again from here would cross the regions once more.
void request_router::excludeRegionOf(const group_id &Group,
                                     active_request &ActiveRequest) {
  const configuration &Config = *Snapshot->Config;
  const std::string_view Region = Config.regionOf(Group.Zone);
  for (const server_group_spec &Spec : Config.groups()) {
    if (Spec.Id.Service == Group.Service &&
        Config.regionOf(Spec.Id.Zone) == Region)
      ActiveRequest.TriedGroups.insert(Spec.Id);
  }
}

void request_router::sendToOwner(const entry_vm &Owner,
                                 const active_request_ptr &ActiveRequest) {
  if (Owner.Id.Name == Settings.Vm) {
    const forward_ticket Ticket =
        Host.submit(ActiveRequest->Request,
                    [this, ActiveRequest](forward_response Response) {
                      onResponse(ActiveRequest, std::move(Response));
                    });
    ActiveRequest->HostTicket = Ticket;
    ActiveRequest->Cancel = [this, Ticket] { Host.cancel(Ticket); };
    return;
  }
  const time_point Now = bootNow();
  ActiveRequest->HostTicket = 0;
  Host.onOtherOwner(ActiveRequest->Request.Group);
  ActiveRequest->Request.Finish =
      finish_limit::earlier(ActiveRequest->Request.Finish, Finish);
  ActiveRequest->Cancel = Peers->forward(
      Owner, makeForward(ActiveRequest->Request, Now),
      ActiveRequest->Request.Deadline + PeerResponseGrace - Now,
      [this, ActiveRequest, Owner](wire_gateway::Forwarded *Reply,
                                   peer_failure Failure, received_body Body) {
        onPeerResponse(ActiveRequest, Owner, Reply, Failure, std::move(Body));
      },
      bodyBeside(ActiveRequest->Request.Message.Body));
}

wire_gateway::Forward
request_router::makeForward(const forward_request &Request,
                            time_point Now) const {
  wire_gateway::Forward Message = toMessage(Request, Now);
  addLeaving(Leaving, Request.Group, Now, Message);
  return Message;
}

template <typename Message>
void request_router::learnLeaving(const Message &In, const group_id &Group) {
  const std::vector<leaving_server> Servers = readLeaving(In, Group);
  if (!Servers.empty() && OnLeaving)
    OnLeaving(Servers);
}

/// Checks a peer's reply. The request of one that is not used may have run.
bool request_router::isUsable(const wire_gateway::Forwarded &Reply) {
  const std::string_view Why = whyInvalid(Reply);
  if (!Why.empty())
    Peers->refuseMessage(Why);
  return Why.empty();
}

void request_router::onPeerResponse(const active_request_ptr &ActiveRequest,
                                    const entry_vm &Owner,
                                    wire_gateway::Forwarded *Reply,
                                    peer_failure Failure, received_body Body) {
  if (Reply && isUsable(*Reply)) {
    Vms.recordForwardSuccess(Owner.Id.Name);
    learnLeaving(*Reply, ActiveRequest->Request.Group);
    forward_response Response = responseOf(*Reply, std::move(Body));
    onResponse(ActiveRequest, std::move(Response));
    return;
  }
  if (ActiveRequest->Done)
    return;
  Vms.recordForwardFailure(Owner.Id.Name, bootNow());
  logLine(log_level::Warning, "peer-call-failed",
          {{"vm", Owner.Id.Name},
           {"request", ActiveRequest->Request.Id},
           {"sent", Failure == peer_failure::NoReply}});
  // Allows a retry on this group, which the next VM in order may own now.
  ActiveRequest->TriedGroups.erase(ActiveRequest->Request.Group);
  forward_response Response;
  Response.Reason = refusal_reason::OwnerLost;
  Response.Verdict =
      Failure == peer_failure::NotSent ? verdict::NotRun : verdict::MayHaveRun;
  Response.Attempts = Failure == peer_failure::NotSent ? 0 : 1;
  onResponse(ActiveRequest, std::move(Response));
}

void request_router::onResponse(const active_request_ptr &ActiveRequest,
                                forward_response Response) {
  const time_point Now = bootNow();
  const group_id Group = ActiveRequest->Request.Group;
  Selector.onAnswered(Group);
  if (Response.Load)
    Selector.onLoad(Response.Group.value_or(Group), *Response.Load, Now);
  if (ActiveRequest->Done)
    return;
  const bool WasOfferedToRegion = ActiveRequest->Request.IsReroutable &&
                                  Response.Reason != refusal_reason::OwnerLost;
  if (WasOfferedToRegion)
    excludeRegionOf(Group, *ActiveRequest);
  ActiveRequest->Attempts += Response.Attempts;
  ActiveRequest->CombinedVerdict =
      combineVerdicts(ActiveRequest->CombinedVerdict, Response.Verdict);
  Response.Verdict = ActiveRequest->CombinedVerdict;
  ActiveRequest->Request.MaxAttempts -= Response.Attempts;
  ActiveRequest->Request.AttemptsBefore += Response.Attempts;
  ++ActiveRequest->Request.OffersBefore;
  const bool MayRetry =
      Response.Verdict != verdict::Answered &&
      isRetryAllowed(Response.Verdict, ActiveRequest->Request.Idempotent) &&
      isRetriableOnAnotherGroup(Response.Reason);
  ActiveRequest->Offers += Response.Reason == refusal_reason::OwnerLost ? 0 : 1;
  const bool HasAttemptsLeft = ActiveRequest->Offers < MaxGroupsPerRequest &&
                               ActiveRequest->Request.MaxAttempts > 0 &&
                               Now < ActiveRequest->Request.Deadline;
  if (MayRetry && HasAttemptsLeft &&
      !candidatesOrNextBest(*ActiveRequest).empty()) {
    dispatch(ActiveRequest);
    return;
  }
  complete(ActiveRequest, std::move(Response));
}

duration request_router::withJitter(duration RetryAfter) {
  std::uniform_real_distribution<double> Jitter(1, 1 + RetryAfterJitter);
  return std::chrono::duration_cast<duration>(
      std::clamp(RetryAfter, MinRetryAfter, MaxRetryAfter) * Jitter(Random));
}

/// Records what a caller that returned got, against what it was told.
void request_router::recordReturn(const active_request &ActiveRequest,
                                  verdict Verdict) {
  const std::string_view Outcome =
      returnOutcome(Verdict, bootNow(), ActiveRequest.Request.Aim);
  if (ActiveRequest.ToldRetryAfter && !Outcome.empty())
    Metrics.record("agatedale_retry_after_seconds",
                   formatLabel("outcome", Outcome),
                   *ActiveRequest.ToldRetryAfter);
}

void request_router::complete(const active_request_ptr &ActiveRequest,
                              forward_response Response) {
  ActiveRequest->Done = true;
  ActiveRequest->Cancel = nullptr;
  Loop.cancel(ActiveRequest->Timer);
  ActiveRequests.erase(ActiveRequest);
  if (const auto PeerDone = std::exchange(ActiveRequest->PeerDone, nullptr)) {
    // The VM that took the request from the caller logs and counts it.
    Response.Attempts = ActiveRequest->Attempts;
    Response.Group = ActiveRequest->Request.Group;
    PeerDone(std::move(Response));
    return;
  }
  const duration RequestLatency = bootNow() - ActiveRequest->ArrivedAt;
  const forward_request &Request = ActiveRequest->Request;
  const bool Served = Response.Verdict == verdict::Answered;
  if (ActiveRequest->HoldsToken && Response.Verdict == verdict::NotRun)
    Quotas->giveBack(Request.Account);
  logLine(Served ? log_level::Debug : log_level::Info,
          Served ? "request-answered" : "request-refused",
          {{"request", Request.Id},
           {"route", Request.Route},
           {"account", Request.Account},
           {"group", toText(Request.Group)},
           {"server", Response.Server},
           {"status", Response.Response.Status},
           {"reason", reasonName(Response.Reason)},
           {"verdict", verdictName(Response.Verdict)},
           {"attempts", ActiveRequest->Attempts},
           {"groups", ActiveRequest->GroupsAsked},
           {"taken_ms", toMillis(RequestLatency)},
           {"version", Snapshot->Version}});
  Metrics.record("agatedale_request_seconds",
                 formatAccountLabels(Request.Account, Request.Route),
                 RequestLatency);
  if (!Served)
    countRefusal(Response.Reason, Request.Account);
  if (!ActiveRequest->Exchange)
    return;
  recordReturn(*ActiveRequest, Response.Verdict);
  if (Response.Verdict == verdict::NotRun) {
    if (Response.Reason == refusal_reason::AccountUnusable)
      Response.RetryAfter = FaultRetryAfter;
    // The time of a quota has its jitter already.
    if (Response.Reason != refusal_reason::QuotaExceeded)
      Response.RetryAfter = withJitter(Response.RetryAfter);
    if (Settings.ControlsOverload &&
        ActiveRequest->StatedDeadline > time_point{})
      Told.remember(Request.Route, ActiveRequest->StatedDeadline,
                    Response.RetryAfter);
  }
  // Another VM may have the proof that this one lacks.
  const bool Close = Response.Reason == refusal_reason::ConfigurationUnproven;
  ActiveRequest->Exchange->respond(Served ? std::move(Response.Response)
                                          : makeRefusal(Response),
                                   !Served && Close);
  ActiveRequest->Exchange = nullptr;
}

void request_router::onOverdue(const active_request_ptr &ActiveRequest) {
  if (ActiveRequest->Done)
    return;
  const auto Cancel = ActiveRequest->Cancel;
  forward_response Response;
  Response.Verdict =
      ActiveRequest->AwaitsQuota ? verdict::NotRun : verdict::MayHaveRun;
  Response.Reason = refusal_reason::DeadlinePassed;
  complete(ActiveRequest, std::move(Response));
  if (Cancel)
    Cancel();
}

void request_router::onDisconnected(const active_request_ptr &ActiveRequest,
                                    connection_end By) {
  if (ActiveRequest->Done)
    return;
  ActiveRequest->Done = true;
  ActiveRequest->Exchange = nullptr;
  Loop.cancel(ActiveRequest->Timer);
  ActiveRequests.erase(ActiveRequest);
  const auto Cancel = std::move(ActiveRequest->Cancel);
  ActiveRequest->Cancel = nullptr;
  const bool ByCaller = By == connection_end::ByCaller;
  logLine(ByCaller ? log_level::Info : log_level::Warning,
          ByCaller ? "caller-disconnected" : "request-dropped",
          {{"request", ActiveRequest->Request.Id},
           {"route", ActiveRequest->Request.Route},
           {"account", ActiveRequest->Request.Account},
           {"group", toText(ActiveRequest->Request.Group)},
           {"groups", ActiveRequest->GroupsAsked},
           {"after_ms", toMillis(bootNow() - ActiveRequest->ArrivedAt)}});
  if (Cancel)
    Cancel();
}

/// Returns why a request that crossed from another VM must not run here. One
/// that names no account on a route that needs a key comes from a VM that has
/// checked none.
refusal_reason
request_router::reasonNotToServePeer(const forward_request &Request) const {
  if (!Age.IsProofNeeded || !Snapshot || !Request.Account.empty())
    return Age.ReasonNotToRun(Request);
  const configuration &Config = *Snapshot->Config;
  const auto Route = std::find_if(
      Config.routes().begin(), Config.routes().end(),
      [&Request](const route &Known) { return Known.Name == Request.Route; });
  const bool NeedsKey = Config.directory().requiresAccount() &&
                        Route != Config.routes().end() && !Route->IsPublic;
  return NeedsKey ? refusal_reason::ConfigurationUnproven
                  : refusal_reason::None;
}

forward_ticket
request_router::serveForPeer(const wire_gateway::Forward &Message,
                             const forward_arrival &Arrival,
                             const peer_transport::forward_reply &Done) {
  const forward_ticket Ticket = ++LastPeerTicket;
  const time_point Now = bootNow();
  if (IsEnding) {
    // The peer tries the next owner.
    forward_response Refused;
    Refused.Reason = refusal_reason::NotOwner;
    Done(toMessage(std::move(Refused)), {});
    return Ticket;
  }
  result<forward_request> Read = fromMessage(Message, Now - Arrival.UnderWay);
  if (const error *Error = errorOf(Read)) {
    Peers->refuseMessage(Error->Message);
    forward_response Refused;
    Refused.Reason = refusal_reason::MalformedRequest;
    Done(toMessage(std::move(Refused)), {});
    return Ticket;
  }
  forward_request Request = moveValue(std::move(Read));
  if (!Arrival.Body.Bytes.empty())
    Request.Message.Body = Arrival.Body.Bytes;
  Request.IsWanted = Arrival.IsWanted;
  Metrics.record("agatedale_peer_transit_seconds", {}, Arrival.UnderWay);
  if (Now >= Request.Deadline) {
    forward_response Refused;
    Refused.Reason = refusal_reason::DeadlinePassed;
    Done(toMessage(std::move(Refused)), {});
    return Ticket;
  }
  const refusal_reason Unfit = reasonNotToServePeer(Request);
  if (Unfit != refusal_reason::None) {
    forward_response Refused;
    Refused.Reason = Unfit;
    Done(toMessage(Refused), {});
    return Ticket;
  }
  const auto Share =
      Arrival.Body.Held
          ? Arrival.Body.Held
          : std::make_shared<byte_reservation>(Budget, held_kind::RequestBody);
  const bool HasRoom = !Budget || (Share->resize(Request.Message.Body.size()) &&
                                   !Budget->refusesWork());
  if (!HasRoom) {
    forward_response Refused;
    Refused.Reason = refusal_reason::MemoryFull;
    Done(toMessage(std::move(Refused)), {});
    return Ticket;
  }
  learnLeaving(Message, Request.Group);
  const bool IsPeerStopping = Request.Finish.isSet();
  const auto Complete = [this, Ticket, Done, Share, IsPeerStopping,
                         Group = Request.Group](forward_response Response) {
    PeerRequests.erase(Ticket);
    // This VM stops and the peer does not: it may offer the request elsewhere.
    if (!IsPeerStopping && Response.Reason == refusal_reason::Stopping &&
        Response.Verdict == verdict::NotRun)
      Response.Reason = refusal_reason::NotOwner;
    shared_body Body = bodyBeside(Response.Response.Body);
    wire_gateway::Forwarded Reply = toMessage(std::move(Response));
    addLeaving(Leaving, Group, bootNow(), Reply);
    Done(std::move(Reply), std::move(Body));
  };
  if (Request.IsReroutable && Snapshot && !isRemote(Request.Group)) {
    rerouteForPeer(Ticket, std::move(Request), Complete);
    return Ticket;
  }
  const std::string_view Region =
      Snapshot ? Snapshot->Config->regionOf(Request.Group.Zone)
               : std::string_view();
  const auto Owner =
      Vms.ownerOf(toText(Request.Group), Request.Group.Zone, Region, Now);
  const bool ShouldRelay = Owner && Owner->Id.Name != Settings.Vm &&
                           !Request.Relayed && Owner->Region == Settings.Region;
  if (!ShouldRelay) {
    const forward_ticket HostTicket = Host.submit(std::move(Request), Complete);
    PeerRequests[Ticket] = {[this, HostTicket] { Host.cancel(HostTicket); },
                            Complete, HostTicket};
    return Ticket;
  }
  Request.Relayed = true;
  Host.onOtherOwner(Request.Group);
  Request.Finish = finish_limit::earlier(Request.Finish, Finish);
  auto Cancel = Peers->forward(
      *Owner, makeForward(Request, Now),
      Request.Deadline + PeerResponseGrace - Now,
      [this, Complete, Group = Request.Group](wire_gateway::Forwarded *Reply,
                                              peer_failure Failure,
                                              received_body Body) {
        forward_response Response;
        Response.Reason = refusal_reason::OwnerLost;
        Response.Verdict = Failure == peer_failure::NotSent
                               ? verdict::NotRun
                               : verdict::MayHaveRun;
        if (Reply && isUsable(*Reply)) {
          learnLeaving(*Reply, Group);
          Response = responseOf(*Reply, std::move(Body));
        }
        Complete(std::move(Response));
      },
      bodyBeside(Request.Message.Body));
  PeerRequests[Ticket] = {std::move(Cancel), Complete, 0};
  return Ticket;
}

/// Serves a request from another region, also by other groups of this one if
/// the group that was asked refuses it: refusals that cross the regions cost
/// their time and the request's bytes again.
void request_router::rerouteForPeer(forward_ticket Ticket,
                                    forward_request Request,
                                    forward_callback Complete) {
  const auto ActiveRequest = std::make_shared<active_request>();
  ActiveRequest->PeerDone = std::move(Complete);
  ActiveRequest->Service = Request.Group.Service;
  ActiveRequest->HomeRegions = {Settings.Region};
  ActiveRequest->ArrivedAt = Request.ArrivedAt;
  const group_id Group = Request.Group;
  Request.IsReroutable = false;
  ActiveRequest->Request = std::move(Request);
  ActiveRequests.insert(ActiveRequest);
  ActiveRequest->Timer =
      Loop.after(ActiveRequest->Request.Deadline + RerouteGrace - bootNow(),
                 [this, ActiveRequest] { onOverdue(ActiveRequest); });
  PeerRequests[Ticket] = {[this, ActiveRequest] {
                            ActiveRequest->PeerDone = nullptr;
                            onDisconnected(ActiveRequest,
                                           connection_end::ByCaller);
                          },
                          nullptr, 0};
  dispatchTo(Group, ActiveRequest);
}

void request_router::cancelForPeer(forward_ticket Ticket) {
  const auto Found = PeerRequests.find(Ticket);
  if (Found == PeerRequests.end())
    return;
  const auto Cancel = std::move(Found->second.Cancel);
  PeerRequests.erase(Found);
  Cancel();
}

forward_response request_router::stoppingResponse(forward_ticket HostTicket) {
  forward_response Response;
  Response.Reason = refusal_reason::Stopping;
  const bool IsUnsent = HostTicket != 0 && Host.withdraw(HostTicket);
  Response.Verdict = IsUnsent ? verdict::NotRun : verdict::MayHaveRun;
  return Response;
}

void request_router::answerAll() {
  IsEnding = true;
  const auto OfCallers = ActiveRequests;
  for (const active_request_ptr &ActiveRequest : OfCallers) {
    forward_response Response = stoppingResponse(ActiveRequest->HostTicket);
    if (ActiveRequest->AwaitsQuota)
      Response.Verdict = verdict::NotRun;
    Response.Verdict =
        combineVerdicts(ActiveRequest->CombinedVerdict, Response.Verdict);
    complete(ActiveRequest, std::move(Response));
  }
  const auto OfPeers = PeerRequests;
  for (const auto &[Ticket, Request] : OfPeers) {
    // Rerouted requests were answered with those of callers.
    if (Request.Finish)
      Request.Finish(stoppingResponse(Request.HostTicket));
  }
}

} // namespace agatedale
