/// \file
/// gRPC calls to other entry VMs.
#include "peer_link.h"
#include "node_clock.h"
#include "wire.h"

#include "agatedale.grpc.pb.h"

#include <fmt/format.h>
#include <grpcpp/grpcpp.h>

#include <chrono>
#include <set>
#include <thread>
#include <vector>

namespace agatedale {

namespace {

constexpr int MinReconnectMs = 50;
constexpr int MaxReconnectMs = 500;
/// How much longer than a request's deadline its answer is waited for.
constexpr duration AnswerSlack = std::chrono::milliseconds(100);

constexpr duration OneWayTimeout = std::chrono::milliseconds(500);

std::chrono::system_clock::time_point deadlineIn(duration Length) {
  return std::chrono::system_clock::now() +
         std::chrono::duration_cast<std::chrono::system_clock::duration>(
             Length);
}

std::shared_ptr<grpc::Channel> openChannel(const std::string &Address) {
  grpc::ChannelArguments Arguments;
  Arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, MinReconnectMs);
  Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, MinReconnectMs);
  Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectMs);
  Arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  return grpc::CreateCustomChannel(Address, grpc::InsecureChannelCredentials(),
                                   Arguments);
}

} // namespace

/// The connection to one peer and the requests that wait for it.
class peer_channel {
public:
  explicit peer_channel(const std::string &Address)
      : Channel(openChannel(Address)), Stub(wire::Peer::NewStub(Channel)) {}

  wire::Peer::Stub &stub() { return *Stub; }

  bool isReady() { return Channel->GetState(true) == GRPC_CHANNEL_READY; }

  void add(grpc::ClientContext *Context) {
    const std::lock_guard Guard(Lock);
    Contexts.insert(Context);
  }

  void remove(grpc::ClientContext *Context) {
    const std::lock_guard Guard(Lock);
    Contexts.erase(Context);
  }

  void breakOff() {
    const std::lock_guard Guard(Lock);
    for (grpc::ClientContext *Context : Contexts)
      Context->TryCancel();
  }

private:
  std::shared_ptr<grpc::Channel> Channel;
  std::unique_ptr<wire::Peer::Stub> Stub;
  std::mutex Lock;
  std::set<grpc::ClientContext *> Contexts;
};

namespace {

using forward_stream =
    grpc::ClientReaderWriter<wire::ForwardPart, wire::AnswerPart>;

/// Sends the head and the body of a streamed request. False when the body broke
/// off; when the peer stops taking it, its answer may still be there.
bool sendStreamed(forward_stream &Stream, const node_request &Request,
                  const wire::ForwardPart &Head) {
  if (!Stream.Write(Head))
    return true;
  std::vector<char> Buffer(StreamChunkBytes);
  std::int64_t Left = Request.ContentLength;
  while (Left > 0) {
    const std::ptrdiff_t Read = Request.Reader(Buffer);
    if (Read <= 0)
      return false;
    wire::ForwardPart Part;
    Part.set_body(Buffer.data(), static_cast<std::size_t>(Read));
    if (!Stream.Write(Part))
      return true;
    Left -= Read;
  }
  wire::ForwardPart End;
  End.set_end(true);
  Stream.WriteLast(End, grpc::WriteOptions());
  return true;
}

/// Reads the answer; nothing when the peer broke off before its head came.
template <typename Stream>
std::optional<node_answer> receiveAnswer(Stream &From,
                                         const answer_writer &Writer) {
  wire::AnswerPart Part;
  if (!From.Read(&Part) || !Part.has_head())
    return std::nullopt;
  node_answer Answer = fromWire(Part.head());
  if (!Answer.Streamed)
    return Answer;
  Answer.Broken = !Writer.Begin(Answer);
  bool Ended = false;
  while (!Answer.Broken && !Ended && From.Read(&Part)) {
    Ended = Part.end();
    if (!Ended)
      Answer.Broken = !Writer.Write(Part.body());
  }
  Answer.Broken = Answer.Broken || !Ended;
  return Answer;
}

/// Reads the answer and ends the call.
template <typename Stream>
std::optional<node_answer> finishCall(Stream &From,
                                      grpc::ClientContext &Context,
                                      const answer_writer &Writer) {
  std::optional<node_answer> Answer = receiveAnswer(From, Writer);
  if (!Answer || Answer->Broken)
    Context.TryCancel();
  From.Finish();
  return Answer;
}

/// Keeps a call on its channel's list while it runs, so that it can be broken
/// off when the peer is lost.
class call_guard {
public:
  call_guard(peer_channel &Channel, grpc::ClientContext &Context)
      : Channel(Channel), Context(Context) {
    Channel.add(&Context);
  }
  ~call_guard() { Channel.remove(&Context); }
  call_guard(const call_guard &) = delete;
  call_guard &operator=(const call_guard &) = delete;

private:
  peer_channel &Channel;
  grpc::ClientContext &Context;
};

} // namespace

