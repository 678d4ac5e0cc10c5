/// \file
/// Tests of transit_clock.
#include "agatedale/transit_clock.h"

#include <boost/test/unit_test.hpp>

using namespace agatedale;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The clock of the sender is behind by this much.
constexpr seconds Offset{500};
constexpr milliseconds Latency{12};

/// Messages of a peer that are made at a time of this VM's clock.
struct message_source {
  /// Returns the delay that is measured for a message that was under way for
  /// \p Extra longer than the link's latency.
  duration send(duration MadeAt, duration Extra = duration::zero()) {
    return Clock.delayOf(MadeAt - Offset, time_point(MadeAt + Latency + Extra));
  }

  transit_clock Clock;
};

constexpr seconds Begin{1000};

} // namespace

BOOST_AUTO_TEST_SUITE(transit_clock_test)

BOOST_AUTO_TEST_CASE(FirstMessageCountsAsUndelayed) {
  message_source Source;
  BOOST_TEST((Source.send(Begin) == duration::zero()));
}

BOOST_AUTO_TEST_CASE(DelayBeyondTheFastestMessageIsMeasured) {
  message_source Source;
  Source.send(Begin);
  const duration Delay =
      Source.send(Begin + milliseconds(100), milliseconds(587));
  BOOST_TEST(toMillis(Delay) == 586);
}

BOOST_AUTO_TEST_CASE(FasterMessageBecomesTheBase) {
  message_source Source;
  Source.send(Begin, milliseconds(300));
  Source.send(Begin + seconds(1));
  const duration Delay = Source.send(Begin + seconds(2), milliseconds(300));
  BOOST_TEST(toMillis(Delay) == 299);
}

BOOST_AUTO_TEST_CASE(BaseOutlastsAMinuteWithoutMessages) {
  message_source Source;
  Source.send(Begin);
  const duration Delay = Source.send(Begin + seconds(60), milliseconds(600));
  BOOST_TEST((Delay > milliseconds(580)));
}

BOOST_AUTO_TEST_CASE(ClockThatJumpsFarIsFollowedAtOnce) {
  message_source Source;
  Source.send(Begin);
  BOOST_TEST(
      (Source.send(Begin + seconds(1), seconds(100)) == duration::zero()));
  const duration Delay =
      Source.send(Begin + seconds(2), seconds(100) + milliseconds(300));
  BOOST_TEST(toMillis(Delay) == 299);
}

BOOST_AUTO_TEST_CASE(ClockThatJumpsALittleIsFollowedAfterTwoPeriods) {
  message_source Source;
  Source.send(Begin);
  duration Delay{};
  for (int I = 0; I < 70; ++I)
    Delay = Source.send(Begin + seconds(I), seconds(3));
  BOOST_TEST((Delay < milliseconds(20)));
}

BOOST_AUTO_TEST_CASE(FewDelayedMessagesAreNoJump) {
  message_source Source;
  Source.send(Begin);
  duration Delay{};
  for (int I = 0; I < 7; ++I)
    Delay = Source.send(Begin + seconds(10 * I), milliseconds(900));
  BOOST_TEST((Delay > milliseconds(850)));
}

BOOST_AUTO_TEST_SUITE_END()
