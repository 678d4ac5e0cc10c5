/// \file
/// Tests of a server group while a VM that waits for its answers stops: a
/// replay of orders that arrive late in the grace.
#include "agatedale/server_group.h"
#include "agatedale/stop_sequence.h"

#include <boost/test/unit_test.hpp>

using namespace agatedale;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(stopping_requests_test)

namespace {

constexpr time_point Signal{std::chrono::hours(1)};
constexpr duration Grace = seconds(6);
constexpr int ServerCount = 6;
constexpr int OrderCount = 12;
constexpr seconds Deadline{8};

const finish_limit Limit = stop_sequence::create(Signal, Grace).finishLimit();

/// What became of orders that were submitted together.
struct outcome {
  std::vector<attempt_id> Sent;
  std::vector<group_refusal> Refused;

  void add(const std::vector<group_action> &Actions) {
    for (const group_action &Action : Actions) {
      if (const auto *Order = std::get_if<send_action>(&Action))
        Sent.push_back(Order->Attempt);
      else if (const auto *Refusal = std::get_if<group_refusal>(&Action))
        Refused.push_back(*Refusal);
    }
  }

  bool areRefusalsNotRun() const {
    return std::all_of(Refused.begin(), Refused.end(), [](const auto &Refusal) {
      return Refusal.Verdict == verdict::NotRun &&
             Refusal.Reason == refusal_reason::Stopping;
    });
  }
};

server_group group() {
  server_group_settings Settings;
  Settings.Service.Name = "orders";
  std::vector<backend_server> Servers;
  Servers.reserve(ServerCount);
  for (int I = 0; I < ServerCount; ++I)
    Servers.push_back({.Name = "s" + std::to_string(I),
                       .Service = "orders",
                       .Zone = "a",
                       .Address = "127.0.0.1:" + std::to_string(9000 + I)});
  server_group Group = moveValue(server_group::create(Settings, Servers));
  Group.setLeaseEnd(time_point::max());
  return Group;
}

work_item order(time_point Now) {
  static request_id LastId = 0;
  work_item Item;
  Item.Id = ++LastId;
  Item.Account = "a";
  Item.Route = "orders";
  Item.Deadline = Now + Deadline;
  Item.Aim = Item.Deadline;
  return Item;
}

outcome submitOrders(server_group &Group, time_point Now,
                     const finish_limit &Finish = {}) {
  outcome Outcome;
  for (int I = 0; I < OrderCount; ++I) {
    work_item Item = order(Now);
    Item.Finish = Finish;
    Outcome.add(Group.submit(Item, Now));
  }
  return Outcome;
}

/// Has a server answer one order after \p RunTime.
void measure(server_group &Group, duration RunTime) {
  const time_point Begin = Signal - seconds(10);
  outcome First;
  First.add(Group.submit(order(Begin), Begin));
  BOOST_REQUIRE(First.Sent.size() == 1);
  Group.finish(First.Sent[0], attempt_outcome::Answered, Begin + RunTime);
}

} // namespace

// Guards against orders that are passed on late in the grace and cut at its
// end, and against orders held in a queue until then.
BOOST_AUTO_TEST_CASE(OrdersLateInTheGraceAreRefusedAtOnce) {
  for (const milliseconds After :
       {milliseconds(3400), milliseconds(3600), milliseconds(4500)}) {
    server_group Group = group();
    Group.setFinishLimit(Limit);
    const outcome Outcome = submitOrders(Group, Signal + After);
    BOOST_TEST(Outcome.Sent.empty(), After.count() << " ms");
    BOOST_TEST(Outcome.Refused.size() == OrderCount);
    BOOST_TEST(Outcome.areRefusalsNotRun());
  }
}

BOOST_AUTO_TEST_CASE(OrdersThatRunTooLongAreRefusedAtOnce) {
  server_group Group = group();
  measure(Group, milliseconds(2600));
  Group.setFinishLimit(Limit);
  const outcome Outcome = submitOrders(Group, Signal + milliseconds(2400));
  BOOST_TEST(Outcome.Sent.empty());
  BOOST_TEST(Outcome.Refused.size() == OrderCount);
  BOOST_TEST(Outcome.areRefusalsNotRun());
}

BOOST_AUTO_TEST_CASE(UnmeasuredOrdersAreSentOnlyToFreeServers) {
  server_group Group = group();
  Group.setFinishLimit(Limit);
  const outcome Outcome = submitOrders(Group, Signal + milliseconds(2400));
  BOOST_TEST(Outcome.Sent.size() == ServerCount);
  BOOST_TEST(Outcome.Refused.size() == OrderCount - ServerCount);
  BOOST_TEST(Outcome.areRefusalsNotRun());
}

BOOST_AUTO_TEST_CASE(WithoutAStopTheOrdersWait) {
  server_group Group = group();
  const outcome Outcome = submitOrders(Group, Signal + milliseconds(3600));
  BOOST_TEST(Outcome.Sent.size() == ServerCount);
  BOOST_TEST(Outcome.Refused.empty());
}

// The owner does not stop, but the VM that forwards the orders does.
BOOST_AUTO_TEST_CASE(LimitOfAForwardingVmAppliesToItsOrdersOnly) {
  server_group Group = group();
  const time_point Now = Signal + milliseconds(3600);
  const outcome OfStopping = submitOrders(Group, Now, Limit);
  BOOST_TEST(OfStopping.Sent.empty());
  BOOST_TEST(OfStopping.Refused.size() == OrderCount);
  const outcome OfOthers = submitOrders(Group, Now);
  BOOST_TEST(OfOthers.Sent.size() == ServerCount);
  BOOST_TEST(OfOthers.Refused.empty());
}

BOOST_AUTO_TEST_CASE(OrdersQueuedBeforeTheSignalAreNotHeldUntilTheEnd) {
  server_group Group = group();
  submitOrders(Group, Signal);
  Group.setFinishLimit(Limit);
  outcome Outcome;
  Outcome.add(Group.tick(Limit.UnmeasuredUntil));
  BOOST_TEST(Outcome.Refused.empty());
  Outcome.add(Group.tick(Limit.UnmeasuredUntil + milliseconds(20)));
  BOOST_TEST(Outcome.Refused.size() == OrderCount - ServerCount);
  BOOST_TEST(Outcome.areRefusalsNotRun());
}

BOOST_AUTO_TEST_CASE(QueuedOrderThatCannotBeFinishedIsRefusedAtOnce) {
  server_group Group = group();
  measure(Group, milliseconds(2600));
  const outcome Before = submitOrders(Group, Signal);
  BOOST_REQUIRE(Before.Refused.empty());
  Group.setFinishLimit(Limit);
  outcome Outcome;
  Outcome.add(Group.tick(Signal + milliseconds(20)));
  BOOST_TEST(Outcome.Refused.size() == OrderCount - ServerCount);
  BOOST_TEST(Outcome.areRefusalsNotRun());
}

// A server refuses the order without running it.
BOOST_AUTO_TEST_CASE(OrderIsNotRetriedIfItCannotBeFinished) {
  server_group Group = group();
  measure(Group, milliseconds(300));
  const time_point Now = Signal + milliseconds(3500);
  outcome First;
  Group.setFinishLimit(Limit);
  First.add(Group.submit(order(Now), Now));
  BOOST_REQUIRE(First.Sent.size() == 1);
  outcome Second;
  Second.add(Group.finish(First.Sent[0], attempt_outcome::Shed,
                          Now + milliseconds(1500)));
  BOOST_TEST(Second.Sent.empty());
  BOOST_TEST(Second.Refused.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
