/// \file
/// Tests of store_relay.
#include "../../src/gateway/store_relay.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace agatedale;
using agatedale::gateway::Heartbeat;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(store_relay_test)

namespace {

constexpr time_point Start{std::chrono::hours(1)};

/// Returns bytes that compression shortens little.
std::string randomBytes(std::size_t Size) {
  std::string Bytes;
  std::uint32_t State = 1;
  while (Bytes.size() < Size)
    Bytes.push_back(
        static_cast<char>((State = State * 1664525 + 1013904223) >> 24));
  return Bytes;
}

store_relay makeRelay() { return store_relay::create(12.5e6); }

/// Returns a mirror of tables at version 10.
store_mirror readMirror() {
  store_mirror Mirror;
  for (const store_table Table : AllStoreTables)
    Mirror.apply({Table, 0, 10, true, Start, {{"a", "1", 5, false}}});
  return Mirror;
}

void writeRow(store_mirror &Mirror, const std::string &Value,
              std::uint64_t Version) {
  Mirror.apply({store_table::Operators,
                Version - 1,
                Version,
                false,
                Start,
                {{"config", Value, Version, false}}});
}

/// Returns a heartbeat of the VM "peer" with \p Position in all tables.
Heartbeat heartbeatAt(std::uint64_t Position) {
  Heartbeat Message;
  Message.set_vm("peer");
  for (std::size_t I = 0; I < AllStoreTables.size(); ++I)
    Message.add_positions(Position);
  return Message;
}

/// Reads a heartbeat of "peer" at \p Position and returns the one sent back.
Heartbeat replyTo(store_relay &Relay, const store_mirror &Mirror,
                  std::uint64_t Position, time_point Now = Start) {
  Relay.readUpdates(heartbeatAt(Position), Now, [](const table_update &) {});
  Heartbeat Reply;
  Relay.addUpdates(Reply, "peer", Mirror, Now);
  return Reply;
}

/// Applies what \p Message relays to \p Mirror; returns how many updates.
int applyAll(const Heartbeat &Message, store_mirror &Mirror) {
  store_relay Relay = makeRelay();
  int Count = 0;
  Relay.readUpdates(Message, Start, [&](const table_update &Update) {
    Mirror.apply(Update);
    ++Count;
  });
  return Count;
}

} // namespace

BOOST_AUTO_TEST_CASE(FewRowsAreRelayedAsTheyAre) {
  store_mirror Mirror = readMirror();
  writeRow(Mirror, "new", 11);
  store_relay Relay = makeRelay();
  const Heartbeat Reply = replyTo(Relay, Mirror, 10);
  store_mirror Peer = readMirror();
  BOOST_TEST(applyAll(Reply, Peer) == 3);
  BOOST_TEST(Reply.packed_size() == 0);
  BOOST_TEST(Peer.rows(store_table::Operators).at("config").Value == "new");
}

