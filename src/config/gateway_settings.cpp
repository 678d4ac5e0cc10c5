/// \file
/// Reads the settings of agatedale-gateway.
#include "agatedale/gateway_settings.h"
#include "../http/address.h"
#include "toml_reader.h"

#include <algorithm>

namespace agatedale {

namespace {

constexpr std::int64_t MaxPort = 65535;
constexpr double MaxStopGraceSeconds = 600;
constexpr int MaxHeartbeatMillis = 600'000;
constexpr double MillisPerSecond = 1000;
constexpr int MaxRollbackMillis = 86'400'000;

/// A shorter bound would end while the configuration is on its way to a VM.
constexpr int MinKeyRevocationMillis = 1000;
constexpr int MaxKeyRevocationMillis = 600'000;
constexpr int MinConfigurationApplyMillis = 100;
constexpr int MaxConfigurationApplyMillis = 600'000;

/// Share of the configured retry ratio that group owners use without
/// coordination. The remainder covers ownership changes.
constexpr double OwnerRetryShare = 0.9;
constexpr double Percent = 100;

/// Share of the memory for bytes that are held for callers, servers and peers.
/// The rest is for the process itself (12 MB) and for connections (4,000 of
/// 5 kB). Of 160 MB, the largest request (64 MiB) and the largest response
/// (32 MiB) fit together.
constexpr double HeldMemoryShare = 0.65;
constexpr double BytesPerMebibyte = 1 << 20;
constexpr double DefaultMemoryMb = 256;

/// The smallest VMs in use have 4,100 descriptors.
constexpr std::int64_t DefaultMaxDescriptors = 4096;

/// CPU cores per Mbit/s of the link. A VM on a 10 Mbit/s link, the slowest in
/// use, has the same capacity as the VMs with 0.2 cores at small sites.
constexpr double CoresPerMegabit = 0.02;
constexpr double BytesPerMegabit = 1e6 / 8;

} // namespace

result<gateway_settings>
gateway_settings::fromFile(const std::filesystem::path &File) {
  const result<toml::table> Parsed = parseTomlFile(File);
  if (const error *Error = errorOf(Parsed))
    return *Error;
  toml_reader Reader(valueOf(Parsed), "");
  gateway_settings Settings;
  Settings.Vm = Reader.requiredString("vm");
  Settings.Ip = Reader.requiredString("ip");
  if (!isIpv4(Settings.Ip))
    Reader.addError("ip", "expected an IPv4 address");
  Settings.Zone = Reader.requiredString("zone");
  Settings.Region = Reader.requiredString("region");
  Settings.CallerAddress = Reader.requiredString("caller_address");
  Settings.ReadinessAddress = Reader.requiredString("readiness_address");
  Settings.StoreAddress = Reader.requiredString("store_address");
  Settings.MetricsAddress = Reader.stringValue("metrics_address", "");
  Settings.PeerPort =
      static_cast<std::uint16_t>(Reader.integer("peer_port", 0, 1, MaxPort));
  Settings.StopGrace = std::chrono::milliseconds(static_cast<std::int64_t>(
      MillisPerSecond *
      Reader.number("stop_grace_s", 6, 0.5, MaxStopGraceSeconds)));
  Settings.ServerHeartbeat = std::chrono::milliseconds(
      Reader.integer("server_heartbeat_ms", 1500, 10, MaxHeartbeatMillis));
  const double LinkMegabits = Reader.number("link_mbps", 1e6, 0.001, 1e6);
  Settings.Capacity = std::min(Reader.number("cpu_share", 1, 0.001, 1024),
                               CoresPerMegabit * LinkMegabits);
  Settings.LinkBytesPerSecond = BytesPerMegabit * LinkMegabits;
  Settings.HeldBytes = static_cast<std::size_t>(
      HeldMemoryShare * BytesPerMebibyte *
      Reader.number("memory_mb", DefaultMemoryMb, 16, 1 << 20));
  Settings.MaxDescriptors = static_cast<std::size_t>(
      Reader.integer("max_fds", DefaultMaxDescriptors, 256, 1 << 20));
  Settings.RetryPercent =
      Percent * OwnerRetryShare * Reader.number("retry_ratio", 0.2, 0, 10);
  Settings.RetryBurst = Reader.number("retry_burst", 50, 0, 1e6);
  Settings.QuotaSlack = Reader.number("quota_slack", 0, 0, 1e6);
  Settings.LearnsConcurrency = Reader.boolean("learned_concurrency", false);
  Settings.ControlsOverload = Reader.boolean("overload_control", false);
  Settings.MeasuresSpeed = Reader.boolean("measured_speed", false);
  Settings.SpreadsPlacement = Reader.boolean("spread_placement", false);
  Settings.BoundsRetryAfter = Reader.boolean("bounded_retry_after", false);
  Settings.HedgePercent = Reader.number("hedge_percent", 0, 0, Percent);
  Settings.IsBootstrap = Reader.boolean("bootstrap", false);
  Settings.StoreWritesPerSecond =
      Reader.number("store_writes_per_s", 200, 1, 1e6);
  Settings.RegionalOverflow = Reader.boolean("regional_overflow", false);
  rollout_bounds Rollouts;
  const double NoExposure = -1;
  Rollouts.ExposureShare =
      Reader.number("rollout_exposure_share", NoExposure, NoExposure, 1);
  Rollouts.ExposureSlack = Reader.number("rollout_exposure_slack", 0, 0, 1e9);
  Rollouts.Rollback = std::chrono::milliseconds(
      Reader.integer("rollout_rollback_ms", 5000, 1, MaxRollbackMillis));
  if (Rollouts.ExposureShare >= 0)
    Settings.Rollouts = Rollouts;
  if (valueOf(Parsed).contains("key_revocation_ms"))
    Settings.KeyRevocation = std::chrono::milliseconds(
        Reader.integer("key_revocation_ms", 0, MinKeyRevocationMillis,
                       MaxKeyRevocationMillis));
  Settings.ConfigurationApply = std::chrono::milliseconds(
      Reader.integer("configuration_apply_ms", 2000,
                     MinConfigurationApplyMillis, MaxConfigurationApplyMillis));
  Settings.Level = parseLogLevel(Reader.choice(
      "log_level", "info", {"debug", "info", "warning", "error"}));
  if (const toml::table *Zones = Reader.table("zones")) {
    toml_reader ZoneReader(*Zones, "zones");
    for (const auto &[Key, Node] : *Zones)
      Settings.Zones.emplace(Key.str(), ZoneReader.requiredString(Key.str()));
    if (const error *Error = ZoneReader.finish())
      return *Error;
  }
  if (!Settings.Zones.contains(Settings.Zone))
    Reader.addError("zones", "must contain the zone of this VM");
  if (const error *Error = Reader.finish())
    return *Error;
  return Settings;
}

} // namespace agatedale
