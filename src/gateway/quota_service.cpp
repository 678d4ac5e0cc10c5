/// \file
/// Asks, answers and loans over the connections between peers.
#include "quota_service.h"

#include "../core/log.h"
#include "quota_convert.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace agatedale {

namespace {

/// Time for which the lenders of the own region are waited for before those of
/// other regions are asked.
constexpr duration NearLoanTimeout = std::chrono::milliseconds(10);

/// A loan that arrives later than the asks wait for it is kept for later ones.
constexpr duration LoanReplyTimeout = std::chrono::milliseconds(250);

/// Maximum number of tokens in one ask; a message cannot empty a bucket of a
/// large account by mistake.
constexpr std::uint32_t MaxTokensPerAsk = 1000;

/// A message that hands buckets over is at most some 30 kB.
constexpr std::size_t MaxAccountsPerHandOver = 1000;
constexpr duration HandOverTimeout = std::chrono::seconds(1);

/// Interval at which VMs are forgotten that are no longer listed.
constexpr duration ListInterval = std::chrono::seconds(30);

/// Interval at which refusals are logged, one line per account.
constexpr duration RefusalLogInterval = std::chrono::seconds(5);

quota_agent_settings agentSettings(const gateway_settings &Settings) {
  quota_agent_settings Agent;
  Agent.Slack = Settings.QuotaSlack;
  return Agent;
}

} // namespace

quota_service::quota_service(event_loop &Loop, const gateway_settings &Settings,
                             const vm_directory &Vms, metrics &Metrics)
    : Loop(Loop), Settings(Settings), Vms(Vms), Metrics(Metrics),
      Agent(quota_agent::create(Settings.Vm, Settings.Zone, Settings.Region,
                                agentSettings(Settings))) {
  updateVms();
}

quota_service::~quota_service() {
  Loop.cancel(LogTimer);
  for (const auto &[Account, Loan] : Loans) {
    Loop.cancel(Loan.NearTimer);
    Loop.cancel(Loan.WaitTimer);
  }
}

void quota_service::setConfiguration(const configuration &Config) {
  quota_limits Limits;
  for (const auto &[Name, Account] : Config.accounts()) {
    if (Account.RatePerSecond > 0)
      Limits.emplace(Name, quota_limit{Account.RatePerSecond, Account.Burst});
  }
  updateVms();
  Agent.setLimits(Limits, bootNow());
}

/// Returns this VM and the others of its zone.
std::vector<quota_vm> quota_service::zoneVms(time_point Now) const {
  std::vector<quota_vm> Zone;
  const auto Add = [&Zone](const entry_vm &Vm, bool IsHeard) {
    Zone.push_back({Vm.Id.Name, Vm.Zone, Vm.Region, IsHeard,
                    Vm.Ready && !Vm.Leaving, Vm.Leaving});
  };
  Add(Vms.self(), true);
  for (const listed_vm &Vm : Vms.zoneVms(Now))
    Add(Vm.Vm, Vm.IsHeard);
  return Zone;
}

void quota_service::updateVms() {
  const time_point Now = bootNow();
  std::vector<quota_vm> Listed = zoneVms(Now);
  std::vector<entry_vm> NewOthers = Vms.otherVms();
  std::erase_if(NewOthers, [this](const entry_vm &Vm) {
    return Vm.Zone == Settings.Zone;
  });
  for (const entry_vm &Vm : NewOthers)
    Listed.push_back(
        {Vm.Id.Name, Vm.Zone, Vm.Region, false, false, Vm.Leaving});
  Agent.setVms(Listed, Now);
  recordUnlisted(std::move(NewOthers), Now);
  ListAppliedAt = Now;
}

void quota_service::recordUnlisted(std::vector<entry_vm> NewOthers,
                                   time_point Now) {
  for (const entry_vm &Vm : Others)
    Unlisted.insert_or_assign(Vm.Id.Name, unlisted_vm{Vm, Now});
  for (const entry_vm &Vm : NewOthers)
    Unlisted.erase(Vm.Id.Name);
  std::erase_if(Unlisted, [Now](const auto &Entry) {
    return Now - Entry.second.At > quota_view::LeavingTime;
  });
  Others = std::move(NewOthers);
}

