/// \file
/// Quorum leases on subjects, granted by a majority of voters.
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

/// A resource that at most one entry VM owns at a time: a server group or a key
/// partition, identified by its text form.
using lease_subject = std::string;

/// A lease request from a holder to one voter. An unchanged set of subjects is
/// renewed by its digest. A changed set is sent in full, and the voter releases
/// the subjects that it omits.
struct lease_request {
  vm_id Holder;
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0; ///< Increases with each request to one voter.
  std::uint64_t Digest = 0;
  bool IsFullSet = false;
  std::vector<lease_subject> Subjects; ///< Empty unless IsFullSet.
};

/// A subject and the entry VM that holds its lease.
struct lease_record {
  lease_subject Subject;
  vm_id Holder;
};

/// A voter's reply to a lease_request.
struct lease_reply {
  std::uint64_t Epoch = 0;    ///< The voter's own epoch.
  std::uint64_t Sequence = 0; ///< Of the request, to detect stale replies.
  bool Accepted = false;      ///< See lease_voter::handleRequest.
  bool NeedsFullSet = false;  ///< The digest did not match.
  std::vector<lease_subject> Granted;     ///< Set for full sets only.
  std::vector<lease_record> HeldByOthers; ///< Requested but leased.
};

/// Returns a digest of \p Subjects that is equal on every entry VM.
std::uint64_t digestOf(const std::set<lease_subject> &Subjects);

/// Grants leases as one voter of the quorum. A grant lasts one lease time from
/// when the voter made it. Until it expires or the holder releases the subject,
/// the voter grants that subject to no other holder.
///
///   lease_voter Voter = lease_voter::create(LeaseTime);
///   Voter.setEpoch(Roster.Epoch);
///   lease_reply Reply = Voter.handleRequest(Request, Now);
class lease_voter {
public:
  static lease_voter create(duration LeaseTime) {
    return lease_voter(LeaseTime);
  }

  /// Adopts the epoch of a newer roster. Earlier grants stay in force.
  void setEpoch(std::uint64_t NewEpoch);
  std::uint64_t epoch() const { return Epoch; }

  /// Grants or renews leases. The reply is not accepted if the voter retired,
  /// the epochs differ, or the request arrived out of order.
  lease_reply handleRequest(const lease_request &Request, time_point Now);

  /// Stops granting and renewing leases. Existing grants expire.
  void retire() { Retired = true; }

  /// Returns every subject whose lease has not expired, with its holder.
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

/// Configuration of a lease_holder.
struct lease_settings {
  duration LeaseTime = std::chrono::milliseconds(1500);
  duration RenewalInterval = std::chrono::milliseconds(300);
  /// Subtracted from each lease to allow for drift between monotonic clocks.
  duration DriftMargin = std::chrono::milliseconds(30);
  /// A claim that reaches no quorum within this time is withdrawn. Competing
  /// claims could otherwise block each other for good.
  duration ClaimTimeout = std::chrono::milliseconds(900);
  /// The wait before a withdrawn claim is retried is drawn from up to three
  /// times this value.
  duration BackOff = std::chrono::milliseconds(200);
};

/// A lease request with its destination.
struct addressed_lease_request {
  vm_id Voter;
  lease_request Request;
};

/// Claims subjects from the voters of the roster, renews the leases and
/// computes until when each subject is owned. A grant is counted from when its
/// request was sent, by the holder's own clock, so that it expires at the
/// holder before it expires at the voter.
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

  /// Adopts a newer roster. Grants of voters that are also in the new roster
  /// are kept. A subject owned under the former roster stays owned until those
  /// grants expire, as it does for a holder that has not received the new
  /// roster yet.
  void setRoster(const roster &NewRoster,
                 const termination_tracker &Terminations, time_point Now);
  const roster &currentRoster() const { return Roster; }

  /// Sets the subjects to own. Omitted subjects are released by the next
  /// requests.
  void setDesiredSubjects(const std::set<lease_subject> &Subjects,
                          time_point Now);

  /// Returns the requests that are due at \p Now.
  std::vector<addressed_lease_request>
  poll(const termination_tracker &Terminations, time_point Now);

  /// Makes the next poll return a request to every voter.
  void requestRenewals(time_point Now);

  /// Applies the reply to the request that was sent at \p RequestSentAt.
  void onReply(const vm_id &Voter, const lease_reply &Reply,
               time_point RequestSentAt);

  /// Returns until when this node owns \p Subject as of \p Now, or a time not
  /// after \p Now if it does not own it.
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
