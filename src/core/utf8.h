/// \file
/// Text from other systems that may not be UTF-8.
#pragma once

#include <string>
#include <string_view>

namespace agatedale {

/// Returns \p Bytes with '?' for each byte that is not part of valid UTF-8
/// (RFC 3629). JSON and the `string` fields of Protocol Buffers allow no
/// others.
std::string toUtf8(std::string_view Bytes);

} // namespace agatedale
