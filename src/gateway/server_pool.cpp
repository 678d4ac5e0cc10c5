/// \file
/// Connections to backend servers with one request at a time on each.
#include "server_pool.h"

#include "../core/log.h"
#include "platform/headers.h"

#include <Poco/Exception.h>

#include <algorithm>

namespace agatedale {

namespace {

/// Status of a successful response to a load probe.
constexpr int HealthyStatus = 200;

/// The largest response that is accepted from a server.
constexpr message_limits ResponseLimits{64 * 1024, 32 << 20};

/// The largest response to a load query.
constexpr message_limits LoadProbeLimits{64 * 1024, 64 * 1024};

/// Maximum number of answers to other requests before the connection is closed.
constexpr int MaxMismatchedAnswers = 4;

/// Time after the deadline in which a server may still report that it missed
/// the deadline.
constexpr duration ResponseGrace = std::chrono::milliseconds(150);

/// Timeout of a load probe, which a server answers immediately.
constexpr duration LoadProbeTimeout = std::chrono::milliseconds(120);

/// A connection attempt that takes longer than this fails.
constexpr duration ConnectTimeout = std::chrono::milliseconds(400);

/// Idle connections expire this long before the server would close them.
constexpr duration IdleMargin = std::chrono::milliseconds(1500);

/// Interval at which responses that wait for memory try again.
constexpr duration RoomCheckInterval = std::chrono::milliseconds(20);

/// Longer bodies are sent from where they are held for other attempts. A
/// shorter one leaves in one packet with its head.
constexpr std::size_t CopiedBodyBytes = 16 * 1024;

/// Idle time of a connection whose server announces no keep-alive timeout.
constexpr duration DefaultIdleTime = std::chrono::seconds(4);

} // namespace

/// One connection to a server. It is connecting, serving a call, or idle.
class server_connection
    : public std::enable_shared_from_this<server_connection> {
public:
  server_connection(server_pool &Pool, std::string Address)
      : Pool(Pool), Address(std::move(Address)) {}

  void connect(const std::shared_ptr<server_call> &First);
  void startCall(const std::shared_ptr<server_call> &Next);
  void close();
  const std::string &address() const { return Address; }
  bool isUsable(time_point Now) const {
    return !Stream->isClosed() && Now < IdleUntil;
  }
  bool hasRefused(const std::string &RequestId) const {
    return RefusedUntil.contains(RequestId);
  }

private:
  friend class server_pool;

  void onConnected();
  void onReceived(std::string_view Bytes);
  void onEnded(stream_end End);
  void onTimeout();
  void onConnectTimeout();
  void failCall(attempt_outcome Outcome);
  bool waitsForRoom();
  bool resumeIfRoom();
  bool isTooLarge();
  void dropResponse();
  void countMalformed();
  void logDropped() const;
  std::size_t reservedBytes() const { return Share.bytes(); }
  void onMismatchedAnswer();
  std::string_view reasonNotToSend(time_point Now) const;
  void finishUnsent(std::string_view Why);
  void sendCall(time_point Now);
  void beginDecoding();
  void onResponseHead(int Status, const header_list &Headers);
  void onResponse();
  void recordRefusal();
  void finishCall(call_result Result);

  server_pool &Pool;
  std::string Address;
  std::shared_ptr<tcp_stream> Stream;
  std::shared_ptr<server_call> Call;
  std::unique_ptr<response_decoder> Decoder;
  std::string Buffer;
  /// Set after a response that does not match the request, or a failed call.
  bool Tainted = false;
  bool NotReusable = false;
  bool SaidLeaving = false;           ///< In a response to the current call.
  std::optional<duration> RetryAfter; ///< As SaidLeaving.
  int MismatchedAnswers = 0;
  int CallsStarted = 0;
  /// The requests that were refused on this connection, with their deadlines.
  std::map<std::string, time_point> RefusedUntil;
  byte_reservation Share; ///< Of the body that is being received.
  std::uint64_t BytesSentBefore = 0;
  duration IdleTime = DefaultIdleTime;
  time_point IdleUntil{};
};

void server_call::cancel() {
  Done = nullptr;
  const std::shared_ptr<server_connection> Old = std::move(Connection);
  Connection = nullptr;
  if (Old)
    Old->close();
}

void server_connection::connect(const std::shared_ptr<server_call> &First) {
  Call = First;
  const std::weak_ptr<server_connection> Weak = weak_from_this();
  tcp_stream::handlers Handlers;
  Handlers.Connected = [Weak] {
    if (const auto Self = Weak.lock())
      Self->onConnected();
  };
  Handlers.Received = [Weak](std::string_view Bytes) {
    if (const auto Self = Weak.lock())
      Self->onReceived(Bytes);
  };
  Handlers.Ended = [Weak](stream_end End) {
    if (const auto Self = Weak.lock())
      Self->onEnded(End);
  };
  ++Pool.ConnectionsOpened;
  Stream = tcp_stream::connect(Pool.Loop, Poco::Net::SocketAddress(Address),
                               std::move(Handlers));
  Call->Timer = Pool.Loop.after(ConnectTimeout, [Weak] {
    if (const auto Self = Weak.lock())
      Self->onConnectTimeout();
  });
}

void server_connection::onConnectTimeout() {
  if (Call && !Stream->isConnected())
    failCall(attempt_outcome::ConnectFailed);
}

void server_connection::onConnected() {
  if (!Call)
    return;
  Pool.Loop.cancel(Call->Timer);
  startCall(Call);
}

/// Returns why the request is not sent, or nothing if it is.
std::string_view server_connection::reasonNotToSend(time_point Now) const {
  if (Call->IsLoadProbe)
    return {};
  if (Now >= Call->RequestDeadline)
    return "deadline passed";
  if (Call->ReasonNotToSend) {
    if (const std::string_view Why = Call->ReasonNotToSend(); !Why.empty())
      return Why;
  }
  // The end of the caller's connection may wait behind other events.
  const bool MayHaveLeft = Call->IsWanted && Pool.Loop.turnClock().isLate(Now);
  return MayHaveLeft && !Call->IsWanted() ? "caller left" : "";
}

void server_connection::finishUnsent(std::string_view Why) {
  logLine(log_level::Info, "request-not-sent",
          {{"request", Call->RequestId},
           {"server", Call->Order.Server},
           {"why", Why}});
  // Posted because the group may still be deciding about this request.
  Pool.Loop.post([Self = shared_from_this(), Unsent = Call] {
    const call_result Result{attempt_outcome::TooLate, {}, std::nullopt};
    if (Self->Call == Unsent)
      Self->finishCall(Result);
    else if (const auto Done = std::move(Unsent->Done))
      Done(Result); // The connection has ended meanwhile.
  });
}

void server_connection::sendCall(time_point Now) {
  http_request_message Message = std::move(Call->Message);
  const duration Left =
      Call->IsLoadProbe ? LoadProbeTimeout : Call->Order.Deadline - Now;
  platform::setServerHeaders(
      Message, Call->Order.Server,
      std::chrono::duration_cast<std::chrono::milliseconds>(Left));
  if (Message.Body.size() <= CopiedBodyBytes)
    Stream->send(encodeRequest(Message, Call->Order.Address));
  else
    Stream->send(encodeRequestHead(Message, Call->Order.Address),
                 std::move(Message.Body));
}

void server_connection::startCall(const std::shared_ptr<server_call> &Next) {
  Call = Next;
  BytesSentBefore = Stream->bytesSent();
  const time_point Now = bootNow();
  if (const std::string_view Why = reasonNotToSend(Now); !Why.empty()) {
    finishUnsent(Why);
    return;
  }
  ++CallsStarted;
  SaidLeaving = false;
  RetryAfter.reset();
  beginDecoding();
  Share = byte_reservation(Pool.Budget, held_kind::ServerResponse);
  Pool.Receiving.insert(shared_from_this());
  const std::weak_ptr<server_connection> Weak = weak_from_this();
  Call->Timer =
      Pool.Loop.after(Call->Order.Deadline + ResponseGrace - Now, [Weak] {
        if (const auto Self = Weak.lock())
          Self->onTimeout();
      });
  sendCall(Now);
}

void server_connection::onTimeout() {
  if (Call)
    failCall(attempt_outcome::TimedOut);
}

void server_connection::close() {
  const auto Self = shared_from_this();
  if (Call)
    Pool.Loop.cancel(Call->Timer);
  Call = nullptr;
  Share = byte_reservation();
  Pool.Receiving.erase(Self);
  Stream->close();
}

void server_connection::onReceived(std::string_view Bytes) {
  const auto Self = shared_from_this();
  if (!Call || !Decoder) {
    Pool.removeIdle(this);
    close();
    return;
  }
  Buffer.append(Bytes);
  while (Call) {
    const decode_state State = Decoder->feed(Buffer);
    if (State == decode_state::Failed) {
      countMalformed();
      failCall(attempt_outcome::ConnectionLost);
      return;
    }
    if (State == decode_state::NeedMore && waitsForRoom())
      return;
    if (State == decode_state::Complete && Decoder->isLengthKnown())
      Share.set(Decoder->heldBytes());
    else if (isTooLarge()) {
      failCall(attempt_outcome::ConnectionLost);
      return;
    }
    if (!Call)
      return;
    if (State == decode_state::NeedMore)
      return;
    onResponse();
    if (Call && Buffer.empty())
      return;
  }
}

/// Stops reading a response of a known length that has no room, after larger
/// ones whose length is not known have been dropped. Returns true if the
/// response is not to be read on now.
bool server_connection::waitsForRoom() {
  const std::size_t Bytes = Decoder->heldBytes();
  if (!Decoder->isLengthKnown() || Bytes > Pool.Budget->limitBytes())
    return false;
  while (!Share.resize(Bytes)) {
    const auto Largest = Pool.largestResponse();
    if (!Largest || Largest->reservedBytes() <= Bytes ||
        Largest->Decoder->isLengthKnown())
      break;
    Largest->dropResponse();
    if (!Call)
      return true; // Dropping another response may end this call as well.
  }
  if (Share.bytes() == Bytes)
    return false;
  Stream->pauseReading(true);
  Pool.waitForRoom(shared_from_this());
  return true;
}

/// Reads on if there is room by now. Returns true if the connection needs to
/// wait no longer.
bool server_connection::resumeIfRoom() {
  if (!Call || !Decoder || Stream->isClosed())
    return true;
  if (!Share.resize(Decoder->heldBytes()))
    return false;
  Stream->pauseReading(false);
  return true;
}

/// Returns true if the bodies that servers send exceed the memory for them and
/// no larger response could be dropped.
bool server_connection::isTooLarge() {
  // Dropping another response may end this call as well.
  while (Call && !Share.resize(Decoder->heldBytes())) {
    const auto Largest = Pool.largestResponse();
    const bool IsLargest =
        !Largest || Largest->reservedBytes() <= Decoder->heldBytes();
    if (IsLargest) {
      logDropped();
      return true;
    }
    Largest->dropResponse();
  }
  return false;
}

void server_connection::dropResponse() {
  logDropped();
  failCall(attempt_outcome::ConnectionLost);
}

void server_connection::countMalformed() {
  const framing_fault Fault = Decoder->fault();
  ++Pool.Malformed.at(static_cast<std::size_t>(Fault));
  logLine(log_level::Warning, "response-malformed",
          {{"reason", faultName(Fault)},
           {"server", Call->Order.Server},
           {"request", Call->RequestId}});
}

void server_connection::logDropped() const {
  logLine(log_level::Warning, "response-dropped",
          {{"server", Call->Order.Server},
           {"request", Call->RequestId},
           {"body_bytes", Decoder->bodyBytes()},
           {"held_bytes", Pool.Budget->reservedBytes()}});
}

/// The response to this request may still follow. The connection is not reused
/// for another request.
void server_connection::onMismatchedAnswer() {
  Tainted = true;
  if (++MismatchedAnswers > MaxMismatchedAnswers) {
    failCall(attempt_outcome::ConnectionLost);
    return;
  }
  beginDecoding();
}

void server_connection::beginDecoding() {
  Decoder = std::make_unique<response_decoder>(
      Call->IsLoadProbe ? LoadProbeLimits : ResponseLimits,
      Call->IsHeadRequest);
  Decoder->setHeadHandler([this](int Status, const header_list &Headers) {
    onResponseHead(Status, Headers);
  });
}

void server_connection::onResponseHead(int Status, const header_list &Headers) {
  SaidLeaving |= platform::saysLeaving(Status, Headers);
  const platform::retry_after Asked =
      platform::readRetryAfter(Status, Headers, Call->RequestId);
  if (Asked.Time)
    RetryAfter = Asked.Time;
  if (!Asked.Unreadable.empty())
    logLine(log_level::Warning, "retry-after-unreadable",
            {{"server", Call->Order.Server}, {"value", Asked.Unreadable}});
}

void server_connection::onResponse() {
  NotReusable = !Decoder->keepsAlive();
  if (const auto AnnouncedTimeout = Decoder->idleTimeout())
    IdleTime =
        std::max<duration>(*AnnouncedTimeout - IdleMargin, duration::zero());
  call_result Result;
  Result.Response = Decoder->takeMessage();
  Result.Report = platform::readReport(Result.Response);
  if (Call->IsLoadProbe) {
    // The late second copy of an answer to an earlier request.
    if (platform::belongsToRequest(Result.Response)) {
      onMismatchedAnswer();
      return;
    }
    Result.Outcome = Result.Response.Status == HealthyStatus
                         ? attempt_outcome::Answered
                         : attempt_outcome::ErrorAnswer;
    finishCall(std::move(Result));
    return;
  }
  switch (platform::classifyAnswer(Result.Response, Call->RequestId,
                                   CallsStarted == 1)) {
  case platform::answer_kind::MismatchedRequest:
    onMismatchedAnswer();
    return;
  case platform::answer_kind::Success:
    Result.Outcome = attempt_outcome::Answered;
    break;
  case platform::answer_kind::ServerError:
    Result.Outcome = attempt_outcome::ErrorAnswer;
    break;
  case platform::answer_kind::NotRun:
    Result.Outcome = attempt_outcome::Shed;
    recordRefusal();
    break;
  case platform::answer_kind::WrongServer:
    Result.Outcome = attempt_outcome::WrongServer;
    break;
  case platform::answer_kind::NotFromServer:
    Result.Outcome = attempt_outcome::ConnectionLost;
    Tainted = true;
    break;
  }
  finishCall(std::move(Result));
}

void server_connection::recordRefusal() {
  if (Call->RequestId.empty())
    return;
  std::erase_if(RefusedUntil, [Now = bootNow()](const auto &Refused) {
    return Refused.second < Now;
  });
  RefusedUntil[Call->RequestId] = Call->RequestDeadline;
}

void server_connection::finishCall(call_result Result) {
  const auto Self = shared_from_this();
  const std::shared_ptr<server_call> FinishedCall = std::move(Call);
  Call = nullptr;
  Pool.Loop.cancel(FinishedCall->Timer);
  FinishedCall->Connection = nullptr;
  Result.SaidLeaving = SaidLeaving;
  Result.RetryAfter = RetryAfter;
  const bool MayReuse = !Tainted && !NotReusable && Buffer.empty() &&
                        !Stream->hasUnsent() && !Stream->isClosed();
  Decoder.reset();
  if (!Result.Response.Body.empty())
    Result.Response.Held = std::make_shared<byte_reservation>(std::move(Share));
  Share = byte_reservation();
  Pool.Receiving.erase(Self);
  if (MayReuse && Result.Outcome != attempt_outcome::WrongServer)
    Pool.releaseIdle(Self);
  else
    Stream->close();
  const auto Done = std::move(FinishedCall->Done);
  if (Done)
    Done(std::move(Result));
}

void server_connection::failCall(attempt_outcome Outcome) {
  Tainted = true;
  finishCall({Outcome, {}, std::nullopt});
}

void server_connection::onEnded(stream_end End) {
  const auto Self = shared_from_this();
  if (!Call) {
    Pool.removeIdle(this);
    return;
  }
  if (End == stream_end::NotConnected) {
    failCall(attempt_outcome::ConnectFailed);
    return;
  }
  const bool NothingSent = Stream->bytesSent() == BytesSentBefore;
  if (NothingSent) {
    failCall(attempt_outcome::ConnectFailed);
    return;
  }
  const bool IsWhole = End == stream_end::ClosedByPeer && Decoder &&
                       Decoder->endOfInput() == decode_state::Complete;
  if (!IsWhole) {
    failCall(Decoder && Decoder->hasStarted()
                 ? attempt_outcome::Truncated
                 : attempt_outcome::ConnectionLost);
    return;
  }
  onResponse();
  if (Call)
    failCall(attempt_outcome::ConnectionLost);
}

std::shared_ptr<server_call>
server_pool::send(const send_action &Order, const forward_request &Request,
                  server_call::done Done,
                  std::function<std::string_view()> ReasonNotToSend) {
  auto Call = std::make_shared<server_call>();
  Call->Order = Order;
  Call->RequestId = Request.Id;
  Call->RequestDeadline = Request.Deadline;
  Call->IsHeadRequest = Request.Message.Method == "HEAD";
  Call->IsWanted = Request.IsWanted;
  Call->ReasonNotToSend = std::move(ReasonNotToSend);
  Call->Done = std::move(Done);
  Call->Message = Request.Message;
  Call->Message.Headers.remove("Accept-Encoding");
  startCall(Call);
  return Call;
}

void server_pool::probeLoad(const load_query_action &Order,
                            const std::string &Path, server_call::done Done) {
  const auto Call = std::make_shared<server_call>();
  Call->Order.Server = Order.Server;
  Call->Order.Address = Order.Address;
  Call->Order.Deadline = bootNow() + LoadProbeTimeout - ResponseGrace;
  Call->IsLoadProbe = true;
  Call->Done = std::move(Done);
  Call->Message = {"GET", Path, {}, ""};
  startCall(Call);
}

void server_pool::startCall(const std::shared_ptr<server_call> &Call) {
  if (const auto Reused = acquireIdle(*Call)) {
    Call->Connection = Reused;
    Reused->startCall(Call);
    return;
  }
  const auto NewConnection =
      std::make_shared<server_connection>(*this, Call->Order.Address);
  Call->Connection = NewConnection;
  try {
    NewConnection->connect(Call);
  } catch (const Poco::Exception &) {
    // An address that cannot be parsed is treated like a failed connection.
    Call->Connection = nullptr;
    Loop.post([Call] {
      if (Call->Done)
        Call->Done({attempt_outcome::ConnectFailed, {}, std::nullopt});
    });
  }
}

std::shared_ptr<server_connection>
server_pool::acquireIdle(const server_call &Call) {
  std::vector<std::shared_ptr<server_connection>> &IdleConnections =
      Idle[Call.Order.Address];
  const time_point Now = bootNow();
  // The latest first.
  for (auto At = IdleConnections.end(); At != IdleConnections.begin();) {
    --At;
    if ((*At)->hasRefused(Call.RequestId))
      continue;
    std::shared_ptr<server_connection> Latest = std::move(*At);
    At = IdleConnections.erase(At);
    if (Latest->isUsable(Now))
      return Latest;
    Latest->close();
  }
  return nullptr;
}

void server_pool::releaseIdle(
    const std::shared_ptr<server_connection> &Connection) {
  Connection->IdleUntil = bootNow() + Connection->IdleTime;
  Idle[Connection->address()].push_back(Connection);
}

void server_pool::waitForRoom(
    const std::shared_ptr<server_connection> &Connection) {
  Waiting.push_back(Connection);
  if (Waiting.size() == 1)
    armRoomTimer();
}

void server_pool::armRoomTimer() {
  Loop.after(RoomCheckInterval, [this, Weak = std::weak_ptr(Alive)] {
    if (!Weak.expired())
      resumeWaiting();
  });
}

void server_pool::resumeWaiting() {
  std::erase_if(Waiting, [](const auto &Weak) {
    const auto Connection = Weak.lock();
    return !Connection || Connection->resumeIfRoom();
  });
  if (!Waiting.empty())
    armRoomTimer();
}

/// Returns the connection whose response takes the most memory, or null.
std::shared_ptr<server_connection> server_pool::largestResponse() const {
  const auto Largest =
      std::max_element(Receiving.begin(), Receiving.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left->reservedBytes() < Right->reservedBytes();
                       });
  return Largest == Receiving.end() ? nullptr : *Largest;
}

void server_pool::removeIdle(const server_connection *Connection) {
  std::erase_if(Idle[Connection->address()],
                [Connection](const auto &IdleConnection) {
                  return IdleConnection.get() == Connection;
                });
}

} // namespace agatedale
