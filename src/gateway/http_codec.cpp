/// \file
/// HTTP/1.1 codec based on the incremental parsers of Boost.Beast.
#include "http_codec.h"

#include "platform/headers.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <set>
#include <utility>

namespace agatedale {

namespace {

namespace http = boost::beast::http;
using boost::asio::const_buffer;

constexpr int StatusNoContent = 204;
constexpr int StatusNotModified = 304;
constexpr int StatusBadRequest = 400;
constexpr int StatusBodyTooLarge = 413;
constexpr int StatusHeadersTooLarge = 431;
constexpr int StatusNotImplemented = 501;
constexpr int Version11 = 11; ///< As Beast numbers HTTP/1.1.
constexpr unsigned FirstStatus = 100;
constexpr unsigned StatusSwitchingProtocols = 101;
constexpr unsigned FirstFinalStatus = 200;

/// Maximum number of interim responses (1xx) before a final one.
constexpr int MaxInterimResponses = 16;

constexpr std::array<std::string_view, 9> ConnectionHeaders{
    "Connection",        "Keep-Alive", "Proxy-Connection", "TE",    "Trailer",
    "Transfer-Encoding", "Upgrade",    "Content-Length",   "Expect"};

std::string_view toView(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

framing_fault faultOf(const boost::system::error_code &Failure) {
  if (Failure == http::error::header_limit)
    return framing_fault::HeadTooLarge;
  if (Failure == http::error::body_limit)
    return framing_fault::BodyTooLarge;
  if (Failure == http::error::bad_content_length)
    return framing_fault::ContentLength;
  if (Failure == http::error::bad_transfer_encoding)
    return framing_fault::TransferCoding;
  if (Failure == http::error::bad_chunk ||
      Failure == http::error::bad_chunk_extension)
    return framing_fault::Chunk;
  const bool IsInHeaders = Failure == http::error::bad_field ||
                           Failure == http::error::bad_value ||
                           Failure == http::error::bad_line_ending;
  return IsInHeaders ? framing_fault::Header : framing_fault::StartLine;
}

int statusOf(framing_fault Fault) {
  switch (Fault) {
  case framing_fault::HeadTooLarge:
    return StatusHeadersTooLarge;
  case framing_fault::BodyTooLarge:
    return StatusBodyTooLarge;
  case framing_fault::UnknownCoding:
    return StatusNotImplemented;
  default:
    return StatusBadRequest;
  }
}

/// Removes the element before the next comma from \p List and returns it
/// without the whitespace around it.
std::string_view nextElement(std::string_view &List) {
  constexpr std::string_view Whitespace = " \t";
  const std::size_t Comma = List.find(',');
  std::string_view Element = List.substr(0, Comma);
  List = Comma == std::string_view::npos ? std::string_view()
                                         : List.substr(Comma + 1);
  Element.remove_prefix(
      std::min(Element.find_first_not_of(Whitespace), Element.size()));
  return Element.substr(0, Element.find_last_not_of(Whitespace) + 1);
}

/// Checks the transfer codings of a message with a Transfer-Encoding header.
/// Only a body in the single coding "chunked" can be decoded.
template <typename Fields>
framing_fault transferCodingFault(const Fields &From, unsigned Version) {
  int Codings = 0;
  int Chunked = 0;
  bool IsLastChunked = false;
  const auto Lines = From.equal_range(http::field::transfer_encoding);
  for (auto Line = Lines.first; Line != Lines.second; ++Line) {
    std::string_view List = toView(Line->value());
    while (!List.empty()) {
      const std::string_view Coding = nextElement(List);
      if (Coding.empty())
        continue;
      ++Codings;
      IsLastChunked = equalNames(Coding, "chunked");
      Chunked += IsLastChunked ? 1 : 0;
    }
  }
  // HTTP/1.0 has no transfer codings: whoever added the header may have read
  // the body to its end or not.
  if (Version < Version11 || !IsLastChunked || Chunked != 1)
    return framing_fault::TransferCoding;
  return Codings == 1 ? framing_fault::None : framing_fault::UnknownCoding;
}

/// Returns true if \p Text is a host with an optional port (RFC 3986, 3.2). It
/// is empty if the client's target has no host.
bool isHost(std::string_view Text) {
  constexpr std::string_view NameMarks = "-._~!$&'()*+,;=%";
  constexpr std::string_view AddressMarks = ":.-_~!$&'()*+,;=%";
  const auto AreAll = [](std::string_view Part, std::string_view Marks) {
    return std::all_of(Part.begin(), Part.end(), [Marks](unsigned char C) {
      const bool IsAscii = C < 0x80;
      return (IsAscii && std::isalnum(C) != 0) ||
             Marks.find(static_cast<char>(C)) != std::string_view::npos;
    });
  };
  std::string_view Port;
  if (Text.starts_with('[')) {
    const std::size_t End = Text.find(']');
    if (End == std::string_view::npos ||
        !AreAll(Text.substr(1, End - 1), AddressMarks))
      return false;
    Port = Text.substr(End + 1);
  } else {
    const std::size_t Colon = std::min(Text.find(':'), Text.size());
    if (!AreAll(Text.substr(0, Colon), NameMarks))
      return false;
    Port = Text.substr(Colon);
  }
  return Port.empty() ||
         (Port.front() == ':' &&
          Port.find_first_not_of("0123456789", 1) == std::string_view::npos);
}

/// The parts of a target in absolute form (RFC 9112, 3.2.2).
struct absolute_target {
  std::string_view Host;
  std::string_view Path; ///< May be empty or begin with the query.
};

std::optional<absolute_target> readAbsoluteTarget(std::string_view Target) {
  for (const std::string_view Scheme : {"http://", "https://"}) {
    if (!equalNames(Target.substr(0, Scheme.size()), Scheme))
      continue;
    const std::string_view Rest = Target.substr(Scheme.size());
    const std::size_t HostEnd =
        std::min(Rest.find_first_of("/?#"), Rest.size());
    return absolute_target{Rest.substr(0, HostEnd), Rest.substr(HostEnd)};
  }
  return std::nullopt;
}

/// Checks the form of a request's target. Bytes above 127 are allowed, since
/// clients send them and servers accept them.
bool isTarget(std::string_view Target, std::string_view Method) {
  if (const auto Absolute = readAbsoluteTarget(Target))
    return !Absolute->Host.empty() && isHost(Absolute->Host);
  return Target.starts_with('/') || (Target == "*" && Method == "OPTIONS");
}

/// Checks that a request has exactly one valid Host header, or none if it is
/// of HTTP/1.0. Servers that choose differently among several would serve
/// different requests.
template <typename Fields>
framing_fault hostFault(const Fields &From, unsigned Version) {
  const std::size_t Hosts = From.count(http::field::host);
  const bool IsValid = Hosts == 1 ? isHost(toView(From[http::field::host]))
                                  : Hosts == 0 && Version < Version11;
  return IsValid ? framing_fault::None : framing_fault::Host;
}

/// Returns true if responses with this status never have a body.
bool hasNoBody(int Status) {
  return Status == StatusNoContent || Status == StatusNotModified;
}

/// Checks the head of a message as soon as it is complete, before its body.
template <bool IsRequest>
class strict_parser : public http::parser<IsRequest, http::string_body> {
public:
  /// Returns the fault that was found here, not by the base class.
  framing_fault headFault() const { return HeadFault; }

private:
  using text = boost::beast::string_view;

  /// Drops the fields behind a chunked body: what has been decided by the head
  /// must not change (RFC 9110, 6.5.1).
  void on_field_impl(http::field Field, text Name, text Value,
                     boost::system::error_code &Failure) override {
    Failure = {};
    if (!this->is_header_done())
      this->get().insert(Field, Name, Value);
  }

  /// Beast accepts every byte in a quoted string. Servers that end a line at a
  /// line feed alone would find other chunks.
  void on_chunk_header_impl(std::uint64_t, text Extensions,
                            boost::system::error_code &Failure) override {
    const bool IsPrintable =
        std::none_of(Extensions.begin(), Extensions.end(), [](char C) {
          return (static_cast<unsigned char>(C) < ' ' && C != '\t') ||
                 C == '\x7f';
        });
    Failure = {};
    if (!IsPrintable)
      Failure = http::error::bad_chunk_extension;
  }

  void on_header_impl(boost::system::error_code &Failure) override {
    Failure = {};
    HeadFault = checkHead();
    if (HeadFault != framing_fault::None)
      Failure = http::error::bad_value;
  }

  framing_fault checkHead() const {
    const auto &Head = this->get();
    if constexpr (IsRequest) {
      if (!isTarget(toView(Head.target()), toView(Head.method_string())))
        return framing_fault::Target;
      const framing_fault Fault = hostFault(Head, Head.version());
      if (Fault != framing_fault::None)
        return Fault;
    } else {
      // Behind 101 the connection does not speak HTTP, which no request asks
      // for.
      const unsigned Status = Head.result_int();
      const bool IsInterim = Status >= FirstStatus &&
                             Status < FirstFinalStatus &&
                             Status != StatusSwitchingProtocols;
      if (!IsInterim && !isFinalStatus(Status))
        return framing_fault::StatusCode;
      if (this->skip() || IsInterim || hasNoBody(static_cast<int>(Status)))
        return framing_fault::None;
    }
    if (Head.count(http::field::transfer_encoding) == 0)
      return framing_fault::None;
    const framing_fault Fault = transferCodingFault(Head, Head.version());
    // Both readings of the header must agree.
    return Fault == framing_fault::None && !this->chunked()
               ? framing_fault::TransferCoding
               : Fault;
  }

  framing_fault HeadFault = framing_fault::None;
};

/// The names of a message's hop-by-hop headers: the standard ones and those
/// that its Connection headers list, without those that are needed.
class connection_headers {
public:
  template <typename Fields> explicit connection_headers(const Fields &From) {
    const auto Lines = From.equal_range(http::field::connection);
    for (auto Line = Lines.first; Line != Lines.second; ++Line) {
      std::string_view List = toView(Line->value());
      while (!List.empty()) {
        const std::string_view Name = nextElement(List);
        if (!Name.empty() && !platform::isNeededHeader(Name))
          Named.emplace_back(Name);
      }
    }
  }

  bool contains(std::string_view Name) const {
    const auto Equals = [Name](std::string_view Other) {
      return equalNames(Name, Other);
    };
    return std::any_of(ConnectionHeaders.begin(), ConnectionHeaders.end(),
                       Equals) ||
           std::any_of(Named.begin(), Named.end(), Equals);
  }

private:
  std::vector<std::string> Named;
};

template <typename Fields> header_list endToEndHeaders(const Fields &From) {
  const connection_headers Skipped(From);
  header_list Headers;
  for (const auto &Field : From) {
    if (!Skipped.contains(toView(Field.name_string())))
      Headers.add(toView(Field.name_string()), toView(Field.value()));
  }
  return Headers;
}

/// Feeds \p Buffer to \p Parse until the message is complete, the buffer is
/// empty or an error occurs. Removes the consumed bytes from the buffer. The
/// parser must not be eager: it would read on behind a head whose check or
/// whose length has failed.
template <typename Parser>
decode_state feedParser(Parser &Parse, std::string &Buffer, bool &AnyBytesFed,
                        boost::system::error_code &Failure) {
  std::size_t Used = 0;
  while (Used < Buffer.size() && !Parse.is_done()) {
    AnyBytesFed = true;
    const std::size_t Count = Parse.put(
        const_buffer(Buffer.data() + Used, Buffer.size() - Used), Failure);
    Used += Count;
    if (Failure == http::error::need_more) {
      Failure = {};
      break;
    }
    if (Failure)
      break;
  }
  Buffer.erase(0, Used);
  if (Failure)
    return decode_state::Failed;
  return Parse.is_done() ? decode_state::Complete : decode_state::NeedMore;
}

} // namespace

struct request_decoder::parser {
  strict_parser<true> Parse;
  std::size_t MaxUnparsedBytes = 0;
};

request_decoder::request_decoder(const message_limits &Limits)
    : Parser(std::make_unique<parser>()) {
  Parser->Parse.header_limit(Limits.HeaderBytes);
  Parser->Parse.body_limit(Limits.BodyBytes);
  Parser->MaxUnparsedBytes = Limits.HeaderBytes;
}

request_decoder::~request_decoder() = default;

decode_state request_decoder::feed(std::string &Buffer) {
  // Some clients send an empty line behind a body (RFC 9112, 2.2).
  constexpr std::string_view EmptyLine = "\r\n";
  if (!IsStartRead && Buffer == EmptyLine.substr(0, 1)) {
    AnyBytesFed = true;
    return decode_state::NeedMore;
  }
  if (!std::exchange(IsStartRead, true) && Buffer.starts_with(EmptyLine))
    Buffer.erase(0, EmptyLine.size());
  boost::system::error_code Failure;
  const decode_state State =
      feedParser(Parser->Parse, Buffer, AnyBytesFed, Failure);
  if (State == decode_state::Failed) {
    const framing_fault HeadFault = Parser->Parse.headFault();
    Fault = HeadFault == framing_fault::None ? faultOf(Failure) : HeadFault;
  } else if (State == decode_state::NeedMore &&
             Buffer.size() > Parser->MaxUnparsedBytes) {
    Fault = framing_fault::HeadTooLarge;
  }
  if (Fault != framing_fault::None) {
    FailureStatus = statusOf(Fault);
    return decode_state::Failed;
  }
  return State;
}

http_request_message request_decoder::takeMessage() {
  http::request<http::string_body> Request = Parser->Parse.release();
  http_request_message Message;
  Message.Method = toView(Request.method_string());
  Message.Target = toView(Request.target());
  Message.Headers = endToEndHeaders(Request);
  if (const auto Absolute = readAbsoluteTarget(toView(Request.target()))) {
    // The Host header is to be ignored in favour of the target.
    Message.Headers.set("Host", Absolute->Host);
    Message.Target = Absolute->Path;
    if (!Absolute->Path.starts_with('/'))
      Message.Target.insert(0, 1, '/');
  }
  Message.Body = std::move(Request.body());
  return Message;
}

http_request_message request_decoder::head() const {
  const http::request<http::string_body> &Request = Parser->Parse.get();
  http_request_message Message;
  Message.Method = toView(Request.method_string());
  Message.Target = toView(Request.target());
  Message.Headers = endToEndHeaders(Request);
  return Message;
}

bool request_decoder::isHeaderComplete() const {
  return Parser->Parse.is_header_done();
}

std::size_t request_decoder::bodyBytes() const {
  return Parser->Parse.get().body().size();
}

std::size_t request_decoder::missingBodyBytes() const {
  const auto Length = Parser->Parse.content_length_remaining();
  return isHeaderComplete() && Length ? static_cast<std::size_t>(*Length) : 0;
}

bool request_decoder::keepsAlive() const { return Parser->Parse.keep_alive(); }

bool request_decoder::expectsContinue() const {
  return isHeaderComplete() && !Parser->Parse.is_done() &&
         boost::beast::iequals(Parser->Parse.get()[http::field::expect],
                               "100-continue");
}

struct response_decoder::parser {
  strict_parser<false> Parse;
};

response_decoder::response_decoder(const message_limits &Limits,
                                   bool IsHeadRequest)
    : Limits(Limits), IsHeadRequest(IsHeadRequest) {
  restart();
}

response_decoder::~response_decoder() = default;

void response_decoder::restart() {
  HeadReported = false;
  Parser = std::make_unique<parser>();
  Parser->Parse.skip(IsHeadRequest);
  Parser->Parse.header_limit(Limits.HeaderBytes);
  Parser->Parse.body_limit(Limits.BodyBytes);
}

void response_decoder::reportHead() {
  if (HeadReported || !OnHead || !Parser->Parse.is_header_done())
    return;
  HeadReported = true;
  header_list Headers;
  for (const auto &Field : Parser->Parse.get())
    Headers.add(toView(Field.name_string()), toView(Field.value()));
  OnHead(static_cast<int>(Parser->Parse.get().result_int()), Headers);
}

decode_state response_decoder::feed(std::string &Buffer) {
  while (true) {
    boost::system::error_code Failure;
    const decode_state State =
        feedParser(Parser->Parse, Buffer, AnyBytesFed, Failure);
    if (State == decode_state::Failed) {
      const framing_fault HeadFault = Parser->Parse.headFault();
      Fault = HeadFault == framing_fault::None ? faultOf(Failure) : HeadFault;
      if (HeadFault == framing_fault::None)
        reportHead();
      return State;
    }
    reportHead();
    // The parser keeps chunk extensions and trailers unread until they end.
    if (State == decode_state::NeedMore && Buffer.size() > Limits.HeaderBytes) {
      Fault = framing_fault::HeadTooLarge;
      return decode_state::Failed;
    }
    const bool IsInterim = State == decode_state::Complete &&
                           Parser->Parse.get().result_int() < FirstFinalStatus;
    if (!IsInterim)
      return State;
    if (++InterimResponses > MaxInterimResponses) {
      Fault = framing_fault::StatusCode;
      return decode_state::Failed;
    }
    restart();
    if (Buffer.empty())
      return decode_state::NeedMore;
  }
}

decode_state response_decoder::endOfInput() {
  if (!AnyBytesFed || !Parser->Parse.is_header_done())
    return decode_state::Failed;
  boost::system::error_code Failure;
  Parser->Parse.put_eof(Failure);
  return !Failure && Parser->Parse.is_done() ? decode_state::Complete
                                             : decode_state::Failed;
}

http_response_message response_decoder::takeMessage() {
  http::response<http::string_body> Response = Parser->Parse.release();
  http_response_message Message;
  Message.Status = static_cast<int>(Response.result_int());
  Message.Headers = endToEndHeaders(Response);
  Message.Body = std::move(Response.body());
  return Message;
}

std::size_t response_decoder::bodyBytes() const {
  return Parser->Parse.get().body().size();
}

std::size_t response_decoder::heldBytes() const {
  return Parser->Parse.get().body().capacity();
}

bool response_decoder::isLengthKnown() const {
  return Parser->Parse.is_header_done() &&
         Parser->Parse.content_length().has_value();
}

bool response_decoder::keepsAlive() const {
  return Parser->Parse.keep_alive() && !announcesStrayBody();
}

/// Returns true if the server may send a body although the status allows none.
bool response_decoder::announcesStrayBody() const {
  const auto &Head = Parser->Parse.get();
  if (Head.result_int() != StatusNoContent)
    return false;
  return Head.count(http::field::transfer_encoding) > 0 ||
         Parser->Parse.content_length().value_or(0) > 0;
}

std::optional<std::chrono::seconds> response_decoder::idleTimeout() const {
  const std::string_view Text =
      toView(Parser->Parse.get()[http::field::keep_alive]);
  constexpr std::string_view Key = "timeout=";
  const std::size_t At = Text.find(Key);
  if (At == std::string_view::npos)
    return std::nullopt;
  int Seconds = 0;
  const char *Begin = Text.data() + At + Key.size();
  if (std::from_chars(Begin, Text.data() + Text.size(), Seconds).ptr == Begin)
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

namespace {

/// Room for what the gateway writes behind the headers, except for a host.
constexpr std::size_t RoomBehindHeaders = 64;

/// Appends \p Headers, and makes room for \p MoreBytes behind them.
void appendHeaders(std::string &Bytes, const header_list &Headers,
                   std::size_t MoreBytes) {
  // Room is made once: growing step by step copies the head several times.
  std::size_t Room = Bytes.size() + MoreBytes;
  for (const auto &[Name, Value] : Headers.all())
    Room += Name.size() + Value.size() + std::string_view(": \r\n").size();
  Bytes.reserve(Room);
  // Appended piece by piece: this runs for each header of each message, and
  // formatting took a fifth of the instructions of a request.
  for (const auto &[Name, Value] : Headers.all()) {
    Bytes += Name;
    Bytes += ": ";
    Bytes += Value;
    Bytes += "\r\n";
  }
}

} // namespace

std::string encodeRequestHead(const http_request_message &Request,
                              const std::string &Host) {
  std::string Bytes =
      fmt::format("{} {} HTTP/1.1\r\n", Request.Method, Request.Target);
  appendHeaders(Bytes, Request.Headers, RoomBehindHeaders + Host.size());
  if (!Request.Headers.has("Host"))
    Bytes += fmt::format("Host: {}\r\n", Host);
  const bool HasBody = !Request.Body.empty() || Request.Method == "POST" ||
                       Request.Method == "PUT" || Request.Method == "PATCH";
  if (HasBody)
    Bytes += fmt::format("Content-Length: {}\r\n", Request.Body.size());
  Bytes += "\r\n";
  return Bytes;
}

std::string encodeRequest(const http_request_message &Request,
                          const std::string &Host) {
  std::string Bytes = encodeRequestHead(Request, Host);
  Bytes += Request.Body.view();
  return Bytes;
}

std::string encodeResponseHead(const http_response_message &Response,
                               bool IsHeadRequest, bool Close) {
  const auto Reason =
      http::obsolete_reason(static_cast<http::status>(Response.Status));
  std::string Bytes =
      fmt::format("HTTP/1.1 {} {}\r\n", Response.Status, toView(Reason));
  appendHeaders(Bytes, Response.Headers, RoomBehindHeaders);
  if (!IsHeadRequest && !hasNoBody(Response.Status))
    Bytes += fmt::format("Content-Length: {}\r\n", Response.Body.size());
  if (Close)
    Bytes += "Connection: close\r\n";
  Bytes += "\r\n";
  return Bytes;
}

std::string encodeResponse(const http_response_message &Response,
                           bool IsHeadRequest, bool Close) {
  std::string Bytes = encodeResponseHead(Response, IsHeadRequest, Close);
  if (!IsHeadRequest)
    Bytes += Response.Body.view();
  return Bytes;
}

} // namespace agatedale
