/// \file
/// What callers that return after a refusal were told, and what they get.
#pragma once

#include "agatedale/clock.h"
#include "agatedale/verdict.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace agatedale {

/// Remembers the Retry-After times that this VM has told callers. A caller that
/// returns states what remains of the same deadline, by which it is recognised;
/// of callers with nearly the same deadline one stands for the other.
///
///   told_returns Told = told_returns::create();
///   Told.remember(Route, Deadline, RetryAfter);
///   std::optional<duration> Earlier = Told.recall(Route, Deadline);
class told_returns {
public:
  static told_returns create() { return {}; }

  void remember(const std::string &Route, time_point Deadline,
                duration RetryAfter);

  /// Returns what the caller was told, and forgets it. Returns nothing if
  /// another VM told it.
  std::optional<duration> recall(const std::string &Route, time_point Deadline);

private:
  told_returns() = default;

  std::map<std::string, std::multimap<time_point, duration>> ByRoute;
};

/// Returns the label of the outcome for a caller that returned: "on-time",
/// "late", "refused", or empty if its request may have run without an answer.
std::string_view returnOutcome(verdict Verdict, time_point Now, time_point Aim);

} // namespace agatedale
