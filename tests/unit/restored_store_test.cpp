/// \file
/// Tests of what stays in force while a restored store gets its writes again.
#include "agatedale/restored_store.h"

#include <boost/test/unit_test.hpp>

using namespace agatedale;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(restored_store_test)

namespace {

constexpr time_point Start{std::chrono::hours(1)};
constexpr time_point Restored = Start + seconds(10);
constexpr milliseconds Renewal{1500};
constexpr time_point SoonAfter = Restored + milliseconds(500);

using names = std::set<std::string>;

/// The table of servers at one moment.
struct server_table {
  std::map<std::string, stored_row> Rows;
  restored_servers::server_map Servers;

  server_table &add(const std::string &Name, store_version Version,
                    bool Leaving = false, std::uint64_t Incarnation = 1) {
    Rows[Name] = {Name, "", Version, false};
    backend_server Server;
    Server.Name = Name;
    Server.Leaving = Leaving;
    Server.Start = Incarnation;
    Servers[Name] = Server;
    return *this;
  }
};

restored_servers::server_map update(restored_servers &Restored,
                                    std::uint64_t Era,
                                    const server_table &Table, time_point Now,
                                    bool IsGracePeriod = false) {
  return Restored.update(Era, Table.Rows, Table.Servers, IsGracePeriod, Now);
}

entry_vm vm(const std::string &Name, std::uint64_t Incarnation) {
  entry_vm Vm;
  Vm.Id = {Name, Incarnation};
  return Vm;
}

using vms = std::vector<entry_vm>;

} // namespace

BOOST_AUTO_TEST_CASE(DrainedZoneThatTheCopyLacksStaysDrained) {
  restored_zones Zones;
  Zones.update(1, {"a"}, Start);
  BOOST_TEST((Zones.update(2, {}, Restored) == names{"a"}));
  BOOST_TEST((Zones.update(2, {}, SoonAfter) == names{"a"}));
}

BOOST_AUTO_TEST_CASE(DrainedZoneThatIsNotWrittenAgainIsReleased) {
  restored_zones Zones;
  Zones.update(1, {"a"}, Start);
  Zones.update(2, {}, Restored);
  const time_point End = Restored + restored_zones::HoldTime;
  BOOST_TEST(!Zones.isOver(End - milliseconds(1)));
  BOOST_TEST(Zones.isOver(End));
  BOOST_TEST(Zones.update(2, {}, End).empty());
  BOOST_TEST(!Zones.isOver(End));
}

BOOST_AUTO_TEST_CASE(RemovalInTheNewEraEndsTheDrainAtOnce) {
  restored_zones Zones;
  Zones.update(1, {"a"}, Start);
  Zones.update(2, {}, Restored);
  Zones.update(2, {"a"}, SoonAfter);
  BOOST_TEST(Zones.update(2, {}, SoonAfter).empty());
}

BOOST_AUTO_TEST_CASE(RemovalWithoutARestoreEndsTheDrainAtOnce) {
  restored_zones Zones;
  Zones.update(1, {"a"}, Start);
  BOOST_TEST(Zones.update(1, {}, Start + seconds(1)).empty());
}

BOOST_AUTO_TEST_CASE(SecondRestoreHoldsADrainedZoneAgain) {
  restored_zones Zones;
  Zones.update(1, {"a"}, Start);
  Zones.update(2, {}, Restored);
  const time_point Second = Restored + seconds(2);
  Zones.update(3, {}, Second);
  BOOST_TEST((Zones.update(3, {}, Second + seconds(2)) == names{"a"}));
}

BOOST_AUTO_TEST_CASE(LeavingServerIsNotReadyAgainByAnOlderRow) {
  restored_servers Servers{Renewal};
  update(Servers, 1, server_table().add("s", {1, 5}), Start);
  update(Servers, 1, server_table().add("s", {1, 9}, true), Start);
  const server_table Copy = server_table().add("s", {2, 5});
  BOOST_TEST(update(Servers, 2, Copy, Restored).at("s").Leaving);
  BOOST_TEST(update(Servers, 2, Copy, SoonAfter).at("s").Leaving);
}

BOOST_AUTO_TEST_CASE(RestartedServerIsReadyThoughItsFormerStartWasLeaving) {
  restored_servers Servers{Renewal};
  update(Servers, 1, server_table().add("s", {1, 9}, true), Start);
  const server_table Copy = server_table().add("s", {2, 5}, false, 2);
  BOOST_TEST(!update(Servers, 2, Copy, Restored).at("s").Leaving);
}

BOOST_AUTO_TEST_CASE(RowWrittenInTheNewEraIsBelieved) {
  restored_servers Servers{Renewal};
  update(Servers, 1, server_table().add("s", {1, 9}, true), Start);
  update(Servers, 2, server_table().add("s", {2, 5}), Restored);
  const server_table Written = server_table().add("s", {2, 8});
  BOOST_TEST(!update(Servers, 2, Written, SoonAfter).at("s").Leaving);
}

