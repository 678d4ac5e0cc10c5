/// \file
/// A VM's decisions about the quotas of client accounts.
#pragma once

#include "agatedale/quota_client.h"
#include "agatedale/quota_ledger.h"
#include "agatedale/quota_view.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace agatedale {

/// Configuration of a quota_agent.
struct quota_agent_settings {
  /// Requests beyond the limit that the operators tolerate in a window.
  double Slack = 20;
  /// Share of the slack that is added to the capacity of the buckets. The
  /// remainder covers changes of owners.
  double ExtraBurstShare = 0.6;
};

/// What a VM does with a request.
struct quota_verdict {
  enum class kind {
    Admit,
    Refuse,
    Ask ///< Ask \p Owner for a token.
  };

  kind Kind = kind::Admit;
  std::string Owner;         ///< Set for Ask; may be this VM.
  duration RetryAfter{};     ///< Set for Refuse; with jitter.
  bool IsRemembered = false; ///< Refused without asking.
  bool HasOwner = true;      ///< False if the local allowance decided.
};

/// An owner's answer to a VM that asks for a token.
struct quota_answer {
  bool IsOwner = false; ///< False if the VM does not own the bucket.
  bool IsGranted = false;
  duration RefuseFor{};  ///< Time for which to refuse without asking.
  duration RetryAfter{}; ///< Time to tell the caller.
};

/// An attempt of an owner to borrow from the owners in other zones: first from
/// those of its region and, if they gave less than one token, from the others.
struct quota_loan_order {
  double Wanted = 0;
  std::vector<std::string> Near;
  std::vector<std::string> Abroad;
};

/// Decides for one VM, as the VM of the caller and as the owner of buckets. Has
/// no sockets and no clock: the caller passes messages between the agents.
///
///   quota_agent Agent = quota_agent::create("vm-1", "a", "r", {});
///   quota_verdict Verdict = Agent.begin("web", Now);
///   if (Verdict.Kind == quota_verdict::kind::Ask)
///     Verdict = Agent.onAnswer("web", Other.serve("web", Now), Now);
class quota_agent {
public:
  /// How long a VM waits for the owner's answer.
  static constexpr duration AskTimeout = std::chrono::milliseconds(50);
  /// How long an owner waits for loans before it answers.
  static constexpr duration LoanTimeout = std::chrono::milliseconds(40);

  static quota_agent create(const std::string &Vm, const std::string &Zone,
                            const std::string &Region,
                            const quota_agent_settings &Settings);

  /// Sets the limits of the accounts that have one.
  void setLimits(const quota_limits &Limits, time_point Now);

  /// Sets the listed VMs, this one included, and their liveness.
  void setVms(std::span<const quota_vm> Vms, time_point Now) {
    View.update(Vms, Now);
  }

  /// Updates the liveness of listed VMs, this one included.
  void updateLiveness(std::span<const quota_vm> Vms, time_point Now) {
    View.updateLiveness(Vms, Now);
  }

  bool hasLimits() const { return Ledger.hasLimits(); }

  bool isLimited(std::string_view Account) const {
    return Ledger.limitOf(Account) != nullptr;
  }

  /// Returns the time to tell the caller if a refusal is remembered.
  std::optional<duration> refusal(std::string_view Account, time_point Now) {
    return Client.refusal(Account, draw(), Now);
  }

  /// Decides on a request, or says whom to ask.
  quota_verdict begin(const std::string &Account, time_point Now);

  /// Decides on a request by the owner's answer, or without one.
  quota_verdict onAnswer(const std::string &Account, const quota_answer &Answer,
                         time_point Now);
  quota_verdict onNoAnswer(const std::string &Account, const std::string &Owner,
                           time_point Now);

  /// Answers a VM that asks, as the owner.
  quota_answer serve(const std::string &Account, time_point Now);

  /// Returns a token of a request that was not run, as the owner.
  void giveBack(const std::string &Account, double Tokens, time_point Now);

  /// Returns the loan to ask for now. Wanted is 0 if there is none.
  quota_loan_order nextLoan(const std::string &Account, time_point Now);
  void onBorrowed(const std::string &Account, double Tokens, time_point Now) {
    Ledger.onBorrowed(Account, Tokens, Now);
  }
  void onLoanEnded(const std::string &Account, double Tokens, time_point Now) {
    Ledger.onLoanEnded(Account, Tokens, Now);
  }
  void onLenderSilent(const std::string &Vm, time_point Now) {
    View.recordNotOwner(Vm, Now);
  }

  /// Lends tokens to the owner in another zone. Nothing if this VM does not own
  /// the bucket of its zone.
  std::optional<double> lend(const std::string &Account, double Wanted,
                             time_point Now);

  /// Takes what is left of the buckets that this VM owns, by account. To be
  /// called before updateLiveness() tells that this VM leaves.
  std::map<std::string, double> takeAll(time_point Now) {
    return Ledger.takeAll(View, Now);
  }

  /// Takes over what the owner before has left. \p Message names the message
  /// that brought it; a message that arrives again changes nothing.
  void onHandOver(const std::map<std::string, double> &Left,
                  std::uint64_t Message, time_point Now);

  /// Returns the owner of the account's bucket in this VM's zone.
  std::string ownerOf(std::string_view Account) const {
    return View.ownerOf(Account);
  }

private:
  quota_agent(const std::string &Vm, const std::string &Zone,
              const std::string &Region, const quota_agent_settings &Settings);

  double draw() { return std::uniform_real_distribution<double>(0, 1)(Random); }
  quota_verdict decideLocally(const std::string &Account, time_point Now);

  quota_view View;
  quota_ledger Ledger;
  quota_client Client;
  std::map<std::string, time_point> SilentUntil; ///< By owner.
  std::map<std::uint64_t, time_point> HandOversSeen;
  std::mt19937_64 Random;
};

} // namespace agatedale
