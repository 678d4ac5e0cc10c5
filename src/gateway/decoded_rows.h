/// \file
/// Rows of a store table, decoded once for each version of a row.
#pragma once

#include "../core/log.h"
#include "agatedale/result.h"
#include "agatedale/store_mirror.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace agatedale {

/// Keeps what the rows of a table decode to. Tables have hundreds of rows of
/// which few change at a time, and decoding all of them again takes a small VM
/// tens of milliseconds.
///
///   decoded_rows<backend_server> Servers;
///   Servers.update(Mirror.rows(store_table::Servers), platform::decodeServer);
///   for (const auto &[Name, Server] : Servers.values()) ...
template <typename T> class decoded_rows {
public:
  /// Decodes the rows that are new or changed and forgets those that are gone.
  /// A row that cannot be read has no value; it is logged once.
  template <typename Decoder>
  void update(const std::map<std::string, stored_row> &Rows, Decoder Decode) {
    std::erase_if(Versions, [&Rows](const auto &Known) {
      return !Rows.contains(Known.first);
    });
    std::erase_if(Values, [&Rows](const auto &Known) {
      return !Rows.contains(Known.first);
    });
    for (const auto &[Key, Row] : Rows) {
      const auto Known = Versions.find(Key);
      if (Known != Versions.end() && Known->second == Row.Version)
        continue;
      Versions[Key] = Row.Version;
      storeDecoded(Key, Decode(Key, Row.Value));
    }
  }

  /// Returns the rows that can be read, by key.
  const std::map<std::string, T> &values() const { return Values; }

private:
  void storeDecoded(const std::string &Key, const result<T> &Decoded) {
    if (const error *Error = errorOf(Decoded)) {
      Values.erase(Key);
      logLine(log_level::Warning, "row-unreadable", {{"why", Error->Message}});
      return;
    }
    Values.insert_or_assign(Key, valueOf(Decoded));
  }

  std::map<std::string, std::uint64_t> Versions;
  std::map<std::string, T> Values;
};

} // namespace agatedale
