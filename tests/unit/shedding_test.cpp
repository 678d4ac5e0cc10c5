/// \file
/// Replays servers that refuse a part of their requests though they have room.
#include "agatedale/server_group.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <random>

using namespace agatedale;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(shedding_test)

namespace {

constexpr time_point Start{std::chrono::hours(1)};
constexpr int ServerCount = 20;
constexpr milliseconds ServiceTime{100};

/// A group at a third of its capacity. Every server refuses three quarters of
/// what it is sent, and says with the refusal how full it is.
class shedding_run {
public:
  explicit shedding_run(int ReportedRunning)
      : ReportedRunning(ReportedRunning) {
    server_group_settings Settings;
    Settings.Service.Name = "orders";
    Settings.Service.WarmUpAnswers = 1;
    Settings.Hedging = false;
    std::vector<backend_server> Servers;
    Servers.reserve(ServerCount);
    for (int I = 0; I < ServerCount; ++I)
      Servers.push_back({"s" + std::to_string(I), "orders", "a", "", false});
    Group.emplace(moveValue(server_group::create(Settings, Servers)));
    Group->setLeaseEnd(time_point::max());
  }

  /// Submits a request each 8 ms for \p Length.
  void run(milliseconds Length) {
    for (int Ms = 0; Ms < Length.count(); ++Ms) {
      const time_point Now = Start + milliseconds(Ms);
      while (!Running.empty() && Running.front().second <= Now) {
        const attempt_id Done = Running.front().first;
        Running.pop_front();
        ++Answered;
        carryOut(Group->finish(Done, attempt_outcome::Answered, Now), Now);
      }
      if (Ms % 8 == 0)
        submit(Now);
      carryOut(Group->tick(Now), Now);
    }
  }

  int Submitted = 0;
  int Answered = 0;
  int RefusedUnsent = 0; ///< Refused without having been sent.

private:
  void submit(time_point Now) {
    work_item Item;
    Item.Id = static_cast<request_id>(++Submitted);
    Item.Aim = Now + milliseconds(300);
    Item.Deadline = Now + milliseconds(1000);
    Item.Idempotent = true;
    Item.Route = "reads";
    carryOut(Group->submit(Item, Now), Now);
  }

  void carryOut(const std::vector<group_action> &Actions, time_point Now) {
    for (const group_action &Action : Actions) {
      if (const auto *Refusal = std::get_if<group_refusal>(&Action))
        RefusedUnsent += Refusal->AttemptsMade == 0 ? 1 : 0;
      const auto *Order = std::get_if<send_action>(&Action);
      if (!Order)
        continue;
      if (Random() % 4 == 0) {
        Running.emplace_back(Order->Attempt, Now + ServiceTime);
        continue;
      }
      server_report Report;
      Report.Running = ReportedRunning;
      carryOut(
          Group->finish(Order->Attempt, attempt_outcome::Shed, Now, &Report),
          Now);
    }
  }

  int ReportedRunning;
  std::optional<server_group> Group;
  std::deque<std::pair<attempt_id, time_point>> Running;
  std::mt19937_64 Random{1};
};

} // namespace

BOOST_AUTO_TEST_CASE(RefusalsByServersWithFreeSlotsDoNotReduceCapacity) {
  shedding_run Run(0);
  Run.run(std::chrono::seconds(8));
  BOOST_TEST(Run.RefusedUnsent * 20 < Run.Submitted,
             "expected under 5% of " << Run.Submitted
                                     << " to be held back, got "
                                     << Run.RefusedUnsent);
  BOOST_TEST(Run.Answered * 5 > Run.Submitted,
             "expected over a fifth to be answered, got " << Run.Answered);
}

BOOST_AUTO_TEST_CASE(RefusalsByFullServersReduceTheSendRate) {
  shedding_run Run(2);
  Run.run(std::chrono::seconds(8));
  BOOST_TEST(Run.RefusedUnsent * 10 > Run.Submitted);
}

BOOST_AUTO_TEST_SUITE_END()
