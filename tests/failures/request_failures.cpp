/// \file
/// The request's contract on real processes: keys, answers, silence, malformed
/// input, configuration and zones.
#include "../support/process_fleet.h"

#include <boost/test/unit_test.hpp>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <future>
#include <random>

using namespace agatedale;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(request_failures)

namespace {

/// Sends raw bytes to a VM's caller port and returns the start of the answer.
std::string sendRaw(const std::string &Ip, const std::string &Bytes,
                    bool CloseAfter = false,
                    milliseconds Patience = milliseconds(500)) {
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connect(Poco::Net::SocketAddress(Ip, 18080), Poco::Timespan(2, 0));
    Socket.setReceiveTimeout(Poco::Timespan(Patience.count() * 1000));
    Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    if (CloseAfter)
      return {};
    std::string Answer(4096, '\0');
    const int Read = Socket.receiveBytes(Answer.data(), 4096);
    Answer.resize(static_cast<std::size_t>(std::max(Read, 0)));
    return Answer;
  } catch (const Poco::Exception &Failure) {
    return Failure.displayText();
  }
}

long residentKilobytes(const std::string &PidFile) {
  std::ifstream File(PidFile);
  std::string Line;
  while (std::getline(File, Line)) {
    if (Line.starts_with("VmHWM:"))
      return std::strtol(Line.c_str() + 6, nullptr, 10);
  }
  return -1;
}

} // namespace

BOOST_AUTO_TEST_CASE(RepeatThroughAnotherVmGetsTheFirstAnswer) {
  process_fleet Fleet("key_repeat");
  Fleet.startAll();
  const std::string Key = freshKey();
  const auto First = Fleet.call("vm1", "POST", "/orders", Key, "x");
  BOOST_REQUIRE(First.Verdict == "answered");
  for (const char *Vm : {"vm1", "vm2", "vm3", "vm4"})
    BOOST_TEST(Fleet.call(Vm, "POST", "/orders", Key, "x").Body == First.Body);
  BOOST_TEST(Fleet.runsOf(Key) == 1);
}

BOOST_AUTO_TEST_CASE(RepeatsWhileTheFirstRunsRunOnce) {
  process_fleet Fleet("key_race");
  Fleet.startAll();
  for (int Round = 0; Round < 5; ++Round) {
    const std::string Key = freshKey();
    std::vector<std::future<caller_answer>> Calls;
    Calls.reserve(12);
    for (int I = 0; I < 12; ++I)
      Calls.push_back(std::async(std::launch::async, [&Fleet, Key, I] {
        return Fleet.call("vm" + std::to_string(I % 4 + 1), "POST", "/orders",
                          Key, "x");
      }));
    for (auto &Call : Calls)
      BOOST_TEST(Call.get().Verdict == "answered");
    BOOST_TEST(Fleet.runsOf(Key) == 1);
  }
}

BOOST_AUTO_TEST_CASE(KeyOwnerKilledDuringRunsHarmsNoKey) {
  process_fleet Fleet("key_owner_killed");
  Fleet.startAll();
  const std::string Owner = Fleet.ownerOf("#keys/r/0");
  BOOST_REQUIRE(!Owner.empty());
  std::vector<std::string> Others = Fleet.vms();
  std::erase(Others, Owner);
  background_load Load(Fleet, Others, 16);
  std::this_thread::sleep_for(milliseconds(1500));
  Fleet.signal(Owner, SIGKILL);
  std::this_thread::sleep_for(milliseconds(6000));
  for (const std::string &Wrong : Load.wrongKeys())
    BOOST_ERROR(Wrong);
  BOOST_TEST(Load.orders().Answered > 50);
}

