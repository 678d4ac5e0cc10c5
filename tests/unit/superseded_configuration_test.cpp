/// \file
/// Tests of what is in force while a later version cannot be applied.
#include "agatedale/account_directory.h"
#include "agatedale/configuration_proof.h"
#include "agatedale/superseded_configuration.h"

#include <boost/test/unit_test.hpp>

using namespace agatedale;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(superseded_configuration_test)

namespace {

constexpr time_point Start{std::chrono::hours(1)};
constexpr std::uint64_t InForce = 7;
constexpr superseded_configuration::times Before{Start - milliseconds(200),
                                                 Start - milliseconds(700)};

constexpr milliseconds ApplyBound{2000};
constexpr duration ServeTime =
    ApplyBound / superseded_configuration::ServeDivisor;

/// Version 7 is in force, and version \p Number in row 20 of era 1 was refused.
superseded_configuration supersededBy(std::optional<std::uint64_t> Number) {
  auto Superseded = superseded_configuration::create(ApplyBound);
  BOOST_TEST(Superseded.record({{1, 20}, Number}, InForce, Before, Start));
  return Superseded;
}

bool settles(std::optional<std::uint64_t> Refused, store_version Row,
             std::uint64_t Number) {
  superseded_configuration Superseded = supersededBy(Refused);
  Superseded.settle(Row, Number, InForce);
  return !Superseded.refused();
}

} // namespace

BOOST_AUTO_TEST_CASE(WithoutARefusedVersionEverythingIsInForce) {
  const auto Superseded = superseded_configuration::create(ApplyBound);
  BOOST_TEST(Superseded.mayServe(Start));
  BOOST_TEST(!Superseded.refused());
  BOOST_TEST((Superseded.age(Start) == duration::zero()));
  const auto Times = Superseded.timesInForce({Start, Start});
  BOOST_TEST((Times.AsOf == Start));
  BOOST_TEST((Times.ProvenAsOf == Start));
}

// Guards against dropped routes that are served for as long as a version that
// cannot be applied lasts.
BOOST_AUTO_TEST_CASE(VersionInForceServesForAShortTimeOnly) {
  const auto Superseded = supersededBy(9);
  const time_point End = Start + ServeTime;
  BOOST_TEST(Superseded.mayServe(End - milliseconds(1)));
  BOOST_TEST(!Superseded.mayServe(End));
  BOOST_TEST(!Superseded.mayServe(End + std::chrono::hours(1)));
  BOOST_TEST((Superseded.age(End) == ServeTime));
}

// Guards against a proof that is renewed by reads of a table whose newest
// version is not in force.
BOOST_AUTO_TEST_CASE(ReadsOfTheTableProveTheVersionInForceNoLonger) {
  const auto Superseded = supersededBy(9);
  const time_point Later = Start + seconds(2);
  const auto Times = Superseded.timesInForce({Later, Later});
  BOOST_TEST((Times.AsOf == Before.AsOf));
  BOOST_TEST((Times.ProvenAsOf == Before.ProvenAsOf));
}

// Guards against a series of refused versions that renews the time.
BOOST_AUTO_TEST_CASE(SecondRefusedVersionProlongsNothing) {
  auto Superseded = supersededBy(9);
  const time_point Later = Start + milliseconds(400);
  Superseded.record({{1, 21}, std::nullopt}, InForce, {Later, Later}, Later);
  BOOST_TEST(!Superseded.mayServe(Start + ServeTime));
  const auto Times = Superseded.timesInForce({Later, Later});
  BOOST_TEST((Times.ProvenAsOf == Before.ProvenAsOf));
  BOOST_TEST((Superseded.refused()->Row == store_version{1, 21}));
}

// Guards against a late write of an older version that takes a VM out of
// service.
BOOST_AUTO_TEST_CASE(OlderVersionThatCannotBeAppliedSupersedesNothing) {
  for (const std::uint64_t Number : {InForce - 1, InForce}) {
    auto Superseded = superseded_configuration::create(ApplyBound);
    BOOST_TEST(!Superseded.record({{1, 20}, Number}, InForce, Before, Start));
    BOOST_TEST(!Superseded.refused());
    BOOST_TEST(Superseded.mayServe(Start + seconds(9)));
    // Without a version in force there is none that is older.
    BOOST_TEST(
        Superseded.record({{1, 20}, Number}, std::nullopt, Before, Start));
  }
}

