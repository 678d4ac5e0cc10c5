/// \file
/// gRPC transport between gateways.
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

/// Why a request forwarded to a peer got no reply.
enum class peer_failure {
  NotSent, ///< No connection; the peer did not receive the request.
  NoReply  ///< The peer may have received the request.
};

/// Serves calls from peers and calls peers. All handlers run on the event loop.
///
///   auto Transport = peer_transport::start(Loop, "10.0.0.1:7720", Handlers);
///   valueOf(Transport)->forward(Peer, Message, Done);
class peer_transport {
public:
  struct handlers {
    std::function<wire_gateway::Heartbeat(const wire_gateway::Heartbeat &)>
        OnHeartbeat;
    /// Returns a ticket for cancelling the request.
    std::function<forward_ticket(const wire_gateway::Forward &,
                                 std::function<void(wire_gateway::Forwarded)>)>
        OnForward;
    std::function<void(forward_ticket)> OnCancel;
  };

  using heartbeat_done =
      std::function<void(const wire_gateway::Heartbeat *Reply)>;
  using forwarded_done =
      std::function<void(const wire_gateway::Forwarded *Reply, peer_failure)>;
  /// Cancels a call; its completion handler still runs.
  using cancel_call = std::function<void()>;

  static result<std::unique_ptr<peer_transport>> start(event_loop &Loop,
                                                       const std::string &Ip,
                                                       std::uint16_t Port,
                                                       handlers Handlers);
  ~peer_transport();

  /// Sends a heartbeat; the reply is null if none arrives within \p Timeout.
  void heartbeat(const entry_vm &Peer, const wire_gateway::Heartbeat &Message,
                 duration Timeout, heartbeat_done Done);

  /// Forwards a request to \p Peer. It is sent only over an established
  /// connection, so that NotSent is certain for requests that must not run
  /// twice.
  cancel_call forward(const entry_vm &Peer,
                      const wire_gateway::Forward &Message, duration Timeout,
                      forwarded_done Done);

  /// Returns true if \p Peer is connected; otherwise starts to connect.
  bool isConnected(const entry_vm &Peer);

  /// Closes the connections to all VMs but \p Peers.
  void disconnectAllExcept(std::span<const entry_vm> Peers);

  /// Cancels all outgoing calls; isIdle() returns true once they have ended.
  void cancelAll();
  bool isIdle() const;

  /// Rejects new calls; running calls may finish within \p Grace.
  void stop(duration Grace);

private:
  class impl;
  struct outgoing_forward;

  void sendWhenConnected(const std::shared_ptr<outgoing_forward> &Outgoing);
  explicit peer_transport(std::unique_ptr<impl> Impl);

  std::unique_ptr<impl> Impl;
};

} // namespace agatedale
