/// \file
/// Tests of copy_pace.
#include "agatedale/copy_pace.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>
#include <vector>

using namespace agatedale;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(copy_pace_test)

namespace {

constexpr time_point Start{std::chrono::hours(1)};

/// Has 35 VMs ask with each heartbeat until they were given a copy.
std::vector<int> givenByRound(copy_pace &Pace, int Rounds) {
  std::set<int> Waiting;
  for (int Vm = 0; Vm < 35; ++Vm)
    Waiting.insert(Vm);
  std::vector<int> Given;
  for (int Round = 0; Round < Rounds; ++Round) {
    const time_point Now = Start + Round * copy_pace::Interval;
    const std::size_t Before = Waiting.size();
    std::erase_if(Waiting, [&](int Vm) {
      return Pace.mayGive("vm-" + std::to_string(Vm), Now);
    });
    Given.push_back(static_cast<int>(Before - Waiting.size()));
  }
  return Given;
}

} // namespace

BOOST_AUTO_TEST_CASE(ZoneThatStartsGetsItsCopiesInTurn) {
  copy_pace Pace;
  const std::vector<int> Expected{8, 8, 8, 8, 3};
  BOOST_TEST(givenByRound(Pace, 5) == Expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(PeerThatAsksAgainWaitsForTheFirstCopy) {
  copy_pace Pace;
  BOOST_TEST(Pace.mayGive("vm", Start));
  BOOST_TEST(!Pace.mayGive("vm", Start + milliseconds(250)));
  BOOST_TEST(!Pace.mayGive("vm", Start + milliseconds(999)));
}

BOOST_AUTO_TEST_CASE(LostCopyIsGivenAgain) {
  copy_pace Pace;
  BOOST_TEST(Pace.mayGive("vm", Start));
  BOOST_TEST(Pace.mayGive("vm", Start + copy_pace::ArrivesWithin));
}

BOOST_AUTO_TEST_SUITE_END()