std::optional<entry_vm>
quota_service::findLender(const std::string &Name) const {
  const auto Found = Unlisted.find(Name);
  return Found == Unlisted.end() ? Vms.find(Name) : Found->second.Vm;
}

void quota_service::updateLiveness() {
  const time_point Now = bootNow();
  if (!Agent.hasLimits())
    return;
  if (Now - ListAppliedAt >= ListInterval)
    updateVms();
  else
    Agent.updateLiveness(zoneVms(Now), Now);
}

std::optional<duration> quota_service::refusal(const std::string &Account) {
  if (!Agent.isLimited(Account))
    return std::nullopt;
  const auto RetryAfter = Agent.refusal(Account, bootNow());
  if (RetryAfter) {
    quota_verdict Verdict;
    Verdict.Kind = quota_verdict::kind::Refuse;
    Verdict.IsRemembered = true;
    finish(Account, Verdict, nullptr);
  }
  return RetryAfter;
}

void quota_service::admit(const std::string &Account, admit_done Done) {
  const quota_verdict Verdict = Agent.begin(Account, bootNow());
  if (Verdict.Kind != quota_verdict::kind::Ask) {
    finish(Account, Verdict, Done);
    return;
  }
  if (Verdict.Owner == Settings.Vm) {
    served_ask Ask;
    Ask.Wanted = 1;
    Ask.Done = [this, Account,
                Done = std::move(Done)](const served_ask &Served) {
      quota_answer Answer = Served.Answer;
      Answer.IsGranted = Served.Granted > 0;
      finish(Account, Agent.onAnswer(Account, Answer, bootNow()), Done);
    };
    serve(Account, std::move(Ask));
    return;
  }
  Metrics.increment("agatedale_quota_asked_total",
                    formatLabel("account", Account));
  Outgoing[Verdict.Owner].Waiting[Account].push_back(std::move(Done));
  scheduleFlush();
}

/// Counts a decision and tells the caller of admit().
void quota_service::finish(const std::string &Account,
                           const quota_verdict &Verdict,
                           const admit_done &Done) {
  const metric_labels Labels = formatLabel("account", Account);
  if (Verdict.Kind == quota_verdict::kind::Admit) {
    Metrics.increment("agatedale_quota_admitted_total", Labels);
    if (!Verdict.HasOwner)
      Metrics.increment("agatedale_quota_admitted_without_owner_total", Labels);
  } else {
    Metrics.increment(Verdict.HasOwner
                          ? "agatedale_quota_refused_total"
                          : "agatedale_quota_refused_without_owner_total",
                      Labels);
    refusal_counts &Counts = RefusalsToLog[Account];
    ++Counts.Refused;
    Counts.WithoutAsking += Verdict.IsRemembered ? 1 : 0;
    if (LogTimer == 0)
      LogTimer = Loop.after(RefusalLogInterval, [this] { logRefusals(); });
  }
  if (Done)
    Done(Verdict);
}

void quota_service::logRefusals() {
  LogTimer = 0;
  for (const auto &[Account, Counts] : std::exchange(RefusalsToLog, {}))
    logLine(log_level::Info, "quota-exceeded",
            {{"account", Account},
             {"refused", Counts.Refused},
             {"without_asking", Counts.WithoutAsking},
             {"owner", Agent.ownerOf(Account)}});
}

void quota_service::giveBack(const std::string &Account) {
  const std::string Owner = Agent.ownerOf(Account);
  Metrics.increment("agatedale_quota_returned_total",
                    formatLabel("account", Account));
  if (Owner == Settings.Vm) {
    Agent.giveBack(Account, 1, bootNow());
    return;
  }
  if (Owner.empty())
    return;
  ++Outgoing[Owner].Returned[Account];
  scheduleFlush();
}

