/// \file
/// Tests of store_mirror, store_follower and outage_grace_period.
#include "agatedale/outage_grace_period.h"
#include "agatedale/snapshot_limiter.h"
#include "agatedale/store_follower.h"
#include "agatedale/store_mirror.h"

#include <boost/test/unit_test.hpp>

using namespace agatedale;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(store_following_test)

namespace {

constexpr time_point Start{std::chrono::hours(1)};

table_update snapshotOf(store_table Table, store_version Position,
                        std::vector<stored_row> Rows, time_point AsOf = Start) {
  return {Table, 0, Position, true, AsOf, std::move(Rows)};
}

table_update updateFrom(store_version Since, store_version Position,
                        std::vector<stored_row> Rows) {
  return {store_table::Servers, Since, Position, false, Start, std::move(Rows)};
}

/// Returns a mirror whose tables are complete up to version 10 as of \p AsOf.
store_mirror readMirror(time_point AsOf = Start) {
  store_mirror Mirror;
  for (const store_table Table : AllStoreTables)
    Mirror.apply(snapshotOf(Table, 10, {{"a", "1", 5, false}}, AsOf));
  return Mirror;
}

const std::string &valueOfA(const store_mirror &Mirror) {
  return Mirror.rows(store_table::Servers).at("a").Value;
}

} // namespace

BOOST_AUTO_TEST_CASE(OlderVersionOfARowIsIgnored) {
  store_mirror Mirror = readMirror();
  Mirror.apply(updateFrom(10, 12, {{"a", "new", 12, false}}));
  Mirror.apply(updateFrom(10, 11, {{"a", "old", 11, false}}));
  BOOST_TEST(valueOfA(Mirror) == "new");
  BOOST_TEST(Mirror.position(store_table::Servers) == 12U);
}

BOOST_AUTO_TEST_CASE(RemovedRowIsNotRestoredByAnOlderVersion) {
  store_mirror Mirror = readMirror();
  Mirror.apply(updateFrom(10, 12, {{"a", "", 12, true}}));
  Mirror.apply(updateFrom(10, 11, {{"a", "old", 11, false}}));
  BOOST_TEST(Mirror.rows(store_table::Servers).empty());
}

BOOST_AUTO_TEST_CASE(UpdateWithGapIsRejected) {
  store_mirror Mirror = readMirror();
  const auto Result = Mirror.apply(updateFrom(20, 25, {{"b", "1", 25, false}}));
  BOOST_TEST((Result == store_mirror::apply_result::Gap));
  BOOST_TEST(Mirror.position(store_table::Servers) == 10U);
}

BOOST_AUTO_TEST_CASE(SnapshotRemovesUnlistedRows) {
  store_mirror Mirror = readMirror();
  Mirror.apply(snapshotOf(store_table::Servers, 20, {{"b", "1", 15, false}}));
  BOOST_TEST(!Mirror.rows(store_table::Servers).contains("a"));
  BOOST_TEST(Mirror.rows(store_table::Servers).contains("b"));
}

BOOST_AUTO_TEST_CASE(UpdateSinceListsOnlyLaterChanges) {
  store_mirror Mirror = readMirror();
  Mirror.apply(
      updateFrom(10, 14, {{"b", "1", 12, false}, {"a", "", 14, true}}));
  const table_update Update = Mirror.updateSince(store_table::Servers, 10);
  BOOST_TEST(!Update.IsSnapshot);
  BOOST_TEST(Update.Rows.size() == 2U);
  BOOST_TEST(Mirror.updateSince(store_table::Servers, 14).Rows.empty());
}

BOOST_AUTO_TEST_CASE(AnswerRefreshesTablesAtTheSameVersion) {
  store_mirror Mirror = readMirror();
  Mirror.confirmUpTo(10, Start + seconds(1));
  BOOST_TEST((Mirror.asOf() == Start + seconds(1)));
}

BOOST_AUTO_TEST_CASE(AnswerDoesNotRefreshTablesThatLag) {
  store_mirror Mirror = readMirror();
  Mirror.confirmUpTo(11, Start + seconds(1));
  BOOST_TEST((Mirror.asOf() == Start));
}

