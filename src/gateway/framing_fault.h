/// \file
/// Reasons why a message cannot be decoded.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace agatedale {

/// What is wrong with a message.
enum class framing_fault : std::uint8_t {
  None,
  StartLine,
  Target,
  StatusCode,
  Header,
  HeadTooLarge,
  BodyTooLarge,
  Host,
  ContentLength,
  TransferCoding, ///< The length of the body is not known.
  UnknownCoding,  ///< The length is known, but not how to decode the body.
  Chunk
};

inline constexpr std::size_t FramingFaults =
    static_cast<std::size_t>(framing_fault::Chunk) + 1;

/// Messages that could not be decoded, by fault.
using fault_counts = std::array<std::uint64_t, FramingFaults>;

/// Returns the name of \p Fault for log lines and metrics.
constexpr std::string_view faultName(framing_fault Fault) {
  switch (Fault) {
  case framing_fault::None:
    return "none";
  case framing_fault::StartLine:
    return "start-line";
  case framing_fault::Target:
    return "target";
  case framing_fault::StatusCode:
    return "status";
  case framing_fault::Header:
    return "header";
  case framing_fault::HeadTooLarge:
    return "head-too-large";
  case framing_fault::BodyTooLarge:
    return "body-too-large";
  case framing_fault::Host:
    return "host";
  case framing_fault::ContentLength:
    return "content-length";
  case framing_fault::TransferCoding:
    return "transfer-coding";
  case framing_fault::UnknownCoding:
    return "unknown-coding";
  case framing_fault::Chunk:
    break;
  }
  return "chunk";
}

} // namespace agatedale
