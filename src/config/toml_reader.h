/// \file
/// Reads checked values out of TOML tables and explains what is wrong.
#pragma once

#include "agatedale/result.h"

#include <toml++/toml.h>

#include <cstdint>
#include <filesystem>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace agatedale {

/// Reads one TOML table key by key. The first thing that is wrong is kept as an
/// error with file, line and key; finish() also refuses keys nobody read.
///
///   toml_reader Reader(Table, "services.orders");
///   Service.Slots = Reader.integer("slots", 2, 1, 1024);
///   if (auto Error = Reader.finish()) ...
class toml_reader {
public:
  toml_reader(const toml::table &Table, std::string Path)
      : Table(Table), Path(std::move(Path)) {}

  /// Returns the text under \p Key, or \p Default when the key is absent.
  std::string string(std::string_view Key, std::string Default);

  /// Returns the text under \p Key, which must be there.
  std::string requiredString(std::string_view Key);

  /// Returns the text under \p Key, which must be one of \p Allowed.
  std::string choice(std::string_view Key, std::string Default,
                     const std::vector<std::string> &Allowed);

  std::int64_t integer(std::string_view Key, std::int64_t Default,
                       std::int64_t Min, std::int64_t Max);
  double number(std::string_view Key, double Default, double Min, double Max);
  bool boolean(std::string_view Key, bool Default);
  std::vector<std::string> stringList(std::string_view Key);

  /// Returns the table under \p Key, or null when the key is absent.
  const toml::table *table(std::string_view Key);

  /// Keeps an error about \p Key unless one is kept already.
  void addError(std::string_view Key, std::string_view Reason);

  /// Returns the first error; unknown keys are errors too.
  const error *finish();

private:
  const toml::node *readNode(std::string_view Key);

  const toml::table &Table;
  std::string Path;
  std::set<std::string, std::less<>> KnownKeys;
  std::vector<error> Errors;
};

/// Returns "file:line: key 'path': why" for \p Node.
error errorAt(const toml::node &Node, std::string_view Path,
              std::string_view Reason);

/// Returns the candidate with the least edit distance to \p Word, or an empty
/// view when none is near.
std::string_view nearestWord(std::string_view Word,
                             const std::set<std::string, std::less<>> &Words);

/// Parses \p Text; a syntax error names \p Source, line and column.
result<toml::table> parseToml(std::string_view Text, std::string_view Source);

/// Reads and parses a file.
result<toml::table> parseTomlFile(const std::filesystem::path &File);

} // namespace agatedale
