/// \file
/// Cache of decoded rows of a store table.
#pragma once

#include "../core/log.h"
#include "agatedale/result.h"
#include "agatedale/store_mirror.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace agatedale {

/// Caches the decoded rows of a table and decodes each version of a row once.
/// Tables have hundreds of rows, few of which change at a time; decoding all of
/// them takes a small VM tens of milliseconds.
///
///   decoded_rows<backend_server> Servers;
///   Servers.update(Mirror.rows(store_table::Servers), platform::decodeServer);
///   for (const auto &[Name, Server] : Servers.values()) ...
template <typename T> class decoded_rows {
public:
  /// Decodes new and changed rows and drops removed ones. A row that fails to
  /// decode has no value; each failing version is logged once.
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

  /// Returns the successfully decoded rows by key.
  const std::map<std::string, T> &values() const { return Values; }

private:
  void storeDecoded(const std::string &Key, const result<T> &Decoded) {
    if (const error *Error = errorOf(Decoded)) {
      Values.erase(Key);
      logLine(log_level::Warning, "row-decode-failed",
              {{"why", Error->Message}});
      return;
    }
    Values.insert_or_assign(Key, valueOf(Decoded));
  }

  std::map<std::string, store_version> Versions;
  std::map<std::string, T> Values;
};

} // namespace agatedale
