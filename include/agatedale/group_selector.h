/// \file
/// Which server group of a service gets a request.
#pragma once

#include "agatedale/clock.h"
#include "agatedale/configuration.h"
#include "agatedale/server_group.h"

#include <map>
#include <optional>
#include <span>

namespace agatedale {

/// What a group_selector is built from.
struct group_selector_settings {
  /// What a request to another availability zone costs more.
  duration CrossZoneLatency = std::chrono::milliseconds(2);
  /// A load told longer ago than this counts as unknown.
  duration LoadReportLifetime = std::chrono::milliseconds(250);
  /// How long a silent owner is passed over.
  duration UnresponsivePause = std::chrono::milliseconds(500);
  /// How long a group is passed over whose owner is changing.
  duration OwnerChangePause = std::chrono::milliseconds(20);
};

/// A server group that may be chosen, and what the way to it costs.
struct group_candidate {
  group_id Group;
  duration NetworkLatency{};
};

/// Chooses between the server groups of a service by the queue lengths that
/// their owners told on their answers, counting what this node has sent since.
///
///   group_selector Choice = group_selector::create(Settings);
///   Choice.onLoad(Group, Load, Now);
///   if (const auto Chosen = Choice.choose(Groups, OwnZone, Now))
///     Choice.onSent(*Chosen);
class group_selector {
public:
  static group_selector create(const group_selector_settings &Settings) {
    return group_selector(Settings);
  }

  /// Records the load that the owner of \p Group told.
  void onLoad(const group_id &Group, const group_load &Load, time_point Now);

  /// Records that this node handed a request to the owner of \p Group, and that
  /// its answer came back.
  void onSent(const group_id &Group);
  void onAnswered(const group_id &Group);

  /// Records that the owner of \p Group did not answer (\p Lost), or that the
  /// node asked is not its owner.
  void onNoAnswer(const group_id &Group, time_point Now, bool Lost);

  /// Returns the group with the least expected wait; one that is passed over
  /// only when all are. \p Groups holds only groups whose zones take work.
  std::optional<group_id> choose(std::span<const group_id> Groups,
                                 std::string_view OwnZone, time_point Now,
                                 const group_id *Except = nullptr) const;

  /// As above, with the cost of the way to each group.
  std::optional<group_id> choose(std::span<const group_candidate> Candidates,
                                 time_point Now,
                                 const group_id *Except = nullptr) const;

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

  group_selector_settings Settings;
  std::map<group_id, group_state> States;
};

} // namespace agatedale
