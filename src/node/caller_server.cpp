/// \file
/// HTTP between callers and the node.
#include "caller_server.h"
#include "node_clock.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <Poco/UUIDGenerator.h>

#include <fmt/format.h>

#include <algorithm>

namespace agatedale {

namespace {

constexpr std::string_view VerdictHeader = "Agatedale-Verdict";
constexpr std::string_view ReasonHeader = "Agatedale-Reason";
constexpr std::size_t MaxRequestIdLength = 128;
constexpr int CallerQueue = 128;

std::int64_t headerBytes(const http_request &Request) {
  std::size_t Bytes = Request.getURI().size();
  for (const auto &[Name, Value] : Request)
    Bytes += Name.size() + Value.size() + 4;
  return static_cast<std::int64_t>(Bytes);
}

std::string requestIdOf(const http_request &Request) {
  const std::string Given = Request.get("X-Request-Id", "");
  const bool Usable = !Given.empty() && Given.size() <= MaxRequestIdLength &&
                      std::all_of(Given.begin(), Given.end(), [](char C) {
                        return C > ' ' && C < 127 && C != '"';
                      });
  return Usable
             ? Given
             : Poco::UUIDGenerator::defaultGenerator().createOne().toString();
}

/// Closes the connection, so that what was sent is not taken for whole.
[[noreturn]] void breakOff(http_request &Request) {
  dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request).socket().shutdown();
  throw Poco::Net::ConnectionAbortedException();
}

void copyHeaders(const node_answer &Answer, http_response &Response) {
  for (const auto &[Name, Value] : Answer.Headers) {
    if (Poco::icompare(Name, "Date") == 0)
      Response.set(Name, Value);
    else
      Response.add(Name, Value);
  }
}

} // namespace

result<std::unique_ptr<caller_server>>
caller_server::start(const settings &Settings, request_path &Path,
                     metrics &Metrics) {
  std::unique_ptr<caller_server> Made(
      new caller_server(Settings, Path, Metrics));
  http_server_settings Http;
  Http.Address = fmt::format("{}:{}", Settings.Ip, Settings.CallerPort);
  Http.Threads = Settings.Limits.CallerThreads;
  Http.Queued = CallerQueue;
  Http.Timeout = Settings.Timing.CallerTimeout;
  auto Server = function_server::start(
      Http,
      [Self = Made.get()](http_request &Request, http_response &Response) {
        Self->answer(Request, Response);
      });
  if (const error *Error = errorOf(Server))
    return *Error;
  Made->Server = moveValue(std::move(Server));
  return Made;
}

void caller_server::refuse(http_response &Response,
                           const std::string &RequestId, refusal_reason Reason,
                           verdict Verdict) {
  Metrics.increment("agatedale_refusals_total",
                    formatLabel("reason", reasonName(Reason)) + "," +
                        formatLabel("verdict", verdictName(Verdict)));
  Response.set(std::string(VerdictHeader), std::string(verdictName(Verdict)));
  Response.set(std::string(ReasonHeader), std::string(reasonName(Reason)));
  Response.set("X-Request-Id", RequestId);
  sendText(Response, httpStatusOf(Reason),
           fmt::format("{}: {}\n", verdictName(Verdict), reasonName(Reason)));
}

std::optional<node_request> caller_server::readHead(http_request &From,
                                                    refusal_reason &Refusal) {
  node_request Request;
  Request.Id = requestIdOf(From);
  Request.Method = From.getMethod();
  Request.Path = From.getURI();
  if (headerBytes(From) > Settings.Limits.HeaderBytes) {
    Refusal = refusal_reason::HeadersTooLarge;
    return std::nullopt;
  }
  const bool BadLength =
      From.getChunkedTransferEncoding() ||
      (From.hasContentLength() && From.getContentLength64() < 0);
  if (Request.Path.empty() || Request.Path[0] != '/' || BadLength) {
    // A body without a length cannot be told from one that was cut off.
    Refusal = refusal_reason::MalformedRequest;
    return std::nullopt;
  }
  if (From.hasContentLength())
    Request.ContentLength = From.getContentLength64();
  for (const auto &[Name, Value] : From)
    Request.Headers.emplace_back(Name, Value);
  return Request;
}

