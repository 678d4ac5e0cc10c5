/// \file
/// Age limits of the configuration for requests with keys.
#include "agatedale/configuration_proof.h"

#include <algorithm>

namespace agatedale {

void configuration_proof::recordOwn(std::uint64_t Version, time_point Now) {
  FirstOwnAt = FirstOwnAt.value_or(Now);
  OwnVersion = std::max(OwnVersion, Version);
  if (OwnVersion >= NewestOfPeers)
    BehindSince.reset();
}

void configuration_proof::recordPeer(std::uint64_t Version, time_point Now) {
  if (Version == 0)
    return; // The peer has no configuration yet.
  FirstHeardAt = FirstHeardAt.value_or(Now);
  NewestOfPeers = std::max(NewestOfPeers, Version);
  if (NewestOfPeers > OwnVersion)
    BehindSince = BehindSince.value_or(Now);
}

void configuration_proof::recordPeers(bool AreListed, time_point Now) {
  // A VM that has been alone for longer was so in the store's newest state,
  // too; peers that start later read the same rows.
  const bool IsStarting = !FirstOwnAt || Now - *FirstOwnAt < SettleTime;
  NeedsPeer = NeedsPeer || (AreListed && IsStarting);
}

time_point configuration_proof::asOf(time_point TableAsOf,
                                     time_point Now) const {
  if (!FirstOwnAt)
    return {};
  if (NeedsPeer && !FirstHeardAt && Now - *FirstOwnAt < LoneTime)
    return {};
  if (!BehindSince)
    return TableAsOf;
  const time_point SettlesFrom =
      NeedsPeer ? std::max(*FirstOwnAt, FirstHeardAt.value_or(*FirstOwnAt))
                : *FirstOwnAt;
  const bool WasSettled = *BehindSince - SettlesFrom >= SettleTime;
  const bool IsOnItsWay = WasSettled && Now - *BehindSince < PropagationTime;
  return IsOnItsWay ? TableAsOf : time_point{};
}

bool configuration_proof::isWithin(double Share, time_point AsOf,
                                   time_point Now) const {
  if (!Bound)
    return true;
  const auto Limit = std::chrono::duration<double, std::milli>(
      Share * static_cast<double>(Bound->count()));
  return AsOf > time_point{} && Now - AsOf <= Limit;
}

bool configuration_proof::mayAdmit(time_point AsOf, time_point Now) const {
  return isWithin(AdmitShare, AsOf, Now);
}

refusal_reason
configuration_proof::reasonNotToRun(const admitted_key &Request,
                                    const configuration_in_force &Own,
                                    time_point Now) const {
  if (Request.Account.empty())
    return refusal_reason::None;
  // An older configuration than the one that admitted the request tells nothing
  // about its key, which may be new, nor whether accounts are required.
  const bool IsOlder = Own.Version < Request.Version;
  if (!IsOlder && !Own.Directory.requiresAccount())
    return refusal_reason::None;
  const bool IsNewer = Own.Version > Request.Version;
  using key_state = account_directory::key_state;
  const key_state Key =
      IsNewer
          ? Own.Directory.stateOf(std::string(Request.Account), Request.Check)
          : key_state::Held;
  if (Key != key_state::Held)
    return Key == key_state::NotHeld ? refusal_reason::ClientKeyRevoked
                                     : refusal_reason::AccountUnusable;
  const time_point OwnAsOf = IsOlder ? time_point{} : Own.AsOf;
  const time_point AsOf = std::max(Request.AsOf, OwnAsOf);
  return isWithin(1 - MarginShare, AsOf, Now)
             ? refusal_reason::None
             : refusal_reason::ConfigurationUnproven;
}

} // namespace agatedale
