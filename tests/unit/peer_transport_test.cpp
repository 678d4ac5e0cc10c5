/// \file
/// Tests of calls between gateways.
#include "../../src/gateway/peer_transport.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>
#include <string>
#include <thread>

using namespace agatedale;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds CallTimeout{3000};
constexpr milliseconds TestTimeout{10'000};

/// Ports differ between cases, so that one can follow another at once.
std::uint16_t nextPort() {
  static std::uint16_t Next = 24'800;
  return Next++;
}

entry_vm vmAt(const std::string &Ip) {
  entry_vm Vm;
  Vm.Id = {"vm-" + Ip, 1};
  Vm.Ip = Ip;
  return Vm;
}

wire_gateway::Forward requestOf(std::size_t BodyBytes) {
  wire_gateway::Forward Message;
  Message.set_id("id-1");
  Message.set_body(std::string(BodyBytes, 'x'));
  return Message;
}

/// Two transports on one loop: a caller, and an owner that answers with the
/// size of the body unless the test keeps the requests back.
struct transport_pair {
  using reply = std::function<void(wire_gateway::Forwarded)>;

  transport_pair() : Loop(moveValue(event_loop::create())), Port(nextPort()) {
    peer_transport::handlers Handlers;
    Handlers.OnHeartbeat = [this](const wire_gateway::Heartbeat &Message) {
      HeartbeatAt = Requests;
      return Message;
    };
    Handlers.OnForward = [this](const wire_gateway::Forward &Message,
                                reply Done) {
      ++Requests;
      LastBodyBytes = Message.body().size();
      if (KeepsBack) {
        Kept = std::move(Done);
        return forward_ticket(Requests);
      }
      wire_gateway::Forwarded Answer;
      Answer.set_status(200);
      Answer.set_body(Message.body());
      Loop->post([Done, Answer] { Done(Answer); });
      return forward_ticket(Requests);
    };
    Handlers.OnCancel = [this](forward_ticket) { ++Cancelled; };
    Owner = moveValue(
        peer_transport::start(*Loop, "127.0.9.1", Port, std::move(Handlers)));
    Caller = moveValue(peer_transport::start(*Loop, "127.0.9.2", Port, {}));
  }

  /// Runs the loop until \p Holds or the test takes too long.
  bool runUntil(const std::function<bool()> &Holds) {
    const time_point End = bootNow() + TestTimeout;
    std::function<void()> Check = [&] {
      if (Holds() || bootNow() >= End)
        Loop->stop();
      else
        Loop->after(milliseconds(1), Check);
    };
    Check();
    Loop->run();
    return Holds();
  }

  peer_transport::cancel_call forward(const wire_gateway::Forward &Message,
                                      milliseconds Timeout = CallTimeout) {
    return Caller->forward(
        vmAt("127.0.9.1"), Message, Timeout,
        [this](const wire_gateway::Forwarded *Reply, peer_failure Reason) {
          ++Finished;
          if (Reply)
            Answer = *Reply;
          else
            Failure = Reason;
        });
  }

  void connect() {
    BOOST_REQUIRE(
        runUntil([this] { return Caller->isConnected(vmAt("127.0.9.1")); }));
  }

  std::unique_ptr<event_loop> Loop;
  std::uint16_t Port;
  std::unique_ptr<peer_transport> Owner;
  std::unique_ptr<peer_transport> Caller;
  bool KeepsBack = false;
  reply Kept;
  int Requests = 0;
  int HeartbeatAt = -1;
  int Cancelled = 0;
  std::size_t LastBodyBytes = 0;
  int Finished = 0;
  std::optional<wire_gateway::Forwarded> Answer;
  std::optional<peer_failure> Failure;
};

} // namespace

BOOST_AUTO_TEST_SUITE(peer_transport_test)

BOOST_AUTO_TEST_CASE(BodiesOfAllSizesCrossBothWays) {
  for (const std::size_t Bytes :
       {std::size_t{0}, MaxFramePayload - 64, MaxFramePayload,
        std::size_t{360 * 1024}, std::size_t{4 << 20}}) {
    transport_pair Test;
    Test.forward(requestOf(Bytes));
    BOOST_TEST(Test.runUntil([&] { return Test.Finished == 1; }));
    BOOST_REQUIRE(Test.Answer.has_value());
    BOOST_TEST(Test.Answer->body().size() == Bytes);
  }
}

BOOST_AUTO_TEST_CASE(SmallMessagesOvertakeALargeBody) {
  transport_pair Test;
  Test.connect();
  Test.forward(requestOf(32 << 20));
  bool HasReply = false;
  Test.Caller->heartbeat(
      vmAt("127.0.9.1"), {}, CallTimeout,
      [&HasReply](const wire_gateway::Heartbeat *) { HasReply = true; });
  BOOST_TEST(Test.runUntil([&] { return HasReply; }));
  BOOST_TEST(Test.HeartbeatAt == 0, "the large body arrived first");
  BOOST_TEST(Test.runUntil([&] { return Test.Finished == 1; }));
}

BOOST_AUTO_TEST_CASE(CancelOfAHalfSentRequestIsNotSentAndNeverRuns) {
  transport_pair Test;
  Test.connect();
  const auto Cancel = Test.forward(requestOf(64 << 20));
  Test.Loop->post(Cancel);
  BOOST_TEST(Test.runUntil([&] { return Test.Finished == 1; }));
  BOOST_REQUIRE(Test.Failure.has_value());
  BOOST_TEST((*Test.Failure == peer_failure::NotSent));
  // A request that follows is read from the same connection.
  Test.forward(requestOf(10));
  BOOST_TEST(Test.runUntil([&] { return Test.Finished == 2; }));
  BOOST_TEST(Test.Requests == 1);
  BOOST_TEST(Test.LastBodyBytes == 10U);
}

