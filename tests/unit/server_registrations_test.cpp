/// \file
/// Tests of server_registrations.
#include "agatedale/server_registrations.h"

#include <boost/test/unit_test.hpp>

using namespace agatedale;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(server_registrations_test)

namespace {

constexpr time_point Start{std::chrono::hours(1)};
constexpr milliseconds Renewal{1500};

using server_map = server_registrations::server_map;

/// The table of servers at one moment, and the rules that follow it.
struct followed_table {
  server_registrations Registrations{Renewal};
  std::map<std::string, stored_row> Rows;
  server_map Decoded;
  server_map Used;
  std::uint64_t Era = 1;
  bool IsGracePeriod = false;
  std::uint64_t Version = 0;

  followed_table &write(registration_number Number, bool Leaving = false) {
    Rows["s"] = {"s", "", {Era, ++Version}, false};
    backend_server Server;
    Server.Name = "s";
    Server.Leaving = Leaving;
    Server.Start = Number.Start;
    Server.Sequence = Number.Sequence;
    Decoded["s"] = Server;
    return *this;
  }

  followed_table &remove() {
    Rows.clear();
    Decoded.clear();
    return *this;
  }

  const server_map &follow(time_point Now) {
    Used = Registrations.update({Era, Now, IsGracePeriod, Rows}, Decoded, Used,
                                Now);
    return Used;
  }
};

/// The server is draining; an older registration is written late.
followed_table drainingThenLate(time_point LateAt) {
  followed_table Table;
  Table.write({7, 2}).follow(Start);
  Table.write({7, 6}, true).follow(Start);
  Table.write({7, 3}).follow(LateAt);
  return Table;
}

} // namespace

// Guards against an older registration that replaces a newer one.
BOOST_AUTO_TEST_CASE(OlderRegistrationOfAStartIsNotFollowed) {
  BOOST_TEST(drainingThenLate(Start).Used.at("s").Leaving);
}

BOOST_AUTO_TEST_CASE(OlderRegistrationIsReportedOnce) {
  followed_table Table = drainingThenLate(Start);
  Table.follow(Start + seconds(1));
  const auto Older = Table.Registrations.takeOlder();
  BOOST_REQUIRE(Older.size() == 1);
  BOOST_TEST((Older[0].Number == registration_number{7, 3}));
  BOOST_TEST((Older[0].Newest == registration_number{7, 6}));
  BOOST_TEST(Older[0].IsNewestLeaving);
}

// Guards against a late row that creates a removed entry again.
BOOST_AUTO_TEST_CASE(OlderRegistrationAfterTheRemovalIsNotFollowed) {
  followed_table Table;
  Table.write({7, 6}, true).follow(Start);
  Table.remove().follow(Start + seconds(2));
  Table.write({7, 3}).follow(Start + seconds(3));
  BOOST_TEST(Table.Used.at("s").Leaving);
}

// The server was ready until its row went.
BOOST_AUTO_TEST_CASE(OlderRegistrationOfARemovedReadyServerIsNotFollowed) {
  followed_table Table;
  Table.write({7, 6}).follow(Start);
  Table.remove().follow(Start + seconds(2));
  Table.write({7, 3}).follow(Start + seconds(3));
  BOOST_TEST(Table.Used.at("s").Leaving);
}

// Guards against a row of a process that has ended.
BOOST_AUTO_TEST_CASE(RegistrationOfAFormerStartIsNotFollowed) {
  followed_table Table;
  Table.write({8, 1}).follow(Start);
  Table.write({7, 50}, true).follow(Start);
  BOOST_TEST(!Table.Used.at("s").Leaving);
  BOOST_TEST(Table.Used.at("s").Start == 8);
}

BOOST_AUTO_TEST_CASE(LaterRegistrationOfTheStartIsFollowed) {
  followed_table Table = drainingThenLate(Start);
  Table.write({7, 7}).follow(Start);
  BOOST_TEST(!Table.Used.at("s").Leaving);
}

BOOST_AUTO_TEST_CASE(LaterStartIsFollowedThoughItsCountBeginsAnew) {
  followed_table Table = drainingThenLate(Start);
  Table.write({8, 1}).follow(Start);
  BOOST_TEST(!Table.Used.at("s").Leaving);
}

// Rows without a count say what they say.
BOOST_AUTO_TEST_CASE(RegistrationOfTheSameNumberIsFollowed) {
  followed_table Table;
  Table.write({7, 0}, true).follow(Start);
  Table.write({7, 0}).follow(Start);
  BOOST_TEST(!Table.Used.at("s").Leaving);
}

// A server whose present state the row shows does not write it again.
BOOST_AUTO_TEST_CASE(OlderRegistrationThatTheStoreKeepsIsFollowed) {
  followed_table Table = drainingThenLate(Start);
  const time_point End = Start + Table.Registrations.maxHold();
  BOOST_TEST(!Table.Registrations.isOver(End - milliseconds(1)));
  BOOST_TEST(Table.follow(End - milliseconds(1)).at("s").Leaving);
  BOOST_TEST(Table.Registrations.isOver(End));
  BOOST_TEST(!Table.follow(End).at("s").Leaving);
  BOOST_TEST(!Table.Registrations.isOver(End));
}

