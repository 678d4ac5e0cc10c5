/// \file
/// Time types. The core never reads a clock; callers pass in the current time.
#pragma once

#include <chrono>
#include <cstdint>

namespace agatedale {

/// A point on the monotonic clock of the node.
using time_point = std::chrono::steady_clock::time_point;

/// A duration on the monotonic clock.
using duration = std::chrono::steady_clock::duration;

/// Milliseconds since the Unix epoch, for timestamps inside idempotency keys.
using wall_ms = std::int64_t;

/// Returns \p Length in microseconds, truncated.
constexpr std::int64_t toMicros(duration Length) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Length).count();
}

/// Returns \p Length in milliseconds, truncated.
constexpr std::int64_t toMillis(duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

} // namespace agatedale
