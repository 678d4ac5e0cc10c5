/// \file
/// A versioned replica of the store's tables, held and relayed by entry VMs.
#pragma once

#include "agatedale/clock.h"
#include "agatedale/store_version.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace agatedale {

/// The tables of the platform's store that an entry VM replicates, those that
/// only the deciders of rollouts use, and the one that starting VMs read.
enum class store_table {
  Operators, ///< Configuration and drained zones, written by operators.
  Servers,   ///< Backend servers; each server registers itself.
  Vms,       ///< Entry VMs; each VM registers itself.
  Rollouts,  ///< Stages of rollouts; not replicated.
  Status,    ///< Outcomes for the operators; not replicated.
  VmsBySize  ///< Entry VMs in the order in which they are hubs; not replicated.
};

/// The tables that are replicated.
inline constexpr std::array AllStoreTables{
    store_table::Operators, store_table::Servers, store_table::Vms};

/// A row of a store table, or a tombstone for a removed row.
struct stored_row {
  std::string Key;
  std::string Value;
  store_version Version;
  bool Removed = false;
};

/// The changes of one table between two store versions, or a snapshot of it.
struct table_update {
  store_table Table = store_table::Operators;
  store_version Since;     ///< Lists changes after this version.
  store_version Position;  ///< Lists changes up to this version.
  bool IsSnapshot = false; ///< Lists every row; all others do not exist.
  time_point AsOf{}; ///< The store was in this state at this time or later.
  std::vector<stored_row> Rows;
  /// As AsOf, but certain: it counts neither the wait of a long poll nor the
  /// transit of a message, which only AsOf may. Zero if nothing is certain.
  time_point ProvenAsOf{};
};

/// The local replica of the store's tables. For each table it keeps the version
/// up to which the table is complete and the latest time for which the store
/// confirmed that version. State never moves backwards: a row older than the
/// one held is ignored, whichever source it comes from. An update of an earlier
/// era is ignored as a whole; a snapshot of a later one replaces the table.
///
///   store_mirror Mirror;
///   if (Mirror.apply(Update) == apply_result::Changed) decode(Mirror);
///   peer.send(Mirror.updateSince(store_table::Servers, PeerPosition));
class store_mirror {
public:
  enum class apply_result { Unchanged, Changed, Gap };

  /// Merges an update from the store or from a peer. Returns Gap, and changes
  /// nothing, if the update starts after the position reached here or lists
  /// changes of a later era.
  apply_result apply(const table_update &Update);

  /// Records that the store's newest version was \p Newest at \p AsOf. Tables
  /// that are complete up to \p Newest become current as of \p AsOf. The proof
  /// is \p ProvenAsOf; it does not hold for a table that is newer than what the
  /// store says it has.
  void confirmUpTo(store_version Newest, time_point AsOf,
                   time_point ProvenAsOf = {});

  /// Returns the changes of \p Table after \p Position, or a snapshot if
  /// \p Position is unknown, of another era, or precedes the tombstones that
  /// are still kept.
  table_update updateSince(store_table Table, store_version Position) const;

  /// Returns the version up to which \p Table is complete; unknown before the
  /// first snapshot.
  store_version position(store_table Table) const {
    return tableState(Table).Position;
  }

  /// Returns the time as of which \p Table is current.
  time_point asOf(store_table Table) const { return tableState(Table).AsOf; }

  /// Returns the time as of which \p Table is proven to be current; zero if it
  /// is not. It is asOf() or earlier.
  time_point provenAsOf(store_table Table) const {
    return tableState(Table).ProvenAsOf;
  }

  /// Returns the time as of which all tables are current.
  time_point asOf() const;

  /// Returns true once a snapshot of every table has been applied.
  bool isComplete() const;

  /// Returns true if all tables are of the same era. They are not while the
  /// tables of a restored store are read one after the other.
  bool isOfOneEra() const;

  /// Returns a number that grows whenever rows or tombstones of \p Table
  /// change.
  std::uint64_t revision(store_table Table) const {
    return tableState(Table).Revision;
  }

  /// Returns the existing rows of \p Table by key.
  const std::map<std::string, stored_row> &rows(store_table Table) const {
    return tableState(Table).Rows;
  }

private:
  /// Tombstones kept per table for peers that lag. A peer that lags further
  /// gets a snapshot.
  static constexpr std::size_t MaxTombstones = 4096;

  struct table {
    store_version Position;
    std::uint64_t Revision = 0;
    /// Removals up to this version may have no tombstone any more.
    store_version TombstonesPrunedUpTo;
    time_point AsOf{};
    time_point ProvenAsOf{};
    std::map<std::string, stored_row> Rows;
    std::map<std::string, store_version> Tombstones;
  };

  const table &tableState(store_table Table) const {
    return Tables[static_cast<std::size_t>(Table)];
  }
  static bool isReplacedBy(const table &Table, const table_update &Update);
  static bool applyRow(table &Table, const stored_row &Row);
  static bool dropUnlisted(table &Table, const table_update &Update);
  static void pruneTombstones(table &Table);

  std::array<table, AllStoreTables.size()> Tables;
};

} // namespace agatedale
