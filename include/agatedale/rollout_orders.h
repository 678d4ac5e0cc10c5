/// \file
/// The orders of rollouts that are in force.
#pragma once

#include "agatedale/rollout.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace agatedale {

/// Keeps the orders of rollouts by the keys of their rows. An order whose row
/// cannot be read leaves the one before it in force: without any order the new
/// version of the service would be sent its full share. A removed row ends it.
///
///   Orders.update({{"rollout/desk", Order}, {"rollout/unreadable", {}}});
///   for (const rollout_order &Order : Orders.inForce()) ...
class rollout_orders {
public:
  /// Orders by key; nothing for a row that cannot be read.
  using read_orders = std::map<std::string, std::optional<rollout_order>>;

  /// Applies the rows that exist now.
  void update(const read_orders &Rows);

  std::vector<rollout_order> inForce() const;

  /// Returns the identity of the order of \p Key that is in force, or zero.
  std::uint64_t idOf(const std::string &Key) const;

private:
  std::map<std::string, rollout_order> Orders;
};

} // namespace agatedale
