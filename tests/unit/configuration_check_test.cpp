/// \file
/// Tests of the findings about a configuration and of differences.
#include "agatedale/configuration_check.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <random>

using namespace agatedale;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(configuration_check_test)

namespace {

/// Two regions with a server of "orders" each. Lines 1 to 15.
const std::string World = R"([regions.r]
[regions.s]
[zones.a]
region = "r"
[zones.b]
region = "s"
[services.orders]
[servers.one]
service = "orders"
zone = "a"
address = "127.0.0.1:9000"
[servers.two]
service = "orders"
zone = "b"
address = "127.0.0.2:9000"
)";

const std::string Route =
    "[routes.x]\npath_prefix = \"/x\"\nservice = \"orders\"\n";

struct bad_document {
  std::string Name;
  std::string Text; ///< Follows World.
  std::string Kind;
  std::string Place;
  std::string Words;
};

std::string textOf(const std::vector<finding> &Findings) {
  std::string Text;
  for (const finding &Finding : Findings)
    Text += Finding.Place + "|" + std::string(toText(Finding.Kind)) + "|" +
            Finding.Text + "\n";
  return Text.empty() ? "no finding" : Text;
}

std::vector<finding> findingsOf(const result<configuration> &Read) {
  if (const error *Error = errorOf(Read))
    return {findingOf(*Error)};
  return checkConfiguration(valueOf(Read));
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

void checkOne(const std::string &Name, const std::vector<finding> &Findings,
              const std::string &Kind, const std::string &Place,
              const std::string &Words) {
  const std::string Text = textOf(Findings);
  BOOST_TEST_REQUIRE(Findings.size() == 1U, Name << ": " << Text);
  BOOST_TEST(toText(Findings[0].Kind) == Kind, Name << ": " << Text);
  BOOST_TEST(Findings[0].Place == Place, Name << ": " << Text);
  BOOST_TEST(contains(Findings[0].Text, Words), Name << ": " << Text);
}

/// Objects without a fault: one service, server, route and account.
configuration_parts goodParts() {
  configuration_parts Parts;
  Parts.Zones = {{"a", "r"}};
  service Orders;
  Orders.Name = "orders";
  Parts.Services = {Orders};
  backend_server Server;
  Server.Name = "one";
  Server.Service = "orders";
  Server.Zone = "a";
  Server.Address = "127.0.0.1:9000";
  Parts.Servers = {Server};
  route One;
  One.Name = "x";
  One.PathPrefix = "/x";
  One.Service = "orders";
  One.Split = {{"orders", 1}};
  Parts.Routes = {One};
  client_account Web;
  Web.Name = "web";
  Web.Keys = {"first-secret", "second-secret"};
  Parts.Accounts = std::vector{Web};
  return Parts;
}

} // namespace

// Guards against false alarms, which would block every publishing.
BOOST_AUTO_TEST_CASE(SamplesHaveNoFinding) {
  for (const char *Name : {"maraval", "kesarvani"}) {
    const auto Findings = findingsOf(
        configuration::fromFolder(std::filesystem::path(SAMPLES_DIR) / Name));
    BOOST_TEST(Findings.empty(), Name << ": " << textOf(Findings));
  }
  BOOST_TEST(findingsOf(configuration::fromParts(goodParts())).empty());
}

