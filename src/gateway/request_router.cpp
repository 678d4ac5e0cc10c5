/// \file
/// The way of a request from the caller to an owner, and its outcome back.
#include "request_router.h"

#include "../core/log.h"
#include "agatedale/retry_budget.h"
#include "platform/headers.h"
#include "wire_convert.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace agatedale {

namespace {

/// Wait in another zone of the region that is preferred to one millisecond more
/// in the own: traffic between zones is paid for.
constexpr duration ZoneHop = std::chrono::milliseconds(15);

/// The same for another region: 24 ms there and back, and a volume price that
/// is seven times as high.
constexpr duration RegionHop = std::chrono::milliseconds(120);

/// Loads that owners told are believed for about a service time.
constexpr duration LoadLifetime = std::chrono::milliseconds(400);

/// Server groups that one request is offered to.
constexpr int MaxGroups = 3;

/// An owner answers at the deadline; a silent one is not waited for longer.
constexpr duration OverdueGrace = std::chrono::milliseconds(300);
constexpr duration PeerGrace = std::chrono::milliseconds(250);

/// When to come back if the group cannot tell.
constexpr duration ShortestComeBack = std::chrono::milliseconds(50);
constexpr duration LongestComeBack = std::chrono::seconds(5);

/// Share by which the times to come back are spread, so that callers that were
/// refused together do not return together.
constexpr double ComeBackSpread = 0.3;

constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;
constexpr int StatusGatewayTimeout = 504;

zone_choice_settings choiceSettings() {
  zone_choice_settings Settings;
  Settings.ZoneHop = ZoneHop;
  Settings.LoadLifetime = LoadLifetime;
  return Settings;
}

std::string_view hostName(std::string_view Host) {
  return Host.substr(0, Host.find(':'));
}

bool isAnotherGroupWorthATry(refusal_reason Reason) {
  switch (Reason) {
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
    return true;
  default:
    return false;
  }
}

} // namespace

/// A request from its arrival to its answer.
struct request_router::journey {
  std::shared_ptr<caller_exchange> Exchange;
  forward_request Request;
  std::string Service;
  std::vector<std::string> Homes;
  std::set<group_id> Tried;
  int Attempts = 0;
  verdict Known = verdict::NotRun; ///< Of the attempts so far.
  time_point ArrivedAt{};
  bool Done = false;
  event_loop::timer_id Timer = 0;
  std::function<void()> Cancel; ///< Takes it back from where it is.
};

request_router::request_router(event_loop &Loop,
                               const gateway_settings &Settings,
                               vm_directory &Vms, group_host &Host,
                               metrics &Metrics)
    : Loop(Loop), Settings(Settings), Vms(Vms), Host(Host), Metrics(Metrics),
      Choice(zone_choice::create(choiceSettings())),
      Random(stableHash(Settings.Vm)) {}

void request_router::refuseNow(const std::shared_ptr<caller_exchange> &Exchange,
                               refusal_reason Reason) {
  http_answer_message Answer;
  Answer.Status =
      Reason == refusal_reason::NoRoute ? StatusNotFound : StatusUnavailable;
  const platform::request_terms Terms = platform::readTerms(Exchange->Request);
  if (Reason != refusal_reason::NoRoute)
    Answer.Headers.add("Retry-After", "0.3");
  Metrics.increment("agatedale_refusals_total",
                    formatLabel("reason", reasonName(Reason)));
  logLine(log_level::Info, "request-refused",
          {{"request", Terms.Id},
           {"reason", reasonName(Reason)},
           {"verdict", verdictName(verdict::NotRun)},
           {"version", View ? View->Version : 0}});
  Exchange->answer(Answer);
}

