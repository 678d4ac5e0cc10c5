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
  bool IsNumber; ///< The value is written without quotes.
};

/// Sets the minimum level that is logged; the default is Info.
void setLogLevel(log_level Level);

/// Logs one line with a JSON object of time, level, event and \p Fields. A
/// background thread writes the lines. Lines are dropped if its queue is full
/// or if \p Event exceeds its rate limit; the field "left_out" of the next line
/// has their number. Request bodies are never logged.
void logLine(log_level Level, std::string_view Event,
             std::initializer_list<log_field> Fields = {});

/// Returns a log line as JSON. \p SuppressedLines is the number of lines
/// dropped since the previous one.
std::string formatLogLine(log_level Level, std::string_view Event,
                          std::string_view Time,
                          std::initializer_list<log_field> Fields,
                          std::uint64_t SuppressedLines);

} // namespace agatedale
