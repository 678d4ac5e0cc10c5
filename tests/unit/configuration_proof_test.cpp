/// \file
/// Tests of the proof of the configuration's age, from the store to a request.
#include "../../src/gateway/store_relay.h"
#include "../../src/gateway/wire_convert.h"
#include "agatedale/configuration_proof.h"
#include "agatedale/store_follower.h"
#include "agatedale/store_mirror.h"

#include <boost/test/unit_test.hpp>

using namespace agatedale;
using agatedale::gateway::Heartbeat;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(configuration_proof_test)

namespace {

constexpr time_point Start{std::chrono::hours(1)};
constexpr milliseconds Bound{5000};

configuration_proof strict() {
  configuration_proof Proof = configuration_proof::create(Bound);
  Proof.recordOwn(7, Start);
  return Proof;
}

table_update operators(store_version Position, time_point ProvenAsOf) {
  return {store_table::Operators,      0,         Position, true, ProvenAsOf,
          {{"config", "x", 5, false}}, ProvenAsOf};
}

/// A mirror of tables at version 10, the operators' proven as of \p ProvenAsOf.
store_mirror mirrorProvenAt(time_point ProvenAsOf) {
  store_mirror Mirror;
  for (const store_table Table : AllStoreTables)
    Mirror.apply({Table, 0, 10, true, ProvenAsOf, {}, ProvenAsOf});
  return Mirror;
}

time_point provenAsOf(const store_mirror &Mirror) {
  return Mirror.provenAsOf(store_table::Operators);
}

/// Relays what \p From knows at \p SentAt to \p To, which reads it at \p At.
void relay(const store_mirror &From, time_point SentAt, store_mirror &To,
           time_point At, std::optional<time_point> RequestedAt) {
  store_relay Sender = store_relay::create(12.5e6);
  Heartbeat Question;
  Question.set_vm("receiver");
  for (const store_table Table : AllStoreTables) {
    Question.add_positions(To.position(Table).Number);
    Question.add_eras(To.position(Table).Era);
  }
  Sender.readUpdates(Question, SentAt, [](const table_update &) {});
  Heartbeat Message;
  Sender.addUpdates(Message, "receiver", From, SentAt);
  store_relay Receiver = store_relay::create(12.5e6);
  Receiver.readUpdates(
      Message, At, [&To](const table_update &Update) { To.apply(Update); },
      RequestedAt);
}

std::shared_ptr<const account_directory>
directoryWith(std::vector<std::string> Keys) {
  client_account Account;
  Account.Name = "acme";
  Account.Keys = std::move(Keys);
  return valueOf(account_directory::create({Account}));
}

admitted_key admitted(std::uint64_t Version, time_point AsOf) {
  return {"acme", account_directory::checkOf("k1"), Version, AsOf};
}

} // namespace

BOOST_AUTO_TEST_CASE(WithoutABoundEverythingIsProven) {
  const auto Proof = configuration_proof::create(std::nullopt);
  BOOST_TEST(!Proof.isStrict());
  BOOST_TEST(Proof.mayAdmit({}, Start));
  const auto Directory = directoryWith({"k1"});
  BOOST_TEST((Proof.reasonNotToRun(admitted(7, {}), {*Directory, 7, {}},
                                   Start) == refusal_reason::None));
}

BOOST_AUTO_TEST_CASE(KeysAreAdmittedUpToSixTenthsOfTheBound) {
  const configuration_proof Proof = strict();
  BOOST_TEST(Proof.mayAdmit(Start, Start + seconds(3)));
  BOOST_TEST(!Proof.mayAdmit(Start, Start + milliseconds(3001)));
  BOOST_TEST(!Proof.mayAdmit({}, Start));
}

// Guards against a frozen VM: an admitted request is sent after the thaw.
BOOST_AUTO_TEST_CASE(AdmittedRequestRunsOnlyWithinTheBound) {
  const configuration_proof Proof = strict();
  const auto Directory = directoryWith({"k1"});
  const auto Reason = [&](time_point Now) {
    return Proof.reasonNotToRun(admitted(7, Start), {*Directory, 7, {}}, Now);
  };
  BOOST_TEST((Reason(Start + milliseconds(4750)) == refusal_reason::None));
  BOOST_TEST((Reason(Start + milliseconds(4751)) ==
              refusal_reason::ConfigurationUnproven));
}

