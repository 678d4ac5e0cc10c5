/// \file
/// Structured log lines on standard output.
#pragma once

#include "agatedale/settings.h"

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace agatedale {

/// One field of a log line.
struct log_field {
  template <typename T>
  log_field(std::string_view Key, const T &Value)
      : Key(Key), Value(fmt::format("{}", Value)),
        IsNumber(std::is_arithmetic_v<T>) {}

  std::string_view Key;
  std::string Value;
  bool IsNumber; ///< Written without quotes.
};

/// Sets the least level that is written; the default is Info.
void setLogLevel(log_level Level);

/// Writes one JSON object on a line of its own: time, level, event and the
/// fields. The line is handed to a thread that writes; when that does not keep
/// up, or one event comes too often, lines are left out and counted in the
/// field "left_out" of the next one. Bodies of requests are never logged.
void logLine(log_level Level, std::string_view Event,
             std::initializer_list<log_field> Fields = {});

/// Returns the JSON text of a line.
std::string formatLogLine(log_level Level, std::string_view Event,
                          std::string_view Time,
                          std::initializer_list<log_field> Fields,
                          std::uint64_t SuppressedLines);

} // namespace agatedale
