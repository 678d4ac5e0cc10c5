/// \file
/// The gateway's clock.
#pragma once

#include "agatedale/clock.h"

#include <ctime>

namespace agatedale {

/// Returns the time since boot. Unlike the monotonic clock it includes the time
/// for which a VM is suspended, so data from before a suspension gets its true
/// age.
inline time_point bootNow() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return time_point(std::chrono::seconds(Now.tv_sec) +
                    std::chrono::nanoseconds(Now.tv_nsec));
}

} // namespace agatedale
