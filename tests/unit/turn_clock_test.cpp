/// \file
/// Tests of turn_clock and of the arrival times derived from it.
#include "agatedale/turn_clock.h"

#include <boost/test/unit_test.hpp>

using namespace agatedale;
using std::chrono::milliseconds;

namespace {

const time_point Start{std::chrono::seconds(1000)};

time_point at(int Millis) { return Start + milliseconds(Millis); }

/// A clock after a turn that began at 0 ms and waits again at \p BusyMs.
turn_clock afterTurn(int BusyMs, int TimeoutMs = 20) {
  turn_clock Clock;
  Clock.beforeWait(at(-10), milliseconds(20));
  Clock.afterWait(at(0));
  Clock.beforeWait(at(BusyMs), milliseconds(TimeoutMs));
  return Clock;
}

} // namespace

BOOST_AUTO_TEST_SUITE(turn_clock_test)

BOOST_AUTO_TEST_CASE(EventThatEndsAWaitIsNew) {
  turn_clock Clock = afterTurn(1);
  Clock.afterWait(at(9));
  BOOST_TEST((Clock.eventsSince() == at(9)));
}

BOOST_AUTO_TEST_CASE(EventFoundWithoutWaitingIsFromTheTurnBefore) {
  turn_clock Clock = afterTurn(400);
  Clock.afterWait(at(400));
  BOOST_TEST((Clock.eventsSince() == at(0)));
  BOOST_TEST(Clock.isLate(at(400)));
}

// Guards against events of a late turn that count as new because the process
// was interrupted for a moment in the wait.
BOOST_AUTO_TEST_CASE(LateTurnIsFollowedByALookWithoutWaiting) {
  turn_clock Clock = afterTurn(1);
  Clock.afterWait(at(5));
  BOOST_TEST((Clock.beforeWait(at(400), milliseconds(20)) == milliseconds(0)));
  Clock.afterWait(at(410));
  BOOST_TEST((Clock.eventsSince() == at(5)));
}

BOOST_AUTO_TEST_CASE(EventAfterAWaitBeyondItsTimeoutMayBeFromItsStart) {
  turn_clock Clock = afterTurn(1);
  Clock.afterWait(at(1100));
  BOOST_TEST((Clock.eventsSince() == at(1)));
}

BOOST_AUTO_TEST_CASE(TimeInTheTurnItselfCounts) {
  turn_clock Clock = afterTurn(1);
  Clock.afterWait(at(9));
  BOOST_TEST(!Clock.isLate(at(20)));
  BOOST_TEST(Clock.isLate(at(200)));
}

BOOST_AUTO_TEST_CASE(FirstTurnIsNotLate) {
  turn_clock Clock;
  Clock.beforeWait(at(0), milliseconds(20));
  Clock.afterWait(at(0));
  BOOST_TEST(!Clock.isLate(at(0)));
}

BOOST_AUTO_TEST_CASE(BytesOfACalmTurnHaveJustArrived) {
  BOOST_TEST((estimateArrival(at(0), at(30), milliseconds(30)) == at(30)));
}

BOOST_AUTO_TEST_CASE(AgeThatTheSystemTellsIsUsed) {
  BOOST_TEST((estimateArrival(at(0), at(900), milliseconds(100)) == at(800)));
}

BOOST_AUTO_TEST_CASE(AgeThatTheSystemTellsIsBounded) {
  BOOST_TEST((estimateArrival(at(0), at(900), milliseconds(2000)) == at(0)));
}

BOOST_AUTO_TEST_CASE(WithoutTheSystemsAgeTheMiddleIsTaken) {
  BOOST_TEST((estimateArrival(at(0), at(900), std::nullopt) == at(450)));
}

BOOST_AUTO_TEST_SUITE_END()
