/// \file
/// The clocks of the process. Only the node reads them; the core is told.
#pragma once

#include "agatedale/clock.h"

#include <chrono>

namespace agatedale {

/// Returns the monotonic clock's reading.
inline time_point monotonicNow() { return std::chrono::steady_clock::now(); }

/// Returns milliseconds since the Unix epoch.
inline wall_ms wallNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace agatedale
