/// \file
/// Estimates how long a client will occupy memory.
#pragma once

#include "agatedale/clock.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace agatedale {

/// Measures how fast a client takes or sends bytes. The rate is that of the
/// last window, so that what the system's buffers took at first does not make a
/// client that has stopped look fast.
///
///   client_pace Pace(Now, 0);
///   duration Left = Pace.expectedTime(Later, BytesDone, BytesLeft);
class client_pace {
public:
  /// Clients are not judged by less time than this.
  static constexpr duration Window = std::chrono::seconds(1);

  client_pace(time_point Now, std::uint64_t Done) : Since(Now), Before(Done) {}

  /// Returns the time until \p Left further bytes are done, where \p Done bytes
  /// are done by now; zero if the client was not observed for long enough.
  duration expectedTime(time_point Now, std::uint64_t Done,
                        std::uint64_t Left) {
    if (Now - Since >= Window) {
      BytesPerSecond = static_cast<double>(Done - Before) /
                       std::chrono::duration<double>(Now - Since).count();
      Since = Now;
      Before = Done;
    }
    if (!BytesPerSecond || Left == 0)
      return duration::zero();
    const double Seconds = std::min(
        static_cast<double>(Left) / std::max(*BytesPerSecond, 1.0), MaxSeconds);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(Seconds));
  }

private:
  static constexpr double MaxSeconds = 1e6;

  time_point Since;
  std::uint64_t Before;
  std::optional<double> BytesPerSecond;
};

} // namespace agatedale
