/// \file
/// Merges rows of the store by version.
#include "agatedale/store_mirror.h"

#include <algorithm>
#include <set>

namespace agatedale {

bool store_mirror::applyRow(table &Table, const stored_row &Row) {
  const auto Known = Table.Rows.find(Row.Key);
  if (Known != Table.Rows.end() && Known->second.Version >= Row.Version)
    return false;
  const auto Tombstone = Table.Tombstones.find(Row.Key);
  if (Tombstone != Table.Tombstones.end() && Tombstone->second >= Row.Version)
    return false;
  ++Table.Revision;
  if (Row.Removed) {
    Table.Tombstones[Row.Key] = Row.Version;
    return Table.Rows.erase(Row.Key) > 0;
  }
  Table.Tombstones.erase(Row.Key);
  Table.Rows[Row.Key] = Row;
  return true;
}

bool store_mirror::dropUnlisted(table &Table, const table_update &Update) {
  std::set<std::string_view> Listed;
  for (const stored_row &Row : Update.Rows)
    Listed.insert(Row.Key);
  std::vector<std::string> Dropped;
  for (const auto &[Key, Row] : Table.Rows) {
    if (!Listed.contains(Key) && Row.Version <= Update.Position)
      Dropped.push_back(Key);
  }
  for (const std::string &Key : Dropped) {
    Table.Rows.erase(Key);
    Table.Tombstones[Key] = Update.Position;
    ++Table.Revision;
  }
  return !Dropped.empty();
}

void store_mirror::pruneTombstones(table &Table) {
  while (Table.Tombstones.size() > MaxTombstones) {
    const auto Oldest =
        std::min_element(Table.Tombstones.begin(), Table.Tombstones.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second < Right.second;
                         });
    Table.TombstonesPrunedUpTo =
        std::max(Table.TombstonesPrunedUpTo, Oldest->second);
    Table.Tombstones.erase(Oldest);
  }
}

/// Returns true if \p Update is the first snapshot, or that of a later era.
bool store_mirror::isReplacedBy(const table &Table,
                                const table_update &Update) {
  return !Table.Position.isKnown() || Update.Position.Era > Table.Position.Era;
}

store_mirror::apply_result store_mirror::apply(const table_update &Update) {
  table &Table = Tables[static_cast<std::size_t>(Update.Table)];
  if (Update.Position.Era < Table.Position.Era)
    return apply_result::Unchanged;
  const bool IsReplaced = isReplacedBy(Table, Update);
  const bool CrossesEras = Update.Since.Era != Update.Position.Era;
  if (!Update.IsSnapshot &&
      (IsReplaced || CrossesEras || Update.Since > Table.Position))
    return apply_result::Gap;
  // The numbers of another era have no order with those of the update.
  if (IsReplaced) {
    Table.Tombstones.clear();
    ++Table.Revision;
  }
  bool Changed = IsReplaced;
  for (const stored_row &Row : Update.Rows)
    Changed = applyRow(Table, Row) || Changed;
  if (Update.IsSnapshot) {
    Changed = dropUnlisted(Table, Update) || Changed;
    if (IsReplaced)
      Table.TombstonesPrunedUpTo = Update.Position;
  }
  pruneTombstones(Table);
  // A source that is older than this table has not seen all of its changes.
  if (Update.Position >= Table.Position)
    Table.ProvenAsOf = std::max(Table.ProvenAsOf, Update.ProvenAsOf);
  Table.Position = std::max(Table.Position, Update.Position);
  Table.AsOf = std::max(Table.AsOf, Update.AsOf);
  return Changed ? apply_result::Changed : apply_result::Unchanged;
}

void store_mirror::confirmUpTo(store_version Newest, time_point AsOf,
                               time_point ProvenAsOf) {
  for (table &Table : Tables) {
    if (Table.Position.Era == Newest.Era && Table.Position >= Newest)
      Table.AsOf = std::max(Table.AsOf, AsOf);
    if (Table.Position == Newest)
      Table.ProvenAsOf = std::max(Table.ProvenAsOf, ProvenAsOf);
  }
}

table_update store_mirror::updateSince(store_table Which,
                                       store_version Position) const {
  const table &Table = tableState(Which);
  table_update Update;
  Update.Table = Which;
  Update.Since = Position;
  Update.Position = Table.Position;
  Update.AsOf = Table.AsOf;
  Update.ProvenAsOf = Table.ProvenAsOf;
  Update.IsSnapshot = !Position.isKnown() ||
                      Position.Era != Table.Position.Era ||
                      Position < Table.TombstonesPrunedUpTo;
  for (const auto &[Key, Row] : Table.Rows) {
    if (Update.IsSnapshot || Row.Version > Position)
      Update.Rows.push_back(Row);
  }
  if (Update.IsSnapshot)
    return Update;
  for (const auto &[Key, Version] : Table.Tombstones) {
    if (Version > Position)
      Update.Rows.push_back({Key, "", Version, true});
  }
  return Update;
}

time_point store_mirror::asOf() const {
  time_point Oldest = time_point::max();
  for (const table &Table : Tables)
    Oldest = std::min(Oldest, Table.AsOf);
  return Oldest;
}

bool store_mirror::isOfOneEra() const {
  return std::all_of(Tables.begin(), Tables.end(), [this](const table &Table) {
    return Table.Position.Era == Tables.front().Position.Era;
  });
}

bool store_mirror::isComplete() const {
  return std::all_of(Tables.begin(), Tables.end(), [](const table &Table) {
    return Table.Position.isKnown();
  });
}

} // namespace agatedale
