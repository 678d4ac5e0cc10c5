/// \file
/// A copy of the store's tables that entry VMs keep and pass on.
#pragma once

#include "agatedale/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace agatedale {

/// The tables of the platform's store that an entry VM follows.
enum class store_table {
  Operators, ///< Configuration and zones taken out, by the operators.
  Servers,   ///< Backend servers, by themselves.
  Vms        ///< Entry VMs, by themselves.
};

inline constexpr std::array AllStoreTables{
    store_table::Operators, store_table::Servers, store_table::Vms};

/// A row as the store holds it, or the mark that it was removed.
struct stored_row {
  std::string Key;
  std::string Value;
  std::uint64_t Version = 0;
  bool Removed = false;
};

/// Rows of one table that changed between two versions of the store.
struct table_update {
  store_table Table = store_table::Operators;
  std::uint64_t Since = 0;    ///< Changes after this version are listed.
  std::uint64_t Position = 0; ///< Changes up to this version are listed.
  bool IsSnapshot = false;    ///< All rows are listed; others do not exist.
  time_point AsOf{};          ///< The store held this no earlier than then.
  std::vector<stored_row> Rows;
};

/// The tables as this process knows them, with the version that each is
/// complete up to and the time at which the store vouched for it. It never goes
/// back: an older version of a row is ignored, whoever tells it.
///
///   store_mirror Mirror;
///   if (Mirror.apply(Update) == apply_result::Changed) decode(Mirror);
///   peer.send(Mirror.updateSince(store_table::Servers, PeerPosition));
class store_mirror {
public:
  enum class apply_result { Unchanged, Changed, Gap };

  /// Takes in news from the store or a peer. Update that begin after the
  /// position reached here would leave a gap and are refused.
  apply_result apply(const table_update &Update);

  /// Records that the store's newest version was \p Newest at \p AsOf: tables
  /// that are complete up to it are as new as that.
  void confirmUpTo(std::uint64_t Newest, time_point AsOf);

  /// Returns what changed in \p Table after \p Position; all rows when that
  /// is not known any more.
  table_update updateSince(store_table Table, std::uint64_t Position) const;

  /// Returns the version up to which \p Table is complete; 0 before the first
  /// whole read.
  std::uint64_t position(store_table Table) const {
    return tableState(Table).Position;
  }

  /// Returns when the store is known to have vouched for \p Table.
  time_point asOf(store_table Table) const { return tableState(Table).AsOf; }

  /// Returns the oldest of the tables' times.
  time_point asOf() const;

  /// Returns true once every table was read.
  bool isComplete() const;

  /// Returns the rows of \p Table that exist, by key.
  const std::map<std::string, stored_row> &rows(store_table Table) const {
    return tableState(Table).Rows;
  }

private:
  /// Removed rows that are remembered, for peers that are behind.
  static constexpr std::size_t MaxTombstones = 4096;

  struct table {
    std::uint64_t Position = 0;
    std::uint64_t TombstonesPrunedUpTo =
        0; ///< Removals up to here are not known.
    time_point AsOf{};
    std::map<std::string, stored_row> Rows;
    std::map<std::string, std::uint64_t> Tombstones;
  };

  const table &tableState(store_table Table) const {
    return Tables[static_cast<std::size_t>(Table)];
  }
  static bool applyRow(table &Table, const stored_row &Row);
  static bool dropUnlisted(table &Table, const table_update &Update);
  static void pruneTombstones(table &Table);

  std::array<table, AllStoreTables.size()> Tables;
};

} // namespace agatedale