// Guards against refusals of requests that waited while the proof was renewed.
BOOST_AUTO_TEST_CASE(OwnProofOfTheSameOrANewerVersionCounts) {
  const configuration_proof Proof = strict();
  const auto Directory = directoryWith({"k1"});
  const time_point Now = Start + seconds(8);
  const auto Reason = [&](std::uint64_t OwnVersion) {
    return Proof.reasonNotToRun(
        admitted(7, Start), {*Directory, OwnVersion, Now - seconds(1)}, Now);
  };
  BOOST_TEST((Reason(7) == refusal_reason::None));
  BOOST_TEST((Reason(8) == refusal_reason::None));
  // An older version tells nothing of a key that may be newer.
  BOOST_TEST((Reason(6) == refusal_reason::ConfigurationUnproven));
}

BOOST_AUTO_TEST_CASE(NewerConfigurationWithoutTheKeyRefuses) {
  for (const auto &Proof : {strict(), configuration_proof::create({})}) {
    const auto Without = directoryWith({"k2"});
    const auto Reason = [&](std::uint64_t OwnVersion) {
      return Proof.reasonNotToRun(admitted(7, Start),
                                  {*Without, OwnVersion, Start}, Start);
    };
    BOOST_TEST((Reason(8) == refusal_reason::ClientKeyRevoked));
    // The key was added after the version that this VM has.
    BOOST_TEST((Reason(6) == refusal_reason::None));
  }
}

// Guards against requests that run after their account was the last one and was
// removed.
BOOST_AUTO_TEST_CASE(NewerConfigurationWithAnEmptyTableRefuses) {
  const auto Empty = valueOf(account_directory::create({}));
  for (const auto &Proof : {strict(), configuration_proof::create({})}) {
    BOOST_TEST(
        (Proof.reasonNotToRun(admitted(7, Start), {*Empty, 8, Start}, Start) ==
         refusal_reason::ClientKeyRevoked));
    BOOST_TEST((Proof.reasonNotToRun(admitted(7, Start), {*Empty, 6, Start},
                                     Start) == refusal_reason::None));
  }
}

BOOST_AUTO_TEST_CASE(CurrentConfigurationWithoutTheTableNeedsNoProof) {
  const auto None = account_directory::none();
  const time_point Late = Start + 2 * Bound;
  for (const std::uint64_t Version : {7, 8})
    BOOST_TEST(
        (strict().reasonNotToRun(admitted(7, Start), {*None, Version, Start},
                                 Late) == refusal_reason::None));
}

// Guards against a VM without contact that knows only a configuration from
// before there were accounts, and runs requests whatever their age.
BOOST_AUTO_TEST_CASE(OlderConfigurationWithoutTheTableProvesNothing) {
  const auto None = account_directory::none();
  const auto Reason = [&](time_point Now) {
    return strict().reasonNotToRun(admitted(7, Start), {*None, 6, Now}, Now);
  };
  BOOST_TEST((Reason(Start) == refusal_reason::None));
  BOOST_TEST((Reason(Start + Bound) == refusal_reason::ConfigurationUnproven));
}

BOOST_AUTO_TEST_CASE(RequestWithoutProofOfItsSenderIsRefused) {
  const configuration_proof Proof = strict();
  const auto Directory = directoryWith({"k1"});
  BOOST_TEST(
      (Proof.reasonNotToRun(admitted(7, {}), {*Directory, 7, {}}, Start) ==
       refusal_reason::ConfigurationUnproven));
  BOOST_TEST((Proof.reasonNotToRun({}, {*Directory, 7, {}}, Start) ==
              refusal_reason::None));
}

// Guards against a restored store: it confirms an older configuration than the
// one that peers have in force.
BOOST_AUTO_TEST_CASE(NewerVersionOfAPeerEndsTheProofAfterATime) {
  configuration_proof Proof = strict();
  const time_point Later = Start + seconds(60);
  BOOST_TEST((Proof.asOf(Later, Later) == Later));
  Proof.recordPeer(8, Later);
  BOOST_TEST((Proof.asOf(Later, Later + milliseconds(999)) == Later));
  BOOST_TEST((Proof.asOf(Later, Later + seconds(1)) == time_point{}));
  Proof.recordOwn(8, Later + seconds(2));
  BOOST_TEST((Proof.asOf(Later, Later + seconds(2)) == Later));
}

