/// \file
/// Tests of the orders of rollouts that are in force.
#include "agatedale/rollout_orders.h"

#include <boost/test/unit_test.hpp>

using namespace agatedale;

BOOST_AUTO_TEST_SUITE(rollout_orders_test)

namespace {

rollout_order order(const std::string &Service, std::uint64_t Id) {
  rollout_order Order;
  Order.Service = Service;
  Order.To = "v2";
  Order.Id = Id;
  return Order;
}

} // namespace

BOOST_AUTO_TEST_CASE(ChangedRowIsAnotherOrder) {
  rollout_orders Orders;
  BOOST_TEST(Orders.inForce().empty());
  Orders.update({{"a", order("desk", 1)}, {"b", order("docs", 2)}});
  Orders.update({{"a", order("desk", 3)}, {"b", order("docs", 2)}});
  BOOST_REQUIRE(Orders.inForce().size() == 2U);
  BOOST_TEST(Orders.idOf("a") == 3U);
  BOOST_TEST(Orders.idOf("b") == 2U);
}

// Guards against a new version that is sent its full share because the next
// order cannot be read.
BOOST_AUTO_TEST_CASE(UnreadableRowLeavesTheOrderBeforeItInForce) {
  rollout_orders Orders;
  Orders.update({{"a", order("desk", 1)}});
  for (int I = 0; I < 2; ++I) {
    Orders.update({{"a", std::nullopt}, {"b", std::nullopt}});
    BOOST_REQUIRE(Orders.inForce().size() == 1U);
    BOOST_TEST((Orders.inForce().front() == order("desk", 1)));
    BOOST_TEST(Orders.idOf("b") == 0U);
  }
}

// Guards against an order that comes back after the operators have called it
// off.
BOOST_AUTO_TEST_CASE(RemovedRowEndsTheOrder) {
  rollout_orders Orders;
  Orders.update({{"a", order("desk", 1)}});
  Orders.update({{"a", std::nullopt}});
  Orders.update({});
  BOOST_TEST(Orders.inForce().empty());
  Orders.update({{"a", std::nullopt}});
  BOOST_TEST(Orders.inForce().empty());
}

BOOST_AUTO_TEST_SUITE_END()
