/// \file
/// Parses addresses.
#include "address.h"

#include <fmt/format.h>

#include <charconv>

namespace agatedale {

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
