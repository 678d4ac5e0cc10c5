/// \file
/// What the node decided lately, and why.
#pragma once

#include "agatedale/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace agatedale {

/// Kinds of decision that leave an event.
enum class event_kind {
  Refused,
  Retried,
  Hedged,
  LimitChanged,
  OwnershipGained,
  OwnershipLost,
  OwnershipHandedOver,
  ConfigurationTaken,
  RosterChanged,
  MemberLost,
  KeysTakenOver,
  Stopping,
};

/// Returns the token used in logs and by explain for \p Kind.
std::string_view eventName(event_kind Kind);

/// One decision with its subject and reason.
struct decision_event {
  wall_ms At = 0;
  event_kind Kind = event_kind::Refused;
  std::string Service;   ///< Or the name of what the event is about.
  std::string RequestId; ///< Empty when it concerns no single request.
  std::string Detail;
};

/// The last events of each service in bounded memory. It holds no content of
/// requests.
///
///   event_log Events;
///   Events.add({WallNow, event_kind::Refused, "orders", RequestId, "..."});
///   for (const decision_event &Event : Events.findEvents("orders"))
///   print(Event);
class event_log {
public:
  void add(decision_event Event);

  /// Returns the events whose service or request id is \p ServiceOrRequestId,
  /// the oldest first; all events when it is empty.
  std::vector<decision_event>
  findEvents(std::string_view ServiceOrRequestId) const;

private:
  static constexpr std::size_t MaxEventsPerService = 256;
  static constexpr std::size_t MaxServices = 1024;

  mutable std::mutex Lock;
  std::map<std::string, std::deque<decision_event>, std::less<>> Events;
};

} // namespace agatedale
