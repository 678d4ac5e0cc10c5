/// \file
/// The traffic account of a paid link between two regions.
#pragma once

#include "agatedale/clock.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace agatedale {

/// Classes of traffic on a link, the most important first.
enum class traffic_class { Control, Answers, Bulk };

/// A token account for one link. Bulk traffic yields first: each class may only
/// draw the account down to its own floor.
///
///   link_token_bucket Link = link_token_bucket::create(BytesPerSecond, Burst,
///   Now); if (!Link.tryConsume(traffic_class::Bulk, Bytes, Now)) wait();
class link_token_bucket {
public:
  static link_token_bucket create(double BytesPerSecond, double BurstBytes,
                                  time_point Now) {
    return link_token_bucket(BytesPerSecond, BurstBytes, Now);
  }

  /// Changes the rate, such as when the node's share of the link changes.
  void setRate(double NewBytesPerSecond, time_point Now) {
    refill(Now);
    BytesPerSecond = NewBytesPerSecond;
  }

  /// Spends \p Bytes if the class may; false when it must wait or yield.
  bool tryConsume(traffic_class Class, std::int64_t Bytes, time_point Now) {
    refill(Now);
    auto &Counter = Counters.at(static_cast<std::size_t>(Class));
    if (Tokens < minTokensOf(Class)) {
      ++Counter.Refused;
      return false;
    }
    Tokens -= static_cast<double>(Bytes);
    Counter.Bytes += Bytes;
    return true;
  }

  /// Bytes spent and takes refused, by class.
  struct traffic_counters {
    std::int64_t Bytes = 0;
    std::int64_t Refused = 0;
  };
  const std::array<traffic_counters, 3> &counters() const { return Counters; }

private:
  link_token_bucket(double BytesPerSecond, double BurstBytes, time_point Now)
      : BytesPerSecond(BytesPerSecond), BurstBytes(BurstBytes),
        Tokens(BurstBytes), RefilledAt(Now) {}

  /// The part of the burst below which a class may not draw.
  double minTokensOf(traffic_class Class) const {
    switch (Class) {
    case traffic_class::Control:
      return -BurstBytes;
    case traffic_class::Answers:
      return 0;
    case traffic_class::Bulk:
      break;
    }
    return BurstBytes / 2;
  }

  void refill(time_point Now) {
    if (Now <= RefilledAt)
      return;
    const std::chrono::duration<double> Passed = Now - RefilledAt;
    Tokens = std::min(BurstBytes, Tokens + BytesPerSecond * Passed.count());
    RefilledAt = Now;
  }

  double BytesPerSecond;
  double BurstBytes;
  double Tokens;
  time_point RefilledAt;
  std::array<traffic_counters, 3> Counters{};
};

} // namespace agatedale
