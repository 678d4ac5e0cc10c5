/// \file
/// Matches replies to calls, and keeps the connections to peers.
#include "peer_transport.h"

#include "../core/log.h"
#include "body_parts.h"
#include "wire_convert.h"

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

wire_gateway::Forwarded makeRefusal(refusal_reason Reason,
                                    verdict Verdict = verdict::NotRun) {
  wire_gateway::Forwarded Reply;
  Reply.set_verdict(static_cast<std::uint32_t>(Verdict));
  Reply.set_reason(static_cast<std::uint32_t>(Reason));
  return Reply;
}

template <typename Message> bool parse(Message &Out, std::string_view Bytes) {
  return Out.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size()));
}

/// Decodes a message that may have come in parts. A long body stays where it
/// was received.
template <typename Message>
bool parse(Message &Out, const received_message &In, received_body &Body) {
  Body.Held = In.Held;
  if (!In.Owner)
    return parse(Out, In.Bytes);
  std::string_view Part;
  if (!decodeBesideBody(In.Bytes, Message::kBodyFieldNumber, Out, Part))
    return false;
  Body.Bytes = shared_body(In.Owner, Part);
  return true;
}

std::uint64_t madeAtMicros() {
  return static_cast<std::uint64_t>(toMicros(bootNow().time_since_epoch()));
}

/// Returns how long a message that was just received was under way.
duration timeUnderWay(transit_clock &Transit, std::uint64_t MadeAtMicros) {
  if (MadeAtMicros == 0)
    return duration::zero(); // A peer of an earlier build does not tell.
  return Transit.delayOf(std::chrono::microseconds(MadeAtMicros), bootNow());
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
  for (const peer_ptr &Peer : allPeers()) {
    if (Peer->Connection)
      Peer->Connection->close();
    for (const auto &[Number, Call] : Peer->Calls) {
      Loop.cancel(Call->Timer);
      Loop.cancel(Call->ConnectTimer);
    }
  }
  for (const incoming_peer_ptr &From : Accepted)
    From->Connection->close();
}

std::string peer_transport::addressOf(const entry_vm &Vm) const {
  return fmt::format("{}:{}", Vm.Ip, Port);
}

peer_transport::peer_ptr peer_transport::peerFor(const entry_vm &Vm) {
  const std::string Address = addressOf(Vm);
  peer_ptr &Current = Peers[Vm.Id.Name];
  if (Current && Current->Address == Address)
    return Current;
  const peer_ptr Former =
      std::exchange(Current, takeDraining(Vm.Id.Name, Address));
  if (!Current) {
    Current = std::make_shared<peer>();
    Current->Vm = Vm.Id.Name;
    Current->Address = Address;
  }
  if (Former)
    drain(Former, "new address");
  return Current;
}

/// Returns the VM if its connection is still draining, so that a VM that is
/// listed again keeps it; otherwise null.
peer_transport::peer_ptr
peer_transport::takeDraining(const std::string &Vm,
                             const std::string &Address) {
  const auto Found =
      std::find_if(Draining.begin(), Draining.end(), [&](const peer_ptr &Peer) {
        return Peer->Vm == Vm && Peer->Address == Address;
      });
  if (Found == Draining.end())
    return nullptr;
  peer_ptr Peer = std::move(Draining.extract(Found).value());
  Peer->IsDraining = false;
  return Peer;
}

/// Closes the connection to a VM that gets no further calls once its sent calls
/// are done. Each of them ends by its timeout at the latest.
void peer_transport::drain(const peer_ptr &Peer, std::string_view Why) {
  Peer->IsDraining = true;
  Draining.insert(Peer);
  if (const std::ptrdiff_t Waiting = sentRequests(*Peer); Waiting > 0)
    logLine(log_level::Info, "peer-draining",
            {{"vm", Peer->Vm}, {"requests", Waiting}, {"why", Why}});
  const auto Calls = Peer->Calls;
  for (const auto &[Number, Call] : Calls) {
    if (!Call->Sent)
      endCall(Call);
  }
  closeIfDrained(Peer);
}

