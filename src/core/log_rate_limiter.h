/// \file
/// Bounds how many log lines are written.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace agatedale {

/// Lets a bounded number of lines of each event pass a second and counts the
/// others, so that logs stay small however much goes wrong at once.
///
///   if (!RateLimiter.admit("request-refused", NowSeconds)) return;
///   const std::uint64_t SuppressedLines =
///   RateLimiter.takeSuppressedLines("request-refused");
class log_rate_limiter {
public:
  explicit log_rate_limiter(int MaxEventLinesPerSecond)
      : MaxEventLinesPerSecond(MaxEventLinesPerSecond) {}

  /// Returns true if a line of \p Event may be written in \p Second.
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

  /// Returns how many lines of \p Event were left out since it was asked.
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