BOOST_AUTO_TEST_CASE(LargeRowArrivesWhole) {
  const std::string Value = randomBytes(200'000);
  store_mirror Mirror = readMirror();
  writeRow(Mirror, Value, 11);
  store_relay Relay = makeRelay();
  const Heartbeat Reply = replyTo(Relay, Mirror, 10);
  store_mirror Peer = readMirror();
  applyAll(Reply, Peer);
  BOOST_TEST(Reply.packed_size() == 1);
  BOOST_TEST((Peer.rows(store_table::Operators).at("config").Value == Value));
  BOOST_TEST(Peer.position(store_table::Operators) == 11U);
}

BOOST_AUTO_TEST_CASE(LargeRowsAreCompressed) {
  store_mirror Mirror = readMirror();
  writeRow(Mirror, std::string(200'000, 'a'), 11);
  store_relay Relay = makeRelay();
  BOOST_TEST(replyTo(Relay, Mirror, 10).ByteSizeLong() < 4000U);
}

BOOST_AUTO_TEST_CASE(LargeUpdateIsNotRepeatedWithEachHeartbeat) {
  store_mirror Mirror = readMirror();
  writeRow(Mirror, randomBytes(200'000), 11);
  store_relay Relay = makeRelay();
  BOOST_TEST(replyTo(Relay, Mirror, 10).packed_size() == 1);
  const time_point Next = Start + milliseconds(250);
  BOOST_TEST(replyTo(Relay, Mirror, 10, Next).packed_size() == 0);
  BOOST_TEST(replyTo(Relay, Mirror, 10, Start + update_pacer::InitialTimeout)
                 .packed_size() == 1);
}

BOOST_AUTO_TEST_CASE(OtherTablesAreConfirmedWhileALargeUpdateIsSent) {
  store_mirror Mirror = readMirror();
  writeRow(Mirror, randomBytes(200'000), 11);
  store_relay Relay = makeRelay();
  replyTo(Relay, Mirror, 10);
  const Heartbeat Next = replyTo(Relay, Mirror, 10, Start + milliseconds(250));
  BOOST_TEST(Next.news_size() == 2);
}

BOOST_AUTO_TEST_CASE(RowThatChangedIsRelayedWithItsNewValue) {
  store_mirror Mirror = readMirror();
  store_relay Relay = makeRelay();
  writeRow(Mirror, std::string(2000, 'a'), 11);
  replyTo(Relay, Mirror, 10);
  writeRow(Mirror, std::string(2000, 'b'), 12);
  store_mirror Peer = readMirror();
  applyAll(replyTo(Relay, Mirror, 10), Peer);
  BOOST_TEST(Peer.rows(store_table::Operators).at("config").Value ==
             std::string(2000, 'b'));
}

BOOST_AUTO_TEST_CASE(RemovedRowIsRemovedAtThePeer) {
  store_mirror Mirror = readMirror();
  store_relay Relay = makeRelay();
  replyTo(Relay, Mirror, 10);
  Mirror.apply(
      {store_table::Operators, 10, 11, false, Start, {{"a", "", 11, true}}});
  store_mirror Peer = readMirror();
  applyAll(replyTo(Relay, Mirror, 10), Peer);
  BOOST_TEST(Peer.rows(store_table::Operators).empty());
}

BOOST_AUTO_TEST_CASE(DamagedUpdateIsSkipped) {
  store_mirror Mirror = readMirror();
  writeRow(Mirror, randomBytes(200'000), 11);
  store_relay Relay = makeRelay();
  Heartbeat Reply = replyTo(Relay, Mirror, 10);
  Reply.mutable_packed(0)->mutable_rows()->resize(1000);
  store_mirror Peer = readMirror();
  BOOST_TEST(applyAll(Reply, Peer) == 2);
  BOOST_TEST(Peer.position(store_table::Operators) == 10U);
}

/// Returns a mirror of a store that was restored to version 4.
store_mirror restoredMirror() {
  store_mirror Mirror = readMirror();
  for (const store_table Table : AllStoreTables)
    Mirror.apply(
        {Table, 0, {1, 4}, true, Start, {{"a", "restored", {1, 3}, false}}});
  return Mirror;
}

BOOST_AUTO_TEST_CASE(PeerOfAnEarlierEraIsSentTheRestoredTables) {
  store_relay Hub = makeRelay();
  store_relay Vm = makeRelay();
  store_mirror Peer = readMirror();
  Heartbeat Request;
  Request.set_vm("peer");
  Vm.addUpdates(Request, "hub", Peer, Start);
  Hub.readUpdates(Request, Start, [](const table_update &) {});
  Heartbeat Reply;
  Hub.addUpdates(Reply, "peer", restoredMirror(), Start);
  applyAll(Reply, Peer);
  BOOST_TEST(Peer.rows(store_table::Operators).at("a").Value == "restored");
  BOOST_TEST(Peer.position(store_table::Operators) == store_version(1, 4));
}

// The reader has read one table of a restored store, then the others.
BOOST_AUTO_TEST_CASE(RestoredTablesReachAPeerTogether) {
  store_relay Relay = makeRelay();
  store_mirror Mirror = readMirror();
  Mirror.apply({store_table::Operators, 0, {1, 4}, true, Start, {}});
  Heartbeat Request = heartbeatAt(10);
  for (std::size_t I = 0; I < AllStoreTables.size(); ++I)
    Request.add_eras(0);
  Relay.readUpdates(Request, Start, [](const table_update &) {});
  Heartbeat First;
  Relay.addUpdates(First, "peer", Mirror, Start);
  Heartbeat Second;
  Relay.addUpdates(Second, "peer", restoredMirror(), Start + milliseconds(250));
  store_mirror Peer = readMirror();
  applyAll(First, Peer);
  applyAll(Second, Peer);
  for (const store_table Table : AllStoreTables)
    BOOST_TEST(Peer.position(Table) == store_version(1, 4));
}

BOOST_AUTO_TEST_CASE(PeerOfALaterEraIsNotSetBack) {
  store_relay Relay = makeRelay();
  const Heartbeat Reply = replyTo(Relay, readMirror(), 10);
  store_mirror Peer = restoredMirror();
  applyAll(Reply, Peer);
  BOOST_TEST(Peer.rows(store_table::Operators).at("a").Value == "restored");
}

BOOST_AUTO_TEST_CASE(PeerOfALaterEraIsSentNoRows) {
  store_relay Relay = makeRelay();
  Heartbeat Message = heartbeatAt(4);
  for (std::size_t I = 0; I < AllStoreTables.size(); ++I)
    Message.add_eras(1);
  Relay.readUpdates(Message, Start, [](const table_update &) {});
  Heartbeat Reply;
  Relay.addUpdates(Reply, "peer", readMirror(), Start);
  BOOST_TEST(Reply.news_size() + Reply.packed_size() == 0);
}

BOOST_AUTO_TEST_CASE(EmptyTableOfALaterEraReachesAPeer) {
  store_mirror Mirror;
  store_mirror Peer;
  for (const store_table Table : AllStoreTables) {
    Mirror.apply({Table, 0, 10, true, Start, {}});
    Peer.apply({Table, 0, 10, true, Start, {}});
  }
  store_relay Relay = makeRelay();
  Heartbeat Message = heartbeatAt(10);
  for (std::size_t I = 0; I < AllStoreTables.size(); ++I)
    Message.add_eras(0);
  Relay.readUpdates(Message, Start, [](const table_update &) {});
  Heartbeat Before;
  Relay.addUpdates(Before, "peer", Mirror, Start);
  for (const store_table Table : AllStoreTables)
    Mirror.apply({Table, 0, {1, 4}, true, Start, {}});
  Heartbeat Reply;
  Relay.addUpdates(Reply, "peer", Mirror, Start + milliseconds(300));
  applyAll(Reply, Peer);
  BOOST_TEST(Peer.position(store_table::Servers).Era == 1U);
}

// A VM of an older version reports numbers without eras.
BOOST_AUTO_TEST_CASE(PeerThatReportsNoErasIsSentNoSnapshotWithEachHeartbeat) {
  store_relay Relay = makeRelay();
  const Heartbeat Reply = replyTo(Relay, restoredMirror(), 4);
  BOOST_TEST(Reply.news_size() == 3);
  for (const auto &News : Reply.news())
    BOOST_TEST(!News.whole());
}

BOOST_AUTO_TEST_CASE(UpdateWithoutAnEraChangesNoRestoredTable) {
  store_mirror Mirror = readMirror();
  writeRow(Mirror, "old", 11);
  store_relay Relay = makeRelay();
  Heartbeat Reply = replyTo(Relay, Mirror, 10);
  for (auto &News : *Reply.mutable_news())
    News.clear_era();
  store_mirror Peer = restoredMirror();
  applyAll(Reply, Peer);
  BOOST_TEST(!Peer.rows(store_table::Operators).contains("config"));
}

BOOST_AUTO_TEST_CASE(AgeIsThatOfTheReplicaWhenTheHeartbeatIsMade) {
  store_mirror Mirror = readMirror();
  store_relay Relay = makeRelay();
  replyTo(Relay, Mirror, 10);
  const Heartbeat Later = replyTo(Relay, Mirror, 10, Start + milliseconds(300));
  BOOST_TEST(Later.news(0).age_ms() == 300U);
}

BOOST_AUTO_TEST_SUITE_END()
