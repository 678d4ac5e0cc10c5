/// \file
/// Tests of the parts of a configuration whose requests are refused.
#include "agatedale/configuration_faults.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace agatedale;

BOOST_AUTO_TEST_SUITE(configuration_faults_test)

namespace {

/// A deployment in two regions with one service, route and account.
configuration_parts soundParts() {
  configuration_parts Parts;
  Parts.Zones = {{"a", "north"}, {"b", "south"}};
  service Desk;
  Desk.Name = "desk";
  Parts.Services = {Desk};
  route Reads;
  Reads.Name = "reads";
  Reads.Host = "shop.example";
  Reads.PathPrefix = "/reads/";
  Reads.Split = {{"desk", 1}};
  Parts.Routes = {Reads};
  client_account Acme;
  Acme.Name = "acme";
  Acme.Keys = {"k1"};
  Parts.Accounts = std::vector{Acme};
  return Parts;
}

configuration build(const configuration_parts &Parts) {
  return moveValue(configuration::fromParts(Parts));
}

std::string textOf(const configuration_parts &Parts) {
  std::string Text;
  for (const std::string &Fault : findFaults(build(Parts)))
    Text += Fault + ";";
  return Text;
}

} // namespace

BOOST_AUTO_TEST_CASE(SoundConfigurationHasNoFault) {
  BOOST_TEST(textOf(soundParts()).empty());
}

BOOST_AUTO_TEST_CASE(EachFaultNamesItsPart) {
  configuration_parts Parts = soundParts();
  Parts.Services.front().Fault = "odd";
  BOOST_TEST(textOf(Parts) == "service 'desk': odd;");
  Parts = soundParts();
  Parts.Routes.front().Fault = "odd";
  BOOST_TEST(textOf(Parts) == "route 'reads': odd;");
  Parts = soundParts();
  Parts.Routes.front().Split = {{"desk", 1}, {"gone", 1}};
  BOOST_TEST(textOf(Parts) == "route 'reads': service 'gone' does not exist;");
  Parts = soundParts();
  Parts.Routes.front().Homes = {"north", "moon"};
  BOOST_TEST(textOf(Parts) == "route 'reads': no zone is in region 'moon';");
  Parts = soundParts();
  Parts.Accounts->front().Homes = {"moon"};
  BOOST_TEST(textOf(Parts) == "account 'acme': no zone is in region 'moon';");
  Parts = soundParts();
  Parts.Accounts->front().Burst = -1;
  BOOST_TEST(textOf(Parts) ==
             "account 'acme': a limit is negative or no number;");
  Parts = soundParts();
  Parts.AccountsFault = "odd";
  BOOST_TEST(textOf(Parts) == "odd;");
  Parts = soundParts();
  Parts.CallersFault = "odd";
  BOOST_TEST(textOf(Parts) == "limits of callers: odd;");
}

// Guards against requests that wait though the configuration lets no server
// serve them.
BOOST_AUTO_TEST_CASE(RequestIsPlacedInAKnownRegionOfASoundService) {
  configuration_parts Parts = soundParts();
  service Odd;
  Odd.Name = "odd";
  Odd.Fault = "unreadable";
  Parts.Services.push_back(Odd);
  const configuration Config = build(Parts);
  const auto Reason = [&](const std::string &Service,
                          const std::vector<std::string> &Homes) {
    return reasonNotToPlace(Config, Service, Homes);
  };
  BOOST_TEST((Reason("desk", {}) == refusal_reason::None));
  BOOST_TEST((Reason("desk", {"moon", "south"}) == refusal_reason::None));
  BOOST_TEST((Reason("desk", {"moon"}) == refusal_reason::RegionUnknown));
  BOOST_TEST((Reason("gone", {}) == refusal_reason::RouteUnusable));
  BOOST_TEST((Reason("odd", {"north"}) == refusal_reason::RouteUnusable));
}

// Guards against a 404 for a route whose place cannot be read, and against such
// a route that takes the requests of others.
BOOST_AUTO_TEST_CASE(RouteWithoutAPlaceMatchesWhatNoOtherRouteMatches) {
  configuration_parts Parts = soundParts();
  BOOST_TEST(!build(Parts).findRouteForHost("shop.example", "/new/x"));
  route Odd;
  Odd.Name = "odd";
  Odd.Fault = "unreadable";
  Parts.Routes.insert(Parts.Routes.begin(), Odd);
  const configuration Config = build(Parts);
  const auto NameOf = [&](const char *Host, const char *Path) {
    const route *Found = Config.findRouteForHost(Host, Path);
    return Found ? Found->Name : "";
  };
  BOOST_TEST(NameOf("shop.example", "/reads/x") == "reads");
  BOOST_TEST(NameOf("shop.example", "/new/x") == "odd");
  BOOST_TEST(NameOf("other.example", "/reads/x") == "odd");
  BOOST_TEST(NameOf("", "/reads/x") == "odd");
}

BOOST_AUTO_TEST_SUITE_END()
