/// \file
/// Tests of tcp_stream with peers that read slowly, reset or close.
#include "../../src/gateway/tcp_stream.h"

#include <Poco/Net/ServerSocket.h>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <thread>

using namespace agatedale;
using std::chrono::milliseconds;

namespace {

/// More than the buffers of both sockets accept together.
constexpr std::size_t LargeBytes = 8 << 20;
constexpr int ChunkBytes = 8 * 1024;
constexpr milliseconds TestTimeout{10'000};

/// A stream whose peer is a blocking socket that the test reads and writes.
struct connected_stream {
  connected_stream() : Loop(moveValue(event_loop::create())) {
    Poco::Net::ServerSocket Listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    tcp_stream::handlers Handlers;
    Handlers.Received = [this](std::string_view Bytes) { Received += Bytes; };
    Handlers.Ended = [this](stream_end End) {
      Ended = End;
      Loop->stop();
    };
    Handlers.Flushed = [this] { IsFlushed = true; };
    Stream = tcp_stream::connect(*Loop, Listener.address(), Handlers);
    Peer = Listener.acceptConnection();
    Loop->after(TestTimeout, [this] { Loop->stop(); });
  }

  std::unique_ptr<event_loop> Loop;
  std::shared_ptr<tcp_stream> Stream;
  Poco::Net::StreamSocket Peer;
  std::string Received;
  std::optional<stream_end> Ended;
  bool IsFlushed = false;
};

/// Reads up to \p Bytes from \p Peer in small pieces, with a pause after each
/// of the first ones.
std::string readSlowly(Poco::Net::StreamSocket &Peer, std::size_t Bytes) {
  constexpr int PausedReads = 20;
  std::string Text;
  std::vector<char> Chunk(ChunkBytes);
  for (int I = 0; Text.size() < Bytes; ++I) {
    const int Count = Peer.receiveBytes(Chunk.data(), ChunkBytes);
    if (Count <= 0)
      break;
    Text.append(Chunk.data(), static_cast<std::size_t>(Count));
    if (I < PausedReads)
      std::this_thread::sleep_for(milliseconds(2));
  }
  return Text;
}

std::string patternOf(std::size_t Bytes) {
  std::string Text(Bytes, '\0');
  for (std::size_t I = 0; I < Bytes; ++I)
    Text[I] = static_cast<char>('a' + I % 23);
  return Text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(tcp_stream_test)

BOOST_AUTO_TEST_CASE(MessageLargerThanTheSocketBufferArrivesWhole) {
  for (const std::size_t Bytes :
       {std::size_t{1024}, std::size_t{65536}, std::size_t{65537},
        std::size_t{360 * 1024}, LargeBytes}) {
    connected_stream Test;
    const std::string Message = patternOf(Bytes);
    std::string Arrived;
    std::thread Reader([&] {
      Arrived = readSlowly(Test.Peer, Bytes);
      Test.Loop->post([&Test] { Test.Loop->stop(); });
    });
    Test.Stream->send(Message);
    Test.Loop->run();
    Reader.join();
    BOOST_TEST(!Test.Ended, "the stream ended at " << Bytes << " bytes");
    BOOST_TEST((Arrived == Message), "other bytes arrived of " << Bytes);
    BOOST_TEST(Test.Stream->bytesSent() == Bytes);
    BOOST_TEST(Test.IsFlushed);
  }
}

BOOST_AUTO_TEST_CASE(BytesSentCountsWhatTheSocketAcceptedBeforeAReset) {
  connected_stream Test;
  std::thread Resetter([&Test] {
    readSlowly(Test.Peer, 100'000);
    Test.Peer.setLinger(true, 0);
    Test.Peer.close();
  });
  Test.Stream->send(patternOf(LargeBytes));
  Test.Loop->run();
  Resetter.join();
  BOOST_REQUIRE(Test.Ended.has_value());
  BOOST_TEST((*Test.Ended == stream_end::Reset));
  BOOST_TEST(Test.Stream->bytesSent() >= 100'000U);
  BOOST_TEST(Test.Stream->bytesSent() < LargeBytes);
}

BOOST_AUTO_TEST_CASE(ShutdownFollowsTheLastByteOfALargeMessage) {
  connected_stream Test;
  std::string Arrived;
  std::thread Reader([&] {
    Arrived = readSlowly(Test.Peer, LargeBytes + 1);
    Test.Peer.close();
  });
  Test.Stream->send(patternOf(LargeBytes));
  Test.Stream->finishSending();
  Test.Loop->run();
  Reader.join();
  BOOST_TEST(Arrived.size() == LargeBytes);
  BOOST_REQUIRE(Test.Ended.has_value());
  BOOST_TEST((*Test.Ended == stream_end::ClosedByPeer));
}

BOOST_AUTO_TEST_CASE(AnswerOfAPeerThatClosesInMidMessageIsReceived) {
  connected_stream Test;
  Test.Peer.sendBytes("early answer", 12);
  Test.Peer.shutdownSend();
  std::thread Reader([&Test] { readSlowly(Test.Peer, 100'000); });
  Test.Stream->send(patternOf(LargeBytes));
  Test.Loop->run();
  Reader.join();
  BOOST_TEST(Test.Received == "early answer");
}

BOOST_AUTO_TEST_CASE(FailureOfASendLeavesReceivedBytesReadable) {
  connected_stream Test;
  Test.Peer.sendBytes("early answer", 12);
  Test.Peer.close();
  std::this_thread::sleep_for(milliseconds(50));
  // The first send is answered by a reset, the second one fails.
  Test.Loop->post([&Test] {
    Test.Stream->send("a");
    std::this_thread::sleep_for(milliseconds(50));
    Test.Stream->send("b");
  });
  Test.Loop->run();
  BOOST_TEST(Test.Received == "early answer");
  BOOST_TEST(Test.Ended.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
