/// \file
/// Increase and reset of one server's concurrency limit.
#include "agatedale/slot_limit.h"

#include <algorithm>

namespace agatedale {

namespace {

/// Maximum number of doublings of a pause.
constexpr int MaxDoublings = 10;

} // namespace

void slot_limit::onAnswer(duration ServiceTime, duration TypicalServiceTime) {
  ConsecutiveErrors = 0;
  ConsecutivePauses = 0;
  const bool Slow =
      TypicalServiceTime > duration::zero() &&
      ServiceTime > Settings.SlowAnswerFactor * TypicalServiceTime;
  if (Slow) {
    ConsecutiveGood = 0;
    if (++ConsecutiveSlow >= Settings.SlowAnswersUntilCold)
      resetToCold();
    return;
  }
  ConsecutiveSlow = 0;
  if (Limit >= Settings.Slots || ++ConsecutiveGood < Settings.WarmUpAnswers)
    return;
  ++Limit;
  ConsecutiveGood = 0;
}

void slot_limit::onShed(time_point Now) {
  resetToCold();
  pause(Now);
}

void slot_limit::onFailure(time_point Now) {
  resetToCold();
  pause(Now);
}

void slot_limit::onErrorAnswer(time_point Now) {
  if (++ConsecutiveErrors < Settings.ErrorsUntilPause)
    return;
  resetToCold();
  pause(Now);
}

void slot_limit::reconfigure(const slot_limit_settings &NewSettings) {
  Settings = NewSettings;
  Limit = std::min(Limit, Settings.Slots);
}

void slot_limit::resetToCold() {
  Limit = 1;
  ConsecutiveGood = 0;
  ConsecutiveSlow = 0;
}

void slot_limit::pause(time_point Now) {
  const int Doublings = std::min(ConsecutivePauses++, MaxDoublings);
  PausedUntil = Now + std::min(Settings.FirstPause * (1 << Doublings),
                               Settings.LongestPause);
}

} // namespace agatedale
