/// \file
/// Reads and writes one field of an encoded message in place.
#include "body_parts.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/wire_format_lite.h>

#include <cstdint>
#include <deque>
#include <vector>

namespace agatedale {

namespace {

namespace io = google::protobuf::io;
using google::protobuf::internal::WireFormatLite;

std::uint32_t tagOf(int BodyField) {
  return WireFormatLite::MakeTag(BodyField,
                                 WireFormatLite::WIRETYPE_LENGTH_DELIMITED);
}

/// Finds the field with \p Tag, the last one if it is repeated, and the ranges
/// of \p Bytes that are not in any such field.
bool findField(std::string_view Bytes, std::uint32_t Tag,
               std::vector<std::string_view> &Others, std::string_view &Value) {
  io::CodedInputStream In(reinterpret_cast<const std::uint8_t *>(Bytes.data()),
                          static_cast<int>(Bytes.size()));
  std::size_t OthersBegin = 0;
  const auto Position = [&In] {
    return static_cast<std::size_t>(In.CurrentPosition());
  };
  while (Position() < Bytes.size()) {
    const std::size_t FieldBegin = Position();
    const std::uint32_t Found = In.ReadTag();
    if (Found != Tag) {
      if (Found == 0 || !WireFormatLite::SkipField(&In, Found))
        return false;
      continue;
    }
    std::uint32_t Length = 0;
    if (!In.ReadVarint32(&Length) || Length > Bytes.size() - Position())
      return false;
    Value = Bytes.substr(Position(), Length);
    Others.push_back(Bytes.substr(OthersBegin, FieldBegin - OthersBegin));
    OthersBegin = Position() + Length;
    if (!In.Skip(static_cast<int>(Length)))
      return false;
  }
  Others.push_back(Bytes.substr(OthersBegin));
  return true;
}

} // namespace

std::string encodeBeforeBody(const google::protobuf::MessageLite &Message,
                             int BodyField, const shared_body &Body) {
  std::string Bytes = Message.SerializeAsString();
  if (Body.empty())
    return Bytes;
  {
    // The streams trim the string when they are destroyed.
    io::StringOutputStream Stream(&Bytes);
    io::CodedOutputStream Out(&Stream);
    Out.WriteTag(tagOf(BodyField));
    Out.WriteVarint32(static_cast<std::uint32_t>(Body.size()));
  }
  return Bytes;
}

bool decodeBesideBody(std::string_view Bytes, int BodyField,
                      google::protobuf::MessageLite &Message,
                      std::string_view &Body) {
  std::vector<std::string_view> Others;
  if (!findField(Bytes, tagOf(BodyField), Others, Body))
    return false;
  std::deque<io::ArrayInputStream> Parts;
  std::vector<io::ZeroCopyInputStream *> Inputs;
  for (const std::string_view Other : Others) {
    Parts.emplace_back(Other.data(), static_cast<int>(Other.size()));
    Inputs.push_back(&Parts.back());
  }
  io::ConcatenatingInputStream Whole(Inputs.data(),
                                     static_cast<int>(Inputs.size()));
  return Message.ParseFromZeroCopyStream(&Whole);
}

} // namespace agatedale
