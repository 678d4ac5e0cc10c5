/// \file
/// Time as the core sees it: values that are passed in, never read.
#pragma once

#include <chrono>
#include <cstdint>

namespace agatedale {

/// A reading of the node's monotonic clock.
using time_point = std::chrono::steady_clock::time_point;

/// A length of time on the monotonic clock.
using duration = std::chrono::steady_clock::duration;

/// Milliseconds since the Unix epoch, for timestamps inside idempotency keys.
using wall_ms = std::int64_t;

/// Returns \p Length in whole microseconds.
constexpr std::int64_t toMicros(duration Length) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Length).count();
}

/// Returns \p Length in whole milliseconds.
constexpr std::int64_t toMillis(duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

} // namespace agatedale
