/// \file
/// Calls between gateways.
#pragma once

#include "agatedale/byte_budget.h"
#include "agatedale/entry_vm.h"
#include "agatedale/peer_traffic.h"
#include "agatedale/result.h"
#include "agatedale/transit_clock.h"
#include "event_loop.h"
#include "forward.h"
#include "peer_connection.h"

#include "gateway.pb.h"

#include <Poco/Net/ServerSocket.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace agatedale {

namespace wire_gateway = ::agatedale::gateway;

/// Why a request forwarded to a peer got no reply.
enum class peer_failure {
  NotSent, ///< The peer did not receive the whole request.
  NoReply  ///< The peer may have received the request.
};

/// The body of a message that came in parts.
struct received_body {
  shared_body Bytes; ///< Empty if the message holds its body.
  /// Of the message; null if it did not come in parts.
  std::shared_ptr<byte_reservation> Held = nullptr;
};

/// What is known of a request from a peer besides its message.
struct forward_arrival {
  duration UnderWay{}; ///< From the making of the message until now.
  /// Looks whether the peer has cancelled the request. Returns false if so.
  std::function<bool()> IsWanted;
  received_body Body;
};

/// Serves calls from peers and calls peers over TCP connections of the event
/// loop. Each gateway keeps one connection to every peer that it calls; all
/// calls share it. The connection to a VM that is no longer listed, or that has
/// another address, stays until the requests that were sent over it are done.
///
///   auto Transport = peer_transport::start(Loop, "10.0.0.1", 7720, Handlers);
///   valueOf(Transport)->forward(Peer, Message, Timeout, Done);
class peer_transport {
public:
  /// Sends a reply. Its body may be beside it; see body_parts.h.
  using forward_reply =
      std::function<void(wire_gateway::Forwarded Reply, shared_body Body)>;

  struct handlers {
    std::function<wire_gateway::Heartbeat(const wire_gateway::Heartbeat &)>
        OnHeartbeat;
    /// Returns a ticket for cancelling the request.
    std::function<forward_ticket(const wire_gateway::Forward &,
                                 const forward_arrival &, forward_reply)>
        OnForward;
    std::function<void(forward_ticket)> OnCancel;
    /// Answers at once or within the time that the caller waits.
    std::function<void(const wire_gateway::QuotaRequest &,
                       std::function<void(const wire_gateway::QuotaReply &)>)>
        OnQuotaRequest;
  };

  using heartbeat_done =
      std::function<void(const wire_gateway::Heartbeat *Reply)>;
  /// The reply may be moved from.
  using forwarded_done = std::function<void(wire_gateway::Forwarded *Reply,
                                            peer_failure, received_body Body)>;
  using quota_done = std::function<void(const wire_gateway::QuotaReply *Reply)>;
  /// Cancels a call; its completion handler still runs.
  using cancel_call = std::function<void()>;

  static result<std::unique_ptr<peer_transport>> start(event_loop &Loop,
                                                       const std::string &Ip,
                                                       std::uint16_t Port,
                                                       handlers Handlers);
  ~peer_transport();

  /// Limits the memory for messages that arrive in parts.
  void setBudget(std::shared_ptr<byte_budget> NewBudget) {
    Budget = std::move(NewBudget);
  }

  /// Sets the VM from which distances to peers are counted.
  void setSelf(const entry_vm &Vm) { Self = Vm; }

  /// Returns the bytes of the calls to peers and of their replies.
  const peer_traffic &traffic() const { return Traffic; }

  /// Sends a heartbeat; the reply is null if none arrives within \p Timeout.
  void heartbeat(const entry_vm &Peer, const wire_gateway::Heartbeat &Message,
                 duration Timeout, heartbeat_done Done);

  /// Forwards a request to \p Peer. It is sent only over an established
  /// connection, so that NotSent is certain for requests that must not run
  /// twice. The body may be beside the message; see body_parts.h.
  cancel_call forward(const entry_vm &Peer,
                      const wire_gateway::Forward &Message, duration Timeout,
                      forwarded_done Done, shared_body Body = {});

  /// Asks \p Peer about quotas; the reply is null if none arrives within
  /// \p Timeout, or if the peer is of a build without quotas.
  void requestQuota(const entry_vm &Peer,
                    const wire_gateway::QuotaRequest &Message, duration Timeout,
                    quota_done Done);

  /// Logs and counts a message of a peer that is not used.
  void refuseMessage(std::string_view Why);

  /// Returns how many frames and messages of peers were malformed.
  std::uint64_t refusedMessages() const { return RefusedMessages; }

  /// Returns true if \p Peer is connected; otherwise starts to connect.
  bool isConnected(const entry_vm &Peer);

  /// Disconnects from all VMs but \p Listed. Requests that were sent are waited
  /// for as before; the others fail as NotSent at once.
  void retainOnly(std::span<const entry_vm> Listed);

  /// Returns the number of connections that are closed after their last call.
  std::size_t drainingConnections() const { return Draining.size(); }

