/// \file
/// Reads the settings of a process.
#include "agatedale/settings.h"
#include "toml_reader.h"

#include <fmt/format.h>

namespace agatedale {

namespace {

constexpr std::int64_t MaxPort = 65535;
constexpr std::int64_t MaxTimingMs = 600'000;

std::chrono::milliseconds readTime(toml_reader &Reader, std::string_view Key,
                                   std::chrono::milliseconds Default) {
  return std::chrono::milliseconds(
      Reader.integer(Key, Default.count(), 1, MaxTimingMs));
}

void readTiming(toml_reader &Reader, process_timing &Timing) {
  Timing.Lease = readTime(Reader, "lease_ms", Timing.Lease);
  Timing.Heartbeat = readTime(Reader, "heartbeat_ms", Timing.Heartbeat);
  Timing.HeartbeatTimeout =
      readTime(Reader, "heartbeat_timeout_ms", Timing.HeartbeatTimeout);
  Timing.StorePoll = readTime(Reader, "store_poll_ms", Timing.StorePoll);
  Timing.StoreTimeout =
      readTime(Reader, "store_timeout_ms", Timing.StoreTimeout);
  Timing.ConfigurationLease =
      readTime(Reader, "configuration_lease_ms", Timing.ConfigurationLease);
  Timing.StopNotice = readTime(Reader, "stop_notice_ms", Timing.StopNotice);
  Timing.StopGrace = readTime(Reader, "stop_grace_ms", Timing.StopGrace);
  Timing.CallerTimeout =
      readTime(Reader, "caller_timeout_ms", Timing.CallerTimeout);
  if (Timing.Lease < 3 * Timing.Heartbeat)
    Reader.addError("lease_ms", "must be at least three times heartbeat_ms");
}

void readLimits(toml_reader &Reader, process_limits &Limits) {
  Limits.CallerThreads = static_cast<int>(
      Reader.integer("caller_threads", Limits.CallerThreads, 1, 4096));
  Limits.PeerThreads = static_cast<int>(
      Reader.integer("peer_threads", Limits.PeerThreads, 8, 4096));
  Limits.HeaderBytes =
      Reader.integer("header_bytes", Limits.HeaderBytes, 256, 1 << 20);
  Limits.BufferedBodyBytes = Reader.integer(
      "buffered_body_bytes", Limits.BufferedBodyBytes, 0, 1 << 24);
  Limits.BufferedAnswerBytes = Reader.integer(
      "buffered_answer_bytes", Limits.BufferedAnswerBytes, 0, 1 << 24);
  Limits.KeyEntries = static_cast<int>(
      Reader.integer("key_entries", Limits.KeyEntries, 1, 10'000'000));
}

std::uint16_t readPort(toml_reader &Reader, std::string_view Key,
                       std::uint16_t Default) {
  return static_cast<std::uint16_t>(Reader.integer(Key, Default, 1, MaxPort));
}

} // namespace

log_level parseLogLevel(std::string_view Name) {
  if (Name == "debug")
    return log_level::Debug;
  if (Name == "warning")
    return log_level::Warning;
  return Name == "error" ? log_level::Error : log_level::Info;
}

result<settings> settings::fromFile(const std::filesystem::path &File) {
  const result<toml::table> Parsed = parseTomlFile(File);
  if (const error *Error = errorOf(Parsed))
    return *Error;
  toml_reader Reader(valueOf(Parsed), "");
  settings Settings;
  Settings.Vm = Reader.requiredString("vm");
  Settings.Ip = Reader.requiredString("ip");
  Settings.Zone = Reader.requiredString("zone");
  Settings.Region = Reader.requiredString("region");
  Settings.PlatformAddress = Reader.requiredString("platform_address");
  Settings.CallerPort = readPort(Reader, "caller_port", Settings.CallerPort);
  Settings.AdminPort = readPort(Reader, "admin_port", Settings.AdminPort);
  Settings.PeerPort = readPort(Reader, "peer_port", Settings.PeerPort);
  Settings.Level = parseLogLevel(Reader.choice(
      "log_level", "info", {"debug", "info", "warning", "error"}));
  if (const toml::table *Limits = Reader.table("limits")) {
    toml_reader LimitsReader(*Limits, "limits");
    readLimits(LimitsReader, Settings.Limits);
    if (const error *Error = LimitsReader.finish())
      return *Error;
  }
  if (const toml::table *Timing = Reader.table("timing")) {
    toml_reader TimingReader(*Timing, "timing");
    readTiming(TimingReader, Settings.Timing);
    if (const error *Error = TimingReader.finish())
      return *Error;
  }
  if (const error *Error = Reader.finish())
    return *Error;
  return Settings;
}

} // namespace agatedale
