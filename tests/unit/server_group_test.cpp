/// \file
/// Tests of server_group.
#include "agatedale/server_group.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace agatedale;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(server_group_test)

namespace {

constexpr time_point Start{std::chrono::hours(1)};
constexpr time_point Forever = time_point::max();

std::vector<backend_server> servers(int Count) {
  std::vector<backend_server> Servers;
  Servers.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Servers.push_back({"s" + std::to_string(I), "orders", "a",
                       "127.0.0.1:" + std::to_string(9000 + I), false});
  return Servers;
}

server_group group(int Count, double RetryPercent = 10) {
  server_group_settings Settings;
  Settings.Service.Name = "orders";
  Settings.RetryPercent = RetryPercent;
  server_group Group =
      moveValue(server_group::create(Settings, servers(Count)));
  Group.setLeaseEnd(Forever);
  return Group;
}

work_item item(request_id Id, bool Idempotent = true, int DeadlineMs = 1000) {
  work_item Item;
  Item.Id = Id;
  Item.Account = "a";
  Item.Deadline = Start + milliseconds(DeadlineMs);
  Item.Idempotent = Idempotent;
  return Item;
}

template <typename T>
std::vector<T> only(const std::vector<group_action> &All) {
  std::vector<T> Found;
  for (const group_action &Action : All) {
    if (const T *Match = std::get_if<T>(&Action))
      Found.push_back(*Match);
  }
  return Found;
}

/// Submits \p Count requests one after the other, each answered after
/// \p Service.
void warmUp(server_group &Group, milliseconds Service, request_id Count = 5) {
  for (request_id Id = 1; Id <= Count; ++Id) {
    const auto Sent = only<send_action>(Group.submit(item(Id), Start));
    Group.finish(Sent[0].Attempt, attempt_outcome::Answered, Start + Service);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(ColdServerIsSentOneRequestAndTheRestWaits) {
  server_group Group = group(1);
  BOOST_TEST(only<send_action>(Group.submit(item(1), Start)).size() == 1);
  BOOST_TEST(only<send_action>(Group.submit(item(2), Start)).empty());
  BOOST_TEST(Group.load(Start).Queued == 1);
}

BOOST_AUTO_TEST_CASE(FinishedAttemptIsDeliveredAndFreesItsSlot) {
  server_group Group = group(1);
  const auto Sent = only<send_action>(Group.submit(item(1), Start));
  Group.submit(item(2), Start);
  const auto Actions = Group.finish(Sent[0].Attempt, attempt_outcome::Answered,
                                    Start + milliseconds(10));
  BOOST_TEST(only<deliver_action>(Actions).size() == 1);
  BOOST_TEST(only<send_action>(Actions).size() == 1);
}

BOOST_AUTO_TEST_CASE(NothingIsSentAfterTheLeaseEnds) {
  server_group Group = group(1);
  Group.setLeaseEnd(Start);
  const auto Actions = Group.submit(item(1), Start);
  BOOST_TEST(only<send_action>(Actions).empty());
  BOOST_REQUIRE(only<group_refusal>(Actions).size() == 1);
  BOOST_TEST(verdictName(only<group_refusal>(Actions)[0].Verdict) == "not-run");
}

BOOST_AUTO_TEST_CASE(QueuedRequestIsNotSentAfterTheLeaseEnds) {
  server_group Group = group(1);
  const auto Sent = only<send_action>(Group.submit(item(1), Start));
  Group.submit(item(2), Start);
  Group.setLeaseEnd(Start + milliseconds(5));
  const auto Actions = Group.finish(Sent[0].Attempt, attempt_outcome::Answered,
                                    Start + milliseconds(10));
  BOOST_TEST(only<send_action>(Actions).empty());
}

BOOST_AUTO_TEST_CASE(NonIdempotentRequestIsNotRetriedAfterConnectionLoss) {
  server_group Group = group(2);
  const auto Sent = only<send_action>(Group.submit(item(1, false), Start));
  const auto Actions =
      Group.finish(Sent[0].Attempt, attempt_outcome::ConnectionLost,
                   Start + milliseconds(10));
  BOOST_TEST(only<send_action>(Actions).empty());
  BOOST_REQUIRE(only<group_refusal>(Actions).size() == 1);
  BOOST_TEST(verdictName(only<group_refusal>(Actions)[0].Verdict) ==
             "may-have-run");
}

BOOST_AUTO_TEST_CASE(ShedNonIdempotentRequestIsSentToAnotherServer) {
  server_group Group = group(2);
  const auto Sent = only<send_action>(Group.submit(item(1, false), Start));
  const auto Again = only<send_action>(Group.finish(
      Sent[0].Attempt, attempt_outcome::Shed, Start + milliseconds(1)));
  BOOST_REQUIRE(Again.size() == 1);
  BOOST_TEST(Again[0].Server != Sent[0].Server);
}

BOOST_AUTO_TEST_CASE(
    NonIdempotentRequestShedAfterConnectionLossStaysMayHaveRun) {
  server_group Group = group(3);
  const auto First = only<send_action>(Group.submit(item(1, true), Start));
  const auto Second = only<send_action>(
      Group.finish(First[0].Attempt, attempt_outcome::ConnectionLost,
                   Start + milliseconds(1)));
  BOOST_REQUIRE(Second.size() == 1);
  Group.forbidRetry(1);
  const auto Refused = only<group_refusal>(Group.finish(
      Second[0].Attempt, attempt_outcome::Shed, Start + milliseconds(2)));
  BOOST_REQUIRE(Refused.size() == 1);
  BOOST_TEST(verdictName(Refused[0].Verdict) == "may-have-run");
}

// Guards against attempts in further groups that bypass the retry budget. Every
// server sheds half of its requests. Each group retries on its own servers, and
// a request that it refuses is offered to the next two groups.
BOOST_AUTO_TEST_CASE(RetriesAcrossGroupsStayWithinTheBudget) {
  constexpr int Requests = 2000;
  constexpr int Groups = 4;
  std::vector<server_group> All;
  All.reserve(Groups);
  for (int I = 0; I < Groups; ++I)
    All.push_back(group(10));
  std::mt19937_64 Random(1);
  int Arrivals = 0;
  int Arrived = 0;
  for (int I = 0; I < Requests; ++I) {
    const time_point Now = Start + milliseconds(5 * I);
    int Before = 0;
    bool Served = false;
    for (int Offer = 0; Offer < 3 && !Served; ++Offer) {
      server_group &Group = All[static_cast<std::size_t>((I + Offer) % Groups)];
      work_item Item = item(static_cast<request_id>(I) + 1);
      Item.Deadline = Now + milliseconds(1000);
      Item.AttemptsBefore = Before;
      Item.IsFirstOffer = Offer == 0;
      auto Orders = only<send_action>(Group.submit(Item, Now));
      while (!Orders.empty()) {
        ++Before;
        Served = Random() % 2 == 0;
        Orders = only<send_action>(Group.finish(
            Orders.front().Attempt,
            Served ? attempt_outcome::Answered : attempt_outcome::Shed, Now));
      }
      // Requests that are still queued are not part of this test.
      Group.withdraw(Item.Id);
    }
    Arrivals += Before;
    Arrived += Before > 0 ? 1 : 0;
  }
  const int Allowed = Requests / 10 + Groups * 10;
  BOOST_TEST(Arrivals - Arrived <= Allowed, "expected at most "
                                                << Allowed << " retries, got "
                                                << Arrivals - Arrived);
}

BOOST_AUTO_TEST_CASE(RetriesStayWithinTheBudget) {
  server_group Group = group(30, 10);
  int Sent = 0;
  time_point Now = Start;
  for (request_id Id = 1; Id <= 1000; ++Id) {
    Now += milliseconds(100);
    work_item Item = item(Id);
    Item.Deadline = Now + milliseconds(1000);
    auto Orders = only<send_action>(Group.submit(Item, Now));
    while (!Orders.empty()) {
      ++Sent;
      Orders = only<send_action>(Group.finish(
          Orders[0].Attempt,
          Id % 2 ? attempt_outcome::ConnectionLost : attempt_outcome::Answered,
          Now));
    }
  }
  BOOST_TEST(Sent <= 1000 * 1.1 + 10,
             "expected at most 1110 attempts for 1000 requests, got " << Sent);
}

BOOST_AUTO_TEST_CASE(RequestThatCannotBeOnTimeIsRefusedAtOnce) {
  server_group Group = group(1);
  const auto Sent = only<send_action>(Group.submit(item(1), Start));
  Group.submit(item(2), Start);
  Group.finish(Sent[0].Attempt, attempt_outcome::Answered,
               Start + milliseconds(100));
  work_item Late = item(3);
  Late.Deadline = Start + milliseconds(150);
  const auto Refused =
      only<group_refusal>(Group.submit(Late, Start + milliseconds(100)));
  BOOST_REQUIRE(Refused.size() == 1);
  BOOST_TEST(reasonName(Refused[0].Reason) == "cannot-be-on-time");
  BOOST_TEST(verdictName(Refused[0].Verdict) == "not-run");
}

BOOST_AUTO_TEST_CASE(IdleGroupAdmitsARequestDespiteSlowHistory) {
  server_group Group = group(1);
  const auto Sent = only<send_action>(Group.submit(item(1), Start));
  const time_point End = Start + milliseconds(900);
  Group.finish(Sent[0].Attempt, attempt_outcome::Answered, End);
  work_item Short = item(2);
  Short.Deadline = End + milliseconds(100);
  BOOST_TEST(only<send_action>(Group.submit(Short, End)).size() == 1,
             "expected a send despite a typical service time of 900 ms");
}

BOOST_AUTO_TEST_CASE(TimeOutOfARequestThatStartedLateIsNoServerFailure) {
  server_group Group = group(1);
  warmUp(Group, milliseconds(20));
  const auto Sent = only<send_action>(Group.submit(item(9, true, 30), Start));
  Group.finish(Sent[0].Attempt, attempt_outcome::TimedOut,
               Start + milliseconds(30));
  BOOST_TEST(Group.limitOf("s0", Start + milliseconds(30)) == 2);
}

BOOST_AUTO_TEST_CASE(QueuedRequestIsRefusedAtItsDeadline) {
  server_group Group = group(1);
  Group.submit(item(1), Start);
  Group.submit(item(2, true, 50), Start);
  const auto Refused =
      only<group_refusal>(Group.tick(Start + milliseconds(50)));
  BOOST_REQUIRE(Refused.size() == 1);
  BOOST_TEST(Refused[0].Request == 2);
  BOOST_TEST(verdictName(Refused[0].Verdict) == "not-run");
}

BOOST_AUTO_TEST_CASE(LeavingServerGetsNoNewWork) {
  server_group Group = group(2);
  auto Servers = servers(2);
  Servers[0].Leaving = true;
  Group.setServers(Servers, true, Start);
  for (request_id Id = 1; Id <= 4; ++Id)
    Group.submit(item(Id), Start);
  BOOST_TEST(Group.inFlightAt("s0") == 0);
  BOOST_TEST(Group.inFlightAt("s1") == 1);
}

BOOST_AUTO_TEST_CASE(ReturnedServerStartsCold) {
  server_group Group = group(1);
  warmUp(Group, milliseconds(1));
  BOOST_TEST(Group.limitOf("s0", Start) == 2);
  auto Servers = servers(1);
  Servers[0].Leaving = true;
  Group.setServers(Servers, true, Start);
  Group.setServers(servers(1), true, Start);
  BOOST_TEST(Group.limitOf("s0", Start) == 1);
}

BOOST_AUTO_TEST_CASE(IdleServerIsResetToCold) {
  server_group Group = group(1);
  warmUp(Group, milliseconds(0));
  Group.tick(Start + milliseconds(9999));
  BOOST_TEST(Group.limitOf("s0", Start) == 2);
  Group.tick(Start + milliseconds(10'000));
  BOOST_TEST(Group.limitOf("s0", Start) == 1);
}

BOOST_AUTO_TEST_CASE(RestartedServerIsSentOneRequestAtATime) {
  server_group Group = group(1);
  warmUp(Group, milliseconds(1));
  Group.onRestart("s0");
  BOOST_TEST(Group.limitOf("s0", Start) == 1);
}

BOOST_AUTO_TEST_CASE(ReducedSlotsApplyImmediately) {
  server_group Group = group(1);
  warmUp(Group, milliseconds(0));
  service Service;
  Service.Slots = 1;
  Group.reconfigure(Service);
  BOOST_TEST(Group.limitOf("s0", Start) == 1);
}

// Guards against more requests than a server has slots until something else in
// the configuration changes.
BOOST_AUTO_TEST_CASE(ReducedSlotsOfOneServerApplyImmediately) {
  server_group Group = group(1);
  warmUp(Group, milliseconds(0));
  BOOST_REQUIRE(Group.limitOf("s0", Start) == 2);
  std::vector<backend_server> Changed = servers(1);
  Changed[0].Slots = 1;
  Group.setServers(Changed, true, Start);
  BOOST_TEST(Group.limitOf("s0", Start) == 1);
}

BOOST_AUTO_TEST_CASE(DeactivatedZoneRefusesNewWorkAndReturnsCold) {
  server_group Group = group(1);
  Group.setServers(servers(1), false, Start);
  const auto Refused = only<group_refusal>(Group.submit(item(1), Start));
  BOOST_REQUIRE(Refused.size() == 1);
  BOOST_TEST(reasonName(Refused[0].Reason) == "no-server");
  Group.setServers(servers(1), true, Start);
  BOOST_TEST(only<send_action>(Group.submit(item(2), Start)).size() == 1);
}

BOOST_AUTO_TEST_CASE(AssumedWorkOccupiesSlotsUntilAReport) {
  server_group Group = group(1);
  Group.assumeOccupied(Start + milliseconds(500));
  BOOST_TEST(only<send_action>(Group.submit(item(1), Start)).empty());
  BOOST_TEST(only<send_action>(Group.onLoadReport("s0", 1, Start)).empty());
  BOOST_TEST(only<send_action>(Group.onLoadReport("s0", 0, Start)).size() == 1);
}

BOOST_AUTO_TEST_CASE(AssumedWorkExpires) {
  server_group Group = group(1);
  Group.assumeOccupied(Start + milliseconds(500));
  Group.submit(item(1), Start);
  BOOST_TEST(only<send_action>(Group.tick(Start + milliseconds(500))).size() ==
             1);
}

BOOST_AUTO_TEST_CASE(InheritedAttemptOccupiesItsSlotUntilItEnds) {
  server_group Group = group(1);
  Group.inherit({"s0", 77, Start + milliseconds(800)});
  BOOST_TEST(only<send_action>(Group.submit(item(1), Start)).empty());
  BOOST_TEST(
      only<send_action>(Group.onInheritedAttemptEnd("s0", 77, Start)).size() ==
      1);
}

BOOST_AUTO_TEST_CASE(HandOverRefusesTheQueueAndListsAttemptsInFlight) {
  server_group Group = group(1);
  const auto Sent = only<send_action>(Group.submit(item(1), Start));
  Group.submit(item(2), Start);
  std::vector<inherited_attempt> InFlight;
  const auto Refused = only<group_refusal>(Group.handOver(InFlight));
  BOOST_REQUIRE(Refused.size() == 1);
  BOOST_TEST(reasonName(Refused[0].Reason) == "not-owner");
  BOOST_REQUIRE(InFlight.size() == 1);
  BOOST_TEST(InFlight[0].Attempt == Sent[0].Attempt);
}

BOOST_AUTO_TEST_CASE(HandOverIncludesAssumedAttempts) {
  server_group Old = group(1);
  Old.assumeOccupied(Start + milliseconds(500));
  std::vector<inherited_attempt> InFlight;
  Old.handOver(InFlight);
  server_group New = group(1);
  for (const inherited_attempt &Attempt : InFlight)
    New.inherit(Attempt);
  BOOST_TEST(only<send_action>(New.submit(item(1), Start)).empty(),
             "expected nothing to be sent to slots that are assumed occupied");
}

BOOST_AUTO_TEST_CASE(TimedOutAttemptOccupiesItsSlotUntilItsDeadlineHasPassed) {
  server_group Group = group(1);
  const auto Sent = only<send_action>(Group.submit(item(1, false, 100), Start));
  const time_point End = Start + milliseconds(100);
  Group.finish(Sent[0].Attempt, attempt_outcome::TimedOut, End);
  BOOST_TEST(Group.load(End + milliseconds(9)).InFlight == 1);
  BOOST_TEST(Group.load(End + milliseconds(10)).InFlight == 0);
}

BOOST_AUTO_TEST_CASE(SlowIdempotentRequestIsHedgedOnAnIdleWarmServer) {
  server_group Group = group(2);
  warmUp(Group, milliseconds(10), 24);
  const request_id Id = 25;
  const auto Sent = only<send_action>(Group.submit(item(Id), Start));
  const auto Hedge = only<send_action>(Group.tick(Start + milliseconds(65)));
  BOOST_REQUIRE(Hedge.size() == 1);
  BOOST_TEST(Hedge[0].Server != Sent[0].Server);
  const auto Actions = Group.finish(Hedge[0].Attempt, attempt_outcome::Answered,
                                    Start + milliseconds(50));
  BOOST_REQUIRE(only<cancel_action>(Actions).size() == 1);
  BOOST_TEST(only<cancel_action>(Actions)[0].Attempt == Sent[0].Attempt);
  BOOST_TEST(only<deliver_action>(Actions)[0].Attempt == Hedge[0].Attempt);
}

BOOST_AUTO_TEST_CASE(NonIdempotentRequestIsNeverHedged) {
  server_group Group = group(2);
  warmUp(Group, milliseconds(10), 24);
  const request_id Id = 25;
  Group.submit(item(Id, false), Start);
  BOOST_TEST(only<send_action>(Group.tick(Start + milliseconds(900))).empty());
}

BOOST_AUTO_TEST_CASE(InFlightNeverExceedsTheLimitUnderRandomOutcomes) {
  std::mt19937_64 Random(7);
  server_group Group = group(4, 50);
  std::vector<send_action> Running;
  time_point Now = Start;
  for (request_id Id = 1; Id <= 20'000; ++Id) {
    Now += milliseconds(Random() % 4);
    std::vector<group_action> Actions;
    if (Running.empty() || Random() % 2) {
      work_item Item = item(Id, Random() % 2);
      Item.Deadline = Now + milliseconds(20 + Random() % 300);
      Actions = Group.submit(Item, Now);
    } else {
      std::swap(Running[Random() % Running.size()], Running.back());
      const send_action Ended = Running.back();
      Running.pop_back();
      const auto Outcome = Random() % 4
                               ? attempt_outcome::Answered
                               : static_cast<attempt_outcome>(Random() % 10);
      Actions = Group.finish(Ended.Attempt, Outcome, Now);
    }
    for (const send_action &Order : only<send_action>(Actions))
      Running.push_back(Order);
    for (const send_action &Order : only<send_action>(Group.tick(Now)))
      Running.push_back(Order);
    for (int I = 0; I < 4; ++I) {
      const std::string Name = "s" + std::to_string(I);
      const auto Count = std::count_if(
          Running.begin(), Running.end(),
          [&Name](const send_action &Order) { return Order.Server == Name; });
      BOOST_REQUIRE_LE(Count, 2);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
