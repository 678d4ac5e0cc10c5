/// \file
/// Routing, keys, choice of group and repeats.
#include "request_path.h"
#include "../core/log.h"
#include "node_clock.h"
#include "wire.h"

#include <Poco/String.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <thread>

namespace agatedale {

namespace {

/// Owners tried for one request.
constexpr std::size_t MaxTries = 300;

/// A wait between tries when no owner was to be had.
constexpr duration RetryWait = std::chrono::milliseconds(10);

/// Tries to tell the owner of a key how its run ended.
constexpr int SettleTries = 5;
constexpr duration SettleTimeout = std::chrono::milliseconds(300);

/// Bytes that a link's account can save up, in seconds of its rate.
constexpr double LinkBurstSeconds = 0.25;
constexpr double DefaultLinkBytesPerSecond = 30e6 / 8;
constexpr double BytesPerMegabit = 1e6 / 8;
constexpr duration ThrottleWait = std::chrono::milliseconds(5);

/// Bytes up to which a request across regions counts as small.
constexpr std::int64_t SmallBytes = 64 * 1024;

std::string headerOf(const node_request &Request, const std::string &Wanted) {
  for (const auto &[Name, Value] : Request.Headers) {
    if (Poco::icompare(Name, Wanted) == 0)
      return Value;
  }
  return {};
}

std::uint64_t fingerprintOf(const node_request &Request) {
  return stableHash(fmt::format("{} {} {} {}", Request.Method, Request.Path,
                                Request.ContentLength, Request.Body));
}

/// Counts a request while it is served.
class progress_guard {
public:
  explicit progress_guard(std::atomic<int> &Count) : Count(Count) { ++Count; }
  ~progress_guard() { --Count; }
  progress_guard(const progress_guard &) = delete;
  progress_guard &operator=(const progress_guard &) = delete;

private:
  std::atomic<int> &Count;
};

bool isOwnerTrouble(refusal_reason Reason) {
  return Reason == refusal_reason::NotOwner ||
         Reason == refusal_reason::OwnerLost ||
         Reason == refusal_reason::NoServer ||
         Reason == refusal_reason::NoOwner;
}

} // namespace

request_path::request_path(const settings &Settings, control &Control,
                           owned_subjects &Owned, peer_links &Links,
                           metrics &Metrics, event_log &Events)
    : Settings(Settings), Control(Control), Owned(Owned), Links(Links),
      Metrics(Metrics), Events(Events), View(std::make_shared<routing_view>()),
      Selector(group_selector::create({})), Budget(retry_budget::create(10)),
      Link(link_token_bucket::create(
          DefaultLinkBytesPerSecond,
          DefaultLinkBytesPerSecond * LinkBurstSeconds, monotonicNow())),
      Random(std::random_device{}()) {}

void request_path::setView(std::shared_ptr<const routing_view> NewView) {
  std::size_t Near = 0;
  for (const entry_vm &Vm : NewView->Live)
    Near += Vm.Region == Settings.Region ? 1 : 0;
  if (NewView->Configuration && !NewView->Configuration->links().empty()) {
    const double Rate =
        NewView->Configuration->links().front().MegabitPerSecond *
        BytesPerMegabit / static_cast<double>(std::max<std::size_t>(Near, 1));
    const std::lock_guard Guard(LinkLock);
    Link.setRate(Rate, monotonicNow());
  }
  const std::lock_guard Guard(ViewLock);
  View = std::move(NewView);
}

std::shared_ptr<const routing_view> request_path::view() const {
  const std::lock_guard Guard(ViewLock);
  return View;
}

std::optional<routed_request>
request_path::route(node_request Request, const routing_view &Seen,
                    refusal_reason &Refusal) const {
  const configuration &Configuration = *Seen.Configuration;
  const agatedale::route *Route =
      Configuration.findRoute(Request.Method, Request.Path);
  if (!Route) {
    Refusal = refusal_reason::NoRoute;
    return std::nullopt;
  }
  const std::string Name = headerOf(Request, "Client-Account");
  const auto Account = Configuration.accounts().find(Name);
  if (Account == Configuration.accounts().end()) {
    Refusal = refusal_reason::UnknownAccount;
    return std::nullopt;
  }
  routed_request Routed;
  Routed.Homes = homeRegions(*Route, Account->second, Configuration.regions());
  if (Routed.Homes.empty()) {
    Refusal = refusal_reason::AccountNotAllowed;
    return std::nullopt;
  }
  if (Request.ContentLength > Route->MaxBodyBytes) {
    Refusal = refusal_reason::BodyTooLarge;
    return std::nullopt;
  }
  Request.Account = Name;
  Request.Weight = Account->second.Weight;
  Request.Class = Route->Class;
  Request.Idempotent =
      Route->Idempotent || Request.Method == "GET" || Request.Method == "HEAD";
  if (!Request.Idempotent && Route->Key != idempotency_key_policy::None)
    Routed.Key = headerOf(Request, "Idempotency-Key");
  const bool KeyMissing = !Request.Idempotent && Routed.Key.empty() &&
                          Route->Key == idempotency_key_policy::Required;
  if (KeyMissing) {
    Refusal = refusal_reason::KeyMissing;
    return std::nullopt;
  }
  // Each region claims keys for itself; a key that two of them could claim
  // would run twice when it is sent again through the other.
  if (!Routed.Key.empty())
    Routed.Homes = {keyHomeRegion(Routed.Homes)};
  Routed.Route = Route;
  Routed.Service = Route->Service;
  Routed.Request = std::move(Request);
  return Routed;
}

node_answer request_path::serve(routed_request &Routed,
                                const answer_writer &Writer) {
  const progress_guard Progress(InProgress);
  const auto Seen = view();
  if (!Seen->MayServe)
    return refusalOf(Seen->Leaving ? refusal_reason::Stopping
                                   : refusal_reason::NotReady,
                     verdict::NotRun);
  const bool AtHome = std::find(Routed.Homes.begin(), Routed.Homes.end(),
                                Settings.Region) != Routed.Homes.end();
  return AtHome ? serveAtHome(Routed, Writer) : sendHome(Routed, *Seen, Writer);
}

node_answer request_path::servePeer(node_request Request,
                                    const std::string &Group,
                                    const answer_writer &Writer) {
  const progress_guard Progress(InProgress);
  if (!Group.empty()) {
    if (const auto Shard = Owned.findGroup(Group))
      return Shard->serve(Request, Writer);
    node_answer Answer = refusalOf(refusal_reason::NotOwner, verdict::NotRun);
    if (const auto Owner = ownerOf(Group))
      Answer.OwnerHint = Owner->Id.Name;
    return Answer;
  }
  const auto Seen = view();
  if (!Seen->MayServe)
    return refusalOf(refusal_reason::NotReady, verdict::NotRun);
  refusal_reason Refusal = refusal_reason::None;
  std::optional<routed_request> Routed =
      route(std::move(Request), *Seen, Refusal);
  if (!Routed)
    return refusalOf(Refusal, verdict::NotRun);
  const bool AtHome = std::find(Routed->Homes.begin(), Routed->Homes.end(),
                                Settings.Region) != Routed->Homes.end();
  if (!AtHome)
    return refusalOf(refusal_reason::HomeUnreachable, verdict::NotRun);
  answer_writer Accounted = Writer;
  Accounted.Write = [this, &Writer](std::span<const char> Piece) {
    takeLink(traffic_class::Bulk, static_cast<std::int64_t>(Piece.size()));
    return Writer.Write(Piece);
  };
  node_answer Answer = serveAtHome(*Routed, Accounted);
  takeLink(traffic_class::Answers,
           static_cast<std::int64_t>(Answer.Body.size()));
  return Answer;
}

node_answer request_path::serveAtHome(routed_request &Routed,
                                      const answer_writer &Writer) {
  return Routed.Key.empty() ? dispatch(Routed.Request, Routed.Service, Writer)
                            : serveKeyed(Routed, Writer);
}

bool request_path::takeLink(traffic_class Class, std::int64_t Bytes) {
  const std::lock_guard Guard(LinkLock);
  return Link.tryConsume(Class, Bytes, monotonicNow());
}

std::array<link_token_bucket::traffic_counters, 3>
request_path::linkCounts() const {
  const std::lock_guard Guard(LinkLock);
  return Link.counters();
}

body_reader request_path::throttled(body_reader Reader, time_point Deadline) {
  if (!Reader)
    return Reader;
  return [this, Reader = std::move(Reader),
          Deadline](std::span<char> Buffer) -> std::ptrdiff_t {
    const std::ptrdiff_t Read = Reader(Buffer);
    while (Read > 0 && !takeLink(traffic_class::Bulk, Read)) {
      if (monotonicNow() >= Deadline)
        return -1;
      std::this_thread::sleep_for(ThrottleWait);
    }
    return Read;
  };
}

node_answer request_path::sendHome(routed_request &Routed,
                                   const routing_view &Seen,
                                   const answer_writer &Writer) {
  node_request &Request = Routed.Request;
  const bool Large = Request.ContentLength > SmallBytes;
  if (!Large && !takeLink(traffic_class::Answers, Request.ContentLength))
    return refusalOf(refusal_reason::LinkBudgetSpent, verdict::NotRun);
  if (Large)
    Request.Reader = throttled(std::move(Request.Reader), Request.Deadline);
  // Another VM first for each request, so that none takes all of a region's.
  const std::size_t First = stableHash(Request.Id);
  for (std::size_t I = 0; I < Seen.Live.size(); ++I) {
    const entry_vm &Vm = Seen.Live[(First + I) % Seen.Live.size()];
    const bool IsHome = std::find(Routed.Homes.begin(), Routed.Homes.end(),
                                  Vm.Region) != Routed.Homes.end();
    if (!IsHome || !Vm.Ready || Vm.Leaving || !Links.isConnected(Vm.Ip))
      continue;
    node_answer Answer = Links.forward(Vm, Request, {}, Writer);
    const bool Elsewhere = !Request.Reader &&
                           Answer.Verdict == verdict::NotRun &&
                           (Answer.Reason == refusal_reason::OwnerLost ||
                            Answer.Reason == refusal_reason::NotReady);
    if (!Elsewhere)
      return Answer;
  }
  return refusalOf(refusal_reason::HomeUnreachable, verdict::NotRun);
}

claim_id request_path::drawClaim() {
  const std::lock_guard Guard(RandomLock);
  return Random();
}

std::optional<entry_vm>
request_path::ownerOf(const std::string &Subject) const {
  const auto Seen = view();
  const auto Owner = Seen->Owners.find(Subject);
  if (Owner == Seen->Owners.end())
    return std::nullopt;
  return Owner->second;
}

claim_outcome request_path::claimHere(const std::string &Partition,
                                      const key_claim &Claim,
                                      time_point Deadline) {
  if (const auto Shard = Owned.findKeys(Partition))
    return Shard->claim(Claim, Deadline);
  return {false, nullptr, refusal_reason::NotOwner, verdict::NotRun};
}

void request_path::settleHere(const std::string &Partition,
                              const key_settlement &Settlement) {
  if (const auto Shard = Owned.findKeys(Partition))
    Shard->settle(Settlement);
}

namespace {

claim_outcome outcomeFrom(const wire::ClaimKeyReply &Reply) {
  claim_outcome Outcome;
  Outcome.Run = Reply.decision() == wire::ClaimKeyReply::RUN;
  Outcome.Reason = reasonFromNumber(Reply.reason());
  Outcome.Verdict = verdictFromNumber(Reply.verdict());
  if (Reply.decision() == wire::ClaimKeyReply::REPLAY)
    Outcome.Answer = fromWire(Reply.answer());
  return Outcome;
}

} // namespace

claim_outcome request_path::claim(const std::string &Partition,
                                  const key_claim &Claim, time_point Deadline) {
  wire::ClaimKeyRequest Request;
  Request.set_partition(Partition);
  Request.set_account(Claim.Account);
  Request.set_key(Claim.Key);
  Request.set_fingerprint(Claim.Fingerprint);
  Request.set_claim(Claim.Claim);
  while (monotonicNow() < Deadline) {
    const auto Owner = ownerOf(Partition);
    if (Owner && Owner->Id.Name == Settings.Vm) {
      claim_outcome Outcome = claimHere(Partition, Claim, Deadline);
      if (Outcome.Reason != refusal_reason::NotOwner)
        return Outcome;
    } else if (Owner) {
      const duration Left = Deadline - monotonicNow();
      Request.set_remaining_us(toMicros(Left));
      const auto Reply = Links.claimKey(Owner->Ip, Request, Left);
      if (Reply && outcomeFrom(*Reply).Reason != refusal_reason::NotOwner)
        return outcomeFrom(*Reply);
    }
    std::this_thread::sleep_for(RetryWait);
  }
  // This request was not sent to any backend server, whatever became of the
  // claim itself.
  return {false, nullptr, refusal_reason::KeyOwnerLost, verdict::NotRun};
}

void request_path::settle(const std::string &Partition,
                          const key_settlement &Settlement) {
  wire::SettleKeyRequest Request;
  Request.set_partition(Partition);
  Request.set_account(Settlement.Account);
  Request.set_key(Settlement.Key);
  Request.set_claim(Settlement.Claim);
  Request.set_verdict(static_cast<int>(Settlement.Verdict));
  if (Settlement.Answer)
    toWire(*Settlement.Answer, *Request.mutable_answer());
  for (int Try = 0; Try < SettleTries; ++Try) {
    const auto Owner = ownerOf(Partition);
    if (Owner && Owner->Id.Name == Settings.Vm) {
      settleHere(Partition, Settlement);
      return;
    }
    if (Owner && Links.settleKey(Owner->Ip, Request, SettleTimeout))
      return;
    std::this_thread::sleep_for(RetryWait * (Try + 1));
  }
}

node_answer request_path::serveKeyed(routed_request &Routed,
                                     const answer_writer &Writer) {
  const node_request &Request = Routed.Request;
  const std::string Partition =
      keyPartition(Settings.Region, Request.Account, Routed.Key);
  key_claim Claim;
  Claim.Account = Request.Account;
  Claim.Key = Routed.Key;
  Claim.Fingerprint = fingerprintOf(Request);
  Claim.Claim = drawClaim();
  Claim.Timeout = std::chrono::milliseconds(
      std::max<std::int64_t>(0, toMillis(Request.Deadline - monotonicNow())));
  const claim_outcome Claimed = claim(Partition, Claim, Request.Deadline);
  if (Claimed.Answer) {
    Metrics.increment("agatedale_key_replays_total");
    node_answer Answer;
    Answer.Verdict = verdict::Answered;
    Answer.Status = Claimed.Answer->Status;
    Answer.Headers = Claimed.Answer->Headers;
    Answer.Body = Claimed.Answer->Body;
    Answer.ContentLength = static_cast<std::int64_t>(Answer.Body.size());
    return Answer;
  }
  if (!Claimed.Run) {
    if (Claimed.Reason == refusal_reason::KeyOwnerLost)
      settle(Partition,
             {Claim.Account, Claim.Key, Claim.Claim, verdict::NotRun, nullptr});
    return refusalOf(Claimed.Reason, Claimed.Verdict);
  }
  node_answer Answer = dispatch(Request, Routed.Service, Writer);
  key_settlement Settlement{Claim.Account, Claim.Key, Claim.Claim,
                            Answer.Verdict, nullptr};
  const bool Keep = Answer.Verdict == verdict::Answered && !Answer.Streamed;
  if (Keep)
    Settlement.Answer = std::make_shared<stored_answer>(
        stored_answer{Answer.Status, Answer.Headers, Answer.Body});
  settle(Partition, Settlement);
  return Answer;
}

node_answer request_path::dispatchOnce(const node_request &Request,
                                       const group_id &Group,
                                       const routing_view &Seen,
                                       const answer_writer &Writer) {
  const std::string Subject = toText(Group);
  if (const auto Shard = Owned.findGroup(Subject))
    return Shard->serve(Request, Writer);
  const auto Owner = Seen.Owners.find(Subject);
  const bool Elsewhere =
      Owner != Seen.Owners.end() && Owner->second.Id.Name != Settings.Vm;
  if (!Elsewhere)
    return refusalOf(refusal_reason::NoOwner, verdict::NotRun);
  node_answer Answer = Links.forward(Owner->second, Request, Subject, Writer);
  const bool WrongOwner =
      Answer.Reason == refusal_reason::NotOwner && !Answer.OwnerHint.empty() &&
      Answer.OwnerHint != Settings.Vm &&
      Answer.OwnerHint != Owner->second.Id.Name && !Request.Reader;
  if (WrongOwner) {
    if (const auto Hinted = Control.findMember(Answer.OwnerHint))
      Answer = Links.forward(*Hinted, Request, Subject, Writer);
  }
  return Answer;
}

bool request_path::mayTryAgain(const node_answer &Answer,
                               const node_request &Request, bool BodyUsed) {
  const bool Refused = Answer.Reason != refusal_reason::None;
  if (!Refused || Answer.Streamed || BodyUsed)
    return false;
  if (Answer.Verdict == verdict::NotRun)
    return isOwnerTrouble(Answer.Reason);
  const bool Lost = Answer.Reason == refusal_reason::OwnerLost;
  if (!Lost || !Request.Idempotent)
    return false;
  const std::lock_guard Guard(BudgetLock);
  return Budget.tryWithdraw();
}

std::vector<group_id>
request_path::usableGroups(const routing_view &Seen,
                           const std::string &Service) const {
  std::vector<group_id> Groups;
  const configuration &Configuration = *Seen.Configuration;
  for (const server_group_spec &Spec : Configuration.groups()) {
    const bool Usable =
        Spec.Id.Service == Service &&
        Configuration.regionOf(Spec.Id.Zone) == Settings.Region &&
        Configuration.isZoneActive(Spec.Id.Zone);
    if (Usable)
      Groups.push_back(Spec.Id);
  }
  return Groups;
}

group_id request_path::chooseGroup(const std::vector<group_id> &Groups,
                                   const std::optional<group_id> &Except) {
  const std::lock_guard Guard(SelectorLock);
  const std::optional<group_id> Chosen = Selector.choose(
      Groups, Settings.Zone, monotonicNow(), Except ? &*Except : nullptr);
  group_id Group = Chosen.value_or(Groups.front());
  Selector.onSent(Group);
  return Group;
}

void request_path::noteAnswer(const group_id &Group,
                              const node_answer &Answer) {
  const std::lock_guard Guard(SelectorLock);
  Selector.onAnswered(Group);
  if (Answer.Load)
    Selector.onLoad(Group, *Answer.Load, monotonicNow());
  if (isOwnerTrouble(Answer.Reason))
    Selector.onNoAnswer(Group, monotonicNow(),
                        Answer.Reason == refusal_reason::OwnerLost);
}

node_answer request_path::dispatch(const node_request &Request,
                                   const std::string &Service,
                                   const answer_writer &Writer) {
  {
    const std::lock_guard Guard(BudgetLock);
    Budget.deposit();
  }
  bool BodyUsed = false;
  node_request Sent = Request;
  if (Request.Reader)
    Sent.Reader = [&](std::span<char> Buffer) {
      BodyUsed = true;
      return Request.Reader(Buffer);
    };
  bool MayHaveRun = false;
  node_answer Answer = refusalOf(refusal_reason::NoOwner, verdict::NotRun);
  std::optional<group_id> Last;
  std::size_t Tries = 0;
  while (Tries < MaxTries && monotonicNow() < Request.Deadline) {
    const auto Seen = view();
    const std::vector<group_id> Groups = usableGroups(*Seen, Service);
    if (Groups.empty()) {
      Answer = refusalOf(refusal_reason::NoServer, verdict::NotRun);
      break;
    }
    // Every group was tried: their owners are changing, which takes a while.
    if (Tries >= Groups.size())
      std::this_thread::sleep_for(RetryWait);
    const group_id Group = chooseGroup(Groups, Last);
    Answer = dispatchOnce(Sent, Group, *Seen, Writer);
    noteAnswer(Group, Answer);
    MayHaveRun = MayHaveRun || Answer.Verdict == verdict::MayHaveRun;
    if (!mayTryAgain(Answer, Request, BodyUsed))
      break;
    Metrics.increment("agatedale_owner_retries_total",
                      formatLabel("service", Service));
    Last = Group;
    ++Tries;
  }
  if (MayHaveRun && Answer.Verdict == verdict::NotRun)
    Answer.Verdict = verdict::MayHaveRun;
  return Answer;
}

} // namespace agatedale
