/// \file
/// Routes callers' requests to the owners of server groups.
#pragma once

#include "agatedale/account_gate.h"
#include "agatedale/caller_ages.h"
#include "agatedale/gateway_settings.h"
#include "agatedale/group_selector.h"
#include "agatedale/leaving_servers.h"
#include "agatedale/metrics.h"
#include "agatedale/told_returns.h"
#include "agatedale/vm_directory.h"
#include "agatedale/weighted_round_robin.h"
#include "caller_connection.h"
#include "fleet_snapshot.h"
#include "group_host.h"
#include "peer_transport.h"
#include "quota_service.h"
#include "rollout_host.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <span>
#include <string>

namespace agatedale {

/// Finds the route of a request, chooses a server group and sends the request
/// to the owner of the group. Retries on another group when the group refused
/// the request and repeating it is safe.
///
///   Router.serve(Exchange);             // Request from a caller.
///   Router.serveForPeer(Message, Done); // Request from a peer.
class request_router {
public:
  request_router(event_loop &Loop, const gateway_settings &Settings,
                 vm_directory &Vms, group_host &Host,
                 const leaving_servers &Leaving, metrics &Metrics);

  /// Sets the handler for servers that a peer knows to leave. It is called
  /// before the answer or the request that came with them is passed on.
  void setLeavingHandler(
      std::function<void(std::span<const leaving_server>)> Handler) {
    OnLeaving = std::move(Handler);
  }

  /// Sets the transport for calls to peers, which is created after the router.
  void setPeers(peer_transport &Transport) { Peers = &Transport; }
  /// Sets the quotas of accounts; without them no account is limited.
  void setQuotas(quota_service &Service) { Quotas = &Service; }
  void setRollouts(rollout_host &NewRollouts) { Rollouts = &NewRollouts; }
  /// Refuses new requests while \p NewBudget is short.
  void setBudget(std::shared_ptr<byte_budget> NewBudget) {
    Budget = std::move(NewBudget);
  }
  void setSnapshot(std::shared_ptr<const fleet_snapshot> NewSnapshot);

  /// What is known of the age of the configuration, and of requests for which
  /// that matters.
  struct configuration_age {
    /// Returns the time as of which the configuration is current.
    std::function<time_point()> AsOf;
    /// Returns true if a later configuration cannot be applied.
    std::function<bool()> IsSuperseded;
    /// Returns true if the configuration may serve requests all the same.
    std::function<bool()> MayServe;
    /// Returns the time as of which it is proven; zero if it is not.
    std::function<time_point()> ProvenAsOf;
    /// Returns true if requests with keys may be served.
    std::function<bool()> MayAdmitKeys;
    /// Returns why a request must not be sent on; None if it may.
    std::function<refusal_reason(const forward_request &)> ReasonNotToRun;
    bool IsProofNeeded = false;
  };
  void setConfigurationAge(configuration_age NewAge) {
    Age = std::move(NewAge);
  }

  /// Returns the account of a request whose body is still received, empty if
  /// its key is not known; nothing if the configuration requires no account.
  std::optional<std::string> accountOf(const request_decoder &Received) const;

  /// Serves a caller's request.
  void serve(const std::shared_ptr<caller_exchange> &Exchange);

  /// Serves a request that a peer forwarded. Returns the ticket for
  /// cancelForPeer().
  forward_ticket serveForPeer(const wire_gateway::Forward &Message,
                              const forward_arrival &Arrival,
                              const peer_transport::forward_reply &Done);
  void cancelForPeer(forward_ticket Ticket);

  /// Refuses requests of callers and of peers as not run that cannot be
  /// finished before this VM ends.
  void setFinishLimit(const finish_limit &Limit) {
    Finish = Limit;
    Host.setFinishLimit(Limit);
  }

  /// Refuses later requests of callers and of peers as not run.
  void refuseLater() { IsEnding = true; }

  /// Answers every request that is in progress, of callers and of peers,
  /// because the process ends: as not run only if no server was sent it. Later
  /// requests are refused.
  void answerAll();

  /// Returns the number of requests from callers and peers that are not
  /// answered yet.
  int inProgress() const {
    return static_cast<int>(ActiveRequests.size() + PeerRequests.size());
  }

private:
  struct active_request;
  using active_request_ptr = std::shared_ptr<active_request>;

