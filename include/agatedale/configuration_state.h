/// \file
/// The active configuration of a node.
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
  std::string ChangeId; ///< Identifies the publish operation.
  std::string Operator;
  std::string Document;
};

/// Keeps the newest configuration version that this node received; the version
/// never decreases. The configuration lease decides whether the node may serve
/// requests: without contact to the store or to an up-to-date peer for the
/// length of the lease, the node may have missed a newer version.
///
///   configuration_state State = configuration_state::create(Lease);
///   State.applyIfNewer(Published, Parsed);
///   State.onStoreResponse(StoreVersion, Now);
///   if (State.mayServe(Now)) ...
class configuration_state {
public:
  /// \p Lease is the time that a node serves without contact to store or peers.
  static configuration_state create(duration Lease) {
    return configuration_state(Lease);
  }

  /// Activates \p Candidate if its version is newer than the active one.
  /// Returns false otherwise.
  bool applyIfNewer(const published_configuration &Candidate,
                    std::shared_ptr<const configuration> Parsed) {
    if (Candidate.Version <= Published.Version)
      return false;
    Published = Candidate;
    Current = std::move(Parsed);
    return true;
  }

  /// Renews the lease after a response of the store that names \p StoreVersion
  /// as the published version. The lease is not renewed if that version is
  /// newer than the active one, because the node then serves an outdated
  /// version.
  void onStoreResponse(std::uint64_t StoreVersion, time_point Now) {
    if (StoreVersion <= Published.Version)
      renewLease(Now);
  }

  /// Renews the lease after a response of a peer, provided that the peer may
  /// serve and has the same version. Otherwise two nodes with expired leases
  /// could renew each other (spec/configuration.pml, mutant EXPIRED_PEER).
  void onPeerResponse(bool PeerMayServe, std::uint64_t PeerVersion,
                      time_point Now) {
    if (PeerMayServe && PeerVersion == Published.Version)
      renewLease(Now);
  }

  /// Returns true while the node has a configuration and a valid lease.
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
