/// \file
/// Comparison of two versions by likelihood ratios.
#include "agatedale/rollout_judge.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace agatedale {

namespace {

constexpr duration SliceLength = std::chrono::milliseconds(250);

/// Longest window; older slices are only counted in the whole.
constexpr duration LongestWindow = std::chrono::seconds(6);
constexpr std::array<duration, 3> Windows{
    std::chrono::milliseconds(1500), std::chrono::seconds(3), LongestWindow};

constexpr duration RateWindow = std::chrono::seconds(3);

/// Buckets above the median's from which a response is slow: twice to 2.8 times
/// the median. A version that is three times slower is wholly above it.
constexpr std::size_t SlowBuckets = 3;

/// Responses of the old version that a median needs.
constexpr std::uint32_t MinMedianCount = 10;

/// Assumed experience with the old version before the first response: on
/// ordinary days 1 to 3 responses in 100 fail, and as many are slow.
constexpr double PriorCount = 40;
constexpr double PriorFailedRate = 0.03;
constexpr double PriorFailedOrSlowRate = 0.06;

/// Smallest difference of the rates of bad responses that matters. Servers'
/// faults that have nothing to do with the version make smaller ones.
constexpr double MinDifference = 0.1;

/// Score from which a version is bad. About 1,000 comparisons that depend on
/// each other are made in a rollout; at 12 one of them exceeds the score by
/// chance in about 1 in 1,000 rollouts.
constexpr double BadScore = 12;

/// Score from which a version that gets all requests is rolled back. Lower than
/// BadScore, because it is compared for the last seconds only.
constexpr double LeaningScore = 9;
constexpr double MinLeaningBad = 2;

/// Scores over the whole time from which a version is not completed, which is
/// decided once: on all routes together while there is little evidence, and
/// otherwise. With little evidence ordinary noise reaches the lower score in 4
/// of 1,000 rollouts, but only with small differences of the rates.
constexpr double LittleLikelyScore = 4.5;
constexpr double LikelyScore = 7.5;
constexpr double LittleCount = 100;
constexpr double LittleMinDifference = 0.13;

/// As above for a service that is nearly idle, of which only a large difference
/// counts.
constexpr double IdleLikelyScore = 3.3;
constexpr double IdleMinDifference = 0.25;

/// Score over the whole time from which a version needs more evidence.
constexpr double DoubtScore = 2;

/// Cost in the score of the assumption that one server is faulty whatever its
/// version, as if 1 in 30 rollouts met such a fault.
constexpr double FaultyServerCost = 3.4;

/// Responses of the new version that a good verdict needs, and those of each
/// route that has a considerable share of the requests.
constexpr double MinGoodCount = 40;
constexpr double MinGoodRouteCount = 12;
constexpr double ConsiderableShare = 0.1;

struct counts {
  double Count = 0;
  double Bad = 0;

  double rate() const { return Count > 0 ? Bad / Count : 0; }
};

counts operator+(const counts &A, const counts &B) {
  return {A.Count + B.Count, A.Bad + B.Bad};
}

counts operator-(const counts &A, const counts &B) {
  return {A.Count - B.Count, A.Bad - B.Bad};
}

/// Returns the logarithm of the likelihood of \p Observed at its own rate.
double ownLikelihood(const counts &Observed) {
  const auto Term = [](double N, double Of) {
    return N > 0 ? N * std::log(N / Of) : 0.0;
  };
  return Term(Observed.Bad, Observed.Count) +
         Term(Observed.Count - Observed.Bad, Observed.Count);
}

template <typename Samples> counts sumOf(const Samples &Servers) {
  counts All;
  for (const auto &[Server, Sample] : Servers)
    All = All + counts{Sample.Count, Sample.Bad};
  return All;
}

/// Returns the logarithm of the likelihood of a new version with a rate of its
/// own over that of one with the old version's, of which one server may be
/// faulty if \p MayHaveFaulty.
template <typename Samples>
double scoreOf(const counts &Old, const Samples &NewServers,
               bool MayHaveFaulty) {
  const counts New = sumOf(NewServers);
  if (New.Count <= 0 || New.rate() <= Old.rate())
    return 0;
  double Good = ownLikelihood(Old + New);
  for (const auto &[Server, Sample] : NewServers) {
    if (!MayHaveFaulty)
      break;
    const counts Faulty{Sample.Count, Sample.Bad};
    Good = std::max(Good, ownLikelihood(Faulty) +
                              ownLikelihood(Old + New - Faulty) -
                              FaultyServerCost);
  }
  return ownLikelihood(Old) + ownLikelihood(New) - Good;
}

/// Sums up \p Servers without the one that is faulty, if one is.
template <typename Samples> counts withoutFaulty(const Samples &Servers) {
  const counts All = sumOf(Servers);
  counts Best = All;
  double Likelihood = ownLikelihood(All);
  for (const auto &[Server, Sample] : Servers) {
    const counts Faulty{Sample.Count, Sample.Bad};
    const counts Rest = All - Faulty;
    const double Without =
        ownLikelihood(Faulty) + ownLikelihood(Rest) - FaultyServerCost;
    if (Rest.Count <= 0 || Faulty.rate() <= Rest.rate() ||
        Without <= Likelihood)
      continue;
    Best = Rest;
    Likelihood = Without;
  }
  return Best;
}

} // namespace