  /// A request of a peer until its response.
  struct peer_request {
    std::function<void()> Cancel;
    std::function<void(const forward_response &)> Finish;
    forward_ticket HostTicket = 0; ///< 0 if it was passed on.
  };

  /// Why a request is refused on arrival.
  struct arrival_refusal {
    refusal_reason Reason = refusal_reason::None;
    duration RetryAfter = std::chrono::milliseconds(300);
    bool Close = false;  ///< Lets the caller go to another VM.
    std::string Account; ///< Empty if it is not known.
  };

  void refuseImmediately(const std::shared_ptr<caller_exchange> &Exchange,
                         const arrival_refusal &Refusal);
  std::chrono::milliseconds
  ageOfCaller(const std::string &Route,
              std::optional<std::chrono::milliseconds> TimeLeft);
  void retainRouteSplits();
  void refuseSuperseded(const std::shared_ptr<caller_exchange> &Exchange);
  account_admission admit(const route &Route, caller_exchange &Exchange);
  void place(const std::shared_ptr<caller_exchange> &Exchange,
             const route &Route, const account_admission &Admission);
  /// Refuses a request whose account has been refused a moment ago. Returns
  /// false if there is no such refusal.
  bool refuseOverQuota(const std::shared_ptr<caller_exchange> &Exchange,
                       const std::string &Account);
  /// Dispatches a request once its account's quota allows it.
  void admitByQuota(const active_request_ptr &ActiveRequest);
  void onQuotaVerdict(const active_request_ptr &ActiveRequest,
                      const quota_verdict &Verdict);
  void countRefusal(refusal_reason Reason, const std::string &Account);
  refusal_reason reasonNotToServePeer(const forward_request &Request) const;
  std::vector<group_candidate>
  candidates(const active_request &ActiveRequest) const;
  std::vector<group_candidate>
  candidatesOrNextBest(active_request &ActiveRequest) const;
  void dispatch(const active_request_ptr &ActiveRequest);
  void dispatchTo(const group_id &Group,
                  const active_request_ptr &ActiveRequest);
  bool isRemote(const group_id &Group) const;
  void rerouteForPeer(forward_ticket Ticket, forward_request Request,
                      forward_callback Complete);
  void excludeRegionOf(const group_id &Group, active_request &ActiveRequest);
  void sendToOwner(const entry_vm &Owner,
                   const active_request_ptr &ActiveRequest);
  void onResponse(const active_request_ptr &ActiveRequest,
                  forward_response Response);
  bool isUsable(const wire_gateway::Forwarded &Reply);
  void onPeerResponse(const active_request_ptr &ActiveRequest,
                      const entry_vm &Owner, wire_gateway::Forwarded *Reply,
                      peer_failure Failure, received_body Body);
  void complete(const active_request_ptr &ActiveRequest,
                forward_response Response);
  void onOverdue(const active_request_ptr &ActiveRequest);
  forward_response stoppingResponse(forward_ticket HostTicket);
  void onDisconnected(const active_request_ptr &ActiveRequest,
                      connection_end By);
  wire_gateway::Forward makeForward(const forward_request &Request,
                                    time_point Now) const;
  template <typename Message>
  void learnLeaving(const Message &In, const group_id &Group);
  duration withJitter(duration RetryAfter);
  void recordReturn(const active_request &ActiveRequest, verdict Verdict);

  event_loop &Loop;
  gateway_settings Settings;
  vm_directory &Vms;
  group_host &Host;
  const leaving_servers &Leaving;
  std::function<void(std::span<const leaving_server>)> OnLeaving;
  metrics &Metrics;
  peer_transport *Peers = nullptr;
  std::shared_ptr<byte_budget> Budget;
  quota_service *Quotas = nullptr;
  rollout_host *Rollouts = nullptr;
  std::shared_ptr<const fleet_snapshot> Snapshot;
  configuration_age Age;
  account_gate Gate;
  group_selector Selector;
  caller_ages CallerAges = caller_ages::create();
  told_returns Told = told_returns::create();
  std::map<std::string, weighted_round_robin> RouteSplits; ///< By route.
  std::map<forward_ticket, peer_request> PeerRequests;
  std::set<active_request_ptr> ActiveRequests;
  forward_ticket LastPeerTicket = 0;
  std::mt19937_64 Random;
  finish_limit Finish; ///< Set while this VM stops.
  bool IsEnding = false;
};

} // namespace agatedale
