/// \file
/// Counters of the bytes between entry VMs.
#pragma once

#include "agatedale/entry_vm.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace agatedale {

/// How far a peer is away, which decides what traffic to it costs.
enum class peer_distance { SameZone, SameRegion, OtherRegion };

inline constexpr std::array AllPeerDistances{peer_distance::SameZone,
                                             peer_distance::SameRegion,
                                             peer_distance::OtherRegion};

/// Returns the value of a metric's label for \p Distance.
constexpr std::string_view distanceName(peer_distance Distance) {
  switch (Distance) {
  case peer_distance::SameZone:
    return "zone";
  case peer_distance::SameRegion:
    return "region";
  case peer_distance::OtherRegion:
    break;
  }
  return "other-region";
}

/// Counts messages and bytes of the calls to peers by kind and distance. Each
/// call and its reply are counted by the VM that calls.
class peer_traffic {
public:
  static constexpr std::size_t MaxKinds = 16;

  struct sum {
    std::uint64_t Messages = 0;
    std::uint64_t Bytes = 0;
  };

  /// Returns the distance between two VMs.
  static peer_distance distance(const entry_vm &From, const entry_vm &To) {
    if (From.Region != To.Region)
      return peer_distance::OtherRegion;
    return From.Zone == To.Zone ? peer_distance::SameZone
                                : peer_distance::SameRegion;
  }

  void record(std::size_t Kind, peer_distance Distance, std::size_t Bytes) {
    if (Kind >= MaxKinds)
      return;
    sum &Sum = Sums[Kind][static_cast<std::size_t>(Distance)];
    ++Sum.Messages;
    Sum.Bytes += Bytes;
  }

  const sum &of(std::size_t Kind, peer_distance Distance) const {
    return Sums.at(Kind)[static_cast<std::size_t>(Distance)];
  }

private:
  std::array<std::array<sum, AllPeerDistances.size()>, MaxKinds> Sums{};
};

} // namespace agatedale