void rollout_judge::record(std::string_view Reporter,
                           const rollout_evidence &Evidence, time_point Now) {
  auto Known = Reported.find(Reporter);
  if (Known == Reported.end())
    Known = Reported.emplace(std::string(Reporter), rollout_evidence()).first;
  if (Slices.empty() || Now - Slices.back().Begin >= SliceLength)
    Slices.push_back({Now, {}});
  while (Now - Slices.front().Begin > LongestWindow + SliceLength)
    Slices.pop_front();
  for (const auto &[Key, Tally] : Evidence) {
    response_tally &Before = Known->second[Key];
    const response_tally Added = Tally.since(Before);
    const std::uint32_t Count = Added.count();
    if (Count == 0)
      continue;
    Before = Tally;
    Whole[Key].add(Added);
    Slices.back().Evidence[Key].add(Added);
    Total += Count;
    OfNew += Key.IsNew ? Count : 0;
  }
}

double rollout_judge::rate(time_point Now) const {
  double Count = 0;
  time_point Since = Now;
  for (const slice &Slice : Slices) {
    if (Now - Slice.Begin > RateWindow)
      continue;
    Since = std::min(Since, Slice.Begin);
    for (const auto &[Key, Tally] : Slice.Evidence)
      Count += Tally.count();
  }
  const double Seconds =
      std::chrono::duration<double>(std::max(Now - Since, SliceLength)).count();
  return Count / Seconds;
}

/// Returns the first bucket of slow responses by route.
std::map<std::string, std::size_t> rollout_judge::slowBuckets() const {
  std::map<std::string, response_tally> ByRoute;
  for (const auto &[Key, Tally] : Whole) {
    if (!Key.IsNew)
      ByRoute[Key.Route].add(Tally);
  }
  std::map<std::string, std::size_t> Slow;
  for (const auto &[Route, Tally] : ByRoute) {
    const std::uint32_t Timed =
        std::accumulate(Tally.Times.begin(), Tally.Times.end(), 0U);
    if (Timed < MinMedianCount)
      continue;
    std::uint32_t Below = 0;
    std::size_t Median = 0;
    while (2 * (Below += Tally.Times[Median]) < Timed)
      ++Median;
    Slow[Route] = Median + SlowBuckets;
  }
  return Slow;
}

/// Returns the samples since \p Since by route and measure, and of all routes
/// together under the empty name.
std::map<rollout_judge::scope, rollout_judge::comparison>
rollout_judge::compare(time_point Since,
                       const std::map<std::string, std::size_t> &Slow) const {
  std::map<scope, comparison> Found;
  const auto Count = [&Found](const std::string &Route, measure Measure,
                              const tally_key &Key, sample Counted) {
    comparison &To = Found[{Route, Measure}];
    sample &Sample = (Key.IsNew ? To.New : To.Old)[Key.Server];
    Sample.Count += Counted.Count;
    Sample.Bad += Counted.Bad;
  };
  const auto Add = [&](const rollout_evidence &Evidence) {
    for (const auto &[Key, Tally] : Evidence) {
      const auto Bucket = Slow.find(Key.Route);
      std::uint32_t Bad = Tally.Failed;
      for (std::size_t I = Bucket == Slow.end() ? Tally.Times.size()
                                                : Bucket->second;
           I < Tally.Times.size(); ++I)
        Bad += Tally.Times[I];
      const double All = Tally.count();
      for (const measure Measure : {measure::Failed, measure::FailedOrSlow}) {
        const sample Counted{All, static_cast<double>(Measure == measure::Failed
                                                          ? Tally.Failed
                                                          : Bad)};
        Count("", Measure, Key, Counted);
        if (!Key.Route.empty())
          Count(Key.Route, Measure, Key, Counted);
      }
    }
  };
  if (Since == time_point{}) {
    Add(Whole);
    return Found;
  }
  for (const slice &Slice : Slices) {
    if (Slice.Begin >= Since)
      Add(Slice.Evidence);
  }
  return Found;
}

