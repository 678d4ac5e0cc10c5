/// \file
/// Tests of platform_client with answers that are cut or have odd entries.
#include "agatedale/platform_client.h"

#include <Poco/Net/ServerSocket.h>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <array>
#include <functional>
#include <string>
#include <thread>

using namespace agatedale;

namespace {

using client_call = std::function<void(platform_client &)>;

/// Runs \p Call against a platform that sends \p Answer and closes.
void callAnsweredWith(const std::string &Answer, const client_call &Call) {
  Poco::Net::ServerSocket Listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  const std::jthread Platform([&] {
    Poco::Net::StreamSocket Socket = Listener.acceptConnection();
    std::string Request;
    while (Request.find("\r\n\r\n") == std::string::npos) {
      std::array<char, 4096> Bytes; // NOLINT: filled by receiveBytes
      const int Count = Socket.receiveBytes(Bytes.data(), Bytes.size());
      if (Count <= 0)
        break;
      Request.append(Bytes.data(), static_cast<std::size_t>(Count));
    }
    if (!Answer.empty())
      Socket.sendBytes(Answer.data(), static_cast<int>(Answer.size()));
    Socket.shutdownSend();
    // Closing with unread bytes would reset the connection.
    std::array<char, 64> Rest; // NOLINT: filled by receiveBytes
    while (Socket.receiveBytes(Rest.data(), Rest.size()) > 0)
      continue;
  });
  platform_client Client = moveValue(platform_client::create(
      Listener.address().toString(), std::chrono::milliseconds(1000)));
  Call(Client);
}

std::string answerWith(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\nETag: \"17\"\r\n\r\n" + Body;
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_client_test)

BOOST_AUTO_TEST_CASE(AnswerCutAtAnyByteIsAnError) {
  const client_call Write = [](platform_client &Client) {
    BOOST_TEST(errorOf(Client.writeRow("x", "", 16)));
  };
  const client_call Read = [](platform_client &Client) {
    BOOST_TEST(errorOf(Client.readRow("x")));
  };
  const std::string Written = answerWith("");
  for (std::size_t Cut = 0; Cut < Written.size(); ++Cut) {
    callAnsweredWith(Written.substr(0, Cut), Write);
    callAnsweredWith(Written.substr(0, Cut), Read);
  }
  const std::string Row = answerWith("a value");
  for (std::size_t Cut = 0; Cut < Row.size(); ++Cut)
    callAnsweredWith(Row.substr(0, Cut), Read);
}

BOOST_AUTO_TEST_CASE(WholeAnswerIsRead) {
  callAnsweredWith(answerWith("a value"), [](platform_client &Client) {
    const result<table_row> Row = Client.readRow("x");
    BOOST_REQUIRE(!errorOf(Row));
    BOOST_TEST(valueOf(Row).Value == "a value");
    BOOST_TEST(valueOf(Row).Version == 17U);
  });
}

BOOST_AUTO_TEST_CASE(OddEntryOfTheListOfVmsHidesNoOther) {
  const std::string Good =
      R"({"name":"vm-1","ip":"10.0.0.1","zone":"a","state":"active"})";
  for (const std::string &Odd :
       {std::string("7"), std::string("null"), std::string("[]"),
        std::string("{}"),
        std::string(R"({"name":"vm-2","ip":"10.0.0.2","zone":"a"})"),
        std::string(R"({"name":"vm-2","ip":7,"zone":"a","state":"active"})")})
    callAnsweredWith(answerWith(fmt::format("[{},{}]", Odd, Good)),
                     [&Odd](platform_client &Client) {
                       const auto Vms = Client.listVms();
                       BOOST_REQUIRE_MESSAGE(!errorOf(Vms), Odd);
                       BOOST_REQUIRE(valueOf(Vms).size() == 1U);
                       BOOST_TEST(valueOf(Vms).front().Name == "vm-1");
                     });
}

// The whole list is unreadable, and the process goes on.
BOOST_AUTO_TEST_CASE(DeeplyNestedListOfVmsIsAnError) {
  for (const std::string &Deep :
       {std::string(60'000, '['),
        std::string(30'000, '[') + std::string(30'000, ']')})
    callAnsweredWith(answerWith(Deep), [](platform_client &Client) {
      BOOST_TEST(errorOf(Client.listVms()));
    });
}

BOOST_AUTO_TEST_SUITE_END()
