/// \file
/// Tests of snapshot_limiter.
#include "agatedale/snapshot_limiter.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>
#include <vector>

using namespace agatedale;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(snapshot_limiter_test)

namespace {

constexpr time_point Start{std::chrono::hours(1)};
constexpr std::size_t SnapshotBytes = 100'000;

/// Returns the limiter of a hub with a link of 100 Mbit/s.
snapshot_limiter makeLimiter() { return snapshot_limiter::create(12.8e6); }

/// Lets 35 VMs request a snapshot each Interval until they get one. Returns the
/// number of snapshots sent in each round.
std::vector<int> sentByRound(snapshot_limiter &Limiter, int Rounds) {
  std::set<int> Waiting;
  for (int Vm = 0; Vm < 35; ++Vm)
    Waiting.insert(Vm);
  std::vector<int> RecentlySent;
  for (int Round = 0; Round < Rounds; ++Round) {
    const time_point Now = Start + Round * snapshot_limiter::Interval;
    const std::size_t Before = Waiting.size();
    std::erase_if(Waiting, [&](int Vm) {
      return Limiter.tryAcquire("vm-" + std::to_string(Vm), SnapshotBytes, Now);
    });
    RecentlySent.push_back(static_cast<int>(Before - Waiting.size()));
  }
  return RecentlySent;
}

} // namespace

BOOST_AUTO_TEST_CASE(StartingZoneReceivesSnapshotsInBatches) {
  snapshot_limiter Limiter = makeLimiter();
  const std::vector<int> Expected{8, 8, 8, 8, 3};
  BOOST_TEST(sentByRound(Limiter, 5) == Expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(RepeatedRequestWaitsForTheFirstSnapshot) {
  snapshot_limiter Limiter = makeLimiter();
  BOOST_TEST(Limiter.tryAcquire("vm", SnapshotBytes, Start));
  BOOST_TEST(
      !Limiter.tryAcquire("vm", SnapshotBytes, Start + milliseconds(250)));
  BOOST_TEST(
      !Limiter.tryAcquire("vm", SnapshotBytes, Start + milliseconds(999)));
}

BOOST_AUTO_TEST_CASE(LostSnapshotIsSentAgain) {
  snapshot_limiter Limiter = makeLimiter();
  BOOST_TEST(Limiter.tryAcquire("vm", SnapshotBytes, Start));
  BOOST_TEST(Limiter.tryAcquire("vm", SnapshotBytes,
                                Start + snapshot_limiter::DeliveryTimeout));
}

BOOST_AUTO_TEST_CASE(SmallSnapshotsReachAZoneInOneInterval) {
  snapshot_limiter Limiter = makeLimiter();
  int Acquired = 0;
  for (int Vm = 0; Vm < 35; ++Vm)
    Acquired +=
        Limiter.tryAcquire("vm-" + std::to_string(Vm), SnapshotBytes / 5, Start)
            ? 1
            : 0;
  BOOST_TEST(Acquired == 35);
}

BOOST_AUTO_TEST_CASE(SnapshotBeyondTheLimitIsSentAlone) {
  snapshot_limiter Limiter = makeLimiter();
  BOOST_TEST(Limiter.tryAcquire("vm-1", 100 * SnapshotBytes, Start));
  BOOST_TEST(!Limiter.tryAcquire("vm-2", 100 * SnapshotBytes, Start));
  BOOST_TEST(Limiter.tryAcquire("vm-2", 100 * SnapshotBytes,
                                Start + snapshot_limiter::Interval));
}

BOOST_AUTO_TEST_SUITE_END()
