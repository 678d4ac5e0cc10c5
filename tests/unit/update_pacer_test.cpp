/// \file
/// Tests of update_pacer.
#include "agatedale/update_pacer.h"

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace agatedale;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(update_pacer_test)

namespace {

constexpr time_point Start{std::chrono::hours(1)};
constexpr milliseconds HeartbeatInterval{250};

/// A configuration of 1,172 routes.
constexpr std::size_t LargeBytes = 213'000;

table_update updateTo(store_version Position) {
  table_update Update;
  Update.Table = store_table::Operators;
  Update.Since = 10;
  Update.Position = Position;
  return Update;
}

/// A link that delivers bytes in order, at a fixed rate.
struct link {
  std::size_t BytesPerSecond = 0;
  time_point FreeAt = Start;

  /// Returns when a message that is sent at \p Now has arrived.
  time_point send(std::size_t Bytes, time_point Now) {
    const auto Taken = std::chrono::microseconds(
        Bytes * std::size_t{1'000'000} / BytesPerSecond);
    FreeAt = std::max(FreeAt, Now) + Taken;
    return FreeAt;
  }
};

/// Sends a large update from two hubs to a VM over its link, repeated with the
/// heartbeats until the VM confirms it. Returns how long the link is in use.
duration timeOnLink(std::size_t BytesPerSecond) {
  link Link{BytesPerSecond};
  update_pacer Hubs[2];
  time_point ArrivesAt = time_point::max();
  for (int Beat = 0; Beat < 40; ++Beat) {
    const time_point Now = Start + Beat * HeartbeatInterval;
    for (update_pacer &Hub : Hubs) {
      const bool IsConfirmed = ArrivesAt <= Now;
      Hub.recordPosition("vm", store_table::Operators, IsConfirmed ? 12 : 10);
      if (IsConfirmed || !Hub.maySend("vm", store_table::Operators, Now))
        continue;
      ArrivesAt = std::min(ArrivesAt, Link.send(LargeBytes, Now));
      Hub.onSent("vm", updateTo(12), LargeBytes, Now);
    }
  }
  return Link.FreeAt - Start;
}

} // namespace

BOOST_AUTO_TEST_CASE(SmallUpdateIsRepeatedAtOnce) {
  update_pacer Pacer;
  Pacer.onSent("vm", updateTo(12), update_pacer::MaxSmallBytes, Start);
  BOOST_TEST(Pacer.maySend("vm", store_table::Operators, Start));
}

BOOST_AUTO_TEST_CASE(LargeUpdateWaitsForItsTimeout) {
  update_pacer Pacer;
  Pacer.onSent("vm", updateTo(12), LargeBytes, Start);
  const time_point Due = Start + update_pacer::InitialTimeout;
  BOOST_TEST(
      !Pacer.maySend("vm", store_table::Operators, Due - milliseconds(1)));
  BOOST_TEST(Pacer.maySend("vm", store_table::Operators, Due));
}

BOOST_AUTO_TEST_CASE(TimeoutDoublesWithEachRepeat) {
  update_pacer Pacer;
  Pacer.onSent("vm", updateTo(12), LargeBytes, Start);
  const time_point Second = Start + update_pacer::InitialTimeout;
  Pacer.onSent("vm", updateTo(12), LargeBytes, Second);
  const time_point Third = Second + 2 * update_pacer::InitialTimeout;
  BOOST_TEST(
      !Pacer.maySend("vm", store_table::Operators, Third - milliseconds(1)));
  BOOST_TEST(Pacer.maySend("vm", store_table::Operators, Third));
}

BOOST_AUTO_TEST_CASE(ConfirmedUpdateIsFollowedAtOnce) {
  update_pacer Pacer;
  Pacer.onSent("vm", updateTo(12), LargeBytes, Start);
  Pacer.recordPosition("vm", store_table::Operators, 12);
  BOOST_TEST(Pacer.maySend("vm", store_table::Operators, Start));
}

BOOST_AUTO_TEST_CASE(RestartedPeerIsSentTheUpdateAtOnce) {
  update_pacer Pacer;
  Pacer.onSent("vm", updateTo(12), LargeBytes, Start);
  Pacer.recordPosition("vm", store_table::Operators, 0);
  BOOST_TEST(Pacer.maySend("vm", store_table::Operators, Start));
}

BOOST_AUTO_TEST_CASE(HigherNumberOfAnEarlierEraDoesNotConfirmAnUpdate) {
  update_pacer Pacer;
  table_update Update = updateTo({1, 12});
  Update.Since = 50;
  Pacer.onSent("vm", Update, LargeBytes, Start);
  Pacer.recordPosition("vm", store_table::Operators, 50);
  BOOST_TEST(!Pacer.maySend("vm", store_table::Operators, Start));
  Pacer.recordPosition("vm", store_table::Operators, {1, 12});
  BOOST_TEST(Pacer.maySend("vm", store_table::Operators, Start));
}

BOOST_AUTO_TEST_CASE(OtherTablesAndPeersAreNotHeldBack) {
  update_pacer Pacer;
  Pacer.onSent("vm", updateTo(12), LargeBytes, Start);
  BOOST_TEST(Pacer.maySend("vm", store_table::Servers, Start));
  BOOST_TEST(Pacer.maySend("other", store_table::Operators, Start));
}

// Two hubs relay a configuration of 213 KB to a VM with a link of 10 Mbit/s,
// which takes 170 ms for each copy. Repeated with each heartbeat, the copies
// take the link for 0.7 s; on a link of 5 Mbit/s they never end.
BOOST_AUTO_TEST_CASE(SlowLinkIsNotFilledWithCopies) {
  const duration TwoCopies = milliseconds(2 * 171);
  BOOST_TEST((timeOnLink(10'000'000 / 8) <= TwoCopies));
  BOOST_TEST((timeOnLink(5'000'000 / 8) <= 2 * TwoCopies));
}

BOOST_AUTO_TEST_SUITE_END()
