/// \file
/// Times at which an entry VM writes its row in the list of VMs.
#pragma once

#include "agatedale/clock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace agatedale {

/// Spreads the writes of a fleet that starts at the same moment. The store
/// performs the writes of a table one after the other and refuses what waits
/// for more than a second; refused writes are repeated, and each call costs.
///
///   registration_pacer Pacer = registration_pacer::create(200);
///   duration Delay = Pacer.delayAtBootstrap(Draw);
class registration_pacer {
public:
  /// Time in which the VMs register when the whole system starts for the first
  /// time. They know nothing of each other yet, not even how many they are.
  static constexpr duration BootstrapSpread = std::chrono::milliseconds(2500);

  /// Bounds of the delay before a failed write is repeated. It doubles with
  /// each failure.
  static constexpr duration MinRetryDelay = std::chrono::milliseconds(500);
  static constexpr duration MaxRetryDelay = std::chrono::milliseconds(2000);

  /// \p WritesPerSecond is how many writes the store performs in a table.
  static registration_pacer create(double WritesPerSecond) {
    return registration_pacer(WritesPerSecond);
  }

  /// Returns the delay of the first write at the first start of the system.
  /// \p Draw is a random number from 0 to 1.
  static duration delayAtBootstrap(double Draw) {
    return share(BootstrapSpread, Draw);
  }

  /// Returns the delay of the first write of a VM that starts later, in a fleet
  /// of \p Vms VMs. One whose former row has its address is reached by the
  /// others through that row, and many of them may start at once.
  duration delayOfRestart(bool IsReachable, std::size_t Vms,
                          double Draw) const {
    if (!IsReachable)
      return duration::zero();
    const double Seconds = static_cast<double>(Vms) / WritesPerSecond;
    return share(std::chrono::duration_cast<duration>(
                     std::chrono::duration<double>(Seconds)),
                 Draw);
  }

  /// Returns the delay after a failed write: at least half of the current one.
  duration delayAfterFailure(double Draw) {
    const duration Longest = RetryDelay;
    RetryDelay = std::min(2 * RetryDelay, MaxRetryDelay);
    return Longest / 2 + share(Longest / 2, Draw);
  }

  void onSuccess() { RetryDelay = MinRetryDelay; }

private:
  explicit registration_pacer(double WritesPerSecond)
      : WritesPerSecond(WritesPerSecond) {}

  static duration share(duration Whole, double Draw) {
    return std::chrono::duration_cast<duration>(Whole * Draw);
  }

  double WritesPerSecond;
  duration RetryDelay = MinRetryDelay;
};

} // namespace agatedale
