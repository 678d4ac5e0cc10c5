/// \file
/// Table of unusual message heads, valid and invalid ones. Guards against
/// requests and responses whose length or target can be read in two ways, which
/// allows request smuggling, and against refusing valid messages.
#include "../../src/gateway/http_codec.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace agatedale;

namespace {

constexpr int Accepted = 0;

struct odd_head {
  const char *Name;
  std::string Bytes;
  int Status = Accepted; ///< Of the refusal.
  const char *Body = ""; ///< Of an accepted message.
};

struct decoded {
  decode_state State = decode_state::NeedMore;
  int Status = Accepted;
  http_request_message Request;
  std::string Rest; ///< Bytes behind the message.
};

decoded decodeRequest(const std::string &Bytes, std::size_t PieceBytes) {
  request_decoder Decoder({4096, 1000});
  decoded Result;
  for (std::size_t At = 0;
       At < Bytes.size() && Result.State == decode_state::NeedMore;
       At += PieceBytes) {
    Result.Rest += Bytes.substr(At, PieceBytes);
    Result.State = Decoder.feed(Result.Rest);
  }
  if (Result.State == decode_state::Complete)
    Result.Request = Decoder.takeMessage();
  Result.Status = Decoder.failureStatus();
  return Result;
}

void checkRequests(const std::vector<odd_head> &Table) {
  for (const odd_head &Head : Table) {
    for (const std::size_t PieceBytes : {std::size_t{1}, std::size_t{4096}}) {
      const decoded Result = decodeRequest(Head.Bytes, PieceBytes);
      const bool IsComplete = Result.State == decode_state::Complete;
      BOOST_TEST(IsComplete == (Head.Status == Accepted),
                 Head.Name << ": complete " << IsComplete << ", status "
                           << Result.Status);
      BOOST_TEST(Result.Status == Head.Status,
                 Head.Name << ": status " << Result.Status << ", expected "
                           << Head.Status);
      if (IsComplete)
        BOOST_TEST(Result.Request.Body == Head.Body,
                   Head.Name << ": body " << Result.Request.Body);
    }
  }
}

/// A POST with \p Headers and the bytes \p Rest behind its head.
std::string post(const std::string &Headers, const std::string &Rest = "") {
  return "POST /orders/x HTTP/1.1\r\nHost: shop.example\r\n" + Headers +
         "\r\n" + Rest;
}

std::string get(const std::string &Target, const std::string &Headers = "",
                const std::string &Version = "HTTP/1.1") {
  return "GET " + Target + " " + Version + "\r\nHost: shop.example\r\n" +
         Headers + "\r\n";
}

std::string headersOf(const http_request_message &Request) {
  std::string Text;
  for (const auto &[Name, Value] : Request.Headers.all())
    Text.append(Name).append(":").append(Value).append("|");
  return Text;
}

const std::string Chunks = "3\r\nabc\r\n0\r\n\r\n";

} // namespace

BOOST_TEST_DONT_PRINT_LOG_VALUE(decode_state)

BOOST_AUTO_TEST_SUITE(strict_framing_test)