BOOST_AUTO_TEST_CASE(CopyWithAFormerStartDoesNotReplaceTheServer) {
  restored_servers Servers{Renewal};
  update(Servers, 1, server_table().add("s", {1, 5}, false, 1), Start);
  update(Servers, 1, server_table().add("s", {1, 9}, false, 2), Start);
  const server_table Copy = server_table().add("s", {2, 5}, false, 1);
  BOOST_TEST(update(Servers, 2, Copy, Restored).at("s").Start == 2U);
  BOOST_TEST(update(Servers, 2, Copy, SoonAfter).at("s").Start == 2U);
  const time_point End = Restored + Servers.departedHold();
  BOOST_TEST(!Servers.isOver(End - milliseconds(1)));
  BOOST_TEST(Servers.isOver(End));
  BOOST_TEST(update(Servers, 2, Copy, End).at("s").Start == 1U);
}

BOOST_AUTO_TEST_CASE(RowOfAThirdStartIsBelieved) {
  restored_servers Servers{Renewal};
  update(Servers, 1, server_table().add("s", {1, 9}, false, 2), Start);
  update(Servers, 2, server_table().add("s", {2, 5}, false, 1), Restored);
  const server_table Written = server_table().add("s", {2, 8}, false, 3);
  BOOST_TEST(update(Servers, 2, Written, SoonAfter).at("s").Start == 3U);
}

// Rows of running servers expire in a long outage.
BOOST_AUTO_TEST_CASE(ServerWhoseRowExpiredInAnOutageIsUsedWhenTheCopyListsIt) {
  restored_servers Servers{Renewal};
  update(Servers, 1, server_table().add("s", {1, 5}), Start);
  update(Servers, 1, server_table(), Start, true);
  const server_table Copy = server_table().add("s", {2, 5});
  BOOST_TEST(update(Servers, 2, Copy, Restored, true).size() == 1U);
  BOOST_TEST(update(Servers, 2, Copy, SoonAfter).size() == 1U);
}

BOOST_AUTO_TEST_CASE(ServerThatIsStillMissingAfterTheGracePeriodIsNotUsed) {
  restored_servers Servers{Renewal};
  update(Servers, 1, server_table().add("s", {1, 5}), Start);
  update(Servers, 1, server_table(), Start, true);
  update(Servers, 1, server_table(), Start + seconds(2));
  const server_table Copy = server_table().add("s", {2, 5});
  BOOST_TEST(update(Servers, 2, Copy, Restored).empty());
}

BOOST_AUTO_TEST_CASE(RemovedServerThatTheCopyListsIsNotUsed) {
  restored_servers Servers{Renewal};
  update(Servers, 1, server_table().add("s", {1, 5}), Start);
  update(Servers, 1, server_table(), Start);
  const server_table Copy = server_table().add("s", {2, 5});
  BOOST_TEST(update(Servers, 2, Copy, Restored).empty());
  BOOST_TEST(update(Servers, 2, Copy, SoonAfter).empty());
  BOOST_TEST(
      update(Servers, 2, server_table().add("s", {2, 8}), SoonAfter).size() ==
      1U);
}

BOOST_AUTO_TEST_CASE(RemovedServerThatStaysListedIsUsedInTheEnd) {
  restored_servers Servers{Renewal};
  update(Servers, 1, server_table().add("s", {1, 5}), Start);
  update(Servers, 1, server_table(), Start);
  const server_table Copy = server_table().add("s", {2, 5});
  update(Servers, 2, Copy, Restored);
  const time_point End = Restored + Servers.departedHold();
  BOOST_TEST(Servers.isOver(End));
  BOOST_TEST(update(Servers, 2, Copy, End).size() == 1U);
}

BOOST_AUTO_TEST_CASE(ServerThatTheCopyLacksIsKeptForAWhile) {
  restored_servers Servers{Renewal};
  update(Servers, 1, server_table().add("s", {1, 5}), Start);
  BOOST_TEST(update(Servers, 2, server_table(), Restored).size() == 1U);
  const time_point End = Restored + restored_servers::MissingHold;
  BOOST_TEST(update(Servers, 2, server_table(), SoonAfter).size() == 1U);
  BOOST_TEST(Servers.isOver(End));
  BOOST_TEST(update(Servers, 2, server_table(), End).empty());
}

BOOST_AUTO_TEST_CASE(LeavingServerThatTheCopyLacksIsGone) {
  restored_servers Servers{Renewal};
  update(Servers, 1, server_table().add("s", {1, 5}, true), Start);
  BOOST_TEST(update(Servers, 2, server_table(), Restored).empty());
}

BOOST_AUTO_TEST_CASE(ServerRemovedInTheNewEraIsGoneAtOnce) {
  restored_servers Servers{Renewal};
  update(Servers, 1, server_table().add("s", {1, 5}), Start);
  update(Servers, 2, server_table(), Restored);
  update(Servers, 2, server_table().add("s", {2, 7}), SoonAfter);
  BOOST_TEST(update(Servers, 2, server_table(), SoonAfter).empty());
}