peer_links::peer_links(std::uint16_t PeerPort) : PeerPort(PeerPort) {}
peer_links::~peer_links() {
  while (Pending.load() > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

std::shared_ptr<peer_channel> peer_links::channelTo(const std::string &Ip) {
  const std::lock_guard Guard(Lock);
  std::shared_ptr<peer_channel> &Channel = Channels[Ip];
  if (!Channel)
    Channel =
        std::make_shared<peer_channel>(fmt::format("{}:{}", Ip, PeerPort));
  return Channel;
}

bool peer_links::isConnected(const std::string &Ip) {
  return channelTo(Ip)->isReady();
}

void peer_links::breakOff(const std::string &Ip) { channelTo(Ip)->breakOff(); }

void peer_links::exchange(
    const std::string &Ip, const wire::ExchangeRequest &Request,
    duration Timeout,
    std::function<void(const wire::ExchangeReply *)> OnReply) {
  struct call {
    grpc::ClientContext Context;
    wire::ExchangeRequest Request;
    wire::ExchangeReply Reply;
    std::shared_ptr<peer_channel> Channel;
  };
  auto Call = std::make_shared<call>();
  Call->Channel = channelTo(Ip);
  Call->Request = Request;
  Call->Context.set_deadline(deadlineIn(Timeout));
  ++Pending;
  Traffic.Messages += 1;
  Traffic.Bytes += Request.ByteSizeLong();
  Call->Channel->stub().async()->Exchange(
      &Call->Context, &Call->Request, &Call->Reply,
      [this, Call, OnReply = std::move(OnReply)](const grpc::Status &Status) {
        if (Status.ok())
          Traffic.Bytes += Call->Reply.ByteSizeLong();
        OnReply(Status.ok() ? &Call->Reply : nullptr);
        --Pending;
      });
}

node_answer peer_links::forward(const entry_vm &Peer,
                                const node_request &Request,
                                const std::string &Group,
                                const answer_writer &Writer) {
  const std::shared_ptr<peer_channel> Channel = channelTo(Peer.Ip);
  if (!Channel->isReady())
    return refusalOf(refusal_reason::OwnerLost, verdict::NotRun);
  const time_point Now = monotonicNow();
  grpc::ClientContext Context;
  Context.set_deadline(deadlineIn(Request.Deadline - Now + AnswerSlack));
  const call_guard Guard(*Channel, Context);
  std::optional<node_answer> Answer;
  bool BodyBroke = false;
  if (!Request.Reader) {
    wire::ForwardHead Head;
    toWire(Request, Group, Now, Head);
    const auto Stream = Channel->stub().ForwardWhole(&Context, Head);
    Answer = finishCall(*Stream, Context, Writer);
  } else {
    wire::ForwardPart Head;
    toWire(Request, Group, Now, *Head.mutable_head());
    const auto Stream = Channel->stub().Forward(&Context);
    BodyBroke = !sendStreamed(*Stream, Request, Head);
    if (BodyBroke)
      Context.TryCancel();
    Answer = finishCall(*Stream, Context, Writer);
  }
  if (Answer)
    return std::move(*Answer);
  return refusalOf(BodyBroke ? refusal_reason::BodyIncomplete
                             : refusal_reason::OwnerLost,
                   verdict::MayHaveRun);
}

std::optional<wire::FetchConfigurationReply>
peer_links::fetchConfiguration(const std::string &Ip, std::uint64_t AtLeast,
                               duration Timeout) {
  grpc::ClientContext Context;
  Context.set_deadline(deadlineIn(Timeout));
  wire::FetchConfigurationRequest Request;
  Request.set_at_least(AtLeast);
  wire::FetchConfigurationReply Reply;
  const grpc::Status Status =
      channelTo(Ip)->stub().FetchConfiguration(&Context, Request, &Reply);
  if (!Status.ok())
    return std::nullopt;
  return Reply;
}

bool peer_links::handOver(const std::string &Ip,
                          const wire::HandOverRequest &Request,
                          duration Timeout) {
  grpc::ClientContext Context;
  Context.set_deadline(deadlineIn(Timeout));
  wire::HandOverReply Reply;
  return channelTo(Ip)->stub().HandOver(&Context, Request, &Reply).ok() &&
         Reply.accepted();
}

void peer_links::slotFreed(const std::string &Ip,
                           const wire::SlotFreedRequest &Request) {
  grpc::ClientContext Context;
  Context.set_deadline(deadlineIn(OneWayTimeout));
  wire::SlotFreedReply Reply;
  channelTo(Ip)->stub().SlotFreed(&Context, Request, &Reply);
}

std::optional<wire::ClaimKeyReply>
peer_links::claimKey(const std::string &Ip,
                     const wire::ClaimKeyRequest &Request, duration Timeout) {
  const std::shared_ptr<peer_channel> Channel = channelTo(Ip);
  if (!Channel->isReady())
    return std::nullopt;
  grpc::ClientContext Context;
  Context.set_deadline(deadlineIn(Timeout));
  Channel->add(&Context);
  wire::ClaimKeyReply Reply;
  const bool Good = Channel->stub().ClaimKey(&Context, Request, &Reply).ok();
  Channel->remove(&Context);
  if (!Good)
    return std::nullopt;
  return Reply;
}

bool peer_links::settleKey(const std::string &Ip,
                           const wire::SettleKeyRequest &Request,
                           duration Timeout) {
  grpc::ClientContext Context;
  Context.set_deadline(deadlineIn(Timeout));
  wire::SettleKeyReply Reply;
  return channelTo(Ip)->stub().SettleKey(&Context, Request, &Reply).ok();
}

void peer_links::copyKeys(const std::string &Ip,
                          const wire::CopyKeysRequest &Request) {
  grpc::ClientContext Context;
  Context.set_deadline(deadlineIn(OneWayTimeout));
  wire::CopyKeysReply Reply;
  channelTo(Ip)->stub().CopyKeys(&Context, Request, &Reply);
}

} // namespace agatedale
