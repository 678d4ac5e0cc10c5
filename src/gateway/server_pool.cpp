/// \file
/// One request at a time on each connection to a backend server.
#include "server_pool.h"

#include "platform/headers.h"

#include <Poco/Exception.h>

#include <algorithm>

namespace agatedale {

namespace {

/// Status of a server that says it is well.
constexpr int HealthyStatus = 200;

/// The largest answer that is taken from a server.
constexpr message_limits AnswerLimits{64 * 1024, 32 << 20};

/// How long a server may take over its deadline to say so itself.
constexpr duration AnswerGrace = std::chrono::milliseconds(150);

/// How long a server may take to tell its load, which it does at once.
constexpr duration QuestionTimeout = std::chrono::milliseconds(120);

/// A server that does not take a connection within this time is left alone.
constexpr duration ConnectTimeout = std::chrono::milliseconds(400);

/// Connections are dropped this long before the server would close them.
constexpr duration IdleMargin = std::chrono::milliseconds(1500);

/// How long a connection is kept when the server says nothing.
constexpr duration DefaultIdleTime = std::chrono::seconds(4);

} // namespace

/// One connection to a server: connecting, busy with a call, or idle.
class server_connection
    : public std::enable_shared_from_this<server_connection> {
public:
  server_connection(server_pool &Pool, std::string Address)
      : Pool(Pool), Address(std::move(Address)) {}

  void connect(const std::shared_ptr<server_call> &First);
  void begin(const std::shared_ptr<server_call> &Next);
  void close();
  const std::string &address() const { return Address; }
  bool isUsable(time_point Now) const {
    return !Stream->isClosed() && Now < IdleUntil;
  }

private:
  friend class server_pool;

  void onConnected();
  void onReceived(std::string_view Bytes);
  void onEnded(stream_end End);
  void onTimeout();
  void onConnectTimeout();
  void conclude(attempt_outcome Outcome);
  void onAnswer();
  void finishCall(call_result Result);

  server_pool &Pool;
  std::string Address;
  std::shared_ptr<tcp_stream> Stream;
  std::shared_ptr<server_call> Call;
  std::unique_ptr<answer_decoder> Decoder;
  std::string Buffer;
  bool Tainted = false; ///< Carried an answer that belongs to nobody.
  bool NotForReuse = false;
  std::uint64_t SentBefore = 0;
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
  ++Pool.ConnectionsMade;
  Stream = tcp_stream::connect(Pool.Loop, Poco::Net::SocketAddress(Address),
                               std::move(Handlers));
  Call->Timer = Pool.Loop.after(ConnectTimeout, [Weak] {
    if (const auto Self = Weak.lock())
      Self->onConnectTimeout();
  });
}

void server_connection::onConnectTimeout() {
  if (Call && !Stream->isConnected())
    conclude(attempt_outcome::ConnectFailed);
}

void server_connection::onConnected() {
  if (!Call)
    return;
  Pool.Loop.cancel(Call->Timer);
  begin(Call);
}

void server_connection::begin(const std::shared_ptr<server_call> &Next) {
  Call = Next;
  Decoder = std::make_unique<answer_decoder>(AnswerLimits, Call->ToHead);
  SentBefore = Stream->bytesSent();
  const std::weak_ptr<server_connection> Weak = weak_from_this();
  Call->Timer =
      Pool.Loop.after(Call->Order.Deadline + AnswerGrace - bootNow(), [Weak] {
        if (const auto Self = Weak.lock())
          Self->onTimeout();
      });
  Stream->send(Call->Bytes);
}

void server_connection::onTimeout() {
  if (Call)
    conclude(attempt_outcome::TimedOut);
}

void server_connection::close() {
  if (Call)
    Pool.Loop.cancel(Call->Timer);
  Call = nullptr;
  Stream->close();
}

void server_connection::onReceived(std::string_view Bytes) {
  const auto Self = shared_from_this();
  if (!Call || !Decoder) {
    Pool.remove(this);
    close();
    return;
  }
  Buffer.append(Bytes);
  while (Call) {
    const decode_state State = Decoder->feed(Buffer);
    if (State == decode_state::Failed) {
      conclude(attempt_outcome::Broke);
      return;
    }
    if (State == decode_state::NeedMore)
      return;
    onAnswer();
    if (Call && Buffer.empty())
      return;
  }
}

void server_connection::onAnswer() {
  NotForReuse = !Decoder->keepsAlive();
  if (const auto Told = Decoder->idleTimeout())
    IdleTime = std::max<duration>(*Told - IdleMargin, duration::zero());
  call_result Result;
  Result.Answer = Decoder->take();
  Result.Report = platform::readReport(Result.Answer);
  if (Call->IsQuestion) {
    Result.Outcome = Result.Answer.Status == HealthyStatus
                         ? attempt_outcome::Answered
                         : attempt_outcome::ErrorAnswer;
    finishCall(std::move(Result));
    return;
  }
  switch (platform::classifyAnswer(Result.Answer, Call->RequestId)) {
  case platform::answer_kind::MismatchedRequest:
    // Ours may follow; the connection is not trusted with another request.
    Tainted = true;
    Decoder = std::make_unique<answer_decoder>(AnswerLimits, Call->ToHead);
    return;
  case platform::answer_kind::Success:
    Result.Outcome = attempt_outcome::Answered;
    break;
  case platform::answer_kind::ServerError:
    Result.Outcome = attempt_outcome::ErrorAnswer;
    break;
  case platform::answer_kind::NotRun:
    Result.Outcome = attempt_outcome::Shed;
    break;
  case platform::answer_kind::WrongServer:
    Result.Outcome = attempt_outcome::WrongServer;
    break;
  case platform::answer_kind::NotFromServer:
    Result.Outcome = attempt_outcome::Broke;
    Tainted = true;
    break;
  }
  finishCall(std::move(Result));
}

void server_connection::finishCall(call_result Result) {
  const auto Self = shared_from_this();
  const std::shared_ptr<server_call> Ended = std::move(Call);
  Call = nullptr;
  Pool.Loop.cancel(Ended->Timer);
  Ended->Connection = nullptr;
  const bool Clean = !Tainted && !NotForReuse && Buffer.empty() &&
                     !Stream->hasUnsent() && !Stream->isClosed();
  Decoder.reset();
  if (Clean && Result.Outcome != attempt_outcome::WrongServer)
    Pool.giveBack(Self);
  else
    Stream->close();
  const auto Done = std::move(Ended->Done);
  if (Done)
    Done(std::move(Result));
}

void server_connection::conclude(attempt_outcome Outcome) {
  Tainted = true;
  finishCall({Outcome, {}, std::nullopt});
}

void server_connection::onEnded(stream_end End) {
  const auto Self = shared_from_this();
  if (!Call) {
    Pool.remove(this);
    return;
  }
  if (End == stream_end::NotConnected) {
    conclude(attempt_outcome::ConnectFailed);
    return;
  }
  const bool NothingSent = Stream->bytesSent() == SentBefore;
  if (NothingSent) {
    conclude(attempt_outcome::ConnectFailed);
    return;
  }
  const bool IsWhole = End == stream_end::ClosedByPeer && Decoder &&
                       Decoder->end() == decode_state::Complete;
  if (!IsWhole) {
    conclude(Decoder && Decoder->hasBegun() ? attempt_outcome::Truncated
                                            : attempt_outcome::Broke);
    return;
  }
  onAnswer();
  if (Call)
    conclude(attempt_outcome::Broke);
}

std::shared_ptr<server_call> server_pool::send(const send_order &Order,
                                               const forward_request &Request,
                                               server_call::done Done) {
  auto Call = std::make_shared<server_call>();
  Call->Order = Order;
  Call->RequestId = Request.Id;
  Call->ToHead = Request.Message.Method == "HEAD";
  Call->Done = std::move(Done);
  http_request_message Message = Request.Message;
  Message.Headers.remove("Accept-Encoding");
  platform::setServerHeaders(
      Message, Order.Server,
      std::chrono::duration_cast<std::chrono::milliseconds>(Order.Deadline -
                                                            bootNow()));
  Call->Bytes = encodeRequest(Message, Order.Address);
  begin(Call);
  return Call;
}

void server_pool::ask(const ask_order &Order, const std::string &Path,
                      server_call::done Done) {
  const auto Call = std::make_shared<server_call>();
  Call->Order.Server = Order.Server;
  Call->Order.Address = Order.Address;
  Call->Order.Deadline = bootNow() + QuestionTimeout - AnswerGrace;
  Call->IsQuestion = true;
  Call->Done = std::move(Done);
  http_request_message Message{"GET", Path, {}, ""};
  platform::setServerHeaders(
      Message, Order.Server,
      std::chrono::duration_cast<std::chrono::milliseconds>(QuestionTimeout));
  Call->Bytes = encodeRequest(Message, Order.Address);
  begin(Call);
}

void server_pool::begin(const std::shared_ptr<server_call> &Call) {
  if (const auto Known = takeIdle(Call->Order.Address)) {
    Call->Connection = Known;
    Known->begin(Call);
    return;
  }
  const auto Fresh =
      std::make_shared<server_connection>(*this, Call->Order.Address);
  Call->Connection = Fresh;
  try {
    Fresh->connect(Call);
  } catch (const Poco::Exception &) {
    // An address that cannot be parsed counts as one that does not answer.
    Call->Connection = nullptr;
    Loop.post([Call] {
      if (Call->Done)
        Call->Done({attempt_outcome::ConnectFailed, {}, std::nullopt});
    });
  }
}

std::shared_ptr<server_connection>
server_pool::takeIdle(const std::string &Address) {
  std::vector<std::shared_ptr<server_connection>> &Known = Idle[Address];
  const time_point Now = bootNow();
  while (!Known.empty()) {
    std::shared_ptr<server_connection> Latest = std::move(Known.back());
    Known.pop_back();
    if (Latest->isUsable(Now))
      return Latest;
    Latest->close();
  }
  return nullptr;
}

void server_pool::giveBack(
    const std::shared_ptr<server_connection> &Connection) {
  Connection->IdleUntil = bootNow() + Connection->IdleTime;
  Idle[Connection->address()].push_back(Connection);
}

void server_pool::remove(const server_connection *Connection) {
  std::erase_if(Idle[Connection->address()], [Connection](const auto &Known) {
    return Known.get() == Connection;
  });
}

} // namespace agatedale
