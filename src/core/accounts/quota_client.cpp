/// \file
/// Remembered refusals and local allowances.
#include "agatedale/quota_client.h"

#include <algorithm>

namespace agatedale {

void quota_client::onRefused(const std::string &Account, duration RefuseFor,
                             duration RetryAfter, time_point Now) {
  remembered_refusal &Refusal = Refusals[Account];
  Refusal.Until = std::max(Refusal.Until, Now + RefuseFor);
  Refusal.Turn = std::max(Refusal.Turn, Now + RetryAfter);
}

std::optional<duration> quota_client::refusal(std::string_view Account,
                                              double Draw,
                                              time_point Now) const {
  const auto Found = Refusals.find(Account);
  if (Found == Refusals.end() || Now >= Found->second.Until)
    return std::nullopt;
  const duration Earliest = Found->second.Until - Now;
  const duration Latest = std::max(Found->second.Turn - Now, Earliest);
  return Earliest +
         std::chrono::duration_cast<duration>(
             Draw * std::chrono::duration<double>(Latest - Earliest));
}

bool quota_client::takeLocal(const std::string &Account, double Rate,
                             double Draw, time_point Now) {
  const quota_limit Limit{Rate, 1};
  const auto [Found, IsNew] =
      Local.try_emplace(Account, quota_bucket::create(Limit, Draw, Now));
  Found->second.setLimit(Limit, Now);
  return Found->second.tryTake(Now);
}

} // namespace agatedale
