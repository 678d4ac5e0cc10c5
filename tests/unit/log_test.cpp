/// \file
/// Tests of log lines and of what bounds them.
#include "../../src/core/log.h"
#include "../../src/core/log_rate_limiter.h"

#include <boost/test/unit_test.hpp>

using namespace agatedale;

BOOST_AUTO_TEST_SUITE(log_test)

BOOST_AUTO_TEST_CASE(LineIsOneJsonObject) {
  const std::string Line =
      formatLogLine(log_level::Info, "request-refused", "t",
                    {{"request", "9c41"}, {"taken_ms", 12}}, 0);
  BOOST_TEST(Line == R"({"time":"t","level":"info","event":"request-refused",)"
                     R"("request":"9c41","taken_ms":12})"
                     "\n");
}

BOOST_AUTO_TEST_CASE(QuotesAndControlCharactersAreEscaped) {
  const std::string Line =
      formatLogLine(log_level::Info, "e", "t", {{"why", "a \"b\"\\c\nd"}}, 0);
  BOOST_TEST(Line.find(R"("why":"a \"b\"\\c d")") != std::string::npos,
             "got " << Line);
}

BOOST_AUTO_TEST_CASE(LinesLeftOutAreCounted) {
  const std::string Line = formatLogLine(log_level::Info, "e", "t", {}, 7);
  BOOST_TEST(Line.find(R"("left_out":7)") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(EventThatComesTooOftenIsCutToItsBudget) {
  log_rate_limiter RateLimiter(3);
  int Admitted = 0;
  for (int I = 0; I < 10; ++I)
    Admitted += RateLimiter.admit("e", 100) ? 1 : 0;
  BOOST_TEST(Admitted == 3);
  BOOST_TEST(RateLimiter.takeSuppressedLines("e") == 7U);
}

BOOST_AUTO_TEST_CASE(FrequentEventLeavesTheOthersTheirBudget) {
  log_rate_limiter RateLimiter(1);
  RateLimiter.admit("frequent", 100);
  RateLimiter.admit("frequent", 100);
  BOOST_TEST(RateLimiter.admit("rare", 100));
}

BOOST_AUTO_TEST_CASE(BudgetIsWholeAgainInTheNextSecond) {
  log_rate_limiter RateLimiter(1);
  RateLimiter.admit("e", 100);
  BOOST_TEST(RateLimiter.admit("e", 101));
}

BOOST_AUTO_TEST_SUITE_END()
