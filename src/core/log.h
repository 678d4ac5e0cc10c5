/// \file
/// Structured log lines on standard error.
#pragma once

#include "agatedale/settings.h"

#include <fmt/format.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace agatedale {

/// One field of a log line.
struct log_field {
  template <typename T>
  log_field(std::string_view Key, const T &Value)
      : Key(Key), Value(fmt::format("{}", Value)) {}

  std::string_view Key;
  std::string Value;
};

/// Sets the least level that is written; the default is Info.
void setLogLevel(log_level Level);

/// Writes one line: time, level and event, then key=value for each field.
/// Values with spaces are quoted. Bodies of requests are never logged.
void logLine(log_level Level, std::string_view Event,
             std::initializer_list<log_field> Fields = {});

} // namespace agatedale
