/// \file
/// Limits the request rate of a cold backend server.
#pragma once

#include "agatedale/clock.h"

#include <algorithm>

namespace agatedale {

/// A token bucket of size one for the requests to a cold server: within any
/// second at most one request more than the rate is sent. A server that was
/// just started, or restarted with empty caches, crashes under the request rate
/// that a warm one can serve.
///
///   cold_start_limiter Limiter;
///   if (Limiter.allows(Now, 2.7)) { Limiter.onSent(Now, 2.7); send(); }
class cold_start_limiter {
public:
  /// Returns true if a request may be sent at \p Now. A rate of zero means
  /// unlimited.
  bool allows(time_point Now, double PerSecond) const {
    return PerSecond <= 0 || Now >= NextAt;
  }

  void onSent(time_point Now, double PerSecond) {
    if (PerSecond > 0)
      NextAt = std::max(NextAt, Now) +
               std::chrono::duration_cast<duration>(
                   std::chrono::duration<double>(1.0 / PerSecond));
  }

private:
  time_point NextAt{};
};

} // namespace agatedale
