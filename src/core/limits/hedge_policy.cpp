/// \file
/// When a slow request is repeated as a hedged request.
#include "agatedale/hedge_policy.h"

#include <algorithm>
#include <cmath>

namespace agatedale {

namespace {

/// Hedged requests that can accumulate unused, so that a burst of slow
/// requests after a quiet time stays a small part of the load.
constexpr double MaxTokens = 3;

/// Samples of a route before it is hedged, so that a few slow answers after a
/// start do not determine the age.
constexpr double MinSamples = 100;

/// Samples after which all counts are halved: the age follows a changed
/// distribution within some hundred requests.
constexpr double MaxSamples = 1000;

/// Samples after which the age is computed again.
constexpr int UpdateInterval = 20;

constexpr std::size_t MaxRoutes = 256;

/// Buckets grow by 12%, from 100 us to 180 s.
constexpr double FirstSeconds = 1e-4;
constexpr double Growth = 1.12;

constexpr double PercentPerShare = 100;

double secondsOf(std::size_t Bucket) {
  return FirstSeconds * std::pow(Growth, static_cast<double>(Bucket));
}

} // namespace

void hedge_policy::onRequest() {
  Tokens = std::min(Tokens + Percent / PercentPerShare, MaxTokens);
}

bool hedge_policy::tryTake() {
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

void hedge_policy::record(std::string_view Route, duration ServiceTime,
                          bool IsCancelled) {
  if (!isEnabled())
    return;
  auto Found = Routes.find(Route);
  if (Found == Routes.end()) {
    if (Routes.size() >= MaxRoutes)
      return;
    Found = Routes.emplace(Route, distribution()).first;
  }
  distribution &Times = Found->second;
  double Seconds = std::chrono::duration<double>(ServiceTime).count();
  // It would have taken longer. Without an estimate of how much, each hedge
  // would shorten the age.
  if (IsCancelled)
    Seconds *= 2;
  const double Position =
      std::log(std::max(Seconds, FirstSeconds) / FirstSeconds) /
      std::log(Growth);
  const auto Bucket = static_cast<std::size_t>(
      std::min(Position, static_cast<double>(BucketCount - 1)));
  Times.Buckets.at(Bucket) += 1;
  Times.Total += 1;
  if (Times.Total >= MaxSamples) {
    Times.Total /= 2;
    for (double &Count : Times.Buckets)
      Count /= 2;
  }
  if (--Times.UntilUpdate > 0)
    return;
  Times.UntilUpdate = UpdateInterval;
  Times.Age = findAge(Times);
}

std::optional<duration> hedge_policy::findAge(const distribution &Times) const {
  if (Times.Total < MinSamples)
    return std::nullopt;
  double Mean = 0;
  for (std::size_t Bucket = 0; Bucket < BucketCount; ++Bucket)
    Mean += Times.Buckets.at(Bucket) * secondsOf(Bucket + 1) / Times.Total;
  const double MaxLonger = Times.Total * Percent / PercentPerShare;
  double Longer = 0;
  double LongerSeconds = 0;
  std::optional<duration> Age;
  // From the longest times down, while no more than the share is longer.
  for (std::size_t Bucket = BucketCount; Bucket-- > 0;) {
    Longer += Times.Buckets.at(Bucket);
    LongerSeconds += Times.Buckets.at(Bucket) * secondsOf(Bucket + 1);
    if (Longer > MaxLonger)
      break;
    const double Begin = secondsOf(Bucket);
    if (Longer <= 0 || LongerSeconds / Longer - Begin <= Mean)
      continue;
    Age = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(Begin));
  }
  return Age;
}

std::optional<duration> hedge_policy::ageOf(std::string_view Route) const {
  const auto Found = Routes.find(Route);
  return Found == Routes.end() ? std::nullopt : Found->second.Age;
}

} // namespace agatedale
