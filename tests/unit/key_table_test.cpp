/// \file
/// Tests of key_table.
#include "agatedale/key_table.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

using namespace agatedale;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(key_table_test)

namespace {

constexpr wall_ms Now = 1'796'000'000'000;

std::string key(wall_ms KeyTimestamp, int Number = 1) {
  const std::string Time = fmt::format("{:012x}", KeyTimestamp);
  return fmt::format("{}-{}-7000-8000-{:012x}", Time.substr(0, 8),
                     Time.substr(8), Number);
}

key_claim claimOf(const std::string &Key, claim_id Claim,
                  std::uint64_t Fingerprint = 5) {
  return {"web", Key, Fingerprint, Claim, milliseconds(1000)};
}

bool runs(const key_decision &Decision) {
  return std::holds_alternative<run_key>(Decision);
}

refuse_key refusal(const key_decision &Decision) {
  const auto *Refusal = std::get_if<refuse_key>(&Decision);
  BOOST_REQUIRE_MESSAGE(Refusal, "expected a refusal");
  return *Refusal;
}

} // namespace

BOOST_AUTO_TEST_CASE(FirstClaimRuns) {
  key_table Keys = key_table::create({});
  BOOST_TEST(runs(Keys.claim(claimOf(key(Now), 1), Now)));
}

BOOST_AUTO_TEST_CASE(SecondClaimWaitsWhileTheFirstRuns) {
  key_table Keys = key_table::create({});
  Keys.claim(claimOf(key(Now), 1), Now);
  const auto Decision = Keys.claim(claimOf(key(Now), 2), Now);
  BOOST_TEST(std::holds_alternative<await_key>(Decision));
}

BOOST_AUTO_TEST_CASE(RepeatedClaimRequestStillRuns) {
  key_table Keys = key_table::create({});
  Keys.claim(claimOf(key(Now), 1), Now);
  BOOST_TEST(runs(Keys.claim(claimOf(key(Now), 1), Now)));
}

BOOST_AUTO_TEST_CASE(RepeatReceivesTheStoredAnswer) {
  key_table Keys = key_table::create({});
  Keys.claim(claimOf(key(Now), 1), Now);
  auto Answer = std::make_shared<stored_answer>();
  Answer->Body = "done";
  Keys.settle({"web", key(Now), 1, verdict::Answered, Answer});
  const auto Decision = Keys.claim(claimOf(key(Now), 2), Now);
  const auto *Replay = std::get_if<replay_answer>(&Decision);
  BOOST_REQUIRE(Replay);
  BOOST_TEST(Replay->Answer->Body == "done");
}

BOOST_AUTO_TEST_CASE(KeyProvedNotRunMayRunAgain) {
  key_table Keys = key_table::create({});
  Keys.claim(claimOf(key(Now), 1), Now);
  Keys.settle({"web", key(Now), 1, verdict::NotRun, nullptr});
  BOOST_TEST(runs(Keys.claim(claimOf(key(Now), 2), Now)));
}

BOOST_AUTO_TEST_CASE(LateSettlementOfAnEarlierClaimIsIgnored) {
  key_table Keys = key_table::create({});
  Keys.claim(claimOf(key(Now), 1), Now);
  Keys.settle({"web", key(Now), 1, verdict::NotRun, nullptr});
  Keys.claim(claimOf(key(Now), 2), Now);
  Keys.settle({"web", key(Now), 1, verdict::NotRun, nullptr});
  BOOST_TEST(!runs(Keys.claim(claimOf(key(Now), 3), Now)));
}

BOOST_AUTO_TEST_CASE(KeyThatMayHaveRunNeverRunsAgain) {
  key_table Keys = key_table::create({});
  Keys.claim(claimOf(key(Now), 1), Now);
  Keys.settle({"web", key(Now), 1, verdict::MayHaveRun, nullptr});
  const auto Refusal = refusal(Keys.claim(claimOf(key(Now), 2), Now));
  BOOST_TEST(verdictName(Refusal.Verdict) == "may-have-run");
}

BOOST_AUTO_TEST_CASE(ClaimWithoutASettlementExpiresAtItsTimeout) {
  key_table Keys = key_table::create({});
  Keys.claim(claimOf(key(Now), 1), Now);
  const auto Refusal = refusal(Keys.claim(claimOf(key(Now), 2), Now + 1000));
  BOOST_TEST(reasonName(Refusal.Reason) == "key-outcome-unknown");
}

