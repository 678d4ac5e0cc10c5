/// \file
/// Numbering, selection and application of the changes of a zone's VMs.
#include "agatedale/zone_digest.h"

#include <algorithm>
#include <set>

namespace agatedale {

void zone_digest_sender::update(std::span<const zone_member> Members,
                                time_point Now) {
  const std::uint64_t Next = Revision + 1;
  bool Changed = false;
  std::set<std::uint32_t> Present;
  for (const zone_member &Member : Members) {
    Present.insert(Member.NameHash);
    const bool IsRenewed =
        Now - Member.LastSeenAt <= zone_digest::MaxRenewedAge;
    const auto [Found, IsNew] = Entries.try_emplace(Member.NameHash);
    entry &Entry = Found->second;
    const bool IsSame = !IsNew && Entry.IsRenewed == IsRenewed &&
                        Entry.Member.Ready == Member.Ready &&
                        Entry.Member.Leaving == Member.Leaving;
    Entry.Member = Member;
    Entry.IsRenewed = IsRenewed;
    if (IsSame)
      continue;
    Entry.ChangedAt = Next;
    Changed = true;
  }
  for (auto Entry = Entries.begin(); Entry != Entries.end();) {
    entry &State = Entry->second;
    if (!Present.contains(Entry->first) && State.IsRenewed) {
      State.IsRenewed = false;
      State.ChangedAt = Next;
      Changed = true;
    }
    if (!State.IsRenewed && Now - State.Member.LastSeenAt >= RetentionTime) {
      ForgottenUpTo = std::max(ForgottenUpTo, State.ChangedAt);
      Entry = Entries.erase(Entry);
    } else {
      ++Entry;
    }
  }
  Revision = Changed ? Next : Revision;
}

zone_digest zone_digest_sender::digestFor(const zone_revision &Known,
                                          time_point Now) const {
  zone_digest Digest;
  Digest.Revision = Revision;
  const bool IsFollowed = Known.Incarnation == Incarnation &&
                          Known.Number <= Revision &&
                          Known.Number >= ForgottenUpTo;
  Digest.Since = IsFollowed ? Known.Number : 0;
  Digest.RenewedAt = Now;
  for (const auto &[NameHash, Entry] : Entries) {
    if (Entry.IsRenewed)
      Digest.RenewedAt = std::min(Digest.RenewedAt, Entry.Member.LastSeenAt);
    if (!Entry.IsRenewed || Entry.ChangedAt > Digest.Since)
      Digest.Entries.push_back({Entry.Member, Entry.IsRenewed});
  }
  return Digest;
}

std::vector<zone_member>
zone_digest_receiver::apply(const std::string &Peer, std::uint64_t Incarnation,
                            const zone_digest &Digest) {
  std::vector<zone_member> Told;
  for (const zone_digest_entry &Entry : Digest.Entries)
    Told.push_back(Entry.Member);
  peer &Known = Peers[Peer];
  const bool IsSameProcess = Known.Known.Incarnation == Incarnation;
  const bool IsOlder = IsSameProcess && Digest.Revision < Known.Known.Number;
  const bool Follows =
      Digest.Since == 0 ||
      (IsSameProcess && Digest.Since <= Known.Known.Number && !IsOlder);
  if (!Follows || IsOlder)
    return Told;
  if (Digest.Since == 0)
    Known.Renewed.clear();
  Known.Known = {Incarnation, Digest.Revision};
  for (const zone_digest_entry &Entry : Digest.Entries) {
    if (Entry.IsRenewed)
      Known.Renewed[Entry.Member.NameHash] = Entry.Member;
    else
      Known.Renewed.erase(Entry.Member.NameHash);
  }
  for (auto &[NameHash, Member] : Known.Renewed) {
    Member.LastSeenAt = Digest.RenewedAt;
    Told.push_back(Member);
  }
  return Told;
}

zone_revision zone_digest_receiver::known(const std::string &Peer) const {
  const auto Found = Peers.find(Peer);
  return Found == Peers.end() ? zone_revision{} : Found->second.Known;
}

std::vector<zone_member>
zone_digest_receiver::unknownTo(const std::string &Peer,
                                std::vector<zone_member> Members) const {
  const auto Found = Peers.find(Peer);
  if (Found == Peers.end())
    return Members;
  std::erase_if(Members, [&](const zone_member &Member) {
    const auto Renewed = Found->second.Renewed.find(Member.NameHash);
    return Renewed != Found->second.Renewed.end() &&
           Renewed->second.Ready == Member.Ready &&
           Renewed->second.Leaving == Member.Leaving;
  });
  return Members;
}

} // namespace agatedale