BOOST_AUTO_TEST_CASE(LeavingServerIsRememberedOverASecondRestore) {
  restored_servers Servers{Renewal};
  update(Servers, 1, server_table().add("s", {1, 9}, true), Start);
  update(Servers, 2, server_table().add("s", {2, 5}), Restored);
  const server_table Copy = server_table().add("s", {3, 5});
  BOOST_TEST(update(Servers, 3, Copy, SoonAfter).at("s").Leaving);
}

// A row that cannot be decoded names no server, but is no missing row.
BOOST_AUTO_TEST_CASE(ServerWhoseRowCannotBeReadIsNotKept) {
  restored_servers Servers{Renewal};
  update(Servers, 1, server_table().add("s", {1, 5}), Start);
  server_table Copy = server_table().add("s", {2, 6});
  Copy.Servers.clear();
  BOOST_TEST(update(Servers, 2, Copy, Restored).empty());
}

// Servers come and go for an hour, a hundred a second.
BOOST_AUTO_TEST_CASE(DepartedServersTakeBoundedTime) {
  restored_servers Servers{Renewal};
  for (int I = 0; I < 20'000; ++I)
    update(Servers, 1,
           server_table().add("s-" + std::to_string(I),
                              static_cast<std::uint64_t>(I + 1)),
           Start + I * milliseconds(10));
  // A server that left over a minute before the restore is not remembered.
  const server_table Copy = server_table().add("s-0", {2, 1});
  BOOST_TEST(update(Servers, 2, Copy, Start + seconds(200)).contains("s-0"));
}

BOOST_AUTO_TEST_CASE(VmThatTheCopyLacksStaysListedUntilItHasWrittenItsRow) {
  restored_vms Vms("self");
  Vms.update(1, vms{vm("self", 1), vm("vm", 7)}, Start);
  const vms AfterRestore = Vms.update(2, vms{vm("self", 1)}, Restored);
  BOOST_REQUIRE(AfterRestore.size() == 2U);
  BOOST_TEST(AfterRestore.back().Id.Incarnation == 7U);
  Vms.update(2, vms{vm("self", 1), vm("vm", 7)}, SoonAfter);
  BOOST_TEST(Vms.update(2, vms{vm("self", 1)}, SoonAfter).size() == 1U);
}

BOOST_AUTO_TEST_CASE(FormerIncarnationInTheCopyDoesNotReplaceTheVm) {
  restored_vms Vms("self");
  Vms.update(1, vms{vm("vm", 7)}, Start);
  const vms AfterRestore = Vms.update(2, vms{vm("vm", 3)}, Restored);
  BOOST_REQUIRE(AfterRestore.size() == 1U);
  BOOST_TEST(AfterRestore.front().Id.Incarnation == 7U);
}

BOOST_AUTO_TEST_CASE(VmThatDoesNotWriteItsRowIsDropped) {
  restored_vms Vms("self");
  Vms.update(1, vms{vm("vm", 7)}, Start);
  Vms.update(2, vms{}, Restored);
  const time_point End = Restored + restored_vms::HoldTime;
  BOOST_TEST(Vms.isOver(End));
  BOOST_TEST(Vms.update(2, vms{}, End).empty());
}

BOOST_AUTO_TEST_CASE(OwnMissingRowIsNotHidden) {
  restored_vms Vms("self");
  Vms.update(1, vms{vm("self", 7)}, Start);
  BOOST_TEST(Vms.update(2, vms{}, Restored).empty());
}

BOOST_AUTO_TEST_CASE(StartingVmWaitsForTheConfigurationOfItsPeers) {
  configuration_catch_up CatchUp;
  CatchUp.recordPeer(5);
  BOOST_TEST(!CatchUp.isReached(4, Start));
  BOOST_TEST(CatchUp.isReached(5, Start));
}

BOOST_AUTO_TEST_CASE(StartingVmDoesNotWaitForEver) {
  configuration_catch_up CatchUp;
  CatchUp.recordPeer(5);
  BOOST_TEST(!CatchUp.isReached(4, Start));
  BOOST_TEST(CatchUp.isReached(4, Start + configuration_catch_up::MaxWait));
}

BOOST_AUTO_TEST_CASE(CorrectionIsReportedOnce) {
  restored_zones Zones;
  Zones.update(0, {"a"}, Start);
  BOOST_TEST(Zones.takeCorrections().empty());
  Zones.update(1, {}, Start);
  const restored_row_corrections Corrections = Zones.takeCorrections();
  BOOST_REQUIRE(Corrections.size() == 1U);
  BOOST_TEST(Corrections.front().Name == "a");
  BOOST_TEST(Zones.takeCorrections().empty());
}

BOOST_AUTO_TEST_CASE(HoldOutlastsTheRenewalsAfterWhichARowIsRemoved) {
  for (const seconds Interval : {seconds(1), seconds(3), seconds(10)})
    BOOST_TEST((restored_servers(Interval).departedHold() > 3 * Interval));
}

BOOST_AUTO_TEST_SUITE_END()