/// Returns true if a version with \p Score over the whole time is not to be
/// completed.
bool rollout_judge::isLikelyBad(double Score, double Difference,
                                bool IsOfAllRoutes) const {
  if (IsOfAllRoutes && OfNew < MinGoodCount && Score >= IdleLikelyScore &&
      Difference >= IdleMinDifference)
    return true;
  if (OfNew >= LittleCount)
    return Score >= LikelyScore;
  return Difference >= LittleMinDifference &&
         Score >= (IsOfAllRoutes ? LittleLikelyScore : LikelyScore);
}

rollout_judgment rollout_judge::judge(time_point Now) const {
  rollout_judgment Judgment;
  const std::map<std::string, std::size_t> Slow = slowBuckets();
  const auto WholeTime = compare({}, Slow);
  std::map<scope, counts> History; ///< Of the old version.
  for (const auto &[Scope, Comparison] : WholeTime) {
    const counts Old = withoutFaulty(Comparison.Old);
    const double PriorRate = Scope.second == measure::Failed
                                 ? PriorFailedRate
                                 : PriorFailedOrSlowRate;
    History[Scope] = {Old.Count + PriorCount, Old.Bad + PriorCount * PriorRate};
  }
  std::set<std::string> NewServers;
  for (const auto &[Key, Tally] : Whole) {
    if (Key.IsNew)
      NewServers.insert(Key.Server);
  }
  const auto Examine = [&](const scope &Scope, const comparison &Comparison,
                           bool IsWhole) {
    const counts New = sumOf(Comparison.New);
    counts Old = withoutFaulty(Comparison.Old);
    // In a window without requests to the old version its history stands in.
    const double Rate = History[Scope].rate();
    Old.Count += PriorCount;
    Old.Bad += PriorCount * Rate;
    const double Score = scoreOf(Old, Comparison.New, NewServers.size() > 1);
    if (New.rate() < Old.rate() + MinDifference)
      return;
    if (New.Bad >= MinLeaningBad) {
      Judgment.LeansBad |= Score >= LeaningScore;
      if (IsWhole) {
        Judgment.IsDoubtful |= Score >= DoubtScore;
        Judgment.IsLikelyBad |=
            isLikelyBad(Score, New.rate() - Old.rate(), Scope.first.empty());
      }
    }
    if (Score <= Judgment.Score)
      return;
    Judgment.Score = Score;
    Judgment.Route = Scope.first;
    Judgment.OldRate = Old.rate();
    Judgment.NewRate = New.rate();
  };
  for (const auto &[Scope, Comparison] : WholeTime)
    Examine(Scope, Comparison, true);
  for (const duration Window : Windows) {
    for (const auto &[Scope, Comparison] : compare(Now - Window, Slow))
      Examine(Scope, Comparison, false);
  }
  if (Judgment.Score >= BadScore) {
    Judgment.Verdict = rollout_verdict::Bad;
    return Judgment;
  }
  const auto CountOf = [](const samples &Samples) {
    double Count = 0;
    for (const auto &[Server, Sample] : Samples)
      Count += Sample.Count;
    return Count;
  };
  bool IsEnough = OfNew >= MinGoodCount && !Judgment.IsDoubtful;
  for (const auto &[Scope, Comparison] : WholeTime) {
    const double OfRoute = CountOf(Comparison.Old) + CountOf(Comparison.New);
    if (OfRoute >= ConsiderableShare * Total &&
        CountOf(Comparison.New) < MinGoodRouteCount)
      IsEnough = false;
  }
  if (IsEnough)
    Judgment.Verdict = rollout_verdict::Good;
  return Judgment;
}

} // namespace agatedale
