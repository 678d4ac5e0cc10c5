/// \file
/// Repeats of the table updates that are relayed to peers.
#pragma once

#include "agatedale/store_mirror.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>

namespace agatedale {

/// Decides when an update of a table is sent to a peer again. An update is
/// repeated with each heartbeat until the peer confirms it, which costs little
/// for a few rows. A large update takes a slow link longer than the interval of
/// heartbeats: repeated with each of them, its copies fill the link and nothing
/// else gets through. Such an update is repeated only after a timeout that
/// doubles each time.
///
///   Pacer.recordPosition(Peer, Table, Position);
///   if (Pacer.maySend(Peer, Table, Now)) {
///     send(Update);
///     Pacer.onSent(Peer, Update, Bytes, Now);
///   }
class update_pacer {
public:
  /// An update of at most this size is repeated without delay.
  static constexpr std::size_t MaxSmallBytes = 4 * 1024;

  static constexpr duration InitialTimeout = std::chrono::seconds(1);
  static constexpr duration MaxTimeout = std::chrono::seconds(8);

  /// Records the position that \p Peer has reached in \p Table.
  void recordPosition(const std::string &Peer, store_table Table,
                      store_version Position) {
    const auto Found = InFlight.find({Peer, Table});
    if (Found == InFlight.end())
      return;
    // A position before the start of the update belongs to a restarted peer.
    const update &Update = Found->second;
    if (Position >= Update.Position || Position < Update.Since)
      InFlight.erase(Found);
  }

  /// Returns false while a large update of \p Table is on its way to \p Peer.
  bool maySend(const std::string &Peer, store_table Table,
               time_point Now) const {
    const auto Found = InFlight.find({Peer, Table});
    return Found == InFlight.end() ||
           Now - Found->second.SentAt >= Found->second.Timeout;
  }

  /// Records that an update with \p Bytes of rows was sent to \p Peer.
  void onSent(const std::string &Peer, const table_update &Update,
              std::size_t Bytes, time_point Now) {
    if (Bytes <= MaxSmallBytes)
      return;
    const auto [Found, IsFirst] = InFlight.try_emplace({Peer, Update.Table});
    update &Sent = Found->second;
    Sent.Timeout =
        IsFirst ? InitialTimeout : std::min(2 * Sent.Timeout, MaxTimeout);
    Sent.Since = Update.Since;
    Sent.Position = Update.Position;
    Sent.SentAt = Now;
  }

private:
  struct update {
    store_version Since;
    store_version Position;
    time_point SentAt{};
    duration Timeout{};
  };

  std::map<std::pair<std::string, store_table>, update> InFlight;
};

} // namespace agatedale
