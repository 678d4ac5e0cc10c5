/// \file
/// The configuration that is in force on a node.
#pragma once

#include "agatedale/clock.h"
#include "agatedale/configuration.h"

#include <cstdint>
#include <memory>
#include <string>

namespace agatedale {

/// One published version of the configuration.
struct published_configuration {
  std::uint64_t Version = 0;
  std::string ChangeId; ///< Of the publish that made it.
  std::string Operator;
  std::string Document;
};

/// Holds the newest version that this node has seen and never steps back. It
/// also tells whether the node may take new work: a node that has heard neither
/// the store nor a peer for the lease may be missing a newer version.
///
///   configuration_state State = configuration_state::create(Lease);
///   State.applyIfNewer(Published, Parsed);
///   State.onStoreResponse(StoreVersion, Now);
///   if (State.mayServe(Now)) ...
class configuration_state {
public:
  /// \p Lease is how long a node serves without hearing store or peer.
  static configuration_state create(duration Lease) {
    return configuration_state(Lease);
  }

  /// Takes \p Candidate into force if it is newer; false when it is not.
  bool applyIfNewer(const published_configuration &Candidate,
                    std::shared_ptr<const configuration> Parsed) {
    if (Candidate.Version <= Published.Version)
      return false;
    Published = Candidate;
    Current = std::move(Parsed);
    return true;
  }

  /// Records that the store answered and named \p StoreVersion as in force. A
  /// node that knows of a newer version and could not get it is as good as cut
  /// off.
  void onStoreResponse(std::uint64_t StoreVersion, time_point Now) {
    if (StoreVersion <= Published.Version)
      renewLease(Now);
  }

  /// Records that a peer answered. It counts only when the peer may serve
  /// itself and has the same version: two nodes that both lapsed must not keep
  /// each other going (spec/configuration.pml, mutant EXPIRED_PEER).
  void onPeerResponse(bool PeerMayServe, std::uint64_t PeerVersion,
                      time_point Now) {
    if (PeerMayServe && PeerVersion == Published.Version)
      renewLease(Now);
  }

  /// Returns true while the node has a configuration and is not cut off.
  bool mayServe(time_point Now) const {
    return Current && Now - LeaseRenewedAt < Lease;
  }

  std::uint64_t version() const { return Published.Version; }
  const published_configuration &published() const { return Published; }
  std::shared_ptr<const configuration> current() const { return Current; }

private:
  explicit configuration_state(duration Lease) : Lease(Lease) {}

  void renewLease(time_point Now) {
    LeaseRenewedAt = std::max(LeaseRenewedAt, Now);
  }

  duration Lease;
  published_configuration Published;
  std::shared_ptr<const configuration> Current;
  time_point LeaseRenewedAt{};
};

} // namespace agatedale
