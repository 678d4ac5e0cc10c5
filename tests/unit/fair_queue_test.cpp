/// \file
/// Tests of fair_queue.
#include "agatedale/fair_queue.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <tuple>

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
  BOOST_TEST(Served, "expected the quiet account's item among the first two");
}

// Guards against the weight of a former configuration that lasts as long as the
// account has requests in the queue.
BOOST_AUTO_TEST_CASE(ChangedWeightAppliesToAQueueThatIsNotEmpty) {
  fair_queue Queue = fair_queue::create(1000);
  for (request_id I = 0; I < 100; ++I) {
    Queue.push(item(I, "changed", 100, 1));
    Queue.push(item(1000 + I, "other", 100, 1));
  }
  Queue.push(item(500, "changed", 100, 3));
  int Changed = 0;
  for (int I = 0; I < 100; ++I)
    Changed += Queue.pop()->Account == "changed" ? 1 : 0;
  BOOST_TEST(std::abs(Changed - 75) <= 1);
  BOOST_TEST(Queue.shareOf("new", 1) == 0.2);
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
  BOOST_TEST(Late <= 11,
             "expected at most 11 of 20 items from account 'late', got "
                 << Late);
}

// Guards against a dispatch that goes account by account in order of names.
BOOST_AUTO_TEST_CASE(ItemsOfAQuietAccountComeBetweenThoseOfANoisyOne) {
  fair_queue Queue = fair_queue::create(100);
  for (request_id I = 0; I < 50; ++I)
    Queue.push(item(I, "a-noisy", 100));
  Queue.push(item(98, "z-quiet", 100));
  Queue.push(item(99, "z-quiet", 200));
  const std::vector<work_item> Items = Queue.itemsInOrder();
  BOOST_TEST(Items.size() == 52);
  BOOST_TEST(Items[1].Id == 98);
  BOOST_TEST(Items[3].Id == 99);
}

BOOST_AUTO_TEST_CASE(ItemsAreInTheOrderInWhichTheyArePopped) {
  std::mt19937 Random(5);
  for (int Round = 0; Round < 50; ++Round) {
    fair_queue Queue = fair_queue::create(200);
    for (request_id I = 0; I < 100; ++I) {
      const auto Account = static_cast<int>(Random() % 5);
      work_item Item = item(I, std::string(1, static_cast<char>('a' + Account)),
                            static_cast<int>(Random() % 1000), Account + 1);
      Item.Priority = static_cast<int>(Random() % 4);
      Queue.push(Item);
      if (Random() % 4 == 0)
        Queue.pop();
    }
    for (const work_item &Item : Queue.itemsInOrder())
      BOOST_REQUIRE(Queue.pop()->Id == Item.Id);
  }
}

// A taken item is charged, so that an account is not always first.
BOOST_AUTO_TEST_CASE(ATakenItemIsChargedToItsAccount) {
  fair_queue Queue = fair_queue::create(100);
  for (request_id I = 0; I < 40; ++I)
    Queue.push(item(I, "noisy", 100));
  for (int I = 0; I < 10; ++I)
    Queue.take(Queue.itemsInOrder().front().Id);
  for (request_id I = 100; I < 105; ++I)
    Queue.push(item(I, "quiet", 100));
  int Quiet = 0;
  for (int I = 0; I < 10; ++I) {
    const work_item Next = Queue.itemsInOrder().front();
    Quiet += Next.Account == "quiet" ? 1 : 0;
    Queue.take(Next.Id);
  }
  BOOST_TEST(Quiet == 5);
}

BOOST_AUTO_TEST_CASE(ALessUrgentAccountKeepsAQuarterOfItsShare) {
  fair_queue Queue = fair_queue::create(1000);
  for (request_id I = 0; I < 200; ++I) {
    Queue.push(item(I, "urgent", 100));
    work_item Bulk = item(1000 + I, "bulk", 100);
    Bulk.Priority = 5;
    Queue.push(Bulk);
  }
  int Bulk = 0;
  for (int I = 0; I < 100; ++I)
    Bulk += Queue.pop()->Account == "bulk" ? 1 : 0;
  BOOST_TEST(Bulk == 20);
}

// Without accounts the order is that of priority, deadline and arrival, as it
// was before items were taken in the fair order. Replays both.
BOOST_AUTO_TEST_CASE(WithoutAccountsTheOrderIsAsBefore) {
  std::mt19937 Random(11);
  fair_queue Queue = fair_queue::create(300);
  std::map<std::tuple<int, time_point, request_id>, work_item> Before;
  const auto KeyOf = [](const work_item &Item) {
    return std::tuple(Item.Priority, Item.Deadline, Item.Id);
  };
  for (request_id I = 0; I < 3000; ++I) {
    work_item Item = item(I, "", static_cast<int>(Random() % 500));
    Item.Priority = static_cast<int>(Random() % 3);
    if (Queue.size() < 200) {
      Queue.push(Item);
      Before.emplace(KeyOf(Item), Item);
    }
    const std::vector<work_item> Items = Queue.itemsInOrder();
    BOOST_REQUIRE(Items.size() == Before.size());
    BOOST_REQUIRE(std::equal(Items.begin(), Items.end(), Before.begin(),
                             [](const work_item &Now, const auto &Entry) {
                               return Now.Id == Entry.second.Id;
                             }));
    // A few are sent, refused or repeated, from anywhere in the queue.
    const work_item &Chosen = Items[Random() % Items.size()];
    switch (Random() % 4) {
    case 0:
      Queue.take(Chosen.Id);
      Before.erase(KeyOf(Chosen));
      break;
    case 1:
      Queue.remove(Chosen.Id);
      Before.erase(KeyOf(Chosen));
      break;
    case 2:
      Queue.take(Chosen.Id);
      Queue.requeue(Chosen);
      break;
    default:
      BOOST_REQUIRE(Queue.pop()->Id == Before.begin()->second.Id);
      Before.erase(Before.begin());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
