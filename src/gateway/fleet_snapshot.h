/// \file
/// What a gateway knows of the world at one moment.
#pragma once

#include "agatedale/clock.h"
#include "agatedale/configuration.h"

#include <cstdint>
#include <memory>

namespace agatedale {

/// A configuration with the servers and zones that were known with it. It never
/// changes; a newer view takes its place.
struct fleet_snapshot {
  std::uint64_t Version = 0; ///< Of the operators' configuration.
  std::shared_ptr<const configuration> Config;
};

} // namespace agatedale
