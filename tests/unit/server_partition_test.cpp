/// \file
/// Tests of the partition of servers into groups.
#include "agatedale/entry_vm.h"
#include "agatedale/server_partition.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <string>

using namespace agatedale;

namespace {

std::vector<backend_server> serversNamed(int Count) {
  std::vector<backend_server> Servers(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Servers[static_cast<std::size_t>(I)].Name =
        "i-" + std::to_string(1'000'003L * (I + 1));
  return Servers;
}

std::map<std::string, std::size_t>
partOfEach(std::span<const backend_server> Servers, std::size_t MaxServers) {
  std::map<std::string, std::size_t> PartOf;
  const auto Parts = partitionServers(Servers, MaxServers);
  for (std::size_t Part = 0; Part < Parts.size(); ++Part) {
    for (const backend_server &Server : Parts[Part])
      PartOf[Server.Name] = Part;
  }
  return PartOf;
}

/// Returns how many servers are in other groups than in \p Before.
int movedServers(const std::map<std::string, std::size_t> &Before,
                 const std::map<std::string, std::size_t> &After) {
  int Moved = 0;
  for (const auto &[Name, Part] : After) {
    const auto Known = Before.find(Name);
    Moved += Known != Before.end() && Known->second != Part ? 1 : 0;
  }
  return Moved;
}

std::vector<entry_vm> vmsOf(std::span<const std::pair<int, double>> Classes) {
  std::vector<entry_vm> Vms;
  for (const auto &[Count, Capacity] : Classes) {
    for (int I = 0; I < Count; ++I) {
      Vms.emplace_back();
      Vms.back().Capacity = Capacity;
    }
  }
  return Vms;
}

/// Returns a zone of two large VMs and many with a slow link.
std::vector<entry_vm> zoneWithLinks(double SmallMegabits) {
  const std::vector<std::pair<int, double>> Classes{{2, 0.5}, {35, 0.1}};
  std::vector<entry_vm> Vms = vmsOf(Classes);
  for (entry_vm &Vm : Vms)
    Vm.LinkMegabits = Vm.Capacity < 0.5 ? SmallMegabits : 200;
  return Vms;
}

} // namespace

BOOST_AUTO_TEST_SUITE(server_partition_test)

BOOST_AUTO_TEST_CASE(GroupsHaveAllServersOnceAndAtMostTheBound) {
  for (const int Count : {0, 1, 7, 8, 9, 64, 65, 90, 637}) {
    const auto Servers = serversNamed(Count);
    for (const std::size_t Bound : {4U, 8U, 32U}) {
      const auto Parts = partitionServers(Servers, Bound);
      std::size_t Total = 0;
      for (const auto &Part : Parts) {
        BOOST_TEST(Part.size() <= Bound);
        Total += Part.size();
      }
      BOOST_TEST(Total == Servers.size());
      BOOST_TEST(partOfEach(Servers, Bound).size() == Servers.size());
    }
  }
}

BOOST_AUTO_TEST_CASE(OrderOfTheListDoesNotMatter) {
  auto Servers = serversNamed(59);
  const auto Before = partOfEach(Servers, 8);
  std::shuffle(Servers.begin(), Servers.end(),
               std::mt19937(3)); // NOLINT: the seed makes failures repeatable
  BOOST_TEST((partOfEach(Servers, 8) == Before));
}

// A release replaces the servers one after the other.
BOOST_AUTO_TEST_CASE(ReplacementOfAServerMovesFewOthers) {
  auto Servers = serversNamed(60);
  auto Before = partOfEach(Servers, 8);
  int Moved = 0;
  for (std::size_t I = 0; I < Servers.size(); ++I) {
    Servers[I].Name += "-new";
    const auto After = partOfEach(Servers, 8);
    Moved += movedServers(Before, After);
    Before = After;
  }
  BOOST_TEST(Moved <= 60 * 4, Moved << " moves in 60 replacements");
}

BOOST_AUTO_TEST_CASE(ServerThatJoinsMovesFewOthers) {
  for (const int Count : {57, 58, 59, 61, 62}) {
    const auto Before = partOfEach(serversNamed(Count), 8);
    const auto After = partOfEach(serversNamed(Count + 1), 8);
    BOOST_TEST(movedServers(Before, After) <= 6);
  }
}

BOOST_AUTO_TEST_CASE(SizeFollowsTheUsualCapacityOfTheFleet) {
  const std::vector<std::pair<int, double>> Unequal{{8, 0.5}, {138, 0.1}};
  BOOST_TEST(maxGroupServers(vmsOf(Unequal)) == 8U);
  const std::vector<std::pair<int, double>> Equal{{14, 0.2}};
  BOOST_TEST(maxGroupServers(vmsOf(Equal)) == 16U);
  const std::vector<std::pair<int, double>> Large{{10, 4.0}};
  BOOST_TEST(maxGroupServers(vmsOf(Large)) == MaxGroupServers);
}

BOOST_AUTO_TEST_CASE(SlowLinksMakeGroupsSmaller) {
  BOOST_TEST(maxGroupServers(zoneWithLinks(10)) == 4U);
  BOOST_TEST(maxGroupServers(zoneWithLinks(20)) == 8U);
  BOOST_TEST(maxGroupServers(zoneWithLinks(1000)) == 8U);
}

// Eight servers of a zone get 18 uploads a second with 60 KB each. One group
// of all of them takes 8.6 Mbit/s of its owner's link of 10, in which requests,
// heartbeats and configurations get stuck behind the bodies.
BOOST_AUTO_TEST_CASE(UploadsTakeAtMostHalfOfAnOwnersLink) {
  constexpr double LinkMegabits = 10;
  constexpr double UploadMegabits = 18 * 60'000 * 8 / 1e6;
  const auto Servers = serversNamed(8);
  const auto Parts =
      partitionServers(Servers, maxGroupServers(zoneWithLinks(LinkMegabits)));
  for (const auto &Part : Parts) {
    const double Share =
        static_cast<double>(Part.size()) / static_cast<double>(Servers.size());
    BOOST_TEST(Share * UploadMegabits <= LinkMegabits / 2);
  }
}

BOOST_AUTO_TEST_CASE(OneVmOfAnotherSizeDoesNotChangeTheSize) {
  const std::vector<std::pair<int, double>> OneSmall{{20, 0.4}, {1, 0.05}};
  BOOST_TEST(maxGroupServers(vmsOf(OneSmall)) == 32U);
  const std::vector<std::pair<int, double>> OneLarge{{40, 0.1}, {1, 2.0}};
  BOOST_TEST(maxGroupServers(vmsOf(OneLarge)) == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
