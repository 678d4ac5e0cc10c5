/// \file
/// Tests of fair_queue.
#include "agatedale/fair_queue.h"

#include <boost/test/unit_test.hpp>

using namespace agatedale;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(fair_queue_test)

namespace {

constexpr time_point Start{std::chrono::hours(1)};

work_item item(request_id Id, const std::string &Account, int DeadlineMs,
               int Weight = 1) {
  work_item Item;
  Item.Id = Id;
  Item.Account = Account;
  Item.Weight = Weight;
  Item.Deadline = Start + milliseconds(DeadlineMs);
  return Item;
}

} // namespace

BOOST_AUTO_TEST_CASE(EarliestDeadlineOfAnAccountIsServedFirst) {
  fair_queue Queue = fair_queue::create(10);
  Queue.push(item(1, "a", 300));
  Queue.push(item(2, "a", 100));
  BOOST_TEST(Queue.pop()->Id == 2);
  BOOST_TEST(Queue.pop()->Id == 1);
}

BOOST_AUTO_TEST_CASE(QuietAccountIsNotStarvedByANoisyOne) {
  fair_queue Queue = fair_queue::create(100);
  for (request_id I = 0; I < 50; ++I)
    Queue.push(item(I, "noisy", 100));
  Queue.push(item(99, "quiet", 100));
  Queue.pop();
  Queue.pop();
  const bool Served = !Queue.remove(99);
  BOOST_TEST(Served, "expected the quiet account among the first two");
}

BOOST_AUTO_TEST_CASE(AccountsAreServedInProportionToWeights) {
  fair_queue Queue = fair_queue::create(1000);
  for (request_id I = 0; I < 200; ++I) {
    Queue.push(item(I, "heavy", 100, 3));
    Queue.push(item(1000 + I, "light", 100, 1));
  }
  int Heavy = 0;
  for (int I = 0; I < 100; ++I)
    Heavy += Queue.pop()->Account == "heavy" ? 1 : 0;
  BOOST_TEST(Heavy >= 74);
  BOOST_TEST(Heavy <= 76);
}

BOOST_AUTO_TEST_CASE(FullQueueRefusesItsLargestAccount) {
  fair_queue Queue = fair_queue::create(2);
  Queue.push(item(1, "a", 100));
  Queue.push(item(2, "a", 100));
  const auto Pushed = Queue.push(item(3, "a", 100));
  BOOST_TEST(reasonName(Pushed.Refused) ==
             reasonName(refusal_reason::QueueFull));
}

BOOST_AUTO_TEST_CASE(FullQueueEvictsFromTheLargestAccount) {
  fair_queue Queue = fair_queue::create(2);
  Queue.push(item(1, "a", 100));
  Queue.push(item(2, "a", 200));
  const auto Pushed = Queue.push(item(3, "b", 100));
  BOOST_REQUIRE(Pushed.Evicted.has_value());
  BOOST_TEST(Pushed.Evicted->Id == 2);
  BOOST_TEST(Queue.size() == 2);
}

BOOST_AUTO_TEST_CASE(ExpiredItemsAreReturnedInDeadlineOrder) {
  fair_queue Queue = fair_queue::create(10);
  Queue.push(item(1, "a", 100));
  Queue.push(item(2, "b", 50));
  Queue.push(item(3, "c", 500));
  const auto Expired = Queue.expire(Start + milliseconds(100));
  BOOST_REQUIRE(Expired.size() == 2);
  BOOST_TEST(Expired[0].Id == 2);
  BOOST_TEST(Queue.size() == 1);
}

BOOST_AUTO_TEST_CASE(IdleAccountAccumulatesNoCredit) {
  fair_queue Queue = fair_queue::create(1000);
  for (request_id I = 0; I < 100; ++I)
    Queue.push(item(I, "busy", 100));
  for (int I = 0; I < 50; ++I)
    Queue.pop();
  for (request_id I = 200; I < 250; ++I)
    Queue.push(item(I, "late", 100));
  int Late = 0;
  for (int I = 0; I < 20; ++I)
    Late += Queue.pop()->Account == "late" ? 1 : 0;
  BOOST_TEST(Late <= 11, "expected about half of 20, got " << Late);
}

BOOST_AUTO_TEST_SUITE_END()
