/// \file
/// How long callers have waited before they send a request again.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace agatedale {

/// Infers from the time that a caller states to have left how long it has
/// waited since its first try. Callers of a route begin with one of a few
/// times, which therefore occur often; a caller that returns after a refusal
/// states what remains of it. The latency target counts from the first try:
/// a request that has missed it must not take the place of one that can meet
/// it. A caller whose time is not near a usual one counts as new.
///
///   caller_ages Ages = caller_ages::create();
///   Aim -= Ages.ageOf(Route, StatedTimeLeft);
class caller_ages {
public:
  static caller_ages create() { return {}; }

  /// Records the time left that a caller of \p Route states, and returns how
  /// long the caller has presumably waited before.
  std::chrono::milliseconds ageOf(const std::string &Route,
                                  std::chrono::milliseconds Stated);

private:
  struct stated_time {
    std::chrono::milliseconds Value{};
    double Count = 0;
  };

  struct route_times {
    std::vector<stated_time> Times;
    double Total = 0;
  };

  caller_ages() = default;

  static void record(route_times &Route, std::chrono::milliseconds Stated);

  std::map<std::string, route_times> Routes;
};

} // namespace agatedale
