/// \file
/// Tests of cold_start_limiter.
#include "agatedale/cold_start_limiter.h"

#include <boost/test/unit_test.hpp>

using namespace agatedale;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(cold_start_limiter_test)

namespace {

constexpr time_point Start{std::chrono::hours(1)};

} // namespace

BOOST_AUTO_TEST_CASE(RequestsAreSentAtTheRate) {
  cold_start_limiter Limiter;
  for (int I = 0; I < 10; ++I) {
    const time_point Now = Start + I * milliseconds(250);
    BOOST_TEST(Limiter.allows(Now, 4));
    Limiter.onSent(Now, 4);
    BOOST_TEST(!Limiter.allows(Now + milliseconds(249), 4));
  }
}

BOOST_AUTO_TEST_CASE(TimeWithoutRequestsAddsNone) {
  cold_start_limiter Limiter;
  Limiter.onSent(Start, 4);
  Limiter.onSent(Start + seconds(60), 4);
  BOOST_TEST(!Limiter.allows(Start + seconds(60) + milliseconds(249), 4));
}

BOOST_AUTO_TEST_CASE(RequestBeyondTheRateDelaysTheNext) {
  cold_start_limiter Limiter;
  Limiter.onSent(Start, 4);
  Limiter.onSent(Start, 4);
  BOOST_TEST(!Limiter.allows(Start + milliseconds(499), 4));
  BOOST_TEST(Limiter.allows(Start + milliseconds(500), 4));
}

// Guards against a server that is sent nothing until the wait of a former rate
// is over.
BOOST_AUTO_TEST_CASE(RaisedRateAppliesToTheNextRequest) {
  cold_start_limiter Limiter;
  Limiter.onSent(Start, 0.1);
  BOOST_TEST(!Limiter.allows(Start + milliseconds(249), 4));
  BOOST_TEST(Limiter.allows(Start + milliseconds(250), 4));
}

// Guards against requests to a cold server faster than the rate in force.
BOOST_AUTO_TEST_CASE(LoweredRateAppliesToTheNextRequest) {
  cold_start_limiter Limiter;
  Limiter.onSent(Start, 100);
  BOOST_TEST(!Limiter.allows(Start + milliseconds(249), 4));
  BOOST_TEST(Limiter.allows(Start + milliseconds(250), 4));
}

BOOST_AUTO_TEST_CASE(RateOfZeroIsNoLimit) {
  cold_start_limiter Limiter;
  Limiter.onSent(Start, 0.1);
  BOOST_TEST(Limiter.allows(Start, 0));
}

BOOST_AUTO_TEST_SUITE_END()
