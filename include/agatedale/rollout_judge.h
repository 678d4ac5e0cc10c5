/// \file
/// Judges a new version by the responses of its servers.
#pragma once

#include "agatedale/rollout.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace agatedale {

enum class rollout_verdict { NotEnough, Good, Bad };

/// A verdict with what it rests on.
struct rollout_judgment {
  rollout_verdict Verdict = rollout_verdict::NotEnough;
  /// The evidence is against the version, but too little for a verdict while
  /// the version gets a small share.
  bool LeansBad = false;
  /// The version is more likely bad than not, by the evidence of the whole
  /// time. Meant for a decision that cannot be put off.
  bool IsLikelyBad = false;
  /// The evidence is neither for nor against the version.
  bool IsDoubtful = false;
  std::string Route; ///< Of a bad version; empty for all routes together.
  double OldRate = 0;
  double NewRate = 0;
  double Score = 0; ///< Logarithm of the likelihood ratio.
};

/// Compares the responses of a new version with those of the old one in the
/// same time, on all routes together and on each.
///
/// A response is bad if it failed or took several times the median time of the
/// old version on its route; failures are compared by themselves as well,
/// because slow responses are much more frequent on ordinary days. The numbers
/// of bad responses are compared by the likelihood ratio of two rates against
/// one, over the whole time and over windows, so that a version that turns bad
/// late is noticed. One server of either version may be faulty whatever its
/// version: the responses of a new version are compared with the best of two
/// explanations, that it is as good as the old one, and that it is but for one
/// faulty server, which costs a part of the score.
///
///   rollout_judge Judge;
///   Judge.record("vm-1", Report.Evidence, Now);
///   if (Judge.judge(Now).Verdict == rollout_verdict::Bad) rollBack();
class rollout_judge {
public:
  /// Records all that \p Reporter has counted since the order. The part that
  /// was not recorded before counts as observed at \p Now.
  void record(std::string_view Reporter, const rollout_evidence &Evidence,
              time_point Now);

  rollout_judgment judge(time_point Now) const;

  /// Returns the number of responses of all servers, and of the new version.
  double total() const { return Total; }
  double ofNew() const { return OfNew; }

  /// Returns the responses per second of all servers in the last seconds.
  double rate(time_point Now) const;

private:
  /// What was recorded in a short time.
  struct slice {
    time_point Begin;
    rollout_evidence Evidence;
  };

  /// Responses of one server in one comparison.
  struct sample {
    double Count = 0;
    double Bad = 0;
  };
  using samples = std::map<std::string, sample>; ///< By server.

  struct comparison {
    samples Old;
    samples New;
  };

  /// What a comparison counts as bad.
  enum class measure : std::uint8_t { Failed, FailedOrSlow };

  /// The route of a comparison, empty for all, and its measure.
  using scope = std::pair<std::string, measure>;

  bool isLikelyBad(double Score, double Difference, bool IsOfAllRoutes) const;
  std::map<std::string, std::size_t> slowBuckets() const;
  std::map<scope, comparison>
  compare(time_point Since,
          const std::map<std::string, std::size_t> &Slow) const;

  std::map<std::string, rollout_evidence, std::less<>> Reported;
  rollout_evidence Whole; ///< Since the order.
  std::deque<slice> Slices;
  double Total = 0;
  double OfNew = 0;
};

} // namespace agatedale