void peer_transport::closeIfDrained(const peer_ptr &Peer) {
  if (!Peer->IsDraining || !Peer->Calls.empty())
    return;
  Draining.erase(Peer);
  if (Peer->Connection)
    Peer->Connection->close();
  Peer->Connection = nullptr;
}

/// Returns the VMs for new calls and those that are draining.
std::vector<peer_transport::peer_ptr> peer_transport::allPeers() const {
  std::vector<peer_ptr> All(Draining.begin(), Draining.end());
  for (const auto &[Name, Peer] : Peers)
    All.push_back(Peer);
  return All;
}

void peer_transport::connect(const peer_ptr &Peer) {
  const time_point Now = bootNow();
  if (Peer->Connection || Now < Peer->RetryAt)
    return;
  Peer->ConnectingSince = Now;
  Peer->HighestKind.reset();
  Peer->RetryDelay =
      std::clamp(2 * Peer->RetryDelay, InitialRetryDelay, MaxRetryDelay);
  Peer->RetryAt = Now + Peer->RetryDelay;
  const std::weak_ptr<bool> Weak = Alive;
  const std::weak_ptr<peer> WeakPeer = Peer;
  // The handlers run only while the connection exists.
  const auto Connection = std::make_shared<std::weak_ptr<peer_connection>>();
  peer_connection::handlers ConnectionHandlers;
  ConnectionHandlers.Connected = [this, Weak, WeakPeer] {
    const peer_ptr To = WeakPeer.lock();
    if (!Weak.expired() && To)
      onConnected(*To);
  };
  ConnectionHandlers.Received =
      [this, Weak, WeakPeer](peer_message_kind Kind, std::uint64_t Call,
                             const received_message &Message) {
        const bool IsReply = Kind == peer_message_kind::HeartbeatReply ||
                             Kind == peer_message_kind::ForwardReply ||
                             Kind == peer_message_kind::QuotaReply;
        const peer_ptr From = WeakPeer.lock();
        if (!Weak.expired() && From && Kind == peer_message_kind::Pong)
          onPong(*From, Message.Bytes);
        if (!Weak.expired() && From && IsReply)
          onReply(*From, Call, Message);
      };
  // The peer has answered, so that the request has run.
  ConnectionHandlers.RefusedForMemory = [this, Weak,
                                         WeakPeer](std::uint64_t Call) {
    const peer_ptr From = WeakPeer.lock();
    const std::string Refusal =
        makeRefusal(refusal_reason::MemoryFull, verdict::MayHaveRun)
            .SerializeAsString();
    if (!Weak.expired() && From)
      onReply(*From, Call, {Refusal});
  };
  ConnectionHandlers.Refused = [this, Weak] {
    if (!Weak.expired())
      ++RefusedMessages;
  };
  ConnectionHandlers.Ended = [this, Weak, WeakPeer, Connection] {
    const peer_ptr From = WeakPeer.lock();
    if (!Weak.expired() && From)
      onEnded(*From, Connection->lock().get());
  };
  try {
    Peer->Connection =
        peer_connection::connect(Loop, Poco::Net::SocketAddress(Peer->Address),
                                 Budget, std::move(ConnectionHandlers));
    *Connection = Peer->Connection;
  } catch (const Poco::Exception &Failure) {
    logLine(log_level::Error, "peer-address-refused",
            {{"vm", Peer->Vm}, {"why", Failure.displayText()}});
  }
}

void peer_transport::onConnected(peer &Peer) {
  Peer.RetryDelay = duration::zero();
  Peer.PingSentAt = time_point{};
  wire_gateway::Ping Opening;
  Opening.set_made_at_us(madeAtMicros());
  Peer.Connection->send(peer_message_kind::Ping, 0,
                        Opening.SerializeAsString());
  const auto Calls = Peer.Calls;
  for (const auto &[Number, Call] : Calls) {
    if (!Call->Sent && maySend(Peer, Call->Kind))
      sendCall(Peer, Call);
  }
}

