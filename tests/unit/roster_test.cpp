/// \file
/// Tests of quorum evaluation, termination tracking and roster changes.
#include "agatedale/roster.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace agatedale;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(roster_test)

namespace {

constexpr time_point Start{std::chrono::hours(1)};
constexpr milliseconds Lease{1500};

vm_id id(int Number) { return {"vm" + std::to_string(Number), 1}; }

std::vector<vm_id> ids(int From, int To) {
  std::vector<vm_id> Ids;
  for (int I = From; I <= To; ++I)
    Ids.push_back(id(I));
  return Ids;
}

std::set<vm_id> granted(int From, int To) {
  const auto Ids = ids(From, To);
  return {Ids.begin(), Ids.end()};
}

entry_vm ready(const vm_id &Id) {
  return {Id, "10.0.0.1", "a", "r", true, false};
}

} // namespace

BOOST_AUTO_TEST_CASE(HalfOfTheVotersIsNoQuorum) {
  const termination_tracker Terminations = termination_tracker::create(Lease);
  BOOST_TEST(!isQuorum({1, ids(1, 4), {}}, granted(1, 2), Terminations, Start));
  BOOST_TEST(isQuorum({1, ids(1, 4), {}}, granted(1, 3), Terminations, Start));
}

BOOST_AUTO_TEST_CASE(QuorumNeedsAMajorityOfPriorVotersToo) {
  const termination_tracker Terminations = termination_tracker::create(Lease);
  const roster Joint{2, ids(4, 6), ids(1, 3)};
  BOOST_TEST(!isQuorum(Joint, granted(4, 6), Terminations, Start));
  BOOST_TEST(isQuorum(Joint, granted(2, 6), Terminations, Start));
}

BOOST_AUTO_TEST_CASE(TerminatedVoterLeavesTheQuorumOnlyAfterTheLease) {
  termination_tracker Terminations = termination_tracker::create(Lease);
  const std::vector<std::string> All{"vm1", "vm2", "vm3"};
  const std::vector<std::string> Left{"vm1"};
  Terminations.onVmList(All, Start);
  Terminations.onVmList(Left, Start);
  const roster Roster{1, ids(1, 3), {}};
  BOOST_TEST(!isQuorum(Roster, granted(1, 1), Terminations, Start));
  BOOST_TEST(isQuorum(Roster, granted(1, 1), Terminations, Start + Lease));
}

BOOST_AUTO_TEST_CASE(VmThatWasNeverListedIsNotTerminated) {
  termination_tracker Terminations = termination_tracker::create(Lease);
  const std::vector<std::string> Left{"vm1"};
  Terminations.onVmList(Left, Start);
  BOOST_TEST(!Terminations.hasTerminated(id(2), Start + 10 * Lease));
}

BOOST_AUTO_TEST_CASE(NewerIncarnationTerminatesTheEarlierOne) {
  termination_tracker Terminations = termination_tracker::create(Lease);
  Terminations.onIncarnationSeen({"vm1", 1}, Start);
  Terminations.onIncarnationSeen({"vm1", 2}, Start);
  BOOST_TEST(!Terminations.hasTerminated({"vm1", 1}, Start));
  BOOST_TEST(Terminations.hasTerminated({"vm1", 1}, Start + Lease));
  BOOST_TEST(!Terminations.hasTerminated({"vm1", 2}, Start + Lease));
}

BOOST_AUTO_TEST_CASE(NothingChangesBeforeTheCurrentRosterIsAdopted) {
  const termination_tracker Terminations = termination_tracker::create(Lease);
  roster_adoption Adoption;
  const std::vector<entry_vm> Live{ready(id(1)), ready(id(2))};
  BOOST_TEST(!nextRoster({1, ids(1, 1), {}}, Live, Adoption, Terminations,
                         Lease, Start)
                  .has_value());
}

BOOST_AUTO_TEST_CASE(NewVoterIsAddedAlongsideThePriorOnes) {
  const termination_tracker Terminations = termination_tracker::create(Lease);
  roster_adoption Adoption;
  Adoption.recordEpoch(id(1), 1, Start);
  const std::vector<entry_vm> Live{ready(id(1)), ready(id(2))};
  const auto Next = nextRoster({1, ids(1, 1), {}}, Live, Adoption, Terminations,
                               Lease, Start + Lease);
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST(Next->Epoch == 2);
  BOOST_TEST(Next->Voters.size() == 2);
  BOOST_TEST(Next->Prior.size() == 1);
}

BOOST_AUTO_TEST_CASE(PriorVotersAreDroppedOnceTheChangeIsAdopted) {
  const termination_tracker Terminations = termination_tracker::create(Lease);
  roster_adoption Adoption;
  Adoption.recordEpoch(id(1), 2, Start);
  Adoption.recordEpoch(id(2), 2, Start);
  const std::vector<entry_vm> Live{ready(id(1)), ready(id(2))};
  const auto Next = nextRoster({2, ids(1, 2), ids(1, 1)}, Live, Adoption,
                               Terminations, Lease, Start + Lease);
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST(Next->Prior.empty());
}

BOOST_AUTO_TEST_CASE(RosterWhoseVotersAllTerminatedIsReplaced) {
  termination_tracker Terminations = termination_tracker::create(Lease);
  const std::vector<std::string> All{"vm1"};
  Terminations.onVmList(All, Start);
  Terminations.onVmList({}, Start);
  const std::vector<entry_vm> Live{ready(id(2))};
  const auto Next = nextRoster({1, ids(1, 1), {}}, Live, {}, Terminations,
                               Lease, Start + Lease);
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST(Next->Voters.size() == 1);
  BOOST_TEST(Next->Prior.empty());
}

BOOST_AUTO_TEST_CASE(VotersAreSpreadOverTheZones) {
  termination_tracker Terminations = termination_tracker::create(Lease);
  const std::vector<std::string> All{"old"};
  Terminations.onVmList(All, Start);
  Terminations.onVmList({}, Start);
  std::vector<entry_vm> Live;
  for (int I = 1; I <= 12; ++I) {
    entry_vm Vm = ready(id(I));
    Vm.Zone = I <= 8 ? "a" : "b";
    Live.push_back(Vm);
  }
  const auto Next = nextRoster({1, {{"old", 1}}, {}}, Live, {}, Terminations,
                               Lease, Start + Lease);
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST(Next->Voters.size() == MaxVoters);
  int InZoneB = 0;
  for (const entry_vm &Vm : Live)
    InZoneB += Vm.Zone == "b" &&
               std::count(Next->Voters.begin(), Next->Voters.end(), Vm.Id);
  BOOST_TEST(InZoneB >= 3, "expected 3 or 4 of 7 in zone b, got " << InZoneB);
}

BOOST_AUTO_TEST_SUITE_END()
