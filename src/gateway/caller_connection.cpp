/// \file
/// Decoding, ordering and timeouts of a caller's connection.
#include "caller_connection.h"

#include "../core/log.h"
#include "agatedale/verdict.h"

#include <algorithm>

namespace agatedale {

namespace {

constexpr int StatusTimeout = 408;

/// Retry-After value in seconds if the body budget is used up. A body occupies
/// the budget for about the duration of its request.
constexpr const char *MemoryFullRetryAfter = "0.5";

/// Time that a caller gets to close the connection after the last response.
constexpr duration LingerTime = std::chrono::seconds(1);

/// Time for the first request of a new connection to arrive before the
/// connection counts as idle.
constexpr duration FirstRequestTime = std::chrono::milliseconds(200);

/// Interval at which a connection that is not read is checked for its end.
constexpr duration EndCheckInterval = std::chrono::milliseconds(100);

} // namespace

void caller_exchange::respond(http_response_message NewResponse, bool Close) {
  if (Responded)
    return;
  Responded = true;
  OnDisconnected = nullptr;
  const std::shared_ptr<caller_connection> Owner = Connection.lock();
  if (!Owner)
    return;
  Response = std::move(NewResponse);
  KeepAlive = KeepAlive && !Close;
  Owner->sendResponsesInOrder();
}

bool caller_exchange::hasCallerLeft() const {
  const std::shared_ptr<caller_connection> Owner = Connection.lock();
  return !Owner || Owner->Stream->hasPeerClosed();
}

void caller_connection::open(event_loop &Loop,
                             const Poco::Net::StreamSocket &Socket,
                             time_point UnreadSince,
                             std::shared_ptr<context> Context) {
  const std::shared_ptr<caller_connection> Connection(
      new caller_connection(Loop, std::move(Context)));
  Connection->Context->Opened(Connection);
  Connection->start(Socket, UnreadSince);
}

void caller_connection::start(const Poco::Net::StreamSocket &Socket,
                              time_point UnreadSince) {
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
  Stream = tcp_stream::accept(Loop, Socket, UnreadSince, std::move(Handlers));
  armTimer();
}

void caller_connection::armTimer() {
  Loop.cancel(Timer);
  const bool Receiving = Decoder && Decoder->hasStarted();
  if (!Receiving && !Pending.empty())
    return;
  const bool ReceivesHeaders = Receiving && !Decoder->isHeaderComplete();
  const auto Limit = ReceivesHeaders ? Context->Limits.HeaderTimeout
                                     : Context->Limits.IdleTimeout;
  BodyBytesAtArm = Receiving ? Decoder->bodyBytes() : 0;
  const std::weak_ptr<caller_connection> Weak = weak_from_this();
  Timer = Loop.after(Limit, [Weak] {
    if (const auto Self = Weak.lock())
      Self->onTimeout();
  });
}

void caller_connection::onTimeout() {
  const auto Self = shared_from_this();
  Timer = 0;
  // The event loop may be late: what has arrived by now is not overdue.
  Stream->readNow();
  if (Stream->isClosed() || ClosingGracefully || Timer != 0)
    return;
  const bool Receiving = Decoder && Decoder->hasStarted();
  if (!Receiving) {
    closeIfIdle();
    if (!Stream->isClosed() && !ClosingGracefully)
      armTimer();
    return;
  }
  // A body may take any time while its bytes arrive.
  const bool BodyAdvances =
      Decoder->isHeaderComplete() && Decoder->bodyBytes() > BodyBytesAtArm;
  if (BodyAdvances)
    armTimer();
  else
    fail(StatusTimeout);
}

void caller_connection::onReceived(std::string_view Bytes) {
  // Behind a response that closes the connection nothing counts as read.
  const bool ClosesAfterPending = !Context->ReadsFollowing && !Pending.empty();
  if (ClosingGracefully || ClosesAfterPending)
    return;
  HasReceived = true;
  Buffer.append(Bytes);
  Arrivals.onAppended(Bytes.size(), Stream->arrivedAt());
  decodeAll();
}

void caller_connection::decodeAll() {
  const auto Self = shared_from_this();
  while (mayDecode() && !Buffer.empty() && !Stream->isClosed()) {
    if (!Decoder) {
      const caller_limits &Limits = Context->Limits;
      Decoder = std::make_unique<request_decoder>(
          message_limits{static_cast<std::uint32_t>(Limits.HeaderBytes),
                         static_cast<std::uint64_t>(Limits.BodyBytes)});
      Share = body_reservation(Context->Bodies);
      ContinueSent = false;
      RequestArrivedAt = Arrivals.front();
    }
    const bool WasReceiving = Decoder->hasStarted();
    const std::size_t BytesBefore = Buffer.size();
    const decode_state State = Decoder->feed(Buffer);
    Arrivals.onConsumed(BytesBefore - Buffer.size());
    if (State == decode_state::Failed) {
      fail(Decoder->failureStatus());
      return;
    }
    if (!Share.resize(Decoder->bodyBytes())) {
      refuseMemoryFull();
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
  const bool PipelineFull = Pending.size() >= MaxPipelined;
  if (Stream->isClosed())
    return;
  Stream->pauseReading(PipelineFull);
  if (PipelineFull && EndTimer == 0)
    watchForEnd();
}

/// Notices that the caller has left while reading is paused: the end of the
/// connection lies behind bytes that are not read.
void caller_connection::watchForEnd() {
  const std::weak_ptr<caller_connection> Weak = weak_from_this();
  EndTimer = Loop.after(EndCheckInterval, [Weak] {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    Self->EndTimer = 0;
    if (Self->Stream->isClosed() || Self->Pending.size() < MaxPipelined)
      return;
    if (Self->Stream->hasPeerClosed())
      Self->end(connection_end::ByCaller);
    else
      Self->watchForEnd();
  });
}

bool caller_connection::mayDecode() const {
  const bool MayFollow = Pending.empty() || Context->ReadsFollowing;
  return !ReadingDone && MayFollow && Pending.size() < MaxPipelined;
}

void caller_connection::serveDecoded() {
  const auto Exchange = std::make_shared<caller_exchange>();
  Exchange->KeepAlive = Decoder->keepsAlive();
  Exchange->Request = Decoder->takeMessage();
  Exchange->IsHeadRequest = Exchange->Request.Method == "HEAD";
  Exchange->Share = std::move(Share);
  Exchange->ArrivedAt = RequestArrivedAt;
  Exchange->WholeAt = Arrivals.lastConsumed();
  Exchange->Connection = weak_from_this();
  ReadingDone = !Exchange->KeepAlive;
  Decoder.reset();
  Pending.push_back(Exchange);
  ++Context->Counts.Received;
  armTimer();
  if (hasLeftUnnoticed()) {
    ++Context->Counts.Departed;
    logLine(log_level::Info, "request-not-served",
            {{"why", "caller left"},
             {"age_ms", toMillis(bootNow() - RequestArrivedAt)}});
    end(connection_end::ByCaller);
    return;
  }
  Context->Serve(Exchange);
}

/// Returns true if the end of the connection waits behind what was read: the
/// event loop is late, or the request has waited for those before it.
bool caller_connection::hasLeftUnnoticed() const {
  const time_point Now = bootNow();
  const bool HasWaited = Loop.turnClock().isLate(Now) ||
                         Now - Arrivals.lastConsumed() > turn_clock::LateAfter;
  return HasWaited && Stream->hasPeerClosed();
}

void caller_connection::fail(int Status) { fail({Status, {}, ""}); }

void caller_connection::refuseMemoryFull() {
  logLine(log_level::Warning, "request-refused",
          {{"reason", reasonName(refusal_reason::MemoryFull)},
           {"verdict", verdictName(verdict::NotRun)},
           {"body_bytes", Decoder->bodyBytes()},
           {"bodies_held", Context->Bodies->reservedBytes()}});
  http_response_message Response{
      httpStatusOf(refusal_reason::MemoryFull), {}, ""};
  Response.Headers.add("Retry-After", MemoryFullRetryAfter);
  fail(Response);
}

void caller_connection::fail(const http_response_message &Response) {
  Share = body_reservation();
  ReadingDone = true;
  Decoder.reset();
  const auto Exchange = std::make_shared<caller_exchange>();
  Exchange->Connection = weak_from_this();
  Exchange->KeepAlive = false;
  Pending.push_back(Exchange);
  Exchange->respond(Response, true);
}

void caller_connection::sendResponsesInOrder() {
  const auto Self = shared_from_this();
  while (!ClosingGracefully && !Pending.empty() && Pending.front()->Responded) {
    const std::shared_ptr<caller_exchange> Exchange = Pending.front();
    Pending.pop_front();
    const bool Close = closesAfter(*Exchange);
    Stream->send(
        encodeResponse(Exchange->Response, Exchange->IsHeadRequest, Close));
    if (Close) {
      closeGracefully();
      return;
    }
  }
  if (ClosingGracefully || Stream->isClosed())
    return;
  armTimer();
  // Reads requests that were held back by the pipeline limit.
  if (!Buffer.empty())
    decodeAll();
  else
    Stream->pauseReading(false);
}

/// Decided when the response is sent: closing drops the requests behind it.
bool caller_connection::closesAfter(const caller_exchange &Exchange) const {
  if (!Exchange.KeepAlive)
    return true;
  if (!Context->Stopping || !Pending.empty())
    return false;
  const bool Receiving = (Decoder && Decoder->hasStarted()) || !Buffer.empty();
  return !Receiving || !Context->ReadsFollowing;
}

void caller_connection::closeGracefully() {
  ClosingGracefully = true;
  ReadingDone = true;
  cancelPending(connection_end::ByGateway);
  Buffer.clear();
  Arrivals.clear();
  Stream->pauseReading(false);
  Stream->finishSending();
  armLingerTimer();
}

void caller_connection::armLingerTimer() {
  Loop.cancel(Timer);
  const std::weak_ptr<caller_connection> Weak = weak_from_this();
  Timer = Loop.after(LingerTime, [Weak, Left = Stream->undeliveredBytes()] {
    if (const auto Self = Weak.lock())
      Self->onLingerTimeout(Left);
  });
}

/// Waits on while the caller reads a long response. The bytes that its system
/// has confirmed tell so: a full send buffer accepts none for a while.
void caller_connection::onLingerTimeout(std::size_t LeftBefore) {
  const std::size_t Left = Stream->undeliveredBytes();
  if (Left > 0 && Left < LeftBefore)
    armLingerTimer();
  else
    end(connection_end::ByGateway);
}

void caller_connection::logDropped() const {
  const auto Answered = static_cast<std::size_t>(
      std::count_if(Pending.begin(), Pending.end(),
                    [](const auto &Exchange) { return Exchange->Responded; }));
  const held_bytes Held = heldBytes();
  Context->Counts.Dropped += Pending.size();
  logLine(log_level::Warning, "requests-dropped",
          {{"in_progress", Pending.size() - Answered},
           {"answered", Answered},
           {"undecoded_bytes", Held.Undecoded},
           {"unread_bytes", Held.Unread}});
}

void caller_connection::cancelPending(connection_end By) {
  if (By == connection_end::ByGateway && !Pending.empty())
    logDropped();
  const auto CancelledExchanges = std::move(Pending);
  Pending.clear();
  for (const std::shared_ptr<caller_exchange> &Exchange : CancelledExchanges) {
    const auto OnDisconnected = std::move(Exchange->OnDisconnected);
    Exchange->OnDisconnected = nullptr;
    Exchange->Connection.reset();
    if (OnDisconnected)
      OnDisconnected(By);
  }
}

void caller_connection::onEnded() { end(connection_end::ByCaller); }

void caller_connection::close() { end(connection_end::ByGateway); }

void caller_connection::end(connection_end By) {
  const auto Self = shared_from_this();
  Loop.cancel(Timer);
  Loop.cancel(EndTimer);
  Stream->close();
  cancelPending(By);
  Context->Closed(Self);
}

bool caller_connection::isIdle() const {
  const bool Receiving = (Decoder && Decoder->hasStarted()) || !Buffer.empty();
  return Pending.empty() && !Receiving && !ClosingGracefully;
}

caller_connection::held_bytes caller_connection::heldBytes() const {
  // The body that is being received is held by the decoder.
  const std::size_t Decoding = Decoder ? Decoder->bodyBytes() : 0;
  return {Stream->unreadBytes(), Buffer.size() + Decoding,
          Stream->unsentBytes()};
}

void caller_connection::closeIfIdle() {
  const auto Self = shared_from_this();
  if (!isIdle())
    return;
  Stream->readNow();
  if (Stream->isClosed() || !isIdle() || awaitsFirstRequest())
    return;
  // Reading on would accept requests that cannot be answered; the system resets
  // the connection if one arrives, which tells the caller that it was not read.
  if (Stream->hasUndelivered())
    closeGracefully();
  else
    close();
}

bool caller_connection::awaitsFirstRequest() const {
  return !HasReceived && bootNow() - OpenedAt < FirstRequestTime;
}

} // namespace agatedale
