/// \file
/// How long the events of an event loop's turn may have waited.
#pragma once

#include "agatedale/clock.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

namespace agatedale {

/// Bounds the age of what an event loop handles. A loop that is busy, or whose
/// process is held up, finds events that have waited in the system; their bytes
/// do not tell for how long.
///
///   Clock.beforeWait(Now, Timeout);
///   poll(...);
///   Clock.afterWait(Now);
///   if (Clock.isLate(Now)) lookAgain();
class turn_clock {
public:
  /// Events that may have waited for longer than this are late.
  static constexpr duration LateAfter = std::chrono::milliseconds(50);

  /// Called before the loop waits for events for at most \p MaxWait. Returns
  /// for how long it waits: not at all after a late turn, so that events which
  /// are ready are known to be as old as the turn may be long.
  duration beforeWait(time_point Now, duration MaxWait) {
    if (TurnBegan == time_point{})
      TurnBegan = Now;
    WaitBegan = Now;
    Timeout = isLong(Now) ? duration::zero() : MaxWait;
    return Timeout;
  }

  /// Called when the wait has ended.
  void afterWait(time_point Now) {
    const duration Waited = Now - WaitBegan;
    if (Timeout == duration::zero() || Waited < ShortestWait)
      Since = TurnBegan; // Events were ready before the wait.
    else if (Waited > Timeout + WakeUpTime)
      Since = WaitBegan; // The process was held up.
    else
      Since = Now;
    TurnBegan = Now;
    ++Turns;
  }

  /// Returns the number of turns so far.
  std::uint64_t turns() const { return Turns; }

  /// Returns a time before which none of the turn's events occurred.
  time_point eventsSince() const { return Since; }

  /// Returns how long an event of this turn may have waited at most.
  duration longestWait(time_point Now) const { return Now - Since; }

  /// Returns true if this turn itself has taken long.
  bool isLong(time_point Now) const { return Now - TurnBegan > LateAfter; }

  bool isLate(time_point Now) const { return longestWait(Now) > LateAfter; }

private:
  /// A shorter wait did not wait for an event.
  static constexpr duration ShortestWait = std::chrono::milliseconds(1);
  /// Time that a process may take to run after its wait has ended.
  static constexpr duration WakeUpTime = std::chrono::milliseconds(20);

  time_point TurnBegan{};
  time_point WaitBegan{};
  time_point Since{};
  duration Timeout{};
  std::uint64_t Turns = 0;
};

/// Returns when bytes arrived that are read at \p Now: not before \p Since, and
/// \p SystemAge ago if the system tells. Without it the middle is taken: a
/// request is neither given the whole wait again nor refused for all of it.
inline time_point estimateArrival(time_point Since, time_point Now,
                                  std::optional<duration> SystemAge) {
  if (Now - Since <= turn_clock::LateAfter)
    return Now;
  if (SystemAge)
    return std::clamp(Now - *SystemAge, Since, Now);
  return Since + (Now - Since) / 2;
}

} // namespace agatedale
