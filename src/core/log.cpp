/// \file
/// Writes log lines.
#include "log.h"

#include <fmt/chrono.h>

#include <atomic>
#include <chrono>
#include <cstdio>

namespace agatedale {

namespace {

std::atomic<log_level> LeastLevel{log_level::Info};

std::string_view levelName(log_level Level) {
  switch (Level) {
  case log_level::Debug:
    return "debug";
  case log_level::Info:
    return "info";
  case log_level::Warning:
    return "warning";
  case log_level::Error:
    break;
  }
  return "error";
}

std::string quoted(const std::string &Value) {
  const bool Plain =
      !Value.empty() && Value.find_first_of(" \"\n\r=") == std::string::npos;
  if (Plain)
    return Value;
  std::string Text = "\"";
  for (const char C : Value) {
    if (C == '"' || C == '\\')
      Text.push_back('\\');
    Text.push_back(C == '\n' || C == '\r' ? ' ' : C);
  }
  return Text + "\"";
}

} // namespace

void setLogLevel(log_level Level) { LeastLevel = Level; }

void logLine(log_level Level, std::string_view Event,
             std::initializer_list<log_field> Fields) {
  if (Level < LeastLevel.load())
    return;
  const auto Now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const auto Millis = Now.time_since_epoch().count() % 1000;
  std::string Line =
      fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={}",
                  fmt::gmtime(std::chrono::system_clock::to_time_t(Now)),
                  Millis, levelName(Level), Event);
  for (const log_field &Field : Fields)
    Line += fmt::format(" {}={}", Field.Key, quoted(Field.Value));
  fmt::print(stderr, "{}\n", Line);
}

} // namespace agatedale
