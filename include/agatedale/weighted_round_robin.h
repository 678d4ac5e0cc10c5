/// \file
/// Distributes requests over services by weight.
#pragma once

#include "agatedale/configuration.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>

namespace agatedale {

/// Smooth weighted round robin over the services of a split: every run of
/// consecutive requests is divided in proportion to the weights. The load of a
/// service is ignored, and requests that exceed its capacity are refused rather
/// than moved to another service, so that the split stays as configured.
///
///   const std::string &Service = RoundRobin.next(Route.Split);
class weighted_round_robin {
public:
  /// Returns the service for the next request. \p Split must not be empty.
  const std::string &next(std::span<const weighted_service> Split) {
    double Total = 0;
    const weighted_service *Best = &Split.front();
    for (const weighted_service &Part : Split) {
      Total += Part.Weight;
      Credits[Part.Service] += Part.Weight;
      if (Credits[Part.Service] > Credits[Best->Service])
        Best = &Part;
    }
    Credits[Best->Service] -= Total;
    return Best->Service;
  }

private:
  std::map<std::string, double> Credits;
};

} // namespace agatedale
