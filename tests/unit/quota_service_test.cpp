/// \file
/// Tests of the messages of quotas between gateways.
#include "../../src/gateway/quota_service.h"
#include "tests/support/loopback.h"

#include <Poco/Net/ServerSocket.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace agatedale;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds TestTimeout{10'000};

/// Ports differ between cases, so that one can follow another at once.
std::uint16_t nextPort() {
  static std::uint16_t Next = 25'300;
  return Next++;
}

configuration configurationOf(double Rate, double Burst) {
  client_account Account;
  Account.Name = "web";
  Account.RatePerSecond = Rate;
  Account.Burst = Burst;
  configuration_parts Parts;
  Parts.Accounts = std::vector{Account};
  return moveValue(configuration::fromParts(std::move(Parts)));
}

/// One VM of the test with its transport.
struct quota_vm_process {
  quota_vm_process(event_loop &Loop, const entry_vm &Self, std::uint16_t Port)
      : Vms(vm_directory::create(Self, {})) {
    Settings.Vm = Self.Id.Name;
    Settings.Zone = Self.Zone;
    Settings.Region = Self.Region;
    Settings.QuotaSlack = 20;
    Vms.setSelf(true, false);
    Service = std::make_unique<quota_service>(Loop, Settings, Vms, Metrics);
    peer_transport::handlers Handlers;
    Handlers.OnQuotaRequest = [this](const wire_gateway::QuotaRequest &Request,
                                     auto Done) {
      ++Requests;
      if (!IsSilent)
        Service->onRequest(Request, std::move(Done));
    };
    Transport = moveValue(
        peer_transport::start(Loop, Self.Ip, Port, std::move(Handlers)));
    Service->setPeers(*Transport);
  }

  gateway_settings Settings;
  metrics Metrics;
  vm_directory Vms;
  std::unique_ptr<quota_service> Service;
  std::unique_ptr<peer_transport> Transport;
  int Requests = 0;
  bool IsSilent = false;
};

/// VMs on one event loop; the first letter of a name is the zone.
struct quota_processes {
  explicit quota_processes(const std::vector<std::string> &Names)
      : Loop(moveValue(event_loop::create())), Port(nextPort()) {
    std::vector<entry_vm> Listed;
    for (const std::string &Name : Names) {
      entry_vm Vm;
      Vm.Id = {Name, 1};
      Vm.Ip = loopbackIp(13, static_cast<int>(Listed.size()) + 1);
      Vm.Zone = Name.substr(0, 1);
      Vm.Region = "r-" + Vm.Zone;
      Listed.push_back(Vm);
    }
    for (const entry_vm &Vm : Listed) {
      All.push_back(std::make_unique<quota_vm_process>(*Loop, Vm, Port));
      vm_directory &Vms = All.back()->Vms;
      Vms.setListed(Listed, bootNow());
      for (const entry_vm &Other : Listed)
        Vms.recordHeartbeat(Other.Id.Name, true, false, bootNow());
    }
  }

  void configure(double Rate, double Burst) {
    const configuration Config = configurationOf(Rate, Burst);
    for (const auto &Vm : All)
      Vm->Service->setConfiguration(Config);
  }

  /// Returns the owner of the bucket among the VMs of the first zone.
  quota_vm_process &owner() {
    quota_view View = quota_view::create("", "a", "");
    std::vector<quota_vm> Vms;
    for (const auto &Vm : All)
      Vms.push_back({Vm->Settings.Vm, Vm->Settings.Zone, Vm->Settings.Region,
                     true, true, false});
    View.update(Vms, bootNow());
    return *std::find_if(All.begin(), All.end(), [&](const auto &Vm) {
              return Vm->Settings.Vm == View.ownerOf("web");
            })->get();
  }
  quota_vm_process &other() {
    return &owner() == All[0].get() ? *All[1] : *All[0];
  }

  bool runUntil(const std::function<bool()> &Holds) {
    const time_point End = bootNow() + TestTimeout;
    std::function<void()> Check = [&] {
      if (Holds() || bootNow() >= End)
        Loop->stop();
      else
        Loop->after(milliseconds(1), Check);
    };
    Check();
    Loop->run();
    return Holds();
  }