// Guards against a fault that is missed, or reported at another place.
BOOST_AUTO_TEST_CASE(BadDocumentsHaveOneFindingEach) {
  const std::vector<bad_document> Table{
      {"unknown key", Route + "timeout_sm = 5\n", "invalid", "t.toml:19",
       "did you mean 'timeout_ms'"},
      {"syntax", "[routes.x\n", "invalid", "t.toml:16:10", ""},
      {"unknown service",
       "[routes.x]\npath_prefix = \"/x\"\nservice = \"none\"\n", "invalid",
       "t.toml:18", "unknown service 'none'"},
      {"account weight 0", "[accounts.web]\nweight = 0\n", "invalid",
       "t.toml:17", "from 1"},
      {"same prefix and methods",
       Route + "[routes.y]\npath_prefix = \"/x\"\nservice = \"orders\"\n",
       "hidden-route", "t.toml:19", "methods: x"},
      {"methods covered by a route for all methods",
       Route + "[routes.y]\npath_prefix = \"/x\"\nmethods = [\"GET\"]\n"
               "service = \"orders\"\n",
       "hidden-route", "t.toml:19", "methods: x"},
      {"methods covered by two routes",
       Route + "methods = [\"GET\"]\n[routes.y]\npath_prefix = \"/x\"\n"
               "methods = [\"POST\"]\nservice = \"orders\"\n[routes.z]\n"
               "path_prefix = \"/x\"\nmethods = [\"GET\", \"POST\"]\n"
               "service = \"orders\"\n",
       "hidden-route", "t.toml:24", "methods: x, y"},
      {"homes of no account",
       Route + "homes = [\"r\"]\n[accounts.web]\nhomes = [\"s\"]\n",
       "no-common-region", "t.toml:16", "home regions r"},
      {"service without servers",
       "[services.scans]\n[routes.x]\npath_prefix = \"/x\"\n"
       "service = \"scans\"\n",
       "no-servers", "t.toml:17", "scans has no server"},
      {"home region without servers",
       "[services.scans]\n[servers.three]\nservice = \"scans\"\nzone = \"a\"\n"
       "address = \"127.0.0.3:9000\"\n[routes.x]\npath_prefix = \"/x\"\n"
       "service = \"scans\"\nhomes = [\"r\", \"s\"]\n",
       "no-servers", "t.toml:21", "region s has no server of service scans"},
      {"region of an account without servers",
       "[services.scans]\n[servers.three]\nservice = \"scans\"\nzone = \"a\"\n"
       "address = \"127.0.0.3:9000\"\n[routes.x]\npath_prefix = \"/x\"\n"
       "service = \"scans\"\n[accounts.web]\nhomes = [\"s\"]\n",
       "no-servers", "t.toml:21", "region s has no server of service scans"},
      {"empty table of accounts", Route + "[accounts]\n", "no-accounts",
       "t.toml:19", "no route is public, so no request is served"},
      {"only zone of a home region drained",
       "[accounts.web]\nhomes = [\"s\"]\n[zone_states.b]\nout = true\n",
       "drained-region", "t.toml:5", "region s has drained zones only: b"},
      {"attempts without budget", Route + "[budgets]\nretry_percent = 0\n",
       "no-retry-budget", "t.toml:19", "attempt: x"},
      {"no body for methods with bodies",
       Route + "methods = [\"POST\"]\nmax_body_bytes = 0\n", "body-limit",
       "t.toml:16", "POST"},
  };
  for (const bad_document &Bad : Table)
    checkOne(
        Bad.Name,
        findingsOf(configuration::fromDocument(World + Bad.Text, "t.toml")),
        Bad.Kind, Bad.Place, Bad.Words);
}

// Guards against alarms for routes that share only a part of what they match.
BOOST_AUTO_TEST_CASE(RoutesThatAreReachedAreNotHidden) {
  const auto Findings = findingsOf(configuration::fromDocument(
      World + Route +
          "methods = [\"GET\"]\n[routes.y]\npath_prefix = \"/x\"\n"
          "service = \"orders\"\n[routes.z]\npath_prefix = \"/x/z\"\n"
          "service = \"orders\"\n",
      "t.toml"));
  BOOST_TEST(Findings.empty(), textOf(Findings));
}

