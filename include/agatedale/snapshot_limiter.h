/// \file
/// How fast whole copies of the store's tables are given to peers.
#pragma once

#include "agatedale/clock.h"

#include <chrono>
#include <map>
#include <string>

namespace agatedale {

/// Bounds the whole copies that a hub gives away. When a fleet starts, every VM
/// of a zone asks its hubs for one at the same moment, and asks again with each
/// heartbeat until it has arrived. Given to all at once they fill the link of a
/// small VM for seconds, and its heartbeats, waiting behind them, time out.
///
///   if (Copies.tryAcquire(Peer, Now)) addWholeCopy();
class snapshot_limiter {
public:
  /// A copy of 400 rows takes 0.1 MB; this many take 0.1 s of a 100 Mbit link.
  static constexpr std::size_t MaxPerInterval = 8;
  static constexpr duration Interval = std::chrono::milliseconds(250);

  /// A copy arrives in this time, or was lost.
  static constexpr duration DeliveryTimeout = std::chrono::seconds(1);

  /// Returns true if \p Peer may be given a copy now, and records that it was.
  bool tryAcquire(const std::string &Peer, time_point Now) {
    std::erase_if(RecentlySent, [Now](const auto &Copy) {
      return Now - Copy.second >= DeliveryTimeout;
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