BOOST_AUTO_TEST_CASE(SilentServerDelaysAndDoublesNothingForLong) {
  process_fleet Fleet("silent_server");
  Fleet.startAll();
  background_load Load(Fleet, Fleet.vms(), 8);
  std::this_thread::sleep_for(milliseconds(1000));
  Fleet.backendControl(1, "silent=1");
  std::this_thread::sleep_for(milliseconds(4000));
  const auto Before = Load.statusChecks();
  std::this_thread::sleep_for(milliseconds(2000));
  const auto After = Load.statusChecks();
  BOOST_TEST(After.MayHaveRun - Before.MayHaveRun == 0);
  for (const std::string &Wrong : Load.wrongKeys())
    BOOST_ERROR(Wrong);
}

BOOST_AUTO_TEST_CASE(TruncatedAnswerIsNeverPassedOff) {
  process_fleet Fleet("truncated");
  Fleet.startAll();
  for (int I = 1; I <= 8; ++I)
    Fleet.backendControl(I, "truncate=1");
  const auto Check = Fleet.call("vm1", "GET", "/status");
  BOOST_TEST(Check.Verdict != "answered");
  const auto Order = Fleet.call("vm1", "POST", "/orders", freshKey(), "x");
  BOOST_TEST(Order.Verdict == "may-have-run");
}

BOOST_AUTO_TEST_CASE(DrainingServersLoseNothing) {
  process_fleet Fleet("draining");
  Fleet.startAll();
  background_load Load(Fleet, Fleet.vms(), 8);
  std::this_thread::sleep_for(milliseconds(500));
  Fleet.backendControl(1, "drain=1");
  Fleet.backendControl(2, "drain=1");
  std::this_thread::sleep_for(milliseconds(2500));
  Load.stop();
  BOOST_TEST(Load.statusChecks().MayHaveRun + Load.statusChecks().NotRun == 0);
  BOOST_TEST(Load.orders().MayHaveRun + Load.orders().NotRun == 0);
  for (const std::string &Wrong : Load.wrongKeys())
    BOOST_ERROR(Wrong);
}

BOOST_AUTO_TEST_CASE(LargeUploadStreamsInBoundedMemory) {
  process_fleet Fleet("large_upload");
  Fleet.startAll();
  const std::string Body(64 << 20, 'x');
  for (const std::string &Vm : Fleet.vms()) {
    const auto Answer = Fleet.call(Vm, "POST", "/orders", freshKey(), Body);
    BOOST_TEST(Answer.Verdict == "answered", Vm << ": " << Answer.Reason);
    BOOST_TEST(Answer.Body.find("bytes=67108864") != std::string::npos);
  }
  for (const std::string &Vm : Fleet.vms()) {
    const long Peak = residentKilobytes(
        "/proc/" + std::to_string(Fleet.pidOf(Vm)) + "/status");
    BOOST_TEST(Peak < 100'000,
               Vm << ": expected a peak under 100 MB, got " << Peak << " kB");
  }
}

