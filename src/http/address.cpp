/// \file
/// Parses addresses.
#include "address.h"

#include <fmt/format.h>

#include <arpa/inet.h>

#include <charconv>

namespace agatedale {

namespace {

bool isAddressOf(int Family, const std::string &Text) {
  in6_addr Binary{};
  // inet_pton would read a part of a text with a null character.
  return Text.find('\0') == std::string::npos &&
         inet_pton(Family, Text.c_str(), &Binary) == 1;
}

} // namespace

bool isIpv4(const std::string &Text) { return isAddressOf(AF_INET, Text); }

bool isIpAndPort(std::string_view Text) {
  const result<socket_address> Parsed = parseAddress(Text);
  if (errorOf(Parsed))
    return false;
  const std::string &Ip = valueOf(Parsed).Ip;
  const bool IsBracketed = Ip.starts_with('[') && Ip.ends_with(']');
  return IsBracketed ? isAddressOf(AF_INET6, Ip.substr(1, Ip.size() - 2))
                     : isIpv4(Ip);
}

result<socket_address> parseAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  socket_address Address;
  if (Colon != std::string_view::npos && Colon > 0) {
    const std::string_view Port = Text.substr(Colon + 1);
    const char *PortEnd = Port.data() + Port.size();
    const auto [End, Status] =
        std::from_chars(Port.data(), PortEnd, Address.Port);
    if (Status == std::errc() && End == PortEnd && Address.Port != 0) {
      Address.Ip = Text.substr(0, Colon);
      return Address;
    }
  }
  return error{error_kind::InvalidInput,
               fmt::format("'{}' is no address; expected ip:port", Text)};
}

} // namespace agatedale
