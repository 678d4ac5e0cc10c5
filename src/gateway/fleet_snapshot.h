/// \file
/// An immutable snapshot of the configuration and the fleet.
#pragma once

#include "agatedale/clock.h"
#include "agatedale/configuration.h"
#include "agatedale/rollout.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace agatedale {

/// A configuration together with the servers and zones known at that time. A
/// snapshot is never modified; it is replaced by a newer one.
struct fleet_snapshot {
  std::uint64_t Version = 0; ///< Version of the operators' configuration.
  std::shared_ptr<const configuration> Config;
  /// The orders of rollouts; empty without settings for them.
  std::vector<rollout_order> Rollouts;
  std::uint64_t StoreEra = 0; ///< Of the operators' table.
};

} // namespace agatedale
