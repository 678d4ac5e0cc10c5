/// \file
/// When a slow request is repeated as a hedged request.
#pragma once

#include "agatedale/clock.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace agatedale {

/// Learns the age from which on repeating a request is worthwhile, by route,
/// and limits the hedged requests to a share of the requests. The age is one
/// that only the allowed share of the requests exceeds, and at which the mean
/// remaining time is longer than a whole request takes. If service times vary
/// so little that no age has this, nothing is hedged.
///
///   hedge_policy Policy = hedge_policy::create(2); // Percent of the requests.
///   Policy.onRequest();
///   Policy.record(Route, ServiceTime);
///   if (const auto Age = Policy.ageOf(Route); Age && Elapsed >= *Age)
///     if (Policy.tryTake()) sendHedge();
class hedge_policy {
public:
  /// \p Percent is the number of hedged requests allowed per hundred requests.
  static hedge_policy create(double Percent) { return hedge_policy(Percent); }

  bool isEnabled() const { return Percent > 0; }

  /// Adds the share of one new request to the budget.
  void onRequest();

  /// Records how long an attempt took. For one that was cancelled because its
  /// hedge had answered first, \p IsCancelled, this is a lower bound.
  void record(std::string_view Route, duration ServiceTime,
              bool IsCancelled = false);

  /// Returns the age from which on an attempt is hedged, if any.
  std::optional<duration> ageOf(std::string_view Route) const;

  /// Takes one hedged request out of the budget. Returns false if it is spent.
  bool tryTake();

private:
  static constexpr std::size_t BucketCount = 128;

  struct distribution {
    std::array<double, BucketCount> Buckets{};
    double Total = 0;
    std::optional<duration> Age;
    int UntilUpdate = 0;
  };

  explicit hedge_policy(double Percent) : Percent(Percent) {}

  std::optional<duration> findAge(const distribution &Times) const;

  double Percent;
  double Tokens = 0;
  std::map<std::string, distribution, std::less<>> Routes;
};

} // namespace agatedale