// The store has been restored from a copy: lower versions, other contents.
BOOST_AUTO_TEST_CASE(SnapshotOfALaterEraReplacesTheTable) {
  store_mirror Mirror = readMirror();
  const auto Result = Mirror.apply(
      snapshotOf(store_table::Servers, {1, 4}, {{"b", "b4", {1, 4}, false}}));
  BOOST_TEST((Result == store_mirror::apply_result::Changed));
  BOOST_TEST(Mirror.rows(store_table::Servers).size() == 1U);
  BOOST_TEST(Mirror.rows(store_table::Servers).at("b").Value == "b4");
  BOOST_TEST(Mirror.position(store_table::Servers) == store_version(1, 4));
}

BOOST_AUTO_TEST_CASE(VersionGivenOutAgainReplacesTheRow) {
  store_mirror Mirror = readMirror();
  Mirror.apply(
      snapshotOf(store_table::Servers, {1, 5}, {{"a", "2", {1, 5}, false}}));
  BOOST_TEST(valueOfA(Mirror) == "2");
}

BOOST_AUTO_TEST_CASE(UpdateOfAnEarlierEraIsIgnored) {
  store_mirror Mirror = readMirror();
  Mirror.apply(
      snapshotOf(store_table::Servers, {1, 4}, {{"a", "new", {1, 4}, false}}));
  Mirror.apply(snapshotOf(store_table::Servers, 20, {{"a", "old", 20, false}},
                          Start + seconds(9)));
  Mirror.apply(updateFrom(4, 30, {{"a", "old", 30, false}}));
  BOOST_TEST(valueOfA(Mirror) == "new");
  BOOST_TEST((Mirror.asOf(store_table::Servers) == Start));
}

BOOST_AUTO_TEST_CASE(ChangesOfALaterEraAreAGap) {
  store_mirror Mirror = readMirror();
  const auto Result = Mirror.apply(
      updateFrom({1, 10}, {1, 12}, {{"a", "new", {1, 12}, false}}));
  BOOST_TEST((Result == store_mirror::apply_result::Gap));
  BOOST_TEST(valueOfA(Mirror) == "1");
}

BOOST_AUTO_TEST_CASE(PeerOfAnotherEraIsSentASnapshot) {
  store_mirror Mirror = readMirror();
  Mirror.apply(
      snapshotOf(store_table::Servers, {1, 4}, {{"a", "new", {1, 4}, false}}));
  BOOST_TEST(Mirror.updateSince(store_table::Servers, 10).IsSnapshot);
  BOOST_TEST(Mirror.updateSince(store_table::Servers, {2, 1}).IsSnapshot);
  BOOST_TEST(!Mirror.updateSince(store_table::Servers, {1, 4}).IsSnapshot);
}

// A read that began in the earlier era can be answered after a peer's snapshot
// of the later one.
BOOST_AUTO_TEST_CASE(ChangesAfterAVersionOfAnEarlierEraAreAGap) {
  store_mirror Mirror = readMirror();
  Mirror.apply(
      snapshotOf(store_table::Servers, {1, 4}, {{"a", "new", {1, 4}, false}}));
  const auto Result =
      Mirror.apply(updateFrom(10, {1, 12}, {{"b", "1", {1, 12}, false}}));
  BOOST_TEST((Result == store_mirror::apply_result::Gap));
  BOOST_TEST((Mirror.position(store_table::Servers) == store_version(1, 4)));
}

BOOST_AUTO_TEST_CASE(RemovalOfAnEarlierEraDoesNotHideARow) {
  store_mirror Mirror = readMirror();
  Mirror.apply(updateFrom(10, 12, {{"a", "", 12, true}}));
  Mirror.apply(
      snapshotOf(store_table::Servers, {1, 4}, {{"a", "new", {1, 4}, false}}));
  BOOST_TEST(valueOfA(Mirror) == "new");
  BOOST_TEST(Mirror.updateSince(store_table::Servers, {1, 4}).Rows.empty());
}

BOOST_AUTO_TEST_CASE(AnswerOfALaterEraDoesNotRefreshTables) {
  store_mirror Mirror = readMirror();
  Mirror.confirmUpTo({1, 4}, Start + seconds(1));
  BOOST_TEST((Mirror.asOf() == Start));
}

