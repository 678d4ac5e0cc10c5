/// \file
/// Tests of backend_connection with servers that cut or repeat answers.
#include "../../src/node/backend_connection.h"

#include "../../src/node/node_clock.h"

#include <Poco/Net/ServerSocket.h>
#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

using namespace agatedale;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds AttemptTimeout{300};
constexpr std::int64_t BufferBytes = 1 << 20;

/// How a server goes on after its last bytes.
enum class ending { Closes, Resets, StaysSilent };

void readRequest(Poco::Net::StreamSocket &Socket) {
  std::string Text;
  while (Text.find("\r\n\r\n") == std::string::npos) {
    std::array<char, 4096> Bytes; // NOLINT: filled by receiveBytes
    const int Count = Socket.receiveBytes(Bytes.data(), Bytes.size());
    if (Count <= 0)
      return;
    Text.append(Bytes.data(), static_cast<std::size_t>(Count));
  }
}

void write(Poco::Net::StreamSocket &Socket, const std::string &Bytes) {
  if (!Bytes.empty())
    Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()),
                     MSG_NOSIGNAL);
}

/// A connection whose server is the test.
struct connected_backend {
  connected_backend() {
    Poco::Net::ServerSocket Listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    Address = Listener.address().toString();
    Connection =
        moveValue(backend_connection::open(Address, milliseconds(1000)));
    Server = Listener.acceptConnection();
  }

  /// Sends a request that the server answers with \p Answer.
  attempt_result run(const std::string &Method, const std::string &Answer,
                     std::optional<ending> Ending = std::nullopt) {
    std::thread Thread([&] {
      readRequest(Server);
      write(Server, Answer);
      if (Ending == ending::Resets)
        Server.setLinger(true, 0);
      if (Ending && Ending != ending::StaysSilent)
        Server.close();
    });
    send_action Order;
    Order.Address = Address;
    Order.Deadline = monotonicNow() + AttemptTimeout;
    node_request Request;
    Request.Id = "a";
    Request.Method = Method;
    Request.Path = "/x";
    attempt_hooks Hooks;
    Hooks.MaySend = [] { return true; };
    Hooks.BodyBegins = [] {};
    Hooks.MayStream = [] { return false; };
    attempt_result Result =
        runAttempt(*Connection, Order, Request, Hooks, nullptr, BufferBytes);
    Thread.join();
    return Result;
  }

  std::string Address;
  std::shared_ptr<backend_connection> Connection;
  Poco::Net::StreamSocket Server;
};

bool isWholeAnswer(const attempt_result &Result) {
  return Result.Outcome == attempt_outcome::Answered ||
         Result.Outcome == attempt_outcome::ErrorAnswer ||
         Result.Outcome == attempt_outcome::Shed ||
         Result.Outcome == attempt_outcome::Draining;
}

const std::string WithLength =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Last: 1\r\n\r\nhello";
const std::string Empty =
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Last: 1\r\n\r\n";
const std::string Chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
const std::string NoContent = "HTTP/1.1 204 No Content\r\nX-Last: 1\r\n\r\n";
const std::string Refusal =
    "HTTP/1.1 503 Service Unavailable\r\nRequest-Not-Run: draining\r\n"
    "Content-Length: 0\r\n\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(backend_connection_test)

BOOST_AUTO_TEST_CASE(WholeAnswersAreTaken) {
  for (const std::string &Answer :
       {WithLength, Empty, Chunked, NoContent, Refusal,
        "HTTP/1.1 100 Continue\r\n\r\n" + WithLength}) {
    connected_backend Backend;
    BOOST_TEST(isWholeAnswer(Backend.run("GET", Answer)), Answer);
  }
  connected_backend Backend;
  BOOST_TEST(Backend.run("GET", Chunked).Answer.Body == "hello world");
  BOOST_TEST(isWholeAnswer(Backend.run("HEAD", Empty)));
  BOOST_TEST(isWholeAnswer(Backend.run("GET", WithLength, ending::Closes)));
}

BOOST_AUTO_TEST_CASE(AnswerCutAtAnyByteIsNotWhole) {
  for (const std::string &Answer :
       {WithLength, Empty, Chunked, NoContent, Refusal,
        "HTTP/1.1 100 Continue\r\n\r\n" + WithLength}) {
    for (std::size_t Cut = 0; Cut < Answer.size(); ++Cut) {
      for (const ending Ending : {ending::Closes, ending::Resets}) {
        connected_backend Backend;
        const attempt_result Result =
            Backend.run("GET", Answer.substr(0, Cut), Ending);
        BOOST_TEST(!isWholeAnswer(Result),
                   Answer.substr(0, Cut) << "| as " << Result.Answer.Status);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(AnswerToHeadCutAtAnyByteIsNotWhole) {
  const std::string Head = WithLength.substr(0, WithLength.size() - 5);
  for (std::size_t Cut = 0; Cut < Head.size(); ++Cut) {
    connected_backend Backend;
    BOOST_TEST(!isWholeAnswer(
                   Backend.run("HEAD", Head.substr(0, Cut), ending::Closes)),
               Head.substr(0, Cut));
  }
}

BOOST_AUTO_TEST_CASE(AnswerThatStopsUntilTheDeadlineIsNotWhole) {
  for (const std::string &Answer :
       {WithLength.substr(0, 20), Empty.substr(0, Empty.size() - 4),
        Chunked.substr(0, Chunked.size() - 10),
        Chunked.substr(0, Chunked.size() - 5)}) {
    connected_backend Backend;
    BOOST_TEST(!isWholeAnswer(Backend.run("GET", Answer, ending::StaysSilent)),
               Answer);
  }
}

BOOST_AUTO_TEST_CASE(AnswerWithAMalformedLengthOrStatusIsNotWhole) {
  for (const std::string &Rest :
       {"200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
        "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n\r\n",
        "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz0\r\n\r\n",
        "200 OK\r\nContent-Length: -1\r\n\r\n",
        "200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n",
        "20 OK\r\nContent-Length: 0\r\n\r\n",
        "2000 OK\r\nContent-Length: 0\r\n\r\n"}) {
    connected_backend Backend;
    BOOST_TEST(!isWholeAnswer(Backend.run("GET", "HTTP/1.1 " + Rest)), Rest);
  }
}

// The second answer may be in the same packet as the first one.
BOOST_AUTO_TEST_CASE(BytesBehindAnAnswerMakeTheConnectionStale) {
  for (const std::size_t Bytes : {std::size_t{1}, Refusal.size()}) {
    connected_backend Backend;
    const attempt_result Result =
        Backend.run("GET", WithLength + Refusal.substr(0, Bytes));
    BOOST_TEST(isWholeAnswer(Result));
    BOOST_TEST(Backend.Connection->isStale());
  }
  connected_backend Backend;
  BOOST_TEST(isWholeAnswer(Backend.run("GET", WithLength)));
  BOOST_TEST(!Backend.Connection->isStale());
}

BOOST_AUTO_TEST_SUITE_END()