BOOST_AUTO_TEST_CASE(CancelOfASentRequestReachesTheOwner) {
  transport_pair Test;
  Test.KeepsBack = true;
  const auto Cancel = Test.forward(requestOf(10));
  BOOST_TEST(Test.runUntil([&] { return Test.Requests == 1; }));
  Cancel();
  BOOST_TEST(Test.runUntil([&] { return Test.Cancelled == 1; }));
  BOOST_REQUIRE(Test.Failure.has_value());
  BOOST_TEST((*Test.Failure == peer_failure::NoReply));
}

BOOST_AUTO_TEST_CASE(OwnerThatEndsLeavesSentRequestsWithoutReply) {
  transport_pair Test;
  Test.KeepsBack = true;
  Test.forward(requestOf(10));
  BOOST_TEST(Test.runUntil([&] { return Test.Requests == 1; }));
  Test.Owner.reset();
  BOOST_TEST(Test.runUntil([&] { return Test.Finished == 1; }));
  BOOST_REQUIRE(Test.Failure.has_value());
  BOOST_TEST((*Test.Failure == peer_failure::NoReply));
}

BOOST_AUTO_TEST_CASE(CallerThatEndsCancelsItsRequests) {
  transport_pair Test;
  Test.KeepsBack = true;
  Test.forward(requestOf(10));
  BOOST_TEST(Test.runUntil([&] { return Test.Requests == 1; }));
  Test.Caller.reset();
  BOOST_TEST(Test.runUntil([&] { return Test.Cancelled == 1; }));
  // A late answer finds no connection.
  Test.Kept({});
}

BOOST_AUTO_TEST_CASE(RequestWithoutConnectionIsNotSent) {
  transport_pair Test;
  Test.Owner.reset();
  Test.forward(requestOf(10));
  BOOST_TEST(Test.runUntil([&] { return Test.Finished == 1; }));
  BOOST_REQUIRE(Test.Failure.has_value());
  BOOST_TEST((*Test.Failure == peer_failure::NotSent));
}

BOOST_AUTO_TEST_CASE(SilentConnectionIsClosedBeforeTheCallTimesOut) {
  // Accepts connections and never answers.
  Poco::Net::ServerSocket Silent(Poco::Net::SocketAddress("127.0.9.3", 0));
  auto Loop = moveValue(event_loop::create());
  const std::uint16_t Port = Silent.address().port();
  auto Caller = moveValue(peer_transport::start(*Loop, "127.0.9.4", Port, {}));
  bool Finished = false;
  const time_point Begin = bootNow();
  Caller->forward(vmAt("127.0.9.3"), requestOf(10), milliseconds(8000),
                  [&](const wire_gateway::Forwarded *Reply, peer_failure) {
                    Finished = true;
                    BOOST_TEST(!Reply);
                    Loop->stop();
                  });
  Loop->after(TestTimeout, [&Loop] { Loop->stop(); });
  Loop->run();
  BOOST_TEST(Finished);
  BOOST_TEST(toMillis(bootNow() - Begin) < 4000);
}

BOOST_AUTO_TEST_CASE(BodyOverTheBudgetIsRefusedAsNotRun) {
  transport_pair Test;
  Test.Owner->setBodies(std::make_shared<body_budget>(100'000));
  Test.forward(requestOf(8 << 20));
  BOOST_TEST(Test.runUntil([&] { return Test.Finished == 1; }));
  BOOST_REQUIRE(Test.Answer.has_value());
  BOOST_TEST(Test.Answer->verdict() ==
             static_cast<std::uint32_t>(verdict::NotRun));
  BOOST_TEST(Test.Answer->reason() ==
             static_cast<std::uint32_t>(refusal_reason::MemoryFull));
  BOOST_TEST(Test.Requests == 0);
  Test.forward(requestOf(50'000));
  BOOST_TEST(Test.runUntil([&] { return Test.Finished == 2; }));
  BOOST_TEST(Test.Requests == 1);
}

BOOST_AUTO_TEST_CASE(StoppedOwnerRefusesAsNotRun) {
  transport_pair Test;
  Test.connect();
  Test.Owner->stop();
  Test.forward(requestOf(10));
  BOOST_TEST(Test.runUntil([&] { return Test.Finished == 1; }));
  BOOST_REQUIRE(Test.Answer.has_value());
  BOOST_TEST(Test.Answer->verdict() ==
             static_cast<std::uint32_t>(verdict::NotRun));
  BOOST_TEST(Test.Requests == 0);
}

BOOST_AUTO_TEST_CASE(BytesOfAnotherProtocolCloseTheConnection) {
  transport_pair Test;
  for (const std::string &Bytes :
       {std::string("GET / HTTP/1.1\r\n\r\n"),
        std::string(PeerPreface) + std::string(40, '\xff')}) {
    Poco::Net::StreamSocket Stranger(
        Poco::Net::SocketAddress("127.0.9.1", Test.Port));
    Stranger.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    BOOST_TEST(Test.runUntil([&] {
      return Stranger.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    }));
  }
  Test.forward(requestOf(10));
  BOOST_TEST(Test.runUntil([&] { return Test.Finished == 1; }));
  BOOST_TEST(Test.Answer.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
