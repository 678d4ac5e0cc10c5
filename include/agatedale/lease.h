/// \file
/// Leases on subjects, granted by a majority of voters.
#pragma once

#include "agatedale/clock.h"
#include "agatedale/entry_vm.h"
#include "agatedale/roster.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace agatedale {

/// A thing that one entry VM at a time owns: a server group or a key partition,
/// named by its text form.
using lease_subject = std::string;

/// What a holder asks of one voter. An unchanged set is renewed by its digest;
/// a changed one is sent whole, and what it leaves out is released.
struct lease_request {
  vm_id Holder;
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0; ///< Grows with each request to one voter.
  std::uint64_t Digest = 0;
  bool IsFullSet = false;
  std::vector<lease_subject> Subjects; ///< Only when IsFullSet.
};

/// A subject that another holder has, as the voter knows it.
struct lease_record {
  lease_subject Subject;
  vm_id Holder;
};

/// What a voter answers.
struct lease_reply {
  std::uint64_t Epoch = 0;    ///< The voter's own epoch.
  std::uint64_t Sequence = 0; ///< Of the request; older answers are stale.
  bool Accepted = false;      ///< False when the epochs differ.
  bool NeedsFullSet = false;  ///< The digest did not match; send the whole set.
  std::vector<lease_subject> Granted;     ///< Only for a whole request.
  std::vector<lease_record> HeldByOthers; ///< Asked for, but held by others.
};

/// Returns the digest that stands for a set of subjects.
std::uint64_t digestOf(const std::set<lease_subject> &Subjects);

/// One voter's promises. A promise to a holder lasts one lease time from when
/// the voter made it; until then the subject goes to nobody else.
///
///   lease_voter Voter = lease_voter::create(LeaseTime);
///   Voter.setEpoch(Roster.Epoch);
///   lease_reply Reply = Voter.handleRequest(Request, Now);
class lease_voter {
public:
  static lease_voter create(duration LeaseTime) {
    return lease_voter(LeaseTime);
  }

  /// Follows a newer roster; promises made before stay in force.
  void setEpoch(std::uint64_t NewEpoch);
  std::uint64_t epoch() const { return Epoch; }

  lease_reply handleRequest(const lease_request &Request, time_point Now);

  /// Makes no more promises; what was promised lapses by itself.
  void retire() { Retired = true; }

  /// Returns every subject with a promise in force and its holder.
  std::vector<lease_record> activeLeases(time_point Now) const;

private:
  struct holder_state {
    time_point Expiry;
    std::uint64_t Sequence = 0;
    std::set<lease_subject> Subjects;
  };

  explicit lease_voter(duration LeaseTime) : LeaseTime(LeaseTime) {}

  bool heldByOther(const lease_subject &Subject, const vm_id &Holder,
                   time_point Now) const;
  void dropSubject(const lease_subject &Subject);

  duration LeaseTime;
  std::uint64_t Epoch = 0;
  bool Retired = false;
  std::map<vm_id, holder_state> Holders;
  std::map<lease_subject, vm_id> Owners;
};

/// What a lease_holder is built from.
struct lease_settings {
  duration LeaseTime = std::chrono::milliseconds(1500);
  duration RenewalInterval = std::chrono::milliseconds(300);
  /// Taken off each lease for the drift between two monotonic clocks.
  duration DriftMargin = std::chrono::milliseconds(30);
  /// A claim without a quorum for this long is given up for a while.
  duration ClaimTimeout = std::chrono::milliseconds(900);
  duration BackOff = std::chrono::milliseconds(200);
};

/// A request and the voter that it goes to.
struct addressed_lease_request {
  vm_id Voter;
  lease_request Request;
};

/// The holder's side: claims subjects from the voters of the roster, renews
/// them and knows until when it owns each. Every grant is judged from the
/// moment the holder asked, by its own clock.
///
///   lease_holder Holder = lease_holder::create(Self, Settings, Seed);
///   Holder.setDesiredSubjects(Subjects, Now);
///   for (auto &Out : Holder.poll(Terminations, Now)) send(Out);
///   Holder.onReply(Voter, Reply, RequestSentAt);
///   if (Now < Holder.ownedUntil(Subject, Terminations, Now)) ...
class lease_holder {
public:
  static lease_holder create(const vm_id &Self, const lease_settings &Settings,
                             std::uint64_t Seed) {
    return lease_holder(Self, Settings, Seed);
  }

  /// Follows a newer roster. Grants of voters that it keeps stay, and what is
  /// owned by grants under the former roster stays owned until those lapse:
  /// just as for a holder that has not heard of the newer one yet.
  void setRoster(const roster &NewRoster,
                 const termination_tracker &Terminations, time_point Now);
  const roster &currentRoster() const { return Roster; }

  /// Sets what to own. What is left out is released with the next requests.
  void setDesiredSubjects(const std::set<lease_subject> &Subjects,
                          time_point Now);

  /// Returns the requests that are due at \p Now.
  std::vector<addressed_lease_request>
  poll(const termination_tracker &Terminations, time_point Now);

  /// Asks every voter at the next poll.
  void requestRenewals(time_point Now);

  /// Takes in the answer to a request that was asked at \p RequestSentAt.
  void onReply(const vm_id &Voter, const lease_reply &Reply,
               time_point RequestSentAt);

  /// Returns until when this node owns \p Subject, judged at \p Now; a time
  /// not after \p Now when it does not.
  time_point ownedUntil(const lease_subject &Subject,
                        const termination_tracker &Terminations,
                        time_point Now) const;

  const std::set<lease_subject> &desiredSubjects() const {
    return DesiredSubjects;
  }

private:
  struct voter_state {
    std::set<lease_subject> Granted;
    time_point Expiry{};
    time_point NextRequestAt{};
    std::uint64_t Sequence = 0;
    bool MustSendFullSet = true;
    bool SentFullSet = false;
  };

  struct claim_state {
    time_point StartedAt;
    time_point RetryAt{};
  };

  lease_holder(const vm_id &Self, const lease_settings &Settings,
               std::uint64_t Seed)
      : Self(Self), Settings(Settings), Random(Seed | 1) {}

  std::set<lease_subject>
  claimableSubjects(const termination_tracker &Terminations, time_point Now);
  void withdrawClaim(const lease_subject &Subject);
  duration jitteredBackOff();

  vm_id Self;
  lease_settings Settings;
  std::uint64_t Random;
  roster Roster;
  std::set<lease_subject> DesiredSubjects;
  std::map<lease_subject, time_point> FormerlyOwnedUntil;
  std::map<lease_subject, claim_state> Claims;
  std::map<vm_id, voter_state> Voters;
};

} // namespace agatedale
