/// \file
/// What a VM knows of the stages of rollouts.
#pragma once

#include "agatedale/rollout.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace agatedale {

/// The newest stages that a VM has decided or has been told. A running stage
/// permits requests to the new version for a short time after the store has
/// confirmed it, wherever the VM has it from; an outcome is final.
///
///   rollout_board Board;
///   if (Board.learn(Stage)) notifyPeers();
///   double Share = Board.shareOf(Order, Now);
class rollout_board {
public:
  /// Time after the store's confirmation for which a stage permits requests to
  /// the new version. The decider renews the confirmation every 600 ms; two
  /// heartbeats and a slow store take up to a second more.
  static constexpr duration LeaseLength = std::chrono::seconds(2);

  /// Returns true if \p Stage is newer than what was known.
  bool learn(const rollout_stage &Stage);

  /// Returns the stage of \p Order, or null.
  const rollout_stage *find(const rollout_order &Order) const;

  /// Returns the share of the new version that is permitted at \p Now.
  double shareOf(const rollout_order &Order, time_point Now) const;

private:
  static constexpr std::size_t MaxStages = 256;

  std::map<std::pair<std::string, std::uint64_t>, rollout_stage> Stages;
};

} // namespace agatedale
