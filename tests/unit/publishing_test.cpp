/// \file
/// Tests of publishing by compare-and-set, and of the version in force.
#include "agatedale/configuration_state.h"
#include "agatedale/publishing.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>

using namespace agatedale;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(publishing_test)

namespace {

/// A platform in memory whose writes can lose their answers.
class fake_platform {
public:
  result<table_row> readRow(std::string_view Name) {
    if (FailReads > 0 && FailReads-- > 0)
      return error{error_kind::Unavailable, "down"};
    const auto Row = Rows.find(std::string(Name));
    if (Row == Rows.end())
      return error{error_kind::NotFound, "absent"};
    return Row->second;
  }

  result<std::uint64_t> writeRow(std::string_view Name, std::string_view Value,
                                 std::uint64_t Expected) {
    if (BeforeWrite)
      std::exchange(BeforeWrite, nullptr)();
    table_row &Row = Rows[std::string(Name)];
    if (Row.Version != Expected)
      return error{error_kind::Conflict, "changed"};
    Row = {Row.Version + 1, std::string(Value)};
    if (LoseAnswers-- > 0)
      return error{error_kind::Unknown, "lost"};
    return Row.Version;
  }

  result<std::string> getObject(std::string_view Name) {
    return Objects[std::string(Name)];
  }

  result<success> putObject(std::string_view Name, std::string_view Value) {
    Objects[std::string(Name)] = Value;
    return success{};
  }

  result<std::vector<listed_vm>> listVms() { return std::vector<listed_vm>{}; }

  std::map<std::string, table_row> Rows;
  std::map<std::string, std::string> Objects;
  int LoseAnswers = 0;
  int FailReads = 0;
  std::function<void()> BeforeWrite;
};

static_assert(platform_service<fake_platform>);

result<std::uint64_t> publish(fake_platform &Platform, const std::string &Id,
                              std::uint64_t Base) {
  return publishDocument(Platform, "doc " + Id, Id, "op-" + Id, Base, 5);
}

} // namespace

BOOST_AUTO_TEST_CASE(PublishMakesTheNextVersion) {
  fake_platform Platform;
  BOOST_TEST(valueOf(publish(Platform, "x", 0)) == 1u);
  BOOST_TEST(valueOf(publish(Platform, "y", 1)) == 2u);
  BOOST_TEST(valueOf(readPublishedConfiguration(Platform)).Document == "doc y");
}

BOOST_AUTO_TEST_CASE(LostAnswerIsSettledByReading) {
  fake_platform Platform;
  Platform.LoseAnswers = 1;
  BOOST_TEST(valueOf(publish(Platform, "x", 0)) == 1u);
}

BOOST_AUTO_TEST_CASE(LostAnswerIsSettledThoughTheStoreIsDownForAWhile) {
  fake_platform Platform;
  publish(Platform, "w", 0);
  Platform.LoseAnswers = 1;
  Platform.BeforeWrite = [&] { Platform.FailReads = 3; };
  BOOST_TEST(valueOf(publish(Platform, "x", 1)) == 2u);
}

BOOST_AUTO_TEST_CASE(UnsettledPublishSaysSo) {
  fake_platform Platform;
  publish(Platform, "w", 0);
  Platform.LoseAnswers = 1;
  Platform.BeforeWrite = [&] { Platform.FailReads = 100; };
  const auto Result = publish(Platform, "x", 1);
  BOOST_REQUIRE(errorOf(Result));
  BOOST_TEST((errorOf(Result)->Kind == error_kind::Unknown));
}

BOOST_AUTO_TEST_CASE(SameChangeIsNeverPublishedTwice) {
  fake_platform Platform;
  publish(Platform, "x", 0);
  BOOST_TEST(valueOf(publish(Platform, "x", 0)) == 1u);
  BOOST_TEST(valueOf(readConfigurationRecord(Platform)).first.Version == 1u);
}

