/// \file
/// Rate limit for the snapshots of the store's tables that are sent to peers.
#pragma once

#include "agatedale/clock.h"

#include <chrono>
#include <map>
#include <string>

namespace agatedale {

/// Limits the snapshots that a hub sends. When a fleet starts, every VM of a
/// zone requests a snapshot from its hubs at the same moment, and again with
/// each heartbeat until one arrives. Sent to all of them at once, the snapshots
/// saturate the link of a small VM for seconds, and the heartbeats queued
/// behind them time out.
///
///   if (Limiter.tryAcquire(Peer, Now)) addSnapshot();
class snapshot_limiter {
public:
  /// A snapshot of 400 rows has 0.1 MB; this many occupy a 100 Mbit/s link for
  /// 0.1 s.
  static constexpr std::size_t MaxPerInterval = 8;
  static constexpr duration Interval = std::chrono::milliseconds(250);

  /// A snapshot that has not arrived after this time counts as lost.
  static constexpr duration DeliveryTimeout = std::chrono::seconds(1);

  /// Returns the time in which a hub sends its snapshot to \p Vms VMs.
  static constexpr duration timeFor(std::size_t Vms) {
    return Interval * static_cast<int>(Vms / MaxPerInterval);
  }

  /// Returns true, and records the send, if a snapshot may be sent to \p Peer
  /// now.
  bool tryAcquire(const std::string &Peer, time_point Now) {
    std::erase_if(RecentlySent, [Now](const auto &Entry) {
      return Now - Entry.second >= DeliveryTimeout;
    });
    std::size_t Recent = 0;
    for (const auto &[Name, At] : RecentlySent)
      Recent += Now - At < Interval ? 1 : 0;
    if (RecentlySent.contains(Peer) || Recent >= MaxPerInterval)
      return false;
    RecentlySent.emplace(Peer, Now);
    return true;
  }

private:
  std::map<std::string, time_point> RecentlySent;
};

} // namespace agatedale
