/// \file
/// Stages and reports of rollouts as messages.
#include "rollout_messages.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace agatedale {

namespace wire = ::agatedale::gateway;

namespace {

/// Maximum number of tallies in a report: servers times routes.
constexpr int MaxTallies = 16'384;

std::uint32_t ageMillis(time_point Then, time_point Now) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      toMillis(Now - Then), 0, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

wire::RolloutStage toMessage(const rollout_stage &Stage, time_point Now) {
  wire::RolloutStage Message;
  Message.set_service(Stage.Service);
  Message.set_order(Stage.Order);
  Message.set_sequence(Stage.Sequence);
  Message.set_phase(static_cast<std::uint32_t>(Stage.Phase));
  Message.set_share(Stage.NewShare);
  Message.set_decider(Stage.Decider);
  // Rounded up, so that relaying does not make a stage younger.
  Message.set_age_ms(ageMillis(Stage.ConfirmedAt, Now) + 1);
  Message.set_ordered_age_ms(ageMillis(Stage.OrderedAt, Now));
  return Message;
}

rollout_stage fromMessage(const wire::RolloutStage &Message, time_point Now) {
  rollout_stage Stage;
  Stage.Service = Message.service();
  Stage.Order = Message.order();
  Stage.Sequence = Message.sequence();
  switch (Message.phase()) {
  case static_cast<std::uint32_t>(rollout_phase::Completed):
    Stage.Phase = rollout_phase::Completed;
    break;
  case static_cast<std::uint32_t>(rollout_phase::RolledBack):
    Stage.Phase = rollout_phase::RolledBack;
    break;
  default:
    break;
  }
  Stage.NewShare = std::isfinite(Message.share())
                       ? std::clamp(Message.share(), 0.0, 1.0)
                       : 0;
  Stage.Decider = Message.decider();
  Stage.ConfirmedAt = Now - std::chrono::milliseconds(Message.age_ms());
  Stage.OrderedAt = Now - std::chrono::milliseconds(Message.ordered_age_ms());
  return Stage;
}

wire::RolloutReport toMessage(const rollout_report &Report) {
  wire::RolloutReport Message;
  Message.set_service(Report.Service);
  Message.set_order(Report.Order);
  Message.set_sequence(Report.Sequence);
  Message.set_old_in_flight(Report.OldInFlight);
  for (const auto &[Key, Tally] : Report.Evidence) {
    wire::RolloutTally &Out = *Message.add_tallies();
    Out.set_is_new(Key.IsNew);
    Out.set_server(Key.Server);
    Out.set_route(Key.Route);
    Out.set_failed(Tally.Failed);
    Out.set_untimed(Tally.Untimed);
    std::size_t Used = Tally.Times.size();
    while (Used > 0 && Tally.Times[Used - 1] == 0)
      --Used;
    for (std::size_t I = 0; I < Used; ++I)
      Out.add_times(Tally.Times[I]);
  }
  return Message;
}

rollout_report fromMessage(const wire::RolloutReport &Message) {
  rollout_report Report;
  Report.Service = Message.service();
  Report.Order = Message.order();
  Report.Sequence = Message.sequence();
  Report.OldInFlight = Message.old_in_flight();
  int Count = 0;
  for (const wire::RolloutTally &In : Message.tallies()) {
    if (++Count > MaxTallies)
      break;
    response_tally Tally;
    Tally.Failed = In.failed();
    Tally.Untimed = In.untimed();
    const int Buckets = std::min(In.times_size(),
                                 static_cast<int>(response_tally::BucketCount));
    for (int I = 0; I < Buckets; ++I)
      Tally.Times[static_cast<std::size_t>(I)] = In.times(I);
    Report.Evidence[{In.is_new(), In.server(), In.route()}].add(Tally);
  }
  return Report;
}

version_choice readVersionChoice(std::uint32_t Value) {
  return Value <= static_cast<std::uint32_t>(version_choice::Any)
             ? static_cast<version_choice>(Value)
             : version_choice::Undecided;
}

} // namespace agatedale
