/// \file
/// Promises of voters and the holder's judgement of them.
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

lease_reply lease_voter::answer(const lease_request &Request, time_point Now) {
  lease_reply Reply;
  Reply.Epoch = Epoch;
  Reply.Sequence = Request.Sequence;
  if (Retired || Request.Epoch != Epoch)
    return Reply;
  std::erase_if(Holders, [&](const auto &Entry) {
    return Now >= Entry.second.Expiry + 10 * LeaseTime;
  });
  holder_state &State = Holders[Request.Holder];
  const bool OvertakenByNewer = Request.Sequence <= State.Sequence;
  if (OvertakenByNewer)
    return Reply;
  State.Sequence = Request.Sequence;
  Reply.Accepted = true;
  if (!Request.Whole) {
    Reply.NeedsWhole = digestOf(State.Subjects) != Request.Digest;
    if (!Reply.NeedsWhole)
      State.Expiry = Now + LeaseTime;
    return Reply;
  }
  const std::set<lease_subject> Before = State.Subjects;
  for (const lease_subject &Subject : Before)
    dropSubject(Subject);
  for (const lease_subject &Subject : Request.Subjects) {
    if (heldByOther(Subject, Request.Holder, Now)) {
      Reply.Others.push_back({Subject, Owners.at(Subject)});
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

std::vector<lease_holding> lease_voter::holdings(time_point Now) const {
  std::vector<lease_holding> Holdings;
  for (const auto &[Subject, Owner] : Owners) {
    const auto State = Holders.find(Owner);
    if (State != Holders.end() && Now < State->second.Expiry)
      Holdings.push_back({Subject, Owner});
  }
  return Holdings;
}

void lease_holder::setRoster(const roster &NewRoster, const departures &Ended,
                             time_point Now) {
  if (NewRoster.Epoch <= Roster.Epoch)
    return;
  for (const lease_subject &Subject : Wanted)
    FormerlyOwnedUntil[Subject] = ownedUntil(Subject, Ended, Now);
  Roster = NewRoster;
  std::set<vm_id> Present(Roster.Voters.begin(), Roster.Voters.end());
  Present.insert(Roster.Prior.begin(), Roster.Prior.end());
  std::erase_if(Voters, [&Present](const auto &Entry) {
    return !Present.contains(Entry.first);
  });
  for (const vm_id &Voter : Present)
    Voters[Voter].NextAsk = Now;
}

void lease_holder::setWanted(const std::set<lease_subject> &Subjects,
                             time_point Now) {
  if (Subjects == Wanted)
    return;
  std::erase_if(Claims, [&Subjects](const auto &Entry) {
    return !Subjects.contains(Entry.first);
  });
  std::erase_if(FormerlyOwnedUntil, [&Subjects](const auto &Entry) {
    return !Subjects.contains(Entry.first);
  });
  for (const lease_subject &Subject : Subjects) {
    if (!Wanted.contains(Subject))
      Claims[Subject] = {Now};
  }
  Wanted = Subjects;
  for (auto &[Voter, State] : Voters) {
    State.MustSendWhole = true;
    std::erase_if(State.Granted, [this](const lease_subject &Subject) {
      return !Wanted.contains(Subject);
    });
  }
  askNow(Now);
}

void lease_holder::askNow(time_point Now) {
  for (auto &[Voter, State] : Voters)
    State.NextAsk = Now;
}

duration lease_holder::jitteredBackOff() {
  std::minstd_rand Engine(static_cast<std::uint32_t>(Random));
  Random = Engine();
  std::uniform_int_distribution<std::int64_t> Spread(
      1, std::max<std::int64_t>(1, 3 * toMicros(Settings.BackOff)));
  return std::chrono::microseconds(Spread(Engine));
}

void lease_holder::giveUpClaim(const lease_subject &Subject) {
  for (auto &[Voter, State] : Voters) {
    State.Granted.erase(Subject);
    State.MustSendWhole = true;
  }
}

std::set<lease_subject> lease_holder::claimable(const departures &Ended,
                                                time_point Now) {
  std::set<lease_subject> Subjects;
  for (const lease_subject &Subject : Wanted) {
    claim_state &Claim = Claims[Subject];
    if (Now < ownedUntil(Subject, Ended, Now)) {
      Claim.Since = Now;
      Subjects.insert(Subject);
      continue;
    }
    if (Now < Claim.NotBefore)
      continue;
    if (Now - Claim.Since < Settings.ClaimPatience) {
      Subjects.insert(Subject);
      continue;
    }
    Claim.NotBefore = Now + jitteredBackOff();
    Claim.Since = Claim.NotBefore;
    giveUpClaim(Subject);
  }
  return Subjects;
}

std::vector<addressed_lease_request> lease_holder::poll(const departures &Ended,
                                                        time_point Now) {
  std::vector<addressed_lease_request> Requests;
  const std::set<lease_subject> Subjects = claimable(Ended, Now);
  for (auto &[Voter, State] : Voters) {
    if (Now < State.NextAsk)
      continue;
    State.NextAsk = Now + Settings.RenewEvery;
    State.AskedWhole = State.MustSendWhole || State.Granted != Subjects;
    lease_request Request{Self,
                          Roster.Epoch,
                          ++State.Sequence,
                          digestOf(Subjects),
                          State.AskedWhole,
                          {}};
    if (Request.Whole)
      Request.Subjects.assign(Subjects.begin(), Subjects.end());
    Requests.push_back({Voter, std::move(Request)});
  }
  return Requests;
}

void lease_holder::onReply(const vm_id &Voter, const lease_reply &Reply,
                           time_point AskedAt) {
  const auto Found = Voters.find(Voter);
  if (Found == Voters.end() || !Reply.Accepted)
    return;
  voter_state &State = Found->second;
  const bool Stale = Reply.Sequence != State.Sequence;
  if (Stale)
    return;
  if (Reply.NeedsWhole) {
    State.Granted.clear();
    State.MustSendWhole = true;
    State.NextAsk = AskedAt;
    return;
  }
  if (State.AskedWhole) {
    State.MustSendWhole = false;
    State.Granted.clear();
    for (const lease_subject &Subject : Reply.Granted) {
      if (Wanted.contains(Subject))
        State.Granted.insert(Subject);
    }
  }
  State.Expiry = AskedAt + Settings.LeaseTime - Settings.DriftMargin;
}

time_point lease_holder::ownedUntil(const lease_subject &Subject,
                                    const departures &Ended,
                                    time_point Now) const {
  std::vector<std::pair<time_point, vm_id>> Grants;
  for (const auto &[Voter, State] : Voters) {
    if (Now < State.Expiry && State.Granted.contains(Subject))
      Grants.push_back({State.Expiry, Voter});
  }
  std::sort(Grants.rbegin(), Grants.rend());
  const auto Former = FormerlyOwnedUntil.find(Subject);
  const time_point Least =
      Former == FormerlyOwnedUntil.end() ? Now : std::max(Now, Former->second);
  std::set<vm_id> Granted;
  for (const auto &[Expiry, Voter] : Grants) {
    Granted.insert(Voter);
    if (isQuorum(Roster, Granted, Ended, Now))
      return std::max(Least, Expiry);
  }
  return Least;
}

} // namespace agatedale
