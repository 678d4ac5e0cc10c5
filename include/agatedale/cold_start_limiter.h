/// \file
/// Limits the request rate of a cold backend server.
#pragma once

#include "agatedale/clock.h"

#include <algorithm>

namespace agatedale {

/// A token bucket of size one for the requests to a cold server: within any
/// second at most one request more than the rate is sent. A server that was
/// just started, or restarted with empty caches, crashes under the request rate
/// that a warm one can serve. A changed rate applies to the time since the last
/// request as well.
///
///   cold_start_limiter Limiter;
///   if (Limiter.allows(Now, 2.7)) { Limiter.onSent(Now, 2.7); send(); }
class cold_start_limiter {
public:
  /// Returns true if a request may be sent at \p Now. A rate of zero means
  /// unlimited.
  bool allows(time_point Now, double PerSecond) const {
    return PerSecond <= 0 || Now >= CountedAt + timeFor(Owed, PerSecond);
  }

  void onSent(time_point Now, double PerSecond) {
    if (PerSecond <= 0)
      return;
    const double Seconds =
        std::chrono::duration<double>(Now - CountedAt).count();
    Owed = std::max(Owed - Seconds * PerSecond, 0.0) + 1;
    CountedAt = Now;
  }

private:
  static duration timeFor(double Requests, double PerSecond) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(Requests / PerSecond));
  }

  time_point CountedAt{}; ///< When the last request was sent.
  /// Requests sent by then for which the rate had not left the time.
  double Owed = 0;
};

} // namespace agatedale
