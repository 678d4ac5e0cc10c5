/// \file
/// A VM's own memory of refusals, and its allowance without an owner.
#pragma once

#include "agatedale/quota_bucket.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace agatedale {

/// What a VM decides about its requests without asking the owner of the
/// account's bucket.
///
///   quota_client Client;
///   if (auto RetryAfter = Client.refusal("web", Draw, Now)) refuse();
///   else if (Client.takeLocal("web", Rate, Draw, Now)) serve();
class quota_client {
public:
  /// Records a refusal. Requests are refused without asking for \p RefuseFor;
  /// the caller was told to return after \p RetryAfter.
  void onRefused(const std::string &Account, duration RefuseFor,
                 duration RetryAfter, time_point Now);

  /// Returns the time to tell the caller if a refusal is remembered. \p Draw is
  /// uniform in [0, 1) and spreads the callers over the time that the refused
  /// one was told.
  std::optional<duration> refusal(std::string_view Account, double Draw,
                                  time_point Now) const;

  /// Records that an owner has answered: there is no local allowance then.
  void onOwnerAnswered(const std::string &Account) { Local.erase(Account); }

  /// Takes a token of the local allowance, which accrues at \p Rate and has no
  /// burst. \p Draw is the part of a token that the allowance begins with.
  bool takeLocal(const std::string &Account, double Rate, double Draw,
                 time_point Now);

  /// Forgets the refusals, because limits have changed.
  void forgetRefusals() { Refusals.clear(); }

private:
  struct remembered_refusal {
    time_point Until{};
    time_point Turn{}; ///< Of the caller that was refused by the owner.
  };

  std::map<std::string, remembered_refusal, std::less<>> Refusals;
  std::map<std::string, quota_bucket, std::less<>> Local;
};

} // namespace agatedale
