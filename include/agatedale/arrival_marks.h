/// \file
/// When the bytes of a buffer arrived.
#pragma once

#include "agatedale/clock.h"

#include <algorithm>
#include <cstddef>
#include <deque>

namespace agatedale {

/// Tells when the byte at the front of a buffer arrived. Requests wait in a
/// buffer behind others of their connection, and their callers wait as long.
///
///   Marks.onAppended(Bytes.size(), ArrivedAt);
///   Marks.onConsumed(Used);
///   time_point Arrived = Marks.front();
class arrival_marks {
public:
  /// Called when bytes that arrived at \p At are appended to the buffer.
  void onAppended(std::size_t Bytes, time_point At) {
    if (Bytes > 0)
      Marks.push_back({Bytes, At});
  }

  /// Called when bytes are removed from the front of the buffer.
  void onConsumed(std::size_t Bytes) {
    while (Bytes > 0 && !Marks.empty()) {
      const std::size_t Count = std::min(Bytes, Marks.front().Bytes);
      Bytes -= Count;
      Consumed = Marks.front().At;
      Marks.front().Bytes -= Count;
      if (Marks.front().Bytes == 0)
        Marks.pop_front();
    }
  }

  void clear() { Marks.clear(); }

  /// Returns when the first byte arrived. The buffer must not be empty.
  time_point front() const { return Marks.front().At; }

  /// Returns when the byte arrived that was removed last.
  time_point lastConsumed() const { return Consumed; }

private:
  struct mark {
    std::size_t Bytes;
    time_point At;
  };

  std::deque<mark> Marks;
  time_point Consumed{};
};

} // namespace agatedale
