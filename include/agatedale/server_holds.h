/// \file
/// The times for which backend servers want no request.
#pragma once

#include "agatedale/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace agatedale {

/// Remembers which servers have asked this VM for a time without requests when
/// they turned one away. A hold belongs to a start of the server and to older
/// ones. It is kept apart from the server groups, because a server may move to
/// another group meanwhile.
///
///   const time_point End = Holds.record(Name, Start, Asked, Now);
///   if (Now < Holds.heldUntil(Name, Start)) skip();
class server_holds {
public:
  /// Longer times are cut to this, so that a server with a wrong figure is
  /// tried again.
  static constexpr duration MaxHold = std::chrono::minutes(10);

  /// Maximum number of servers; the hold that ends first is forgotten.
  static constexpr std::size_t MaxServers = 4096;

  /// Holds a server for \p Asked from \p Now on and returns when the hold ends:
  /// a shorter time does not end an earlier hold.
  time_point record(std::string_view Name, std::uint64_t Start, duration Asked,
                    time_point Now);

  /// Returns the end of a server's last hold, or zero if there is none.
  time_point heldUntil(std::string_view Name, std::uint64_t Start) const;

  std::size_t size() const { return ByName.size(); }

private:
  struct hold {
    std::uint64_t Start = 0;
    time_point Until{};
  };

  void makeRoom(time_point Now);

  std::map<std::string, hold, std::less<>> ByName;
};

} // namespace agatedale
