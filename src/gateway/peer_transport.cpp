/// \file
/// Matches replies to calls, and keeps the connections to peers.
#include "peer_transport.h"

#include "../core/log.h"

#include <Poco/Net/NetException.h>
#include <fmt/format.h>

#include <algorithm>

namespace agatedale {

namespace {

constexpr int Backlog = 512;

/// Maximum number of consecutive accepts before other sockets are served.
constexpr int MaxAcceptsInRow = 32;

// A connection with pending calls that does not answer a ping is closed.
constexpr duration PingInterval = std::chrono::milliseconds(1000);
constexpr duration PingTimeout = std::chrono::milliseconds(1000);
constexpr duration CheckInterval = std::chrono::milliseconds(250);

// Short back-off, as a restarted peer may be back within a second.
constexpr duration InitialRetryDelay = std::chrono::milliseconds(100);
constexpr duration MaxRetryDelay = std::chrono::milliseconds(1000);
constexpr duration ConnectTimeout = std::chrono::milliseconds(1000);

/// How long a request waits for a connection to its owner.
constexpr duration ForwardConnectTimeout = std::chrono::milliseconds(150);

wire_gateway::Forwarded makeRefusal(refusal_reason Reason) {
  wire_gateway::Forwarded Reply;
  Reply.set_verdict(static_cast<std::uint32_t>(verdict::NotRun));
  Reply.set_reason(static_cast<std::uint32_t>(Reason));
  return Reply;
}

} // namespace

result<std::unique_ptr<peer_transport>>
peer_transport::start(event_loop &Loop, const std::string &Ip,
                      std::uint16_t Port, handlers Handlers) {
  std::unique_ptr<peer_transport> Transport(
      new peer_transport(Loop, Port, std::move(Handlers)));
  try {
    Transport->Socket.bind(Poco::Net::SocketAddress(Ip, Port), true);
    Transport->Socket.listen(Backlog);
    Transport->Socket.setBlocking(false);
  } catch (const Poco::Exception &Failure) {
    return error{error_kind::Unavailable,
                 fmt::format("cannot listen for peers on {}:{}: {}", Ip, Port,
                             Failure.displayText())};
  }
  Loop.watch(Transport->Socket, Poco::Net::PollSet::POLL_READ,
             [Raw = Transport.get()](int) { Raw->acceptAll(); });
  Transport->CheckTimer = Loop.after(
      CheckInterval, [Raw = Transport.get()] { Raw->checkConnections(); });
  return Transport;
}

peer_transport::~peer_transport() {
  Loop.cancel(CheckTimer);
  Loop.unwatch(Socket);
  for (const auto &[Name, Peer] : Peers) {
    if (Peer.Connection)
      Peer.Connection->close();
    for (const auto &[Number, Call] : Peer.Calls) {
      Loop.cancel(Call->Timer);
      Loop.cancel(Call->ConnectTimer);
    }
  }
  for (const incoming_peer_ptr &From : Accepted)
    From->Connection->close();
}

peer_transport::peer &peer_transport::peerFor(const entry_vm &Vm) {
  peer &Peer = Peers[Vm.Id.Name];
  std::string Address = fmt::format("{}:{}", Vm.Ip, Port);
  if (Peer.Address == Address)
    return Peer;
  if (Peer.Connection) {
    Peer.Connection->close();
    failCalls(Vm.Id.Name, Peer, "new address");
  }
  Peer = peer();
  Peer.Address = std::move(Address);
  return Peer;
}

void peer_transport::connect(const std::string &Name, peer &Peer) {
  const time_point Now = bootNow();
  if (Peer.Connection || Now < Peer.RetryAt)
    return;
  Peer.ConnectingSince = Now;
  Peer.RetryDelay =
      std::clamp(2 * Peer.RetryDelay, InitialRetryDelay, MaxRetryDelay);
  Peer.RetryAt = Now + Peer.RetryDelay;
  const std::weak_ptr<bool> Weak = Alive;
  // The handlers run only while the connection exists.
  const auto Connection = std::make_shared<std::weak_ptr<peer_connection>>();
  peer_connection::handlers ConnectionHandlers;
  ConnectionHandlers.Connected = [this, Weak, Name] {
    if (!Weak.expired())
      onConnected(Name);
  };
  ConnectionHandlers.Received = [this, Weak, Name](peer_message_kind Kind,
                                                   std::uint64_t Call,
                                                   std::string_view Message) {
    const bool IsReply = Kind == peer_message_kind::HeartbeatReply ||
                         Kind == peer_message_kind::ForwardReply;
    if (!Weak.expired() && IsReply)
      onReply(Name, Call, Message);
  };
  ConnectionHandlers.Ended = [this, Weak, Name, Connection] {
    if (!Weak.expired())
      onEnded(Name, Connection->lock().get());
  };
  try {
    Peer.Connection =
        peer_connection::connect(Loop, Poco::Net::SocketAddress(Peer.Address),
                                 std::move(ConnectionHandlers));
    *Connection = Peer.Connection;
  } catch (const Poco::Exception &Failure) {
    logLine(log_level::Error, "peer-address-refused",
            {{"vm", Name}, {"why", Failure.displayText()}});
  }
}

void peer_transport::onConnected(const std::string &Name) {
  const auto Found = Peers.find(Name);
  if (Found == Peers.end())
    return;
  peer &Peer = Found->second;
  Peer.RetryDelay = duration::zero();
  Peer.PingSentAt = time_point{};
  const auto Calls = Peer.Calls;
  for (const auto &[Number, Call] : Calls) {
    if (!Call->Sent)
      sendCall(Peer, Call);
  }
}

void peer_transport::onEnded(const std::string &Name,
                             const peer_connection *Connection) {
  const auto Found = Peers.find(Name);
  if (Found == Peers.end() || Found->second.Connection.get() != Connection)
    return;
  failCalls(Name, Found->second, "ended by the peer");
  Found->second.Connection = nullptr;
}

/// Logs that a connection ends, and why, if requests were sent over it that are
/// not answered.
void peer_transport::logLostRequests(const std::string &Name, const peer &Peer,
                                     std::string_view Why) {
  const auto Lost = std::count_if(
      Peer.Calls.begin(), Peer.Calls.end(), [](const auto &Entry) {
        const outgoing_call &Call = *Entry.second;
        return Call.Sent && Call.Kind == peer_message_kind::Forward;
      });
  if (Lost > 0)
    logLine(log_level::Warning, "peer-requests-lost",
            {{"vm", Name}, {"requests", Lost}, {"why", Why}});
}

/// Fails the calls that were sent. Those that wait for a connection wait on.
void peer_transport::failCalls(const std::string &Name, peer &Peer,
                               std::string_view Why) {
  logLostRequests(Name, Peer, Why);
  const auto Calls = Peer.Calls;
  for (const auto &[Number, Call] : Calls) {
    if (Call->Sent)
      endCall(Call);
  }
}

bool peer_transport::isConnected(const entry_vm &Vm) {
  peer &Peer = peerFor(Vm);
  connect(Vm.Id.Name, Peer);
  return Peer.Connection && Peer.Connection->isConnected();
}

peer_transport::outgoing_call_ptr
peer_transport::startCall(const entry_vm &Vm, peer_message_kind Kind,
                          std::string Message, duration Timeout) {
  auto Call = std::make_shared<outgoing_call>();
  Call->Number = ++LastCall;
  Call->Peer = Vm.Id.Name;
  Call->Kind = Kind;
  Call->Message = std::move(Message);
  const bool IsUp = isConnected(Vm);
  peer &Peer = peerFor(Vm);
  Peer.Calls.emplace(Call->Number, Call);
  Call->Timer = Loop.after(Timeout, [this, Call] { endCall(Call); });
  if (IsUp)
    sendCall(Peer, Call);
  return Call;
}

void peer_transport::sendCall(peer &Peer, const outgoing_call_ptr &Call) {
  Call->Sent = true;
  Loop.cancel(Call->ConnectTimer);
  Peer.Connection->send(Call->Kind, Call->Number, std::move(Call->Message));
}

/// Ends a call that gets no reply and tells the peer.
void peer_transport::endCall(const outgoing_call_ptr &Call) {
  const auto Found = Peers.find(Call->Peer);
  const bool HasPeer = Found != Peers.end() && Found->second.Connection;
  bool WasDelivered = Call->Sent;
  if (Call->Sent && HasPeer) {
    peer_connection &Connection = *Found->second.Connection;
    WasDelivered = !Connection.dropUnsent(Call->Kind, Call->Number);
    const bool TellsPeer =
        Call->Kind == peer_message_kind::Forward || !WasDelivered;
    if (TellsPeer && Connection.isConnected())
      Connection.send(peer_message_kind::Cancel, Call->Number, "");
  }
  finish(Call, nullptr,
         WasDelivered ? peer_failure::NoReply : peer_failure::NotSent);
}

void peer_transport::finish(const outgoing_call_ptr &Call,
                            const std::string *Reply, peer_failure Failure) {
  const auto Found = Peers.find(Call->Peer);
  if (Found != Peers.end())
    Found->second.Calls.erase(Call->Number);
  Loop.cancel(Call->Timer);
  Loop.cancel(Call->ConnectTimer);
  const auto Done = std::exchange(Call->Done, nullptr);
  if (!Done)
    return;
  if (Reply) {
    Done(Reply, Failure);
    return;
  }
  // Posted because the caller may still be in a call of this object.
  Loop.post([Done, Failure] { Done(nullptr, Failure); });
}

void peer_transport::onReply(const std::string &Name, std::uint64_t Number,
                             std::string_view Message) {
  const auto Found = Peers.find(Name);
  if (Found == Peers.end())
    return;
  const auto Call = Found->second.Calls.find(Number);
  if (Call == Found->second.Calls.end())
    return;
  const outgoing_call_ptr Answered = Call->second;
  // The peer has refused the request before it had the whole of it.
  const bool WasCutShort =
      Found->second.Connection &&
      Found->second.Connection->dropUnsent(Answered->Kind, Number);
  if (WasCutShort)
    Found->second.Connection->send(peer_message_kind::Cancel, Number, "");
  const std::string Reply(Message);
  finish(Answered, &Reply, peer_failure::NoReply);
}

void peer_transport::heartbeat(const entry_vm &Vm,
                               const wire_gateway::Heartbeat &Message,
                               duration Timeout, heartbeat_done Done) {
  const outgoing_call_ptr Call = startCall(
      Vm, peer_message_kind::Heartbeat, Message.SerializeAsString(), Timeout);
  Call->Done = [Done = std::move(Done)](const std::string *Reply,
                                        peer_failure) {
    wire_gateway::Heartbeat Answer;
    const bool IsReadable = Reply && Answer.ParseFromString(*Reply);
    if (Reply && !IsReadable)
      logLine(log_level::Error, "peer-message-refused",
              {{"why", "unreadable heartbeat reply"}});
    Done(IsReadable ? &Answer : nullptr);
  };
}

peer_transport::cancel_call
peer_transport::forward(const entry_vm &Vm,
                        const wire_gateway::Forward &Message, duration Timeout,
                        forwarded_done Done) {
  const outgoing_call_ptr Call = startCall(
      Vm, peer_message_kind::Forward, Message.SerializeAsString(), Timeout);
  Call->Done = [Done = std::move(Done)](const std::string *Reply,
                                        peer_failure Failure) {
    wire_gateway::Forwarded Answer;
    const bool IsReadable = Reply && Answer.ParseFromString(*Reply);
    if (Reply && !IsReadable)
      logLine(log_level::Error, "peer-message-refused",
              {{"why", "unreadable reply to a request"}});
    Done(IsReadable ? &Answer : nullptr, Failure);
  };
  if (!Call->Sent)
    Call->ConnectTimer =
        Loop.after(ForwardConnectTimeout, [this, Call] { endCall(Call); });
  const std::weak_ptr<bool> Weak = Alive;
  return [this, Weak, Running = std::weak_ptr<outgoing_call>(Call)] {
    const auto Cancelled = Running.lock();
    if (!Weak.expired() && Cancelled && Cancelled->Done)
      endCall(Cancelled);
  };
}

void peer_transport::checkConnections() {
  CheckTimer = Loop.after(CheckInterval, [this] { checkConnections(); });
  const time_point Now = bootNow();
  for (auto &[Name, Peer] : Peers)
    checkConnection(Name, Peer, Now);
}

void peer_transport::checkConnection(const std::string &Name, peer &Peer,
                                     time_point Now) {
  if (!Peer.Connection) {
    if (!Peer.Calls.empty())
      connect(Name, Peer);
    return;
  }
  const auto Close = [&](std::string_view Why) {
    Peer.Connection->close();
    failCalls(Name, Peer, Why);
    Peer.Connection = nullptr;
  };
  if (!Peer.Connection->isConnected()) {
    if (Now - Peer.ConnectingSince >= ConnectTimeout)
      Close("not connected");
    return;
  }
  const time_point ReceivedAt = Peer.Connection->lastReceivedAt();
  const bool IsPinging = Peer.PingSentAt > ReceivedAt;
  if (IsPinging && Now - Peer.PingSentAt >= PingTimeout) {
    logLine(log_level::Warning, "peer-unresponsive", {{"vm", Name}});
    Close("unresponsive");
    return;
  }
  if (IsPinging || Peer.Calls.empty() || Now - ReceivedAt < PingInterval)
    return;
  Peer.PingSentAt = Now;
  Peer.Connection->send(peer_message_kind::Ping, 0, "");
}

void peer_transport::disconnectAllExcept(std::span<const entry_vm> Kept) {
  std::set<std::string_view> Names;
  for (const entry_vm &Vm : Kept)
    Names.insert(Vm.Id.Name);
  std::vector<outgoing_call_ptr> Lost;
  std::erase_if(Peers, [&](const auto &Entry) {
    if (Names.contains(Entry.first))
      return false;
    logLostRequests(Entry.first, Entry.second, "not listed");
    for (const auto &[Number, Call] : Entry.second.Calls)
      Lost.push_back(Call);
    if (Entry.second.Connection)
      Entry.second.Connection->close();
    return true;
  });
  for (const outgoing_call_ptr &Call : Lost)
    endCall(Call);
}

void peer_transport::stop() {
  Stopping = true;
  std::vector<outgoing_call_ptr> Running;
  for (const auto &[Name, Peer] : Peers) {
    logLostRequests(Name, Peer, "stopping");
    for (const auto &[Number, Call] : Peer.Calls)
      Running.push_back(Call);
  }
  for (const outgoing_call_ptr &Call : Running)
    endCall(Call);
}

bool peer_transport::hasSentAllReplies() const {
  return std::none_of(Accepted.begin(), Accepted.end(),
                      [](const incoming_peer_ptr &From) {
                        return From->Connection->hasUnsent();
                      });
}

void peer_transport::acceptAll() {
  for (int I = 0; I < MaxAcceptsInRow; ++I) {
    try {
      if (!Socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
        return;
      accept(Socket.acceptConnection());
    } catch (const Poco::Exception &Failure) {
      logLine(log_level::Warning, "accept-failed",
              {{"why", Failure.displayText()}});
      return;
    }
  }
}

void peer_transport::accept(const Poco::Net::StreamSocket &Accepting) {
  const auto From = std::make_shared<incoming_peer>();
  From->Ip = Accepting.peerAddress().host().toString();
  const std::weak_ptr<bool> Weak = Alive;
  const std::weak_ptr<incoming_peer> WeakFrom = From;
  peer_connection::handlers ConnectionHandlers;
  ConnectionHandlers.Received =
      [this, Weak, WeakFrom](peer_message_kind Kind, std::uint64_t Call,
                             std::string_view Message) {
        const auto Sender = WeakFrom.lock();
        if (!Weak.expired() && Sender)
          onMessage(Sender, Kind, Call, Message);
      };
  ConnectionHandlers.RefusedForMemory = [WeakFrom](std::uint64_t Call) {
    if (const auto Sender = WeakFrom.lock())
      Sender->Connection->send(
          peer_message_kind::ForwardReply, Call,
          makeRefusal(refusal_reason::MemoryFull).SerializeAsString());
  };
  ConnectionHandlers.Ended = [this, Weak, WeakFrom] {
    const auto Sender = WeakFrom.lock();
    if (!Weak.expired() && Sender)
      onIncomingEnded(Sender);
  };
  From->Connection = peer_connection::accept(Loop, Accepting, Bodies,
                                             std::move(ConnectionHandlers));
  Accepted.insert(From);
}

void peer_transport::onMessage(const incoming_peer_ptr &From,
                               peer_message_kind Kind, std::uint64_t Call,
                               std::string_view Message) {
  switch (Kind) {
  case peer_message_kind::Heartbeat: {
    wire_gateway::Heartbeat Request;
    if (!Request.ParseFromArray(Message.data(),
                                static_cast<int>(Message.size()))) {
      logLine(log_level::Error, "peer-message-refused",
              {{"why", "unreadable heartbeat"}});
      return;
    }
    From->Connection->send(peer_message_kind::HeartbeatReply, Call,
                           Handlers.OnHeartbeat(Request).SerializeAsString());
    return;
  }
  case peer_message_kind::Forward:
    onForward(From, Call, Message);
    return;
  case peer_message_kind::Cancel:
    onCancel(From, Call);
    return;
  case peer_message_kind::Ping:
    From->Connection->send(peer_message_kind::Pong, Call, "");
    return;
  case peer_message_kind::HeartbeatReply:
  case peer_message_kind::ForwardReply:
  case peer_message_kind::Pong:
    return;
  }
}

void peer_transport::onForward(const incoming_peer_ptr &From,
                               std::uint64_t Call, std::string_view Message) {
  const auto Refuse = [&](refusal_reason Reason) {
    From->Connection->send(peer_message_kind::ForwardReply, Call,
                           makeRefusal(Reason).SerializeAsString());
  };
  wire_gateway::Forward Request;
  if (!Request.ParseFromArray(Message.data(),
                              static_cast<int>(Message.size()))) {
    logLine(log_level::Error, "peer-message-refused",
            {{"why", "unreadable request"}});
    Refuse(refusal_reason::MalformedRequest);
    return;
  }
  if (Stopping || !Handlers.OnForward) {
    Refuse(refusal_reason::NotOwner);
    return;
  }
  const auto Answered = std::make_shared<bool>(false);
  const std::weak_ptr<incoming_peer> WeakFrom = From;
  const forward_ticket Ticket = Handlers.OnForward(
      Request,
      [WeakFrom, Call, Answered](const wire_gateway::Forwarded &Reply) {
        *Answered = true;
        const auto Sender = WeakFrom.lock();
        if (!Sender)
          return;
        Sender->Tickets.erase(Call);
        if (!Sender->Connection->isClosed())
          Sender->Connection->send(peer_message_kind::ForwardReply, Call,
                                   Reply.SerializeAsString());
      });
  if (!*Answered)
    From->Tickets[Call] = Ticket;
}

void peer_transport::onCancel(const incoming_peer_ptr &From,
                              std::uint64_t Call) {
  const auto Found = From->Tickets.find(Call);
  if (Found == From->Tickets.end())
    return;
  const forward_ticket Ticket = Found->second;
  From->Tickets.erase(Found);
  Handlers.OnCancel(Ticket);
}

void peer_transport::onIncomingEnded(const incoming_peer_ptr &From) {
  const auto Tickets = std::exchange(From->Tickets, {});
  Accepted.erase(From);
  if (!Tickets.empty())
    logLine(log_level::Warning, "peer-requests-cancelled",
            {{"ip", From->Ip},
             {"requests", Tickets.size()},
             {"why", "connection ended"}});
  for (const auto &[Call, Ticket] : Tickets)
    Handlers.OnCancel(Ticket);
}

} // namespace agatedale