  /// Sends requests in one turn and returns the decisions.
  std::vector<quota_verdict> admit(quota_vm_process &Vm, std::size_t Count) {
    std::vector<quota_verdict> Verdicts;
    for (std::size_t I = 0; I < Count; ++I)
      Vm.Service->admit("web", [&Verdicts](const quota_verdict &Verdict) {
        Verdicts.push_back(Verdict);
      });
    BOOST_REQUIRE(runUntil([&] { return Verdicts.size() == Count; }));
    return Verdicts;
  }

  std::unique_ptr<event_loop> Loop;
  std::uint16_t Port;
  std::vector<std::unique_ptr<quota_vm_process>> All;
};

std::size_t admitted(const std::vector<quota_verdict> &Verdicts) {
  return static_cast<std::size_t>(std::count_if(
      Verdicts.begin(), Verdicts.end(), [](const quota_verdict &Verdict) {
        return Verdict.Kind == quota_verdict::kind::Admit;
      }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(quota_service_test)

// The requests of one turn share a message, and the owner's limit holds.
BOOST_AUTO_TEST_CASE(RequestsOfOneTurnShareAMessage) {
  quota_processes Fleet({"a1", "a2"});
  Fleet.configure(1, 5);
  Fleet.configure(0, 0);
  Fleet.configure(1, 5); // From unlimited to limited: the bucket is full.
  const auto Verdicts = Fleet.admit(Fleet.other(), 40);
  BOOST_TEST(admitted(Verdicts) == 5);
  BOOST_TEST(Fleet.owner().Requests == 1);
  BOOST_TEST(
      Fleet.other().Metrics.counterValue("agatedale_quota_asked_total",
                                         formatLabel("account", "web")) == 40);
}

// Guards against an ask for each request of a caller that repeats at once.
BOOST_AUTO_TEST_CASE(ARefusalIsRememberedWithoutAMessage) {
  quota_processes Fleet({"a1", "a2"});
  Fleet.configure(1, 5);
  quota_vm_process &Vm = Fleet.other();
  Fleet.admit(Vm, 40);
  const int Before = Fleet.owner().Requests;
  const auto RetryAfter = Vm.Service->refusal("web");
  BOOST_REQUIRE(RetryAfter.has_value());
  BOOST_TEST(*RetryAfter > milliseconds(50));
  BOOST_TEST(Fleet.owner().Requests == Before);
  BOOST_TEST(Vm.Metrics.counterValue("agatedale_quota_refused_total",
                                     formatLabel("account", "web")) >= 35);
}

BOOST_AUTO_TEST_CASE(ASilentOwnerLeavesTheLocalAllowance) {
  quota_processes Fleet({"a1", "a2"});
  Fleet.configure(100, 100);
  Fleet.owner().IsSilent = true;
  const time_point Before = bootNow();
  const auto Verdicts = Fleet.admit(Fleet.other(), 1);
  BOOST_TEST(!Verdicts[0].HasOwner);
  BOOST_TEST((bootNow() - Before < milliseconds(500)));
  // The owner is not asked again at once.
  Fleet.admit(Fleet.other(), 5);
  BOOST_TEST(Fleet.owner().Requests == 1);
}

BOOST_AUTO_TEST_CASE(AnOwnerBorrowsFromAnotherRegion) {
  quota_processes Fleet({"a1", "b1"});
  Fleet.configure(0, 0);
  Fleet.configure(1, 20);
  // Each bucket begins with half of the burst.
  std::size_t Admitted = 0;
  for (int I = 0; I < 20; ++I)
    Admitted += admitted(Fleet.admit(*Fleet.All[0], 1));
  BOOST_TEST(Admitted >= 17);
  BOOST_TEST(
      Fleet.All[0]->Metrics.counterValue("agatedale_quota_borrowed_total",
                                         formatLabel("account", "web")) >= 7);
}

BOOST_AUTO_TEST_CASE(AReturnedTokenReachesTheOwner) {
  quota_processes Fleet({"a1", "a2"});
  Fleet.configure(0, 0);
  Fleet.configure(0.01, 3);
  BOOST_TEST(admitted(Fleet.admit(Fleet.other(), 3)) == 3);
  Fleet.other().Service->giveBack("web");
  BOOST_TEST(Fleet.runUntil([&] { return Fleet.owner().Requests == 2; }));
  BOOST_TEST(admitted(Fleet.admit(Fleet.other(), 1)) == 1);
}

// Guards against a planned stop that costs an account its burst.
BOOST_AUTO_TEST_CASE(AnOwnerThatStopsHandsItsBucketOver) {
  for (const bool IsLost : {false, true}) {
    quota_processes Fleet({"a1", "a2"});
    Fleet.configure(0, 0);
    Fleet.configure(0.01, 10);
    quota_vm_process &Owner = Fleet.owner();
    quota_vm_process &Other = Fleet.other();
    BOOST_TEST(admitted(Fleet.admit(Other, 2)) == 2);
    BOOST_TEST(admitted(Fleet.admit(Owner, 1)) == 1);
    Other.IsSilent = IsLost;
    Owner.Service->updateLiveness();
    Owner.Vms.setSelf(false, true);
    Owner.Service->handOver();
    BOOST_TEST(Fleet.runUntil([&] { return Other.Requests == 1; }));
    Other.Vms.recordHeartbeat(Owner.Settings.Vm, false, true, bootNow());
    Other.Service->updateLiveness();
    // With the tolerance the bucket holds 12 tokens more.
    const std::size_t Served = admitted(Fleet.admit(Other, 30));
    BOOST_TEST((IsLost ? Served <= 2 : Served == 7), "served " << Served);
  }
}

BOOST_AUTO_TEST_CASE(AnAccountWithoutALimitSendsNothing) {
  quota_processes Fleet({"a1", "a2"});
  Fleet.configure(0, 0);
  BOOST_TEST(admitted(Fleet.admit(Fleet.other(), 10)) == 10);
  BOOST_TEST(Fleet.owner().Requests == 0);
}

// A peer of an earlier build closes a connection on a frame of an unknown kind,
// and the requests on it would be lost.
BOOST_AUTO_TEST_CASE(APeerOfAnEarlierBuildIsSentNoQuotaFrame) {
  auto Loop = moveValue(event_loop::create());
  const std::uint16_t Port = nextPort();
  Poco::Net::ServerSocket Socket(
      Poco::Net::SocketAddress(loopbackIp(13, 9), Port));
  std::shared_ptr<peer_connection> Earlier;
  std::vector<peer_message_kind> Received;
  Loop->watch(Socket, Poco::Net::PollSet::POLL_READ, [&](int) {
    peer_connection::handlers Handlers;
    Handlers.Received = [&](peer_message_kind Kind, std::uint64_t Call,
                            const received_message &) {
      Received.push_back(Kind);
      if (Kind == peer_message_kind::Ping)
        Earlier->send(peer_message_kind::Pong, Call, "");
    };
    Handlers.Ended = [] {};
    Earlier = peer_connection::accept(*Loop, Socket.acceptConnection(), nullptr,
                                      std::move(Handlers));
  });
  auto Caller =
      moveValue(peer_transport::start(*Loop, loopbackIp(13, 8), Port, {}));
  entry_vm Vm;
  Vm.Id = {"earlier", 1};
  Vm.Ip = loopbackIp(13, 9);
  int Failed = 0;
  const auto Ask = [&] {
    Caller->requestQuota(Vm, {}, milliseconds(2000),
                         [&](const wire_gateway::QuotaReply *Reply) {
                           Failed += Reply ? 0 : 1;
                           Loop->stop();
                         });
    Loop->run();
  };
  const time_point Before = bootNow();
  Ask(); // Before it is known what the peer understands.
  Ask(); // Afterwards.
  BOOST_TEST(Failed == 2);
  BOOST_TEST((bootNow() - Before < milliseconds(1500)));
  BOOST_TEST((Received == std::vector{peer_message_kind::Ping}));
  BOOST_TEST(Caller->isConnected(Vm));
  Loop->unwatch(Socket);
}

BOOST_AUTO_TEST_SUITE_END()
