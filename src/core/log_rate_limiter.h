/// \file
/// Limits the rate of log lines.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace agatedale {

/// Admits a fixed number of lines per event and second and counts the rejected
/// ones, so that the log volume stays bounded during large failures.
///
///   if (!RateLimiter.admit("request-refused", NowSeconds)) return;
///   const auto Lines = RateLimiter.takeSuppressedLines("request-refused");
class log_rate_limiter {
public:
  explicit log_rate_limiter(int MaxEventLinesPerSecond)
      : MaxEventLinesPerSecond(MaxEventLinesPerSecond) {}

  /// Returns true if another line of \p Event may be written in \p Second.
  bool admit(std::string_view Event, std::int64_t Second) {
    event_state &State = find(Event);
    if (State.Second != Second) {
      State.Second = Second;
      State.Lines = 0;
    }
    if (State.Lines < MaxEventLinesPerSecond) {
      ++State.Lines;
      return true;
    }
    ++State.SuppressedLines;
    return false;
  }

  /// Returns the number of lines of \p Event rejected since the previous call
  /// and resets it.
  std::uint64_t takeSuppressedLines(std::string_view Event) {
    std::uint64_t SuppressedLines = 0;
    std::swap(SuppressedLines, find(Event).SuppressedLines);
    return SuppressedLines;
  }

private:
  struct event_state {
    std::int64_t Second = 0;
    int Lines = 0;
    std::uint64_t SuppressedLines = 0;
  };

  event_state &find(std::string_view Event) {
    const auto Found = Events.find(Event);
    return Found != Events.end()
               ? Found->second
               : Events.emplace(std::string(Event), event_state{})
                     .first->second;
  }

  int MaxEventLinesPerSecond;
  std::map<std::string, event_state, std::less<>> Events;
};

} // namespace agatedale
