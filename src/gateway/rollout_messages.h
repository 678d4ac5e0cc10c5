/// \file
/// Conversion between rollout messages and the project's types.
#pragma once

#include "agatedale/rollout.h"

#include "gateway.pb.h"

namespace agatedale {

agatedale::gateway::RolloutStage toMessage(const rollout_stage &Stage,
                                           time_point Now);

/// Decodes a stage that arrived at \p Now.
rollout_stage fromMessage(const agatedale::gateway::RolloutStage &Message,
                          time_point Now);

agatedale::gateway::RolloutReport toMessage(const rollout_report &Report);
rollout_report fromMessage(const agatedale::gateway::RolloutReport &Message);

/// Decodes the version of a request; unknown values count as undecided.
version_choice readVersionChoice(std::uint32_t Value);

} // namespace agatedale
