/// \file
/// Tests of stop_sequence.
#include "agatedale/stop_sequence.h"

#include <boost/test/unit_test.hpp>

using namespace agatedale;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(stop_sequence_test)

namespace {

constexpr time_point Start{seconds(100)};
constexpr duration Grace = seconds(6);
const stop_work Busy{1, 0, 1, false};

} // namespace

BOOST_AUTO_TEST_CASE(CallersAreServedUntilThePlatformSendsNoMore) {
  auto Stop = stop_sequence::create(Start, Grace);
  BOOST_TEST(!Stop.advance({}, Start + milliseconds(2299)));
  BOOST_TEST(Stop.advance({}, Start + milliseconds(2300)));
  BOOST_TEST((Stop.phase() == stop_phase::Closing));
}

BOOST_AUTO_TEST_CASE(StopWithoutWorkEndsOnlyAfterIdleConnectionsWereClosed) {
  auto Stop = stop_sequence::create(Start, Grace);
  BOOST_TEST(Stop.advance({}, Start + seconds(3)));
  BOOST_TEST((Stop.phase() == stop_phase::Closing));
  BOOST_TEST(Stop.advance({}, Start + seconds(3)));
  BOOST_TEST((Stop.phase() == stop_phase::Ended));
  BOOST_TEST(!Stop.advance({}, Start + seconds(9)));
}

BOOST_AUTO_TEST_CASE(StopWaitsForEachKindOfWork) {
  for (const stop_work &Work :
       {stop_work{1, 0, 0, false}, stop_work{0, 1, 0, false},
        stop_work{0, 0, 1, false}, stop_work{0, 0, 0, true}}) {
    auto Stop = stop_sequence::create(Start, Grace);
    BOOST_TEST(Stop.advance(Work, Start + milliseconds(2300)));
    BOOST_TEST(!Stop.advance(Work, Start + milliseconds(5299)));
    BOOST_TEST(Stop.advance(Work, Start + milliseconds(5300)));
    BOOST_TEST((Stop.phase() == stop_phase::Answering));
    BOOST_TEST(!Stop.advance(Work, Start + milliseconds(5599)));
    BOOST_TEST(Stop.advance(Work, Start + milliseconds(5600)));
    BOOST_TEST((Stop.phase() == stop_phase::Ended));
  }
}

// The process was suspended and runs again after the end of its time.
BOOST_AUTO_TEST_CASE(LateStopStillAnswersBeforeItEnds) {
  auto Stop = stop_sequence::create(Start, Grace);
  const time_point Late = Start + seconds(20);
  BOOST_TEST(Stop.advance(Busy, Late));
  BOOST_TEST((Stop.phase() == stop_phase::Closing));
  BOOST_TEST(Stop.advance(Busy, Late));
  BOOST_TEST((Stop.phase() == stop_phase::Answering));
  BOOST_TEST(Stop.advance(Busy, Late));
  BOOST_TEST((Stop.phase() == stop_phase::Ended));
}

BOOST_AUTO_TEST_CASE(ShortGraceHalvesTheDrainDelay) {
  auto Stop = stop_sequence::create(Start, seconds(2));
  BOOST_TEST(!Stop.advance({}, Start + milliseconds(649)));
  BOOST_TEST(Stop.advance({}, Start + milliseconds(650)));
}

BOOST_AUTO_TEST_SUITE_END()
