/// \file
/// HTTP client of the platform's services.
#pragma once

#include "agatedale/platform_service.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace agatedale {

/// Client of the platform's table service, object store and VM list. Each call
/// opens its own connection, so that an unresponsive one delays no other call.
///
///   auto Client = platform_client::create("10.0.0.5:7000", 1s);
///   const result<table_row> Row = valueOf(Client).readRow("configuration");
class platform_client {
public:
  /// \p Address is "ip:port"; \p Timeout bounds each call.
  static result<platform_client> create(const std::string &Address,
                                        std::chrono::milliseconds Timeout);

  result<table_row> readRow(std::string_view Name);
  result<std::uint64_t> writeRow(std::string_view Name, std::string_view Value,
                                 std::uint64_t Expected);
  result<std::string> getObject(std::string_view Name);
  result<success> putObject(std::string_view Name, std::string_view Value);
  result<std::vector<listed_vm>> listVms();

private:
  struct reply {
    int Status = 0;
    std::uint64_t RowVersion = 0;
    std::string Body;
  };

  platform_client(std::string Host, std::uint16_t Port,
                  std::chrono::milliseconds Timeout)
      : Host(std::move(Host)), Port(Port), Timeout(Timeout) {}

  result<reply> call(const std::string &Method, const std::string &Path,
                     std::string_view Body, const std::string &Condition);

  std::string Host;
  std::uint16_t Port;
  std::chrono::milliseconds Timeout;
};

static_assert(platform_service<platform_client>);

} // namespace agatedale
