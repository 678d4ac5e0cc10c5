/// \file
/// Scheduling of an entry VM's reads of the store.
#pragma once

#include "agatedale/store_mirror.h"

#include <chrono>
#include <optional>
#include <set>

namespace agatedale {

/// Intervals and limits of a store_follower.
struct store_follower_settings {
  /// Wait time of the long polls of a region's reader. The store answers at
  /// once when there is a change, and after this time when there is none.
  std::chrono::milliseconds LongPollWait{700};
  /// A VM whose replica is older than this reads the store itself. A healthy
  /// reader keeps replicas younger than one long poll plus one heartbeat.
  duration MaxRelayedAge = std::chrono::milliseconds(1150);
  /// Added to MaxRelayedAge for each rank. It is the time in which what a VM
  /// has read reaches the next one, so that while the reader and the hubs are
  /// cut from the store one VM of a zone reads and not all of them.
  duration ExtraAgePerRank = std::chrono::milliseconds(120);
  /// A starting VM waits this long for a hub's first snapshot before it reads
  /// the store itself.
  duration InitialSnapshotTimeout = std::chrono::milliseconds(700);
  /// A starting VM that has heard no VM of its region for this long reads the
  /// rows of its whole zone: the hubs may have been replaced. It is known which
  /// VMs come next when the hubs count as failed.
  duration SilentHubsTimeout = std::chrono::milliseconds(400);
  /// Pause after a failed read; doubles with each failure up to MaxBackoff. VMs
  /// that rank after HubRanks pause longer by their rank, so that an outage of
  /// the store does not make a whole fleet call it.
  duration InitialBackoff = std::chrono::milliseconds(150);
  duration MaxBackoff = std::chrono::milliseconds(600);
  /// If set, a VM whose operators' table is proven only for an earlier time
  /// reads the store itself. The spread by rank, up to MaxBackoffRank, lets one
  /// VM's read serve the others.
  std::optional<duration> MaxProofAge;
  duration ExtraProofAgePerRank{};
  int HubRanks = 2;
  int MaxBackoffRank = 16;
};

/// A read of one table: a snapshot, or the changes after a version.
struct store_read {
  store_table Table = store_table::Operators;
  bool IsSnapshot = false;
  bool IsOwnZoneOnly = false; ///< Only the rows of the VMs of the own zone.
  bool IsHubsOnly = false;    ///< Of these only those that come first as hubs.
  store_version After{};
  std::chrono::milliseconds Wait{0};
};

/// Decides when this VM reads the store. One VM of a region reads it and relays
/// the changes; any other VM reads it only when its relayed replica is too old.
/// The store numbers the changes of all tables in one sequence, so an answer
/// about one table also confirms every table that is complete up to the same
/// version. When the store has been restored from a copy, every table is read
/// as a snapshot again.
///
///   if (const auto Read = Follower.next(Mirror, Rank, Now)) carryOut(*Read);
class store_follower {
public:
  explicit store_follower(const store_follower_settings &Settings)
      : Settings(Settings) {}

  /// Returns the read that is due at \p Now, if any. \p Rank is 0 for the
  /// region's reader. \p SnapshotTime is the time that the hubs need to send
  /// their snapshot to all VMs of the zone; nothing for a hub, which reads the
  /// first snapshot itself so that the others wait for no chain of VMs.
  std::optional<store_read>
  next(const store_mirror &Mirror, int Rank, time_point Now,
       std::optional<duration> SnapshotTime = duration::zero());

  /// Records that the VMs of the own zone have been read.
  void onZoneRead() {
    Failures = 0;
    IsZoneKnown = true;
  }

  /// Records that the first VMs of the own zone have been read. \p IsAny is
  /// false if none is listed as such, as after an update from a version without
  /// that list; then the whole zone is read next.
  void onHubsRead(bool IsAny, time_point Now) {
    Failures = IsAny ? 0 : Failures;
    HubsKnownAt = IsAny ? Now : time_point{};
  }

  /// Records that a VM of the region was heard.
  void onPeerHeard() { IsPeerHeard = true; }

  /// Returns when the first VMs of the zone were read; nothing before.
  std::optional<time_point> hubsKnownAt() const { return HubsKnownAt; }

  /// Records a successful answer, an answer that the requested history has been
  /// truncated, or a failed read. A truncation that follows another one without
  /// a list of changes in between counts as a failure.
  void onAnswer(store_table Table, bool IsSnapshot);
  void onHistoryTruncated(store_table Table, time_point Now);
  void onFailure(time_point Now);

private:
  bool isZoneDue(bool AwaitsInitialSnapshot,
                 std::optional<duration> SnapshotTime, time_point Now) const;
  bool isProofOld(const store_mirror &Mirror, int Rank, time_point Now) const;

  store_follower_settings Settings;
  std::set<store_table> NeedsSnapshot;
  bool IsZoneKnown = false;
  bool IsPeerHeard = false;
  std::optional<time_point> HubsKnownAt; ///< Zero if none are listed.
  std::optional<time_point> FirstPollAt;
  int LastRank = 0;
  int Failures = 0;
  int Truncations = 0; ///< Since the last list of changes.
  time_point BackoffUntil{};
};

} // namespace agatedale
