/// \file
/// Tests of weighted_round_robin.
#include "agatedale/weighted_round_robin.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace agatedale;

BOOST_AUTO_TEST_SUITE(weighted_round_robin_test)

namespace {

using split = std::vector<weighted_service>;

/// A split as one VM keeps it.
class vm_split {
public:
  explicit vm_split(unsigned Seed = 1) : Random(Seed) {}

  std::string next(const split &Split) {
    return RoundRobin.next(Split, Random);
  }

  /// Returns the number of requests, out of \p Count, for each service.
  std::map<std::string, int> countPerService(const split &Split, int Count) {
    std::map<std::string, int> Shares;
    for (int I = 0; I < Count; ++I)
      ++Shares[next(Split)];
    return Shares;
  }

private:
  std::mt19937_64 Random;
  weighted_round_robin RoundRobin;
};

/// Splits of a route on several VMs, each with random numbers of its own.
std::vector<vm_split> makeVms(unsigned Count) {
  std::vector<vm_split> Vms;
  for (unsigned Seed = 1; Seed <= Count; ++Seed)
    Vms.emplace_back(Seed);
  return Vms;
}

double shareOf(const std::string &Service, const split &Split) {
  double Total = 0;
  double Weight = 0;
  for (const weighted_service &Part : Split) {
    Total += Part.Weight;
    Weight += Part.Service == Service ? Part.Weight : 0;
  }
  return Weight / Total;
}

/// Checks that each service of \p Split gets its share of \p Count requests to
/// within \p Slack requests.
void checkShares(vm_split &Vm, const split &Split, int Count, double Slack) {
  std::map<std::string, int> Shares = Vm.countPerService(Split, Count);
  for (const weighted_service &Part : Split) {
    const double Expected = Count * shareOf(Part.Service, Split);
    BOOST_TEST(std::abs(Shares[Part.Service] - Expected) <= Slack,
               Part.Service << " got " << Shares[Part.Service] << " of "
                            << Count << ", expected " << Expected);
  }
}

/// Rounding of a share to whole requests, at both ends of a run of requests.
constexpr double Rounding = 1;

} // namespace

BOOST_AUTO_TEST_CASE(EveryRunOfRequestsIsDividedByWeight) {
  const split Split{{"desk", 90}, {"intake", 10}};
  vm_split Vm;
  Vm.countPerService(Split, 7);
  for (int Row = 0; Row < 20; ++Row)
    checkShares(Vm, Split, 50, Rounding);
}

BOOST_AUTO_TEST_CASE(ServiceWithoutWeightGetsNothing) {
  vm_split Vm;
  BOOST_TEST(Vm.countPerService({{"desk", 1}, {"intake", 0}}, 100)["intake"] ==
             0);
  BOOST_TEST(Vm.countPerService({{"intake", 0}, {"desk", 1}}, 100)["intake"] ==
             0);
  BOOST_TEST(Vm.countPerService({{"desk", 1}, {"intake", 0}, {"scan", 2}},
                                100)["intake"] == 0);
}

// Guards against requests for a service that the operators have just emptied,
// and against shares in the units of former weights.
BOOST_AUTO_TEST_CASE(ChangedWeightsApplyImmediately) {
  using weights = std::array<double, 2>;
  const std::vector<std::pair<weights, weights>> Changes{
      {{90, 10}, {50, 50}}, {{95, 5}, {0, 1}},  {{95, 5}, {1, 1}},
      {{950, 50}, {1, 1}},  {{5, 95}, {1, 0}},  {{1, 1}, {95, 5}},
      {{1e6, 1}, {1, 1}},   {{1, 1e6}, {1, 0}}, {{1, 0}, {0, 1}}};
  for (const auto &[Before, After] : Changes) {
    for (int Earlier = 0; Earlier < 100; ++Earlier) {
      vm_split Vm;
      Vm.countPerService({{"desk", Before[0]}, {"intake", Before[1]}}, Earlier);
      checkShares(Vm, {{"desk", After[0]}, {"intake", After[1]}}, 80, Rounding);
    }
  }
}

