/// \file
/// Bounded memory of decisions.
#include "agatedale/event_log.h"

#include <algorithm>

namespace agatedale {

std::string_view eventName(event_kind Kind) {
  switch (Kind) {
  case event_kind::Refused:
    return "refused";
  case event_kind::Retried:
    return "retried";
  case event_kind::Hedged:
    return "hedged";
  case event_kind::LimitChanged:
    return "limit-changed";
  case event_kind::OwnershipGained:
    return "ownership-gained";
  case event_kind::OwnershipLost:
    return "ownership-lost";
  case event_kind::OwnershipHandedOver:
    return "ownership-handed-over";
  case event_kind::ConfigurationTaken:
    return "configuration-taken";
  case event_kind::RosterChanged:
    return "roster-changed";
  case event_kind::MemberLost:
    return "member-lost";
  case event_kind::KeysTakenOver:
    return "keys-taken-over";
  case event_kind::Stopping:
    return "stopping";
  }
  return "unknown";
}

void event_log::add(decision_event Event) {
  const std::lock_guard Guard(Lock);
  const bool IsNew = !Events.contains(Event.Service);
  if (IsNew && Events.size() >= MaxServices)
    return;
  std::deque<decision_event> &Queue = Events[Event.Service];
  if (Queue.size() >= MaxEventsPerService)
    Queue.pop_front();
  Queue.push_back(std::move(Event));
}

std::vector<decision_event>
event_log::findEvents(std::string_view ServiceOrRequestId) const {
  const std::lock_guard Guard(Lock);
  std::vector<decision_event> Found;
  for (const auto &[Service, Queue] : Events) {
    for (const decision_event &Event : Queue) {
      if (ServiceOrRequestId.empty() || Service == ServiceOrRequestId ||
          Event.RequestId == ServiceOrRequestId)
        Found.push_back(Event);
    }
  }
  std::stable_sort(Found.begin(), Found.end(),
                   [](const decision_event &Left, const decision_event &Right) {
                     return Left.At < Right.At;
                   });
  return Found;
}

} // namespace agatedale
