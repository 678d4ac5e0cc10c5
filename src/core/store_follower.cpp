/// \file
/// Order and pacing of store reads.
#include "agatedale/store_follower.h"

#include <algorithm>

namespace agatedale {

std::optional<store_read>
store_follower::next(const store_mirror &Mirror, int Rank, time_point Now,
                     std::optional<duration> SnapshotTime) {
  LastRank = Rank;
  if (Now < BackoffUntil)
    return std::nullopt;
  FirstPollAt = FirstPollAt.value_or(Now);
  const bool AwaitsInitialSnapshot =
      Rank > 0 && SnapshotTime &&
      Now - *FirstPollAt < Settings.InitialSnapshotTimeout + *SnapshotTime +
                               std::min(Rank, Settings.MaxBackoffRank) *
                                   Settings.ExtraAgePerRank;
  // The hubs of the zone come first: they can send all tables. A fleet that
  // starts would take a link between regions for seconds if every VM read the
  // whole list.
  if (!Mirror.position(store_table::Vms).isKnown()) {
    if (!IsZoneKnown && !HubsKnownAt)
      return store_read{
          .Table = store_table::Vms, .IsOwnZoneOnly = true, .IsHubsOnly = true};
    if (!IsZoneKnown && isZoneDue(AwaitsInitialSnapshot, SnapshotTime, Now))
      return store_read{.Table = store_table::Vms, .IsOwnZoneOnly = true};
    // The rank of a VM other than a hub is not known before its zone.
    if (!IsZoneKnown && SnapshotTime)
      return std::nullopt;
    if (AwaitsInitialSnapshot)
      return std::nullopt;
    return store_read{.Table = store_table::Vms, .IsSnapshot = true};
  }
  store_version Newest;
  for (const store_table Table : AllStoreTables) {
    const bool NeverRead = !Mirror.position(Table).isKnown();
    if (NeverRead && AwaitsInitialSnapshot)
      return std::nullopt;
    if (NeverRead || NeedsSnapshot.contains(Table))
      return store_read{.Table = Table, .IsSnapshot = true};
    Newest = std::max(Newest, Mirror.position(Table));
  }
  const duration MaxAge =
      Settings.MaxRelayedAge + Rank * Settings.ExtraAgePerRank;
  if (Rank > 0 && Now - Mirror.asOf() < MaxAge &&
      !isProofOld(Mirror, Rank, Now))
    return std::nullopt;
  for (const store_table Table : AllStoreTables) {
    const store_version Position = Mirror.position(Table);
    if (Position.Era < Newest.Era)
      return store_read{.Table = Table, .IsSnapshot = true};
    if (Position < Newest)
      return store_read{.Table = Table, .After = Position};
  }
  // Only the reader long-polls; other VMs need just the current version.
  const auto Wait =
      Rank == 0 ? Settings.LongPollWait : std::chrono::milliseconds(0);
  return store_read{.Table = store_table::Operators,
                    .After = Mirror.position(store_table::Operators),
                    .Wait = Wait};
}

/// Returns true if the rows of the whole zone are to be read: the hubs do not
/// send the tables in time, or may all be gone.
bool store_follower::isZoneDue(bool AwaitsInitialSnapshot,
                               std::optional<duration> SnapshotTime,
                               time_point Now) const {
  if (*HubsKnownAt == time_point{})
    return true;
  if (!SnapshotTime)
    return false; // This VM reads the tables now.
  if (!AwaitsInitialSnapshot)
    return true;
  if (!IsPeerHeard && Now - *HubsKnownAt >= Settings.SilentHubsTimeout)
    return true;
  return Now - *FirstPollAt >= Settings.InitialSnapshotTimeout + *SnapshotTime;
}

bool store_follower::isProofOld(const store_mirror &Mirror, int Rank,
                                time_point Now) const {
  if (!Settings.MaxProofAge)
    return false;
  const duration MaxAge =
      *Settings.MaxProofAge +
      std::min(Rank, Settings.MaxBackoffRank) * Settings.ExtraProofAgePerRank;
  return Now - Mirror.provenAsOf(store_table::Operators) >= MaxAge;
}

void store_follower::onAnswer(store_table Table, bool IsSnapshot) {
  Failures = 0;
  BackoffUntil = time_point{};
  if (IsSnapshot)
    NeedsSnapshot.erase(Table);
  else
    Truncations = 0;
}

void store_follower::onHistoryTruncated(store_table Table, time_point Now) {
  NeedsSnapshot.insert(Table);
  if (Truncations++ == 0)
    return;
  Failures = std::max(Failures, Truncations - 2);
  onFailure(Now);
}

void store_follower::onFailure(time_point Now) {
  constexpr int MaxDoublings = 4;
  const int Doublings = std::min(Failures++, MaxDoublings);
  const int Factor =
      std::clamp(LastRank - Settings.HubRanks + 1, 1, Settings.MaxBackoffRank);
  BackoffUntil =
      Now + Factor * std::min(Settings.InitialBackoff * (1 << Doublings),
                              Settings.MaxBackoff);
}

} // namespace agatedale