  /// Refuses further requests from peers, ends all outgoing calls and sends no
  /// others.
  void stop();

  /// Handles what peers have sent so far.
  void readAll();

  /// Returns true if the peers' systems have received all replies, so that the
  /// end of the connections cannot take them back.
  bool hasDeliveredAllReplies() const;

private:
  struct peer;
  using peer_ptr = std::shared_ptr<peer>;

  /// A call to a peer. Finishes exactly once, asynchronously.
  struct outgoing_call {
    std::uint64_t Number = 0;
    std::weak_ptr<peer> Peer;
    peer_distance Distance = peer_distance::SameZone;
    peer_message_kind Kind = peer_message_kind::Heartbeat;
    std::string Message; ///< Until it is handed to the connection.
    shared_body Body;    ///< As Message, if it is kept beside it.
    bool Sent = false;
    event_loop::timer_id Timer = 0;
    event_loop::timer_id ConnectTimer = 0;
    std::function<void(const received_message *Reply, peer_failure)> Done;
  };
  using outgoing_call_ptr = std::shared_ptr<outgoing_call>;

  /// A VM at one address, with the calls to it.
  struct peer {
    std::string Vm;
    std::string Address;
    std::shared_ptr<peer_connection> Connection; ///< Null if not connecting.
    time_point ConnectingSince{};
    time_point RetryAt{};
    duration RetryDelay{};
    time_point PingSentAt{};
    /// Of the messages that it understands; nothing until its first pong.
    std::optional<std::uint32_t> HighestKind;
    std::map<std::uint64_t, outgoing_call_ptr> Calls;
    bool IsDraining = false;
  };

  struct incoming_peer {
    std::string Ip;
    std::shared_ptr<peer_connection> Connection;
    std::map<std::uint64_t, forward_ticket> Tickets; ///< By call number.
    transit_clock Transit;
  };
  using incoming_peer_ptr = std::shared_ptr<incoming_peer>;

  peer_transport(event_loop &Loop, std::uint16_t Port, handlers Handlers)
      : Loop(Loop), Handlers(std::move(Handlers)), Port(Port) {}

  std::string addressOf(const entry_vm &Vm) const;
  peer_ptr peerFor(const entry_vm &Vm);
  peer_ptr takeDraining(const std::string &Vm, const std::string &Address);
  void drain(const peer_ptr &Peer, std::string_view Why);
  void closeIfDrained(const peer_ptr &Peer);
  std::vector<peer_ptr> allPeers() const;
  void connect(const peer_ptr &Peer);
  void onConnected(peer &Peer);
  void onEnded(peer &Peer, const peer_connection *Connection);
  static std::ptrdiff_t sentRequests(const peer &Peer);
  static void logLostRequests(const peer &Peer, std::string_view Why);
  void failCalls(const peer &Peer, std::string_view Why);
  void onReply(const peer &Peer, std::uint64_t Number,
               const received_message &Message);
  outgoing_call_ptr startCall(const entry_vm &Vm, peer_message_kind Kind,
                              std::string Message, duration Timeout,
                              shared_body Body = {});
  void sendCall(peer &Peer, const outgoing_call_ptr &Call);
  static bool maySend(const peer &Peer, peer_message_kind Kind);
  void onPong(peer &Peer, std::string_view Message);
  void endCall(const outgoing_call_ptr &Call);
  void finish(const outgoing_call_ptr &Call, const received_message *Reply,
              peer_failure Failure);
  void checkConnections();
  void checkConnection(const peer_ptr &Peer, time_point Now);
  void acceptAll();
  void accept(const Poco::Net::StreamSocket &Socket);
  void onMessage(const incoming_peer_ptr &From, peer_message_kind Kind,
                 std::uint64_t Call, const received_message &Message);
  void onForward(const incoming_peer_ptr &From, std::uint64_t Call,
                 const received_message &Message);
  void onCancel(const incoming_peer_ptr &From, std::uint64_t Call);
  void onQuotaRequest(const incoming_peer_ptr &From, std::uint64_t Call,
                      std::string_view Message);
  void onPing(const incoming_peer_ptr &From, std::uint64_t Call,
              std::string_view Message);
  void onIncomingEnded(const incoming_peer_ptr &From);

  event_loop &Loop;
  handlers Handlers;
  std::uint16_t Port;
  std::shared_ptr<byte_budget> Budget;
  Poco::Net::ServerSocket Socket;
  std::map<std::string, peer_ptr> Peers; ///< By VM, for new calls.
  std::set<peer_ptr> Draining;           ///< With sent calls only.
  std::set<incoming_peer_ptr> Accepted;
  entry_vm Self;
  peer_traffic Traffic;
  std::uint64_t LastCall = 0;
  std::uint64_t RefusedMessages = 0;
  event_loop::timer_id CheckTimer = 0;
  bool Stopping = false;
  /// Expires with this object, for handlers that may run later.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace agatedale
