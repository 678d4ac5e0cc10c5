/// \file
/// Integration of gRPC's callback API with the event loop.
#include "peer_transport.h"

#include "gateway.grpc.pb.h"

#include <fmt/format.h>
#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>

#include <atomic>
#include <map>

namespace agatedale {

namespace {

// A connection with pending calls that does not answer pings is closed.
constexpr int PingIntervalMs = 1000;
constexpr int PingTimeoutMs = 1000;

// Short backoff, as a restarted peer may be back within a second.
constexpr int InitialReconnectBackoffMs = 100;
constexpr int MaxReconnectBackoffMs = 1000;

/// How long a request waits for a connection to its owner, and how often it
/// checks for one. Connecting takes two round trips.
constexpr duration PeerConnectTimeout = std::chrono::milliseconds(150);
constexpr duration ConnectPollInterval = std::chrono::milliseconds(5);

/// Bounds a message: a request's body plus its headers.
constexpr int MaxMessageBytes = 80 << 20;

std::chrono::system_clock::time_point deadlineIn(duration Length) {
  return std::chrono::system_clock::now() +
         std::chrono::duration_cast<std::chrono::system_clock::duration>(
             Length);
}

/// A call from a peer. It finishes exactly once, also if the peer cancels it.
class incoming_call : public grpc::ServerUnaryReactor {
public:
  incoming_call(event_loop &Loop, const peer_transport::handlers &Handlers)
      : State(std::make_shared<state>(Loop, Handlers)) {
    State->Reactor = this;
  }

  /// Posts the request to the event loop.
  void begin(const wire_gateway::Forward *Request,
             wire_gateway::Forwarded *Reply) {
    State->Loop.post([State = State, Request, Reply] {
      State->Ticket = State->Handlers.OnForward(
          *Request, [State, Reply](wire_gateway::Forwarded Answer) {
            State->finish(Reply, std::move(Answer));
          });
      if (State->CancelRequested)
        State->cancel();
    });
  }

  void OnCancel() override {
    State->Loop.post([State = State] {
      State->CancelRequested = true;
      State->cancel();
    });
  }

  void OnDone() override { delete this; }

private:
  /// Accessed on the event loop's thread only.
  struct state {
    state(event_loop &Loop, const peer_transport::handlers &Handlers)
        : Loop(Loop), Handlers(Handlers) {}

    void finish(wire_gateway::Forwarded *Reply,
                wire_gateway::Forwarded Answer) {
      if (Finished)
        return;
      Finished = true;
      *Reply = std::move(Answer);
      Reactor->Finish(grpc::Status::OK);
    }

    void cancel() {
      if (Finished || Ticket == 0)
        return;
      Finished = true;
      Handlers.OnCancel(Ticket);
      Reactor->Finish(grpc::Status::CANCELLED);
    }

    event_loop &Loop;
    const peer_transport::handlers &Handlers;
    incoming_call *Reactor = nullptr;
    forward_ticket Ticket = 0;
    bool CancelRequested = false;
    bool Finished = false;
  };

  std::shared_ptr<state> State;
};

/// A heartbeat from a peer.
class incoming_heartbeat : public grpc::ServerUnaryReactor {
public:
  void OnDone() override { delete this; }
};

class gateway_service final : public wire_gateway::Gateway::CallbackService {
public:
  gateway_service(event_loop &Loop, peer_transport::handlers Handlers)
      : Loop(Loop), Handlers(std::move(Handlers)) {}

  grpc::ServerUnaryReactor *Exchange(grpc::CallbackServerContext *,
                                     const wire_gateway::Heartbeat *Request,
                                     wire_gateway::Heartbeat *Reply) override {
    auto *Reactor = new incoming_heartbeat;
    Loop.post([this, Reactor, Request, Reply] {
      *Reply = Handlers.OnHeartbeat(*Request);
      Reactor->Finish(grpc::Status::OK);
    });
    return Reactor;
  }

