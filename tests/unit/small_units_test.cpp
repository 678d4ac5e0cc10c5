/// \file
/// Tests of verdicts, group_selector, link_token_bucket, metrics, event_log and
/// membership.
#include "agatedale/entry_vm.h"
#include "agatedale/event_log.h"
#include "agatedale/group_selector.h"
#include "agatedale/link_token_bucket.h"
#include "agatedale/metrics.h"
#include "agatedale/verdict.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace agatedale;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(small_units_test)

namespace {

constexpr time_point Start{std::chrono::hours(1)};

group_load busy(int Queued) { return {Queued, 12, 12, milliseconds(10)}; }

entry_vm vm(const std::string &Name, const std::string &Zone) {
  return {{Name, 1}, "10.0.0.1", Zone, "r", true, false};
}

} // namespace

BOOST_AUTO_TEST_CASE(ReasonsHaveDistinctNamesAndErrorStatuses) {
  std::set<std::string_view> Names;
  const int Last = static_cast<int>(refusal_reason::MemoryFull);
  for (int I = 1; I <= Last; ++I) {
    const auto Reason = static_cast<refusal_reason>(I);
    BOOST_TEST(Names.insert(reasonName(Reason)).second,
               "reason " << I << " has a duplicate name");
    BOOST_TEST(httpStatusOf(Reason) >= 400, reasonName(Reason));
  }
}

BOOST_AUTO_TEST_CASE(UnknownVerdictCountsAsMayHaveRun) {
  BOOST_TEST((parseVerdict("surprise") == verdict::MayHaveRun));
  BOOST_TEST((parseVerdict("not-run") == verdict::NotRun));
}

BOOST_AUTO_TEST_CASE(NonIdempotentRequestIsRetriedOnlyAfterNotRun) {
  BOOST_TEST(isRetryAllowed(verdict::NotRun, false));
  BOOST_TEST(!isRetryAllowed(verdict::MayHaveRun, false));
  BOOST_TEST(isRetryAllowed(verdict::MayHaveRun, true));
}

BOOST_AUTO_TEST_CASE(OwnZoneIsChosenWhileItsWaitIsShort) {
  group_selector Selector = group_selector::create({});
  const std::vector<group_id> Groups{{"s", "a", 0}, {"s", "b", 0}};
  Selector.onLoad(Groups[0], busy(0), Start);
  Selector.onLoad(Groups[1], busy(0), Start);
  BOOST_TEST(Selector.choose(Groups, "b", Start)->Zone == "b");
}

BOOST_AUTO_TEST_CASE(OtherZoneIsChosenWhenTheOwnQueueIsLonger) {
  group_selector Selector = group_selector::create({});
  const std::vector<group_id> Groups{{"s", "a", 0}, {"s", "b", 0}};
  Selector.onLoad(Groups[0], busy(30), Start);
  Selector.onLoad(Groups[1], busy(0), Start);
  BOOST_TEST(Selector.choose(Groups, "a", Start)->Zone == "b");
}

BOOST_AUTO_TEST_CASE(OwnSentRequestsCountUntilTheNextLoadReport) {
  group_selector Selector = group_selector::create({});
  const std::vector<group_id> Groups{{"s", "a", 0}, {"s", "b", 0}};
  Selector.onLoad(Groups[0], busy(0), Start);
  Selector.onLoad(Groups[1], busy(0), Start);
  for (int I = 0; I < 30; ++I)
    Selector.onSent(Groups[0]);
  BOOST_TEST(Selector.choose(Groups, "a", Start)->Zone == "b");
}

BOOST_AUTO_TEST_CASE(UnresponsiveOwnerIsSkippedTemporarily) {
  group_selector Selector = group_selector::create({});
  const std::vector<group_id> Groups{{"s", "a", 0}, {"s", "b", 0}};
  Selector.onNoAnswer(Groups[0], Start, true);
  BOOST_TEST(Selector.choose(Groups, "a", Start)->Zone == "b");
  BOOST_TEST(Selector.choose(Groups, "a", Start + milliseconds(500))->Zone ==
             "a");
}

BOOST_AUTO_TEST_CASE(BulkIsRefusedBeforeAnswersAndControl) {
  link_token_bucket Link = link_token_bucket::create(1000, 1000, Start);
  BOOST_TEST(Link.tryConsume(traffic_class::Bulk, 600, Start));
  BOOST_TEST(!Link.tryConsume(traffic_class::Bulk, 1, Start));
  BOOST_TEST(Link.tryConsume(traffic_class::Answers, 500, Start));
  BOOST_TEST(!Link.tryConsume(traffic_class::Answers, 1, Start));
  BOOST_TEST(Link.tryConsume(traffic_class::Control, 100, Start));
}