BOOST_AUTO_TEST_CASE(StartingVmTrustsNoOlderConfigurationThanItsPeers) {
  configuration_proof Proof = strict();
  const time_point Heard = Start + milliseconds(200);
  Proof.recordPeer(8, Heard);
  BOOST_TEST((Proof.asOf(Heard, Heard) == time_point{}));
}

// Guards against an older copy of the store that counts as the newest because
// no peer is heard.
BOOST_AUTO_TEST_CASE(StartingVmWaitsForAPeerIfThereAreAny) {
  configuration_proof Proof = configuration_proof::create(Bound);
  BOOST_TEST((Proof.asOf(Start, Start) == time_point{}));
  Proof.recordPeers(true, Start);
  Proof.recordOwn(7, Start);
  const time_point Later =
      Start + configuration_proof::LoneTime - milliseconds(1);
  BOOST_TEST((Proof.asOf(Start, Start + milliseconds(999)) == time_point{}));
  BOOST_TEST((Proof.asOf(Later, Later) == time_point{}));
  // This VM has removed the rows of the silent peers.
  Proof.recordPeers(false, Later);
  BOOST_TEST((Proof.asOf(Later, Later) == time_point{}));
  Proof.recordPeer(7, Later);
  BOOST_TEST((Proof.asOf(Later, Later) == Later));
}

// Guards against a revoked key that is served for the time in which a newer
// version spreads, when the first peer is heard long after the start.
BOOST_AUTO_TEST_CASE(PeerHeardLateEndsTheProofOfAnOlderVersionAtOnce) {
  for (const auto HeardAfter :
       {configuration_proof::SettleTime, configuration_proof::LoneTime}) {
    configuration_proof Proof = configuration_proof::create(Bound);
    Proof.recordPeers(true, Start);
    Proof.recordOwn(7, Start);
    const time_point Heard = Start + HeardAfter + seconds(1);
    Proof.recordPeer(8, Heard);
    BOOST_TEST((Proof.asOf(Heard, Heard) == time_point{}));
  }
}

// Guards against a fleet whose last VM never serves again.
BOOST_AUTO_TEST_CASE(LastVmOfAFleetServesAfterATime) {
  configuration_proof Proof = configuration_proof::create(Bound);
  Proof.recordPeers(true, Start);
  Proof.recordOwn(7, Start);
  const time_point Later = Start + configuration_proof::LoneTime;
  BOOST_TEST((Proof.asOf(Later, Later) == Later));
}

BOOST_AUTO_TEST_CASE(VmWithoutPeersWaitsForNone) {
  configuration_proof Proof = strict();
  Proof.recordPeers(false, Start);
  BOOST_TEST((Proof.asOf(Start, Start) == Start));
  // Peers that were started later are heard soon.
  const time_point Later = Start + configuration_proof::SettleTime;
  Proof.recordPeers(true, Later);
  BOOST_TEST((Proof.asOf(Later, Later) == Later));
}

// Guards against an age that gains the transit time.
BOOST_AUTO_TEST_CASE(ReplyProvesAtMostTheTimeOfItsRequestLessTheAge) {
  const store_mirror Hub = mirrorProvenAt(Start);
  const time_point RequestedAt = Start + milliseconds(800);
  const time_point AnsweredAt = RequestedAt + milliseconds(100);
  const time_point ReadAt = RequestedAt + milliseconds(450);
  store_mirror Vm = mirrorProvenAt(Start - seconds(9));
  relay(Hub, AnsweredAt, Vm, ReadAt, RequestedAt);
  BOOST_TEST((provenAsOf(Vm) == Start - milliseconds(100)));
  // Other users of the age are not affected.
  BOOST_TEST(
      (Vm.asOf(store_table::Operators) == ReadAt - (AnsweredAt - Start)));
}

BOOST_AUTO_TEST_CASE(MessageThatIsNoReplyProvesNothing) {
  const store_mirror Hub = mirrorProvenAt(Start);
  store_mirror Vm = mirrorProvenAt(Start - seconds(9));
  relay(Hub, Start, Vm, Start + seconds(4), std::nullopt);
  BOOST_TEST((provenAsOf(Vm) == Start - seconds(9)));
}