// A body whose length is not known would run as the next request.
BOOST_AUTO_TEST_CASE(TransferCodingOfARequest) {
  checkRequests({
      {"chunked", post("Transfer-Encoding: chunked\r\n", Chunks), Accepted,
       "abc"},
      {"chunked in capitals", post("Transfer-Encoding: Chunked\r\n", Chunks),
       Accepted, "abc"},
      {"chunked after whitespace",
       post("Transfer-Encoding: \t chunked \r\n", Chunks), Accepted, "abc"},
      {"gzip", post("Transfer-Encoding: gzip\r\n", "abc"), 400},
      {"identity", post("Transfer-Encoding: identity\r\n", "abc"), 400},
      {"x-chunked", post("Transfer-Encoding: x-chunked\r\n", Chunks), 400},
      {"chunked in quotes", post("Transfer-Encoding: \"chunked\"\r\n", Chunks),
       400},
      {"chunked with a parameter",
       post("Transfer-Encoding: chunked;q=1\r\n", Chunks), 400},
      {"chunked in a parameter",
       post("Transfer-Encoding: gzip;a=\", chunked\"\r\n", Chunks), 400},
      {"empty coding", post("Transfer-Encoding:\r\n", Chunks), 400},
      {"empty list", post("Transfer-Encoding: ,\r\n", Chunks), 400},
      {"gzip, chunked", post("Transfer-Encoding: gzip, chunked\r\n", Chunks),
       501},
      {"gzip, chunked in two lines",
       post("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
            Chunks),
       501},
      {"chunked, gzip", post("Transfer-Encoding: chunked, gzip\r\n", Chunks),
       400},
      {"chunked, gzip in two lines",
       post("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
            Chunks),
       400},
      {"chunked twice", post("Transfer-Encoding: chunked, chunked\r\n", Chunks),
       400},
      {"chunked twice in two lines",
       post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            Chunks),
       400},
      {"gzip, chunked, chunked",
       post("Transfer-Encoding: gzip, chunked, chunked\r\n", Chunks), 400},
      {"two words", post("Transfer-Encoding: chunked x\r\n", Chunks), 400},
      {"chunked with a length",
       post("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", Chunks),
       400},
      {"length with chunked",
       post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", Chunks),
       400},
      {"gzip with a length",
       post("Transfer-Encoding: gzip\r\nContent-Length: 3\r\n", "abc"), 400},
      {"coding in HTTP/1.0",
       "POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunks, 400},
      {"space before the colon",
       post("Transfer-Encoding : chunked\r\n", Chunks), 400},
      {"vertical tab before chunked",
       post("Transfer-Encoding: \vchunked\r\n", Chunks), 400},
  });
}

// The head alone decides: nothing of the body is awaited.
BOOST_AUTO_TEST_CASE(RequestIsRefusedAtTheEndOfItsHead) {
  for (const std::string &Coding : {"gzip", "gzip, chunked"}) {
    const decoded Result =
        decodeRequest(post("Transfer-Encoding: " + Coding + "\r\n"), 4096);
    BOOST_TEST((Result.State == decode_state::Failed), Coding);
  }
}

BOOST_AUTO_TEST_CASE(LengthOfARequest) {
  checkRequests({
      {"length", post("Content-Length: 3\r\n", "abc"), Accepted, "abc"},
      {"length of zero", post("Content-Length: 0\r\n"), Accepted, ""},
      {"no length", post(""), Accepted, ""},
      {"leading zeros", post("Content-Length: 003\r\n", "abc"), Accepted,
       "abc"},
      // RFC 9110, 8.6 allows a repeated equal length.
      {"equal lengths",
       post("Content-Length: 3\r\nContent-Length: 3\r\n", "abc"), Accepted,
       "abc"},
      {"list of equal lengths", post("Content-Length: 3, 3\r\n", "abc"),
       Accepted, "abc"},
      {"different lengths",
       post("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"), 400},
      {"list of different lengths", post("Content-Length: 3, 4\r\n", "abcd"),
       400},
      {"signed length", post("Content-Length: +3\r\n", "abc"), 400},
      {"negative length", post("Content-Length: -3\r\n", "abc"), 400},
      {"hexadecimal length", post("Content-Length: 0x3\r\n", "abc"), 400},
      {"length with a fraction", post("Content-Length: 3.0\r\n", "abc"), 400},
      {"two numbers", post("Content-Length: 3 3\r\n", "abc"), 400},
      {"empty length", post("Content-Length:\r\n", "abc"), 400},
      {"length over 64 bits",
       post("Content-Length: 18446744073709551619\r\n", "abc"), 400},
      {"length over the limit", post("Content-Length: 1001\r\n", "abc"), 413},
  });
}

