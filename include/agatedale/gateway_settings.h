/// \file
/// Settings of one agatedale-gateway process.
#pragma once

#include "agatedale/result.h"
#include "agatedale/settings.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <string_view>

namespace agatedale {

/// Settings of one agatedale-gateway process, read from a TOML file.
///
///   auto Loaded = gateway_settings::fromFile("gateway.toml");
///   if (const error *Error = errorOf(Loaded)) ...
struct gateway_settings {
  std::string Vm;               ///< Name of the entry VM, unique in the fleet.
  std::string Ip;               ///< Address that peers reach it under.
  std::string Zone;             ///< Availability zone that it stands in.
  std::string Region;           ///< Region of that zone.
  std::string CallerAddress;    ///< "ip:port" that callers connect to.
  std::string ReadinessAddress; ///< "ip:port" that answers "is it ready".
  std::string MetricsAddress;   ///< "ip:port" of the metrics; empty for none.
  std::uint16_t PeerPort = 0;   ///< Same on every entry VM.
  std::string StoreAddress;     ///< "ip:port" of the platform's store.
  std::map<std::string, std::string> Zones;  ///< Region by zone.
  std::chrono::milliseconds StopGrace{6000}; ///< From SIGTERM to SIGKILL.
  /// Share of a core that the process can use: less on a slow link.
  double Capacity = 1;
  /// Bytes that the bodies of all requests may take together.
  std::size_t BodyBytes = 32 << 20;
  double RetryPercent = 10; ///< Retries that a hundred requests earn.
  log_level Level = log_level::Info;

  /// Reads and checks \p File; an error names file, line and key.
  static result<gateway_settings> fromFile(const std::filesystem::path &File);
};

} // namespace agatedale