void quota_service::handOver() {
  if (!Agent.hasLimits())
    return;
  const time_point Now = bootNow();
  const std::map<std::string, double> Left = Agent.takeAll(Now);
  Agent.updateLiveness(zoneVms(Now), Now);
  std::map<std::string, std::map<std::string, double>> ByOwner;
  for (const auto &[Account, Tokens] : Left) {
    const std::string Owner = Agent.ownerOf(Account);
    std::map<std::string, double> &Message = ByOwner[Owner];
    Message.emplace(Account, Tokens);
    if (Message.size() == MaxAccountsPerHandOver)
      sendHandOver(Owner, std::exchange(Message, {}));
  }
  for (const auto &[Owner, Message] : ByOwner)
    sendHandOver(Owner, Message);
  logLine(log_level::Info, "quotas-handed-over",
          {{"accounts", Left.size()}, {"owners", ByOwner.size()}});
}

/// Sent once only. If the message is lost, so are the tokens.
void quota_service::sendHandOver(const std::string &Owner,
                                 const std::map<std::string, double> &Left) {
  std::random_device Random;
  const std::uint64_t Message =
      std::uniform_int_distribution<std::uint64_t>(1)(Random);
  if (Owner == Settings.Vm) {
    Agent.onHandOver(Left, Message, bootNow());
    return;
  }
  const auto Vm = Vms.find(Owner);
  if (!Vm || !Peers || Left.empty())
    return;
  wire_gateway::QuotaRequest Request;
  Request.set_hand_over(Message);
  for (const auto &[Account, Tokens] : Left) {
    wire_gateway::QuotaAsk &Ask = *Request.add_asks();
    Ask.set_account(Account);
    Ask.set_left_milli(toMilliTokens(Tokens));
  }
  Peers->requestQuota(*Vm, Request, HandOverTimeout,
                      [](const wire_gateway::QuotaReply *) {});
}

void quota_service::scheduleFlush() {
  if (IsFlushScheduled)
    return;
  IsFlushScheduled = true;
  Loop.post([this, Weak = std::weak_ptr<bool>(Alive)] {
    if (!Weak.expired())
      flush();
  });
}

void quota_service::flush() {
  IsFlushScheduled = false;
  for (auto &[Owner, Asks] : std::exchange(Outgoing, {}))
    sendAsks(Owner, std::move(Asks));
}

void quota_service::sendAsks(const std::string &Owner, outgoing_asks Asks) {
  const auto Vm = Vms.find(Owner);
  if (!Vm || !Peers) {
    finishAsks(Owner, Asks, nullptr);
    return;
  }
  wire_gateway::QuotaRequest Request;
  for (const auto &[Account, Waiting] : Asks.Waiting) {
    wire_gateway::QuotaAsk &Ask = *Request.add_asks();
    Ask.set_account(Account);
    Ask.set_tokens(static_cast<std::uint32_t>(Waiting.size()));
  }
  for (const auto &[Account, Returned] : Asks.Returned) {
    wire_gateway::QuotaAsk &Ask = *Request.add_asks();
    Ask.set_account(Account);
    Ask.set_returned(Returned);
  }
  Peers->requestQuota(*Vm, Request, quota_agent::AskTimeout,
                      [this, Weak = std::weak_ptr<bool>(Alive), Owner,
                       Sent = std::make_shared<outgoing_asks>(std::move(Asks))](
                          const wire_gateway::QuotaReply *Reply) {
                        if (!Weak.expired())
                          finishAsks(Owner, *Sent, Reply);
                      });
}

