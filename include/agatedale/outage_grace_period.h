/// \file
/// Keeps servers whose rows lapsed only because the store was away.
#pragma once

#include "agatedale/clock.h"

namespace agatedale {

/// Says for how long after an outage of the store a server that is no longer
/// listed is still used. Servers renew their rows in the store, which drops
/// them after three missed renewals, so a long outage empties the list though
/// the servers live; they are listed again within two seconds of its end. A
/// short silence cannot do that, and a row that went during it has been
/// removed.
///
///   GracePeriod.recordStoreTime(Mirror.asOf(), Now);
///   if (GracePeriod.isActive(Now)) keepUnlisted();
class outage_grace_period {
public:
  /// Shorter silences drop no row: three renewals take longer.
  static constexpr duration MinOutage = std::chrono::seconds(3);

  /// Servers that live are listed again within two seconds; what is not by then
  /// must get nothing more, so the hold ends a little earlier.
  static constexpr duration Length = std::chrono::milliseconds(1800);

  /// Records that at \p Now the store is known as it was at \p AsOf. Returns
  /// true if an outage has ended with that.
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