BOOST_AUTO_TEST_CASE(AllTablesAreReadAgainAfterARestore) {
  store_mirror Mirror = readMirror();
  store_follower Follower({});
  std::vector<store_table> Read;
  Mirror.apply(snapshotOf(store_table::Operators, {1, 4}, {}));
  while (const auto Next = Follower.next(Mirror, 0, Start)) {
    if (!Next->IsSnapshot)
      break;
    Read.push_back(Next->Table);
    BOOST_REQUIRE(Read.size() <= AllStoreTables.size());
    Mirror.apply(snapshotOf(Next->Table, {1, 4}, {}));
    Follower.onAnswer(Next->Table, true);
  }
  BOOST_TEST(Read.size() == 2U);
}

BOOST_AUTO_TEST_CASE(RepeatedTruncationIsFollowedByBackoff) {
  store_follower Follower({});
  time_point Now = Start;
  int Reads = 0;
  for (; Now < Start + seconds(6); Now += milliseconds(20)) {
    const auto Next = Follower.next(readMirror(Now), 0, Now);
    if (!Next)
      continue;
    ++Reads;
    if (Next->IsSnapshot)
      Follower.onAnswer(Next->Table, true);
    else
      Follower.onHistoryTruncated(Next->Table, Now);
  }
  BOOST_TEST(Reads <= 30, "expected 30 reads in 6 s, got " << Reads);
}

BOOST_AUTO_TEST_CASE(ReaderStartsALongPollAtOnce) {
  store_follower Follower({});
  const auto Read = Follower.next(readMirror(), 0, Start);
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST(Read->Wait.count() > 0);
}

BOOST_AUTO_TEST_CASE(OthersDoNotReadWhileRelayedDataIsFresh) {
  store_follower Follower({});
  BOOST_TEST(!Follower.next(readMirror(), 2, Start + seconds(1)).has_value());
}

BOOST_AUTO_TEST_CASE(OthersReadWhenRelayedDataIsStale) {
  store_follower Follower({});
  BOOST_TEST(
      Follower.next(readMirror(), 2, Start + milliseconds(1500)).has_value());
}

BOOST_AUTO_TEST_CASE(NextInRankReadsSooner) {
  const time_point Now = Start + milliseconds(1300);
  BOOST_TEST(store_follower({}).next(readMirror(), 1, Now).has_value());
  BOOST_TEST(!store_follower({}).next(readMirror(), 2, Now).has_value());
}

BOOST_AUTO_TEST_CASE(LaggingTableIsReadNext) {
  store_mirror Mirror = readMirror();
  Mirror.apply(updateFrom(10, 12, {}));
  const auto Read = store_follower({}).next(Mirror, 0, Start);
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST(Read->After == 10U);
  BOOST_TEST(Read->Wait.count() == 0);
}

BOOST_AUTO_TEST_CASE(TruncatedHistoryRequiresASnapshot) {
  store_follower Follower({});
  Follower.onHistoryTruncated(store_table::Servers, Start);
  const auto Read = Follower.next(readMirror(), 0, Start);
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST(Read->IsSnapshot);
  BOOST_TEST((Read->Table == store_table::Servers));
}

BOOST_AUTO_TEST_CASE(FailedReadIsFollowedByBackoff) {
  store_follower Follower({});
  Follower.onFailure(Start);
  BOOST_TEST(!Follower.next(readMirror(), 0, Start).has_value());
  BOOST_TEST(Follower.next(readMirror(), 0, Start + seconds(1)).has_value());
}

BOOST_AUTO_TEST_CASE(BackoffGrowsWithTheRank) {
  store_follower Reader({});
  store_follower Fifth({});
  const time_point Now = Start + seconds(2);
  for (store_follower *Follower : {&Reader, &Fifth}) {
    Follower->next(readMirror(), Follower == &Reader ? 0 : 5, Now);
    Follower->onFailure(Now);
  }
  const time_point Later = Now + milliseconds(200);
  BOOST_TEST(Reader.next(readMirror(), 0, Later).has_value());
  BOOST_TEST(!Fifth.next(readMirror(), 5, Later).has_value());
}

