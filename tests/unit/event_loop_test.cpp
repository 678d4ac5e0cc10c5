/// \file
/// Tests of event_loop with handlers that fail.
#include "../../src/gateway/event_loop.h"

#include <boost/test/unit_test.hpp>

#include <stdexcept>

using namespace agatedale;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(event_loop_test)

BOOST_AUTO_TEST_CASE(ExceptionOfATaskEndsThisTaskOnly) {
  const auto Loop = moveValue(event_loop::create());
  bool IsNextRun = false;
  Loop->post([] { throw std::runtime_error("posted"); });
  Loop->after(milliseconds(1), [] { throw std::runtime_error("timer"); });
  Loop->after(milliseconds(5), [&] {
    IsNextRun = true;
    Loop->stop();
  });
  Loop->run();
  BOOST_TEST(IsNextRun);
}

BOOST_AUTO_TEST_SUITE_END()
