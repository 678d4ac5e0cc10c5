/// \file
/// Growth and cuts of one server's concurrency limit.
#include "agatedale/slot_limit.h"

#include <algorithm>

namespace agatedale {

namespace {

/// Doublings after which a pause no longer grows.
constexpr int MaxDoublings = 10;

} // namespace

void slot_limit::onAnswer(duration ServiceTime, duration Typical) {
  ErrorsInRow = 0;
  PausesInRow = 0;
  const bool Slow =
      Typical > duration::zero() && ServiceTime > Settings.ColdFactor * Typical;
  if (Slow) {
    GoodInRow = 0;
    if (++SlowInRow >= Settings.ColdAnswers)
      turnCold();
    return;
  }
  SlowInRow = 0;
  if (Limit >= Settings.Slots || ++GoodInRow < Settings.WarmUpAnswers)
    return;
  ++Limit;
  GoodInRow = 0;
}

void slot_limit::onShed(time_point Now) {
  turnCold();
  pause(Now);
}

void slot_limit::onFailure(time_point Now) {
  turnCold();
  pause(Now);
}

void slot_limit::onErrorAnswer(time_point Now) {
  if (++ErrorsInRow < Settings.FastErrors)
    return;
  turnCold();
  pause(Now);
}

void slot_limit::reconfigure(const slot_limit_settings &NewSettings) {
  Settings = NewSettings;
  Limit = std::min(Limit, Settings.Slots);
}

void slot_limit::turnCold() {
  Limit = 1;
  GoodInRow = 0;
  SlowInRow = 0;
}

void slot_limit::pause(time_point Now) {
  const int Doublings = std::min(PausesInRow++, MaxDoublings);
  PausedUntil = Now + std::min(Settings.FirstPause * (1 << Doublings),
                               Settings.LongestPause);
}

} // namespace agatedale
