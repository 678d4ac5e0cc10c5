/// \file
/// The phases of a planned stop.
#pragma once

#include "agatedale/clock.h"
#include "agatedale/finish_limit.h"

#include <chrono>
#include <cstddef>

namespace agatedale {

enum class stop_phase {
  Draining,  ///< Connections are accepted and requests served.
  Closing,   ///< No connection is accepted and idle ones are closed.
  Answering, ///< Every request is answered at once.
  Ended
};

/// What a stop waits for.
struct stop_work {
  std::size_t Requests = 0;    ///< Of callers and peers, without an answer.
  std::size_t Dispatched = 0;  ///< Queued or sent to a server.
  std::size_t Connections = 0; ///< Of callers.
  bool RowRemains = false;     ///< The own row's removal is not completed.

  bool isNone() const {
    return Requests == 0 && Dispatched == 0 && Connections == 0 && !RowRemains;
  }
};

/// Decides when a stop goes to its next phase.
///
///   stop_sequence Sequence = stop_sequence::create(Now, Grace);
///   if (Sequence.advance(Work, Now)) enter(Sequence.phase());
class stop_sequence {
public:
  /// Time until the platform stops sending new connections: it takes a VM out
  /// of rotation after two failed readiness checks, which it makes once a
  /// second.
  static constexpr duration DrainDelay = std::chrono::milliseconds(2300);

  /// Time for the responses to the requests that a stop has not waited for.
  static constexpr duration FinalResponseTime = std::chrono::milliseconds(300);

  /// The responses of a stop are sent at least this long before the platform
  /// kills the process.
  static constexpr duration Margin = std::chrono::milliseconds(700);

  /// Time for the last answers of servers and peers to arrive before the
  /// responses are sent.
  static constexpr duration ReplyTime = std::chrono::milliseconds(100);

  /// The platform kills the process \p Grace after \p Since.
  static stop_sequence create(time_point Since, duration Grace);

  /// Returns the limit for the requests that this stop still answers. Those
  /// without a known run time may begin in the first half of the grace.
  finish_limit finishLimit() const {
    return {Since + MaxTime - ReplyTime, Since + (MaxTime + Margin) / 2};
  }

  /// Goes to the next phase if it is time, and returns true if so. Goes one
  /// phase at a time, however late the call is, so that none is left out.
  bool advance(const stop_work &Work, time_point Now);

  stop_phase phase() const { return Phase; }
  time_point since() const { return Since; }

private:
  stop_sequence(time_point Since, duration MaxTime)
      : Since(Since), MaxTime(MaxTime) {}

  bool isOver(const stop_work &Work, duration Elapsed) const;

  time_point Since;
  duration MaxTime; ///< From which on requests are not waited for.
  stop_phase Phase = stop_phase::Draining;
};

} // namespace agatedale
