/// \file
/// Idempotency keys as callers make them.
#pragma once

#include <fmt/format.h>

#include <chrono>
#include <random>
#include <string>

namespace agatedale {

/// Returns a UUID of version 7 with the present time.
inline std::string makeFreshKey(std::mt19937_64 &Random) {
  const auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
  const std::string Time = fmt::format("{:012x}", Millis);
  return fmt::format("{}-{}-7{:03x}-{:04x}-{:012x}", Time.substr(0, 8),
                     Time.substr(8), Random() & 0xfff,
                     0x8000 | (Random() & 0x3fff), Random() & 0xffffffffffff);
}

} // namespace agatedale
