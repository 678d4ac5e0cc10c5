/// \file
/// Merging of stages from several sources.
#include "agatedale/rollout_board.h"

#include <algorithm>

namespace agatedale {

bool rollout_board::learn(const rollout_stage &Stage) {
  const std::pair Key(Stage.Service, Stage.Order);
  const auto Found = Stages.find(Key);
  if (Found == Stages.end()) {
    if (Stages.size() >= MaxStages)
      Stages.erase(std::min_element(
          Stages.begin(), Stages.end(), [](const auto &A, const auto &B) {
            return A.second.ConfirmedAt < B.second.ConfirmedAt;
          }));
    Stages.emplace(Key, Stage);
    return true;
  }
  rollout_stage &Known = Found->second;
  Known.OrderedAt = std::min(Known.OrderedAt, Stage.OrderedAt);
  const bool IsKnownFinal = Known.Phase != rollout_phase::Running;
  const bool IsFinal = Stage.Phase != rollout_phase::Running;
  if (IsKnownFinal && !IsFinal)
    return false;
  const bool IsNewer =
      (IsFinal && !IsKnownFinal) || Stage.Sequence > Known.Sequence;
  if (IsNewer) {
    const time_point OrderedAt = Known.OrderedAt;
    Known = Stage;
    Known.OrderedAt = OrderedAt;
    return true;
  }
  if (Stage.Sequence < Known.Sequence)
    return false;
  // Two deciders may use the same number for a moment.
  Known.NewShare = std::min(Known.NewShare, Stage.NewShare);
  Known.ConfirmedAt = std::max(Known.ConfirmedAt, Stage.ConfirmedAt);
  return false;
}

const rollout_stage *rollout_board::find(const rollout_order &Order) const {
  const auto Found = Stages.find({Order.Service, Order.Id});
  return Found == Stages.end() ? nullptr : &Found->second;
}

double rollout_board::shareOf(const rollout_order &Order,
                              time_point Now) const {
  const rollout_stage *Stage = find(Order);
  if (!Stage || Stage->Phase == rollout_phase::RolledBack)
    return 0;
  if (Stage->Phase == rollout_phase::Completed)
    return 1;
  return Now < Stage->ConfirmedAt + LeaseLength ? Stage->NewShare : 0;
}

} // namespace agatedale
