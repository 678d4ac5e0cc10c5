/// \file
/// Tallies of responses.
#include "agatedale/rollout.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace agatedale {

std::size_t response_tally::bucketOf(duration Time) {
  const double Millis = static_cast<double>(toMicros(Time)) / 1000;
  if (Millis <= 1)
    return 0;
  const double Index = std::ceil(2 * std::log2(Millis));
  return std::min(static_cast<std::size_t>(Index), BucketCount - 1);
}

std::uint32_t response_tally::count() const {
  return std::accumulate(Times.begin(), Times.end(), Failed + Untimed);
}

void response_tally::add(const response_tally &Other) {
  Failed += Other.Failed;
  Untimed += Other.Untimed;
  for (std::size_t I = 0; I < BucketCount; ++I)
    Times[I] += Other.Times[I];
}

response_tally response_tally::since(const response_tally &Earlier) const {
  const auto Less = [](std::uint32_t Now, std::uint32_t Before) {
    return Now > Before ? Now - Before : 0;
  };
  response_tally Difference;
  Difference.Failed = Less(Failed, Earlier.Failed);
  Difference.Untimed = Less(Untimed, Earlier.Untimed);
  for (std::size_t I = 0; I < BucketCount; ++I)
    Difference.Times[I] = Less(Times[I], Earlier.Times[I]);
  return Difference;
}

} // namespace agatedale
