/// \file
/// The newest registration of each backend server that this VM knows.
#pragma once

#include "agatedale/clock.h"
#include "agatedale/configuration.h"
#include "agatedale/store_mirror.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace agatedale {

/// Position of a registration among those of its server: the start of the
/// server process, then the count within that start. It does not depend on the
/// order in which the store performs the writes.
struct registration_number {
  std::uint64_t Start = 0;
  std::uint64_t Sequence = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  constexpr auto operator<=>(const registration_number &) const = default;
};

/// Returns the number of the registration that \p Server was decoded from.
constexpr registration_number numberOf(const backend_server &Server) {
  return {Server.Start, Server.Sequence};
}

/// The newest known registration of a server, as told to peers.
struct known_registration {
  std::string Name;
  registration_number Number;
  bool IsLeaving = false; ///< It leaves, or its row was removed.

  bool operator==(const known_registration &) const = default;
};

/// The rows of servers that the store lists.
struct listed_servers {
  std::uint64_t Era = 0; ///< Of the store.
  time_point AsOf{};     ///< The store listed the rows at this time or later.
  bool IsGracePeriod = false; ///< Rows may have expired in an outage.
  const std::map<std::string, stored_row> &Rows;
};

/// Replaces servers whose row holds an older registration than the newest one
/// known. The store may perform a write seconds after it was sent, when it
/// already has a later one of the same server or has removed the row. The
/// newest registration is remembered after its row is gone and is told to
/// peers, because a VM that has started since knows only the row.
///
///   Servers = Registrations.update(Listed, Decoded, LastServers, Now);
///   if (Registrations.learn(FromPeer, Now)) rebuildServerList();
class server_registrations {
public:
  using server_map = std::map<std::string, backend_server>;

  /// The store removes the row of a server that no longer runs after this many
  /// renewals that it has missed.
  static constexpr int MissedRenewals = 3;

  /// Added to that, until the removal has reached this VM.
  static constexpr duration RemovalMargin = std::chrono::milliseconds(3500);

  /// Time for which a server is remembered after its row is gone.
  static constexpr duration Memory = std::chrono::seconds(60);

  /// Time for which peers are told of it. A late write comes within seconds.
  static constexpr duration ShareTime = std::chrono::seconds(15);

  /// Maximum number of servers without a row; the one whose row went first is
  /// forgotten.
  static constexpr std::size_t MaxUnlisted = 4096;

  /// Maximum number of registrations that one message to a peer names.
  static constexpr std::size_t MaxShared = 128;

  /// An older registration than the newest one known.
  struct older_registration {
    std::string Name;
    registration_number Number;
    registration_number Newest;
    bool IsNewestLeaving = false;
    bool IsFollowed = false; ///< It is used from now on.
  };

  /// Servers renew their rows at intervals of \p Renewal.
  explicit server_registrations(duration Renewal)
      : MaxHold(MissedRenewals * Renewal + RemovalMargin) {}

  /// Returns for how long at most an older registration is not followed. A row
  /// that lasts longer is renewed by its server.
  duration maxHold() const { return MaxHold; }

  /// Returns the servers to use, given those decoded from the rows that the
  /// store lists. \p Last holds the servers that were used until now.
  server_map update(const listed_servers &Listed, server_map Servers,
                    const server_map &Last, time_point Now);

  /// Applies what a peer knows. Returns true if it is newer.
  bool learn(const known_registration &Registration, time_point Now);

  /// Returns what a peer may not know from the rows.
  std::vector<known_registration> toShare(time_point Now) const;

  /// Returns true if a hold has ended since the last update.
  bool isOver(time_point AsOf) const;

  /// Returns the older registrations found, and those followed from now on,
  /// since the last call.
  std::vector<older_registration> takeOlder() {
    return std::exchange(Found, {});
  }

private:
  struct newest_registration {
    registration_number Number;
    bool IsLeaving = false;
    bool IsListed = false;
    time_point ChangedAt{}; ///< When it was learned or its row went.
  };

  /// A row with an older registration than the newest one.
  struct older_row {
    store_version Version;
    time_point Since{}; ///< As listed_servers::AsOf.
    bool IsFollowed = false;
    std::optional<backend_server> Newest; ///< If it was in use.
  };

  void updateServer(const listed_servers &Listed, backend_server &Server,
                    const server_map &Last, time_point Now);
  older_row &findOrAddOlderRow(const listed_servers &Listed,
                               const backend_server &Server,
                               const newest_registration &Newest,
                               const server_map &Last);
  void recordRemovals(const listed_servers &Listed, const server_map &Servers,
                      time_point Now);
  void forgetUnlisted(time_point Now);

  duration MaxHold;
  std::optional<std::uint64_t> Era;
  std::map<std::string, newest_registration> NewestByName;
  std::set<std::string> Unlisted; ///< Names of NewestByName without a row.
  std::map<std::string, older_row> OlderRows;
  std::vector<older_registration> Found;
};

} // namespace agatedale