BOOST_AUTO_TEST_CASE(ChunksOfARequest) {
  const auto Chunked = [](const std::string &Rest) {
    return post("Transfer-Encoding: chunked\r\n", Rest);
  };
  checkRequests({
      {"extension", Chunked("3;a=b;c=\"d e\"\r\nabc\r\n0\r\n\r\n"), Accepted,
       "abc"},
      {"hexadecimal size", Chunked("00a\r\n0123456789\r\n0\r\n\r\n"), Accepted,
       "0123456789"},
      {"no chunk", Chunked("0\r\n\r\n"), Accepted, ""},
      {"trailer", Chunked("3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n"), Accepted,
       "abc"},
      {"size with 0x", Chunked("0x3\r\nabc\r\n0\r\n\r\n"), 400},
      {"signed size", Chunked("+3\r\nabc\r\n0\r\n\r\n"), 400},
      {"negative size", Chunked("-3\r\nabc\r\n0\r\n\r\n"), 400},
      {"space before the size", Chunked(" 3\r\nabc\r\n0\r\n\r\n"), 400},
      {"empty size", Chunked("\r\nabc\r\n0\r\n\r\n"), 400},
      {"size over 64 bits", Chunked("10000000000000003\r\nabc\r\n0\r\n\r\n"),
       400},
      {"chunk longer than its size", Chunked("3\r\nabcd\r\n0\r\n\r\n"), 400},
      {"line feed behind the size", Chunked("3\nabc\r\n0\r\n\r\n"), 400},
      {"line feed behind the chunk", Chunked("3\r\nabc\n0\r\n\r\n"), 400},
      {"line feed in an extension", Chunked("3;a=\"\n\"\r\nabc\r\n0\r\n\r\n"),
       400},
      {"length in the trailer",
       Chunked("3\r\nabc\r\n0\r\nContent-Length: 3\r\n\r\n"), 400},
      {"coding in the trailer",
       Chunked("3\r\nabc\r\n0\r\nTransfer-Encoding: gzip\r\n\r\n"), 400},
      {"chunks over the limit",
       Chunked("3e8\r\n" + std::string(1000, 'x') + "\r\n1\r\nx\r\n0\r\n\r\n"),
       413},
  });
}

// Two servers that choose differently among hosts serve different requests.
BOOST_AUTO_TEST_CASE(HostOfARequest) {
  const auto Hosts = [](const std::string &Lines) {
    return "GET /x HTTP/1.1\r\n" + Lines + "\r\n";
  };
  checkRequests({
      {"host", Hosts("Host: shop.example\r\n"), Accepted},
      {"host with a port", Hosts("Host: shop.example:8080\r\n"), Accepted},
      {"address", Hosts("Host: [::1]:8080\r\n"), Accepted},
      {"empty host", Hosts("Host:\r\n"), Accepted},
      {"no host", Hosts(""), 400},
      {"no host in HTTP/1.0", "GET /x HTTP/1.0\r\n\r\n", Accepted},
      {"two hosts", Hosts("Host: shop.example\r\nHost: other.example\r\n"),
       400},
      {"two equal hosts", Hosts("Host: shop.example\r\nhost: shop.example\r\n"),
       400},
      {"two hosts in HTTP/1.0", "GET /x HTTP/1.0\r\nHost: a\r\nHost: b\r\n\r\n",
       400},
      {"list of hosts", Hosts("Host: shop.example, other.example\r\n"), 400},
      {"host with a path", Hosts("Host: shop.example/x\r\n"), 400},
      {"host with a user", Hosts("Host: me@shop.example\r\n"), 400},
      {"host with a port that is no number", Hosts("Host: shop.example:x\r\n"),
       400},
      {"host with two ports", Hosts("Host: shop.example:1:2\r\n"), 400},
      {"host behind a fold", Hosts("Host:\r\n shop.example\r\n"), Accepted},
      {"space before the colon of the host", Hosts("Host : shop.example\r\n"),
       400},
  });
}

