/// \file
/// Decoding, ordering and timeouts of a caller's connection.
#include "caller_connection.h"

#include "../core/log.h"
#include "agatedale/verdict.h"

namespace agatedale {

namespace {

constexpr int StatusTimeout = 408;

/// When to come back if there was no memory for a body: bodies are held for
/// about as long as a request takes.
constexpr const char *MemoryComeBackSeconds = "0.5";

/// How long a caller may take to close after the last answer.
constexpr duration LingerTime = std::chrono::seconds(1);

} // namespace

void caller_exchange::answer(const http_answer_message &Answer, bool Close) {
  if (Answered)
    return;
  Answered = true;
  OnAbandoned = nullptr;
  const std::shared_ptr<caller_connection> Owner = Connection.lock();
  if (!Owner)
    return;
  CloseAfter = Close || !KeepAlive || Owner->Context->Stopping;
  Bytes = encodeAnswer(Answer, ToHead, CloseAfter);
  Owner->sendReady();
}

void caller_connection::open(event_loop &Loop,
                             const Poco::Net::StreamSocket &Socket,
                             std::shared_ptr<context> Context) {
  const std::shared_ptr<caller_connection> Connection(
      new caller_connection(Loop, std::move(Context)));
  Connection->Context->Opened(Connection);
  Connection->start(Socket);
}

void caller_connection::start(const Poco::Net::StreamSocket &Socket) {
  const std::weak_ptr<caller_connection> Weak = weak_from_this();
  tcp_stream::handlers Handlers;
  Handlers.Received = [Weak](std::string_view Bytes) {
    if (const auto Self = Weak.lock())
      Self->onReceived(Bytes);
  };
  Handlers.Ended = [Weak](stream_end) {
    if (const auto Self = Weak.lock())
      Self->onEnded();
  };
  Stream = tcp_stream::accept(Loop, Socket, std::move(Handlers));
  armTimer();
}

void caller_connection::armTimer() {
  Loop.cancel(Timer);
  const bool Receiving = Decoder && Decoder->hasBegun();
  if (!Receiving && !Pending.empty())
    return;
  const auto Limit =
      Receiving ? Context->Limits.HeaderTimeout : Context->Limits.IdleTimeout;
  const std::weak_ptr<caller_connection> Weak = weak_from_this();
  Timer = Loop.after(Limit, [Weak] {
    if (const auto Self = Weak.lock())
      Self->onTimeout();
  });
}

void caller_connection::onTimeout() {
  const bool Receiving = Decoder && Decoder->hasBegun();
  if (!Receiving) {
    closeIfIdle();
    return;
  }
  // The limit is on the headers; a body goes on as long as bytes arrive.
  if (Decoder->headerDone())
    armTimer();
  else
    fail(StatusTimeout);
}

void caller_connection::onReceived(std::string_view Bytes) {
  if (Finishing)
    return;
  Buffer.append(Bytes);
  decodeAll();
}

void caller_connection::decodeAll() {
  const auto Self = shared_from_this();
  while (!NoMoreRequests && Pending.size() < MaxPipelined && !Buffer.empty()) {
    if (!Decoder) {
      const caller_limits &Limits = Context->Limits;
      Decoder = std::make_unique<request_decoder>(
          message_limits{static_cast<std::uint32_t>(Limits.HeaderBytes),
                         static_cast<std::uint64_t>(Limits.BodyBytes)});
      Share = body_reservation(Context->Bodies);
      ContinueSent = false;
    }
    const bool WasReceiving = Decoder->hasBegun();
    const decode_state State = Decoder->feed(Buffer);
    if (State == decode_state::Failed) {
      fail(Decoder->failureStatus());
      return;
    }
    if (!Share.resize(Decoder->bodyBytes())) {
      failMemoryFull();
      return;
    }
    if (State == decode_state::NeedMore) {
      if (Decoder->expectsContinue() && !ContinueSent && Pending.empty()) {
        ContinueSent = true;
        Stream->send("HTTP/1.1 100 Continue\r\n\r\n");
      }
      if (!WasReceiving)
        armTimer();
      break;
    }
    serveDecoded();
  }
  const bool TooMuch = Pending.size() >= MaxPipelined;
  if (!Stream->isClosed())
    Stream->pauseReading(TooMuch);
}

void caller_connection::serveDecoded() {
  const auto Exchange = std::make_shared<caller_exchange>();
  Exchange->KeepAlive = Decoder->keepsAlive();
  Exchange->Request = Decoder->take();
  Exchange->ToHead = Exchange->Request.Method == "HEAD";
  Exchange->Share = std::move(Share);
  Exchange->ReceivedAt = bootNow();
  Exchange->Connection = weak_from_this();
  NoMoreRequests = !Exchange->KeepAlive;
  Decoder.reset();
  Pending.push_back(Exchange);
  armTimer();
  Context->Serve(Exchange);
}

void caller_connection::fail(int Status) { fail({Status, {}, ""}); }

void caller_connection::failMemoryFull() {
  logLine(log_level::Warning, "request-refused",
          {{"reason", reasonName(refusal_reason::MemoryFull)},
           {"verdict", verdictName(verdict::NotRun)},
           {"body_bytes", Decoder->bodyBytes()},
           {"bodies_held", Context->Bodies->reservedBytes()}});
  http_answer_message Answer{httpStatusOf(refusal_reason::MemoryFull), {}, ""};
  Answer.Headers.add("Retry-After", MemoryComeBackSeconds);
  fail(Answer);
}

void caller_connection::fail(const http_answer_message &Answer) {
  Share = body_reservation();
  NoMoreRequests = true;
  Decoder.reset();
  const auto Exchange = std::make_shared<caller_exchange>();
  Exchange->Connection = weak_from_this();
  Exchange->KeepAlive = false;
  Pending.push_back(Exchange);
  Exchange->answer(Answer, true);
}

void caller_connection::sendReady() {
  const auto Self = shared_from_this();
  while (!Finishing && !Pending.empty() && Pending.front()->Answered) {
    const std::shared_ptr<caller_exchange> Exchange = Pending.front();
    Pending.pop_front();
    Stream->send(Exchange->Bytes);
    if (Exchange->CloseAfter) {
      finish();
      return;
    }
  }
  if (Finishing || Stream->isClosed())
    return;
  armTimer();
  // Requests that had to wait for a place may be read now.
  if (!Buffer.empty())
    decodeAll();
  else
    Stream->pauseReading(false);
}

void caller_connection::finish() {
  Finishing = true;
  NoMoreRequests = true;
  abandonPending();
  Buffer.clear();
  Stream->pauseReading(false);
  Stream->finishSending();
  Loop.cancel(Timer);
  const std::weak_ptr<caller_connection> Weak = weak_from_this();
  Timer = Loop.after(LingerTime, [Weak] {
    if (const auto Self = Weak.lock())
      Self->onEnded();
  });
}

void caller_connection::abandonPending() {
  const auto Left = std::move(Pending);
  Pending.clear();
  for (const std::shared_ptr<caller_exchange> &Exchange : Left) {
    const auto OnAbandoned = std::move(Exchange->OnAbandoned);
    Exchange->OnAbandoned = nullptr;
    Exchange->Connection.reset();
    if (OnAbandoned)
      OnAbandoned();
  }
}

void caller_connection::onEnded() {
  const auto Self = shared_from_this();
  Loop.cancel(Timer);
  Stream->close();
  abandonPending();
  Context->Closed(Self);
}

bool caller_connection::isIdle() const {
  const bool Receiving = (Decoder && Decoder->hasBegun()) || !Buffer.empty();
  return Pending.empty() && !Receiving && !Finishing;
}

void caller_connection::closeIfIdle() {
  if (isIdle())
    finish();
}

} // namespace agatedale
