/// \file
/// The share of a new version by time, evidence and exposure.
#pragma once

#include "agatedale/rollout_judge.h"

#include <chrono>
#include <optional>

namespace agatedale {

/// The state of a rollout at the time of a decision.
struct rollout_progress {
  duration Age{}; ///< Since the order.
  rollout_judgment Judgment;
  double Total = 0;         ///< Responses of the service since the order.
  double OfNew = 0;         ///< Those of the new version.
  double RatePerSecond = 0; ///< Responses of the service now.
  bool HasOld = false;      ///< Usable servers of other versions exist.
  bool HasNew = false;
  /// No request is at servers of other versions, and none will be sent there.
  bool IsOldIdle = false;
  /// Since when the new version gets all requests, if it does.
  std::optional<duration> FullSince; ///< As an age of the order.
};

/// What follows for the rollout.
struct rollout_step {
  rollout_phase Phase = rollout_phase::Running;
  double NewShare = 0;
};

/// Plans the share of the new version. A small share is held for most of the
/// time, then a larger one for as long as it takes to notice that the version
/// is bad under load, then all; it is completed as soon as the old version's
/// requests have ended. The share always leaves enough of the exposure that a
/// bad version is allowed for the time until all VMs know of a rollback.
///
///   rollout_plan Plan = rollout_plan::create(Bounds, Order.Duration);
///   rollout_step Step = Plan.next(Progress);
class rollout_plan {
public:
  static rollout_plan create(const rollout_bounds &Bounds, duration Duration) {
    return {Bounds, Duration};
  }

  rollout_step next(const rollout_progress &Progress) const;

private:
  rollout_plan(const rollout_bounds &Bounds, duration Duration);

  duration part(double Fraction) const;
  double exposureLeft(const rollout_progress &Progress) const;
  double canaryShare(const rollout_progress &Progress) const;
  bool mayComplete(const rollout_progress &Progress) const;

  rollout_bounds Bounds;
  duration Limit; ///< From the order to its deadline, with a margin.
};

} // namespace agatedale