BOOST_AUTO_TEST_CASE(ChangeIsFoundThoughOthersCameAfterIt) {
  fake_platform Platform;
  publish(Platform, "x", 0);
  publish(Platform, "y", 1);
  BOOST_TEST(valueOf(publish(Platform, "x", 0)) == 1u);
}

BOOST_AUTO_TEST_CASE(OfTwoRacingOperatorsOneWinsAndTheOtherLearnsByWhom) {
  fake_platform Platform;
  publish(Platform, "w", 0);
  Platform.BeforeWrite = [&] { publish(Platform, "winner", 1); };
  const auto Result = publish(Platform, "loser", 1);
  BOOST_REQUIRE(errorOf(Result));
  BOOST_TEST((errorOf(Result)->Kind == error_kind::Conflict));
  BOOST_TEST(errorOf(Result)->Message.find("op-winner") != std::string::npos);
  BOOST_TEST(valueOf(readPublishedConfiguration(Platform)).Document ==
             "doc winner");
}

BOOST_AUTO_TEST_CASE(RecordAndRosterSurviveTheirJson) {
  const configuration_record Record{3, "o", {{3, "c", "me \"quoted\""}}};
  const auto Back = recordFromJson(toJson(Record));
  BOOST_TEST(valueOf(Back).Changes[0].Operator == "me \"quoted\"");
  const roster Roster{7, {{"a", 1}, {"b", 1ull << 60}}, {{"c", 3}}};
  BOOST_TEST((valueOf(rosterFromJson(toJson(Roster))) == Roster));
  BOOST_TEST(errorOf(rosterFromJson("{\"epoch\":")));
}

BOOST_AUTO_TEST_CASE(VersionInForceNeverStepsBack) {
  configuration_state State = configuration_state::create(seconds(5));
  BOOST_TEST(
      State.applyIfNewer({4, "c", "o", ""}, std::make_shared<configuration>()));
  BOOST_TEST(!State.applyIfNewer({3, "b", "o", ""},
                                 std::make_shared<configuration>()));
  BOOST_TEST(State.version() == 4u);
}

BOOST_AUTO_TEST_CASE(NodeThatHearsNobodyStopsServingAfterTheLease) {
  constexpr time_point Start{std::chrono::hours(1)};
  configuration_state State = configuration_state::create(seconds(5));
  State.onStoreResponse(0, Start);
  BOOST_TEST(!State.mayServe(Start), "expected not ready without a version");
  State.applyIfNewer({1, "c", "o", ""}, std::make_shared<configuration>());
  BOOST_TEST(State.mayServe(Start + seconds(4)));
  BOOST_TEST(!State.mayServe(Start + seconds(5)));
}

BOOST_AUTO_TEST_CASE(OnlyAPeerThatServesTheSameVersionExtendsTheRight) {
  constexpr time_point Start{std::chrono::hours(1)};
  configuration_state State = configuration_state::create(seconds(5));
  State.applyIfNewer({2, "c", "o", ""}, std::make_shared<configuration>());
  State.onStoreResponse(2, Start);
  State.onPeerResponse(false, 2, Start + seconds(3));
  State.onPeerResponse(true, 1, Start + seconds(3));
  State.onPeerResponse(true, 3, Start + seconds(3));
  BOOST_TEST(!State.mayServe(Start + seconds(6)));
  State.onPeerResponse(true, 2, Start + seconds(3));
  BOOST_TEST(State.mayServe(Start + seconds(6)));
}

BOOST_AUTO_TEST_CASE(StoreThatNamesANewerVersionExtendsNothing) {
  constexpr time_point Start{std::chrono::hours(1)};
  configuration_state State = configuration_state::create(seconds(5));
  State.applyIfNewer({2, "c", "o", ""}, std::make_shared<configuration>());
  State.onStoreResponse(3, Start);
  BOOST_TEST(!State.mayServe(Start));
}

BOOST_AUTO_TEST_SUITE_END()
