/// \file
/// Conversion between gateway messages and the project's types.
#pragma once

#include "agatedale/leaving_servers.h"
#include "agatedale/server_registrations.h"
#include "agatedale/store_mirror.h"
#include "forward.h"

#include "gateway.pb.h"

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace agatedale {

/// Encodes a request without a long body; see body_parts.h.
agatedale::gateway::Forward toMessage(const forward_request &Request,
                                      time_point Now);

/// Decodes a request. \p MadeAt is when its sender made the message: the times
/// that were left are counted from then on.
result<forward_request> fromMessage(const agatedale::gateway::Forward &Message,
                                    time_point MadeAt);

/// Encodes a response without a long body; see body_parts.h.
agatedale::gateway::Forwarded toMessage(forward_response Answer);
forward_response fromMessage(agatedale::gateway::Forwarded Message);

/// Returns why a message of a peer must not be used, or nothing. Its method,
/// target and headers are written into messages for servers and callers, where
/// a line break or a second length would begin another message.
std::string_view whyInvalid(const agatedale::gateway::Forward &Message);
std::string_view whyInvalid(const agatedale::gateway::Forwarded &Message);

/// Makes \p Answer readable for a peer of an earlier build, which cannot read
/// header values that are not UTF-8: replaces their invalid bytes by '?'.
/// Returns how many values were changed.
int replaceInvalidUtf8(agatedale::gateway::Forwarded &Answer);

/// Adds the servers of \p Group that leave to a Forward or Forwarded message.
template <typename Message>
void addLeaving(const leaving_servers &Leaving, const group_id &Group,
                time_point Now, Message &Out) {
  for (const leaving_server &Server :
       Leaving.toShare(Group.Service, Group.Zone, Now)) {
    agatedale::gateway::LeavingServer &Wire = *Out.add_leaving();
    Wire.set_name(Server.Name);
    Wire.set_start(Server.Start);
  }
}

/// Returns the servers of \p Group that a peer knows to leave.
template <typename Message>
std::vector<leaving_server> readLeaving(const Message &In,
                                        const group_id &Group) {
  std::vector<leaving_server> Servers;
  for (const agatedale::gateway::LeavingServer &Wire : In.leaving()) {
    if (Servers.size() == leaving_servers::MaxShared)
      break;
    Servers.push_back({Wire.name(), Wire.start(), Group.Service, Group.Zone});
  }
  return Servers;
}

/// Adds \p Registrations to a heartbeat, and returns those of a heartbeat.
void addRegistrations(std::span<const known_registration> Registrations,
                      agatedale::gateway::Heartbeat &Out);
std::vector<known_registration>
readRegistrations(const agatedale::gateway::Heartbeat &In);

agatedale::gateway::TableNews toMessage(const table_update &Update,
                                        time_point Now);
void addRows(std::span<const stored_row> Rows,
             agatedale::gateway::TableNews &Message);
/// \p RequestedAt is set if the message is a reply; see
/// store_relay::readUpdates().
result<table_update>
fromMessage(const agatedale::gateway::TableNews &Message, time_point Now,
            std::optional<time_point> RequestedAt = std::nullopt);

} // namespace agatedale
