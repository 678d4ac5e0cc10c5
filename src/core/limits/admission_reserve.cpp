/// \file
/// How long a request may wait for a server.
#include "agatedale/admission_reserve.h"

#include <algorithm>

namespace agatedale {

namespace {

/// Share of the spare time that is kept. More refuses requests that would be on
/// time at loads that the servers can bear.
constexpr double SpareShare = 0.5;

/// Maximum reserve in service times; the variation grows with the service time
/// and not with the aim.
constexpr double MaxServiceTimes = 2.5;

} // namespace

duration admissionReserve(duration Spare, duration ServiceTime) {
  // With an aim of less than two service times, a request waits for one of few
  // fast servers, and a reserve would refuse those that get one.
  if (Spare < ServiceTime)
    return duration::zero();
  return std::min(
      std::chrono::duration_cast<duration>(SpareShare * Spare),
      std::chrono::duration_cast<duration>(MaxServiceTimes * ServiceTime));
}

} // namespace agatedale
