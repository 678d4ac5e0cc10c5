/// \file
/// Finds backend servers that fail more than the others.
#pragma once

#include "agatedale/clock.h"

#include <algorithm>

namespace agatedale {

/// Watches the share of failures of one server and ejects it for a while when
/// the share is high. The load that it answers: a server that fails a part of
/// its requests while its health check is good.
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
  /// Weight of a new result; two failures in a row pass the threshold.
  static constexpr double Smoothing = 0.25;
  /// Two failures in a row from a clean state give 0.4375.
  static constexpr double EjectionThreshold = 0.4;
  /// Share after an ejection: a first failure then ejects again.
  static constexpr double ShareAfterEjection = 0.3;
  /// About ten good answers after an ejection.
  static constexpr double ResetThreshold = 0.02;
  static constexpr duration FirstEjection = std::chrono::seconds(1);
  static constexpr duration LongestEjection = std::chrono::seconds(8);
  static constexpr int MaxDoublings = 3;

  double FailedShare = 0;
  int Ejections = 0;
  time_point EjectedUntil{};
};

} // namespace agatedale
