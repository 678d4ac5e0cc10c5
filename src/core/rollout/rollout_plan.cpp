/// \file
/// The stages of a rollout.
#include "agatedale/rollout_plan.h"

#include <algorithm>

namespace agatedale {

namespace {

/// Kept before the deadline, for an order that was seen late and for the write
/// of the outcome to a slow store.
constexpr duration DeadlineMargin = std::chrono::seconds(1);
constexpr double MinPlannedPart = 0.8;

// Ends of the stages as parts of the time. What is left after the last step
// allows for a takeover by another decider, which takes about 2 s.
constexpr double CanaryPart = 0.58;
constexpr double TrialPart = 0.64;
constexpr double LatestStepPart = 0.72;
/// As LatestStepPart, for a version in doubt of a small service, which gets its
/// first share for longer. What is left is MinFullTime, without a takeover.
constexpr double DoubtPart = 0.84;
constexpr double WatchedPart = 0.84;
constexpr double OverduePart = 0.9;

constexpr double MinCanaryShare = 0.02;
/// Leaves the old version enough requests to compare with.
constexpr double MaxCanaryShare = 0.8;
constexpr double TrialShare = 0.15;

/// Share of the slack that the first stage may use.
constexpr double CanarySlackShare = 1;

/// Share of the exposure that is planned with: VMs count requests that have
/// ended, and some are on their way.
constexpr double PlannedExposure = 0.9;

/// Time from the first bad responses of the new version until no VM sends it
/// requests: reports every 250 ms, the verdict, and two heartbeats.
constexpr double ReactionSeconds = 1;

/// Responses within that time that show whether a version in doubt is bad.
constexpr double MinReactionCount = 30;

/// Minimum time with all requests at the new version before it is completed:
/// within it every VM in touch has learned of the stage and has reported
/// responses that were given under the whole load.
constexpr duration MinFullTime = std::chrono::milliseconds(1500);

/// Time after which requests at the old version are not waited for if the
/// deadline is near. It exceeds the deadline of most requests.
constexpr duration MaxIdleWait = std::chrono::milliseconds(2500);

double seconds(duration Length) {
  return std::chrono::duration<double>(Length).count();
}

} // namespace

rollout_plan::rollout_plan(const rollout_bounds &Bounds, duration Duration)
    : Bounds(Bounds), Limit(std::max(Duration - DeadlineMargin,
                                     std::chrono::duration_cast<duration>(
                                         MinPlannedPart * Duration))) {}

duration rollout_plan::part(double Fraction) const {
  return std::chrono::duration_cast<duration>(Fraction * Limit);
}

/// Returns how many more requests a version that is bad may get.
double rollout_plan::exposureLeft(const rollout_progress &Progress) const {
  const double Remaining =
      std::max(0.0, seconds(Limit - Progress.Age)) * Progress.RatePerSecond;
  const double Allowed =
      Bounds.ExposureShare * (Progress.Total + PlannedExposure * Remaining) +
      Bounds.ExposureSlack;
  return PlannedExposure * Allowed - Progress.OfNew;
}

double rollout_plan::canaryShare(const rollout_progress &Progress) const {
  const double Requests =
      std::max(Progress.RatePerSecond, 0.1) * seconds(part(CanaryPart));
  return std::clamp(CanarySlackShare * Bounds.ExposureSlack / Requests,
                    MinCanaryShare, MaxCanaryShare);
}

bool rollout_plan::mayComplete(const rollout_progress &Progress) const {
  const duration Full = Progress.Age - *Progress.FullSince;
  if (Full < MinFullTime)
    return false;
  const bool IsOverdue = Progress.Age >= part(OverduePart);
  if (!Progress.IsOldIdle && !(IsOverdue && Full >= MaxIdleWait))
    return false;
  // A version that turns out to be bad under the whole load is rolled back
  // within the reaction time, so watching it for longer costs no exposure.
  return Progress.Age >= part(WatchedPart);
}

rollout_step rollout_plan::next(const rollout_progress &Progress) const {
  const rollout_judgment &Judgment = Progress.Judgment;
  const bool IsCompletable = Progress.FullSince && mayComplete(Progress);
  const bool IsHeldToEnd =
      !Progress.FullSince && Progress.Age >= part(DoubtPart);
  const bool IsBad = Judgment.Verdict == rollout_verdict::Bad ||
                     (Judgment.LeansBad && Progress.FullSince) ||
                     (Judgment.IsLikelyBad && (IsCompletable || IsHeldToEnd));
  const bool NeverCame = !Progress.HasNew && Progress.Age >= Limit;
  if (IsBad || NeverCame)
    return {rollout_phase::RolledBack, 0};
  if (!Progress.HasNew)
    return {rollout_phase::Running, 0};
  if (Progress.FullSince)
    return {IsCompletable ? rollout_phase::Completed : rollout_phase::Running,
            1};
  const double Left = exposureLeft(Progress);
  const double PerSecond = std::max(Progress.RatePerSecond, 0.1);
  const bool HasEvidence = Judgment.Verdict == rollout_verdict::Good;
  // A version of a large service shows soon enough under the whole load.
  const bool IsHeld =
      Judgment.IsDoubtful && PerSecond * ReactionSeconds < MinReactionCount;
  const double LatestStep = IsHeld ? DoubtPart : LatestStepPart;
  if (!Progress.HasOld || Progress.Age >= part(LatestStep))
    return {rollout_phase::Running, 1};
  const bool FitsFull = Left >= ReactionSeconds * PerSecond;
  // A service with little traffic cannot give more evidence.
  const bool IsIdle = Bounds.ExposureSlack >= PerSecond * seconds(Limit);
  if (Progress.Age >= part(TrialPart) && (HasEvidence || (IsIdle && !IsHeld)) &&
      FitsFull)
    return {rollout_phase::Running, 1};
  const double Bound = std::max(Left, 0.0) / (ReactionSeconds * PerSecond);
  const double Canary = canaryShare(Progress);
  const double Wanted = Progress.Age >= part(CanaryPart) && HasEvidence
                            ? std::max(Canary, TrialShare)
                            : Canary;
  return {rollout_phase::Running, std::min(Wanted, Bound)};
}

} // namespace agatedale