void request_router::serve(const std::shared_ptr<caller_exchange> &Exchange) {
  if (!View) {
    refuseNow(Exchange, refusal_reason::NotReady);
    return;
  }
  http_request_message &Message = Exchange->Request;
  const route *Route = View->World->findRouteForHost(
      hostName(Message.Headers.get("Host")), Message.Target);
  if (!Route) {
    refuseNow(Exchange, refusal_reason::NoRoute);
    return;
  }
  const platform::request_terms Terms = platform::readTerms(Message);
  const auto Journey = std::make_shared<journey>();
  Journey->Exchange = Exchange;
  Journey->ArrivedAt = Exchange->ReceivedAt;
  Journey->Service = Turns[Route->Name].next(Route->Split);
  Journey->Homes = Route->Homes;
  forward_request &Request = Journey->Request;
  Request.Id = Terms.Id;
  Request.Route = Route->Name;
  Request.Deadline =
      Exchange->ReceivedAt +
      std::min(Terms.WaitsFor.value_or(Route->Timeout), Route->Timeout);
  if (Route->Aim.count() > 0)
    Request.Aim = Exchange->ReceivedAt + Route->Aim;
  Request.Priority = Route->Priority;
  Request.Idempotent = Route->Idempotent;
  Request.MaxAttempts = Route->MaxAttempts;
  // The exchange needs it no more; a body is held once.
  Request.Message = std::move(Message);
  ++InProgress;
  Exchange->OnAbandoned = [this, Journey] { abandon(Journey); };
  Journey->Timer = Loop.after(Request.Deadline + OverdueGrace - bootNow(),
                              [this, Journey] { onOverdue(Journey); });
  dispatch(Journey);
}

std::vector<zone_candidate>
request_router::candidates(const journey &Journey) const {
  std::vector<zone_candidate> Found;
  const configuration &World = *View->World;
  for (const server_group_spec &Spec : World.groups()) {
    if (Spec.Id.Service != Journey.Service ||
        !World.isZoneActive(Spec.Id.Zone) || Journey.Tried.contains(Spec.Id))
      continue;
    const std::string_view Region = World.regionOf(Spec.Id.Zone);
    const bool IsHome = Journey.Homes.empty() ||
                        std::find(Journey.Homes.begin(), Journey.Homes.end(),
                                  Region) != Journey.Homes.end();
    const bool HasServer = std::any_of(
        Spec.Servers.begin(), Spec.Servers.end(),
        [](const backend_server &Server) { return !Server.Leaving; });
    if (!IsHome || !HasServer)
      continue;
    const duration Hop = Spec.Id.Zone == Settings.Zone ? duration::zero()
                         : Region == Settings.Region   ? ZoneHop
                                                       : RegionHop;
    Found.push_back({Spec.Id, Hop});
  }
  return Found;
}

void request_router::dispatch(const journey_ptr &Journey) {
  const time_point Now = bootNow();
  const auto Group = Choice.choose(candidates(*Journey), Now);
  if (!Group) {
    forward_answer None;
    None.Reason = refusal_reason::NoServer;
    conclude(Journey, std::move(None));
    return;
  }
  Journey->Tried.insert(*Group);
  Journey->Request.Group = *Group;
  Choice.onSent(*Group);
  const auto Owner = Vms.ownerOf(toText(*Group), Group->Zone,
                                 View->World->regionOf(Group->Zone), Now);
  // Without any VM near the servers this one sends to them itself.
  handTo(Owner ? *Owner : Vms.self(), Journey);
}

void request_router::handTo(const entry_vm &Owner, const journey_ptr &Journey) {
  if (Owner.Id.Name == Settings.Vm) {
    const forward_ticket Ticket =
        Host.submit(Journey->Request, [this, Journey](forward_answer Answer) {
          onAnswer(Journey, std::move(Answer));
        });
    Journey->Cancel = [this, Ticket] { Host.cancel(Ticket); };
    return;
  }
  const time_point Now = bootNow();
  Journey->Cancel = Peers->forward(
      Owner, toMessage(Journey->Request, Now),
      Journey->Request.Deadline + PeerGrace - Now,
      [this, Journey, Owner](const wire_gateway::Forwarded *Reply,
                             peer_failure Failure) {
        onPeerAnswer(Journey, Owner, Reply, Failure);
      });
}