BOOST_AUTO_TEST_CASE(StartLineAndHeadersOfARequest) {
  checkRequests({
      {"query", get("/x?a=b%20c"), Accepted},
      {"bytes above 127", get("/caf\xe9\xff"), Accepted},
      {"empty header", get("/x", "X-Empty:\r\n"), Accepted},
      {"folded header", get("/x", "X-Long: a\r\n b\r\n"), Accepted},
      {"empty line ahead", "\r\n" + get("/x"), Accepted},
      {"list with empty elements", get("/x", "Connection: , close,\r\n"),
       Accepted},
      {"absolute target", get("http://shop.example/x"), Accepted},
      {"all of the server", "OPTIONS * HTTP/1.1\r\nHost: shop.example\r\n\r\n",
       Accepted},
      {"asterisk of a GET", get("*"), 400},
      {"target without a slash", get("x"), 400},
      {"absolute target without a host", get("http:///x"), 400},
      {"absolute target with a user", get("http://me@shop.example/x"), 400},
      {"authority as the target",
       "CONNECT shop.example:80 HTTP/1.1\r\nHost: shop.example:80\r\n\r\n",
       400},
      {"two empty lines ahead", "\r\n\r\n" + get("/x"), 400},
      {"space in the target", get("/x y"), 400},
      {"control character in the target", get("/x\x01"), 400},
      {"two spaces ahead of the target", get(" /x"), 400},
      {"space ahead of the method", " " + get("/x"), 400},
      {"no version", "GET /x\r\nHost: shop.example\r\n\r\n", 400},
      {"version 2.0", get("/x", "", "HTTP/2.0"), 400},
      {"version in small letters", get("/x", "", "http/1.1"), 400},
      // The end of the head is awaited before it is read.
      {"line feeds only", "GET /x HTTP/1.1\nHost: shop.example\n\n\r\n\r\n",
       400},
      {"line feed behind a header", get("/x", "X-A: a\nX-B: b\r\n"), 400},
      {"carriage return in a header", get("/x", "X-A: a\rb\r\n"), 400},
      {"null byte in a header", get("/x", std::string("X-A: a\0b\r\n", 10)),
       400},
      {"null byte in a name", get("/x", std::string("X\0A: a\r\n", 8)), 400},
      {"header without a name", get("/x", ": a\r\n"), 400},
      {"header without a colon", get("/x", "X-A\r\n"), 400},
      {"space in a name", get("/x", "X A: a\r\n"), 400},
      {"byte above 127 in a name", get("/x", "X-\xe9: a\r\n"), 400},
      {"fold ahead of the headers", "GET /x HTTP/1.1\r\n X-A: a\r\n\r\n", 400},
      {"Connection that is no list", get("/x", "Connection: a b\r\n"), 400},
      {"head over the limit", get("/x", "X: " + std::string(5000, 'x')), 431},
  });
}

BOOST_AUTO_TEST_CASE(BytesBehindARequestStay) {
  const std::string Next = get("/next");
  for (const std::string &First :
       {get("/x"), post("Content-Length: 3\r\n", "abc"),
        post("Transfer-Encoding: chunked\r\n", Chunks)})
    BOOST_TEST(decodeRequest(First + Next, 4096).Rest == Next, First);
}

// A header behind the body would pass what was checked in the head.
BOOST_AUTO_TEST_CASE(TrailersDoNotBecomeHeaders) {
  const decoded Result =
      decodeRequest(post("Transfer-Encoding: chunked\r\n",
                         "0\r\nHost: other.example\r\nX-Late: 1\r\n\r\n"),
                    4096);
  BOOST_TEST((Result.State == decode_state::Complete));
  BOOST_TEST(headersOf(Result.Request) == "Host:shop.example|");
}

// RFC 9112, 3.2.2: the target's host counts, not the header's.
BOOST_AUTO_TEST_CASE(AbsoluteTargetIsSplitIntoHostAndPath) {
  for (const auto &[Target, Host, Path] :
       {std::tuple("http://a.example/x?q=1", "a.example", "/x?q=1"),
        std::tuple("HTTPS://a.example:81", "a.example:81", "/"),
        std::tuple("http://a.example?q=1", "a.example", "/?q=1")}) {
    const decoded Result = decodeRequest(get(Target), 4096);
    BOOST_TEST((Result.State == decode_state::Complete), Target);
    BOOST_TEST(Result.Request.Target == Path, Result.Request.Target);
    BOOST_TEST(Result.Request.Headers.get("Host") == Host, Target);
  }
}

// Otherwise the bytes of the body would be served as the next request.
BOOST_AUTO_TEST_CASE(LengthThatConnectionNamesCounts) {
  const decoded Result = decodeRequest(
      post("Connection: Content-Length\r\nContent-Length: 3\r\n", "abcd"),
      4096);
  BOOST_TEST((Result.State == decode_state::Complete));
  BOOST_TEST(Result.Request.Body == "abc");
  BOOST_TEST(Result.Rest == "d");
}

namespace {

struct odd_response {
  const char *Name;
  std::string Bytes;
  bool IsComplete = true;
  bool KeepsAlive = true;
  bool IsHeadRequest = false;
};

/// Feeds \p Response and ends the input.
void checkResponse(const odd_response &Response, std::size_t PieceBytes) {
  response_decoder Decoder({4096, 1000}, Response.IsHeadRequest);
  std::string Buffer;
  decode_state State = decode_state::NeedMore;
  for (std::size_t At = 0;
       At < Response.Bytes.size() && State == decode_state::NeedMore;
       At += PieceBytes) {
    Buffer += Response.Bytes.substr(At, PieceBytes);
    State = Decoder.feed(Buffer);
  }
  if (State == decode_state::NeedMore)
    State = Decoder.endOfInput();
  BOOST_TEST((State == decode_state::Complete) == Response.IsComplete,
             Response.Name);
  if (Response.IsComplete && State == decode_state::Complete)
    BOOST_TEST(Decoder.keepsAlive() == Response.KeepsAlive, Response.Name);
}

std::string ok(const std::string &Headers, const std::string &Rest = "") {
  return "HTTP/1.1 200 OK\r\n" + Headers + "\r\n" + Rest;
}

} // namespace