// Guards against faults that only decoded objects can have.
BOOST_AUTO_TEST_CASE(BadPartsHaveOneFindingEach) {
  struct bad_parts {
    std::string Name;
    void (*Break)(configuration_parts &);
    std::string Kind;
    std::string Words;
  };
  using parts = configuration_parts;
  const std::vector<bad_parts> Table{
      {"hidden on the same host",
       [](parts &P) {
         P.Routes.push_back(P.Routes[0]);
         P.Routes[1].Name = "y";
       },
       "hidden-route", "routes.y: "},
      {"part of weight 0",
       [](parts &P) {
         P.Services.push_back(P.Services[0]);
         P.Services[1].Name = "scans";
         P.Routes[0].Split.push_back({"scans", 0});
       },
       "zero-weight", "scans has weight 0"},
      {"account of weight 0", [](parts &P) { P.Accounts->front().Weight = 0; },
       "zero-weight", "accounts.web: "},
      {"account without key",
       [](parts &P) { P.Accounts->emplace_back().Name = "mobile"; }, "no-key",
       "accounts.mobile: "},
      {"no account", [](parts &P) { P.Accounts->clear(); }, "no-accounts",
       "no route is public, so no request is served"},
      {"no account beside a public route",
       [](parts &P) {
         P.Accounts->clear();
         P.Routes[0].IsPublic = true;
       },
       "no-accounts", "only requests of these public routes are served: x"},
      {"time-out under the aim",
       [](parts &P) { P.Routes[0].Aim = milliseconds(2001); },
       "timeout-under-aim", "time-out 2000 ms is under the aim 2001 ms"},
      {"rate", [](parts &P) { P.Accounts->front().RatePerSecond = 2001; },
       "quota-above-capacity", "rate 2001/s is above the 2000/s"},
      {"burst", [](parts &P) { P.Accounts->front().Burst = 67; },
       "quota-above-capacity", "burst 67 is above the 66 requests"},
      {"cold without rate",
       [](parts &P) { P.Services[0].ColdDuration = milliseconds(500); },
       "cold-without-rate", "cold for 500 ms"},
      {"body limit above the callers'",
       [](parts &P) { P.Callers.BodyBytes = 1000; }, "body-limit",
       "above the 1000 bytes"},
      {"key held twice",
       [](parts &P) {
         client_account &Mobile = P.Accounts->emplace_back();
         Mobile.Name = "mobile";
         Mobile.Keys = {"second-secret"};
       },
       "invalid", "accounts 'mobile' (key 1) and 'web' (key 2) hold the same"},
  };
  for (const bad_parts &Bad : Table) {
    configuration_parts Parts = goodParts();
    Bad.Break(Parts);
    const auto Findings = findingsOf(configuration::fromParts(Parts));
    checkOne(Bad.Name, Findings, Bad.Kind, "", Bad.Words);
    BOOST_TEST(!contains(textOf(Findings), "-secret"), Bad.Name);
  }
}

// Guards against equal prefixes on two hosts being taken for the same route.
BOOST_AUTO_TEST_CASE(RouteOfAnotherHostIsNotHidden) {
  configuration_parts Parts = goodParts();
  Parts.Routes.push_back(Parts.Routes[0]);
  Parts.Routes[1].Name = "y";
  Parts.Routes[1].Host = "other";
  const auto Findings = findingsOf(configuration::fromParts(Parts));
  BOOST_TEST(Findings.empty(), textOf(Findings));
}

// Guards against a route that is taken for reachable because its host is
// written in capitals: hosts are compared without regard to case.
BOOST_AUTO_TEST_CASE(RouteOfTheSameHostInCapitalsIsHidden) {
  configuration_parts Parts = goodParts();
  Parts.Routes[0].Host = "shop.example";
  Parts.Routes.push_back(Parts.Routes[0]);
  Parts.Routes[1].Name = "y";
  Parts.Routes[1].Host = "Shop.Example";
  const auto Findings = findingsOf(configuration::fromParts(Parts));
  checkOne("capitals", Findings, "hidden-route", "", "routes.y: ");
}

