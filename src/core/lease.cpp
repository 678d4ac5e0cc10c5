/// \file
/// Granting of leases by voters and evaluation of the grants by holders.
#include "agatedale/lease.h"

#include <algorithm>
#include <random>

namespace agatedale {

std::uint64_t digestOf(const std::set<lease_subject> &Subjects) {
  std::uint64_t Digest = Subjects.size();
  for (const lease_subject &Subject : Subjects)
    Digest ^= stableHash(Subject);
  return Digest;
}

void lease_voter::setEpoch(std::uint64_t NewEpoch) {
  Epoch = std::max(Epoch, NewEpoch);
}

bool lease_voter::heldByOther(const lease_subject &Subject, const vm_id &Holder,
                              time_point Now) const {
  const auto Owner = Owners.find(Subject);
  if (Owner == Owners.end() || Owner->second == Holder)
    return false;
  const auto State = Holders.find(Owner->second);
  return State != Holders.end() && Now < State->second.Expiry;
}

void lease_voter::dropSubject(const lease_subject &Subject) {
  const auto Owner = Owners.find(Subject);
  if (Owner == Owners.end())
    return;
  const auto State = Holders.find(Owner->second);
  if (State != Holders.end())
    State->second.Subjects.erase(Subject);
  Owners.erase(Owner);
}

lease_reply lease_voter::handleRequest(const lease_request &Request,
                                       time_point Now) {
  lease_reply Reply;
  Reply.Epoch = Epoch;
  Reply.Sequence = Request.Sequence;
  if (Retired || Request.Epoch != Epoch)
    return Reply;
  std::erase_if(Holders, [&](const auto &Entry) {
    return Now >= Entry.second.Expiry + 10 * LeaseTime;
  });
  holder_state &State = Holders[Request.Holder];
  const bool IsOutOfOrder = Request.Sequence <= State.Sequence;
  if (IsOutOfOrder)
    return Reply;
  State.Sequence = Request.Sequence;
  Reply.Accepted = true;
  if (!Request.IsFullSet) {
    Reply.NeedsFullSet = digestOf(State.Subjects) != Request.Digest;
    if (!Reply.NeedsFullSet)
      State.Expiry = Now + LeaseTime;
    return Reply;
  }
  const std::set<lease_subject> PreviousSubjects = State.Subjects;
  for (const lease_subject &Subject : PreviousSubjects)
    dropSubject(Subject);
  for (const lease_subject &Subject : Request.Subjects) {
    if (heldByOther(Subject, Request.Holder, Now)) {
      Reply.HeldByOthers.push_back({Subject, Owners.at(Subject)});
      continue;
    }
    dropSubject(Subject);
    Owners[Subject] = Request.Holder;
    State.Subjects.insert(Subject);
    Reply.Granted.push_back(Subject);
  }
  State.Expiry = Now + LeaseTime;
  return Reply;
}

std::vector<lease_record> lease_voter::activeLeases(time_point Now) const {
  std::vector<lease_record> ActiveLeases;
  for (const auto &[Subject, Owner] : Owners) {
    const auto State = Holders.find(Owner);
    if (State != Holders.end() && Now < State->second.Expiry)
      ActiveLeases.push_back({Subject, Owner});
  }
  return ActiveLeases;
}

void lease_holder::setRoster(const roster &NewRoster,
                             const termination_tracker &Terminations,
                             time_point Now) {
  if (NewRoster.Epoch <= Roster.Epoch)
    return;
  for (const lease_subject &Subject : DesiredSubjects)
    FormerlyOwnedUntil[Subject] = ownedUntil(Subject, Terminations, Now);
  Roster = NewRoster;
  std::set<vm_id> Present(Roster.Voters.begin(), Roster.Voters.end());
  Present.insert(Roster.Prior.begin(), Roster.Prior.end());
  std::erase_if(Voters, [&Present](const auto &Entry) {
    return !Present.contains(Entry.first);
  });
  for (const vm_id &Voter : Present)
    Voters[Voter].NextRequestAt = Now;
}

void lease_holder::setDesiredSubjects(const std::set<lease_subject> &Subjects,
                                      time_point Now) {
  if (Subjects == DesiredSubjects)
    return;
  std::erase_if(Claims, [&Subjects](const auto &Entry) {
    return !Subjects.contains(Entry.first);
  });
  std::erase_if(FormerlyOwnedUntil, [&Subjects](const auto &Entry) {
    return !Subjects.contains(Entry.first);
  });
  for (const lease_subject &Subject : Subjects) {
    if (!DesiredSubjects.contains(Subject))
      Claims[Subject] = {Now};
  }
  DesiredSubjects = Subjects;
  for (auto &[Voter, State] : Voters) {
    State.MustSendFullSet = true;
    std::erase_if(State.Granted, [this](const lease_subject &Subject) {
      return !DesiredSubjects.contains(Subject);
    });
  }
  requestRenewals(Now);
}

void lease_holder::requestRenewals(time_point Now) {
  for (auto &[Voter, State] : Voters)
    State.NextRequestAt = Now;
}

duration lease_holder::jitteredBackOff() {
  std::minstd_rand Engine(static_cast<std::uint32_t>(Random));
  Random = Engine();
  std::uniform_int_distribution<std::int64_t> DelayMicros(
      1, std::max<std::int64_t>(1, 3 * toMicros(Settings.BackOff)));
  return std::chrono::microseconds(DelayMicros(Engine));
}

void lease_holder::withdrawClaim(const lease_subject &Subject) {
  for (auto &[Voter, State] : Voters) {
    State.Granted.erase(Subject);
    State.MustSendFullSet = true;
  }
}

std::set<lease_subject>
lease_holder::claimableSubjects(const termination_tracker &Terminations,
                                time_point Now) {
  std::set<lease_subject> Subjects;
  for (const lease_subject &Subject : DesiredSubjects) {
    claim_state &Claim = Claims[Subject];
    if (Now < ownedUntil(Subject, Terminations, Now)) {
      Claim.StartedAt = Now;
      Subjects.insert(Subject);
      continue;
    }
    if (Now < Claim.RetryAt)
      continue;
    if (Now - Claim.StartedAt < Settings.ClaimTimeout) {
      Subjects.insert(Subject);
      continue;
    }
    Claim.RetryAt = Now + jitteredBackOff();
    Claim.StartedAt = Claim.RetryAt;
    withdrawClaim(Subject);
  }
  return Subjects;
}

std::vector<addressed_lease_request>
lease_holder::poll(const termination_tracker &Terminations, time_point Now) {
  std::vector<addressed_lease_request> Requests;
  const std::set<lease_subject> Subjects = claimableSubjects(Terminations, Now);
  for (auto &[Voter, State] : Voters) {
    if (Now < State.NextRequestAt)
      continue;
    State.NextRequestAt = Now + Settings.RenewalInterval;
    State.SentFullSet = State.MustSendFullSet || State.Granted != Subjects;
    lease_request Request{Self,
                          Roster.Epoch,
                          ++State.Sequence,
                          digestOf(Subjects),
                          State.SentFullSet,
                          {}};
    if (Request.IsFullSet)
      Request.Subjects.assign(Subjects.begin(), Subjects.end());
    Requests.push_back({Voter, std::move(Request)});
  }
  return Requests;
}

void lease_holder::onReply(const vm_id &Voter, const lease_reply &Reply,
                           time_point RequestSentAt) {
  const auto Found = Voters.find(Voter);
  if (Found == Voters.end() || !Reply.Accepted)
    return;
  voter_state &State = Found->second;
  const bool Stale = Reply.Sequence != State.Sequence;
  if (Stale)
    return;
  if (Reply.NeedsFullSet) {
    State.Granted.clear();
    State.MustSendFullSet = true;
    State.NextRequestAt = RequestSentAt;
    return;
  }
  if (State.SentFullSet) {
    State.MustSendFullSet = false;
    State.Granted.clear();
    for (const lease_subject &Subject : Reply.Granted) {
      if (DesiredSubjects.contains(Subject))
        State.Granted.insert(Subject);
    }
  }
  State.Expiry = RequestSentAt + Settings.LeaseTime - Settings.DriftMargin;
}

time_point lease_holder::ownedUntil(const lease_subject &Subject,
                                    const termination_tracker &Terminations,
                                    time_point Now) const {
  std::vector<std::pair<time_point, vm_id>> Grants;
  for (const auto &[Voter, State] : Voters) {
    if (Now < State.Expiry && State.Granted.contains(Subject))
      Grants.push_back({State.Expiry, Voter});
  }
  std::sort(Grants.rbegin(), Grants.rend());
  const auto Former = FormerlyOwnedUntil.find(Subject);
  const time_point MinOwnedUntil =
      Former == FormerlyOwnedUntil.end() ? Now : std::max(Now, Former->second);
  std::set<vm_id> Granted;
  for (const auto &[Expiry, Voter] : Grants) {
    Granted.insert(Voter);
    if (isQuorum(Roster, Granted, Terminations, Now))
      return std::max(MinOwnedUntil, Expiry);
  }
  return MinOwnedUntil;
}

} // namespace agatedale