/// Decides on the requests that wait for an owner's reply, or for none.
void quota_service::finishAsks(const std::string &Owner, outgoing_asks &Asks,
                               const wire_gateway::QuotaReply *Reply) {
  const time_point Now = bootNow();
  for (auto &[Account, Waiting] : Asks.Waiting) {
    const wire_gateway::QuotaAnswer *Answer = nullptr;
    for (int I = 0; Reply && I < Reply->answers_size(); ++I) {
      if (Reply->answers(I).account() == Account)
        Answer = &Reply->answers(I);
    }
    std::uint32_t Granted = 0;
    for (const admit_done &Done : Waiting) {
      if (!Answer) {
        finish(Account, Agent.onNoAnswer(Account, Owner, Now), Done);
        continue;
      }
      const bool IsGranted = Granted++ < Answer->granted();
      finish(Account,
             Agent.onAnswer(Account, fromMessage(*Answer, IsGranted), Now),
             Done);
    }
  }
}

void quota_service::onRequest(const wire_gateway::QuotaRequest &Request,
                              reply_done Done) {
  /// The reply is sent when all asks are answered.
  struct open_reply {
    wire_gateway::QuotaReply Reply;
    int Open = 1;
    reply_done Done;
  };
  const auto Open = std::make_shared<open_reply>();
  Open->Done = std::move(Done);
  const auto CloseOne = [Open] {
    if (--Open->Open == 0)
      Open->Done(Open->Reply);
  };
  if (Request.hand_over() != 0) {
    std::map<std::string, double> Left;
    for (const wire_gateway::QuotaAsk &Ask : Request.asks())
      Left[Ask.account()] = fromMilliTokens(Ask.left_milli());
    Agent.onHandOver(Left, Request.hand_over(), bootNow());
    CloseOne();
    return;
  }
  for (const wire_gateway::QuotaAsk &Ask : Request.asks()) {
    const std::string &Account = Ask.account();
    if (Ask.returned() > 0)
      Agent.giveBack(Account, std::min(Ask.returned(), MaxTokensPerAsk),
                     bootNow());
    if (Ask.borrowed_milli() > 0) {
      const auto Lent =
          Agent.lend(Account, fromMilliTokens(Ask.borrowed_milli()), bootNow());
      wire_gateway::QuotaAnswer &Answer = *Open->Reply.add_answers();
      Answer.set_account(Account);
      Answer.set_is_owner(Lent.has_value());
      Answer.set_lent_milli(toMilliTokens(Lent.value_or(0)));
    }
    if (Ask.tokens() == 0)
      continue;
    ++Open->Open;
    served_ask Served;
    Served.Wanted = std::min(Ask.tokens(), MaxTokensPerAsk);
    Served.Done = [Open, CloseOne, Account](const served_ask &Done) {
      *Open->Reply.add_answers() =
          toMessage(Account, Done.Granted, Done.Answer);
      CloseOne();
    };
    serve(Account, std::move(Served));
  }
  CloseOne();
}

/// Grants tokens out of the bucket. Returns true if all were granted.
bool quota_service::grant(const std::string &Account, served_ask &Ask) {
  while (Ask.Granted < Ask.Wanted) {
    Ask.Answer = Agent.serve(Account, bootNow());
    if (!Ask.Answer.IsOwner || !Ask.Answer.IsGranted)
      return false;
    ++Ask.Granted;
  }
  return true;
}

/// Answers an ask as the owner, after a loan if the bucket is empty and other
/// owners may lend.
void quota_service::serve(const std::string &Account, served_ask Ask) {
  const bool IsServed = grant(Account, Ask);
  if (Ask.Answer.IsOwner)
    startLoan(Account);
  const auto Loan = Loans.find(Account);
  if (IsServed || !Ask.Answer.IsOwner || Loan == Loans.end() ||
      Loan->second.WaitTimer == 0)
    Ask.Done(Ask);
  else
    Loan->second.Waiting.push_back(std::move(Ask));
}

void quota_service::startLoan(const std::string &Account) {
  if (!Peers || Loans.contains(Account))
    return;
  quota_loan_order Order = Agent.nextLoan(Account, bootNow());
  if (Order.Wanted <= 0)
    return;
  loan &Loan = Loans[Account];
  Loan.Order = std::move(Order);
  Loan.WaitTimer = Loop.after(quota_agent::LoanTimeout, [this, Account] {
    Loans[Account].WaitTimer = 0;
    releaseWaiting(Account, true);
  });
  Loan.NearTimer =
      Loop.after(Loan.Order.Near.empty() ? duration::zero() : NearLoanTimeout,
                 [this, Account] { endNearStage(Account); });
  askLenders(Account, Loan.Order.Near);
}

