/// \file
/// Maps attempt outcomes to verdicts and refusal reasons.
#pragma once

#include "agatedale/server_group.h"
#include "agatedale/verdict.h"

namespace agatedale {

/// Returns whether a request has run, as far as \p Outcome proves it.
verdict verdictOf(attempt_outcome Outcome);

/// Returns the reason for refusing a request after \p Outcome.
refusal_reason reasonOf(attempt_outcome Outcome);

/// Converts \p Micros, in microseconds, to a duration.
inline duration fromMicros(double Micros) {
  return std::chrono::microseconds(static_cast<std::int64_t>(Micros));
}

} // namespace agatedale
