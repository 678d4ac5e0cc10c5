/// \file
/// Decides on which account's behalf a request runs.
#pragma once

#include "agatedale/account_directory.h"
#include "agatedale/clock.h"
#include "agatedale/verdict.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace agatedale {

/// The key that came with a request.
struct presented_key {
  enum class state { Missing, Present, Repeated };

  state State = state::Missing;
  std::string_view Value; ///< Refers to the request.
};

/// Returns true if \p Text can be a single key. Two keys in one header, as a
/// proxy joins repeated ones, have a comma or a space between them. A text for
/// which this is false may still be a key that the configuration lists, so only
/// keys that are not found need the check.
bool isKeyText(std::string_view Text);

/// The account of a request, or why the request is refused.
struct account_admission {
  const client_account *Account = nullptr; ///< Null if it needs none.
  refusal_reason Reason = refusal_reason::None;
  duration RetryAfter{};
  std::uint32_t KeyCheck = 0; ///< See account_directory::checkOf().
};

/// Finds the account of each request by its key. A key that is unknown may have
/// been added after the configuration in force, so it is refused for good only
/// once the configuration is confirmed as of the time at which the key was seen
/// first. A key that has a fault, or may be one that cannot be read, is refused
/// for now.
///
///   account_admission Found = Gate.admit(Directory, Key, Times);
class account_gate {
public:
  /// By this time the configuration is confirmed in ordinary conditions: a long
  /// poll of the region's reader takes up to 700 ms, the relay to a hub and
  /// from it to the other VMs a heartbeat of 250 ms each.
  static constexpr duration ConfirmTime = std::chrono::milliseconds(1200);

  /// Within this time after its acknowledgement a configuration is in force
  /// everywhere; an older one refuses no unknown key for good.
  static constexpr duration MaxAge = std::chrono::seconds(3);

  /// Unknown keys are remembered for this long, and at most so many.
  static constexpr duration KeepTime = std::chrono::seconds(60);
  static constexpr std::size_t MaxRemembered = 4096;

  struct times {
    time_point Now;
    time_point ArrivedAt;         ///< Of the request.
    time_point ConfigurationAsOf; ///< See store_mirror::asOf().
  };

  /// Decides on a request of a route that is not public.
  account_admission admit(const account_directory &Directory,
                          const presented_key &Key, const times &Times);

  std::size_t remembered() const { return FirstSeenAt.size(); }

private:
  time_point firstSeen(std::string_view Key, const times &Times);
  void forgetOldest();

  /// By the hash of the key, so that the key is kept nowhere.
  std::unordered_map<std::uint64_t, time_point> FirstSeenAt;
  std::deque<std::uint64_t> InOrder; ///< The oldest first.
};

/// Returns the regions that \p Route and \p Account both allow; empty for any.
/// Returns nothing if each of them names regions and none is in both lists.
std::optional<std::vector<std::string>>
commonHomes(const route &Route, const client_account *Account);

} // namespace agatedale
