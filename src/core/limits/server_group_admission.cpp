/// \file
/// What a server group does for requests that can still be on time when not all
/// can be.
#include "agatedale/admission_reserve.h"
#include "agatedale/retry_after.h"
#include "agatedale/server_group.h"

namespace agatedale {

namespace {

/// Reported slowness from which on a server counts as slow.
constexpr double SlowServer = 1.5;

/// Share of the slots that must be occupied for slots to count as scarce.
constexpr double ScarceOccupancy = 0.75;

/// Returns true for refusals that end when the group's backlog does.
bool isForBacklog(refusal_reason Reason) {
  return Reason == refusal_reason::CannotBeOnTime ||
         Reason == refusal_reason::QueueFull ||
         Reason == refusal_reason::AccountQueueFull;
}

} // namespace

work_item server_group::withReserve(const work_item &Item,
                                    time_point Now) const {
  work_item Reserved = Item;
  if (Settings.ControlsOverload && Item.Aim > time_point{}) {
    const duration ServiceTime = expectedServiceTime(Item);
    Reserved.Reserve =
        admissionReserve(Item.Aim - Now - ServiceTime, ServiceTime);
  }
  return Reserved;
}

/// Returns true if \p Item should not be sent to \p State because the server is
/// slow. A request that is not urgent could wait several service times there,
/// and its slot would be missing when the server is fast again.
bool server_group::leavesToUrgent(const work_item &Item,
                                  const server_state &State,
                                  time_point Now) const {
  if (!Settings.ControlsOverload || Item.Priority <= HighestPriority ||
      State.ReportedSlowness <= SlowServer)
    return false;
  const group_load Load = load(Now);
  return Load.InFlight >= ScarceOccupancy * Load.Limit;
}

duration server_group::retryAfter(const work_item &Item, refusal_reason Reason,
                                  time_point Now) {
  // Another VM can serve the request at once.
  if (Reason == refusal_reason::Stopping)
    return duration::zero();
  const duration Estimate = retryAfter(Now);
  return Settings.BoundsRetryAfter && isForBacklog(Reason)
             ? honouredRetryAfter(Estimate, Item.Deadline - Now)
             : Estimate;
}

} // namespace agatedale
