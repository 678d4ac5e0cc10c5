/// \file
/// Messages between gateways over gRPC.
#pragma once

#include "agatedale/entry_vm.h"
#include "agatedale/result.h"
#include "event_loop.h"
#include "forward.h"

#include "gateway.pb.h"

#include <functional>
#include <memory>
#include <string>

namespace agatedale {

namespace wire_gateway = ::agatedale::gateway;

/// How a request that was handed to a peer ended without its answer.
enum class peer_failure {
  NotSent, ///< There was no connection; the peer does not have it.
  NoReply  ///< The peer may have it.
};

/// Serves peers and calls them. Every handler runs on the event loop.
///
///   auto Hub = peer_transport::start(Loop, "10.0.0.1:7720", Handlers);
///   valueOf(Hub)->forward(Peer, Message, Done);
class peer_transport {
public:
  struct handlers {
    std::function<wire_gateway::Heartbeat(const wire_gateway::Heartbeat &)>
        OnHeartbeat;
    /// Returns a ticket by which the request can be cancelled.
    std::function<forward_ticket(const wire_gateway::Forward &,
                                 std::function<void(wire_gateway::Forwarded)>)>
        OnForward;
    std::function<void(forward_ticket)> OnCancel;
  };

  using heartbeat_done =
      std::function<void(const wire_gateway::Heartbeat *Reply)>;
  using forwarded_done =
      std::function<void(const wire_gateway::Forwarded *Reply, peer_failure)>;
  /// Breaks a call off; its done is called all the same.
  using cancel_call = std::function<void()>;

  static result<std::unique_ptr<peer_transport>> start(event_loop &Loop,
                                                       const std::string &Ip,
                                                       std::uint16_t Port,
                                                       handlers Handlers);
  ~peer_transport();

  /// Sends a heartbeat; the reply is null when none came within \p Timeout.
  void heartbeat(const entry_vm &Peer, const wire_gateway::Heartbeat &Message,
                 duration Timeout, heartbeat_done Done);

  /// Hands a request to \p Peer. A request that must not run twice is sent only
  /// over a connection that stands.
  cancel_call forward(const entry_vm &Peer,
                      const wire_gateway::Forward &Message, duration Timeout,
                      forwarded_done Done);

  /// Returns true if the connection to \p Peer stands; else begins to make it.
  bool isConnected(const entry_vm &Peer);

  /// Drops the connections to all but \p Peers.
  void disconnectAllExcept(std::span<const entry_vm> Peers);

  /// Breaks off the calls of this process; isIdle() says when they have ended.
  void cancelAll();
  bool isIdle() const;

  /// Takes no more calls; those that run may end until \p Grace is over.
  void stop(duration Grace);

private:
  class impl;
  struct outgoing_forward;

  void sendWhenConnected(const std::shared_ptr<outgoing_forward> &Outgoing);
  explicit peer_transport(std::unique_ptr<impl> Impl);

  std::unique_ptr<impl> Impl;
};

} // namespace agatedale