/// Returns true if the peer is known to understand messages of \p Kind. Those
/// up to the pong are understood by every build.
bool peer_transport::maySend(const peer &Peer, peer_message_kind Kind) {
  return Kind <= peer_message_kind::Pong ||
         Peer.HighestKind >= static_cast<std::uint32_t>(Kind);
}

/// Sends the calls that waited until it was known what the peer understands, or
/// ends them.
void peer_transport::onPong(peer &Peer, std::string_view Message) {
  wire_gateway::Pong Pong;
  if (!Pong.ParseFromArray(Message.data(), static_cast<int>(Message.size())))
    return;
  Peer.HighestKind = Pong.highest_kind();
  const auto Calls = Peer.Calls;
  for (const auto &[Number, Call] : Calls) {
    if (Call->Sent)
      continue;
    if (maySend(Peer, Call->Kind))
      sendCall(Peer, Call);
    else
      endCall(Call);
  }
}

void peer_transport::onEnded(peer &Peer, const peer_connection *Connection) {
  if (Peer.Connection.get() != Connection)
    return;
  failCalls(Peer, "ended by the peer");
  Peer.Connection = nullptr;
}

/// Returns the number of requests that were sent and are not answered.
std::ptrdiff_t peer_transport::sentRequests(const peer &Peer) {
  return std::count_if(
      Peer.Calls.begin(), Peer.Calls.end(), [](const auto &Entry) {
        const outgoing_call &Call = *Entry.second;
        return Call.Sent && Call.Kind == peer_message_kind::Forward;
      });
}

/// Logs that a connection ends, and why, if requests were sent over it that are
/// not answered.
void peer_transport::logLostRequests(const peer &Peer, std::string_view Why) {
  if (const std::ptrdiff_t Lost = sentRequests(Peer); Lost > 0)
    logLine(log_level::Warning, "peer-requests-lost",
            {{"vm", Peer.Vm}, {"requests", Lost}, {"why", Why}});
}

/// Fails the calls that were sent. Those that wait for a connection wait on.
void peer_transport::failCalls(const peer &Peer, std::string_view Why) {
  logLostRequests(Peer, Why);
  const auto Calls = Peer.Calls;
  for (const auto &[Number, Call] : Calls) {
    if (Call->Sent)
      endCall(Call);
  }
}

bool peer_transport::isConnected(const entry_vm &Vm) {
  const peer_ptr Peer = peerFor(Vm);
  connect(Peer);
  return Peer->Connection && Peer->Connection->isConnected();
}

peer_transport::outgoing_call_ptr
peer_transport::startCall(const entry_vm &Vm, peer_message_kind Kind,
                          std::string Message, duration Timeout,
                          shared_body Body) {
  auto Call = std::make_shared<outgoing_call>();
  Call->Number = ++LastCall;
  Call->Kind = Kind;
  Call->Distance = peer_traffic::distance(Self, Vm);
  Call->Message = std::move(Message);
  Call->Body = std::move(Body);
  if (Stopping) {
    const std::weak_ptr<bool> Weak = Alive;
    Loop.post([this, Weak, Call] {
      if (!Weak.expired())
        endCall(Call);
    });
    return Call;
  }
  const bool IsUp = isConnected(Vm);
  const peer_ptr Peer = peerFor(Vm);
  Call->Peer = Peer;
  Peer->Calls.emplace(Call->Number, Call);
  Call->Timer = Loop.after(Timeout, [this, Call] { endCall(Call); });
  const bool IsTooOld = IsUp && Peer->HighestKind && !maySend(*Peer, Kind);
  if (IsUp && maySend(*Peer, Kind))
    sendCall(*Peer, Call);
  else if (IsTooOld)
    Loop.post([this, Weak = std::weak_ptr<bool>(Alive), Call] {
      if (!Weak.expired() && Call->Done)
        endCall(Call);
    });
  return Call;
}

void peer_transport::sendCall(peer &Peer, const outgoing_call_ptr &Call) {
  Call->Sent = true;
  Loop.cancel(Call->ConnectTimer);
  Traffic.record(static_cast<std::size_t>(Call->Kind), Call->Distance,
                 Call->Message.size() + Call->Body.size());
  Peer.Connection->send(Call->Kind, Call->Number, std::move(Call->Message),
                        std::exchange(Call->Body, {}));
}