BOOST_AUTO_TEST_CASE(LinkTokensRefillOverTime) {
  link_token_bucket Link = link_token_bucket::create(1000, 1000, Start);
  Link.tryConsume(traffic_class::Bulk, 1000, Start);
  BOOST_TEST(
      !Link.tryConsume(traffic_class::Bulk, 1, Start + milliseconds(400)));
  BOOST_TEST(
      Link.tryConsume(traffic_class::Bulk, 1, Start + milliseconds(600)));
}

BOOST_AUTO_TEST_CASE(LinkNeverExceedsRateAndBurst) {
  link_token_bucket Link = link_token_bucket::create(1000, 500, Start);
  std::int64_t Sent = 0;
  for (int Ms = 0; Ms < 10'000; ++Ms)
    Sent += Link.tryConsume(traffic_class::Bulk, 10, Start + milliseconds(Ms))
                ? 10
                : 0;
  BOOST_TEST(Sent <= 10'000 + 500 + 10);
}

BOOST_AUTO_TEST_CASE(QuantileLiesWithinOneBucket) {
  latency_histogram Histogram;
  for (int I = 1; I <= 1000; ++I)
    Histogram.record(milliseconds(I));
  const double P99 = static_cast<double>(toMillis(Histogram.quantile(0.99)));
  BOOST_TEST(P99 >= 990);
  BOOST_TEST(P99 <= 990 * 1.2);
}

BOOST_AUTO_TEST_CASE(MetricsAreExportedWithEscapedLabels) {
  metrics Metrics;
  Metrics.increment("requests_total", formatLabel("account", "a\"b"), 3);
  BOOST_TEST(Metrics.exportText().find(
                 "requests_total{account=\"a\\\"b\"} 3") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(LabelSetsAreBounded) {
  metrics Metrics;
  for (int I = 0; I < 100'000; ++I)
    Metrics.increment("x", formatLabel("n", std::to_string(I)));
  const std::string Text = Metrics.exportText();
  BOOST_TEST(std::count(Text.begin(), Text.end(), '\n') <= 16 * 1024);
}

BOOST_AUTO_TEST_CASE(EventsAreBoundedAndFoundByRequest) {
  event_log Events;
  for (int I = 0; I < 1000; ++I)
    Events.add({I, event_kind::Refused, "orders", "r" + std::to_string(I), ""});
  BOOST_TEST(Events.findEvents("orders").size() == 256u);
  BOOST_TEST(Events.findEvents("r999").size() == 1u);
  BOOST_TEST(Events.findEvents("r1").empty());
}

BOOST_AUTO_TEST_CASE(MemberIsLiveForTheHeartbeatTimeout) {
  member_view Members = member_view::create(vm("self", "a"), seconds(1));
  Members.recordHeartbeat(vm("x", "b"), Start);
  BOOST_TEST(Members.live(Start + milliseconds(999)).size() == 2u);
  BOOST_TEST(Members.live(Start + seconds(1)).size() == 1u);
}

BOOST_AUTO_TEST_CASE(OwnerIsPreferredInItsOwnZoneElseInItsRegion) {
  member_view Members = member_view::create(vm("self", "a"), seconds(1));
  Members.setSelf(true, false);
  Members.recordHeartbeat(vm("x", "b"), Start);
  BOOST_TEST(Members.preferredOwner("g", "b", "r", Start)->Id.Name == "x");
  BOOST_TEST(
      Members.preferredOwner("g", "b", "r", Start + seconds(2))->Id.Name ==
      "self");
}

BOOST_AUTO_TEST_CASE(LeavingMemberIsNeverPreferred) {
  member_view Members = member_view::create(vm("self", "a"), seconds(1));
  Members.setSelf(true, true);
  BOOST_TEST(!Members.preferredOwner("g", "a", "r", Start).has_value());
}

BOOST_AUTO_TEST_CASE(LaterRefusalDoesNotRuleOutAnEarlierRun) {
  BOOST_TEST((combineVerdicts(verdict::MayHaveRun, verdict::NotRun) ==
              verdict::MayHaveRun));
  BOOST_TEST(
      (combineVerdicts(verdict::NotRun, verdict::NotRun) == verdict::NotRun));
  BOOST_TEST((combineVerdicts(verdict::MayHaveRun, verdict::Answered) ==
              verdict::Answered));
}

BOOST_AUTO_TEST_SUITE_END()
