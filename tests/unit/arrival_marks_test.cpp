/// \file
/// Tests of arrival_marks.
#include "agatedale/arrival_marks.h"

#include <boost/test/unit_test.hpp>

using namespace agatedale;
using std::chrono::milliseconds;

namespace {

time_point at(int Millis) { return time_point(milliseconds(Millis)); }

} // namespace

BOOST_AUTO_TEST_SUITE(arrival_marks_test)

BOOST_AUTO_TEST_CASE(FirstByteKeepsItsTimeWhileOthersFollow) {
  arrival_marks Marks;
  Marks.onAppended(10, at(1));
  Marks.onAppended(10, at(2));
  Marks.onConsumed(9);
  BOOST_TEST((Marks.front() == at(1)));
}

BOOST_AUTO_TEST_CASE(NextByteHasTheTimeOfItsOwn) {
  arrival_marks Marks;
  Marks.onAppended(10, at(1));
  Marks.onAppended(10, at(2));
  Marks.onConsumed(10);
  BOOST_TEST((Marks.front() == at(2)));
}

BOOST_AUTO_TEST_CASE(BytesOfSeveralReadsAreConsumedTogether) {
  arrival_marks Marks;
  Marks.onAppended(10, at(1));
  Marks.onAppended(10, at(2));
  Marks.onAppended(10, at(3));
  Marks.onConsumed(25);
  BOOST_TEST((Marks.front() == at(3)));
  BOOST_TEST((Marks.lastConsumed() == at(3)));
}

BOOST_AUTO_TEST_SUITE_END()
