/// \file
/// Tests of server_holds, and of server groups whose servers are held.
#include "agatedale/server_group.h"

#include <boost/test/unit_test.hpp>

using namespace agatedale;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(server_holds_test)

namespace {

constexpr time_point Start{std::chrono::hours(1)};

server_group group(int Count, double RetryPercent = 10) {
  server_group_settings Settings;
  Settings.Service.Name = "orders";
  Settings.Service.WarmUpAnswers = 1;
  Settings.RetryPercent = RetryPercent;
  Settings.Hedging = false;
  std::vector<backend_server> Servers;
  Servers.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Servers.push_back({"s" + std::to_string(I), "orders", "a", "", false});
  server_group Group = moveValue(server_group::create(Settings, Servers));
  Group.setLeaseEnd(time_point::max());
  return Group;
}

work_item item(request_id Id, time_point Now = Start) {
  work_item Item;
  Item.Id = Id;
  Item.Deadline = Now + seconds(2);
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

/// Has the server that is sent a request turn it away for \p Asked.
std::vector<group_action> turnAway(server_group &Group, request_id Id,
                                   duration Asked, time_point Now) {
  const auto Sent = only<send_action>(Group.submit(item(Id, Now), Now));
  BOOST_REQUIRE(Sent.size() == 1U);
  Group.hold(Sent[0].Server, Sent[0].ServerStart, Now + Asked);
  return Group.finish(Sent[0].Attempt, attempt_outcome::Shed, Now);
}

} // namespace

BOOST_AUTO_TEST_CASE(HoldLastsAsLongAsAsked) {
  server_holds Holds;
  BOOST_TEST((Holds.heldUntil("s", 5) == time_point{}));
  BOOST_TEST((Holds.record("s", 5, seconds(2), Start) == Start + seconds(2)));
  BOOST_TEST((Holds.heldUntil("s", 5) == Start + seconds(2)));
  BOOST_TEST((Holds.heldUntil("other", 5) == time_point{}));
}

BOOST_AUTO_TEST_CASE(ShorterTimeDoesNotEndAHold) {
  server_holds Holds;
  Holds.record("s", 5, seconds(2), Start);
  BOOST_TEST(
      (Holds.record("s", 5, milliseconds(1), Start) == Start + seconds(2)));
}

BOOST_AUTO_TEST_CASE(TimesAreBounded) {
  server_holds Holds;
  BOOST_TEST((Holds.record("s", 5, std::chrono::hours(9), Start) ==
              Start + server_holds::MaxHold));
  BOOST_TEST((Holds.record("t", 5, seconds(-3), Start) == Start));
}

BOOST_AUTO_TEST_CASE(NewStartIsNotHeldAndOlderOneIs) {
  server_holds Holds;
  Holds.record("s", 5, seconds(2), Start);
  BOOST_TEST((Holds.heldUntil("s", 6) == time_point{}));
  BOOST_TEST((Holds.heldUntil("s", 4) == Start + seconds(2)));
  Holds.record("s", 6, seconds(1), Start);
  BOOST_TEST((Holds.heldUntil("s", 6) == Start + seconds(1)));
}

BOOST_AUTO_TEST_CASE(NumberOfHoldsIsBounded) {
  server_holds Holds;
  for (std::size_t I = 0; I < server_holds::MaxServers + 10; ++I)
    Holds.record("s" + std::to_string(I), 5,
                 seconds(1) + milliseconds(static_cast<int>(I)), Start);
  BOOST_TEST(Holds.size() == server_holds::MaxServers);
  BOOST_TEST((Holds.heldUntil("s0", 5) == time_point{}));
}

BOOST_AUTO_TEST_CASE(HeldServerIsSentNothingAndTheOthersServe) {
  server_group Group = group(2);
  turnAway(Group, 1, seconds(1), Start);
  for (request_id Id = 2; Id < 12; ++Id) {
    const time_point Now = Start + milliseconds(90 * static_cast<int>(Id - 2));
    const auto Sent = only<send_action>(Group.submit(item(Id, Now), Now));
    for (const send_action &Order : Sent)
      BOOST_TEST(Order.Server == "s1");
    BOOST_TEST(Group.inFlightAt("s0") == 0);
    for (const send_action &Order : Sent)
      Group.finish(Order.Attempt, attempt_outcome::Answered,
                   Now + milliseconds(5));
  }
}

BOOST_AUTO_TEST_CASE(RequestsAreRefusedAtOnceWhileAllServersAreHeld) {
  server_group Group = group(2);
  turnAway(Group, 1, seconds(2), Start);
  Group.hold("s1", 0, Start + seconds(1));
  const auto Actions = Group.submit(item(2), Start);
  const auto Refused = only<group_refusal>(Actions);
  BOOST_REQUIRE(Refused.size() == 1U);
  BOOST_TEST(verdictName(Refused[0].Verdict) == "not-run");
  BOOST_TEST(reasonName(Refused[0].Reason) == "server-shed");
  BOOST_TEST((Refused[0].RetryAfter >= seconds(1)));
  BOOST_TEST((Refused[0].RetryAfter < seconds(2)));
  BOOST_TEST(Group.load(Start).Limit == 0);
}

BOOST_AUTO_TEST_CASE(QueuedRequestsAreRefusedWhenTheLastServerIsHeld) {
  server_group Group = group(1);
  const auto Sent = only<send_action>(Group.submit(item(1), Start));
  Group.submit(item(2), Start);
  Group.hold("s0", 0, Start + seconds(1));
  const auto Refused = only<group_refusal>(
      Group.finish(Sent[0].Attempt, attempt_outcome::Shed, Start));
  BOOST_TEST(Refused.size() == 2U);
  BOOST_TEST(Group.load(Start).Queued == 0);
}

BOOST_AUTO_TEST_CASE(CallersAreToldToReturnOneAfterTheOther) {
  server_group Group = group(1);
  const auto Sent = only<send_action>(Group.submit(item(1), Start));
  Group.finish(Sent[0].Attempt, attempt_outcome::Answered,
               Start + milliseconds(40));
  turnAway(Group, 2, seconds(1), Start + milliseconds(40));
  duration Last{};
  for (request_id Id = 3; Id < 8; ++Id) {
    const auto Refused =
        only<group_refusal>(Group.submit(item(Id), Start + milliseconds(40)));
    BOOST_REQUIRE(Refused.size() == 1U);
    BOOST_TEST((Refused[0].RetryAfter >= Last + milliseconds(30)));
    Last = Refused[0].RetryAfter;
  }
}

BOOST_AUTO_TEST_CASE(ServerIsUsedAgainOneRequestAtATimeAfterItsHold) {
  server_group Group = group(1);
  turnAway(Group, 1, seconds(1), Start);
  const time_point End = Start + seconds(1);
  BOOST_TEST(only<send_action>(Group.submit(item(2, End), End)).size() == 1U);
  BOOST_TEST(only<send_action>(Group.submit(item(3, End), End)).empty());
}

// Servers that shed at random while they have free slots are ejected; with a
// stated time the hold takes that place, and nothing outlasts it.
BOOST_AUTO_TEST_CASE(HeldServerIsNeitherEjectedNorPaused) {
  server_group Group = group(1);
  for (request_id Id = 1; Id <= 6; ++Id)
    turnAway(Group, Id, milliseconds(900), Start + seconds(Id - 1));
  const time_point After = Start + milliseconds(5950);
  BOOST_TEST(only<send_action>(Group.submit(item(99, After), After)).size() ==
             1U);
}

BOOST_AUTO_TEST_CASE(NoRepeatIsSpentWhileAllServersAreHeld) {
  server_group Group = group(1);
  turnAway(Group, 1, seconds(1), Start);
  BOOST_TEST(Group.counters().Retries == 0U);
}

BOOST_AUTO_TEST_CASE(MostUrgentRequestIsNotSentToAHeldServer) {
  server_group Group = group(2);
  turnAway(Group, 1, seconds(1), Start);
  Group.hold("s1", 0, Start + seconds(1));
  work_item Urgent = item(5);
  Urgent.Priority = -1;
  BOOST_TEST(only<send_action>(Group.submit(Urgent, Start)).empty());
}

BOOST_AUTO_TEST_CASE(HeldServerIsNotAskedForItsLoad) {
  server_group_settings Settings;
  Settings.Service.Name = "orders";
  Settings.QueryServerLoad = true;
  const std::vector<backend_server> Servers{{"s0", "orders", "a", "", false},
                                            {"s1", "orders", "a", "", false}};
  server_group Group = moveValue(server_group::create(Settings, Servers));
  Group.setLeaseEnd(time_point::max());
  Group.hold("s0", 0, Start + seconds(1));
  for (const load_query_action &Query :
       only<load_query_action>(Group.submit(item(1), Start)))
    BOOST_TEST(Query.Server == "s1");
}

BOOST_AUTO_TEST_CASE(HoldFollowsAServerIntoAnotherGroup) {
  server_holds Holds;
  Holds.record("s0", 0, seconds(1), Start);
  server_group Group = group(0);
  Group.setHolds(Holds);
  const std::vector<backend_server> Servers{{"s0", "orders", "a", "", false}};
  Group.setServers(Servers, true, Start);
  BOOST_TEST(only<send_action>(Group.submit(item(1), Start)).empty());
  const time_point End = Start + seconds(1);
  BOOST_TEST(only<send_action>(Group.submit(item(2, End), End)).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
