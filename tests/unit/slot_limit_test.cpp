/// \file
/// Tests of slot_limit.
#include "agatedale/slot_limit.h"

#include <boost/test/unit_test.hpp>

using namespace agatedale;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(slot_limit_test)

namespace {

constexpr time_point Start{std::chrono::hours(1)};
constexpr milliseconds TypicalServiceTime{10};

slot_limit warmLimit() {
  slot_limit Limit = slot_limit::create({});
  for (int I = 0; I < 5; ++I)
    Limit.onAnswer(TypicalServiceTime, TypicalServiceTime);
  return Limit;
}

} // namespace

BOOST_AUTO_TEST_CASE(NewServerIsAllowedOneRequest) {
  BOOST_TEST(slot_limit::create({}).allowed(Start) == 1);
}

BOOST_AUTO_TEST_CASE(LimitGrowsOnlyAfterConsecutiveGoodAnswers) {
  slot_limit Limit = slot_limit::create({});
  for (int I = 0; I < 4; ++I)
    Limit.onAnswer(TypicalServiceTime, TypicalServiceTime);
  BOOST_TEST(Limit.allowed(Start) == 1, "expected 1 before the fifth answer");
  Limit.onAnswer(TypicalServiceTime, TypicalServiceTime);
  BOOST_TEST(Limit.allowed(Start) == 2, "expected 2 after the fifth answer");
}

BOOST_AUTO_TEST_CASE(LimitNeverExceedsTheSlots) {
  slot_limit Limit = warmLimit();
  for (int I = 0; I < 50; ++I)
    Limit.onAnswer(TypicalServiceTime, TypicalServiceTime);
  BOOST_TEST(Limit.allowed(Start) == 2);
}

BOOST_AUTO_TEST_CASE(ConsecutiveSlowAnswersResetTheLimit) {
  slot_limit Limit = warmLimit();
  for (int I = 0; I < 3; ++I)
    Limit.onAnswer(5 * TypicalServiceTime, TypicalServiceTime);
  BOOST_TEST(Limit.allowed(Start) == 1);
}

BOOST_AUTO_TEST_CASE(OneSlowAnswerDoesNotCutTheLimit) {
  slot_limit Limit = warmLimit();
  Limit.onAnswer(5 * TypicalServiceTime, TypicalServiceTime);
  BOOST_TEST(Limit.allowed(Start) == 2);
}

BOOST_AUTO_TEST_CASE(SheddingPausesTheServerAndResetsTheLimit) {
  slot_limit Limit = warmLimit();
  Limit.onShed(Start);
  BOOST_TEST(Limit.allowed(Start + milliseconds(99)) == 0);
  BOOST_TEST(Limit.allowed(Start + milliseconds(100)) == 1);
}

BOOST_AUTO_TEST_CASE(PausesDoubleUpToTheirMaximum) {
  slot_limit Limit = warmLimit();
  for (int I = 0; I < 40; ++I)
    Limit.onFailure(Start);
  BOOST_TEST(toMillis(Limit.pausedUntil() - Start) == 10'000);
}

BOOST_AUTO_TEST_CASE(ServerIsPausedAfterThreeConsecutiveErrors) {
  slot_limit Limit = warmLimit();
  Limit.onErrorAnswer(Start);
  Limit.onErrorAnswer(Start);
  BOOST_TEST(Limit.allowed(Start) == 2);
  Limit.onErrorAnswer(Start);
  BOOST_TEST(Limit.allowed(Start) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
