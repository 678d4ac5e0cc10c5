/// \file
/// How many requests one backend server is given at once.
#pragma once

#include "agatedale/clock.h"

namespace agatedale {

/// What a slot limit is built from.
struct slot_limit_settings {
  int Slots = 2;            ///< What a warm server bears.
  int WarmUpAnswers = 5;    ///< Good answers in a row before the limit grows.
  int SlowAnswerFactor = 4; ///< Times the group's typical service time.
  int SlowAnswersUntilCold =
      3;                    ///< Slow answers in a row that show a cold server.
  int ErrorsUntilPause = 3; ///< Failed answers in a row that pause a server.
  duration FirstPause = std::chrono::milliseconds(100);
  duration LongestPause = std::chrono::seconds(10);
};

/// The concurrency limit of one backend server. It starts at one, grows by one
/// after a row of good answers, falls back to one when the server turns cold,
/// sheds or fails, and is zero while the server is paused.
///
///   slot_limit Limit = slot_limit::create(Settings);
///   if (InFlight < Limit.allowed(Now)) send();
///   Limit.onAnswer(ServiceTime, GroupTypical);
class slot_limit {
public:
  /// Returns the limit of a server that was just started.
  static slot_limit create(const slot_limit_settings &Settings) {
    return slot_limit(Settings);
  }

  /// Returns how many requests the server may have in flight at \p Now.
  int allowed(time_point Now) const { return Now < PausedUntil ? 0 : Limit; }

  /// Records a good answer. \p TypicalServiceTime is the group's typical
  /// service time, or zero while it is not known.
  void onAnswer(duration ServiceTime, duration TypicalServiceTime);

  /// Records that the server refused work and said that it did not run.
  void onShed(time_point Now);

  /// Records that the server could not be reached, broke off, or timed out.
  void onFailure(time_point Now);

  /// Records an answer that says the server failed (status 5xx).
  void onErrorAnswer(time_point Now);

  /// Takes over changed settings; a limit above the new slots is cut at once.
  void reconfigure(const slot_limit_settings &NewSettings);

  /// Falls back to the limit of a server that was just started.
  void resetToCold();

  /// Returns true while the limit is below the server's slots.
  bool isCold() const { return Limit < Settings.Slots; }

  /// Returns the end of the current pause; in the past when there is none.
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
