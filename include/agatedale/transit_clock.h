/// \file
/// How long messages of a peer were under way.
#pragma once

#include "agatedale/clock.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace agatedale {

/// Measures the time from the making of a peer's messages to their handling,
/// beyond that of the fastest one. The clocks of two VMs have no common zero,
/// but a full buffer, a full link or a late event loop delays some messages and
/// not others.
///
///   duration Delay = Clock.delayOf(MadeAt, Now);
class transit_clock {
public:
  /// A delay beyond this is taken for a jump of one of the clocks.
  static constexpr duration MaxDelay = std::chrono::seconds(10);

  /// Returns the delay of a message that was made at \p MadeAt by the clock of
  /// its sender and is handled at \p Now.
  duration delayOf(duration MadeAt, time_point Now) {
    const duration Difference = Now.time_since_epoch() - MadeAt;
    const bool HasJumped = Shortest && Difference - *Shortest > MaxDelay;
    if (!Shortest || HasJumped)
      restart(Difference, Now);
    else
      *Shortest += (Now - UpdatedAt) / DriftDivisor;
    UpdatedAt = Now;
    if (Now - PeriodBegan >= Period)
      endPeriod(Now);
    PeriodShortest = std::min(PeriodShortest.value_or(Difference), Difference);
    ++PeriodMessages;
    Shortest = std::min(*Shortest, Difference);
    return Difference - *Shortest;
  }

private:
  /// Two clocks drift apart by at most one part in so many.
  static constexpr int DriftDivisor = 5000;
  static constexpr duration Period = std::chrono::seconds(30);
  /// Fewer messages may all have been delayed.
  static constexpr int MinPeriodMessages = 8;

  void restart(duration Difference, time_point Now) {
    Shortest = Difference;
    PeriodBegan = Now;
    PeriodShortest.reset();
    PeriodMessages = 0;
  }

  /// Follows a clock that has jumped: no message of a whole period was as fast
  /// as those before.
  void endPeriod(time_point Now) {
    if (PeriodMessages >= MinPeriodMessages)
      Shortest = std::max(*Shortest, *PeriodShortest);
    PeriodBegan = Now;
    PeriodShortest.reset();
    PeriodMessages = 0;
  }

  std::optional<duration> Shortest; ///< Difference of the fastest message.
  time_point UpdatedAt{};
  time_point PeriodBegan{};
  std::optional<duration> PeriodShortest;
  int PeriodMessages = 0;
};

} // namespace agatedale
