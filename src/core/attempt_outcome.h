/// \file
/// What the end of an attempt proves.
#pragma once

#include "agatedale/server_group.h"
#include "agatedale/verdict.h"

namespace agatedale {

/// Returns what \p Outcome proves about whether the request has run.
verdict verdictOf(attempt_outcome Outcome);

/// Returns the reason that a refusal after \p Outcome is told with.
refusal_reason reasonOf(attempt_outcome Outcome);

/// Returns \p Micros as a duration.
inline duration fromMicros(double Micros) {
  return std::chrono::microseconds(static_cast<std::int64_t>(Micros));
}

} // namespace agatedale
