/// \file
/// Relays the replica of the store to peers with the heartbeats.
#pragma once

#include "agatedale/snapshot_limiter.h"
#include "agatedale/store_mirror.h"
#include "agatedale/update_pacer.h"

#include "gateway.pb.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace agatedale {

/// Adds to each heartbeat the changes of the store's tables that its receiver
/// lacks, and reads those that a peer has added. Large updates are compressed,
/// once for all receivers, and not repeated while they are on their way.
///
///   store_relay Relay = store_relay::create(LinkBytesPerSecond);
///   Relay.addUpdates(Message, Peer, Mirror, Now);
///   Relay.readUpdates(Message, Now, [&](const table_update &Update) { ... });
class store_relay {
public:
  /// \p LinkBytesPerSecond is the speed of this VM's link.
  static store_relay create(double LinkBytesPerSecond) {
    return store_relay(snapshot_limiter::create(LinkBytesPerSecond));
  }

  /// Adds the tables' positions and the updates that \p Peer lacks.
  void addUpdates(agatedale::gateway::Heartbeat &Message,
                  const std::string &Peer, const store_mirror &Mirror,
                  time_point Now);

  /// Records the sender's positions and passes its updates to \p OnUpdate. Only
  /// a reply proves a time: it was made after its request was, at
  /// \p RequestedAt. How long any other message was under way is not known.
  void
  readUpdates(const agatedale::gateway::Heartbeat &Message, time_point Now,
              const std::function<void(const table_update &Update)> &OnUpdate,
              std::optional<time_point> RequestedAt = std::nullopt);

private:
  /// The positions that a peer has reported. A peer of an older version reports
  /// no eras; it is taken to be in that of the replica.
  struct peer_positions {
    std::array<store_version, AllStoreTables.size()> Tables;
    bool HasEras = false;

    store_version of(store_table Table, const store_mirror &Mirror) const;
  };

  /// An update as it is sent to every peer of the same position.
  struct encoded_update {
    table_update Update; ///< Without rows.
    std::size_t Bytes = 0;
    agatedale::gateway::TableNews Rows;    ///< Only rows; few.
    agatedale::gateway::PackedNews Packed; ///< Only rows; many.
  };

  /// The encoded updates of one revision of a table, by the peers' position.
  struct table_cache {
    std::uint64_t Revision = 0;
    std::map<store_version, encoded_update> BySince;
  };

  explicit store_relay(const snapshot_limiter &Limiter)
      : SnapshotLimiter(Limiter) {}

  const encoded_update &encode(const store_mirror &Mirror, store_table Table,
                               store_version Since);

  std::map<std::string, peer_positions> PeerPositions;
  snapshot_limiter SnapshotLimiter;
  update_pacer Pacer;
  std::array<table_cache, AllStoreTables.size()> Cache;
};

} // namespace agatedale
