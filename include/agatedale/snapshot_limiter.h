/// \file
/// Rate limit for the snapshots of the store's tables that are sent to peers.
#pragma once

#include "agatedale/clock.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace agatedale {

/// Limits the snapshots that a hub sends to a share of its link. When a fleet
/// starts, every VM of a zone requests a snapshot from its hubs at the same
/// moment, and again with each heartbeat until one arrives. Sent to all of them
/// at once, the snapshots saturate the link of a small VM for seconds, and the
/// heartbeats queued behind them time out.
///
///   auto Limiter = snapshot_limiter::create(Settings.LinkBytesPerSecond);
///   if (Limiter.tryAcquire(Peer, Bytes, Now)) addSnapshot();
class snapshot_limiter {
public:
  static constexpr duration Interval = std::chrono::milliseconds(250);

  /// Share of the link that snapshots may take in an interval.
  static constexpr double LinkShare = 0.25;

  /// A snapshot that has not arrived after this time counts as lost.
  static constexpr duration DeliveryTimeout = std::chrono::seconds(1);

  /// Snapshots that a hub of a large zone sends in an interval.
  static constexpr std::size_t UsualPerInterval = 24;

  static snapshot_limiter create(double LinkBytesPerSecond) {
    return snapshot_limiter(LinkShare * LinkBytesPerSecond *
                            std::chrono::duration<double>(Interval).count());
  }

  /// Returns the time in which a hub sends its snapshot to \p Vms VMs.
  static constexpr duration timeFor(std::size_t Vms) {
    return Interval * static_cast<int>(Vms / UsualPerInterval);
  }

  /// Returns true, and records the send, if a snapshot of \p Bytes may be sent
  /// to \p Peer now. A snapshot that exceeds the limit by itself is sent alone.
  bool tryAcquire(const std::string &Peer, std::size_t Bytes, time_point Now) {
    std::erase_if(Sent, [Now](const auto &Entry) {
      return Now - Entry.second.At >= DeliveryTimeout;
    });
    double RecentBytes = 0;
    for (const auto &[Name, Snapshot] : Sent)
      RecentBytes += Now - Snapshot.At < Interval ? Snapshot.Bytes : 0;
    const double Size = static_cast<double>(Bytes);
    const bool Fits =
        RecentBytes <= 0 || RecentBytes + Size <= BytesPerInterval;
    if (Sent.contains(Peer) || !Fits)
      return false;
    Sent.emplace(Peer, snapshot{Now, Size});
    return true;
  }

private:
  struct snapshot {
    time_point At{};
    double Bytes = 0;
  };

  explicit snapshot_limiter(double BytesPerInterval)
      : BytesPerInterval(BytesPerInterval) {}

  double BytesPerInterval;
  std::map<std::string, snapshot> Sent;
};

} // namespace agatedale
