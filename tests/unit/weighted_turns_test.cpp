/// \file
/// Tests of weighted_turns.
#include "agatedale/weighted_turns.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace agatedale;

BOOST_AUTO_TEST_SUITE(weighted_turns_test)

namespace {

/// Returns how many of \p Count requests each service gets.
std::map<std::string, int> drawn(weighted_turns &Turns,
                                 std::span<const weighted_service> Split,
                                 int Count) {
  std::map<std::string, int> Shares;
  for (int I = 0; I < Count; ++I)
    ++Shares[Turns.next(Split)];
  return Shares;
}

} // namespace

BOOST_AUTO_TEST_CASE(AnyRowOfRequestsIsDividedByWeight) {
  const std::vector<weighted_service> Split{{"desk", 90}, {"intake", 10}};
  weighted_turns Turns;
  drawn(Turns, Split, 7);
  for (int Row = 0; Row < 20; ++Row)
    BOOST_TEST(std::abs(drawn(Turns, Split, 50)["intake"] - 5) <= 1);
}

BOOST_AUTO_TEST_CASE(ServiceWithoutWeightGetsNothing) {
  const std::vector<weighted_service> Split{{"desk", 1}, {"intake", 0}};
  weighted_turns Turns;
  BOOST_TEST(drawn(Turns, Split, 100)["intake"] == 0);
}

BOOST_AUTO_TEST_CASE(ChangedWeightsAreInForceAtOnce) {
  weighted_turns Turns;
  const std::vector<weighted_service> Before{{"desk", 90}, {"intake", 10}};
  drawn(Turns, Before, 100);
  const std::vector<weighted_service> After{{"desk", 50}, {"intake", 50}};
  BOOST_TEST(std::abs(drawn(Turns, After, 100)["intake"] - 50) <= 1);
}

BOOST_AUTO_TEST_SUITE_END()
