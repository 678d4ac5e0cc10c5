/// \file
/// Tests of weighted_round_robin.
#include "agatedale/weighted_round_robin.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace agatedale;

BOOST_AUTO_TEST_SUITE(weighted_round_robin_test)

namespace {

/// Returns how many of \p Count requests each service gets.
std::map<std::string, int>
countPerService(weighted_round_robin &RoundRobin,
                std::span<const weighted_service> Split, int Count) {
  std::map<std::string, int> Shares;
  for (int I = 0; I < Count; ++I)
    ++Shares[RoundRobin.next(Split)];
  return Shares;
}

} // namespace

BOOST_AUTO_TEST_CASE(EveryRunOfRequestsIsDividedByWeight) {
  const std::vector<weighted_service> Split{{"desk", 90}, {"intake", 10}};
  weighted_round_robin RoundRobin;
  countPerService(RoundRobin, Split, 7);
  for (int Row = 0; Row < 20; ++Row)
    BOOST_TEST(std::abs(countPerService(RoundRobin, Split, 50)["intake"] - 5) <=
               1);
}

BOOST_AUTO_TEST_CASE(ServiceWithoutWeightGetsNothing) {
  const std::vector<weighted_service> Split{{"desk", 1}, {"intake", 0}};
  weighted_round_robin RoundRobin;
  BOOST_TEST(countPerService(RoundRobin, Split, 100)["intake"] == 0);
}

BOOST_AUTO_TEST_CASE(ChangedWeightsApplyImmediately) {
  weighted_round_robin RoundRobin;
  const std::vector<weighted_service> Before{{"desk", 90}, {"intake", 10}};
  countPerService(RoundRobin, Before, 100);
  const std::vector<weighted_service> After{{"desk", 50}, {"intake", 50}};
  BOOST_TEST(std::abs(countPerService(RoundRobin, After, 100)["intake"] - 50) <=
             1);
}

BOOST_AUTO_TEST_SUITE_END()
