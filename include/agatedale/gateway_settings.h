/// \file
/// Settings of an agatedale-gateway process.
#pragma once

#include "agatedale/result.h"
#include "agatedale/rollout.h"
#include "agatedale/settings.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace agatedale {

/// Settings of an agatedale-gateway process, read from a TOML file.
///
///   auto Loaded = gateway_settings::fromFile("gateway.toml");
///   if (const error *Error = errorOf(Loaded)) ...
struct gateway_settings {
  std::string Vm;               ///< Name of the entry VM, unique in the fleet.
  std::string Ip;               ///< Address for peers.
  std::string Zone;             ///< Availability zone of the entry VM.
  std::string Region;           ///< Region of that zone.
  std::string CallerAddress;    ///< "ip:port" of the listener for callers.
  std::string ReadinessAddress; ///< "ip:port" of the readiness endpoint.
  std::string
      MetricsAddress; ///< "ip:port" of the metrics endpoint; empty for none.
  std::uint16_t PeerPort = 0; ///< The same on all entry VMs.
  std::string StoreAddress;   ///< "ip:port" of the platform store.
  std::map<std::string, std::string> Zones;  ///< Region by zone.
  std::chrono::milliseconds StopGrace{6000}; ///< From SIGTERM to SIGKILL.
  /// Interval at which servers renew their rows in the store.
  std::chrono::milliseconds ServerHeartbeat{1500};
  /// CPU cores available to the process, reduced on a slow link.
  double Capacity = 1;
  double LinkBytesPerSecond = 125e6;
  /// Maximum total bytes that are held for callers, servers and peers.
  std::size_t HeldBytes = 128 << 20;
  /// Maximum number of open descriptors of the process.
  std::size_t MaxDescriptors = 4096;
  double RetryPercent = 10; ///< Retries allowed per hundred requests.
  double RetryBurst = 50;   ///< Unused retries of a service, in the fleet.
  /// Requests of an account beyond its limit that are tolerated in a window.
  double QuotaSlack = 0;
  /// Learn how many requests in flight per server give the most on-time
  /// answers; otherwise every server gets all its slots.
  bool LearnsConcurrency = false;
  /// Under high load, prefer requests that can still be on time.
  bool ControlsOverload = false;
  /// Tell refused callers to return within the time that they honour.
  bool BoundsRetryAfter = false;
  /// Avoid servers that are slower than they report.
  bool MeasuresSpeed = false;
  /// Spread requests over server groups while the best one is nearly full.
  bool SpreadsPlacement = false;
  /// Hedged requests that the operators allow per hundred requests; 0 for none.
  double HedgePercent = 0;
  /// True if the whole system starts for the first time.
  bool IsBootstrap = false;
  /// Writes per second that the store performs in a table.
  double StoreWritesPerSecond = 200;
  /// Requests from other regions are offered to several groups of the region.
  bool RegionalOverflow = false;
  /// Bounds of rollouts; without them versions are ignored.
  std::optional<rollout_bounds> Rollouts;
  /// Time after the revocation of a client's key in which requests sent with it
  /// may still run. Absent: revocations take effect like any other change.
  std::optional<std::chrono::milliseconds> KeyRevocation;
  /// Time within which a version of the configuration must be in force.
  std::chrono::milliseconds ConfigurationApply{2000};
  log_level Level = log_level::Info;

  /// Reads and validates \p File. Errors contain file, line and key.
  static result<gateway_settings> fromFile(const std::filesystem::path &File);
};

} // namespace agatedale
