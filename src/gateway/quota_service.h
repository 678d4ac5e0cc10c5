/// \file
/// Exchanges the messages of quotas with peers.
#pragma once

#include "agatedale/configuration.h"
#include "agatedale/gateway_settings.h"
#include "agatedale/metrics.h"
#include "agatedale/quota_agent.h"
#include "agatedale/vm_directory.h"
#include "peer_transport.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agatedale {

/// Carries out what this VM's quota_agent decides: asks the owners of buckets,
/// answers VMs that ask, and borrows tokens. The asks of one turn of the event
/// loop to the same owner share a message.
///
///   if (auto RetryAfter = Quotas.refusal("web")) refuse();
///   else Quotas.admit("web", [](const quota_verdict &Verdict) { ... });
class quota_service {
public:
  using admit_done = std::function<void(const quota_verdict &)>;
  using reply_done = std::function<void(const wire_gateway::QuotaReply &)>;

  quota_service(event_loop &Loop, const gateway_settings &Settings,
                const vm_directory &Vms, metrics &Metrics);
  ~quota_service();

  /// Sets the transport for calls to peers, which is created later.
  void setPeers(peer_transport &Transport) { Peers = &Transport; }

  /// Applies the limits of a newer configuration.
  void setConfiguration(const configuration &Config);

  /// Applies the list of VMs and their liveness, or only the liveness.
  void updateVms();
  void updateLiveness();

  bool isLimited(std::string_view Account) const {
    return Agent.isLimited(Account);
  }

  /// Returns the time to tell a caller whose request is refused at once,
  /// because a refusal is remembered.
  std::optional<duration> refusal(const std::string &Account);

  /// Decides on a request. \p Done may be called at once; it is called after
  /// quota_agent::AskTimeout at the latest.
  void admit(const std::string &Account, admit_done Done);

  /// Returns the token of an admitted request that was not run.
  void giveBack(const std::string &Account);

  /// Hands what is left of the own buckets to their next owners. To be called
  /// when the list of VMs says that this one leaves, after updateLiveness() has
  /// been called without it.
  void handOver();

  /// Answers a peer.
  void onRequest(const wire_gateway::QuotaRequest &Request, reply_done Done);

private:
  /// Asks that wait to be sent to an owner.
  struct outgoing_asks {
    std::map<std::string, std::vector<admit_done>> Waiting; ///< By account.
    std::map<std::string, std::uint32_t> Returned;
  };

  /// Tokens that are asked of this VM as the owner.
  struct served_ask {
    std::uint32_t Wanted = 0;
    std::uint32_t Granted = 0;
    quota_answer Answer; ///< To the last token.
    std::function<void(const served_ask &)> Done;
  };

  /// An attempt to borrow.
  struct loan {
    quota_loan_order Order;
    double Borrowed = 0;
    int Pending = 0; ///< Calls without an answer.
    bool IsAbroad = false;
    std::vector<served_ask> Waiting;
    event_loop::timer_id NearTimer = 0;
    event_loop::timer_id WaitTimer = 0;
  };

  std::vector<quota_vm> zoneVms(time_point Now) const;
  void recordUnlisted(std::vector<entry_vm> NewOthers, time_point Now);
  std::optional<entry_vm> findLender(const std::string &Name) const;
  void sendHandOver(const std::string &Owner,
                    const std::map<std::string, double> &Left);
  void scheduleFlush();
  void flush();
  void sendAsks(const std::string &Owner, outgoing_asks Asks);
  void finishAsks(const std::string &Owner, outgoing_asks &Asks,
                  const wire_gateway::QuotaReply *Reply);
  void finish(const std::string &Account, const quota_verdict &Verdict,
              const admit_done &Done);
  bool grant(const std::string &Account, served_ask &Ask);
  void serve(const std::string &Account, served_ask Ask);
  void startLoan(const std::string &Account);
  void askLenders(const std::string &Account,
                  const std::vector<std::string> &Lenders);
  void onLent(const std::string &Account, const std::string &Lender,
              const wire_gateway::QuotaReply *Reply);
  void endNearStage(const std::string &Account);
  void endLoan(const std::string &Account);
  void releaseWaiting(const std::string &Account, bool IsFinal);
  void logRefusals();

  event_loop &Loop;
  gateway_settings Settings;
  const vm_directory &Vms;
  metrics &Metrics;
  peer_transport *Peers = nullptr;
  quota_agent Agent;
  std::map<std::string, outgoing_asks> Outgoing; ///< By owner.
  bool IsFlushScheduled = false;
  std::map<std::string, loan> Loans; ///< By account.
  struct refusal_counts {
    std::uint64_t Refused = 0;
    std::uint64_t WithoutAsking = 0;
  };
  std::map<std::string, refusal_counts> RefusalsToLog;
  event_loop::timer_id LogTimer = 0;
  time_point ListAppliedAt{};
  std::vector<entry_vm> Others; ///< Listed VMs of other zones.
  /// VMs of other zones that are no longer listed but may not have ended. They
  /// are asked for loans.
  struct unlisted_vm {
    entry_vm Vm;
    time_point At{};
  };
  std::map<std::string, unlisted_vm> Unlisted;
  /// Expires with this object, for handlers that may run later.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace agatedale
