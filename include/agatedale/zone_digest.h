/// \file
/// Differences of the state of a zone's VMs, as hubs tell them to the others.
#pragma once

#include "agatedale/vm_directory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace agatedale {

/// A state of the own list that a peer has confirmed.
struct zone_revision {
  std::uint64_t Incarnation = 0; ///< Of the process whose list it is.
  std::uint64_t Number = 0;      ///< 0 if the peer knows nothing of the list.
};

/// A VM in a digest.
struct zone_digest_entry {
  zone_member Member;
  /// Later digests renew it without naming it, until one says otherwise.
  bool IsRenewed = false;
};

/// What a VM tells a peer of the VMs of their zone: those whose state the peer
/// does not know, and one age for all others. A VM that was not heard for
/// longer than MaxRenewedAge is named with its own age in every digest, so that
/// it expires at the peer when it does here.
struct zone_digest {
  /// A heartbeat interval and the time that a busy VM is late.
  static constexpr duration MaxRenewedAge = std::chrono::milliseconds(400);

  std::uint64_t Since = 0; ///< Lists changes after this revision; 0 for all.
  std::uint64_t Revision = 0;
  /// The renewed VMs, named or not, were heard at this time or later.
  time_point RenewedAt{};
  std::vector<zone_digest_entry> Entries;
};

/// The sender's side. It numbers the changes of the list; a peer tells with
/// each heartbeat up to which number it has applied them, so that a lost digest
/// is followed by one with the same changes.
///
///   Sender.update(Vms.zoneMembers(Now), Now);
///   zone_digest Digest = Sender.digestFor(Known, Now);
class zone_digest_sender {
public:
  /// \p Incarnation is that of this process.
  static zone_digest_sender create(std::uint64_t Incarnation) {
    return zone_digest_sender(Incarnation);
  }

  /// Takes over the present state. VMs that \p Members lacks are not renewed.
  void update(std::span<const zone_member> Members, time_point Now);

  /// Returns the digest for a peer that has confirmed \p Known; all VMs if it
  /// is not a revision of this process or too old.
  zone_digest digestFor(const zone_revision &Known, time_point Now) const;

private:
  /// VMs that were not heard for so long are forgotten. A peer that has
  /// confirmed nothing since is sent all others.
  static constexpr duration RetentionTime = std::chrono::seconds(10);

  struct entry {
    zone_member Member;
    bool IsRenewed = false;
    std::uint64_t ChangedAt = 0; ///< Revision.
  };

  explicit zone_digest_sender(std::uint64_t Incarnation)
      : Incarnation(Incarnation) {}

  std::uint64_t Incarnation;
  std::uint64_t Revision = 1;
  std::uint64_t ForgottenUpTo = 0;
  std::map<std::uint32_t, entry> Entries; ///< By the hash of the name.
};

/// The receiver's side: what it knows of each peer's list.
///
///   for (const zone_member &Member : Receiver.apply(Peer, Incarnation,
///   Digest))
///     Vms.mergeZoneMember(Member);
class zone_digest_receiver {
public:
  /// Applies a digest of \p Peer and returns the states that it tells. One that
  /// does not follow what was applied before only tells of the VMs it names.
  std::vector<zone_member> apply(const std::string &Peer,
                                 std::uint64_t Incarnation,
                                 const zone_digest &Digest);

  /// Returns what to confirm to \p Peer.
  zone_revision known(const std::string &Peer) const;

  /// Returns the members of \p Members that \p Peer does not renew by itself:
  /// it does not know that they are alive.
  std::vector<zone_member> unknownTo(const std::string &Peer,
                                     std::vector<zone_member> Members) const;

  /// Forgets peers that are not listed any more.
  void forgetUnlisted(const vm_directory &Vms) {
    std::erase_if(Peers,
                  [&](const auto &Entry) { return !Vms.find(Entry.first); });
  }

private:
  struct peer {
    zone_revision Known;
    std::unordered_map<std::uint32_t, zone_member> Renewed;
  };

  std::map<std::string, peer> Peers;
};

} // namespace agatedale