/// Ends a call that gets no reply and tells the peer.
void peer_transport::endCall(const outgoing_call_ptr &Call) {
  const peer_ptr Peer = Call->Peer.lock();
  bool WasDelivered = Call->Sent;
  if (Call->Sent && Peer && Peer->Connection) {
    peer_connection &Connection = *Peer->Connection;
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
                            const received_message *Reply,
                            peer_failure Failure) {
  if (const peer_ptr Peer = Call->Peer.lock()) {
    Peer->Calls.erase(Call->Number);
    closeIfDrained(Peer);
  }
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

void peer_transport::onReply(const peer &Peer, std::uint64_t Number,
                             const received_message &Message) {
  const auto Call = Peer.Calls.find(Number);
  if (Call == Peer.Calls.end())
    return;
  const outgoing_call_ptr Answered = Call->second;
  // The peer has refused the request before it had the whole of it.
  const bool WasCutShort =
      Peer.Connection && Peer.Connection->dropUnsent(Answered->Kind, Number);
  if (WasCutShort)
    Peer.Connection->send(peer_message_kind::Cancel, Number, "");
  // The kind of a reply follows the kind of its call.
  Traffic.record(static_cast<std::size_t>(Answered->Kind) + 1,
                 Answered->Distance, Message.Bytes.size());
  finish(Answered, &Message, peer_failure::NoReply);
}

void peer_transport::heartbeat(const entry_vm &Vm,
                               const wire_gateway::Heartbeat &Message,
                               duration Timeout, heartbeat_done Done) {
  const outgoing_call_ptr Call = startCall(
      Vm, peer_message_kind::Heartbeat, Message.SerializeAsString(), Timeout);
  Call->Done = [this, Done = std::move(Done)](const received_message *Reply,
                                              peer_failure) {
    wire_gateway::Heartbeat Answer;
    const bool IsReadable = Reply && parse(Answer, Reply->Bytes);
    if (Reply && !IsReadable)
      refuseMessage("unreadable heartbeat reply");
    Done(IsReadable ? &Answer : nullptr);
  };
}

peer_transport::cancel_call
peer_transport::forward(const entry_vm &Vm,
                        const wire_gateway::Forward &Message, duration Timeout,
                        forwarded_done Done, shared_body Body) {
  std::string Bytes =
      encodeBeforeBody(Message, wire_gateway::Forward::kBodyFieldNumber, Body);
  const outgoing_call_ptr Call =
      startCall(Vm, peer_message_kind::Forward, std::move(Bytes), Timeout,
                std::move(Body));
  Call->Done = [this, Done = std::move(Done)](const received_message *Reply,
                                              peer_failure Failure) {
    wire_gateway::Forwarded Answer;
    received_body AnswerBody;
    const bool IsReadable = Reply && parse(Answer, *Reply, AnswerBody);
    if (Reply && !IsReadable)
      refuseMessage("unreadable reply to a request");
    Done(IsReadable ? &Answer : nullptr, Failure, std::move(AnswerBody));
  };
  if (!Call->Sent && !Stopping)
    Call->ConnectTimer =
        Loop.after(ForwardConnectTimeout, [this, Call] { endCall(Call); });
  const std::weak_ptr<bool> Weak = Alive;
  return [this, Weak, Running = std::weak_ptr<outgoing_call>(Call)] {
    const auto Cancelled = Running.lock();
    if (!Weak.expired() && Cancelled && Cancelled->Done)
      endCall(Cancelled);
  };
}

void peer_transport::requestQuota(const entry_vm &Vm,
                                  const wire_gateway::QuotaRequest &Message,
                                  duration Timeout, quota_done Done) {
  const outgoing_call_ptr Call =
      startCall(Vm, peer_message_kind::QuotaRequest,
                Message.SerializeAsString(), Timeout);
  Call->Done = [this, Done = std::move(Done)](const received_message *Reply,
                                              peer_failure) {
    wire_gateway::QuotaReply Answer;
    const bool IsReadable = Reply && parse(Answer, Reply->Bytes);
    if (Reply && !IsReadable)
      refuseMessage("unreadable quota reply");
    Done(IsReadable ? &Answer : nullptr);
  };
}

void peer_transport::refuseMessage(std::string_view Why) {
  logLine(log_level::Error, "peer-message-refused", {{"why", Why}});
  ++RefusedMessages;
}

void peer_transport::checkConnections() {
  CheckTimer = Loop.after(CheckInterval, [this] { checkConnections(); });
  const time_point Now = bootNow();
  for (const peer_ptr &Peer : allPeers())
    checkConnection(Peer, Now);
}

void peer_transport::checkConnection(const peer_ptr &Peer, time_point Now) {
  if (!Peer->Connection) {
    if (!Peer->Calls.empty())
      connect(Peer);
    return;
  }
  const auto Close = [&](std::string_view Why) {
    Peer->Connection->close();
    failCalls(*Peer, Why);
    Peer->Connection = nullptr;
  };
  if (!Peer->Connection->isConnected()) {
    if (Now - Peer->ConnectingSince >= ConnectTimeout)
      Close("not connected");
    return;
  }
  const time_point ReceivedAt = Peer->Connection->lastReceivedAt();
  const bool IsPinging = Peer->PingSentAt > ReceivedAt;
  if (IsPinging && Now - Peer->PingSentAt >= PingTimeout) {
    logLine(log_level::Warning, "peer-unresponsive", {{"vm", Peer->Vm}});
    Close("unresponsive");
    return;
  }
  if (IsPinging || Peer->Calls.empty() || Now - ReceivedAt < PingInterval)
    return;
  Peer->PingSentAt = Now;
  Peer->Connection->send(peer_message_kind::Ping, 0, "");
}

void peer_transport::retainOnly(std::span<const entry_vm> Listed) {
  std::map<std::string_view, const entry_vm *> ByName;
  for (const entry_vm &Vm : Listed)
    ByName.emplace(Vm.Id.Name, &Vm);
  const auto Former = Peers;
  for (const auto &[Name, Peer] : Former) {
    const auto Found = ByName.find(Name);
    if (Found != ByName.end() && addressOf(*Found->second) == Peer->Address)
      continue;
    Peers.erase(Name);
    drain(Peer, Found == ByName.end() ? "not listed" : "new address");
  }
}

void peer_transport::stop() {
  Stopping = true;
  std::vector<outgoing_call_ptr> Running;
  for (const peer_ptr &Peer : allPeers()) {
    logLostRequests(*Peer, "stopping");
    for (const auto &[Number, Call] : Peer->Calls)
      Running.push_back(Call);
  }
  for (const outgoing_call_ptr &Call : Running)
    endCall(Call);
}

void peer_transport::readAll() {
  const auto Connections = Accepted;
  for (const incoming_peer_ptr &From : Connections)
    From->Connection->readNow();
}

bool peer_transport::hasDeliveredAllReplies() const {
  return std::none_of(Accepted.begin(), Accepted.end(),
                      [](const incoming_peer_ptr &From) {
                        return From->Connection->hasUndelivered();
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
                             const received_message &Message) {
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
  ConnectionHandlers.Refused = [this, Weak] {
    if (!Weak.expired())
      ++RefusedMessages;
  };
  ConnectionHandlers.Ended = [this, Weak, WeakFrom] {
    const auto Sender = WeakFrom.lock();
    if (!Weak.expired() && Sender)
      onIncomingEnded(Sender);
  };
  From->Connection = peer_connection::accept(Loop, Accepting, Budget,
                                             std::move(ConnectionHandlers));
  Accepted.insert(From);
}

void peer_transport::onMessage(const incoming_peer_ptr &From,
                               peer_message_kind Kind, std::uint64_t Call,
                               const received_message &Message) {
  switch (Kind) {
  case peer_message_kind::Heartbeat: {
    wire_gateway::Heartbeat Request;
    if (!parse(Request, Message.Bytes)) {
      refuseMessage("unreadable heartbeat");
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
    onPing(From, Call, Message.Bytes);
    return;
  case peer_message_kind::QuotaRequest:
    onQuotaRequest(From, Call, Message.Bytes);
    return;
  case peer_message_kind::HeartbeatReply:
  case peer_message_kind::ForwardReply:
  case peer_message_kind::Pong:
  case peer_message_kind::QuotaReply:
    return;
  }
}

void peer_transport::onForward(const incoming_peer_ptr &From,
                               std::uint64_t Call,
                               const received_message &Message) {
  const auto Refuse = [&](refusal_reason Reason) {
    From->Connection->send(peer_message_kind::ForwardReply, Call,
                           makeRefusal(Reason).SerializeAsString());
  };
  wire_gateway::Forward Request;
  forward_arrival Arrival;
  if (!parse(Request, Message, Arrival.Body)) {
    refuseMessage("unreadable request");
    Refuse(refusal_reason::MalformedRequest);
    return;
  }
  if (Stopping || !Handlers.OnForward) {
    Refuse(refusal_reason::NotOwner);
    return;
  }
  const auto Answered = std::make_shared<bool>(false);
  const std::weak_ptr<incoming_peer> WeakFrom = From;
  // The first messages of a connection may all have waited here.
  Arrival.UnderWay = std::max(timeUnderWay(From->Transit, Request.made_at_us()),
                              bootNow() - From->Connection->arrivedAt());
  Arrival.IsWanted = [WeakFrom, Call] {
    const auto Sender = WeakFrom.lock();
    return Sender && !Sender->Connection->hasCancelled(Call);
  };
  const forward_ticket Ticket = Handlers.OnForward(
      Request, Arrival,
      [WeakFrom, Call, Answered, ReadsBytes = Request.reads_bytes()](
          wire_gateway::Forwarded Reply, shared_body Body) {
        *Answered = true;
        const auto Sender = WeakFrom.lock();
        if (!Sender)
          return;
        Sender->Tickets.erase(Call);
        // The request has run: its response is delivered rather than lost.
        const int Changed = ReadsBytes ? 0 : replaceInvalidUtf8(Reply);
        if (Changed > 0)
          logLine(log_level::Warning, "peer-headers-changed",
                  {{"ip", Sender->Ip},
                   {"headers", Changed},
                   {"why", "not UTF-8, and the peer is of an earlier build"}});
        if (Sender->Connection->isClosed())
          return;
        std::string Bytes = encodeBeforeBody(
            Reply, wire_gateway::Forwarded::kBodyFieldNumber, Body);
        Sender->Connection->send(peer_message_kind::ForwardReply, Call,
                                 std::move(Bytes), std::move(Body));
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

void peer_transport::onPing(const incoming_peer_ptr &From, std::uint64_t Call,
                            std::string_view Message) {
  wire_gateway::Ping Ping;
  if (Ping.ParseFromArray(Message.data(), static_cast<int>(Message.size())))
    timeUnderWay(From->Transit, Ping.made_at_us());
  else
    refuseMessage("unreadable ping");
  wire_gateway::Pong Pong;
  Pong.set_highest_kind(static_cast<std::uint32_t>(HighestPeerMessageKind));
  From->Connection->send(peer_message_kind::Pong, Call,
                         Pong.SerializeAsString());
}

void peer_transport::onQuotaRequest(const incoming_peer_ptr &From,
                                    std::uint64_t Call,
                                    std::string_view Message) {
  wire_gateway::QuotaRequest Request;
  if (!Request.ParseFromArray(Message.data(),
                              static_cast<int>(Message.size()))) {
    refuseMessage("unreadable quota request");
    return;
  }
  // Without an answer the peer uses its local allowance.
  if (Stopping || !Handlers.OnQuotaRequest)
    return;
  const std::weak_ptr<incoming_peer> WeakFrom = From;
  Handlers.OnQuotaRequest(
      Request, [WeakFrom, Call](const wire_gateway::QuotaReply &Reply) {
        const auto Sender = WeakFrom.lock();
        if (Sender && !Sender->Connection->isClosed())
          Sender->Connection->send(peer_message_kind::QuotaReply, Call,
                                   Reply.SerializeAsString());
      });
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
