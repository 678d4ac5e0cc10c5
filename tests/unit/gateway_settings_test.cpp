/// \file
/// Tests of gateway_settings.
#include "agatedale/gateway_settings.h"

#include <boost/test/unit_test.hpp>

#include <fstream>

using namespace agatedale;

BOOST_AUTO_TEST_SUITE(gateway_settings_test)

namespace {

constexpr std::string_view CompleteDocument = R"(vm = "vm-1"
ip = "127.0.0.1"
zone = "a"
region = "r"
caller_address = "127.0.0.1:8080"
readiness_address = "127.0.0.1:8081"
store_address = "127.0.0.1:7000"
peer_port = 7100
cpu_share = 0.5
link_mbps = 1000
[zones]
a = "r"
)";

/// Returns CompleteDocument with the line of \p Key replaced by \p Line.
std::string withLine(const std::string &Key, const std::string &Line) {
  std::string Text(CompleteDocument);
  const std::size_t Begin = Text.find(Key + " = ");
  const std::size_t End = Text.find('\n', Begin) + 1;
  return Text.replace(Begin, End - Begin, Line.empty() ? "" : Line + "\n");
}

result<gateway_settings> load(const std::string &Text) {
  const auto File =
      std::filesystem::temp_directory_path() / "gateway_settings_test.toml";
  std::ofstream(File) << Text;
  result<gateway_settings> Settings = gateway_settings::fromFile(File);
  std::filesystem::remove(File);
  return Settings;
}

std::string errorMessage(const std::string &Text) {
  const result<gateway_settings> Settings = load(Text);
  const error *Error = errorOf(Settings);
  return Error ? Error->Message : "";
}

bool mentionsKey(const std::string &Message, const std::string &Key) {
  return Message.find("'" + Key + "'") != std::string::npos;
}

} // namespace

// Guards against decisions that change for a deployment that has not asked for
// them.
BOOST_AUTO_TEST_CASE(DecisionsUnderLoadAreOffUnlessSetOn) {
  const auto Off = load(std::string(CompleteDocument));
  BOOST_REQUIRE(!errorOf(Off));
  BOOST_TEST(!valueOf(Off).LearnsConcurrency);
  BOOST_TEST(!valueOf(Off).ControlsOverload);
  BOOST_TEST(!valueOf(Off).BoundsRetryAfter);
  BOOST_TEST(!valueOf(Off).MeasuresSpeed);
  BOOST_TEST(!valueOf(Off).SpreadsPlacement);
  BOOST_TEST(!valueOf(Off).RegionalOverflow);
  const auto On = load("learned_concurrency = true\noverload_control = true\n"
                       "regional_overflow = true\n"
                       "bounded_retry_after = true\n"
                       "measured_speed = true\nspread_placement = true\n" +
                       std::string(CompleteDocument));
  BOOST_REQUIRE(!errorOf(On));
  BOOST_TEST(valueOf(On).LearnsConcurrency);
  BOOST_TEST(valueOf(On).ControlsOverload);
  BOOST_TEST(valueOf(On).BoundsRetryAfter);
  BOOST_TEST(valueOf(On).MeasuresSpeed);
  BOOST_TEST(valueOf(On).SpreadsPlacement);
  BOOST_TEST(valueOf(On).RegionalOverflow);
}

BOOST_AUTO_TEST_CASE(BoundOfAConfigurationIsReadAndChecked) {
  const std::string Rest(CompleteDocument);
  BOOST_TEST(valueOf(load(Rest)).ConfigurationApply.count() == 2000);
  const auto Read = load("configuration_apply_ms = 3000\n" + Rest);
  BOOST_TEST(valueOf(Read).ConfigurationApply.count() == 3000);
  for (const std::string Line :
       {"configuration_apply_ms = 99\n", "configuration_apply_ms = \"3000\"\n"})
    BOOST_TEST(mentionsKey(errorMessage(Line + Rest), "configuration_apply_ms"),
               Line);
}

BOOST_AUTO_TEST_CASE(BoundOnRevocationsIsOptional) {
  BOOST_TEST(!valueOf(load(std::string(CompleteDocument))).KeyRevocation);
  const auto Strict =
      load("key_revocation_ms = 5000\n" + std::string(CompleteDocument));
  BOOST_REQUIRE(!errorOf(Strict));
  BOOST_TEST(valueOf(Strict).KeyRevocation.value().count() == 5000);
  for (const char *Line :
       {"key_revocation_ms = 999\n", "key_revocation_ms = \"5000\"\n"})
    BOOST_TEST(mentionsKey(errorMessage(Line + std::string(CompleteDocument)),
                           "key_revocation_ms"));
}

BOOST_AUTO_TEST_CASE(HedgingIsOffUnlessAllowed) {
  const auto Off = load(std::string(CompleteDocument));
  BOOST_REQUIRE(!errorOf(Off));
  BOOST_TEST(valueOf(Off).HedgePercent == 0);
  const auto On = load("hedge_percent = 2\n" + std::string(CompleteDocument));
  BOOST_REQUIRE(!errorOf(On));
  BOOST_TEST(valueOf(On).HedgePercent == 2);
}