// The store is lost for all 59 VMs of a zone for 8 s. Hubs and readers try
// again and again to notice its return; the others would only fail too.
BOOST_AUTO_TEST_CASE(OutageDoesNotMakeAWholeZoneCallTheStore) {
  constexpr int Vms = 59;
  const time_point Return = Start + seconds(8);
  const store_mirror Mirror = readMirror();
  std::vector<store_follower> Followers(Vms, store_follower({}));
  int Calls = 0;
  std::optional<time_point> NoticedAt;
  for (time_point Now = Start; !NoticedAt; Now += milliseconds(20)) {
    for (int Rank = 0; Rank < Vms; ++Rank) {
      store_follower &Follower = Followers[static_cast<std::size_t>(Rank)];
      if (!Follower.next(Mirror, Rank, Now))
        continue;
      ++Calls;
      Follower.onFailure(Now);
      NoticedAt = Now >= Return ? std::optional(Now) : std::nullopt;
    }
  }
  BOOST_TEST(Calls <= 3 * Vms, "expected 3 calls a VM, got " << Calls);
  BOOST_TEST((*NoticedAt - Return <= milliseconds(600)));
}

BOOST_AUTO_TEST_CASE(StartingVmWaitsForAHubsFirstSnapshot) {
  store_mirror Mirror;
  Mirror.apply(snapshotOf(store_table::Vms, 10, {}));
  store_follower Follower({});
  BOOST_TEST(!Follower.next(Mirror, 2, Start).has_value());
  BOOST_TEST(Follower.next(Mirror, 2, Start + seconds(1)).has_value());
}

BOOST_AUTO_TEST_CASE(StartingVmReadsItsZoneBeforeTheWholeList) {
  store_follower Follower({});
  const auto First = Follower.next(store_mirror(), 0, Start);
  BOOST_REQUIRE(First.has_value());
  BOOST_TEST(First->IsOwnZoneOnly);
  Follower.onZoneRead();
  BOOST_TEST(!Follower.next(store_mirror(), 2, Start).has_value());
}

BOOST_AUTO_TEST_CASE(StartingVmReadsTheWholeListIfNoHubSendsIt) {
  store_follower Follower({});
  Follower.next(store_mirror(), 2, Start);
  Follower.onZoneRead();
  const auto Read = Follower.next(store_mirror(), 2, Start + seconds(1));
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST(Read->IsSnapshot);
  BOOST_TEST((Read->Table == store_table::Vms));
}

BOOST_AUTO_TEST_CASE(StartingHubReadsItsFirstSnapshotItself) {
  store_mirror Mirror;
  Mirror.apply(snapshotOf(store_table::Vms, 10, {}));
  store_follower Follower({});
  BOOST_TEST(Follower.next(Mirror, 3, Start, std::nullopt).has_value());
}

// 59 VMs of a zone start at once; a hub sends its snapshot to a few at a time.
BOOST_AUTO_TEST_CASE(VmOfALargeZoneWaitsUntilTheHubsHaveServedAll) {
  store_mirror Mirror;
  Mirror.apply(snapshotOf(store_table::Vms, 10, {}));
  store_follower Follower({});
  const duration All = snapshot_limiter::timeFor(59);
  BOOST_TEST(!Follower.next(Mirror, 2, Start, All).has_value());
  BOOST_TEST(!Follower.next(Mirror, 2, Start + All, All).has_value());
  BOOST_TEST(
      Follower.next(Mirror, 2, Start + All + seconds(1), All).has_value());
}

BOOST_AUTO_TEST_CASE(LongOutageStartsAGracePeriod) {
  outage_grace_period GracePeriod;
  GracePeriod.recordStoreTime(Start, Start);
  const time_point Back = Start + seconds(5);
  BOOST_TEST(GracePeriod.recordStoreTime(Back, Back));
  BOOST_TEST(GracePeriod.isActive(Back + milliseconds(1700)));
  BOOST_TEST(!GracePeriod.isActive(Back + milliseconds(1900)));
}

BOOST_AUTO_TEST_CASE(RepeatedShortOutagesStartNoGracePeriod) {
  outage_grace_period GracePeriod;
  for (int I = 0; I < 10; ++I) {
    const time_point Now = Start + I * milliseconds(1400);
    BOOST_TEST(!GracePeriod.recordStoreTime(Now, Now));
    BOOST_TEST(!GracePeriod.isActive(Now));
  }
}

BOOST_AUTO_TEST_SUITE_END()
