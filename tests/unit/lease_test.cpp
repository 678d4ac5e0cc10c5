/// \file
/// Tests of lease_voter and lease_holder, in isolation and in a simulated fleet
/// with injected faults.
#include "../support/fake_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace agatedale;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(lease_test)

namespace {

constexpr time_point Start{std::chrono::hours(1)};
const vm_id A{"a", 1};
const vm_id B{"b", 1};

lease_request whole(const vm_id &Holder, std::uint64_t Sequence,
                    std::vector<lease_subject> Subjects) {
  return {Holder, 1, Sequence, 0, true, std::move(Subjects)};
}

lease_voter voter() {
  lease_voter Voter = lease_voter::create(milliseconds(1500));
  Voter.setEpoch(1);
  return Voter;
}

} // namespace

BOOST_AUTO_TEST_CASE(SubjectIsNotGrantedToAnotherHolderBeforeItsLeaseExpires) {
  lease_voter Voter = voter();
  Voter.handleRequest(whole(A, 1, {"g"}), Start);
  const auto Reply =
      Voter.handleRequest(whole(B, 1, {"g"}), Start + milliseconds(1499));
  BOOST_TEST(Reply.Granted.empty());
  BOOST_REQUIRE(Reply.HeldByOthers.size() == 1);
  BOOST_TEST(Reply.HeldByOthers[0].Holder.Name == "a");
}

BOOST_AUTO_TEST_CASE(SubjectCanBeGrantedToAnotherHolderOnceItsLeaseExpired) {
  lease_voter Voter = voter();
  Voter.handleRequest(whole(A, 1, {"g"}), Start);
  BOOST_TEST(Voter.handleRequest(whole(B, 1, {"g"}), Start + milliseconds(1500))
                 .Granted.size() == 1);
}

BOOST_AUTO_TEST_CASE(SubjectOmittedFromAFullSetIsReleased) {
  lease_voter Voter = voter();
  Voter.handleRequest(whole(A, 1, {"g", "h"}), Start);
  Voter.handleRequest(whole(A, 2, {"h"}), Start);
  BOOST_TEST(Voter.handleRequest(whole(B, 1, {"g"}), Start).Granted.size() ==
             1);
}

BOOST_AUTO_TEST_CASE(OutOfOrderRequestIsNotAccepted) {
  lease_voter Voter = voter();
  Voter.handleRequest(whole(A, 2, {}), Start);
  BOOST_TEST(!Voter.handleRequest(whole(A, 1, {"g"}), Start).Accepted);
  BOOST_TEST(Voter.handleRequest(whole(B, 1, {"g"}), Start).Granted.size() ==
             1);
}

BOOST_AUTO_TEST_CASE(RequestOfAnotherEpochIsNotAccepted) {
  lease_voter Voter = voter();
  Voter.setEpoch(2);
  BOOST_TEST(!Voter.handleRequest(whole(A, 1, {"g"}), Start).Accepted);
}

BOOST_AUTO_TEST_CASE(RetiredVoterGrantsNothing) {
  lease_voter Voter = voter();
  Voter.retire();
  BOOST_TEST(!Voter.handleRequest(whole(A, 1, {"g"}), Start).Accepted);
}

BOOST_AUTO_TEST_CASE(DigestRenewsAnUnchangedSet) {
  lease_voter Voter = voter();
  Voter.handleRequest(whole(A, 1, {"g"}), Start);
  const lease_request Renewal{A, 1, 2, digestOf({"g"}), false, {}};
  BOOST_TEST(
      !Voter.handleRequest(Renewal, Start + milliseconds(1000)).NeedsFullSet);
  BOOST_TEST(Voter.handleRequest(whole(B, 1, {"g"}), Start + milliseconds(2400))
                 .Granted.empty());
}

BOOST_AUTO_TEST_CASE(HolderCountsTheLeaseFromWhenTheRequestWasSent) {
  lease_holder Holder = lease_holder::create(A, lease_settings{}, 1);
  Holder.setRoster({1, {B}, {}},
                   termination_tracker::create(milliseconds(1500)), Start);
  Holder.setDesiredSubjects({"g"}, Start);
  const termination_tracker Terminations =
      termination_tracker::create(milliseconds(1500));
  const auto Out = Holder.poll(Terminations, Start);
  lease_reply Reply;
  Reply.Accepted = true;
  Reply.Epoch = 1;
  Reply.Sequence = Out[0].Request.Sequence;
  Reply.Granted = {"g"};
  Holder.onReply(B, Reply, Start);
  const time_point Now = Start + milliseconds(1000);
  BOOST_TEST(toMillis(Holder.ownedUntil("g", Terminations, Now) - Start) ==
             1470);
}