BOOST_AUTO_TEST_CASE(MalformedCallersGetAClearErrorAndHarmNothing) {
  process_fleet Fleet("malformed");
  Fleet.startAll();
  const std::string Ip = Fleet.ipOf("vm1");
  BOOST_TEST(sendRaw(Ip, "garbage\r\n\r\n").find(" 400 ") != std::string::npos);
  BOOST_TEST(sendRaw(Ip, "GET /status HTTP/1.1\r\nClient-Account: web\r\nX: " +
                             std::string(7000, 'x') +
                             "\r\nY: " + std::string(7000, 'y') +
                             "\r\nZ: " + std::string(7000, 'z') + "\r\n\r\n")
                 .find(" 431 ") != std::string::npos);
  BOOST_TEST(sendRaw(Ip, "POST /orders HTTP/1.1\r\nClient-Account: web\r\n"
                         "Content-Length: 999999999999\r\n\r\n")
                 .find(" 413 ") != std::string::npos);
  BOOST_TEST(sendRaw(Ip, "POST /orders HTTP/1.1\r\nClient-Account: web\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
                 .find(" 400 ") != std::string::npos);
  sendRaw(Ip,
          "POST /orders HTTP/1.1\r\nClient-Account: web\r\n"
          "Content-Length: 50\r\n\r\nhalf",
          true);
  const std::string Slow = sendRaw(
      Ip,
      "POST /orders HTTP/1.1\r\nClient-Account: web\r\nIdempotency-Key: " +
          freshKey() + "\r\nContent-Length: 50\r\n\r\nhalf",
      false, milliseconds(6000));
  BOOST_TEST(Slow.find("body-incomplete") != std::string::npos,
             "expected a slow sender to be told so, got: " << Slow);
  std::mt19937_64 Random(3);
  for (int I = 0; I < 200; ++I) {
    std::string Bytes = "GET /status HTTP/1.1\r\nClient-Account: web\r\n\r\n";
    for (int J = 0; J < 6; ++J)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    sendRaw(Ip, Bytes, true);
  }
  BOOST_TEST(Fleet.call("vm1", "GET", "/status").Verdict == "answered");
  BOOST_TEST(Fleet.call("vm1", "GET", "/nowhere").Status == 404);
  BOOST_TEST(Fleet.call("vm1", "POST", "/orders", "", "x").Reason ==
             "key-missing");
  BOOST_TEST(Fleet.call("vm1", "POST", "/orders", "42", "x").Reason ==
             "key-malformed");
}

BOOST_AUTO_TEST_CASE(BoundRequestIsServedAndKeptInItsHomeRegionOnly) {
  process_fleet Fleet("home_region");
  Fleet.startAll();
  Fleet.startVm("south", 20, "c", "s");
  const bool Ready = eventually(milliseconds(10'000), [&Fleet] {
    return Fleet.call("vm1", "GET", "/status", "", "", "bound").Verdict ==
           "answered";
  });
  BOOST_TEST(Ready, "expected the region's own entry VM to serve it");
  // Fresh keys are refused for a moment after the partition's first takeover.
  std::this_thread::sleep_for(milliseconds(3000));
  const long Before = Fleet.runsInZone("c");
  for (int I = 0; I < 10; ++I) {
    const std::string Vm = "vm" + std::to_string(I % 4 + 1);
    const std::string Key = freshKey();
    const auto Order =
        Fleet.call(Vm, "POST", "/orders", Key, "bound order", "bound");
    BOOST_TEST(Order.Verdict == "answered", Order.Reason);
    const auto Again =
        Fleet.call("south", "POST", "/orders", Key, "bound order", "bound");
    BOOST_TEST(Again.Body == Order.Body);
  }
  BOOST_TEST(Fleet.runsInZone("c") == Before + 10);
  BOOST_TEST(Fleet.runsInZone("a") + Fleet.runsInZone("b") == 0);
  for (const char *Vm : {"vm1", "vm2", "vm3", "vm4"})
    BOOST_TEST(Fleet.recordsOf(Vm).find("id-bound") == std::string::npos,
               Vm << " kept something of a request bound to region s");
  Fleet.signal("south", SIGKILL);
  const auto Refused =
      Fleet.call("vm1", "POST", "/orders", freshKey(), "x", "bound");
  BOOST_TEST(Refused.Verdict != "answered");
  BOOST_TEST(Fleet.runsInZone("a") + Fleet.runsInZone("b") == 0);
}

BOOST_AUTO_TEST_CASE(KeySentAgainThroughAnotherRegionRunsOnce) {
  process_fleet Fleet("key_regions");
  Fleet.startAll();
  Fleet.startVm("south", 20, "c", "s");
  const bool Ready = eventually(milliseconds(10'000), [&Fleet] {
    return Fleet.call("south", "GET", "/status").Verdict == "answered";
  });
  BOOST_TEST(Ready, "expected the other region's entry VM to serve");
  // Fresh keys are refused for a moment after the partition's first takeover.
  std::this_thread::sleep_for(milliseconds(3000));
  for (int I = 0; I < 10; ++I) {
    const std::string Key = freshKey();
    const auto First = Fleet.call("vm1", "POST", "/orders", Key, "order");
    BOOST_TEST(First.Verdict == "answered", First.Reason);
    const auto Again = Fleet.call("south", "POST", "/orders", Key, "order");
    BOOST_TEST(Again.Body == First.Body, "key " << Key << " ran twice");
  }
}

BOOST_AUTO_TEST_CASE(OfTwoPublishesAtOnceOneWins) {
  process_fleet Fleet("two_publishes");
  Fleet.startAll();
  std::vector<std::future<std::pair<int, std::string>>> Runs;
  for (const char *Operator : {"ann", "bob"})
    Runs.push_back(std::async(std::launch::async, [&Fleet, Operator] {
      return Fleet.ctl({"publish", Fleet.configFolder(), "--operator", Operator,
                        "--base", "1"});
    }));
  const auto First = Runs[0].get();
  const auto Second = Runs[1].get();
  const bool FirstWon = First.first == 0;
  const auto &Winner = FirstWon ? First : Second;
  const auto &Loser = FirstWon ? Second : First;
  BOOST_TEST(Winner.first == 0, Winner.second);
  BOOST_TEST(Loser.first == 3, Loser.second);
  BOOST_TEST(Loser.second.find(FirstWon ? "by ann" : "by bob") !=
                 std::string::npos,
             Loser.second);
}

BOOST_AUTO_TEST_CASE(LostAnswerOfAPublishIsSettled) {
  process_fleet Fleet("lost_answer");
  Fleet.startAll();
  Fleet.platformFault("lose_answers=1");
  const auto Run = Fleet.ctl({"publish", Fleet.configFolder()});
  BOOST_TEST(Run.first == 0, Run.second);
  BOOST_TEST(Run.second.find("accepted: version 2") != std::string::npos,
             Run.second);
}

BOOST_AUTO_TEST_CASE(PublishIsPendingWhileTwoVmsAreSilent) {
  process_fleet Fleet("publish_pending");
  Fleet.startAll();
  Fleet.signal("vm1", SIGSTOP);
  Fleet.signal("vm2", SIGSTOP);
  const auto Run =
      Fleet.ctl({"publish", Fleet.configFolder(), "--wait-s", "3"});
  BOOST_TEST(Run.first == 6, Run.second);
  BOOST_TEST(Run.second.find("vm1, vm2") != std::string::npos, Run.second);
  Fleet.signal("vm1", SIGCONT);
  Fleet.signal("vm2", SIGCONT);
  const bool Spread = eventually(milliseconds(5000), [&Fleet] {
    return Fleet.ctl({"status"}).second.find("version 1 ") == std::string::npos;
  });
  BOOST_TEST(Spread, "expected version 2 everywhere within 5 s");
}

BOOST_AUTO_TEST_CASE(ZoneOutGetsNoNewWorkAfterTwoSeconds) {
  process_fleet Fleet("zone_out");
  Fleet.startAll();
  background_load Load(Fleet, Fleet.vms(), 8);
  std::this_thread::sleep_for(milliseconds(1000));
  BOOST_TEST(Fleet.ctl({"zone", "out", "a"}).first == 0);
  std::this_thread::sleep_for(milliseconds(2000));
  const long Before = Fleet.runsInZone("a");
  std::this_thread::sleep_for(milliseconds(2000));
  BOOST_TEST(Fleet.runsInZone("a") == Before);
  BOOST_TEST(Fleet.ctl({"zone", "in", "a"}).first == 0);
  const bool Returned = eventually(
      milliseconds(4000), [&] { return Fleet.runsInZone("a") > Before; });
  BOOST_TEST(Returned, "expected work in the zone again");
  Load.stop();
  BOOST_TEST(Load.statusChecks().MayHaveRun + Load.statusChecks().NotRun == 0);
  for (const std::string &Wrong : Load.wrongKeys())
    BOOST_ERROR(Wrong);
  BOOST_TEST(Fleet.backendSum("beyond_slots") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
