/// \file
/// Decoding, ordering and timeouts of a caller's connection.
#include "caller_connection.h"

#include "../core/log.h"
#include "agatedale/verdict.h"

#include <algorithm>

namespace agatedale {

namespace {

constexpr int StatusTimeout = 408;

/// Retry-After value in seconds if the byte budget is used up. A body occupies
/// the budget for about the duration of its request.
constexpr const char *MemoryFullRetryAfter = "0.5";

/// Time that a caller gets to close the connection after the last response.
constexpr duration LingerTime = std::chrono::seconds(1);

/// Time for the first request of a new connection to arrive before the
/// connection counts as idle.
constexpr duration FirstRequestTime = std::chrono::milliseconds(200);

/// Interval at which a connection that is not read is checked for its end.
constexpr duration EndCheckInterval = std::chrono::milliseconds(100);

/// Longer bodies of responses are sent without a copy. A shorter one leaves in
/// one packet with its head.
constexpr std::size_t CopiedBodyBytes = 16 * 1024;

/// Connections that hold less are not closed to free memory.
constexpr std::size_t MinBytesToFree = 16 * 1024;

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
  if (Response.Held)
    Response.Held->setKind(held_kind::ServerResponse);
  Owner->sendResponsesInOrder();
}

void caller_exchange::setAccount(const std::string &Account) {
  if (const std::shared_ptr<caller_connection> Owner = Connection.lock())
    Owner->setAccount(Account);
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
  Handlers.Advanced = [Weak] {
    if (const auto Self = Weak.lock())
      Self->onOutputAdvanced();
  };
  Number = ++Context->LastConnection;
  Context->Connections.add({Account}, 1);
  HeadShare = byte_reservation(Context->Budget, held_kind::RequestHead);
  OutputShare = byte_reservation(Context->Budget, held_kind::CallerOutput);
  Stream = tcp_stream::accept(Loop, Socket, UnreadSince, std::move(Handlers));
  armTimer();
}

void caller_connection::armTimer() {
  Loop.cancel(Timer);
  const bool Receiving = Decoder && Decoder->hasStarted();
  if (!Receiving && !Pending.empty())
    return;
  const bool ReceivesHeaders =
      Receiving && !Decoder->isHeaderComplete() && takesMoreOutput();
  const auto Limit = ReceivesHeaders ? Context->Limits.HeaderTimeout
                                     : Context->Limits.IdleTimeout;
  BodyBytesAtArm = Receiving ? Decoder->bodyBytes() : 0;
  BytesSentAtArm = Stream->bytesSent();
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
  if (Stream->hasUnsent() && (!Receiving || !takesMoreOutput())) {
    if (Stream->bytesSent() > BytesSentAtArm) {
      armTimer();
      return;
    }
    ++Context->Counts.Stalled;
    logClosed("takes nothing");
    end(connection_end::ByGateway);
    return;
  }
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
  LastActiveAt = bootNow();
  Buffer.append(Bytes);
  Arrivals.onAppended(Bytes.size(), Stream->arrivedAt());
  decodeAll();
}

void caller_connection::decodeAll() {
  const auto Self = shared_from_this();
  // Entered again by requests that are answered at once.
  const bool IsNested = std::exchange(IsDecoding, true);
  decodeReceived();
  IsDecoding = IsNested;
  holdBackReading();
}

/// Pauses reading while there are enough requests to serve or responses that
/// the caller has to take first.
void caller_connection::holdBackReading() {
  if (Stream->isClosed() || ClosingGracefully)
    return;
  const bool IsHeldBack = isReadingHeldBack();
  Stream->pauseReading(IsHeldBack);
  if (IsHeldBack && EndTimer == 0)
    watchForEnd();
}

void caller_connection::decodeReceived() {
  while (mayDecode() && !Buffer.empty() && !Stream->isClosed()) {
    if (!Decoder) {
      const caller_limits &Limits = Context->Limits;
      Decoder = std::make_unique<request_decoder>(
          message_limits{static_cast<std::uint32_t>(Limits.HeaderBytes),
                         static_cast<std::uint64_t>(Limits.BodyBytes)});
      Share = byte_reservation(Context->Budget, held_kind::RequestBody);
      IsBodyHolderAsked = HasBodyHolder = false;
      ContinueSent = false;
      RequestArrivedAt = Arrivals.front();
    }
    const bool WasReceiving = Decoder->hasStarted();
    const std::size_t BytesBefore = Buffer.size();
    const decode_state State = Decoder->feed(Buffer);
    Arrivals.onConsumed(BytesBefore - Buffer.size());
    if (State == decode_state::Failed) {
      refuseMalformed();
      return;
    }
    if (!reserveReceived()) {
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
}

/// Reserves the memory of what has been received of a request. Returns false if
/// there is no room.
bool caller_connection::reserveReceived() {
  if (Buffer.empty())
    Buffer.shrink_to_fit();
  const std::size_t HeadBytes = Buffer.capacity();
  if (HeadBytes <= std::max(FreeHeadBytes, HeadShare.bytes()))
    HeadShare.set(HeadBytes);
  else if (!HeadShare.resize(HeadBytes))
    return false;
  const std::size_t BodyBytes = Decoder->bodyBytes();
  if (BodyBytes > 0 && !BodyPace)
    BodyPace.emplace(bootNow(), BodyBytes);
  return reserveBody(BodyBytes);
}

/// Reserves the memory of the body. With accounts in the configuration, those
/// above their share give way first, then slow callers.
bool caller_connection::reserveBody(std::size_t Bytes) {
  if (Bytes >= MinBytesToFree && !IsBodyHolderAsked)
    findBodyHolder();
  while (HasBodyHolder && !Share.fits(Bytes)) {
    const body_room Room = Context->MakeBodyRoom(*this, Bytes - Share.bytes());
    if (Room == body_room::Refused) {
      ++Context->Counts.OverShare;
      return false;
    }
    if (Room == body_room::None)
      break;
  }
  return Share.resize(Bytes);
}

/// Finds out whose share the body counts to. Small bodies are not asked for.
void caller_connection::findBodyHolder() {
  IsBodyHolderAsked = true;
  const std::optional<std::string> Found =
      Context->AccountOf ? Context->AccountOf(*Decoder) : std::nullopt;
  HasBodyHolder = Found && Context->MakeBodyRoom;
  if (HasBodyHolder)
    BodyHolder =
        Found->empty() ? share_holder{"", Number} : share_holder{*Found};
}

void caller_connection::setAccount(const std::string &NewAccount) {
  if (NewAccount == Account || Stream->isClosed())
    return;
  Context->NamedConnections += Account.empty() ? 1 : 0;
  Context->Connections.remove({Account}, 1);
  Account = NewAccount;
  Context->Connections.add({Account}, 1);
}

void caller_connection::addBodiesTo(account_shares &Shares) const {
  for (const std::shared_ptr<caller_exchange> &Exchange : Pending) {
    if (const auto Held = Exchange->Held.lock())
      Shares.add(Exchange->Holder, Held->bytes());
  }
  Shares.add(HasBodyHolder ? BodyHolder : share_holder{"", Number},
             Share.bytes());
}

std::size_t
caller_connection::refusableBytes(const share_holder &Holder) const {
  const bool IsReceiving = HasBodyHolder && Decoder && !IsDecoding &&
                           !ClosingGracefully && !Stream->isClosed();
  return IsReceiving && BodyHolder == Holder ? Share.bytes() : 0;
}

void caller_connection::refuseForOthers() {
  ++Context->Counts.OverShare;
  refuseMemoryFull();
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
    if (Self->Stream->isClosed() || !Self->isReadingHeldBack())
      return;
    if (Self->Stream->hasPeerClosed())
      Self->end(connection_end::ByCaller);
    else
      Self->watchForEnd();
  });
}

bool caller_connection::mayDecode() const {
  const bool MayFollow = Pending.empty() || Context->ReadsFollowing;
  return !ReadingDone && MayFollow && !isReadingHeldBack();
}

void caller_connection::serveDecoded() {
  const auto Exchange = std::make_shared<caller_exchange>();
  Exchange->KeepAlive = Decoder->keepsAlive();
  Exchange->Request = Decoder->takeMessage();
  Exchange->IsHeadRequest = Exchange->Request.Method == "HEAD";
  if (!Exchange->Request.Body.empty())
    Exchange->Request.Held =
        std::make_shared<byte_reservation>(std::move(Share));
  Exchange->Held = Exchange->Request.Held;
  Exchange->Holder = HasBodyHolder ? BodyHolder : share_holder{"", Number};
  Share = byte_reservation();
  Exchange->ArrivedAt = RequestArrivedAt;
  Exchange->WholeAt = Arrivals.lastConsumed();
  Exchange->Connection = weak_from_this();
  ReadingDone = !Exchange->KeepAlive;
  Decoder.reset();
  BodyPace.reset();
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

/// Says what is wrong with the request, but nothing of its bytes: they may hold
/// a client's key.
void caller_connection::refuseMalformed() {
  const framing_fault Fault = Decoder->fault();
  const int Status = Decoder->failureStatus();
  ++Context->Counts.Malformed.at(static_cast<std::size_t>(Fault));
  logLine(log_level::Warning, "request-malformed",
          {{"reason", faultName(Fault)},
           {"verdict", verdictName(verdict::NotRun)},
           {"status", Status},
           {"client", Stream->peerAddress()}});
  fail(Status);
}

void caller_connection::refuseMemoryFull() {
  ++Context->Counts.RefusedForMemory;
  logLine(log_level::Warning, "request-refused",
          {{"reason", reasonName(refusal_reason::MemoryFull)},
           {"verdict", verdictName(verdict::NotRun)},
           {"body_bytes", Decoder->bodyBytes()},
           {"account", HasBodyHolder ? BodyHolder.Account : ""},
           {"held_bytes", Context->Budget->reservedBytes()},
           {"client", Stream->peerAddress()}});
  http_response_message Response{
      httpStatusOf(refusal_reason::MemoryFull), {}, ""};
  Response.Headers.add("Retry-After", MemoryFullRetryAfter);
  fail(Response);
}

void caller_connection::fail(const http_response_message &Response) {
  Share = byte_reservation();
  ReadingDone = true;
  Decoder.reset();
  BodyPace.reset();
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
    http_response_message &Response = Exchange->Response;
    const bool IsLong = Response.Body.size() > CopiedBodyBytes;
    if (IsLong && !Exchange->IsHeadRequest) {
      // The head states the length of the body, so it is encoded before the
      // body is moved.
      std::string Head = encodeResponseHead(Response, false, Close);
      Stream->send(std::move(Head), std::move(Response.Body));
    } else {
      Stream->send(encodeResponse(Response, Exchange->IsHeadRequest, Close));
    }
    Response = {};
    LastActiveAt = bootNow();
    countOutput();
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
    holdBackReading();
}

/// Counts the output that waits for the caller.
void caller_connection::countOutput() {
  OutputShare.set(Stream->unsentMemory());
  if (!Stream->hasUnsent())
    OutputPace.reset();
  else if (!OutputPace)
    OutputPace.emplace(bootNow(), Stream->bytesSent());
}

void caller_connection::onOutputAdvanced() {
  const bool WasHeldBack = !takesMoreOutput() || OutputShare.bytes() > 0;
  countOutput();
  // Requests that were held back are decoded in a task of their own: the
  // stream is sending.
  if (!WasHeldBack || !takesMoreOutput() || IsResuming || ClosingGracefully)
    return;
  IsResuming = true;
  Loop.post([Weak = weak_from_this()] {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    Self->IsResuming = false;
    if (!Self->Stream->isClosed() && !Self->ClosingGracefully)
      Self->decodeAll();
  });
}

duration caller_connection::expectedHold(time_point Now) {
  if (IsDecoding || Stream->isClosed())
    return duration::zero();
  duration Expected = duration::zero();
  if (OutputPace && OutputShare.bytes() >= MinBytesToFree)
    Expected = OutputPace->expectedTime(Now, Stream->bytesSent(),
                                        Stream->unsentBytes());
  if (BodyPace && Decoder && Share.bytes() >= MinBytesToFree)
    Expected = std::max(
        Expected, BodyPace->expectedTime(
                      Now, Decoder->bodyBytes(),
                      std::max<std::size_t>(Decoder->missingBodyBytes(), 1)));
  return Expected;
}

void caller_connection::logClosed(std::string_view Why) const {
  logLine(
      log_level::Warning, "caller-closed",
      {{"client", Stream->peerAddress()},
       {"why", Why},
       {"unsent_bytes", Stream->unsentBytes()},
       {"body_bytes", Share.bytes()},
       {"held_bytes", Context->Budget ? Context->Budget->reservedBytes() : 0}});
}

void caller_connection::closeForOthers() {
  ++Context->Counts.Idle;
  logClosed("idle while connections are short");
  close();
}

void caller_connection::abandon() {
  ++Context->Counts.Slow;
  logClosed("slow while memory is short");
  Stream->close();
  countOutput();
  for (const std::shared_ptr<caller_exchange> &Exchange : Pending)
    Exchange->Response = {};
  BodyPace.reset();
  Share = byte_reservation();
  Decoder.reset();
  Buffer = std::string();
  HeadShare.set(0);
  Loop.post(
      [Self = shared_from_this()] { Self->end(connection_end::ByGateway); });
}

/// Decided when the response is sent: closing drops the requests behind it.
bool caller_connection::closesAfter(const caller_exchange &Exchange) const {
  if (!Exchange.KeepAlive)
    return true;
  if (!Pending.empty())
    return false;
  const bool Receiving = (Decoder && Decoder->hasStarted()) || !Buffer.empty();
  if (Context->Stopping)
    return !Receiving || !Context->ReadsFollowing;
  const bool IsForAccounts = !Receiving && !Account.empty() &&
                             Context->HasTooManyConnections &&
                             Context->HasTooManyConnections(Account);
  Context->Counts.ClosedForAccounts += IsForAccounts ? 1 : 0;
  return IsForAccounts;
}

void caller_connection::closeGracefully() {
  ClosingGracefully = true;
  ReadingDone = true;
  cancelPending(connection_end::ByGateway);
  Buffer = std::string();
  HeadShare.set(0);
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
  countOutput();
  cancelPending(By);
  if (std::exchange(IsCounted, false)) {
    Context->Connections.remove({Account}, 1);
    Context->NamedConnections -= Account.empty() ? 0 : 1;
  }
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
