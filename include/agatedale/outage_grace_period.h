/// \file
/// Grace period for servers whose rows expired during a store outage.
#pragma once

#include "agatedale/clock.h"

namespace agatedale {

/// Determines for how long after a store outage unlisted servers are still
/// used. A server renews its row in the store, which removes the row after
/// three missed renewals. A long outage therefore empties the list although the
/// servers run; they register again within two seconds of its end. A shorter
/// outage cannot expire a row, so a row missing after one was removed on
/// purpose.
///
///   GracePeriod.recordStoreTime(Mirror.asOf(), Now);
///   if (GracePeriod.isActive(Now)) keepUnlisted();
class outage_grace_period {
public:
  /// Shorter outages expire no row, as three renewals take longer.
  static constexpr duration MinOutage = std::chrono::seconds(3);

  /// Running servers are listed again within two seconds. Servers that are not
  /// must get no request after that, so the grace period ends slightly earlier.
  static constexpr duration Length = std::chrono::milliseconds(1800);

  /// Records that at \p Now the replica is current as of \p AsOf. Returns true
  /// if this ends an outage.
  bool recordStoreTime(time_point AsOf, time_point Now) {
    const bool Ended = LastAsOf > time_point{} && AsOf - LastAsOf >= MinOutage;
    LastAsOf = AsOf > LastAsOf ? AsOf : LastAsOf;
    if (Ended)
      Until = Now + Length;
    return Ended;
  }

  bool isActive(time_point Now) const { return Now < Until; }

private:
  time_point LastAsOf{};
  time_point Until{};
};

} // namespace agatedale
