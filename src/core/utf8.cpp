/// \file
/// Validation of UTF-8 sequences.
#include "utf8.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace agatedale {

namespace {

constexpr std::uint8_t FirstNonAscii = 0x80;
constexpr std::uint8_t FirstContinuation = 0x80;
constexpr std::uint8_t LastContinuation = 0xbf;

/// The valid second bytes and the length of the sequences that begin with
/// the lead bytes up to LastLead.
struct sequence_row {
  std::uint8_t LastLead;
  std::size_t Length;
  std::uint8_t MinSecond;
  std::uint8_t MaxSecond;
};

/// RFC 3629, section 4: no overlong forms, no surrogates, nothing above
/// U+10FFFF.
constexpr std::array SequenceTable{
    sequence_row{0xc1, 0, 0, 0},       sequence_row{0xdf, 2, 0x80, 0xbf},
    sequence_row{0xe0, 3, 0xa0, 0xbf}, sequence_row{0xec, 3, 0x80, 0xbf},
    sequence_row{0xed, 3, 0x80, 0x9f}, sequence_row{0xef, 3, 0x80, 0xbf},
    sequence_row{0xf0, 4, 0x90, 0xbf}, sequence_row{0xf3, 4, 0x80, 0xbf},
    sequence_row{0xf4, 4, 0x80, 0x8f}, sequence_row{0xff, 0, 0, 0}};

std::uint8_t byteAt(std::string_view Bytes, std::size_t At) {
  return static_cast<std::uint8_t>(Bytes[At]);
}

/// Returns the length of the sequence at the start of \p Bytes, or 0 if there
/// is no valid one.
std::size_t sequenceLength(std::string_view Bytes) {
  const std::uint8_t Lead = byteAt(Bytes, 0);
  if (Lead < FirstNonAscii)
    return 1;
  const auto Row = std::find_if(
      SequenceTable.begin(), SequenceTable.end(),
      [Lead](const sequence_row &Each) { return Lead <= Each.LastLead; });
  if (Row->Length == 0 || Bytes.size() < Row->Length)
    return 0;
  const std::uint8_t Second = byteAt(Bytes, 1);
  if (Second < Row->MinSecond || Second > Row->MaxSecond)
    return 0;
  for (std::size_t At = 2; At < Row->Length; ++At) {
    if (byteAt(Bytes, At) < FirstContinuation ||
        byteAt(Bytes, At) > LastContinuation)
      return 0;
  }
  return Row->Length;
}

} // namespace

std::string toUtf8(std::string_view Bytes) {
  std::string Text;
  Text.reserve(Bytes.size());
  while (!Bytes.empty()) {
    const std::size_t Length = sequenceLength(Bytes);
    Text += Length > 0 ? Bytes.substr(0, Length) : "?";
    Bytes.remove_prefix(std::max<std::size_t>(Length, 1));
  }
  return Text;
}

} // namespace agatedale
