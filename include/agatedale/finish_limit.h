/// \file
/// Whether a request can be finished before a VM that answers it ends.
#pragma once

#include "agatedale/clock.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace agatedale {

/// The end of the VM that took a request from its caller, or of one on its way
/// to the server. A request that cannot be finished before it is refused as not
/// run, so that its caller can repeat it elsewhere at once.
///
///   if (!Limit.allows({Now, Item.Deadline, RunTime}))
///     refuse(Item);
struct finish_limit {
  /// What decides whether a request is finished in time.
  struct request_times {
    time_point Begin;                ///< When a server begins to run it.
    time_point Deadline;             ///< Its caller waits no longer.
    std::optional<duration> RunTime; ///< Typical for it; nothing if not known.
    bool MustWait = false;           ///< No server is free for it.
  };

  /// Runs are taken to last up to this many typical run times: servers slow
  /// down several times over for moments.
  static constexpr int RunTimeFactor = 3;

  /// Answers must have arrived at this time. The maximum stands for no limit.
  time_point By = time_point::max();
  /// Requests without a known run time may begin until this time, if a server
  /// is free for them.
  time_point UnmeasuredUntil = time_point::max();

  bool isSet() const { return By != time_point::max(); }

  /// Returns the stricter of two limits.
  static finish_limit earlier(const finish_limit &Left,
                              const finish_limit &Right) {
    return {std::min(Left.By, Right.By),
            std::min(Left.UnmeasuredUntil, Right.UnmeasuredUntil)};
  }

  /// Returns true if a request with \p Times is answered in time, or its caller
  /// stops waiting before.
  bool allows(const request_times &Times) const {
    if (!isSet() || Times.Deadline <= By)
      return true;
    if (!Times.RunTime)
      return !Times.MustWait && Times.Begin <= UnmeasuredUntil;
    return Times.Begin + RunTimeFactor * *Times.RunTime <= By;
  }
};

} // namespace agatedale