BOOST_AUTO_TEST_CASE(ReplyToAnOlderRequestIsIgnored) {
  lease_holder Holder = lease_holder::create(A, lease_settings{}, 1);
  Holder.setRoster({1, {B}, {}},
                   termination_tracker::create(milliseconds(1500)), Start);
  Holder.setDesiredSubjects({"g"}, Start);
  const termination_tracker Terminations =
      termination_tracker::create(milliseconds(1500));
  const auto First = Holder.poll(Terminations, Start);
  Holder.setDesiredSubjects({}, Start);
  Holder.poll(Terminations, Start);
  Holder.setDesiredSubjects({"g"}, Start);
  lease_reply Reply;
  Reply.Accepted = true;
  Reply.Sequence = First[0].Request.Sequence;
  Reply.Granted = {"g"};
  Holder.onReply(B, Reply, Start);
  const bool Owns = Start < Holder.ownedUntil("g", Terminations, Start);
  BOOST_TEST(!Owns, "expected no ownership from the reply to an older request");
}

BOOST_AUTO_TEST_CASE(OwnershipOutlivesARosterChangeUntilItsGrantsExpire) {
  const termination_tracker Terminations =
      termination_tracker::create(milliseconds(1500));
  lease_holder Holder = lease_holder::create(A, lease_settings{}, 1);
  Holder.setRoster({1, {B}, {}}, Terminations, Start);
  Holder.setDesiredSubjects({"g"}, Start);
  const auto Out = Holder.poll(Terminations, Start);
  lease_reply Reply;
  Reply.Accepted = true;
  Reply.Sequence = Out[0].Request.Sequence;
  Reply.Granted = {"g"};
  Holder.onReply(B, Reply, Start);
  const time_point Now = Start + milliseconds(100);
  Holder.setRoster({2, {A, B, {"c", 1}}, {B}}, Terminations, Now);
  BOOST_TEST(
      toMillis(Holder.ownedUntil("g", Terminations, Now) - Start) == 1470,
      "expected the grant under the former roster to last until it expires");
  const time_point Later = Start + milliseconds(1470);
  const bool Owns = Later < Holder.ownedUntil("g", Terminations, Later);
  BOOST_TEST(!Owns, "expected no ownership beyond it without a new quorum");
}

BOOST_AUTO_TEST_CASE(OneOfTwoCompetingHoldersBecomesTheOwner) {
  fake_fleet Fleet(5, 1);
  Fleet.want("vm0", true);
  Fleet.want("vm1", true);
  Fleet.run(seconds(6));
  BOOST_TEST(Fleet.owners().size() == 1);
  BOOST_TEST(Fleet.mostOwners() <= 1);
}

BOOST_AUTO_TEST_CASE(OwnerPausedBeyondItsLeaseOwnsNothing) {
  fake_fleet Fleet(5, 2);
  Fleet.want("vm0", true);
  Fleet.run(seconds(2));
  BOOST_REQUIRE(Fleet.owners().contains("vm0"));
  Fleet.want("vm1", true);
  Fleet.pause("vm0", 3 * fake_fleet::Lease);
  Fleet.run(4 * fake_fleet::Lease);
  BOOST_TEST(Fleet.owners().contains("vm1"));
  BOOST_TEST(Fleet.mostOwners() <= 1);
}

BOOST_AUTO_TEST_CASE(OwnerThatDiesDuringAStoreOutageIsReplaced) {
  fake_fleet Fleet(5, 3);
  Fleet.want("vm0", true);
  Fleet.run(seconds(2));
  Fleet.setStoreDown(true);
  Fleet.kill("vm0");
  Fleet.want("vm1", true);
  Fleet.run(seconds(5));
  BOOST_TEST(Fleet.owners().contains("vm1"));
}

