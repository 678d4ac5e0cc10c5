/// \file
/// Tests of body_budget.
#include "agatedale/body_budget.h"

#include <boost/test/unit_test.hpp>

using namespace agatedale;

BOOST_AUTO_TEST_SUITE(body_budget_test)

BOOST_AUTO_TEST_CASE(BodiesTogetherStayWithinTheLimit) {
  const auto Budget = std::make_shared<body_budget>(100);
  body_reservation First(Budget);
  body_reservation Second(Budget);
  BOOST_TEST(First.resize(60));
  BOOST_TEST(!Second.resize(50));
  BOOST_TEST(Second.resize(40));
  BOOST_TEST(Budget->reservedBytes() == 100U);
}

BOOST_AUTO_TEST_CASE(EndedRequestGivesItsBytesBack) {
  const auto Budget = std::make_shared<body_budget>(100);
  {
    body_reservation Share(Budget);
    BOOST_TEST(Share.resize(80));
  }
  BOOST_TEST(Budget->reservedBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(MovedShareIsHeldOnce) {
  const auto Budget = std::make_shared<body_budget>(100);
  body_reservation Connection(Budget);
  BOOST_TEST(Connection.resize(80));
  {
    const body_reservation Exchange = std::move(Connection);
    BOOST_TEST(Budget->reservedBytes() == 80U);
  }
  BOOST_TEST(Budget->reservedBytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
