/// \file
/// Takes callers' requests to the owners of server groups and back.
#pragma once

#include "agatedale/gateway_settings.h"
#include "agatedale/metrics.h"
#include "agatedale/vm_directory.h"
#include "agatedale/weighted_turns.h"
#include "agatedale/zone_choice.h"
#include "caller_connection.h"
#include "fleet_view.h"
#include "group_host.h"
#include "peer_transport.h"

#include <map>
#include <memory>
#include <random>
#include <string>

namespace agatedale {

/// Finds the route of a request, chooses a server group, hands the request to
/// the group's owner, and tries another group when it was refused there and has
/// certainly not run.
///
///   Router.serve(Exchange);          // from a caller
///   Router.serveForPeer(Message, Done); // from a peer
class request_router {
public:
  request_router(event_loop &Loop, const gateway_settings &Settings,
                 vm_directory &Vms, group_host &Host, metrics &Metrics);

  /// Sets the way to peers; it is made after the router.
  void setPeers(peer_transport &Hub) { Peers = &Hub; }
  /// Bounds the bodies of requests that peers hand over.
  void setBodies(std::shared_ptr<body_budget> NewBodies) {
    Bodies = std::move(NewBodies);
  }
  void setView(std::shared_ptr<const fleet_view> NewView) {
    View = std::move(NewView);
  }

  /// Serves a caller's request.
  void serve(const std::shared_ptr<caller_exchange> &Exchange);

  /// Serves a request that a peer handed over; returns its ticket.
  forward_ticket
  serveForPeer(const wire_gateway::Forward &Message,
               const std::function<void(wire_gateway::Forwarded)> &Done);
  void cancelForPeer(forward_ticket Ticket);

  /// Returns the requests of callers and peers that are not answered yet.
  int inProgress() const {
    return InProgress + static_cast<int>(PeerCancels.size());
  }

private:
  struct journey;
  using journey_ptr = std::shared_ptr<journey>;

  void refuseNow(const std::shared_ptr<caller_exchange> &Exchange,
                 refusal_reason Reason);
  std::vector<zone_candidate> candidates(const journey &Journey) const;
  void dispatch(const journey_ptr &Journey);
  void handTo(const entry_vm &Owner, const journey_ptr &Journey);
  void onAnswer(const journey_ptr &Journey, forward_answer Answer);
  void onPeerAnswer(const journey_ptr &Journey, const entry_vm &Owner,
                    const wire_gateway::Forwarded *Reply, peer_failure Failure);
  void conclude(const journey_ptr &Journey, forward_answer Answer);
  void onOverdue(const journey_ptr &Journey);
  void abandon(const journey_ptr &Journey);
  http_answer_message refusal(const forward_answer &Answer);

  event_loop &Loop;
  gateway_settings Settings;
  vm_directory &Vms;
  group_host &Host;
  metrics &Metrics;
  peer_transport *Peers = nullptr;
  std::shared_ptr<body_budget> Bodies;
  std::shared_ptr<const fleet_view> View;
  zone_choice Choice;
  std::map<std::string, weighted_turns> Turns; ///< By route.
  std::map<forward_ticket, std::function<void()>> PeerCancels;
  forward_ticket LastPeerTicket = 0;
  std::mt19937_64 Random;
  int InProgress = 0;
};

} // namespace agatedale
