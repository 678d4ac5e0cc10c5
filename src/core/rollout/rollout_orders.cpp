/// \file
/// Orders whose rows change, cannot be read, or are removed.
#include "agatedale/rollout_orders.h"

#include <utility>

namespace agatedale {

void rollout_orders::update(const read_orders &Rows) {
  std::map<std::string, rollout_order> Next;
  for (const auto &[Key, Order] : Rows) {
    const auto Before = Orders.find(Key);
    if (Order)
      Next.emplace(Key, *Order);
    else if (Before != Orders.end())
      Next.insert(*Before);
  }
  Orders = std::move(Next);
}

std::vector<rollout_order> rollout_orders::inForce() const {
  std::vector<rollout_order> List;
  List.reserve(Orders.size());
  for (const auto &[Key, Order] : Orders)
    List.push_back(Order);
  return List;
}

std::uint64_t rollout_orders::idOf(const std::string &Key) const {
  const auto Found = Orders.find(Key);
  return Found == Orders.end() ? 0 : Found->second.Id;
}

} // namespace agatedale
