/// \file
/// Faults of services, routes and accounts, by their names.
#include "agatedale/configuration_faults.h"
#include "agatedale/account_directory.h"

#include <fmt/format.h>

#include <algorithm>

namespace agatedale {

namespace {

void addFaults(const route &Route, const configuration &Config,
               std::vector<std::string> &Faults) {
  if (!Route.Fault.empty()) {
    Faults.push_back(fmt::format("route '{}': {}", Route.Name, Route.Fault));
    return;
  }
  for (const weighted_service &Part : Route.Split) {
    if (!Config.services().contains(Part.Service))
      Faults.push_back(fmt::format("route '{}': service '{}' does not exist",
                                   Route.Name, Part.Service));
  }
  for (const std::string &Region : Route.Homes) {
    if (!Config.isRegionKnown(Region))
      Faults.push_back(fmt::format("route '{}': no zone is in region '{}'",
                                   Route.Name, Region));
  }
}

} // namespace

std::vector<std::string> findFaults(const configuration &Config) {
  std::vector<std::string> Faults = Config.directory().faults();
  for (const auto &[Region, Account] : Config.directory().regions()) {
    if (!Config.isRegionKnown(Region))
      Faults.push_back(fmt::format("account '{}': no zone is in region '{}'",
                                   Account, Region));
  }
  for (const auto &[Name, Service] : Config.services()) {
    if (!Service.Fault.empty())
      Faults.push_back(fmt::format("service '{}': {}", Name, Service.Fault));
  }
  for (const route &Route : Config.routes())
    addFaults(Route, Config, Faults);
  if (!Config.callersFault().empty())
    Faults.push_back(
        fmt::format("limits of callers: {}", Config.callersFault()));
  return Faults;
}

refusal_reason reasonNotToPlace(const configuration &Config,
                                const std::string &Service,
                                std::span<const std::string> Homes) {
  if (!Config.faultOfService(Service).empty())
    return refusal_reason::RouteUnusable;
  const bool HasKnownHome =
      Homes.empty() ||
      std::any_of(Homes.begin(), Homes.end(), [&](const std::string &Region) {
        return Config.isRegionKnown(Region);
      });
  return HasKnownHome ? refusal_reason::None : refusal_reason::RegionUnknown;
}

} // namespace agatedale