  grpc::ServerUnaryReactor *Serve(grpc::CallbackServerContext *,
                                  const wire_gateway::Forward *Request,
                                  wire_gateway::Forwarded *Reply) override {
    auto *Call = new incoming_call(Loop, Handlers);
    Call->begin(Request, Reply);
    return Call;
  }

private:
  event_loop &Loop;
  peer_transport::handlers Handlers;
};

/// A call to a peer. Owns what gRPC accesses until the call ends.
template <typename Request, typename Reply> struct outgoing_call {
  grpc::ClientContext Context;
  Request Message;
  Reply Answer;
};

} // namespace

class peer_transport::impl {
public:
  impl(event_loop &Loop, handlers Handlers)
      : Loop(Loop), Service(Loop, std::move(Handlers)) {}

  struct peer {
    std::string Address;
    std::shared_ptr<grpc::Channel> Channel;
    std::shared_ptr<wire_gateway::Gateway::Stub> Stub;
  };

  peer &peerFor(const entry_vm &Vm) {
    peer &Peer = Peers[Vm.Id.Name];
    const std::string Address = fmt::format("{}:{}", Vm.Ip, Port);
    if (Peer.Address == Address)
      return Peer;
    grpc::ChannelArguments Arguments;
    Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, PingIntervalMs);
    Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, PingTimeoutMs);
    Arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                     InitialReconnectBackoffMs);
    Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, MaxReconnectBackoffMs);
    Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectBackoffMs);
    Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    Arguments.SetMaxReceiveMessageSize(MaxMessageBytes);
    Peer.Address = Address;
    Peer.Channel = grpc::CreateCustomChannel(
        "ipv4:" + Address, grpc::InsecureChannelCredentials(), Arguments);
    Peer.Stub = wire_gateway::Gateway::NewStub(Peer.Channel);
    return Peer;
  }

  /// Registers an outgoing call until it completes.
  std::uint64_t registerCall(grpc::ClientContext &Context) {
    Running.emplace(++LastCall, &Context);
    return LastCall;
  }

  event_loop &Loop;
  gateway_service Service;
  std::map<std::uint64_t, grpc::ClientContext *> Running;
  std::uint64_t LastCall = 0;
  std::unique_ptr<grpc::Server> Server;
  std::uint16_t Port = 0;
  std::map<std::string, peer> Peers;
};

peer_transport::peer_transport(std::unique_ptr<impl> Impl)
    : Impl(std::move(Impl)) {}
peer_transport::~peer_transport() = default;

result<std::unique_ptr<peer_transport>>
peer_transport::start(event_loop &Loop, const std::string &Ip,
                      std::uint16_t Port, handlers Handlers) {
  auto Impl = std::make_unique<impl>(Loop, std::move(Handlers));
  Impl->Port = Port;
  grpc::ServerBuilder Builder;
  const std::string Address = fmt::format("{}:{}", Ip, Port);
  Builder.AddListeningPort(Address, grpc::InsecureServerCredentials());
  Builder.SetMaxReceiveMessageSize(MaxMessageBytes);
  Builder.AddChannelArgument(
      GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
      PingIntervalMs / 2);
  Builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Builder.RegisterService(&Impl->Service);
  Impl->Server = Builder.BuildAndStart();
  if (!Impl->Server)
    return error{error_kind::Unavailable,
                 fmt::format("cannot listen for peers at {}", Address)};
  return std::unique_ptr<peer_transport>(new peer_transport(std::move(Impl)));
}

