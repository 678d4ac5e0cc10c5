/// \file
/// Actions of server groups carried out over connections.
#include "group_host.h"

#include "../core/log.h"

namespace agatedale {

namespace {

server_group_settings groupSettings(const service &Service,
                                    const gateway_settings &Settings) {
  server_group_settings Group;
  Group.Service = Service;
  Group.RetryPercent = Settings.RetryPercent;
  // Trials of hedging brought no gain and spent the budget of retries.
  Group.Hedging = false;
  Group.AskSpeed = !Service.LoadPath.empty();
  return Group;
}

} // namespace

group_host::hosted_group *group_host::findOrCreate(const group_id &Id) {
  const auto Known = Groups.find(Id);
  if (Known != Groups.end())
    return Known->second.get();
  if (!View)
    return nullptr;
  const auto Service = View->World->services().find(Id.Service);
  if (Service == View->World->services().end())
    return nullptr;
  result<server_group> Group =
      server_group::create(groupSettings(Service->second, Settings), {});
  if (const error *Error = errorOf(Group)) {
    logLine(log_level::Error, "group-refused",
            {{"group", toText(Id)}, {"why", Error->Message}});
    return nullptr;
  }
  auto Hosted = std::make_unique<hosted_group>(moveValue(std::move(Group)));
  Hosted->Group.setRight(time_point::max());
  hosted_group *Made = Hosted.get();
  Groups.emplace(Id, std::move(Hosted));
  configureGroup(Id, *Made);
  return Made;
}

void group_host::configureGroup(const group_id &Id, hosted_group &Hosted) {
  const configuration &World = *View->World;
  const auto Service = World.services().find(Id.Service);
  if (Service != World.services().end())
    Hosted.Group.reconfigure(Service->second);
  const server_group_spec *Spec = World.findGroup(Id);
  const std::vector<backend_server> None;
  carryOut(Id, Hosted.Group.setServers(Spec ? Spec->Servers : None,
                                       World.isZoneActive(Id.Zone), bootNow()));
}

void group_host::setView(std::shared_ptr<const fleet_view> NewView) {
  View = std::move(NewView);
  for (const auto &[Id, Hosted] : Groups)
    configureGroup(Id, *Hosted);
}

forward_ticket group_host::submit(forward_request Request, forward_done Done) {
  const forward_ticket Ticket = ++LastTicket;
  const group_id Id = Request.Group;
  hosted_group *Hosted = findOrCreate(Id);
  if (!Hosted) {
    forward_answer Answer;
    Answer.Reason = refusal_reason::NoServer;
    Loop.post([Done = std::move(Done), Answer] { Done(Answer); });
    return Ticket;
  }
  work_item Item;
  Item.Id = Ticket;
  Item.Deadline = Request.Deadline;
  Item.Aim = Request.Aim;
  Item.Priority = Request.Priority;
  Item.Idempotent = Request.Idempotent;
  Item.Route = Request.Route;
  Item.MaxAttempts = Request.MaxAttempts;
  Item.AttemptsBefore = Request.AttemptsBefore;
  Item.IsFirstOffer = Request.OffersBefore == 0;
  Requests.emplace(Ticket,
                   hosted_request{std::move(Request), std::move(Done), "", 0});
  carryOut(Id, Hosted->Group.submit(Item, bootNow()));
  return Ticket;
}

void group_host::carryOut(const group_id &Id,
                          const std::vector<group_action> &Actions) {
  for (const group_action &Action : Actions) {
    if (const auto *Order = std::get_if<send_order>(&Action))
      send(Id, *Order);
    else if (const auto *Cancel = std::get_if<cancel_order>(&Action))
      cancelCall(Id, Cancel->Attempt);
    else if (const auto *Refusal = std::get_if<group_refusal>(&Action))
      refuse(Id, *Refusal);
    else if (const auto *Delivery = std::get_if<deliver_order>(&Action))
      deliver(Id, *Delivery);
    else if (const auto *Question = std::get_if<ask_order>(&Action))
      ask(Id, *Question);
  }
}

void group_host::send(const group_id &Id, const send_order &Order) {
  const auto Found = Requests.find(Order.Request);
  if (Found == Requests.end()) {
    // The caller left while the decision was made.
    Loop.post([this, Id, Attempt = Order.Attempt] {
      onResult(Id, Attempt, {attempt_outcome::NotSent, {}, std::nullopt});
    });
    return;
  }
  hosted_request &Request = Found->second;
  Request.Server = Order.Server;
  ++Request.Attempts;
  Groups.at(Id)->Calls[Order.Attempt] =
      Pool.send(Order, Request.Request,
                [this, Id, Attempt = Order.Attempt](call_result Result) {
                  onResult(Id, Attempt, std::move(Result));
                });
}

void group_host::ask(const group_id &Id, const ask_order &Order) {
  const auto Service = View->World->services().find(Id.Service);
  const std::string Path = Service == View->World->services().end()
                               ? std::string()
                               : Service->second.LoadPath;
  Pool.ask(Order, Path, [this, Id, Server = Order.Server](call_result Result) {
    const bool IsTold =
        Result.Outcome == attempt_outcome::Answered && Result.Report;
    carryOut(Id, Groups.at(Id)->Group.onTold(
                     Server, IsTold ? &*Result.Report : nullptr, bootNow()));
  });
}

void group_host::onResult(const group_id &Id, attempt_id Attempt,
                          call_result Result) {
  hosted_group &Hosted = *Groups.at(Id);
  Hosted.Calls.erase(Attempt);
  const attempt_outcome Outcome = Result.Outcome;
  const std::optional<server_report> Report = Result.Report;
  Hosted.Answers[Attempt] = std::move(Result);
  carryOut(Id, Hosted.Group.finish(Attempt, Outcome, bootNow(),
                                   Report ? &*Report : nullptr));
  Hosted.Answers.erase(Attempt);
}

void group_host::cancelCall(const group_id &Id, attempt_id Attempt) {
  hosted_group &Hosted = *Groups.at(Id);
  const auto Call = Hosted.Calls.find(Attempt);
  if (Call == Hosted.Calls.end())
    return;
  Call->second->cancel();
  Hosted.Calls.erase(Call);
  carryOut(Id,
           Hosted.Group.finish(Attempt, attempt_outcome::Cancelled, bootNow()));
}

void group_host::deliver(const group_id &Id, const deliver_order &Order) {
  hosted_group &Hosted = *Groups.at(Id);
  forward_answer Answer;
  Answer.Verdict = verdict::Answered;
  Answer.Answer = std::move(Hosted.Answers[Order.Attempt].Answer);
  Answer.Load = Hosted.Group.load(bootNow());
  finish(Order.Request, std::move(Answer));
}

void group_host::refuse(const group_id &Id, const group_refusal &Refusal) {
  forward_answer Answer;
  Answer.Verdict = Refusal.Verdict;
  Answer.Reason = Refusal.Reason;
  Answer.ComeBackIn = Refusal.ComeBackIn;
  Answer.Load = Groups.at(Id)->Group.load(bootNow());
  finish(Refusal.Request, std::move(Answer));
}

void group_host::finish(forward_ticket Ticket, forward_answer Answer) {
  const auto Found = Requests.find(Ticket);
  if (Found == Requests.end())
    return;
  Answer.Server = Found->second.Server;
  Answer.Attempts = Found->second.Attempts;
  // The caller may submit again at once, so the group must be done first.
  Loop.post([Done = std::move(Found->second.Done), Answer = std::move(Answer)] {
    Done(Answer);
  });
  Requests.erase(Found);
}

void group_host::cancel(forward_ticket Ticket) {
  const auto Found = Requests.find(Ticket);
  if (Found == Requests.end())
    return;
  const group_id Id = Found->second.Request.Group;
  const bool MayBreakOff = Found->second.Request.Idempotent;
  hosted_group &Hosted = *Groups.at(Id);
  if (Hosted.Group.withdraw(Ticket)) {
    Requests.erase(Found);
    return;
  }
  Hosted.Group.forbidRetry(Ticket);
  if (!MayBreakOff)
    return;
  Requests.erase(Found);
  for (const attempt_id Attempt : Hosted.Group.attemptsOf(Ticket))
    cancelCall(Id, Attempt);
}

void group_host::tick() {
  const time_point Now = bootNow();
  for (const auto &[Id, Hosted] : Groups)
    carryOut(Id, Hosted->Group.tick(Now));
}

} // namespace agatedale
