/// \file
/// Detects backend servers with a high failure rate.
#pragma once

#include "agatedale/clock.h"

#include <algorithm>

namespace agatedale {

/// Tracks the failure share of one server and ejects the server temporarily
/// when the share is high. This covers servers that fail some of their requests
/// while their health check passes.
///
///   outlier_detector Health;
///   Health.onResult(Failed, Now);
///   if (!Health.isEjected(Now)) send();
class outlier_detector {
public:
  void onResult(bool Failed, time_point Now) {
    FailedShare += Smoothing * ((Failed ? 1.0 : 0.0) - FailedShare);
    if (!Failed || FailedShare < EjectionThreshold || isEjected(Now)) {
      if (FailedShare < ResetThreshold)
        Ejections = 0;
      return;
    }
    EjectedUntil =
        Now + std::min(FirstEjection * (1 << std::min(Ejections, MaxDoublings)),
                       LongestEjection);
    ++Ejections;
    FailedShare = ShareAfterEjection;
  }

  bool isEjected(time_point Now) const { return Now < EjectedUntil; }

private:
  /// Weight of a new result in the failure share.
  static constexpr double Smoothing = 0.25;
  /// Failure share that ejects a server. Two consecutive failures from zero
  /// give 0.4375.
  static constexpr double EjectionThreshold = 0.4;
  /// Failure share set by an ejection, so that a failure of the first request
  /// afterwards ejects the server again.
  static constexpr double ShareAfterEjection = 0.3;
  /// Failure share below which the ejection time starts from its minimum again;
  /// about ten good answers after an ejection.
  static constexpr double ResetThreshold = 0.02;
  static constexpr duration FirstEjection = std::chrono::seconds(1);
  static constexpr duration LongestEjection = std::chrono::seconds(8);
  static constexpr int MaxDoublings = 3;

  double FailedShare = 0;
  int Ejections = 0;
  time_point EjectedUntil{};
};

} // namespace agatedale
