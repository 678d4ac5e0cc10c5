/// \file
/// Distributes requests over services by weight.
#pragma once

#include "agatedale/configuration.h"

#include <cstddef>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace agatedale {

/// Weighted round robin over the services of a split: every run of consecutive
/// requests is divided in proportion to the weights. The load of a service is
/// ignored, and requests that exceed its capacity are refused rather than moved
/// to another service, so that the split stays as configured.
///
/// Each service but the last takes its share of the requests that those before
/// it leave, and keeps how far it is towards its next request. Where it begins
/// is random, so that splits on many VMs share by the weights together, however
/// few requests each of them gets. No weight is kept: a change of weights or
/// services applies to the next request, and nothing is owed to a service from
/// before.
///
///   const std::string &Service = RoundRobin.next(Route.Split, Random);
class weighted_round_robin {
public:
  /// Returns the service for the next request, the first one if none has a
  /// weight. \p Split must not be empty.
  template <std::uniform_random_bit_generator Generator>
  const std::string &next(std::span<const weighted_service> Split,
                          Generator &Random) {
    double Left = 0;
    std::size_t Last = 0; // That has a weight.
    for (std::size_t I = 0; I < Split.size(); ++I) {
      Left += Split[I].Weight;
      Last = Split[I].Weight > 0 ? I : Last;
    }
    addPositions(Last, Random);
    for (std::size_t I = 0; I < Last; ++I) {
      if (Split[I].Weight <= 0)
        continue;
      double &Position = Positions[I];
      Position += Split[I].Weight / Left;
      if (Position >= 1) {
        Position -= 1;
        return Split[I].Service;
      }
      Left -= Split[I].Weight;
    }
    return Split[Last].Service;
  }

private:
  template <std::uniform_random_bit_generator Generator>
  void addPositions(std::size_t Count, Generator &Random) {
    std::uniform_real_distribution<double> Start(0, 1);
    while (Positions.size() < Count)
      Positions.push_back(Start(Random));
  }

  /// Of each service but the last, in [0, 1); it is chosen when it reaches 1.
  std::vector<double> Positions;
};

} // namespace agatedale
