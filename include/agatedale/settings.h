/// \file
/// Settings of one agatedale-entry process.
#pragma once

#include "agatedale/result.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>

namespace agatedale {

/// How much is logged.
enum class log_level { Debug, Info, Warning, Error };

/// Returns the level that settings name \p Name; Info for any other.
log_level parseLogLevel(std::string_view Name);

/// Bounds on what a process takes in and keeps.
struct process_limits {
  int CallerThreads = 256;
  int PeerThreads = 512;
  std::int64_t HeaderBytes = 16 * 1024;
  std::int64_t BufferedBodyBytes = 64 * 1024;
  std::int64_t BufferedAnswerBytes = 256 * 1024;
  int KeyEntries = 20'000; ///< For each key partition.
};

/// Times that the protocols between the processes run by.
struct process_timing {
  std::chrono::milliseconds Lease{1500};
  std::chrono::milliseconds Heartbeat{500};
  std::chrono::milliseconds HeartbeatTimeout{1300};
  std::chrono::milliseconds StorePoll{500};
  std::chrono::milliseconds StoreTimeout{1000};
  std::chrono::milliseconds ConfigurationLease{5000};
  /// After a stop is asked for, how long callers are still served while the
  /// platform's balancer learns that the VM is not ready.
  std::chrono::milliseconds StopNotice{1500};
  std::chrono::milliseconds StopGrace{30'000};
  std::chrono::milliseconds CallerTimeout{10'000};
};

/// Settings of one agatedale-entry process, read from a TOML file.
///
///   auto Loaded = settings::fromFile("entry.toml");
///   if (const error *Error = errorOf(Loaded)) ...
struct settings {
  std::string Vm;     ///< Name of the entry VM, unique in the fleet.
  std::string Ip;     ///< Address that callers and peers reach it under.
  std::string Zone;   ///< Availability zone that it stands in.
  std::string Region; ///< Region of that zone.
  std::uint16_t CallerPort = 8080;
  std::uint16_t AdminPort = 8081;
  std::uint16_t PeerPort = 8082;
  std::string PlatformAddress; ///< "ip:port" of the platform's service.
  log_level Level = log_level::Info;
  process_limits Limits;
  process_timing Timing;

  /// Reads and checks \p File; an error names file, line and key.
  static result<settings> fromFile(const std::filesystem::path &File);
};

} // namespace agatedale
