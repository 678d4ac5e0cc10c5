/// \file
/// How long a refused caller is told to wait.
#include "agatedale/retry_after.h"

#include <algorithm>

namespace agatedale {

namespace {

/// Share of its remaining time after which a caller retries at the latest.
constexpr double HonouredShare = 1.0 / 3;

} // namespace

duration honouredRetryAfter(duration BacklogTime, duration TimeLeft) {
  const auto Longest = std::chrono::duration_cast<duration>(
      TimeLeft * (HonouredShare / (1 + RetryAfterJitter)));
  return std::min(BacklogTime, std::max(Longest, duration::zero()));
}

} // namespace agatedale
