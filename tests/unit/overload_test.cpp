/// \file
/// Tests of a server group under more load than its servers bear.
#include "agatedale/server_group.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>
#include <random>

using namespace agatedale;
using std::chrono::microseconds;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(overload_test)

namespace {

constexpr int ServerCount = 10;
constexpr int FailingServers = 2;
constexpr double MeanMs = 10;
constexpr double LoadFactor = 1.5;
constexpr milliseconds Timeout{200};
constexpr milliseconds Length{20'000};
constexpr milliseconds WarmUp{2000};

/// What a run under overload came to, after the warm-up.
struct overload_result {
  long Requests = 0;
  long Attempts = 0;
  long Answered = 0;
};

/// Drives one group with Poisson arrivals over the good servers' capacity; the
/// first servers fail every request within a millisecond.
class overload_run {
public:
  overload_run() : Group(makeGroup()) { Group.setLeaseEnd(time_point::max()); }

  overload_result run() {
    std::exponential_distribution<double> Gap(
        LoadFactor * (ServerCount - FailingServers) * 2 / MeanMs);
    double NextMs = Gap(Random);
    for (; Now < Start + Length; Now += microseconds(200)) {
      endAttempts();
      carryOut(Group.tick(Now));
      for (; Start + microseconds(static_cast<long>(NextMs * 1000)) <= Now;
           NextMs += Gap(Random))
        submit();
    }
    return Result;
  }

private:
  static server_group makeGroup() {
    std::vector<backend_server> Servers;
    Servers.reserve(ServerCount);
    for (int I = 0; I < ServerCount; ++I)
      Servers.push_back({std::to_string(I), "s", "a", "", false});
    return moveValue(server_group::create({}, Servers));
  }

  bool counts() const { return Now >= Start + WarmUp; }

  void submit() {
    work_item Item;
    Item.Id = ++LastId;
    Item.Account = "account" + std::to_string(LastId % 5);
    Item.Deadline = Now + Timeout;
    Item.Idempotent = true;
    Result.Requests += counts() ? 1 : 0;
    carryOut(Group.submit(Item, Now));
  }

  void carryOut(const std::vector<group_action> &Actions) {
    for (const group_action &Action : Actions) {
      if (const auto *Cancel = std::get_if<cancel_action>(&Action)) {
        Ends.erase(Cancel->Attempt);
        carryOut(
            Group.finish(Cancel->Attempt, attempt_outcome::Cancelled, Now));
      }
      if (const auto *Send = std::get_if<send_action>(&Action))
        send(*Send);
    }
  }

  void send(const send_action &Order) {
    Result.Attempts += counts() ? 1 : 0;
    const bool Fails = std::stoi(Order.Server) < FailingServers;
    std::lognormal_distribution<double> Work(std::log(MeanMs) - 0.125, 0.5);
    const auto Service = microseconds(
        Fails ? 1000 : static_cast<std::int64_t>(Work(Random) * 1000));
    const bool TooLong = Now + Service > Order.Deadline;
    Ends[Order.Attempt] = {TooLong ? Order.Deadline : Now + Service,
                           Fails     ? attempt_outcome::ErrorAnswer
                           : TooLong ? attempt_outcome::TimedOut
                                     : attempt_outcome::Answered};
  }

  void endAttempts() {
    std::vector<attempt_id> Due;
    for (const auto &[Attempt, End] : Ends) {
      if (End.first <= Now)
        Due.push_back(Attempt);
    }
    for (const attempt_id Attempt : Due) {
      const attempt_outcome Outcome = Ends.at(Attempt).second;
      Ends.erase(Attempt);
      const bool Good = Outcome == attempt_outcome::Answered && counts();
      Result.Answered += Good ? 1 : 0;
      carryOut(Group.finish(Attempt, Outcome, Now));
    }
  }

  static constexpr time_point Start{std::chrono::hours(1)};
  std::mt19937_64 Random{5};
  server_group Group;
  time_point Now = Start;
  request_id LastId = 0;
  std::map<attempt_id, std::pair<time_point, attempt_outcome>> Ends;
  overload_result Result;
};

} // namespace

BOOST_AUTO_TEST_CASE(OverloadWithFailingServersCausesNoRetryStorm) {
  const overload_result Result = overload_run().run();
  const double PerRequest = static_cast<double>(Result.Attempts) /
                            static_cast<double>(Result.Requests);
  BOOST_TEST(PerRequest <= 1.1,
             "expected at most 1.1 attempts a request, got " << PerRequest);
}

BOOST_AUTO_TEST_CASE(OverloadWithFailingServersKeepsTheGoodput) {
  const overload_result Result = overload_run().run();
  const double Capacity = (ServerCount - FailingServers) * 2 / MeanMs *
                          static_cast<double>((Length - WarmUp).count());
  const double Goodput = static_cast<double>(Result.Answered) / Capacity;
  BOOST_TEST(Goodput >= 0.9,
             "expected 0.9 of the good servers' capacity, got " << Goodput);
}

BOOST_AUTO_TEST_SUITE_END()
