/// \file
/// HTTP to backend servers.
#include "backend_connection.h"
#include "../http/address.h"
#include "node_clock.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/String.h>
#include <Poco/Timespan.h>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>

namespace agatedale {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

/// Headers that belong to one connection and are not passed on.
constexpr std::array<std::string_view, 10> ConnectionHeaders{
    "connection",       "keep-alive", "transfer-encoding", "content-length",
    "proxy-connection", "te",         "trailer",           "upgrade",
    "expect",           "host"};

constexpr int FirstFinalStatus = 200;
constexpr int LastStatus = 599;
constexpr int StatusNoContent = 204;
constexpr int StatusNotModified = 304;

Poco::Timespan timespanOf(duration Length) {
  return Poco::Timespan(std::max<std::int64_t>(toMicros(Length), 1000));
}

bool belongsToConnection(const std::string &Name) {
  const std::string Lower = Poco::toLower(Name);
  return std::find(ConnectionHeaders.begin(), ConnectionHeaders.end(), Lower) !=
         ConnectionHeaders.end();
}

duration remaining(const send_action &Order) {
  return Order.Deadline - monotonicNow();
}

void fillRequest(HTTPRequest &Out, const send_action &Order,
                 const node_request &Request) {
  Out.setKeepAlive(true);
  for (const auto &[Name, Value] : Request.Headers) {
    if (!belongsToConnection(Name))
      Out.add(Name, Value);
  }
  Out.setHost(Order.Address);
  Out.set("X-Request-Id", Request.Id);
  Out.set("X-Request-Deadline-Ms", std::to_string(std::max<std::int64_t>(
                                       toMillis(remaining(Order)), 1)));
  const bool HasBody = Request.ContentLength > 0 || Request.Method == "POST" ||
                       Request.Method == "PUT";
  if (HasBody)
    Out.setContentLength64(Request.ContentLength);
  if (Request.Reader)
    Out.setExpectContinue(true);
}

bool answerHasBody(const node_request &Request, int Status) {
  return Request.Method != "HEAD" && Status >= 200 &&
         Status != StatusNoContent && Status != StatusNotModified;
}

attempt_outcome outcomeOf(const HTTPResponse &Response) {
  const std::string NotRun = Response.get("Request-Not-Run", "");
  if (Response.getStatus() == HTTPResponse::HTTP_SERVICE_UNAVAILABLE &&
      !NotRun.empty())
    return NotRun == "draining" ? attempt_outcome::Draining
                                : attempt_outcome::Shed;
  return Response.getStatus() >= HTTPResponse::HTTP_INTERNAL_SERVER_ERROR
             ? attempt_outcome::ErrorAnswer
             : attempt_outcome::Answered;
}

/// One attempt in its steps; each step sets the outcome when it ends it.
class attempt_run {
public:
  attempt_run(backend_connection &Connection, const send_action &Order,
              const node_request &Request, const attempt_hooks &Hooks,
              const answer_writer *Writer, std::int64_t BufferBytes)
      : Connection(Connection), Order(Order), Request(Request), Hooks(Hooks),
        Writer(Writer), BufferBytes(BufferBytes) {}

  attempt_result run() {
    try {
      if (sendAll())
        receiveAll();
    } catch (const Poco::TimeoutException &) {
      Result.Outcome = attempt_outcome::TimedOut;
    } catch (const Poco::Exception &) {
      Result.Outcome = timeLeft() <= duration::zero()
                           ? attempt_outcome::TimedOut
                           : attempt_outcome::ConnectionLost;
    }
    // After a cancel the server's own closing proves that it let go; when it
    // stays silent the attempt times out and its slot stays taken.
    if (Connection.cancelled() &&
        Result.Outcome == attempt_outcome::ConnectionLost)
      Result.Outcome = attempt_outcome::Cancelled;
    return std::move(Result);
  }

private:
  duration timeLeft() const { return remaining(Order); }

  bool end(attempt_outcome Outcome) {
    Result.Outcome = Outcome;
    return false;
  }

