/// \file
/// Tests of decoded_rows.
#include "../../src/gateway/decoded_rows.h"

#include <boost/test/unit_test.hpp>

using namespace agatedale;

BOOST_AUTO_TEST_SUITE(decoded_rows_test)

namespace {

using row_map = std::map<std::string, stored_row>;

/// Decodes a number and counts its calls.
struct number_decoder {
  int &Calls;

  result<int> operator()(std::string_view Key, std::string_view Value) const {
    ++Calls;
    if (Value == "bad")
      return error{error_kind::InvalidInput, std::string(Key) + " is bad"};
    return std::stoi(std::string(Value));
  }
};

stored_row row(const std::string &Key, const std::string &Value,
               store_version Version) {
  return {Key, Value, Version, false};
}

} // namespace

BOOST_AUTO_TEST_CASE(OnlyChangedRowsAreDecodedAgain) {
  int Calls = 0;
  decoded_rows<int> Numbers;
  row_map Rows{{"a", row("a", "1", 1)}, {"b", row("b", "2", 2)}};
  Numbers.update(Rows, number_decoder{Calls});
  Rows["b"] = row("b", "3", 3);
  Numbers.update(Rows, number_decoder{Calls});
  BOOST_TEST(Calls == 3);
  BOOST_TEST(Numbers.values().at("a") == 1);
  BOOST_TEST(Numbers.values().at("b") == 3);
}

BOOST_AUTO_TEST_CASE(RemovedRowHasNoValue) {
  int Calls = 0;
  decoded_rows<int> Numbers;
  Numbers.update({{"a", row("a", "1", 1)}}, number_decoder{Calls});
  Numbers.update({}, number_decoder{Calls});
  BOOST_TEST(Numbers.values().empty());
}

BOOST_AUTO_TEST_CASE(RowThatBecomesUndecodableLosesOnlyItsOwnValue) {
  int Calls = 0;
  decoded_rows<int> Numbers;
  row_map Rows{{"a", row("a", "1", 1)}, {"b", row("b", "2", 2)}};
  Numbers.update(Rows, number_decoder{Calls});
  Rows["a"] = row("a", "bad", 3);
  Numbers.update(Rows, number_decoder{Calls});
  Numbers.update(Rows, number_decoder{Calls});
  BOOST_TEST(!Numbers.values().contains("a"));
  BOOST_TEST(Numbers.values().at("b") == 2);
  BOOST_TEST(Calls == 3,
             "expected an unchanged malformed row not to be decoded again");
}

BOOST_AUTO_TEST_CASE(VersionGivenOutAgainInALaterEraIsDecodedAgain) {
  int Calls = 0;
  decoded_rows<int> Numbers;
  Numbers.update({{"a", row("a", "1", {1, 7})}}, number_decoder{Calls});
  Numbers.update({{"a", row("a", "2", {2, 7})}}, number_decoder{Calls});
  BOOST_TEST(Numbers.values().at("a") == 2);
}

BOOST_AUTO_TEST_SUITE_END()
