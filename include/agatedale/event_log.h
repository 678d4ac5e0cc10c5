/// \file
/// Recent decisions of the node with their reasons.
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

/// Kinds of decisions that are recorded.
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

/// Returns the token of \p Kind in logs and in the output of explain.
std::string_view eventName(event_kind Kind);

/// A decision with its subject and reason.
struct decision_event {
  wall_ms At = 0;
  event_kind Kind = event_kind::Refused;
  std::string Service;   ///< Service, or another subject such as a member.
  std::string RequestId; ///< Empty unless the event concerns one request.
  std::string Detail;
};

/// Keeps the most recent events of each service in bounded memory. Events
/// contain no request content.
///
///   event_log Events;
///   Events.add({WallNow, event_kind::Refused, "orders", RequestId, "..."});
///   for (const auto &Event : Events.findEvents("orders")) print(Event);
class event_log {
public:
  void add(decision_event Event);

  /// Returns the events whose service or request id is \p ServiceOrRequestId,
  /// or all events if it is empty, oldest first.
  std::vector<decision_event>
  findEvents(std::string_view ServiceOrRequestId) const;

private:
  static constexpr std::size_t MaxEventsPerService = 256;
  static constexpr std::size_t MaxServices = 1024;

  mutable std::mutex Lock;
  std::map<std::string, std::deque<decision_event>, std::less<>> Events;
};

} // namespace agatedale