void request_router::onPeerAnswer(const journey_ptr &Journey,
                                  const entry_vm &Owner,
                                  const wire_gateway::Forwarded *Reply,
                                  peer_failure Failure) {
  if (Reply) {
    Vms.answered(Owner.Id.Name);
    onAnswer(Journey, fromMessage(*Reply));
    return;
  }
  if (Journey->Done)
    return;
  Vms.failed(Owner.Id.Name, bootNow());
  logLine(log_level::Warning, "peer-lost",
          {{"vm", Owner.Id.Name},
           {"request", Journey->Request.Id},
           {"sent", Failure == peer_failure::Lost}});
  // The next in order may own the group now.
  Journey->Tried.erase(Journey->Request.Group);
  forward_answer Answer;
  Answer.Reason = refusal_reason::OwnerLost;
  Answer.Verdict =
      Failure == peer_failure::NotSent ? verdict::NotRun : verdict::MayHaveRun;
  Answer.Attempts = Failure == peer_failure::NotSent ? 0 : 1;
  onAnswer(Journey, std::move(Answer));
}

void request_router::onAnswer(const journey_ptr &Journey,
                              forward_answer Answer) {
  const time_point Now = bootNow();
  const group_id Group = Journey->Request.Group;
  Choice.onAnswered(Group);
  if (Answer.Load)
    Choice.onLoad(Group, *Answer.Load, Now);
  if (Journey->Done)
    return;
  Journey->Attempts += Answer.Attempts;
  Journey->Known = combineVerdicts(Journey->Known, Answer.Verdict);
  Answer.Verdict = Journey->Known;
  Journey->Request.MaxAttempts -= Answer.Attempts;
  Journey->Request.AttemptsBefore = Journey->Attempts;
  ++Journey->Request.OffersBefore;
  const bool MayRepeat =
      Answer.Verdict != verdict::Answered &&
      isRetryAllowed(Answer.Verdict, Journey->Request.Idempotent) &&
      isAnotherGroupWorthATry(Answer.Reason);
  const bool HasRoom = Journey->Tried.size() < MaxGroups &&
                       Journey->Request.MaxAttempts > 0 &&
                       Now < Journey->Request.Deadline;
  if (MayRepeat && HasRoom && !candidates(*Journey).empty()) {
    dispatch(Journey);
    return;
  }
  conclude(Journey, std::move(Answer));
}

http_answer_message request_router::refusal(const forward_answer &Answer) {
  http_answer_message Message;
  if (Answer.Verdict != verdict::NotRun) {
    // The reason may be that of a later group, which would say "not run".
    Message.Status =
        std::max(httpStatusOf(Answer.Reason), StatusGatewayTimeout);
    return Message;
  }
  Message.Status = StatusUnavailable;
  const duration Base =
      std::clamp(Answer.ComeBackIn, ShortestComeBack, LongestComeBack);
  std::uniform_real_distribution<double> Spread(1, 1 + ComeBackSpread);
  const double Seconds =
      std::chrono::duration<double>(Base).count() * Spread(Random);
  Message.Headers.add("Retry-After", fmt::format("{:.3f}", Seconds));
  return Message;
}

void request_router::conclude(const journey_ptr &Journey,
                              forward_answer Answer) {
  Journey->Done = true;
  Journey->Cancel = nullptr;
  Loop.cancel(Journey->Timer);
  --InProgress;
  const duration Taken = bootNow() - Journey->ArrivedAt;
  const forward_request &Request = Journey->Request;
  const bool Served = Answer.Verdict == verdict::Answered;
  logLine(Served ? log_level::Debug : log_level::Info,
          Served ? "request-answered" : "request-refused",
          {{"request", Request.Id},
           {"route", Request.Route},
           {"group", toText(Request.Group)},
           {"server", Answer.Server},
           {"status", Answer.Answer.Status},
           {"reason", reasonName(Answer.Reason)},
           {"verdict", verdictName(Answer.Verdict)},
           {"attempts", Journey->Attempts},
           {"groups", Journey->Tried.size()},
           {"taken_ms", toMillis(Taken)},
           {"version", View->Version}});
  Metrics.record("agatedale_request_seconds",
                 formatAccountLabels("", Request.Route), Taken);
  if (!Served)
    Metrics.increment("agatedale_refusals_total",
                      formatLabel("reason", reasonName(Answer.Reason)));
  if (!Journey->Exchange)
    return;
  Journey->Exchange->answer(Served ? Answer.Answer : refusal(Answer));
  Journey->Exchange = nullptr;
}

