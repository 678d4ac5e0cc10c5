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

/// Returns true if \p Text is an IPv4 address in dotted notation.
bool isIpv4(const std::string &Text);

/// Returns true if \p Text is an IPv4 address, or an IPv6 address in brackets,
/// with a port. Using such an address looks up no name.
bool isIpAndPort(std::string_view Text);

/// Parses "ip:port".
result<socket_address> parseAddress(std::string_view Text);

} // namespace agatedale
