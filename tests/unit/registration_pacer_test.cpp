/// \file
/// Tests of registration_pacer.
#include "agatedale/registration_pacer.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace agatedale;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(registration_pacer_test)

namespace {

constexpr double WritesPerSecond = 200;

/// Writes to a store that performs one write after the other and refuses what
/// would wait for more than a second. Returns the number of refused writes.
int refusedWrites(std::vector<duration> At) {
  std::sort(At.begin(), At.end());
  const auto Each = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(1 / WritesPerSecond));
  duration FreeAt{};
  int Refused = 0;
  for (const duration Now : At) {
    FreeAt = std::max(FreeAt, Now);
    if (FreeAt - Now > seconds(1)) {
      ++Refused;
      continue;
    }
    FreeAt += Each;
  }
  return Refused;
}

template <typename Delay> std::vector<duration> delaysOf(int Vms, Delay Next) {
  std::mt19937_64 Random(1);
  std::uniform_real_distribution<double> Draw(0, 1);
  std::vector<duration> Delays;
  Delays.reserve(static_cast<std::size_t>(Vms));
  for (int I = 0; I < Vms; ++I)
    Delays.push_back(Next(Draw(Random)));
  return Delays;
}

} // namespace

// 472 VMs start within a moment. When all of them write at once, the store
// refuses 271 of the writes.
BOOST_AUTO_TEST_CASE(WritesOfAFleetThatStartsAreNotRefused) {
  BOOST_TEST(refusedWrites(std::vector<duration>(472)) > 200);
  BOOST_TEST(refusedWrites(delaysOf(472, [](double Draw) {
               return registration_pacer::delayAtBootstrap(Draw);
             })) == 0);
}

BOOST_AUTO_TEST_CASE(WritesOfAFleetThatRestartsAreNotRefused) {
  const auto Pacer = registration_pacer::create(WritesPerSecond);
  BOOST_TEST(refusedWrites(delaysOf(1000, [&Pacer](double Draw) {
               return Pacer.delayOfRestart(true, 1000, Draw);
             })) == 0);
}

BOOST_AUTO_TEST_CASE(VmThatNobodyKnowsRegistersAtOnce) {
  const auto Pacer = registration_pacer::create(WritesPerSecond);
  BOOST_TEST((Pacer.delayOfRestart(false, 1000, 1) == duration::zero()));
}

BOOST_AUTO_TEST_CASE(DelayAfterFailuresDoublesUpToItsBound) {
  auto Pacer = registration_pacer::create(WritesPerSecond);
  BOOST_TEST((Pacer.delayAfterFailure(1) == milliseconds(500)));
  BOOST_TEST((Pacer.delayAfterFailure(1) == milliseconds(1000)));
  BOOST_TEST((Pacer.delayAfterFailure(0) == milliseconds(1000)));
  BOOST_TEST((Pacer.delayAfterFailure(1) == milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(SuccessResetsTheDelay) {
  auto Pacer = registration_pacer::create(WritesPerSecond);
  Pacer.delayAfterFailure(1);
  Pacer.onSuccess();
  BOOST_TEST((Pacer.delayAfterFailure(1) == milliseconds(500)));
}

BOOST_AUTO_TEST_SUITE_END()