void request_router::onOverdue(const journey_ptr &Journey) {
  if (Journey->Done)
    return;
  const auto Cancel = Journey->Cancel;
  forward_answer Answer;
  Answer.Verdict = verdict::MayHaveRun;
  Answer.Reason = refusal_reason::DeadlinePassed;
  conclude(Journey, std::move(Answer));
  if (Cancel)
    Cancel();
}

void request_router::abandon(const journey_ptr &Journey) {
  if (Journey->Done)
    return;
  Journey->Done = true;
  Journey->Exchange = nullptr;
  Loop.cancel(Journey->Timer);
  --InProgress;
  const auto Cancel = std::move(Journey->Cancel);
  Journey->Cancel = nullptr;
  logLine(log_level::Info, "caller-left",
          {{"request", Journey->Request.Id},
           {"route", Journey->Request.Route},
           {"after_ms", toMillis(bootNow() - Journey->ArrivedAt)}});
  if (Cancel)
    Cancel();
}

forward_ticket request_router::serveForPeer(
    const wire_gateway::Forward &Message,
    const std::function<void(wire_gateway::Forwarded)> &Done) {
  const forward_ticket Ticket = ++LastPeerTicket;
  const time_point Now = bootNow();
  result<forward_request> Read = fromMessage(Message, Now);
  if (const error *Error = errorOf(Read)) {
    logLine(log_level::Error, "peer-message-refused",
            {{"why", Error->Message}});
    forward_answer Refused;
    Refused.Reason = refusal_reason::MalformedRequest;
    Done(toMessage(Refused));
    return Ticket;
  }
  forward_request Request = moveValue(std::move(Read));
  const auto Share = std::make_shared<body_reservation>(Bodies);
  if (!Share->resize(Request.Message.Body.size())) {
    forward_answer Refused;
    Refused.Reason = refusal_reason::MemoryFull;
    Done(toMessage(Refused));
    return Ticket;
  }
  const auto Finish = [this, Ticket, Done,
                       Share](const forward_answer &Answer) {
    PeerCancels.erase(Ticket);
    Done(toMessage(Answer));
  };
  const std::string_view Region =
      View ? View->World->regionOf(Request.Group.Zone) : std::string_view();
  const auto Owner =
      Vms.ownerOf(toText(Request.Group), Request.Group.Zone, Region, Now);
  const bool PassOn = Owner && Owner->Id.Name != Settings.Vm &&
                      !Request.Relayed && Owner->Region == Settings.Region;
  if (!PassOn) {
    const forward_ticket HostTicket = Host.submit(std::move(Request), Finish);
    PeerCancels[Ticket] = [this, HostTicket] { Host.cancel(HostTicket); };
    return Ticket;
  }
  Request.Relayed = true;
  PeerCancels[Ticket] = Peers->forward(
      *Owner, toMessage(Request, Now), Request.Deadline + PeerGrace - Now,
      [Finish](const wire_gateway::Forwarded *Reply, peer_failure Failure) {
        forward_answer Answer;
        Answer.Reason = refusal_reason::OwnerLost;
        Answer.Verdict = Failure == peer_failure::NotSent ? verdict::NotRun
                                                          : verdict::MayHaveRun;
        Finish(Reply ? fromMessage(*Reply) : Answer);
      });
  return Ticket;
}

void request_router::cancelForPeer(forward_ticket Ticket) {
  const auto Found = PeerCancels.find(Ticket);
  if (Found == PeerCancels.end())
    return;
  const auto Cancel = std::move(Found->second);
  PeerCancels.erase(Found);
  Cancel();
}

} // namespace agatedale