// Guards against two VMs cut from the store that renew each other's proof.
BOOST_AUTO_TEST_CASE(RelaysInACircleNeverRenewTheProof) {
  store_mirror One = mirrorProvenAt(Start);
  store_mirror Other = mirrorProvenAt(Start);
  for (int I = 1; I <= 200; ++I) {
    const time_point Now = Start + I * milliseconds(250);
    relay(One, Now, Other, Now + milliseconds(30), Now - milliseconds(30));
    relay(Other, Now, One, Now + milliseconds(30), Now - milliseconds(30));
  }
  BOOST_TEST((provenAsOf(One) <= Start));
  BOOST_TEST((provenAsOf(Other) <= Start));
}

BOOST_AUTO_TEST_CASE(OlderTableDoesNotConfirmANewerOne) {
  store_mirror Mirror = mirrorProvenAt(Start);
  Mirror.apply(operators(12, Start + seconds(1)));
  Mirror.apply(operators(11, Start + seconds(2)));
  BOOST_TEST((provenAsOf(Mirror) == Start + seconds(1)));
  BOOST_TEST((Mirror.asOf(store_table::Operators) == Start + seconds(2)));
  Mirror.confirmUpTo(11, Start + seconds(3), Start + seconds(3));
  BOOST_TEST((provenAsOf(Mirror) == Start + seconds(1)));
  Mirror.confirmUpTo(12, Start + seconds(3), Start + seconds(3));
  BOOST_TEST((provenAsOf(Mirror) == Start + seconds(3)));
}

BOOST_AUTO_TEST_CASE(UpdateWithAGapProvesNothing) {
  store_mirror Mirror = mirrorProvenAt(Start);
  const time_point Later = Start + seconds(1);
  Mirror.apply({store_table::Operators, 11, 12, false, Later, {}, Later});
  BOOST_TEST((provenAsOf(Mirror) == Start));
}

BOOST_AUTO_TEST_CASE(AgeOfAProofIsRoundedUpOnTheWire) {
  table_update Update = operators(10, Start);
  const auto Message = toMessage(Update, Start + std::chrono::microseconds(1));
  BOOST_TEST(Message.proven_age_ms() == 1U);
  Update.ProvenAsOf = {};
  BOOST_TEST(!toMessage(Update, Start).has_proven_age_ms());
}

// Guards against proof that is lost or renewed where a request crosses.
BOOST_AUTO_TEST_CASE(ProofCrossesWithTheRequest) {
  forward_request Request;
  Request.Group = {"desk", "a", 0};
  Request.Message.Method = "GET";
  Request.Message.Target = "/reads/x";
  Request.Account = "acme";
  Request.KeyCheck = 77;
  Request.ConfigurationVersion = 9;
  Request.ConfigurationAsOf = Start - milliseconds(1500);
  const auto Read = fromMessage(toMessage(Request, Start), Start);
  BOOST_REQUIRE(!errorOf(Read));
  const forward_request &Arrived = std::get<0>(Read);
  BOOST_TEST(Arrived.KeyCheck == 77U);
  BOOST_TEST(Arrived.ConfigurationVersion == 9U);
  BOOST_TEST((Arrived.ConfigurationAsOf == Request.ConfigurationAsOf));
}

// Guards against VMs far from the reader that lose their proof although the
// store answers.
BOOST_AUTO_TEST_CASE(VmReadsTheStoreBeforeItsProofIsTooOld) {
  store_follower_settings Settings;
  Settings.MaxProofAge = seconds(2);
  Settings.ExtraProofAgePerRank = milliseconds(30);
  constexpr int Rank = 40;
  const auto Reads = [&](time_point Now) {
    store_mirror Mirror = mirrorProvenAt(Start);
    Mirror.confirmUpTo(10, Now); // The table is current, but not proven to be.
    return store_follower(Settings).next(Mirror, Rank, Now).has_value();
  };
  BOOST_TEST(!Reads(Start + milliseconds(2479)));
  BOOST_TEST(Reads(Start + milliseconds(2480)));
}

BOOST_AUTO_TEST_SUITE_END()