BOOST_AUTO_TEST_CASE(CompleteFileIsRead) {
  const result<gateway_settings> Settings = load(std::string(CompleteDocument));
  BOOST_REQUIRE(!errorOf(Settings));
  BOOST_TEST(valueOf(Settings).Vm == "vm-1");
  BOOST_TEST(valueOf(Settings).Capacity == 0.5);
}

BOOST_AUTO_TEST_CASE(LimitsForClientsAreRead) {
  constexpr std::size_t Mebibyte = 1 << 20;
  const result<gateway_settings> Settings =
      load(withLine("peer_port", "peer_port = 7100\nmemory_mb = 160\n"
                                 "max_fds = 4100"));
  BOOST_REQUIRE(!errorOf(Settings));
  BOOST_TEST(valueOf(Settings).HeldBytes == 104 * Mebibyte);
  BOOST_TEST(valueOf(Settings).MaxDescriptors == 4100U);
}

BOOST_AUTO_TEST_CASE(SlowLinkLowersTheCapacity) {
  const result<gateway_settings> Settings =
      load(withLine("link_mbps", "link_mbps = 10"));
  BOOST_REQUIRE(!errorOf(Settings));
  BOOST_TEST(valueOf(Settings).Capacity < 0.5);
}

BOOST_AUTO_TEST_CASE(HeartbeatOfTheServersIsRead) {
  const result<gateway_settings> Settings =
      load(withLine("cpu_share", "server_heartbeat_ms = 3000"));
  BOOST_REQUIRE(!errorOf(Settings));
  BOOST_TEST(valueOf(Settings).ServerHeartbeat.count() == 3000);
}

BOOST_AUTO_TEST_CASE(BootstrapAndWritesOfTheStoreAreRead) {
  const result<gateway_settings> Settings =
      load(withLine("cpu_share", "bootstrap = true\nstore_writes_per_s = 50"));
  BOOST_REQUIRE(!errorOf(Settings));
  BOOST_TEST(valueOf(Settings).IsBootstrap);
  BOOST_TEST(valueOf(Settings).StoreWritesPerSecond == 50);
}

BOOST_AUTO_TEST_CASE(StoreWithoutWritesIsNamed) {
  const std::string Message =
      errorMessage(withLine("cpu_share", "store_writes_per_s = 0"));
  BOOST_TEST(mentionsKey(Message, "store_writes_per_s"), Message);
}

BOOST_AUTO_TEST_CASE(MissingKeyIsNamed) {
  const std::string Message = errorMessage(withLine("store_address", ""));
  BOOST_TEST(mentionsKey(Message, "store_address"), Message);
}

BOOST_AUTO_TEST_CASE(UnknownKeyIsNamed) {
  const std::string Message =
      errorMessage(withLine("cpu_share", "cpu_shares = 0.5"));
  BOOST_TEST(mentionsKey(Message, "cpu_shares"), Message);
}

BOOST_AUTO_TEST_CASE(ValueOutOfRangeIsNamed) {
  const std::string Message =
      errorMessage(withLine("peer_port", "peer_port = 70000"));
  BOOST_TEST(mentionsKey(Message, "peer_port"), Message);
}

BOOST_AUTO_TEST_CASE(OwnZoneIsRequired) {
  const std::string Message = errorMessage(withLine("zone", "zone = \"b\""));
  BOOST_TEST(mentionsKey(Message, "zones"), Message);
}

BOOST_AUTO_TEST_CASE(SyntaxErrorNamesTheLine) {
  const std::string Message = errorMessage("vm = \n");
  BOOST_TEST(Message.find("gateway_settings_test.toml:1") != std::string::npos,
             Message);
}

// Peers reach the VM at this address and look up no names.
BOOST_AUTO_TEST_CASE(IpMustBeAnIpv4Address) {
  for (const std::string &Ip : {"vm.example", "localhost", "::1", "10.1"})
    BOOST_TEST(
        mentionsKey(errorMessage(withLine("ip", "ip = \"" + Ip + "\"")), "ip"),
        Ip);
}

// Guards against rollouts without the operators' bounds.
BOOST_AUTO_TEST_CASE(RolloutsAreOffWithoutTheirBounds) {
  const auto Settings = load(std::string(CompleteDocument));
  BOOST_REQUIRE(!errorOf(Settings));
  BOOST_TEST(!valueOf(Settings).Rollouts);
}

BOOST_AUTO_TEST_CASE(BoundsOfRolloutsAreRead) {
  const auto Settings = load("rollout_exposure_share = 0.2\n"
                             "rollout_exposure_slack = 30\n"
                             "rollout_rollback_ms = 4000\n" +
                             std::string(CompleteDocument));
  BOOST_REQUIRE(!errorOf(Settings));
  BOOST_REQUIRE(valueOf(Settings).Rollouts);
  BOOST_TEST(valueOf(Settings).Rollouts->ExposureShare == 0.2);
  BOOST_TEST(valueOf(Settings).Rollouts->ExposureSlack == 30);
  BOOST_TEST(valueOf(Settings).Rollouts->Rollback.count() == 4000);
}

BOOST_AUTO_TEST_SUITE_END()
