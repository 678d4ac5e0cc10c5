/// \file
/// Tests of compress() and decompress().
#include "../../src/gateway/compression.h"

#include <boost/test/unit_test.hpp>

using namespace agatedale;

BOOST_AUTO_TEST_SUITE(compression_test)

namespace {

const std::string Text(100'000, 'a');

bool isRefused(std::string_view Compressed, std::size_t Size) {
  return errorOf(decompress(Compressed, Size)) != nullptr;
}

} // namespace

BOOST_AUTO_TEST_CASE(DecompressedBytesAreTheOriginalOnes) {
  const auto Bytes = decompress(compress(Text), Text.size());
  BOOST_REQUIRE(!errorOf(Bytes));
  BOOST_TEST((valueOf(Bytes) == Text));
}

BOOST_AUTO_TEST_CASE(RepetitiveBytesBecomeShorter) {
  BOOST_TEST(compress(Text).size() < Text.size() / 50);
}

BOOST_AUTO_TEST_CASE(MoreBytesThanAnnouncedAreRefused) {
  BOOST_TEST(isRefused(compress(Text), Text.size() - 1));
  BOOST_TEST(isRefused(compress(Text), 0));
}

BOOST_AUTO_TEST_CASE(FewerBytesThanAnnouncedAreRefused) {
  BOOST_TEST(isRefused(compress(Text), Text.size() + 1));
}

BOOST_AUTO_TEST_CASE(DataThatBreaksOffAreRefused) {
  const std::string Whole = compress(Text);
  for (std::size_t Length = 0; Length < Whole.size(); ++Length)
    BOOST_TEST(isRefused(Whole.substr(0, Length), Text.size()));
}

BOOST_AUTO_TEST_CASE(BytesThatAreNotCompressedAreRefused) {
  BOOST_TEST(isRefused(Text, Text.size()));
}

BOOST_AUTO_TEST_SUITE_END()