BOOST_AUTO_TEST_CASE(SameKeyWithAnotherRequestIsRefusedAsNotRun) {
  key_table Keys = key_table::create({});
  Keys.claim(claimOf(key(Now), 1, 5), Now);
  const auto Refusal = refusal(Keys.claim(claimOf(key(Now), 2, 6), Now));
  BOOST_TEST(reasonName(Refusal.Reason) == "key-reused");
  BOOST_TEST(verdictName(Refusal.Verdict) == "not-run");
}

BOOST_AUTO_TEST_CASE(UnknownKeyOlderThanATakeOverNeverRuns) {
  key_table Keys = key_table::create({});
  Keys.takeOver(Now);
  for (const wall_ms KeyTimestamp : {Now - 5000, Now, Now + 2000}) {
    const auto Refusal =
        refusal(Keys.claim(claimOf(key(KeyTimestamp), 1), Now + 100));
    BOOST_TEST(verdictName(Refusal.Verdict) == "may-have-run");
  }
  BOOST_TEST(runs(Keys.claim(claimOf(key(Now + 2001), 1), Now + 2001)));
}

BOOST_AUTO_TEST_CASE(CopiedAnswerIsReplayedAfterATakeOver) {
  key_table Old = key_table::create({});
  Old.claim(claimOf(key(Now), 1), Now);
  Old.settle({"web", key(Now), 1, verdict::Answered,
              std::make_shared<stored_answer>()});
  key_table New = key_table::create({});
  New.takeOver(Now);
  New.importEntries(Old.entries(), true);
  const auto Decision = New.claim(claimOf(key(Now), 2), Now);
  BOOST_TEST(std::holds_alternative<replay_answer>(Decision));
}

BOOST_AUTO_TEST_CASE(CopiedRunningKeyOfALostOwnerHasAnUnknownOutcome) {
  key_table Old = key_table::create({});
  Old.claim(claimOf(key(Now), 1), Now);
  key_table New = key_table::create({});
  New.takeOver(Now);
  New.importEntries(Old.entries(), true);
  const auto Refusal = refusal(New.claim(claimOf(key(Now), 2), Now));
  BOOST_TEST(reasonName(Refusal.Reason) == "key-outcome-unknown");
}

BOOST_AUTO_TEST_CASE(HandedOverRunningKeyIsStillAwaited) {
  key_table Old = key_table::create({});
  Old.claim(claimOf(key(Now), 1), Now);
  key_table New = key_table::create({});
  New.importEntries(Old.entries(), false);
  BOOST_TEST(
      std::holds_alternative<await_key>(New.claim(claimOf(key(Now), 2), Now)));
  New.settle({"web", key(Now), 1, verdict::NotRun, nullptr});
  BOOST_TEST(runs(New.claim(claimOf(key(Now), 3), Now)));
}

BOOST_AUTO_TEST_CASE(ExpiredKeyIsRefusedAndNeverRuns) {
  key_table Keys = key_table::create({});
  const std::string Key = key(Now);
  Keys.claim(claimOf(Key, 1), Now);
  Keys.settle({"web", Key, 1, verdict::Answered, nullptr});
  const wall_ms Later = Now + 10 * 60 * 1000 + 1;
  const auto Refusal = refusal(Keys.claim(claimOf(Key, 2), Later));
  BOOST_TEST(reasonName(Refusal.Reason) == "key-out-of-window");
  BOOST_TEST(Keys.size() == 0, "expected the expired entry to be evicted");
}

BOOST_AUTO_TEST_CASE(KeyEvictedFromAFullTableNeverRunsAgain) {
  key_table_settings Settings;
  Settings.MaxEntries = 2;
  key_table Keys = key_table::create(Settings);
  for (int I = 0; I < 3; ++I)
    BOOST_TEST(runs(Keys.claim(claimOf(key(Now + I, I), 1), Now + I)));
  BOOST_TEST(Keys.size() == 2);
  BOOST_TEST(!runs(Keys.claim(claimOf(key(Now, 0), 2), Now + 3)));
}

BOOST_AUTO_TEST_CASE(KeyBeyondTheClockSkewIsRefusedAsNotRun) {
  key_table Keys = key_table::create({});
  const auto Refusal = refusal(Keys.claim(claimOf(key(Now + 2001), 1), Now));
  BOOST_TEST(reasonName(Refusal.Reason) == "key-malformed");
  BOOST_TEST(verdictName(Refusal.Verdict) == "not-run");
}

BOOST_AUTO_TEST_CASE(MalformedKeysAreRefused) {
  for (const std::string &Key :
       {std::string("42"), std::string(36, '-'), std::string(""),
        std::string("018f0000-0000-4000-8000-000000000000")})
    BOOST_TEST(errorOf(timestampOfKey(Key)), "accepted '" << Key << "'");
}

BOOST_AUTO_TEST_SUITE_END()
