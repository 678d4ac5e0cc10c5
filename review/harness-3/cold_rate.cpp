/// \file
/// Windows that begin with the sending of a request.
#include "cold_rate.h"

#include <algorithm>
#include <vector>

namespace agatedale::review {

namespace {

struct sent_arrival {
  steady_clock::time_point SentAt;
  steady_clock::time_point At;
};

} // namespace

int mostInSecondWhileCold(std::span<const arrival> Arrivals,
                          const send_times &SentAt) {
  std::vector<sent_arrival> Cold;
  for (const arrival &Each : Arrivals) {
    const auto Sent = SentAt.find(Each.RequestId);
    if (Each.IsCold && Sent != SentAt.end())
      Cold.push_back({Sent->second, Each.At});
  }
  std::ptrdiff_t Most = 0;
  for (const sent_arrival &First : Cold) {
    const auto Count =
        std::count_if(Cold.begin(), Cold.end(), [&](const sent_arrival &Each) {
          return Each.SentAt >= First.SentAt &&
                 Each.At <= First.SentAt + std::chrono::seconds(1);
        });
    Most = std::max(Most, Count);
  }
  return static_cast<int>(Most);
}

} // namespace agatedale::review
