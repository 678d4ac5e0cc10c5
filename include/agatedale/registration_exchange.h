/// \file
/// Which of the servers' registrations a peer is told.
#pragma once

#include "agatedale/server_registrations.h"
#include "agatedale/vm_directory.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace agatedale {

/// What one process knows of the registrations that another one shares.
struct shared_revision {
  std::uint64_t Incarnation = 0; ///< Of the process that shares them.
  std::uint64_t Number = 0;      ///< 0 for none.
};

/// Registrations in a message, and the revision that the receiver has reached
/// once it has applied them.
struct registration_changes {
  std::vector<known_registration> Registrations;
  std::uint64_t Since = 0; ///< What the receiver must have; 0 for none.
  std::uint64_t Revision = 0;
};

/// Names each registration to a peer until the peer has confirmed it, instead
/// of naming all of the last seconds with each heartbeat. The shared
/// registrations are numbered in the order in which they changed; each message
/// says up to which number of the other's its sender has applied them. A peer
/// that confirms nothing, such as one of an earlier build, is sent all.
///
///   Exchange.update(Registrations.toShare(Now));
///   registration_changes Changes = Exchange.changesFor(Peer);
///   Exchange.onConfirmed(Peer, Known);
class registration_exchange {
public:
  /// \p Incarnation is that of this process.
  static registration_exchange create(std::uint64_t Incarnation) {
    return registration_exchange(Incarnation);
  }

  /// Takes over what is shared now.
  void update(std::span<const known_registration> Shared);

  /// Returns what \p Peer has not confirmed, the earliest changes first and at
  /// most server_registrations::MaxShared.
  registration_changes changesFor(const std::string &Peer) const;

  /// Records what \p Peer says that it has of the own registrations.
  void onConfirmed(const std::string &Peer, const shared_revision &Known);

  /// Records that a message of \p Peer has been applied, which holds the
  /// changes after \p Since. It is not confirmed if this process lacks earlier
  /// ones: the peer may have learned what it has from its former process.
  void onApplied(const std::string &Peer, std::uint64_t Since,
                 const shared_revision &Revision);

  /// Returns what to confirm to \p Peer.
  shared_revision applied(const std::string &Peer) const;

  /// Forgets peers that are not listed any more.
  void forgetUnlisted(const vm_directory &Vms);

private:
  struct entry {
    known_registration Registration;
    std::uint64_t ChangedAt = 0; ///< Revision.
  };

  explicit registration_exchange(std::uint64_t Incarnation)
      : Incarnation(Incarnation) {}

  std::uint64_t Incarnation;
  std::uint64_t Revision = 1;
  std::map<std::string, entry> Entries; ///< By the name of the server.
  std::map<std::string, std::uint64_t> Confirmed;
  std::map<std::string, shared_revision> Applied;
};

} // namespace agatedale
