/// \file
/// Conversion of changes of the servers' registrations.
#include "registration_wire.h"

#include "wire_convert.h"

namespace agatedale {

void addRegistrationChanges(const std::string &Peer,
                            const registration_exchange &Exchange,
                            agatedale::gateway::Heartbeat &Message) {
  const registration_changes Changes = Exchange.changesFor(Peer);
  addRegistrations(Changes.Registrations, Message);
  Message.set_registrations_since(Changes.Since);
  Message.set_registrations_revision(Changes.Revision);
  const shared_revision Applied = Exchange.applied(Peer);
  Message.set_registrations_known(Applied.Number);
  Message.set_registrations_known_of(Applied.Incarnation);
}

void recordRegistrationChanges(const agatedale::gateway::Heartbeat &Message,
                               registration_exchange &Exchange) {
  Exchange.onConfirmed(Message.vm(), {Message.registrations_known_of(),
                                      Message.registrations_known()});
  Exchange.onApplied(Message.vm(), Message.registrations_since(),
                     {Message.incarnation(), Message.registrations_revision()});
}

} // namespace agatedale