  bool sendAll() {
    HTTPRequest Out(Request.Method, Request.Path, HTTPMessage::HTTP_1_1);
    fillRequest(Out, Order, Request);
    Connection.setTimeout(timeLeft());
    if (!Hooks.MaySend())
      return end(attempt_outcome::NotSent);
    std::ostream &Output = Connection.session().sendRequest(Out);
    if (Request.Reader) {
      Output.flush();
      const bool Continue = Connection.session().peekResponse(Response);
      if (!Continue)
        return true;
      Hooks.BodyBegins();
      if (!streamBody(Output))
        return false;
    } else {
      Output.write(Request.Body.data(),
                   static_cast<std::streamsize>(Request.Body.size()));
    }
    Output.flush();
    // A pause between the check above and the write may have outlasted the
    // lease; breaking off now lets the server cancel.
    if (!Hooks.MaySend())
      return end(attempt_outcome::ConnectionLost);
    return true;
  }

  bool streamBody(std::ostream &Output) {
    std::vector<char> Buffer(StreamChunkBytes);
    std::int64_t Left = Request.ContentLength;
    while (Left > 0) {
      const std::ptrdiff_t Read = Request.Reader(Buffer);
      if (Read <= 0)
        return end(attempt_outcome::BodyIncomplete);
      Output.write(Buffer.data(), Read);
      if (!Output.good())
        return end(attempt_outcome::ConnectionLost);
      Left -= Read;
      Connection.setTimeout(timeLeft());
    }
    return true;
  }

  void receiveAll() {
    Connection.setTimeout(timeLeft());
    std::istream &Input = Connection.session().receiveResponse(Response);
    const int Status = Response.getStatus();
    const bool IsHeadWhole = !Connection.session().hasEnded() &&
                             Status >= FirstFinalStatus && Status <= LastStatus;
    if (!IsHeadWhole) {
      end(timeLeft() <= duration::zero() ? attempt_outcome::TimedOut
                                         : attempt_outcome::Truncated);
      return;
    }
    Result.Outcome = outcomeOf(Response);
    node_answer &Answer = Result.Answer;
    Answer.Verdict = verdict::Answered;
    Answer.Status = Response.getStatus();
    for (const auto &[Name, Value] : Response) {
      if (!belongsToConnection(Name))
        Answer.Headers.emplace_back(Name, Value);
    }
    if (!answerHasBody(Request, Answer.Status)) {
      Answer.ContentLength = std::max<std::int64_t>(
          0, Response.hasContentLength() ? Response.getContentLength64() : 0);
      return;
    }
    const bool Known =
        Response.hasContentLength() && Response.getContentLength64() >= 0;
    if (!Known && !Response.getChunkedTransferEncoding()) {
      // The end of such an answer cannot be told from a broken connection.
      end(attempt_outcome::Truncated);
      return;
    }
    const std::int64_t Length = Known ? Response.getContentLength64() : -1;
    if (Known && Length > BufferBytes)
      streamAnswer(Input, Length);
    else
      bufferAnswer(Input, Length);
  }

  void bufferAnswer(std::istream &Input, std::int64_t Length) {
    std::vector<char> Buffer(
        Length >= 0 ? static_cast<std::size_t>(std::min<std::int64_t>(
                          std::max<std::int64_t>(Length, 1), StreamChunkBytes))
                    : StreamChunkBytes);
    std::string &Body = Result.Answer.Body;
    while (Input.good() &&
           (Length < 0 || static_cast<std::int64_t>(Body.size()) < Length)) {
      Connection.setTimeout(timeLeft());
      Input.read(Buffer.data(), static_cast<std::streamsize>(Buffer.size()));
      Body.append(Buffer.data(), static_cast<std::size_t>(Input.gcount()));
      if (static_cast<std::int64_t>(Body.size()) > BufferBytes && Length < 0) {
        end(attempt_outcome::Truncated);
        return;
      }
    }
    // The reader also ends at a malformed chunk, a timeout and the end of the
    // connection.
    const bool Whole = Length >= 0
                           ? static_cast<std::int64_t>(Body.size()) == Length
                           : Connection.session().endsWithLastChunk();
    if (!Whole)
      end(attempt_outcome::Truncated);
    Result.Answer.ContentLength = static_cast<std::int64_t>(Body.size());
  }