// A body of unknown length would be delivered cut or with foreign bytes.
BOOST_AUTO_TEST_CASE(FramingOfResponses) {
  const std::vector<odd_response> Table{
      {"length", ok("Content-Length: 3\r\n", "abc")},
      {"chunked", ok("Transfer-Encoding: chunked\r\n", Chunks)},
      {"until the end", ok("", "abc"), true, false},
      {"gzip", ok("Transfer-Encoding: gzip\r\n", "abc"), false},
      {"identity", ok("Transfer-Encoding: identity\r\n", "abc"), false},
      {"x-chunked", ok("Transfer-Encoding: x-chunked\r\n", Chunks), false},
      {"gzip, chunked", ok("Transfer-Encoding: gzip, chunked\r\n", Chunks),
       false},
      {"gzip, chunked in two lines",
       ok("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", Chunks),
       false},
      {"chunked, gzip", ok("Transfer-Encoding: chunked, gzip\r\n", Chunks),
       false},
      {"empty coding", ok("Transfer-Encoding:\r\n", Chunks), false},
      {"chunked twice", ok("Transfer-Encoding: chunked, chunked\r\n", Chunks),
       false},
      {"chunked with a length",
       ok("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", Chunks),
       false},
      {"length with chunked",
       ok("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", Chunks),
       false},
      {"coding in HTTP/1.0",
       "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunks, false},
      {"different lengths",
       ok("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"), false},
      {"equal lengths",
       ok("Content-Length: 3\r\nContent-Length: 3\r\n", "abc")},
      {"line feed in an extension",
       ok("Transfer-Encoding: chunked\r\n", "3;a=\"\n\"\r\nabc\r\n0\r\n\r\n"),
       false},
      {"length over the limit", ok("Content-Length: 1001\r\n", "abc"), false},
      // Beast reserves the announced length.
      {"length of a pebibyte",
       ok("Content-Length: 1125899906842624\r\n", "abc"), false},
      {"line feeds only", "HTTP/1.1 200 OK\nContent-Length: 0\n\n", false},
      {"header without a colon", ok("X-A\r\nContent-Length: 0\r\n"), false},
      {"space before the colon", ok("Content-Length : 0\r\n"), false},
      {"null byte in a header",
       ok(std::string("X-A: a\0b\r\n", 10) + "Content-Length: 0\r\n"), false},
      {"status 099",
       "HTTP/1.1 099 Low\r\nContent-Length: 0\r\n\r\n" +
           ok("Content-Length: 0\r\n"),
       false},
      {"status 000", "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", false},
      {"status 600", "HTTP/1.1 600 High\r\nContent-Length: 0\r\n\r\n", false},
      {"status 599", "HTTP/1.1 599 Last\r\nContent-Length: 0\r\n\r\n"},
      {"other protocol",
       "HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok("Content-Length: 0\r\n"),
       false},
      {"status of two digits", "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
       false},
      {"no HTTP", "OK 200\r\n\r\n", false},
      // There is no body, but the server may think otherwise.
      {"204 with a coding",
       "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n", true,
       false},
      {"204 with a length",
       "HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\n", true, false},
      {"204 with a length of zero",
       "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"},
      {"304 with a length",
       "HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n"},
      {"HEAD with chunked", ok("Transfer-Encoding: chunked\r\n"), true, true,
       true},
  };
  for (const odd_response &Response : Table) {
    checkResponse(Response, 1);
    checkResponse(Response, 4096);
  }
}

BOOST_AUTO_TEST_CASE(TrailersOfAResponseDoNotBecomeHeaders) {
  response_decoder Decoder({}, false);
  std::string Buffer =
      ok("Transfer-Encoding: chunked\r\n", "0\r\nX-Late: 1\r\n\r\n");
  BOOST_TEST((Decoder.feed(Buffer) == decode_state::Complete));
  BOOST_TEST(Decoder.takeMessage().Headers.all().size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