void quota_service::askLenders(const std::string &Account,
                               const std::vector<std::string> &Lenders) {
  loan &Loan = Loans.at(Account);
  wire_gateway::QuotaRequest Request;
  wire_gateway::QuotaAsk &Ask = *Request.add_asks();
  Ask.set_account(Account);
  Ask.set_borrowed_milli(toMilliTokens(Loan.Order.Wanted));
  for (const std::string &Lender : Lenders) {
    const auto Vm = findLender(Lender);
    if (!Vm)
      continue;
    ++Loan.Pending;
    Peers->requestQuota(*Vm, Request, LoanReplyTimeout,
                        [this, Weak = std::weak_ptr<bool>(Alive), Account,
                         Lender](const wire_gateway::QuotaReply *Reply) {
                          if (!Weak.expired())
                            onLent(Account, Lender, Reply);
                        });
  }
}

void quota_service::onLent(const std::string &Account,
                           const std::string &Lender,
                           const wire_gateway::QuotaReply *Reply) {
  const bool IsOwner =
      Reply && Reply->answers_size() > 0 && Reply->answers(0).is_owner();
  if (!IsOwner)
    Agent.onLenderSilent(Lender, bootNow());
  loan &Loan = Loans.at(Account);
  --Loan.Pending;
  const double Lent =
      IsOwner ? fromMilliTokens(Reply->answers(0).lent_milli()) : 0;
  if (Lent > 0) {
    Loan.Borrowed += Lent;
    Agent.onBorrowed(Account, Lent, bootNow());
    Metrics.increment("agatedale_quota_borrowed_total",
                      formatLabel("account", Account),
                      static_cast<std::uint64_t>(std::llround(Lent)));
    releaseWaiting(Account, false);
  }
  if (Loan.Pending > 0)
    return;
  if (Loan.IsAbroad || Loan.Borrowed >= 1) {
    endLoan(Account);
    return;
  }
  Loop.cancel(Loan.NearTimer);
  endNearStage(Account);
}

/// Asks the owners of other regions if those of the own region lent nothing.
void quota_service::endNearStage(const std::string &Account) {
  loan &Loan = Loans.at(Account);
  Loan.NearTimer = 0;
  if (Loan.IsAbroad)
    return;
  Loan.IsAbroad = true;
  if (Loan.Borrowed < 1)
    askLenders(Account, Loan.Order.Abroad);
  if (Loan.Pending == 0)
    endLoan(Account);
}

void quota_service::endLoan(const std::string &Account) {
  loan Ended = std::move(Loans.at(Account));
  Loans.erase(Account);
  Loop.cancel(Ended.NearTimer);
  Loop.cancel(Ended.WaitTimer);
  Agent.onLoanEnded(Account, Ended.Borrowed, bootNow());
  for (served_ask &Ask : Ended.Waiting) {
    grant(Account, Ask);
    Ask.Done(Ask);
  }
}

/// Answers the asks that wait for a loan, if there are tokens now or
/// \p IsFinal is set.
void quota_service::releaseWaiting(const std::string &Account, bool IsFinal) {
  auto Waiting = std::exchange(Loans.at(Account).Waiting, {});
  std::vector<served_ask> Later;
  for (served_ask &Ask : Waiting) {
    if (grant(Account, Ask) || IsFinal)
      Ask.Done(Ask);
    else
      Later.push_back(std::move(Ask));
  }
  // A handler may have begun to wait meanwhile.
  auto &Now = Loans.at(Account).Waiting;
  Now.insert(Now.begin(), std::make_move_iterator(Later.begin()),
             std::make_move_iterator(Later.end()));
}

} // namespace agatedale