  void streamAnswer(std::istream &Input, std::int64_t Length) {
    node_answer &Answer = Result.Answer;
    Answer.ContentLength = Length;
    const bool Allowed = Writer && Hooks.MayStream();
    if (!Allowed) {
      end(attempt_outcome::Cancelled);
      return;
    }
    Answer.Streamed = true;
    Answer.Broken = !Writer->Begin(Answer);
    std::vector<char> Buffer(StreamChunkBytes);
    std::int64_t Left = Length;
    while (Left > 0 && !Answer.Broken) {
      Connection.setTimeout(timeLeft());
      const auto Wanted = std::min<std::int64_t>(
          Left, static_cast<std::int64_t>(Buffer.size()));
      Input.read(Buffer.data(), Wanted);
      const std::streamsize Read = Input.gcount();
      Left -= Read;
      const auto Piece =
          std::span<const char>(Buffer.data(), static_cast<std::size_t>(Read));
      Answer.Broken = Read == 0 || !Writer->Write(Piece);
    }
    if (Answer.Broken)
      end(attempt_outcome::Truncated);
  }

  backend_connection &Connection;
  const send_action &Order;
  const node_request &Request;
  const attempt_hooks &Hooks;
  const answer_writer *Writer;
  std::int64_t BufferBytes;
  HTTPResponse Response;
  attempt_result Result;
};

} // namespace

backend_connection::backend_connection(
    std::unique_ptr<observed_session> NewSession)
    : Session(std::move(NewSession)), LastUsed(monotonicNow()) {
  Session->setKeepAlive(true);
}

result<std::shared_ptr<backend_connection>>
backend_connection::open(const std::string &Address, duration Timeout) {
  const result<socket_address> Parsed = parseAddress(Address);
  if (const error *Error = errorOf(Parsed))
    return *Error;
  try {
    auto Session = observed_session::connect(
        Poco::Net::SocketAddress(valueOf(Parsed).Ip, valueOf(Parsed).Port),
        timespanOf(Timeout));
    Session->socket().setNoDelay(true);
    return std::shared_ptr<backend_connection>(
        new backend_connection(std::move(Session)));
  } catch (const Poco::Exception &Failure) {
    return error{error_kind::Unavailable, Failure.displayText()};
  }
}

void backend_connection::cancel() {
  Cancelled = true;
  ::shutdown(Session->socket().impl()->sockfd(), SHUT_WR);
}

bool backend_connection::isStale() {
  if (Session->hasEnded() || Session->hasUnreadBytes())
    return true;
  try {
    return Session->socket().poll(Poco::Timespan(0),
                                  Poco::Net::Socket::SELECT_READ);
  } catch (const Poco::Exception &) {
    return true;
  }
}

void backend_connection::setTimeout(duration Timeout) {
  Session->socket().setReceiveTimeout(timespanOf(Timeout));
  Session->socket().setSendTimeout(timespanOf(Timeout));
}

std::shared_ptr<backend_connection>
connection_pool::takeIdle(const std::string &Address, bool Idempotent,
                          bool &FoundClosed) {
  const time_point Now = monotonicNow();
  const std::lock_guard Guard(Lock);
  auto &Connections = Idle[Address];
  while (!Connections.empty()) {
    std::shared_ptr<backend_connection> Connection = Connections.back();
    const duration Age = Now - Connection->lastUsed();
    if (!Idempotent && Age >= ProvenAlive)
      return nullptr;
    Connections.pop_back();
    const bool Closed = Connection->isStale();
    if (Age < IdleTime && !Closed)
      return Connection;
    FoundClosed = FoundClosed || Closed;
  }
  return nullptr;
}

result<std::shared_ptr<backend_connection>>
connection_pool::take(const std::string &Address, bool Idempotent,
                      duration Timeout, bool &FoundClosed) {
  if (auto Connection = takeIdle(Address, Idempotent, FoundClosed))
    return Connection;
  return backend_connection::open(Address, Timeout);
}

void connection_pool::giveBack(const std::string &Address,
                               std::shared_ptr<backend_connection> Connection) {
  if (Connection->cancelled() || !Connection->session().getKeepAlive())
    return;
  Connection->touch(monotonicNow());
  const std::lock_guard Guard(Lock);
  auto &Connections = Idle[Address];
  if (Connections.size() < MaxIdle)
    Connections.push_back(std::move(Connection));
}

void connection_pool::condemn(const std::string &Address) {
  const std::lock_guard Guard(Lock);
  Idle.erase(Address);
}

attempt_result runAttempt(backend_connection &Connection,
                          const send_action &Order, const node_request &Request,
                          const attempt_hooks &Hooks,
                          const answer_writer *Writer,
                          std::int64_t BufferBytes) {
  return attempt_run(Connection, Order, Request, Hooks, Writer, BufferBytes)
      .run();
}

} // namespace agatedale
