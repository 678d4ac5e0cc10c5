/// \file
/// Changes of the servers' registrations in heartbeats.
#pragma once

#include "agatedale/registration_exchange.h"

#include "gateway.pb.h"

#include <string>

namespace agatedale {

/// Adds what \p Peer has not confirmed, and what is confirmed to it.
void addRegistrationChanges(const std::string &Peer,
                            const registration_exchange &Exchange,
                            agatedale::gateway::Heartbeat &Message);

/// Records that \p Message has been applied, and what it confirms.
void recordRegistrationChanges(const agatedale::gateway::Heartbeat &Message,
                               registration_exchange &Exchange);

} // namespace agatedale
