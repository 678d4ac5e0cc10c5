/// \file
/// Network addresses in text form.
#pragma once

#include "agatedale/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace agatedale {

/// An IP address and a port.
struct socket_address {
  std::string Ip;
  std::uint16_t Port = 0;
};

/// Parses "ip:port".
result<socket_address> parseAddress(std::string_view Text);

} // namespace agatedale
