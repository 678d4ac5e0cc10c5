/// \file
/// Hosts the server groups that this VM dispatches for.
#pragma once

#include "agatedale/gateway_settings.h"
#include "agatedale/leaving_servers.h"
#include "fleet_snapshot.h"
#include "forward.h"
#include "server_pool.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace agatedale {

/// Executes the actions that server groups decide on: sends, cancels, delivers
/// and refuses requests, and reports the results to the groups.
///
///   forward_ticket Ticket = Host.submit(Request, Done);
///   Host.cancel(Ticket);
class group_host {
public:
  group_host(event_loop &Loop, const gateway_settings &Settings,
             concurrency_limits &Limits, std::shared_ptr<byte_budget> Budget)
      : Loop(Loop), Settings(Settings), Limits(Limits),
        Pool(Loop, std::move(Budget)) {}

  /// Sets the handler for a server that has said that it leaves. It is called
  /// before the group decides what follows the answer.
  void setLeavingHandler(std::function<void(const leaving_server &)> Handler) {
    OnLeaving = std::move(Handler);
  }

  /// Sets the handler for requests that are about to be sent to a server.
  void setSendHandler(
      std::function<void(const forward_request &, const std::string &Server)>
          Handler) {
    OnSend = std::move(Handler);
  }

  /// Sets what tells why a request must not be sent to a server; None if it
  /// may. It is asked when a request leaves the queue and when it is sent.
  void
  setRunCheck(std::function<refusal_reason(const forward_request &)> Check) {
    ReasonNotToRun = std::move(Check);
  }

  /// Sets what tells whether another VM may recently have dispatched for a
  /// group that this VM begins to dispatch for.
  void setFollowCheck(std::function<bool(const group_id &)> Check) {
    FollowsOwner = std::move(Check);
  }

  /// Records that requests of a group go to another VM now. What this VM had
  /// saved for retries there is discarded.
  void onOtherOwner(const group_id &Id);

  /// Refuses requests that cannot be finished before this VM ends.
  void setFinishLimit(const finish_limit &Limit);

  /// Applies the services and servers of a newer snapshot to all groups.
  void setSnapshot(std::shared_ptr<const fleet_snapshot> NewSnapshot);

  /// Sets the shares of the versions of \p Service by region; none if there is
  /// no rollout.
  void
  setVersionShares(const std::string &Service,
                   std::map<std::string, version_shares, std::less<>> ByRegion);

  /// Returns true if this VM has dispatched for a group of \p Service.
  bool hasGroupOf(const std::string &Service) const;

  /// Adds what the groups of the report's service have counted since the order,
  /// and their attempts at the old version.
  void addEvidence(rollout_report &Report) const;

  /// Submits a request to its group. \p Done is called once unless the request
  /// is cancelled.
  forward_ticket submit(forward_request Request, forward_callback Done);

  /// Cancels a request whose caller has disconnected. A queued request is
  /// dropped and an idempotent request in progress is cancelled. Any other
  /// request in progress runs to completion.
  void cancel(forward_ticket Ticket);

  /// Removes a request that no server was sent. Returns false, and changes
  /// nothing, if it may have been sent to one; its callback is not called if
  /// it was removed.
  bool withdraw(forward_ticket Ticket);

  /// Advances the time of every group.
  void tick();

  /// Returns the number of requests that are queued or sent.
  std::size_t inProgress() const { return Requests.size(); }
  std::uint64_t connectionsOpened() const { return Pool.connectionsOpened(); }
  const fault_counts &malformedResponses() const {
    return Pool.malformedResponses();
  }
  /// Returns the sum of the counters of all groups.
  group_counters counters() const;
  /// Returns how often a server asked for a time without requests.
  std::uint64_t holdsMade() const { return HoldsMade; }

private:
  struct hosted_group {
    explicit hosted_group(server_group Group) : Group(std::move(Group)) {}

    server_group Group;
    std::map<attempt_id, std::shared_ptr<server_call>> Calls;
    std::map<attempt_id, call_result> Responses;
  };

  struct hosted_request {
    forward_request Request;
    forward_callback Done;
    std::string Server; ///< The server of the last attempt.
    int Attempts = 0;
  };

  std::optional<version_shares> sharesOf(const group_id &Id) const;
  hosted_group *findOrCreate(const group_id &Id);
  void configureGroup(const group_id &Id, hosted_group &Hosted);
  void executeActions(const group_id &Id,
                      const std::vector<group_action> &Actions);
  void send(const group_id &Id, const send_action &Order);
  void applyNotices(const group_id &Id, const std::string &Server,
                    std::uint64_t Start, const call_result &Result);
  void holdServer(const group_id &Id, const std::string &Server,
                  std::uint64_t Start, duration Asked);
  void probeLoad(const group_id &Id, const load_query_action &Order);
  void onResult(const group_id &Id, const send_action &Order,
                call_result Result);
  void cancelCall(const group_id &Id, attempt_id Attempt);
  void deliver(const group_id &Id, const deliver_action &Order);
  void refuse(const group_id &Id, const group_refusal &Refusal);
  void finish(forward_ticket Ticket, forward_response Response);
  refusal_reason reasonNotToRun(const forward_request &Request) const {
    return ReasonNotToRun ? ReasonNotToRun(Request) : refusal_reason::None;
  }
  std::string_view reasonNotToSend(forward_ticket Ticket) const;

  event_loop &Loop;
  gateway_settings Settings;
  concurrency_limits &Limits;
  server_pool Pool;
  server_holds Holds;
  finish_limit Finish;
  std::uint64_t HoldsMade = 0;
  std::function<void(const leaving_server &)> OnLeaving;
  std::function<void(const forward_request &, const std::string &Server)>
      OnSend;
  std::function<refusal_reason(const forward_request &)> ReasonNotToRun;
  std::function<bool(const group_id &)> FollowsOwner;
  std::shared_ptr<const fleet_snapshot> Snapshot;
  std::map<group_id, std::unique_ptr<hosted_group>> Groups;
  std::map<forward_ticket, hosted_request> Requests;
  forward_ticket LastTicket = 0;
  /// By service and region; only of rollouts.
  std::map<std::string, std::map<std::string, version_shares, std::less<>>>
      Shares;
};

} // namespace agatedale
