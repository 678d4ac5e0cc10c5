/// \file
/// A version of the configuration that was read and cannot be applied.
#pragma once

#include "agatedale/clock.h"
#include "agatedale/store_version.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace agatedale {

/// Remembers that the store holds a later version of the configuration than the
/// one in force, which this VM cannot apply. It does not know which routes,
/// services, limits and keys that version withdraws. So what is in force is no
/// longer proven, serves for a short time only, and refuses nothing for good.
///
///   auto Superseded = superseded_configuration::create(ApplyBound);
///   Superseded.record({Row.Version, Number}, InForce, TimesBefore, Now);
///   if (!Superseded.mayServe(Now)) refuse(Request);
class superseded_configuration {
public:
  /// Share of the bound within which a version must be in force for which the
  /// former one still serves, so that a correction that follows at once costs
  /// no request. The rest is for the way of a version to every VM.
  static constexpr int ServeDivisor = 4;

  static superseded_configuration create(std::chrono::milliseconds ApplyBound) {
    return superseded_configuration(ApplyBound / ServeDivisor);
  }

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

  /// Records that \p Version was read while \p InForce is in force; nothing if
  /// there is none. \p Before are the times of the table without it. Returns
  /// false if it is an older version, which supersedes nothing.
  bool record(const refused_version &Version,
              std::optional<std::uint64_t> InForce, const times &Before,
              time_point Now);

  /// Records that the version \p Number of \p Row can be applied, while
  /// \p InForce is in force. A copy from which the store was restored settles
  /// nothing if it is older than what was refused.
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
  explicit superseded_configuration(duration ServeTime)
      : ServeTime(ServeTime) {}

  duration ServeTime;
  std::optional<refused_version> Refused;
  times LastInForce;
  time_point Since{};
};

} // namespace agatedale