// Guards against a time that is longer than a deployment's bound.
BOOST_AUTO_TEST_CASE(TimeOfServiceFollowsTheBound) {
  auto Superseded = superseded_configuration::create(milliseconds(400));
  Superseded.record({{1, 20}, 9}, InForce, Before, Start);
  BOOST_TEST(Superseded.mayServe(Start + milliseconds(99)));
  BOOST_TEST(!Superseded.mayServe(Start + milliseconds(100)));
}

// Guards against a fleet that serves nobody after the correction.
BOOST_AUTO_TEST_CASE(LaterRowSettlesWhateverItsNumber) {
  for (const std::optional<std::uint64_t> Refused :
       {std::optional<std::uint64_t>(9), std::optional<std::uint64_t>()}) {
    BOOST_TEST(settles(Refused, {1, 21}, 10));
    BOOST_TEST(settles(Refused, {1, 21}, 8));
    BOOST_TEST(settles(Refused, {1, 21}, InForce));
    BOOST_TEST(!settles(Refused, {1, 21}, InForce - 1));
  }
}

// Guards against a restored store that lacks the refused version.
BOOST_AUTO_TEST_CASE(CopyOlderThanTheRefusedVersionSettlesNothing) {
  BOOST_TEST(!settles(9, {2, 12}, InForce));
  BOOST_TEST(!settles(9, {2, 12}, 8));
  BOOST_TEST(settles(9, {2, 12}, 9));
  BOOST_TEST(settles(9, {2, 12}, 10));
  BOOST_TEST(!settles(std::nullopt, {2, 12}, InForce));
  BOOST_TEST(settles(std::nullopt, {2, 12}, 8));
}

BOOST_AUTO_TEST_CASE(RefusedVersionAfterACorrectionBeginsAnew) {
  auto Superseded = supersededBy(9);
  Superseded.settle({1, 21}, 10, InForce);
  const time_point Later = Start + seconds(9);
  Superseded.record({{1, 22}, 11}, 10, {Later, Later}, Later);
  BOOST_TEST(Superseded.mayServe(Later));
  BOOST_TEST((Superseded.timesInForce({Later, Later}).ProvenAsOf == Later));
}

// Guards against requests of callers that sent them before, and of peers that
// have the later version in force, being judged by the superseded one.
BOOST_AUTO_TEST_CASE(RequestsThatWereAdmittedAreJudgedByTheirOwnProof) {
  constexpr milliseconds Bound(5000);
  auto Proof = configuration_proof::create(Bound);
  Proof.recordOwn(InForce, Start - seconds(60));
  client_account Account;
  Account.Name = "acme";
  Account.Keys = {"k1"};
  const auto Directory = valueOf(account_directory::create({Account}));
  const auto Superseded = supersededBy(9);
  const auto ReasonOf = [&](const admitted_key &Request, time_point Now) {
    const time_point AsOf = Superseded.timesInForce({Now, Now}).ProvenAsOf;
    return Proof.reasonNotToRun(Request, {*Directory, InForce, AsOf}, Now);
  };
  const std::uint32_t Check = account_directory::checkOf("k1");
  const admitted_key Waiting{"acme", Check, InForce, Before.ProvenAsOf};
  BOOST_TEST((ReasonOf(Waiting, Start + seconds(1)) == refusal_reason::None));
  BOOST_TEST((ReasonOf(Waiting, Before.ProvenAsOf + Bound) ==
              refusal_reason::ConfigurationUnproven));
  const time_point Later = Start + seconds(60);
  const admitted_key OfPeer{"new", Check, 9, Later - seconds(1)};
  BOOST_TEST((ReasonOf(OfPeer, Later) == refusal_reason::None));
  BOOST_TEST((ReasonOf(OfPeer, Later - seconds(1) + Bound) ==
              refusal_reason::ConfigurationUnproven));
}

BOOST_AUTO_TEST_SUITE_END()
