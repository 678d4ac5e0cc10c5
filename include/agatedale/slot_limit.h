/// \file
/// The concurrency limit of one backend server.
#pragma once

#include "agatedale/clock.h"

namespace agatedale {

/// The settings of a slot limit.
struct slot_limit_settings {
  int Slots = 2;            ///< Concurrent requests of a warm server.
  int WarmUpAnswers = 5;    ///< Consecutive good answers to raise the limit.
  int SlowAnswerFactor = 4; ///< Slow answer, in typical service times.
  int SlowAnswersUntilCold = 3; ///< Consecutive slow answers of a cold server.
  int ErrorsUntilPause = 3;     ///< Consecutive 5xx answers before a pause.
  duration FirstPause = std::chrono::milliseconds(100);
  duration LongestPause = std::chrono::seconds(10);
};

/// The concurrency limit of one backend server. It starts at one and grows by
/// one after a number of consecutive good answers. It is reset to one when the
/// server becomes cold, sheds or fails, and is zero while the server is paused.
///
///   slot_limit Limit = slot_limit::create(Settings);
///   if (InFlight < Limit.allowed(Now)) send();
///   Limit.onAnswer(ServiceTime, GroupTypical);
class slot_limit {
public:
  /// Returns the limit of a newly started server.
  static slot_limit create(const slot_limit_settings &Settings) {
    return slot_limit(Settings);
  }

  /// Returns how many requests the server may have in flight at \p Now.
  int allowed(time_point Now) const { return Now < PausedUntil ? 0 : Limit; }

  /// Records a good answer. \p TypicalServiceTime is the group's typical
  /// service time, or zero while it is not known.
  void onAnswer(duration ServiceTime, duration TypicalServiceTime);

  /// Records that the server refused a request without running it.
  void onShed(time_point Now);

  /// Records a failed connect, a lost connection or a timeout.
  void onFailure(time_point Now);

  /// Records an answer with a status of 5xx.
  void onErrorAnswer(time_point Now);

  /// Applies changed settings and lowers a limit above the new slots.
  void reconfigure(const slot_limit_settings &NewSettings);

  /// Resets the limit to that of a newly started server.
  void resetToCold();

  /// Returns true if the limit is below the server's slots.
  bool isCold() const { return Limit < Settings.Slots; }

  /// Returns the end of the last pause, which may be in the past.
  time_point pausedUntil() const { return PausedUntil; }

private:
  explicit slot_limit(const slot_limit_settings &Settings)
      : Settings(Settings) {}

  void pause(time_point Now);

  slot_limit_settings Settings;
  int Limit = 1;
  int ConsecutiveGood = 0;
  int ConsecutiveSlow = 0;
  int ConsecutiveErrors = 0;
  int ConsecutivePauses = 0;
  time_point PausedUntil{};
};

} // namespace agatedale
