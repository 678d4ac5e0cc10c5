/// \file
/// The gRPC server side.
#include "peer_service.h"
#include "node_clock.h"
#include "wire.h"

#include "agatedale.grpc.pb.h"

#include <fmt/format.h>
#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>

#include <algorithm>

namespace agatedale {

namespace {

/// Threads that wait for calls on each completion queue.
constexpr int MinPollers = 2;
constexpr int MaxPollers = 16;

using forward_stream =
    grpc::ServerReaderWriter<wire::AnswerPart, wire::ForwardPart>;

/// Reads the streamed body of a forwarded request.
class stream_body {
public:
  explicit stream_body(forward_stream &Stream) : Stream(Stream) {}

  std::ptrdiff_t read(std::span<char> Buffer) {
    while (Used == Part.body().size()) {
      if (Ended)
        return 0;
      if (!Stream.Read(&Part))
        return -1;
      Used = 0;
      Ended = Part.end();
    }
    const std::size_t Count =
        std::min(Buffer.size(), Part.body().size() - Used);
    std::copy_n(Part.body().data() + Used, Count, Buffer.data());
    Used += Count;
    return static_cast<std::ptrdiff_t>(Count);
  }

private:
  forward_stream &Stream;
  wire::ForwardPart Part;
  std::size_t Used = 0;
  bool Ended = false;
};

} // namespace

/// Answers each call from the parts of the node.
class peer_service::implementation final : public wire::Peer::Service {
public:
  explicit implementation(const peer_service_parts &Parts) : Parts(Parts) {}

  grpc::Status Exchange(grpc::ServerContext *,
                        const wire::ExchangeRequest *Request,
                        wire::ExchangeReply *Reply) override {
    *Reply = Parts.Control.answer(*Request, monotonicNow());
    return grpc::Status::OK;
  }

  grpc::Status
  FetchConfiguration(grpc::ServerContext *,
                     const wire::FetchConfigurationRequest *,
                     wire::FetchConfigurationReply *Reply) override {
    // A node that may not serve itself must not pass its version on.
    if (!Parts.Path.view()->MayServe)
      return {grpc::StatusCode::FAILED_PRECONDITION, "not ready"};
    const published_configuration Published = Parts.Control.published();
    Reply->set_version(Published.Version);
    Reply->set_change_id(Published.ChangeId);
    Reply->set_operator_name(Published.Operator);
    Reply->set_document(Published.Document);
    return grpc::Status::OK;
  }

  grpc::Status Forward(grpc::ServerContext *, forward_stream *Stream) override {
    wire::ForwardPart Part;
    if (!Stream->Read(&Part) || !Part.has_head())
      return {grpc::StatusCode::INVALID_ARGUMENT, "no head"};
    node_request Request = fromWire(Part.head(), monotonicNow());
    stream_body Body(*Stream);
    if (Part.head().streamed())
      Request.Reader = [&Body](std::span<char> Buffer) {
        return Body.read(Buffer);
      };
    return serve(std::move(Request), Part.head().group(), *Stream);
  }

  grpc::Status
  ForwardWhole(grpc::ServerContext *, const wire::ForwardHead *Head,
               grpc::ServerWriter<wire::AnswerPart> *Stream) override {
    return serve(fromWire(*Head, monotonicNow()), Head->group(), *Stream);
  }

  grpc::Status HandOver(grpc::ServerContext *,
                        const wire::HandOverRequest *Request,
                        wire::HandOverReply *Reply) override {
    const auto View = Parts.Path.view();
    Reply->set_accepted(View->MayServe && !View->Leaving);
    if (!Reply->accepted())
      return grpc::Status::OK;
    Parts.Owned.receive(*Request, monotonicNow());
    Parts.OnLeaseNews();
    return grpc::Status::OK;
  }

  grpc::Status SlotFreed(grpc::ServerContext *,
                         const wire::SlotFreedRequest *Request,
                         wire::SlotFreedReply *) override {
    if (const auto Shard = Parts.Owned.findGroup(Request->subject()))
      Shard->onInheritedAttemptEnd(Request->server(), Request->attempt());
    return grpc::Status::OK;
  }

