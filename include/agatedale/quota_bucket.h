/// \file
/// A token bucket whose limit may change while it is in use.
#pragma once

#include "agatedale/clock.h"

#include <algorithm>
#include <chrono>

namespace agatedale {

/// The limit of a client account, or of a part of it.
struct quota_limit {
  double RatePerSecond = 0;
  double Burst = 0;

  bool isSet() const { return RatePerSecond > 0 || Burst > 0; }
  bool operator==(const quota_limit &) const = default;
};

/// A token bucket. Tokens accrue at the rate up to the capacity. Tokens that
/// were given beyond the capacity are kept but accrue no more.
///
///   quota_bucket Bucket = quota_bucket::create({10, 20}, 0, Now);
///   if (Bucket.tryTake(Now)) serve();
class quota_bucket {
public:
  /// \p Limit.Burst is the capacity.
  static quota_bucket create(const quota_limit &Limit, double Tokens,
                             time_point Now) {
    return quota_bucket(Limit, Tokens, Now);
  }

  /// A lower capacity cuts the tokens at once; a higher one adds none.
  void setLimit(const quota_limit &NewLimit, time_point Now) {
    refill(Now);
    if (NewLimit.Burst < Limit.Burst)
      Tokens = std::min(Tokens, NewLimit.Burst);
    Limit = NewLimit;
  }

  bool tryTake(time_point Now) {
    refill(Now);
    if (Tokens + Rounding < 1)
      return false;
    Tokens -= 1;
    return true;
  }

  /// Takes up to \p Wanted tokens, also a fraction of one.
  double takeUpTo(double Wanted, time_point Now) {
    refill(Now);
    const double Taken = std::clamp(Wanted, 0.0, std::max(Tokens, 0.0));
    Tokens -= Taken;
    return Taken;
  }

  /// Adds tokens, up to \p Max in total.
  void give(double Given, double Max, time_point Now) {
    refill(Now);
    Tokens = std::max(Tokens, std::min(Tokens + Given, Max));
  }

  /// Adds tokens up to the capacity, or takes tokens away, also those that have
  /// been spent already.
  void adjust(double Change, time_point Now) {
    refill(Now);
    if (Change > 0)
      give(Change, Limit.Burst, Now);
    else
      Tokens += Change;
  }

  double level(time_point Now) {
    refill(Now);
    return Tokens;
  }

  const quota_limit &limit() const { return Limit; }

  /// Returns the time until there is a token, at most \p Max.
  duration timeUntilToken(time_point Now, duration Max) {
    refill(Now);
    if (Tokens + Rounding >= 1)
      return duration::zero();
    const double MaxSeconds = std::chrono::duration<double>(Max).count();
    const double Missing = 1 - Tokens;
    const double Seconds = Missing >= MaxSeconds * Limit.RatePerSecond
                               ? MaxSeconds
                               : Missing / Limit.RatePerSecond;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(Seconds));
  }

private:
  /// Tokens are sums of fractions; a token that lacks no more than this counts.
  static constexpr double Rounding = 1e-9;

  quota_bucket(const quota_limit &Limit, double Tokens, time_point Now)
      : Limit(Limit), Tokens(std::min(Tokens, Limit.Burst)), RefilledAt(Now) {}

  void refill(time_point Now) {
    if (Now <= RefilledAt)
      return;
    const double Seconds =
        std::chrono::duration<double>(Now - RefilledAt).count();
    RefilledAt = Now;
    if (Tokens < Limit.Burst)
      Tokens = std::min(Tokens + Seconds * Limit.RatePerSecond, Limit.Burst);
  }

  quota_limit Limit;
  double Tokens;
  time_point RefilledAt;
};

} // namespace agatedale
