/// \file
/// Decides whether requests with keys may run, by the age of the configuration.
#pragma once

#include "agatedale/account_directory.h"
#include "agatedale/clock.h"
#include "agatedale/verdict.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace agatedale {

/// A request that was admitted for the key of an account.
struct admitted_key {
  std::string_view Account;  ///< Empty if the request needs no key.
  std::uint32_t Check = 0;   ///< See account_directory::checkOf().
  std::uint64_t Version = 0; ///< Of the configuration that admitted it.
  /// Time as of which that configuration was proven to be in force; zero if it
  /// was not.
  time_point AsOf{};
};

/// The configuration that a VM has in force.
struct configuration_in_force {
  const account_directory &Directory;
  std::uint64_t Version = 0;
  time_point AsOf{}; ///< Proven; zero if it is not.
};

/// Keeps the bound on the revocation of keys: no request runs that was sent
/// later than the bound after the store has acknowledged the configuration that
/// revoked its key. A VM therefore serves requests with keys only while it can
/// prove that its configuration was the store's at most the bound ago. Without
/// a bound everything is proven.
///
///   auto Proof = configuration_proof::create(Settings.KeyRevocation);
///   if (!Proof.mayAdmit(Proof.asOf(Mirror.provenAsOf(Table), Now), Now)) ...
class configuration_proof {
public:
  /// Share of the bound after which a VM admits no request with a key. It is
  /// refused early, so that callers go elsewhere while service still counts.
  static constexpr double AdmitShare = 0.6;

  /// Share of the bound that is left for the error of clocks and of the age
  /// that a forwarded request brings.
  static constexpr double MarginShare = 0.05;

  /// In ordinary conditions a VM that hears of a newer version has it within
  /// two heartbeats.
  static constexpr duration PropagationTime = std::chrono::seconds(1);

  /// A VM has caught up with its peers by this time after its first
  /// configuration, or after it has heard the first peer if it had to wait for
  /// one; until then a newer version of a peer ends its proof at once.
  static constexpr duration SettleTime = std::chrono::seconds(3);

  /// After this time a VM that hears no peer believes the store: operators
  /// write again what a restored store lacks, and the last VM of a fleet must
  /// serve.
  static constexpr duration LoneTime = std::chrono::seconds(15);

  static configuration_proof
  create(std::optional<std::chrono::milliseconds> Bound) {
    return configuration_proof(Bound);
  }

  bool isStrict() const { return Bound.has_value(); }

  /// Records the version that this VM has in force.
  void recordOwn(std::uint64_t Version, time_point Now);

  /// Records the version that a peer has in force.
  void recordPeer(std::uint64_t Version, time_point Now);

  /// Records whether other VMs are listed. A starting VM to which peers were
  /// listed proves nothing until it has heard one of them or LoneTime has
  /// passed: the store may have been restored from a copy from before the
  /// revocation of a key, which only the peers know. It removes the rows of
  /// silent VMs itself, so a shorter list does not end the wait.
  void recordPeers(bool AreListed, time_point Now);

  /// Returns the time as of which the configuration in force is proven if the
  /// operators' table is proven as of \p TableAsOf; zero if it is not. A store
  /// that was restored from an older copy confirms an older table, which the
  /// versions of the peers reveal.
  time_point asOf(time_point TableAsOf, time_point Now) const;

  /// Returns true if a request with a key that arrives now may be served.
  bool mayAdmit(time_point AsOf, time_point Now) const;

  /// Returns why \p Request, which was admitted here or by a peer, must not be
  /// sent to a server now; None if it may.
  refusal_reason reasonNotToRun(const admitted_key &Request,
                                const configuration_in_force &Own,
                                time_point Now) const;

private:
  explicit configuration_proof(std::optional<std::chrono::milliseconds> Bound)
      : Bound(Bound) {}

  bool isWithin(double Share, time_point AsOf, time_point Now) const;

  std::optional<std::chrono::milliseconds> Bound;
  std::uint64_t OwnVersion = 0;
  std::uint64_t NewestOfPeers = 0;
  std::optional<time_point> FirstOwnAt;
  std::optional<time_point> BehindSince;  ///< A peer has a newer version.
  std::optional<time_point> FirstHeardAt; ///< Of a peer with a version.
  bool NeedsPeer = false; ///< A peer was listed while this VM started.
};

} // namespace agatedale
