/// \file
/// Tests of the framing of messages between gateways.
#include "../../src/gateway/peer_frames.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace agatedale;

namespace {

std::string encoded(const peer_frame &Frame) {
  std::string Bytes;
  appendFrame(Bytes, Frame);
  return Bytes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_frames_test)

BOOST_AUTO_TEST_CASE(FrameIsReadAsItWasWritten) {
  const std::string Bytes =
      encoded({peer_message_kind::Forward, 0x0123456789abcdefU, 5, "abc"});
  std::size_t Length = 0;
  const auto Read = readFrame(Bytes + "rest", Length);
  const auto *Frame = std::get_if<peer_frame>(&Read);
  BOOST_REQUIRE(Frame);
  BOOST_TEST((Frame->Kind == peer_message_kind::Forward));
  BOOST_TEST(Frame->Call == 0x0123456789abcdefU);
  BOOST_TEST(Frame->TotalSize == 5U);
  BOOST_TEST(Frame->Payload == "abc");
  BOOST_TEST(Length == Bytes.size());
}

BOOST_AUTO_TEST_CASE(EveryPrefixOfAFrameIsIncomplete) {
  const std::string Bytes = encoded({peer_message_kind::Ping, 7, 4, "abcd"});
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size) {
    std::size_t Length = 0;
    const auto Read =
        readFrame(std::string_view(Bytes).substr(0, Size), Length);
    BOOST_TEST(std::holds_alternative<incomplete_frame>(Read));
  }
}

BOOST_AUTO_TEST_CASE(FramesThatBreakTheLimitsAreErrors) {
  const std::string Payload(MaxFramePayload + 1, 'x');
  for (const peer_frame &Frame :
       {peer_frame{peer_message_kind::Forward, 1,
                   static_cast<std::uint32_t>(Payload.size()), Payload},
        peer_frame{peer_message_kind::Forward, 1, 2, "abc"},
        peer_frame{peer_message_kind::Forward, 1, MaxPeerMessageBytes + 1,
                   "abc"},
        peer_frame{peer_message_kind::Forward, 1, 9, ""},
        peer_frame{static_cast<peer_message_kind>(99), 1, 3, "abc"}}) {
    std::size_t Length = 0;
    const auto Read = readFrame(encoded(Frame), Length);
    BOOST_TEST(std::holds_alternative<error>(Read));
  }
}

BOOST_AUTO_TEST_CASE(RandomBytesNeverReadBeyondTheBuffer) {
  std::mt19937 Random(5); // NOLINT: the seed makes failures repeatable
  for (int Round = 0; Round < 20'000; ++Round) {
    std::string Bytes(Random() % 64, '\0');
    for (char &Byte : Bytes)
      Byte = static_cast<char>(Random() % 4 == 0 ? Random() : Random() % 8);
    std::size_t Length = 0;
    const auto Read = readFrame(Bytes, Length);
    if (const auto *Frame = std::get_if<peer_frame>(&Read)) {
      BOOST_TEST(Length <= Bytes.size());
      BOOST_TEST(Frame->Payload.size() <= MaxFramePayload);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