void peer_transport::heartbeat(const entry_vm &Vm,
                               const wire_gateway::Heartbeat &Message,
                               duration Timeout, heartbeat_done Done) {
  using call = outgoing_call<wire_gateway::Heartbeat, wire_gateway::Heartbeat>;
  const auto Call = std::make_shared<call>();
  Call->Message = Message;
  Call->Context.set_deadline(deadlineIn(Timeout));
  const std::uint64_t Number = Impl->registerCall(Call->Context);
  Impl->peerFor(Vm).Stub->async()->Exchange(
      &Call->Context, &Call->Message, &Call->Answer,
      [this, Call, Number, Done = std::move(Done)](const grpc::Status &Status) {
        Impl->Loop.post([this, Call, Number, Done, Good = Status.ok()] {
          Impl->Running.erase(Number);
          Done(Good ? &Call->Answer : nullptr);
        });
      });
}

bool peer_transport::isConnected(const entry_vm &Peer) {
  return Impl->peerFor(Peer).Channel->GetState(true) == GRPC_CHANNEL_READY;
}

/// A request forwarded to a peer: waiting for the connection, or sent.
struct peer_transport::outgoing_forward {
  using call = outgoing_call<wire_gateway::Forward, wire_gateway::Forwarded>;

  entry_vm Peer;
  call Call;
  forwarded_done Done;
  time_point ConnectDeadline;
  bool Sent = false;
  bool Cancelled = false;
};

peer_transport::cancel_call
peer_transport::forward(const entry_vm &Vm,
                        const wire_gateway::Forward &Message, duration Timeout,
                        forwarded_done Done) {
  const auto Outgoing = std::make_shared<outgoing_forward>();
  Outgoing->Peer = Vm;
  Outgoing->Call.Message = Message;
  Outgoing->Call.Context.set_deadline(deadlineIn(Timeout));
  Outgoing->Done = std::move(Done);
  Outgoing->ConnectDeadline = bootNow() + PeerConnectTimeout;
  sendWhenConnected(Outgoing);
  return [Weak = std::weak_ptr<outgoing_forward>(Outgoing)] {
    const auto Running = Weak.lock();
    if (!Running)
      return;
    Running->Cancelled = true;
    if (Running->Sent)
      Running->Call.Context.TryCancel();
  };
}

void peer_transport::sendWhenConnected(
    const std::shared_ptr<outgoing_forward> &Outgoing) {
  const bool IsUp = isConnected(Outgoing->Peer);
  if (!IsUp && !Outgoing->Cancelled && bootNow() < Outgoing->ConnectDeadline) {
    Impl->Loop.after(ConnectPollInterval,
                     [this, Outgoing] { sendWhenConnected(Outgoing); });
    return;
  }
  if (!IsUp || Outgoing->Cancelled) {
    Impl->Loop.post(
        [Outgoing] { Outgoing->Done(nullptr, peer_failure::NotSent); });
    return;
  }
  Outgoing->Sent = true;
  const std::uint64_t Number = Impl->registerCall(Outgoing->Call.Context);
  Impl->peerFor(Outgoing->Peer)
      .Stub->async()
      ->Serve(&Outgoing->Call.Context, &Outgoing->Call.Message,
              &Outgoing->Call.Answer,
              [this, Outgoing, Number](const grpc::Status &Status) {
                Impl->Loop.post([this, Outgoing, Number, Good = Status.ok()] {
                  Impl->Running.erase(Number);
                  Outgoing->Done(Good ? &Outgoing->Call.Answer : nullptr,
                                 peer_failure::NoReply);
                });
              });
}

void peer_transport::disconnectAllExcept(std::span<const entry_vm> Peers) {
  std::erase_if(Impl->Peers, [Peers](const auto &Entry) {
    return std::none_of(
        Peers.begin(), Peers.end(),
        [&Entry](const entry_vm &Vm) { return Vm.Id.Name == Entry.first; });
  });
}

void peer_transport::cancelAll() {
  for (const auto &[Number, Context] : Impl->Running)
    Context->TryCancel();
}

bool peer_transport::isIdle() const { return Impl->Running.empty(); }

void peer_transport::stop(duration Grace) {
  Impl->Server->Shutdown(deadlineIn(Grace));
}

} // namespace agatedale
