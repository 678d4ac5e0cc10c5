/// \file
/// Refusals for keys, and the memory of unknown ones.
#include "agatedale/account_gate.h"
#include "agatedale/entry_vm.h"
#include "agatedale/retry_after.h"

#include <algorithm>

namespace agatedale {

bool isKeyText(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char C) {
    return C > ' ' && C <= '~' && C != ',';
  });
}

account_admission account_gate::admit(const account_directory &Directory,
                                      const presented_key &Key,
                                      const times &Times) {
  using state = presented_key::state;
  if (!Directory.isReadable())
    return {nullptr, refusal_reason::AccountUnusable, FaultRetryAfter, 0};
  if (Key.State == state::Missing)
    return {nullptr, refusal_reason::ClientKeyMissing, {}, 0};
  if (Key.State == state::Repeated)
    return {nullptr, refusal_reason::ClientKeyMalformed, {}, 0};
  const hashed_key Hashed = hashed_key::of(Key.Value);
  if (const client_account *Account = Directory.find(Hashed))
    return {Account, refusal_reason::None, {}, Hashed.check()};
  if (Directory.isWithheld(Hashed))
    return {nullptr, refusal_reason::AccountUnusable, FaultRetryAfter, 0};
  if (!isKeyText(Key.Value))
    return {nullptr, refusal_reason::ClientKeyMalformed, {}, 0};
  const bool IsOfArrival = Times.ConfigurationAsOf >= Times.ArrivedAt;
  const bool IsRecent = Times.Now - Times.ConfigurationAsOf <= MaxAge;
  const time_point SeenAt = firstSeen(Key.Value, Times);
  if (IsOfArrival || (IsRecent && Times.ConfigurationAsOf >= SeenAt))
    return {nullptr, refusal_reason::ClientKeyUnknown, {}, 0};
  return {nullptr, refusal_reason::ClientKeyUnconfirmed, ConfirmTime, 0};
}

/// Returns when \p Key was seen first, and remembers it if that is now.
time_point account_gate::firstSeen(std::string_view Key, const times &Times) {
  while (!InOrder.empty() &&
         Times.Now - FirstSeenAt.at(InOrder.front()) > KeepTime)
    forgetOldest();
  const auto [Seen, IsNew] =
      FirstSeenAt.try_emplace(stableHash(Key), Times.ArrivedAt);
  const time_point SeenAt = Seen->second;
  if (!IsNew)
    return SeenAt;
  InOrder.push_back(Seen->first);
  if (InOrder.size() > MaxRemembered)
    forgetOldest();
  return SeenAt;
}

void account_gate::forgetOldest() {
  FirstSeenAt.erase(InOrder.front());
  InOrder.pop_front();
}

std::optional<std::vector<std::string>>
commonHomes(const route &Route, const client_account *Account) {
  const bool IsAnyForAccount = !Account || Account->Homes.empty();
  if (IsAnyForAccount && Route.Homes.empty())
    return std::vector<std::string>(); // Usual; copying a list costs more.
  if (IsAnyForAccount)
    return Route.Homes;
  if (Route.Homes.empty())
    return Account->Homes;
  std::vector<std::string> Common;
  for (const std::string &Region : Route.Homes) {
    if (std::find(Account->Homes.begin(), Account->Homes.end(), Region) !=
        Account->Homes.end())
      Common.push_back(Region);
  }
  if (Common.empty())
    return std::nullopt;
  return Common;
}

} // namespace agatedale
