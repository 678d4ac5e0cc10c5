/// \file
/// Conversion of learned concurrency limits to and from heartbeats.
#pragma once

#include "agatedale/concurrency_limits.h"

#include "gateway.pb.h"

#include <span>

namespace agatedale {

/// Adds \p Evidence to a heartbeat that is sent at \p Now.
void addEvidence(std::span<const shared_evidence> Evidence, time_point Now,
                 agatedale::gateway::Heartbeat &Out);

/// Applies the evidence in a heartbeat that was received at \p Now.
void readEvidence(const agatedale::gateway::Heartbeat &In, time_point Now,
                  concurrency_limits &Limits);

} // namespace agatedale