  grpc::Status ClaimKey(grpc::ServerContext *,
                        const wire::ClaimKeyRequest *Request,
                        wire::ClaimKeyReply *Reply) override {
    key_claim Claim;
    Claim.Account = Request->account();
    Claim.Key = Request->key();
    Claim.Fingerprint = Request->fingerprint();
    Claim.Claim = Request->claim();
    const std::chrono::microseconds Left(Request->remaining_us());
    Claim.Timeout = std::chrono::duration_cast<std::chrono::milliseconds>(Left);
    const claim_outcome Outcome = Parts.Path.claimHere(
        Request->partition(), Claim, monotonicNow() + Left);
    Reply->set_reason(static_cast<int>(Outcome.Reason));
    Reply->set_verdict(static_cast<int>(Outcome.Verdict));
    if (Outcome.Run)
      Reply->set_decision(wire::ClaimKeyReply::RUN);
    if (Outcome.Answer) {
      Reply->set_decision(wire::ClaimKeyReply::REPLAY);
      toWire(*Outcome.Answer, *Reply->mutable_answer());
    }
    return grpc::Status::OK;
  }

  grpc::Status SettleKey(grpc::ServerContext *,
                         const wire::SettleKeyRequest *Request,
                         wire::SettleKeyReply *) override {
    if (!Parts.Owned.findKeys(Request->partition()))
      return {grpc::StatusCode::FAILED_PRECONDITION, "not the owner"};
    key_settlement Settlement{Request->account(), Request->key(),
                              Request->claim(),
                              verdictFromNumber(Request->verdict()), nullptr};
    if (Request->has_answer())
      Settlement.Answer = fromWire(Request->answer());
    Parts.Path.settleHere(Request->partition(), Settlement);
    return grpc::Status::OK;
  }

  grpc::Status CopyKeys(grpc::ServerContext *,
                        const wire::CopyKeysRequest *Request,
                        wire::CopyKeysReply *) override {
    Parts.Owned.keepCopies(*Request);
    return grpc::Status::OK;
  }

private:
  /// Serves a request and sends its answer, streamed or whole.
  template <typename Stream>
  grpc::Status serve(node_request Request, const std::string &Group,
                     Stream &To) {
    const answer_writer Writer = writerTo(To);
    const node_answer Answer =
        Parts.Path.servePeer(std::move(Request), Group, Writer);
    wire::AnswerPart Last;
    if (!Answer.Streamed)
      toWire(Answer, *Last.mutable_head());
    else if (Answer.Broken)
      return {grpc::StatusCode::DATA_LOSS, "the answer ended early"};
    else
      Last.set_end(true);
    To.WriteLast(Last, grpc::WriteOptions());
    return grpc::Status::OK;
  }

  template <typename Stream> static answer_writer writerTo(Stream &To) {
    answer_writer Writer;
    Writer.Begin = [&To](const node_answer &Answer) {
      wire::AnswerPart Head;
      toWire(Answer, *Head.mutable_head());
      return To.Write(Head);
    };
    Writer.Write = [&To](std::span<const char> Piece) {
      wire::AnswerPart Part;
      Part.set_body(Piece.data(), Piece.size());
      return To.Write(Part);
    };
    return Writer;
  }

  peer_service_parts Parts;
};

peer_service::peer_service() = default;
peer_service::~peer_service() = default;

result<std::unique_ptr<peer_service>>
peer_service::start(const std::string &Address, int MaxThreads,
                    const peer_service_parts &Parts) {
  std::unique_ptr<peer_service> Made(new peer_service);
  Made->Implementation = std::make_unique<implementation>(Parts);
  grpc::ResourceQuota Quota;
  Quota.SetMaxThreads(MaxThreads);
  grpc::ServerBuilder Builder;
  int Port = 0;
  Builder.SetResourceQuota(Quota);
  // Threads that wait for calls are kept; making one costs as much as a call.
  Builder.SetSyncServerOption(grpc::ServerBuilder::MIN_POLLERS, MinPollers);
  Builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, MaxPollers);
  Builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Builder.AddListeningPort(Address, grpc::InsecureServerCredentials(), &Port);
  Builder.RegisterService(Made->Implementation.get());
  Made->Server = Builder.BuildAndStart();
  if (!Made->Server || Port == 0)
    return error{error_kind::Unavailable,
                 fmt::format("cannot serve peers on {}", Address)};
  return Made;
}

void peer_service::stop(std::chrono::milliseconds Grace) {
  Server->Shutdown(std::chrono::system_clock::now() + Grace);
  Server->Wait();
}

} // namespace agatedale
