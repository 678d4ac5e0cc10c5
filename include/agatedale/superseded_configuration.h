/// \file
/// A version of the configuration that was read and cannot be applied.
#pragma once

#include "agatedale/clock.h"
#include "agatedale/store_version.h"

#include <cstdint>
#include <optional>

namespace agatedale {

/// Remembers that the store holds a later version of the configuration than the
/// one in force, which this VM cannot apply. It does not know which routes,
/// services, limits and keys that version withdraws. So what is in force is no
/// longer proven, serves for ServeTime more, and refuses nothing for good.
///
///   Superseded.record({Row.Version, Number}, TimesBefore, Now);
///   if (!Superseded.mayServe(Now)) refuse(Request);
class superseded_configuration {
public:
  /// Time for which the version in force still serves, so that a correction
  /// that follows at once costs no request. With the time in which a version
  /// reaches every VM it stays within the bound of a change.
  static constexpr duration ServeTime = std::chrono::milliseconds(500);

  /// The version that cannot be applied.
  struct refused_version {
    store_version Row;                   ///< Of the row in the store.
    std::optional<std::uint64_t> Number; ///< Nothing if it cannot be read.
  };

  /// The times as of which the version in force was the store's newest.
  struct times {
    time_point AsOf{};       ///< See store_mirror::asOf().
    time_point ProvenAsOf{}; ///< See store_mirror::provenAsOf().
  };

  /// Records that \p Version was read. \p Before are the times of the table
  /// without it.
  void record(const refused_version &Version, const times &Before,
              time_point Now);

  /// Records that the row is readable as of \p Row and holds version
  /// \p Number, while \p InForce is in force. A copy from which the store was
  /// restored settles nothing if it is older than what was refused.
  void settle(store_version Row, std::uint64_t Number, std::uint64_t InForce);

  /// Returns the refused version, or nothing if there is none.
  const std::optional<refused_version> &refused() const { return Refused; }

  /// Returns for how long the version in force has been superseded; zero if it
  /// is not.
  duration age(time_point Now) const {
    return Refused ? Now - Since : duration::zero();
  }

  /// Returns true if requests may be served by the version in force.
  bool mayServe(time_point Now) const {
    return !Refused || Now - Since < ServeTime;
  }

  /// Returns the times of the version in force if those of the table are
  /// \p Table.
  times timesInForce(const times &Table) const;

private:
  std::optional<refused_version> Refused;
  times LastInForce;
  time_point Since{};
};

} // namespace agatedale
