/// \file
/// Long bodies beside the messages between gateways.
#pragma once

#include "agatedale/shared_body.h"

#include <google/protobuf/message_lite.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace agatedale {

/// Longer bodies are kept beside their message, so that they are not copied to
/// encode or to decode it. The encoded bytes are those of a message that holds
/// its body, with the body as the last field, which every build can decode.
inline constexpr std::size_t MaxInlineBodyBytes = 16 * 1024;

/// Returns \p Body if it is kept beside its message, otherwise nothing.
inline shared_body bodyBeside(const shared_body &Body) {
  return Body.size() > MaxInlineBodyBytes ? Body : shared_body();
}

/// Encodes \p Message up to the bytes of its body, which is \p Body and follows
/// in field \p BodyField. \p Message must not have that field unless \p Body is
/// empty.
std::string encodeBeforeBody(const google::protobuf::MessageLite &Message,
                             int BodyField, const shared_body &Body);

/// Decodes all of \p Bytes but field \p BodyField, whose value is returned in
/// \p Body as a part of \p Bytes. Returns false if \p Bytes are no message.
bool decodeBesideBody(std::string_view Bytes, int BodyField,
                      google::protobuf::MessageLite &Message,
                      std::string_view &Body);

} // namespace agatedale