BOOST_AUTO_TEST_CASE(
    OwnershipMovesWhenHalfTheFleetIsReplacedDuringAStoreOutage) {
  fake_fleet Fleet(7, 4);
  Fleet.want("vm0", true);
  Fleet.run(seconds(2));
  Fleet.setStoreDown(true);
  for (const char *Name : {"vm0", "vm1", "vm2", "vm3"}) {
    Fleet.kill(Name);
    Fleet.unlist(Name);
  }
  for (const char *Name : {"vm7", "vm8", "vm9", "vm10"})
    Fleet.start(Name);
  Fleet.want("vm4", true);
  Fleet.run(seconds(8));
  BOOST_TEST(Fleet.owners().contains("vm4"),
             "expected the three remaining voters to form a quorum once four "
             "terminated");
  BOOST_TEST(Fleet.mostOwners() <= 1);
}

BOOST_AUTO_TEST_CASE(PartitionedMinorityOwnsNothing) {
  fake_fleet Fleet(5, 5);
  Fleet.want("vm0", true);
  Fleet.run(seconds(2));
  for (const char *Near : {"vm0", "vm1"}) {
    for (const char *Far : {"vm2", "vm3", "vm4"}) {
      Fleet.cut(Near, Far, true);
      Fleet.cut(Far, Near, true);
    }
  }
  Fleet.want("vm2", true);
  Fleet.run(seconds(5));
  BOOST_TEST(!Fleet.owners().contains("vm0"));
  BOOST_TEST(Fleet.owners().contains("vm2"));
  BOOST_TEST(Fleet.mostOwners() <= 1);
}

BOOST_AUTO_TEST_CASE(OwnerThatReceivesNoRepliesLosesTheSubject) {
  fake_fleet Fleet(3, 6);
  Fleet.want("vm0", true);
  Fleet.run(seconds(2));
  Fleet.cut("vm1", "vm0", true);
  Fleet.cut("vm2", "vm0", true);
  Fleet.want("vm1", true);
  Fleet.run(seconds(6));
  BOOST_TEST(!Fleet.owners().contains("vm0"));
  BOOST_TEST(Fleet.mostOwners() <= 1);
}

BOOST_AUTO_TEST_CASE(RosterTracksRollingReplacementOfAllVms) {
  fake_fleet Fleet(5, 7);
  Fleet.run(seconds(2));
  for (int I = 0; I < 5; ++I) {
    const std::string Old = "vm" + std::to_string(I);
    Fleet.kill(Old);
    Fleet.unlist(Old);
    Fleet.start("new" + std::to_string(I));
    Fleet.run(seconds(10));
  }
  for (const vm_id &Voter : Fleet.stored().Voters)
    BOOST_TEST(Voter.Name.starts_with("new"),
               "expected no terminated voter, got " << Voter.Name);
  Fleet.want("new0", true);
  Fleet.run(seconds(3));
  BOOST_TEST(Fleet.owners().contains("new0"));
}

BOOST_AUTO_TEST_CASE(AtMostOneOwnerUnderRandomFaults) {
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    fake_fleet Fleet(5, Seed);
    Fleet.setLossPercent(5);
    std::mt19937_64 Random(Seed);
    int Started = 5;
    for (int Turn = 0; Turn < 40; ++Turn) {
      std::vector<std::string> Names;
      for (const auto &[Name, Node] : Fleet.nodes())
        Names.push_back(Name);
      const std::string One = Names[Random() % Names.size()];
      const std::string Two = Names[Random() % Names.size()];
      switch (Random() % 8) {
      case 0:
        Fleet.pause(One, milliseconds(Random() % 5000));
        break;
      case 1:
        if (Names.size() > 3) {
          Fleet.kill(One);
          Fleet.unlist(One);
        }
        break;
      case 2:
        Fleet.start("new" + std::to_string(Started++));
        break;
      case 3:
        Fleet.cut(One, Two, true);
        break;
      case 4:
        Fleet.cut(One, Two, false);
        break;
      case 5:
        Fleet.setStoreDown(Random() % 2);
        break;
      default:
        Fleet.want(One, Random() % 3 != 0);
        break;
      }
      Fleet.run(milliseconds(Random() % 1500));
    }
    BOOST_TEST(Fleet.mostOwners() <= 1,
               "seed " << Seed << ": " << Fleet.mostOwners()
                       << " owners at once, expected at most 1");
  }
}

BOOST_AUTO_TEST_SUITE_END()