bool caller_server::readBody(http_request &From, node_request &Request) {
  std::istream &Input = From.stream();
  auto &Socket =
      dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(From).socket();
  const time_point Deadline = Request.Deadline;
  body_reader Reader = [&Input, &Socket,
                        Deadline](std::span<char> Buffer) -> std::ptrdiff_t {
    const std::int64_t Left = toMicros(Deadline - monotonicNow());
    if (Left <= 0)
      return -1;
    Socket.setReceiveTimeout(Poco::Timespan(Left));
    try {
      Input.read(Buffer.data(), static_cast<std::streamsize>(Buffer.size()));
    } catch (const Poco::Exception &) {
      return -1;
    }
    return Input.gcount() > 0 ? Input.gcount() : -1;
  };
  if (Request.ContentLength > Settings.Limits.BufferedBodyBytes) {
    Request.Reader = std::move(Reader);
    return true;
  }
  Request.Body.resize(static_cast<std::size_t>(Request.ContentLength));
  std::size_t Have = 0;
  while (Have < Request.Body.size()) {
    const std::ptrdiff_t Read =
        Reader(std::span<char>(Request.Body).subspan(Have));
    if (Read <= 0)
      return false;
    Have += static_cast<std::size_t>(Read);
  }
  return true;
}

void caller_server::answer(http_request &From, http_response &Response) {
  const time_point Begin = monotonicNow();
  if (Closing)
    Response.setKeepAlive(false);
  refusal_reason Refusal = refusal_reason::None;
  std::optional<node_request> Request = readHead(From, Refusal);
  if (!Request) {
    Response.setKeepAlive(false);
    refuse(Response, requestIdOf(From), Refusal, verdict::NotRun);
    return;
  }
  const std::string RequestId = Request->Id;
  const auto View = Path.view();
  if (!View->MayServe) {
    Response.setKeepAlive(false);
    refuse(Response, RequestId,
           View->Leaving ? refusal_reason::Stopping : refusal_reason::NotReady,
           verdict::NotRun);
    return;
  }
  std::optional<routed_request> Routed =
      Path.route(std::move(*Request), *View, Refusal);
  if (!Routed) {
    Response.setKeepAlive(false);
    refuse(Response, RequestId, Refusal, verdict::NotRun);
    return;
  }
  node_request &Taken = Routed->Request;
  std::chrono::milliseconds Timeout = Routed->Route->Timeout;
  unsigned Wanted = 0;
  if (Poco::NumberParser::tryParseUnsigned(From.get("X-Request-Timeout-Ms", ""),
                                           Wanted) &&
      Wanted > 0)
    Timeout = std::min(Timeout, std::chrono::milliseconds(Wanted));
  Taken.Deadline = Begin + Timeout;
  if (From.getExpectContinue())
    Response.sendContinue();
  if (!readBody(From, Taken)) {
    Response.setKeepAlive(false);
    refuse(Response, RequestId, refusal_reason::BodyIncomplete,
           verdict::NotRun);
    return;
  }
  std::ostream *Output = nullptr;
  answer_writer Writer;
  Writer.Begin = [&](const node_answer &Answer) {
    Response.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Answer.Status));
    copyHeaders(Answer, Response);
    Response.set(std::string(VerdictHeader),
                 std::string(verdictName(verdict::Answered)));
    Response.set("X-Request-Id", RequestId);
    Response.setContentLength64(Answer.ContentLength);
    Output = &Response.send();
    return Output->good();
  };
  Writer.Write = [&Output](std::span<const char> Piece) {
    Output->write(Piece.data(), static_cast<std::streamsize>(Piece.size()));
    return Output->good();
  };
  const node_answer Answer = Path.serve(*Routed, Writer);
  finish(From, Response, Taken, Answer, Begin);
}

void caller_server::finish(http_request &From, http_response &Response,
                           const node_request &Request,
                           const node_answer &Answer, time_point Begin) {
  const metric_labels Labels =
      formatAccountLabels(Request.Account, Request.Class);
  Metrics.record("agatedale_request_seconds", Labels, monotonicNow() - Begin);
  Metrics.increment("agatedale_requests_total",
                    Labels + "," +
                        formatLabel("verdict", verdictName(Answer.Verdict)));
  if (Answer.Streamed) {
    if (Answer.Broken)
      breakOff(From);
    return;
  }
  // What is left of a body in the connection would be read as a request.
  if (Request.Reader)
    Response.setKeepAlive(false);
  if (Answer.Reason != refusal_reason::None) {
    refuse(Response, Request.Id, Answer.Reason, Answer.Verdict);
    return;
  }
  Response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Answer.Status));
  copyHeaders(Answer, Response);
  Response.set(std::string(VerdictHeader),
               std::string(verdictName(Answer.Verdict)));
  Response.set("X-Request-Id", Request.Id);
  if (Request.Method == "HEAD") {
    Response.setContentLength64(Answer.ContentLength);
    Response.send();
    return;
  }
  Response.sendBuffer(Answer.Body.data(), Answer.Body.size());
}

} // namespace agatedale
