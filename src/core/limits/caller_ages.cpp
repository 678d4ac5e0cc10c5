/// \file
/// How long callers have waited before they send a request again.
#include "agatedale/caller_ages.h"

#include <algorithm>

namespace agatedale {

namespace {

/// A time is usual from this number and share of the requests on. Callers that
/// return spread over many milliseconds: with two returns per request, each
/// value gets less than a twentieth.
constexpr double MinUsualCount = 3;
constexpr double MinUsualShare = 0.1;

/// Number of requests after which all counts are halved, so that callers with
/// changed time-outs are known after some hundred requests.
constexpr double MaxTotal = 256;

/// Values kept by route. At most ten can be usual.
constexpr std::size_t MaxTimes = 64;

constexpr std::size_t MaxRoutes = 1024;

} // namespace

void caller_ages::record(route_times &Route, std::chrono::milliseconds Stated) {
  std::vector<stated_time> &Times = Route.Times;
  Route.Total += 1;
  const auto Known = std::find_if(
      Times.begin(), Times.end(),
      [Stated](const stated_time &Time) { return Time.Value == Stated; });
  if (Known != Times.end())
    Known->Count += 1;
  else if (Times.size() < MaxTimes)
    Times.push_back({Stated, 1});
  else
    *std::min_element(Times.begin(), Times.end(),
                      [](const stated_time &Left, const stated_time &Right) {
                        return Left.Count < Right.Count;
                      }) = {Stated, 1};
  if (Route.Total < MaxTotal)
    return;
  Route.Total /= 2;
  for (stated_time &Time : Times)
    Time.Count /= 2;
}

std::chrono::milliseconds caller_ages::ageOf(const std::string &Route,
                                             std::chrono::milliseconds Stated) {
  if (!Routes.contains(Route) && Routes.size() >= MaxRoutes)
    return std::chrono::milliseconds(0);
  route_times &Times = Routes[Route];
  record(Times, Stated);
  std::optional<std::chrono::milliseconds> Usual;
  for (const stated_time &Time : Times.Times) {
    const bool IsUsual = Time.Count >= MinUsualCount &&
                         Time.Count >= MinUsualShare * Times.Total;
    if (IsUsual && Time.Value >= Stated)
      Usual = std::min(Usual.value_or(Time.Value), Time.Value);
  }
  return Usual ? *Usual - Stated : std::chrono::milliseconds(0);
}

} // namespace agatedale
