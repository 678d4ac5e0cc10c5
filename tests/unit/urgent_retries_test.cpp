/// \file
/// Replays servers that shed more requests than the retries make up for.
#include "agatedale/server_group.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <random>
#include <string>

using namespace agatedale;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(urgent_retries_test)

namespace {

constexpr time_point Start{std::chrono::hours(1)};
constexpr milliseconds ServiceTime{100};

struct route_counts {
  int Submitted = 0;
  int Sent = 0;
  int Answered = 0;

  double answeredShare() const {
    return static_cast<double>(Answered) / Submitted;
  }
  int retries() const { return Sent - Submitted; }
};

/// A group at a fifth of its capacity whose servers shed 55 of 100 requests. A
/// quarter of the requests are orders, the others lookups.
class shedding_replay {
public:
  explicit shedding_replay(int LookupPriority)
      : LookupPriority(LookupPriority) {
    server_group_settings Settings;
    Settings.Service.Name = "desk";
    Settings.Service.WarmUpAnswers = 1;
    Settings.Hedging = false;
    Settings.RetryPercent = 18;
    std::vector<backend_server> Servers;
    Servers.reserve(ServerCount);
    for (int I = 0; I < ServerCount; ++I)
      Servers.push_back({"s" + std::to_string(I), "desk", "a", "", false});
    Group.emplace(moveValue(server_group::create(Settings, Servers)));
    Group->setRetryBurst(4);
    Group->setLeaseEnd(time_point::max());
  }

  void run(milliseconds Length) {
    for (int Ms = 0; Ms < Length.count(); ++Ms) {
      const time_point Now = Start + milliseconds(Ms);
      while (!Running.empty() && Running.front().second <= Now) {
        const attempt_id Done = Running.front().first;
        Running.pop_front();
        carryOut(Group->finish(Done, attempt_outcome::Answered, Now), Now);
      }
      if (Ms % 10 == 0)
        submit(Now);
      carryOut(Group->tick(Now), Now);
    }
  }

  route_counts Orders;
  route_counts Lookups;
  int retries() const { return Orders.retries() + Lookups.retries(); }

private:
  static constexpr int ServerCount = 25;

  void submit(time_point Now) {
    work_item Item;
    Item.Id = ++LastRequest;
    Item.Aim = Now + milliseconds(600);
    Item.Deadline = Now + milliseconds(1500);
    Item.MaxAttempts = 3;
    const bool IsOrder = Random() % 4 == 0;
    Item.Route = IsOrder ? "orders" : "lookups";
    Item.Idempotent = !IsOrder;
    Item.Priority = IsOrder ? 1 : LookupPriority;
    route_counts &Route = IsOrder ? Orders : Lookups;
    Routes[Item.Id] = &Route;
    ++Route.Submitted;
    carryOut(Group->submit(Item, Now), Now);
  }

  void carryOut(const std::vector<group_action> &Actions, time_point Now) {
    for (const group_action &Action : Actions) {
      if (const auto *Delivery = std::get_if<deliver_action>(&Action))
        ++Routes[Delivery->Request]->Answered;
      const auto *Order = std::get_if<send_action>(&Action);
      if (!Order)
        continue;
      ++Routes[Order->Request]->Sent;
      if (Random() % 100 >= 55) {
        Running.emplace_back(Order->Attempt, Now + ServiceTime);
        continue;
      }
      const server_report Idle;
      carryOut(Group->finish(Order->Attempt, attempt_outcome::Shed, Now, &Idle),
               Now);
    }
  }

  int LookupPriority;
  std::optional<server_group> Group;
  request_id LastRequest = 0;
  std::map<request_id, route_counts *> Routes;
  std::deque<std::pair<attempt_id, time_point>> Running;
  std::mt19937_64 Random{1};
};

} // namespace

// The orders could use more retries than there are, so lookups should only get
// those that would be lost because no more can accumulate.
BOOST_AUTO_TEST_CASE(OrdersGetTheRetriesBeforeLookups) {
  shedding_replay Replay(2);
  Replay.run(std::chrono::seconds(30));
  BOOST_TEST(Replay.Lookups.retries() * 5 < Replay.Orders.retries(),
             "expected under a fifth of the retries for lookups, got "
                 << Replay.Lookups.retries() << " and "
                 << Replay.Orders.retries());
  BOOST_TEST(Replay.Orders.answeredShare() >
             Replay.Lookups.answeredShare() + 0.2);
}

BOOST_AUTO_TEST_CASE(RetriesLeftOverGoToLookups) {
  shedding_replay Urgent(2);
  shedding_replay Equal(1);
  Urgent.run(std::chrono::seconds(30));
  Equal.run(std::chrono::seconds(30));
  BOOST_TEST(Urgent.retries() * 20 >= Equal.retries() * 19);
}

BOOST_AUTO_TEST_CASE(RequestsOfOnePriorityShareTheRetries) {
  shedding_replay Replay(1);
  Replay.run(std::chrono::seconds(30));
  BOOST_TEST(Replay.Lookups.retries() > Replay.Orders.retries());
}

BOOST_AUTO_TEST_SUITE_END()
