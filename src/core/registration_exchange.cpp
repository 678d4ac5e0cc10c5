/// \file
/// Numbering and selection of the registrations that peers are told.
#include "agatedale/registration_exchange.h"

#include <algorithm>
#include <set>

namespace agatedale {

void registration_exchange::update(std::span<const known_registration> Shared) {
  std::set<std::string_view> Present;
  for (const known_registration &Registration : Shared) {
    Present.insert(Registration.Name);
    const auto [Found, IsNew] = Entries.try_emplace(Registration.Name);
    if (!IsNew && Found->second.Registration == Registration)
      continue;
    Found->second = {Registration, ++Revision};
  }
  std::erase_if(Entries, [&Present](const auto &Entry) {
    return !Present.contains(Entry.first);
  });
}

registration_changes
registration_exchange::changesFor(const std::string &Peer) const {
  const auto Known = Confirmed.find(Peer);
  const std::uint64_t Since = Known == Confirmed.end() ? 0 : Known->second;
  std::vector<const entry *> Changed;
  for (const auto &[Name, Entry] : Entries) {
    if (Entry.ChangedAt > Since)
      Changed.push_back(&Entry);
  }
  std::sort(Changed.begin(), Changed.end(),
            [](const entry *Left, const entry *Right) {
              return Left->ChangedAt < Right->ChangedAt;
            });
  registration_changes Changes;
  Changes.Since = Since;
  Changes.Revision = Revision;
  if (Changed.size() > server_registrations::MaxShared) {
    Changed.resize(server_registrations::MaxShared);
    Changes.Revision = Changed.back()->ChangedAt;
  }
  for (const entry *Entry : Changed)
    Changes.Registrations.push_back(Entry->Registration);
  return Changes;
}

void registration_exchange::onConfirmed(const std::string &Peer,
                                        const shared_revision &Known) {
  // A number of another process, or of none, confirms nothing.
  if (Known.Incarnation == Incarnation && Known.Number <= Revision)
    Confirmed[Peer] = Known.Number;
  else
    Confirmed.erase(Peer);
}

void registration_exchange::onApplied(const std::string &Peer,
                                      std::uint64_t Since,
                                      const shared_revision &Revision) {
  shared_revision &Known = Applied[Peer];
  if (Known.Incarnation != Revision.Incarnation)
    Known = {Revision.Incarnation, 0};
  if (Since <= Known.Number)
    Known.Number = std::max(Known.Number, Revision.Number);
}

shared_revision registration_exchange::applied(const std::string &Peer) const {
  const auto Found = Applied.find(Peer);
  return Found == Applied.end() ? shared_revision{} : Found->second;
}

void registration_exchange::forgetUnlisted(const vm_directory &Vms) {
  const auto IsUnlisted = [&Vms](const auto &Entry) {
    return !Vms.find(Entry.first);
  };
  std::erase_if(Confirmed, IsUnlisted);
  std::erase_if(Applied, IsUnlisted);
}

} // namespace agatedale
