/// \file
/// Tests of how many nodes together spread their requests over groups.
#include "agatedale/group_selector.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace agatedale;
using std::chrono::milliseconds;

namespace {

constexpr time_point Start{std::chrono::hours(1)};

std::vector<group_candidate> groupsOfSizes(std::span<const int> Slots) {
  std::vector<group_candidate> Groups;
  for (std::size_t I = 0; I < Slots.size(); ++I)
    Groups.push_back(
        {{"s", "a", static_cast<int>(I)}, duration::zero(), Slots[I]});
  return Groups;
}

/// Replays \p Nodes nodes that send two requests per second each, so rarely
/// that their load reports are always outdated. Returns the requests by group.
std::map<int, int> replaySparseTraffic(std::span<const group_candidate> Groups,
                                       int Nodes, int RequestsPerNode) {
  std::mt19937_64 Random(11); // NOLINT: the seed makes failures repeatable
  std::uniform_real_distribution<double> Draw(0, 1);
  std::map<int, int> Requests;
  for (int Node = 0; Node < Nodes; ++Node) {
    group_selector Selector = group_selector::create({});
    for (int I = 0; I < RequestsPerNode; ++I) {
      const time_point Now = Start + I * milliseconds(500);
      const auto Chosen = Selector.choose(Groups, Now, nullptr, Draw(Random));
      ++Requests[Chosen->Part];
      Selector.onSent(*Chosen);
      Selector.onAnswered(*Chosen);
      Selector.onLoad(*Chosen, {0, 1, 24, milliseconds(160)}, Now);
    }
  }
  return Requests;
}

} // namespace

BOOST_AUTO_TEST_SUITE(group_selector_test)

BOOST_AUTO_TEST_CASE(NodesWithoutReportsSpreadOverAllGroups) {
  const std::vector<int> Slots(8, 24);
  const auto Requests = replaySparseTraffic(groupsOfSizes(Slots), 37, 60);
  BOOST_TEST(Requests.size() == Slots.size());
  const int Mean = 37 * 60 / 8;
  for (const auto &[Part, Count] : Requests)
    BOOST_TEST(std::abs(Count - Mean) < Mean / 4,
               "group " << Part << " got " << Count << " of about " << Mean);
}

BOOST_AUTO_TEST_CASE(SharesFollowTheSlotsOfTheGroups) {
  const std::vector<int> Slots{6, 18};
  auto Requests = replaySparseTraffic(groupsOfSizes(Slots), 40, 50);
  const double Share = Requests[1] / 2000.0;
  BOOST_TEST(Share > 0.70);
  BOOST_TEST(Share < 0.80);
}

BOOST_AUTO_TEST_CASE(CheaperGroupIsChosenWhateverTheDraw) {
  group_selector Selector = group_selector::create({});
  std::vector<group_candidate> Groups =
      groupsOfSizes(std::vector<int>{4, 1'000});
  Groups[1].NetworkLatency = milliseconds(15);
  for (const double Draw : {0.0, 0.5, 0.999})
    BOOST_TEST(Selector.choose(Groups, Start, nullptr, Draw)->Part == 0);
}

BOOST_AUTO_TEST_CASE(NoGroupIsChosenOfNone) {
  const group_selector Selector = group_selector::create({});
  const std::vector<group_candidate> None;
  BOOST_TEST(!Selector.choose(None, Start, nullptr, 0.5).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
