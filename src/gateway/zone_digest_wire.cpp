/// \file
/// Conversion of the states of a zone's VMs.
#include "zone_digest_wire.h"

namespace agatedale {

namespace {

namespace wire = agatedale::gateway;

std::uint32_t ageInMillis(time_point At, time_point Now) {
  return static_cast<std::uint32_t>(toMillis(Now - At));
}

wire::ZoneMate &addMember(const zone_member &Member, time_point Now,
                          wire::Heartbeat &Message) {
  wire::ZoneMate &Out = *Message.add_mates();
  Out.set_name_hash(Member.NameHash);
  Out.set_age_ms(ageInMillis(Member.LastSeenAt, Now));
  Out.set_ready(Member.Ready);
  Out.set_leaving(Member.Leaving);
  return Out;
}

zone_member readMember(const wire::ZoneMate &Member, time_point Now) {
  return {Member.name_hash(), Now - std::chrono::milliseconds(Member.age_ms()),
          Member.ready(), Member.leaving()};
}

} // namespace

void addZoneMembers(std::span<const zone_member> Members, time_point Now,
                    wire::Heartbeat &Message) {
  for (const zone_member &Member : Members)
    addMember(Member, Now, Message);
}

void addKnownRevision(const zone_revision &Known, wire::Heartbeat &Message) {
  Message.set_mates_known(Known.Number);
  Message.set_mates_known_of(Known.Incarnation);
}

std::optional<zone_revision> knownRevision(const wire::Heartbeat &Message) {
  if (!Message.has_mates_known())
    return std::nullopt;
  return zone_revision{Message.mates_known_of(), Message.mates_known()};
}

void addDigest(const zone_digest &Digest, time_point Now,
               wire::Heartbeat &Message) {
  Message.set_mates_since(Digest.Since);
  Message.set_mates_revision(Digest.Revision);
  // Rounded up: a renewal never makes a VM appear to be heard later.
  Message.set_mates_age_ms(ageInMillis(Digest.RenewedAt, Now) + 1);
  for (const zone_digest_entry &Entry : Digest.Entries)
    addMember(Entry.Member, Now, Message).set_renewed(Entry.IsRenewed);
}

std::vector<zone_member> readZoneMembers(const wire::Heartbeat &Message,
                                         time_point Now,
                                         zone_digest_receiver &Receiver) {
  zone_digest Digest;
  Digest.Since = Message.mates_since();
  Digest.Revision = Message.mates_revision();
  Digest.RenewedAt = Now - std::chrono::milliseconds(Message.mates_age_ms());
  for (const wire::ZoneMate &Member : Message.mates())
    Digest.Entries.push_back({readMember(Member, Now), Member.renewed()});
  if (Digest.Revision > 0)
    return Receiver.apply(Message.vm(), Message.incarnation(), Digest);
  std::vector<zone_member> Members;
  Members.reserve(Digest.Entries.size());
  for (const zone_digest_entry &Entry : Digest.Entries)
    Members.push_back(Entry.Member);
  return Members;
}

} // namespace agatedale
