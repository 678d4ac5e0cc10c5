/// \file
/// Compression of messages between gateways.
#pragma once

#include "agatedale/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace agatedale {

/// Returns \p Bytes in zlib format.
std::string compress(std::string_view Bytes);

/// Returns the original bytes of \p Compressed. It is an error if they are not
/// exactly \p Size bytes, so that a damaged message cannot expand without
/// limit.
result<std::string> decompress(std::string_view Compressed, std::size_t Size);

} // namespace agatedale
