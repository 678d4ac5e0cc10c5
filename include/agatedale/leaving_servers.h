/// \file
/// The backend servers that have announced in an answer that they leave.
#pragma once

#include "agatedale/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace agatedale {

/// One start of a backend server that is about to end.
struct leaving_server {
  std::string Name;
  std::uint64_t Start = 0; ///< As backend_server::Start.
  std::string Service;
  std::string Zone;
};

/// Remembers which servers have said that they leave. The knowledge belongs to
/// a start of the server: it holds for that start and for older ones, whatever
/// the rows of the store say, and ends with a newer start under the same name.
///
///   if (Leaving.record(Server, Now)) rebuildServerList();
///   if (Leaving.isLeaving(Row.Name, Row.Start)) ...
class leaving_servers {
public:
  /// Maximum number of servers; the one that was learned first is forgotten.
  static constexpr std::size_t MaxServers = 4096;

  /// Maximum number of servers that one message to a peer names.
  static constexpr std::size_t MaxShared = 128;

  /// Time for which peers are told. A server is gone some seconds after it has
  /// announced it.
  static constexpr duration ShareTime = std::chrono::seconds(30);

  /// Returns true if the server was not known to leave.
  bool record(const leaving_server &Server, time_point Now);

  /// Returns true if the server called \p Name leaves, or has left, in the
  /// start \p Start.
  bool isLeaving(std::string_view Name, std::uint64_t Start) const;

  /// Returns the servers of a service and zone that a peer is told of, the
  /// latest first.
  std::vector<leaving_server> toShare(std::string_view Service,
                                      std::string_view Zone,
                                      time_point Now) const;

  std::size_t size() const { return ByName.size(); }

private:
  struct entry {
    leaving_server Server;
    time_point LearnedAt;
    std::uint64_t Order = 0; ///< Of learning.
  };

  std::map<std::string, entry, std::less<>> ByName;
  std::map<std::uint64_t, std::string, std::greater<>>
      ByOrder; ///< Latest first.
  std::uint64_t NextOrder = 0;
};

} // namespace agatedale
