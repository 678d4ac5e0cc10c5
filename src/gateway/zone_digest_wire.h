/// \file
/// The states of a zone's VMs in heartbeats.
#pragma once

#include "agatedale/zone_digest.h"

#include "gateway.pb.h"

#include <span>

namespace agatedale {

/// Adds VMs with an age each, as every build understands them.
void addZoneMembers(std::span<const zone_member> Members, time_point Now,
                    agatedale::gateway::Heartbeat &Message);

/// Adds to a request which revision of the receiver's list is known.
void addKnownRevision(const zone_revision &Known,
                      agatedale::gateway::Heartbeat &Message);

/// Returns the revision that a request confirms, or nothing if its sender knows
/// no digests.
std::optional<zone_revision>
knownRevision(const agatedale::gateway::Heartbeat &Message);

/// Adds a digest to a reply.
void addDigest(const zone_digest &Digest, time_point Now,
               agatedale::gateway::Heartbeat &Message);

/// Returns the states that \p Message tells and records its digest, if it has
/// one, in \p Receiver.
std::vector<zone_member>
readZoneMembers(const agatedale::gateway::Heartbeat &Message, time_point Now,
                zone_digest_receiver &Receiver);

} // namespace agatedale