// No row expires while servers cannot write.
BOOST_AUTO_TEST_CASE(HoldBeginsAnewAfterAnOutage) {
  followed_table Table = drainingThenLate(Start);
  const time_point AfterOutage = Start + Table.Registrations.maxHold();
  Table.IsGracePeriod = true;
  BOOST_TEST(Table.follow(AfterOutage).at("s").Leaving);
  Table.IsGracePeriod = false;
  BOOST_TEST(Table.follow(AfterOutage + seconds(2)).at("s").Leaving);
}

BOOST_AUTO_TEST_CASE(ServerStaysInUseAfterARestoreToAnOlderRow) {
  followed_table Table;
  Table.write({7, 6}).follow(Start);
  Table.Era = 2;
  Table.write({7, 2}, true).follow(Start + seconds(1));
  BOOST_TEST(!Table.Used.at("s").Leaving);
}

// The copy lacks the row of a server that runs.
BOOST_AUTO_TEST_CASE(RowMissingAfterARestoreIsNoRemoval) {
  followed_table Table;
  Table.write({7, 6}).follow(Start);
  Table.Era = 2;
  Table.remove().follow(Start + seconds(1));
  Table.write({7, 2}).follow(Start + seconds(1));
  BOOST_TEST(!Table.Used.at("s").Leaving);
}

BOOST_AUTO_TEST_CASE(RowExpiredInAnOutageIsNoRemoval) {
  followed_table Table;
  Table.write({7, 6}).follow(Start);
  Table.IsGracePeriod = true;
  Table.remove().follow(Start + seconds(5));
  Table.write({7, 9}).follow(Start + seconds(6));
  BOOST_TEST(!Table.Used.at("s").Leaving);
  BOOST_TEST(Table.Registrations.toShare(Start + seconds(6)).empty());
}

// Guards against a VM that has started since and knows only the late row.
BOOST_AUTO_TEST_CASE(RemovedServerIsTold) {
  followed_table Table;
  Table.write({7, 6}, true).follow(Start);
  BOOST_TEST(Table.Registrations.toShare(Start).empty());
  Table.remove().follow(Start);
  followed_table Other;
  for (const auto &Known : Table.Registrations.toShare(Start))
    BOOST_TEST(Other.Registrations.learn(Known, Start));
  Other.write({7, 3}).follow(Start);
  BOOST_TEST(Other.Used.at("s").Leaving);
}

BOOST_AUTO_TEST_CASE(RegistrationNewerThanTheRowIsTold) {
  const followed_table Table = drainingThenLate(Start);
  const auto Shared = Table.Registrations.toShare(Start + seconds(7));
  BOOST_REQUIRE(Shared.size() == 1);
  BOOST_TEST((Shared[0] == known_registration{"s", {7, 6}, true}));
}

BOOST_AUTO_TEST_CASE(LearnedRegistrationAppliesToTheRowInUse) {
  followed_table Table;
  Table.write({7, 3}).follow(Start);
  BOOST_TEST(Table.Registrations.learn({"s", {7, 6}, true}, Start));
  BOOST_TEST(Table.follow(Start).at("s").Leaving);
  BOOST_TEST(!Table.Registrations.learn({"s", {7, 6}, true}, Start));
}

// A peer has seen a later registration of a server that is ready in both.
BOOST_AUTO_TEST_CASE(LearnedRegistrationOfARunningStartHidesNoServer) {
  followed_table Table;
  Table.write({7, 3}).follow(Start);
  Table.Registrations.learn({"s", {7, 6}, false}, Start);
  BOOST_TEST(!Table.follow(Start).at("s").Leaving);
}

BOOST_AUTO_TEST_CASE(RemovedServerIsToldAndRememberedForATime) {
  followed_table Table;
  Table.write({7, 6}).follow(Start);
  Table.remove().follow(Start);
  const time_point End = Start + server_registrations::ShareTime;
  BOOST_TEST(Table.Registrations.toShare(End - milliseconds(1)).size() == 1);
  BOOST_TEST(Table.Registrations.toShare(End).empty());
  const time_point Forgotten = Start + server_registrations::Memory;
  Table.follow(Forgotten);
  Table.write({7, 3}).follow(Forgotten);
  BOOST_TEST(!Table.Used.at("s").Leaving);
}

BOOST_AUTO_TEST_CASE(ServersWithoutARowAreBounded) {
  server_registrations Registrations{Renewal};
  const int Count = static_cast<int>(server_registrations::MaxUnlisted) + 50;
  for (int I = 0; I < Count; ++I)
    Registrations.learn({std::to_string(I), {1, 1}, true},
                        Start + milliseconds(I));
  const auto Shared = Registrations.toShare(Start + milliseconds(Count));
  BOOST_TEST(Shared.size() == server_registrations::MaxShared);
  BOOST_TEST(Shared.front().Name == std::to_string(Count - 1));
  // The first was forgotten.
  BOOST_TEST(Registrations.learn({"0", {1, 1}, true}, Start + seconds(5)));
  BOOST_TEST(!Registrations.learn({"100", {1, 1}, true}, Start + seconds(5)));
}

BOOST_AUTO_TEST_SUITE_END()
