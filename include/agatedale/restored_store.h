/// \file
/// What stays in force while a restored store gets its lost writes again.
#pragma once

#include "agatedale/clock.h"
#include "agatedale/configuration.h"
#include "agatedale/entry_vm.h"
#include "agatedale/outage_grace_period.h"
#include "agatedale/store_mirror.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace agatedale {

/// Detects that a table comes from a store that was restored since the last
/// look at it.
class era_watch {
public:
  /// Returns true if \p Era is later than the last one.
  bool advance(std::uint64_t Era) {
    const bool HasAdvanced = Last && Era > *Last;
    Last = Era;
    return HasAdvanced;
  }

private:
  std::optional<std::uint64_t> Last;
};

/// What a restored store shows of one row and is not followed for a while.
struct restored_row_correction {
  std::string_view What; ///< Zone, server or VM.
  std::string Name;
  std::string_view Why;
  duration AtMost{};
};

using restored_row_corrections = std::vector<restored_row_correction>;

/// Keeps zones drained whose rows the restored copy lacks, until operators have
/// written them again. Once the restored store has listed a zone, its row alone
/// decides.
///
///   std::set<std::string> Drained = Zones.update(Era, Listed, Now);
class restored_zones {
public:
  /// Time until operators have written again what the copy lacks.
  static constexpr duration HoldTime = std::chrono::seconds(3);

  /// Returns the drained zones, given those that the store lists in \p Era.
  std::set<std::string> update(std::uint64_t Era,
                               const std::set<std::string> &Listed,
                               time_point Now);

  /// Returns true if the hold has ended since the last update.
  bool isOver(time_point Now) const {
    return !Held.empty() && Now >= HeldUntil;
  }

  /// Returns the corrections since the last call.
  restored_row_corrections takeCorrections() {
    return std::exchange(Corrections, {});
  }

private:
  era_watch Watch;
  restored_row_corrections Corrections;
  std::set<std::string> Drained; ///< As returned last.
  std::set<std::string> Held;
  time_point HeldUntil{};
};

/// Corrects the list of backend servers after a restore. A row of the copy may
/// show a server as ready that has since begun to leave or was removed, or a
/// former start of it, and the copy lacks servers that registered later.
///
///   Servers = Restored.update(Era, Rows, Decoded, IsGracePeriod, Now);
class restored_servers {
public:
  using server_map = std::map<std::string, backend_server>;

  /// Running servers have registered again after this time.
  static constexpr duration MissingHold = outage_grace_period::Length;

  /// The store removes the row of a server that no longer runs after this many
  /// renewals that it has missed.
  static constexpr int MissedRenewals = 3;

  /// Added to that, until the removal has reached this VM.
  static constexpr duration DepartedMargin = std::chrono::milliseconds(3500);

  /// A restored copy is not older than this. Servers that have left earlier are
  /// not remembered.
  static constexpr duration DepartedMemory = std::chrono::seconds(60);
  static constexpr std::size_t MaxDeparted = 4096;

  /// Servers renew their rows at intervals of \p Renewal.
  explicit restored_servers(duration Renewal)
      : DepartedHold(MissedRenewals * Renewal + DepartedMargin) {}

  /// Returns for how long at most departed servers and former starts that the
  /// copy lists are not followed.
  duration departedHold() const { return DepartedHold; }

  /// Returns the servers to use, given the \p Rows that the store lists in
  /// \p Era and the servers decoded from them. In the grace period after an
  /// outage a row that is missing may have expired though the server runs.
  server_map update(std::uint64_t Era,
                    const std::map<std::string, stored_row> &Rows,
                    server_map Listed, bool IsGracePeriod, time_point Now);

  /// Returns true if a hold has ended since the last update.
  bool isOver(time_point Now) const {
    return (!Missing.empty() && Now >= MissingUntil) ||
           (Now >= SuspectsUntil && !(Suspects.empty() && Restarted.empty()));
  }

  /// Returns the corrections since the last call.
  restored_row_corrections takeCorrections() {
    return std::exchange(Corrections, {});
  }

private:
  /// A server that has begun to leave, or whose row was removed.
  struct departed_server {
    std::uint64_t Start = 0;
    bool IsRemoved = false;
    time_point At{};
  };

  /// A departed server that the restored copy lists as ready.
  struct suspect {
    store_version Version; ///< Of its row; a later one is the server's own.
    bool IsRemoved = false;
  };

  /// A server of which the restored copy lists a former start.
  struct restarted_server {
    store_version Version; ///< Of the row; a later one is the server's own.
    backend_server Server; ///< As known before the restore.
  };

  void onRestored(const std::map<std::string, stored_row> &Rows,
                  const server_map &Listed, time_point Now);
  void endHolds(const std::map<std::string, stored_row> &Rows,
                const server_map &Listed, time_point Now);
  void recordDepartures(const server_map &Listed, bool IsGracePeriod,
                        time_point Now);
  void forgetOldest(time_point Now);

  duration DepartedHold;
  era_watch Watch;
  restored_row_corrections Corrections;
  server_map Last; ///< As returned last.
  std::map<std::string, departed_server> Departed;
  /// Starts of the servers whose rows went in the grace period.
  std::map<std::string, std::uint64_t> Expired;
  std::map<std::string, suspect> Suspects;
  std::map<std::string, restarted_server> Restarted;
  time_point SuspectsUntil{}; ///< Also of Restarted.
  server_map Missing;
  time_point MissingUntil{};
};

/// Keeps entry VMs listed whose rows the restored copy lacks, until they have
/// written them again.
///
///   std::vector<entry_vm> Vms = Restored.update(Era, Listed, Now);
class restored_vms {
public:
  /// Time until the VMs have noticed the restore and written their rows.
  static constexpr duration HoldTime = std::chrono::seconds(5);

  /// \p Self is the name of this VM, which is never held: its missing row shows
  /// that it must be written.
  explicit restored_vms(std::string Self) : Self(std::move(Self)) {}

  /// Returns the VMs of the fleet, given those that the store lists in \p Era.
  std::vector<entry_vm>
  update(std::uint64_t Era, std::span<const entry_vm> Listed, time_point Now);

  /// Returns true if the hold has ended since the last update.
  bool isOver(time_point Now) const {
    return !Held.empty() && Now >= HeldUntil;
  }

  /// Returns the corrections since the last call.
  restored_row_corrections takeCorrections() {
    return std::exchange(Corrections, {});
  }

private:
  std::string Self;
  era_watch Watch;
  restored_row_corrections Corrections;
  std::map<std::string, entry_vm> Last; ///< As returned last.
  std::map<std::string, entry_vm> Held;
  time_point HeldUntil{};
};

/// Delays a VM that starts while the restored store still shows an older
/// configuration than the one that its peers have in force.
///
///   CatchUp.recordPeer(VersionInForce);
///   bool IsReady = CatchUp.isReached(OwnVersion, Now);
class configuration_catch_up {
public:
  /// A VM is not kept from serving for longer than this.
  static constexpr duration MaxWait = std::chrono::seconds(3);

  void recordPeer(std::uint64_t Version) {
    HighestOfPeers = std::max(HighestOfPeers, Version);
  }

  /// Returns true if \p Own is as new as the versions of the peers, or MaxWait
  /// has passed since the first call.
  bool isReached(std::uint64_t Own, time_point Now) {
    FirstAskedAt = FirstAskedAt.value_or(Now);
    return Own >= HighestOfPeers || Now - *FirstAskedAt >= MaxWait;
  }

private:
  std::uint64_t HighestOfPeers = 0;
  std::optional<time_point> FirstAskedAt;
};

} // namespace agatedale
