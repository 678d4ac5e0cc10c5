/// \file
/// How long a refused caller is told to wait.
#pragma once

#include "agatedale/clock.h"

namespace agatedale {

/// Maximum share added at random to the Retry-After time, so that callers that
/// are refused at the same time do not retry at the same time.
constexpr double RetryAfterJitter = 0.3;

/// Retry-After time of requests that a fault in the configuration keeps from
/// being served: a corrected version needs about this time to be in force.
constexpr duration FaultRetryAfter = std::chrono::seconds(1);

/// Limits the estimate \p BacklogTime to what a caller with \p TimeLeft honours
/// after the jitter is added: a third of its time. Callers that are told more
/// all return after exactly a third. They arrive together, and as they state
/// the same time, caller_ages takes them for new ones with their whole aim.
duration honouredRetryAfter(duration BacklogTime, duration TimeLeft);

} // namespace agatedale
