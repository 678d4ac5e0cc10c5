/// \file
/// What callers that return after a refusal were told, and what they get.
#include "agatedale/told_returns.h"

#include <iterator>

namespace agatedale {

namespace {

/// Difference between two statements of one deadline: the rounding to
/// milliseconds and the change of the latency from the caller.
constexpr duration Tolerance = std::chrono::milliseconds(20);

/// Callers by route; the one whose deadline is first is forgotten.
constexpr std::size_t MaxCallers = 1024;
constexpr std::size_t MaxRoutes = 1024;

} // namespace

void told_returns::remember(const std::string &Route, time_point Deadline,
                            duration RetryAfter) {
  if (!ByRoute.contains(Route) && ByRoute.size() >= MaxRoutes)
    return;
  auto &Callers = ByRoute[Route];
  if (Callers.size() >= MaxCallers)
    Callers.erase(Callers.begin());
  Callers.emplace(Deadline, RetryAfter);
}

std::optional<duration> told_returns::recall(const std::string &Route,
                                             time_point Deadline) {
  const auto Found = ByRoute.find(Route);
  if (Found == ByRoute.end())
    return std::nullopt;
  auto &Callers = Found->second;
  auto Nearest = Callers.lower_bound(Deadline);
  const bool HasEarlier = Nearest != Callers.begin();
  if (HasEarlier &&
      (Nearest == Callers.end() ||
       Deadline - std::prev(Nearest)->first < Nearest->first - Deadline))
    --Nearest;
  if (Nearest == Callers.end() || Nearest->first > Deadline + Tolerance ||
      Nearest->first < Deadline - Tolerance)
    return std::nullopt;
  const duration Told = Nearest->second;
  Callers.erase(Nearest);
  return Told;
}

std::string_view returnOutcome(verdict Verdict, time_point Now,
                               time_point Aim) {
  if (Verdict == verdict::NotRun)
    return "refused";
  if (Verdict != verdict::Answered)
    return "";
  return Now <= Aim ? "on-time" : "late";
}

} // namespace agatedale
