/// \file
/// Validated access to TOML tables.
#pragma once

#include "agatedale/result.h"

#include <stdexcept>

// Damaged documents violate assertions of toml++. parseToml() returns them as
// errors; without NDEBUG they would end the process.
#define TOML_ASSERT(Condition)                                                 \
  ((Condition) ? static_cast<void>(0)                                          \
               : throw std::logic_error("violated: " #Condition))
#include <toml++/toml.h>

#include <cstdint>
#include <filesystem>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace agatedale {

/// Reads a TOML table key by key. finish() returns only the first error, with
/// file, line and key; later ones are ignored. A key that was not read is an
/// error too.
///
///   toml_reader Reader(Table, "services.orders");
///   Service.Slots = Reader.integer("slots", 2, 1, 1024);
///   if (auto Error = Reader.finish()) ...
class toml_reader {
public:
  toml_reader(const toml::table &Table, std::string Path)
      : Table(Table), Path(std::move(Path)) {}

  /// Returns the string \p Key, or \p Default if the key is missing.
  std::string stringValue(std::string_view Key, std::string Default);

  /// Returns the string \p Key; a missing or empty one is an error.
  std::string requiredString(std::string_view Key);

  /// Returns the string \p Key, which must be one of \p Allowed.
  std::string choice(std::string_view Key, std::string Default,
                     const std::vector<std::string> &Allowed);

  std::int64_t integer(std::string_view Key, std::int64_t Default,
                       std::int64_t Min, std::int64_t Max);
  double number(std::string_view Key, double Default, double Min, double Max);
  bool boolean(std::string_view Key, bool Default);
  std::vector<std::string> stringList(std::string_view Key);

  /// Returns the table \p Key, or null if the key is missing.
  const toml::table *table(std::string_view Key);

  /// Adds an error about \p Key. finish() ignores all but the first.
  void addError(std::string_view Key, std::string_view Reason);

  /// Returns the first error, or null. Keys that were not read are errors.
  const error *finish();

private:
  const toml::node *readNode(std::string_view Key);

  const toml::table &Table;
  std::string Path;
  std::set<std::string, std::less<>> KnownKeys;
  std::vector<error> Errors;
};

/// Returns "file:line" of \p Node.
std::string placeOf(const toml::node &Node);

/// Returns the error "file:line: key 'path': reason" for \p Node.
error errorAt(const toml::node &Node, std::string_view Path,
              std::string_view Reason);

/// Returns the word of \p Words with the smallest edit distance to \p Word, or
/// an empty view if none is similar.
std::string_view nearestWord(std::string_view Word,
                             const std::set<std::string, std::less<>> &Words);

/// Parses \p Text. Syntax errors contain \p Source, line and column.
result<toml::table> parseToml(std::string_view Text, std::string_view Source);

/// Reads and parses \p File.
result<toml::table> parseTomlFile(const std::filesystem::path &File);

} // namespace agatedale
