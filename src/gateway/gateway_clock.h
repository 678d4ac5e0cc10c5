/// \file
/// The gateway's clock.
#pragma once

#include "agatedale/clock.h"

#include <ctime>

namespace agatedale {

/// Returns the time since the machine booted. Unlike the monotonic clock it
/// counts the time that a VM is suspended, so that what was known before a
/// suspension is as old as it really is.
inline time_point bootNow() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return time_point(std::chrono::seconds(Now.tv_sec) +
                    std::chrono::nanoseconds(Now.tv_nsec));
}

} // namespace agatedale