// Guards against the share of a removed service that goes to one of the others.
BOOST_AUTO_TEST_CASE(RemovedServiceLeavesTheOthersTheirShares) {
  const split Before{{"desk", 1}, {"intake", 98}, {"scan", 1}};
  const split After{{"desk", 3}, {"scan", 1}};
  for (int Earlier = 0; Earlier < 100; ++Earlier) {
    vm_split Vm;
    Vm.countPerService(Before, Earlier);
    checkShares(Vm, After, 80, Rounding);
    checkShares(Vm, Before, 80, 2 * Rounding);
  }
}

BOOST_AUTO_TEST_CASE(ServiceThatIsNamedTwiceGetsBothWeights) {
  vm_split Vm;
  checkShares(Vm, {{"desk", 1}, {"intake", 2}, {"desk", 1}}, 400, 3 * Rounding);
}

BOOST_AUTO_TEST_CASE(SmallestWeightAmongLargeOnesIsServed) {
  vm_split Vm;
  checkShares(Vm, {{"desk", 1e6}, {"intake", 1}}, 2'000'000, Rounding);
  checkShares(Vm, {{"desk", 1}, {"intake", 1e6}, {"scan", 1e6}}, 2'000'000,
              2 * Rounding);
}

BOOST_AUTO_TEST_CASE(FirstServiceIsChosenIfNoneHasAWeight) {
  vm_split Vm;
  BOOST_TEST(Vm.countPerService({{"desk", 0}, {"intake", 0}}, 10)["desk"] ==
             10);
}

// Guards against a split that begins anew, so that the first service gets too
// much, each time that the weights change a little.
BOOST_AUTO_TEST_CASE(SeriesOfChangesKeepsTheShares) {
  constexpr int Requests = 320;
  vm_split Vm;
  double Expected = 0;
  int Actual = 0;
  for (int I = 0; I < Requests; ++I) {
    const split Split{{"desk", 60.0 - I % 20}, {"intake", 40.0 + I % 20}};
    Expected += shareOf("desk", Split);
    Actual += Vm.next(Split) == "desk" ? 1 : 0;
  }
  BOOST_TEST(std::abs(Actual - Expected) <= Rounding);
}

// Guards against VMs that all begin with the same service, on a route with few
// requests. The shares may be 0.2 off the weights from 200 requests on.
BOOST_AUTO_TEST_CASE(ManyVmsWithFewRequestsEachShareByTheWeights) {
  constexpr unsigned Vms = 99;
  const split Before{{"desk", 95}, {"intake", 5}};
  for (const split &Split : {split{{"desk", 70}, {"intake", 30}},
                             split{{"desk", 10}, {"intake", 90}},
                             split{{"desk", 1}, {"intake", 1}, {"scan", 1}}}) {
    for (const int Earlier : {0, 1, 12}) {
      std::map<std::string, int> Shares;
      int Count = 0;
      for (vm_split &Vm : makeVms(Vms)) {
        Vm.countPerService(Before, Earlier);
        for (int I = 0; I < 3; ++I, ++Count)
          ++Shares[Vm.next(Split)];
      }
      for (const weighted_service &Part : Split) {
        const double Share = static_cast<double>(Shares[Part.Service]) / Count;
        BOOST_TEST(std::abs(Share - shareOf(Part.Service, Split)) <= 0.2,
                   Part.Service << " got a share of " << Share);
      }
    }
  }
}

// As above, if each VM gets one request between two versions.
BOOST_AUTO_TEST_CASE(FirstRequestsOfManyVmsShareByTheWeights) {
  const split Split{{"desk", 70}, {"intake", 30}};
  int First = 0;
  constexpr unsigned Vms = 300;
  for (vm_split &Vm : makeVms(Vms))
    First += Vm.next(Split) == "desk" ? 1 : 0;
  BOOST_TEST(std::abs(static_cast<double>(First) / Vms - 0.7) <= 0.2);
}

BOOST_AUTO_TEST_SUITE_END()
