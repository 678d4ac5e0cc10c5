/// \file
/// Merging of rows by their versions.
#include "agatedale/store_mirror.h"

#include <algorithm>
#include <set>

namespace agatedale {

bool store_mirror::applyRow(table &Table, const stored_row &Row) {
  const auto Known = Table.Rows.find(Row.Key);
  if (Known != Table.Rows.end() && Known->second.Version >= Row.Version)
    return false;
  const auto Removed = Table.Removed.find(Row.Key);
  if (Removed != Table.Removed.end() && Removed->second >= Row.Version)
    return false;
  if (Row.Removed) {
    Table.Removed[Row.Key] = Row.Version;
    return Table.Rows.erase(Row.Key) > 0;
  }
  Table.Removed.erase(Row.Key);
  Table.Rows[Row.Key] = Row;
  return true;
}

bool store_mirror::dropUnlisted(table &Table, const table_news &News) {
  std::set<std::string_view> Listed;
  for (const stored_row &Row : News.Rows)
    Listed.insert(Row.Key);
  std::vector<std::string> Dropped;
  for (const auto &[Key, Row] : Table.Rows) {
    if (!Listed.contains(Key) && Row.Version <= News.Position)
      Dropped.push_back(Key);
  }
  for (const std::string &Key : Dropped) {
    Table.Rows.erase(Key);
    Table.Removed[Key] = News.Position;
  }
  return !Dropped.empty();
}

void store_mirror::boundRemoved(table &Table) {
  while (Table.Removed.size() > MaxRemoved) {
    const auto Oldest =
        std::min_element(Table.Removed.begin(), Table.Removed.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second < Right.second;
                         });
    Table.ForgottenUpTo = std::max(Table.ForgottenUpTo, Oldest->second);
    Table.Removed.erase(Oldest);
  }
}

store_mirror::apply_result store_mirror::apply(const table_news &News) {
  table &Table = Tables[static_cast<std::size_t>(News.Table)];
  if (!News.Whole && (News.Since > Table.Position || Table.Position == 0))
    return apply_result::Gap;
  bool Changed = Table.Position == 0;
  for (const stored_row &Row : News.Rows)
    Changed = applyRow(Table, Row) || Changed;
  if (News.Whole) {
    Changed = dropUnlisted(Table, News) || Changed;
    if (Table.Position == 0)
      Table.ForgottenUpTo = News.Position;
  }
  boundRemoved(Table);
  Table.Position = std::max(Table.Position, News.Position);
  Table.AsOf = std::max(Table.AsOf, News.AsOf);
  return Changed ? apply_result::Changed : apply_result::Unchanged;
}

void store_mirror::vouch(std::uint64_t Newest, time_point AsOf) {
  for (table &Table : Tables) {
    if (Table.Position >= Newest)
      Table.AsOf = std::max(Table.AsOf, AsOf);
  }
}

table_news store_mirror::newsSince(store_table Which,
                                   std::uint64_t Position) const {
  const table &Table = of(Which);
  table_news News;
  News.Table = Which;
  News.Since = Position;
  News.Position = Table.Position;
  News.AsOf = Table.AsOf;
  News.Whole = Position == 0 || Position < Table.ForgottenUpTo;
  for (const auto &[Key, Row] : Table.Rows) {
    if (News.Whole || Row.Version > Position)
      News.Rows.push_back(Row);
  }
  if (News.Whole)
    return News;
  for (const auto &[Key, Version] : Table.Removed) {
    if (Version > Position)
      News.Rows.push_back({Key, "", Version, true});
  }
  return News;
}

time_point store_mirror::asOf() const {
  time_point Oldest = time_point::max();
  for (const table &Table : Tables)
    Oldest = std::min(Oldest, Table.AsOf);
  return Oldest;
}

bool store_mirror::isComplete() const {
  return std::all_of(Tables.begin(), Tables.end(),
                     [](const table &Table) { return Table.Position > 0; });
}

} // namespace agatedale
