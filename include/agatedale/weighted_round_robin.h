/// \file
/// Shares requests between services by weight.
#pragma once

#include "agatedale/configuration.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>

namespace agatedale {

/// Gives each service of a split its turn, so that any row of requests is
/// divided as the weights say (smooth weighted round robin). It does not look
/// at how full a service is: what does not fit is refused and not moved, so
/// that a split stays what the operator asked for.
///
///   const std::string &Service = Turns.next(Route.Split);
class weighted_round_robin {
public:
  /// \p Split must not be empty.
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
