/// \file
/// How often a cold backend server is sent a request.
#pragma once

#include "agatedale/clock.h"

#include <algorithm>

namespace agatedale {

/// Paces the requests to a server that is cold: a token bucket that holds one
/// request, so that no second sees more than the rate and one besides. The load
/// that it answers: a server that has just started, or came back empty, crashes
/// under the rate that a warm one bears.
///
///   cold_start_limiter Pace;
///   if (Pace.allows(Now, 2.7)) { Pace.onSent(Now, 2.7); send(); }
class cold_start_limiter {
public:
  /// Returns true if a request may be sent at \p Now. A rate of zero means that
  /// there is no bound.
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
