/// \file
/// Tests of leaving_servers.
#include "agatedale/leaving_servers.h"

#include <boost/test/unit_test.hpp>

using namespace agatedale;

BOOST_AUTO_TEST_SUITE(leaving_servers_test)

namespace {

constexpr time_point Start{std::chrono::hours(1)};

leaving_server server(const std::string &Name, std::uint64_t ServerStart,
                      const std::string &Zone = "a") {
  return {Name, ServerStart, "orders", Zone};
}

} // namespace

BOOST_AUTO_TEST_CASE(RecordedStartLeavesAndOthersDoNot) {
  leaving_servers Leaving;
  BOOST_TEST(!Leaving.isLeaving("s", 5));
  BOOST_TEST(Leaving.record(server("s", 5), Start));
  BOOST_TEST(Leaving.isLeaving("s", 5));
  BOOST_TEST(!Leaving.isLeaving("other", 5));
}

BOOST_AUTO_TEST_CASE(NewerStartDoesNotLeave) {
  leaving_servers Leaving;
  Leaving.record(server("s", 5), Start);
  BOOST_TEST(!Leaving.isLeaving("s", 6));
  BOOST_TEST(Leaving.record(server("s", 6), Start));
  BOOST_TEST(Leaving.isLeaving("s", 6));
}

BOOST_AUTO_TEST_CASE(OlderStartHasLeft) {
  leaving_servers Leaving;
  Leaving.record(server("s", 5), Start);
  BOOST_TEST(Leaving.isLeaving("s", 4));
  BOOST_TEST(!Leaving.record(server("s", 4), Start));
  BOOST_TEST(Leaving.isLeaving("s", 5));
}

BOOST_AUTO_TEST_CASE(SecondAnnouncementIsNotNew) {
  leaving_servers Leaving;
  BOOST_TEST(Leaving.record(server("s", 5), Start));
  BOOST_TEST(!Leaving.record(server("s", 5), Start));
  BOOST_TEST(Leaving.size() == 1U);
}

BOOST_AUTO_TEST_CASE(PeersAreToldOfTheirServiceAndZoneForSomeTime) {
  leaving_servers Leaving;
  Leaving.record(server("s", 5), Start);
  Leaving.record(server("t", 5, "b"), Start);
  const auto Shared = Leaving.toShare("orders", "a", Start);
  BOOST_REQUIRE(Shared.size() == 1U);
  BOOST_TEST(Shared[0].Name == "s");
  BOOST_TEST(Leaving.toShare("reads", "a", Start).empty());
  const time_point Later =
      Start + leaving_servers::ShareTime + std::chrono::seconds(1);
  BOOST_TEST(Leaving.toShare("orders", "a", Later).empty());
  BOOST_TEST(Leaving.isLeaving("s", 5));
}

BOOST_AUTO_TEST_CASE(NumberOfServersIsBounded) {
  leaving_servers Leaving;
  for (std::size_t I = 0; I < leaving_servers::MaxServers + 10; ++I)
    Leaving.record(server("s" + std::to_string(I), 5), Start);
  BOOST_TEST(Leaving.size() == leaving_servers::MaxServers);
  BOOST_TEST(!Leaving.isLeaving("s9", 5));
  BOOST_TEST(Leaving.isLeaving("s10", 5));
  BOOST_TEST(Leaving.toShare("orders", "a", Start).size() ==
             leaving_servers::MaxShared);
}

BOOST_AUTO_TEST_SUITE_END()