// Guards against 404 for a client that writes its host in capitals.
BOOST_AUTO_TEST_CASE(RouteIsFoundWithoutRegardToTheCaseOfTheHost) {
  configuration_parts Parts = goodParts();
  Parts.Routes[0].Host = "Shop.example";
  const std::string Path = Parts.Routes[0].PathPrefix;
  const auto Read = configuration::fromParts(Parts);
  for (const char *Host : {"Shop.example", "shop.example", "SHOP.EXAMPLE"})
    BOOST_TEST(valueOf(Read).findRouteForHost(Host, Path), Host);
  BOOST_TEST(!valueOf(Read).findRouteForHost("shop.examples", Path));
}

// Guards against a place that names the merged document instead of the file.
BOOST_AUTO_TEST_CASE(FolderFindingNamesTheFileAlsoAfterADrain) {
  const auto Folder =
      std::filesystem::temp_directory_path() /
      ("agatedale-check-" + std::to_string(std::random_device{}()));
  std::filesystem::create_directories(Folder);
  std::ofstream(Folder / "10.toml") << World;
  std::ofstream(Folder / "20.toml") << "# routes\n"
                                    << Route << "methods = [\"PUT\"]\n"
                                    << "max_body_bytes = 0\n";
  const auto Read = configuration::fromFolder(Folder);
  std::filesystem::remove_all(Folder);
  BOOST_TEST_REQUIRE(!errorOf(Read));
  const std::string Place = (Folder / "20.toml").string() + ":2";
  checkOne("read", findingsOf(Read), "body-limit", Place, "PUT");
  checkOne("drained", findingsOf(valueOf(Read).withZoneDrained("a", true)),
           "body-limit", Place, "PUT");
}

// Guards against an alarm for operators who use no accounts.
BOOST_AUTO_TEST_CASE(AbsentTableOfAccountsHasNoFinding) {
  configuration_parts Parts = goodParts();
  Parts.Accounts.reset();
  const auto Findings = findingsOf(configuration::fromParts(Parts));
  BOOST_TEST(Findings.empty(), textOf(Findings));
}

// Guards against a change that opens all routes and is not shown.
BOOST_AUTO_TEST_CASE(DifferenceTellsAnEmptyTableOfAccountsFromNone) {
  configuration_parts Parts = goodParts();
  Parts.Accounts->clear();
  const auto Empty = configuration::fromParts(Parts);
  Parts.Accounts.reset();
  const auto Absent = configuration::fromParts(Parts);
  const auto Changes = configurationDifference(valueOf(Empty), valueOf(Absent));
  BOOST_TEST_REQUIRE(Changes.size() == 1U);
  BOOST_TEST(Changes[0].Entry == "accounts");
  BOOST_TEST((Changes[0].Kind == entry_change_kind::Removed));
}

// Guards against changes that are missed, and keys that are shown.
BOOST_AUTO_TEST_CASE(DifferenceNamesEntriesWithOldAndNewValues) {
  configuration_parts Parts = goodParts();
  const auto Before = configuration::fromParts(Parts);
  Parts.Routes[0].Timeout = milliseconds(500);
  Parts.Accounts->front().Keys = {"first-secret", "third-secret"};
  Parts.Servers[0].Name = "two";
  const auto After = configuration::fromParts(Parts);
  BOOST_TEST_REQUIRE(!errorOf(Before));
  BOOST_TEST_REQUIRE(!errorOf(After));
  std::string Text;
  for (const entry_change &Change :
       configurationDifference(valueOf(Before), valueOf(After))) {
    Text += std::string(toText(Change.Kind)) + " " + Change.Entry;
    if (Change.Kind == entry_change_kind::Changed) {
      for (const field_change &Field : Change.Fields)
        Text += " " + Field.Name + " " + Field.Before + "->" + Field.After;
    }
    Text += "\n";
  }
  BOOST_TEST(Text == "changed accounts.web keys 2->2 (other keys)\n"
                     "changed routes.x timeout_ms 2000->500\n"
                     "removed servers.one\n"
                     "added servers.two\n");
  BOOST_TEST(configurationDifference(valueOf(Before), valueOf(Before)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
