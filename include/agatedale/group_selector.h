/// \file
/// Selects the server group of a service for a request.
#pragma once

#include "agatedale/clock.h"
#include "agatedale/configuration.h"
#include "agatedale/server_group.h"

#include <map>
#include <optional>
#include <span>

namespace agatedale {

/// The settings of a group_selector.
struct group_selector_settings {
  /// Additional latency of a request to another availability zone.
  duration CrossZoneLatency = std::chrono::milliseconds(2);
  /// Age after which a load report is ignored.
  duration LoadReportLifetime = std::chrono::milliseconds(250);
  /// Time for which a group is skipped after its owner did not answer.
  duration UnresponsivePause = std::chrono::milliseconds(500);
  /// Time for which a group is skipped while its owner changes.
  duration OwnerChangePause = std::chrono::milliseconds(20);
  /// Spreads requests over groups whose costs differ by about this much while
  /// the cheapest has few free slots; zero sends all to the cheapest.
  duration Spread{};
};

/// A server group that can be selected, and the network latency to it.
struct group_candidate {
  group_id Group;
  duration NetworkLatency{};
  int Slots = 1; ///< Of its servers; its share among equally good groups.
};

/// Selects a server group of a service by expected wait. The wait is computed
/// from the load that the group's owner reported with its last answer and the
/// requests that this node has sent since. Among groups with the same cost the
/// choice is drawn at random by their slots: a node that sends only a few
/// requests per second has no recent report of most groups, and a fixed order
/// would make all nodes send to the same group.
///
///   group_selector Selector = group_selector::create(Settings);
///   Selector.onLoad(Group, Load, Now);
///   if (const auto Chosen = Selector.choose(Groups, OwnZone, Now))
///     Selector.onSent(*Chosen);
class group_selector {
public:
  static group_selector create(const group_selector_settings &Settings) {
    return group_selector(Settings);
  }

  /// Records the load reported by the owner of \p Group.
  void onLoad(const group_id &Group, const group_load &Load, time_point Now);

  /// Record that this node forwarded a request to the owner of \p Group, and
  /// that its answer arrived.
  void onSent(const group_id &Group);
  void onAnswered(const group_id &Group);

  /// Records that the owner of \p Group did not answer if \p Lost, else that
  /// the receiver of the request is not its owner.
  void onNoAnswer(const group_id &Group, time_point Now, bool Lost);

  /// Returns the group with the shortest expected wait including the network
  /// latency. A skipped group, or \p Except, is returned only if there is no
  /// other. \p Groups must contain only groups of active zones.
  std::optional<group_id> choose(std::span<const group_id> Groups,
                                 std::string_view OwnZone, time_point Now,
                                 const group_id *Except = nullptr) const;

  /// As above, with the network latency to each group. \p Draw, at least 0 and
  /// less than 1, selects among groups with the same cost.
  std::optional<group_id> choose(std::span<const group_candidate> Candidates,
                                 time_point Now,
                                 const group_id *Except = nullptr,
                                 double Draw = 0) const;

private:
  struct group_state {
    group_load Load;
    time_point LastReportAt{};
    time_point SkippedUntil{};
    int SentSince = 0;
    int Outstanding = 0;
  };

  explicit group_selector(const group_selector_settings &Settings)
      : Settings(Settings) {}

  duration expectedWait(const group_state &State, time_point Now) const;
  double scarcity(const group_state &State, time_point Now) const;

  group_selector_settings Settings;
  std::map<group_id, group_state> States;
};

} // namespace agatedale
