/// \file
/// Stages, reports and deciders of rollouts.
#include "rollout_host.h"

#include "../core/log.h"
#include "platform/decode.h"
#include "rollout_messages.h"

#include <algorithm>
#include <cmath>

namespace agatedale {

namespace {

/// Silence of the decider, per zone before the own one, after which an owner in
/// another zone decides. The owner in the same zone takes over after 0.95 s and
/// is heard half a second later.
constexpr duration TakeoverTime = std::chrono::milliseconds(2500);

/// Interval at which the zones with VMs are looked up.
constexpr duration ZonesInterval = std::chrono::milliseconds(500);

/// Interval of reports to a decider in the own region and in another one, where
/// bytes are dear.
constexpr duration ReportInterval = std::chrono::milliseconds(250);
constexpr duration FarReportInterval = std::chrono::milliseconds(500);
constexpr duration ReportTimeout = std::chrono::milliseconds(500);

/// Time after the outcome for which the old version of a completed rollout is
/// not used. Its servers have stopped, and their rows are gone afterwards.
constexpr duration CompletedHold = std::chrono::seconds(30);

std::string subjectOf(const std::string &Service) {
  return "rollout/" + Service;
}

std::string_view phaseName(rollout_phase Phase) {
  switch (Phase) {
  case rollout_phase::Running:
    break;
  case rollout_phase::Completed:
    return "completed";
  case rollout_phase::RolledBack:
    return "rolled-back";
  }
  return "running";
}

result<rollout_row> readRow(const result<std::vector<stored_row>> &Rows) {
  if (const error *Error = errorOf(Rows))
    return *Error;
  rollout_row Row;
  if (valueOf(Rows).empty())
    return Row;
  const stored_row &Stored = valueOf(Rows).front();
  Row.Version = Stored.Version;
  const auto Record = platform::decodeRolloutRecord(Stored.Key, Stored.Value);
  if (const error *Error = errorOf(Record))
    logLine(log_level::Error, "row-decode-failed", {{"why", Error->Message}});
  else
    Row.Record = valueOf(Record);
  return Row;
}

} // namespace

rollout_host::rollout_host(event_loop &Loop, const gateway_settings &Settings,
                           vm_directory &Vms, store_worker &Worker,
                           group_host &Host, metrics &Metrics,
                           std::function<void()> OnStageChanged)
    : Loop(Loop), Settings(Settings), Vms(Vms), Worker(Worker), Host(Host),
      Metrics(Metrics), OnStageChanged(std::move(OnStageChanged)),
      Random(stableHash(Settings.Vm + "/rollouts")) {}

void rollout_host::setSnapshot(
    std::shared_ptr<const fleet_snapshot> NewSnapshot) {
  Snapshot = std::move(NewSnapshot);
  const time_point Now = bootNow();
  std::set<std::string> Ordered;
  for (const rollout_order &Order : Snapshot->Rollouts) {
    Ordered.insert(Order.Service);
    service_rollout &Rollout = Rollouts[Order.Service];
    if (Rollout.Order != Order) {
      logLine(log_level::Info, "rollout-ordered",
              {{"service", Order.Service},
               {"to", Order.To},
               {"order", Order.Id},
               {"duration_ms", Order.Duration.count()}});
      Rollout = service_rollout();
      Rollout.Order = Order;
      Rollout.OrderedAt = Now;
    }
    Rollout.ByRegion.clear();
    const configuration &Config = *Snapshot->Config;
    for (const backend_server &Server : Config.servers()) {
      if (Server.Service != Order.Service || Server.Leaving ||
          !Config.isZoneActive(Server.Zone))
        continue;
      version_presence &Present =
          Rollout.ByRegion[std::string(Config.regionOf(Server.Zone))];
      (Server.Version == Order.To ? Present.HasNew : Present.HasOld) = true;
    }
    if (Rollout.Era != Snapshot->StoreEra) {
      // A restored store may lack the outcome.
      Rollout.Era = Snapshot->StoreEra;
      Rollout.IsOutcomeStored = false;
      if (Rollout.Decider)
        Rollout.Decider->setEra(Rollout.Era);
    }
    applyShares(Rollout, Now);
  }
  std::erase_if(Rollouts, [&](const auto &Entry) {
    if (Ordered.contains(Entry.first))
      return false;
    logLine(log_level::Info, "rollout-ended",
            {{"service", Entry.first}, {"why", "order removed"}});
    Host.setVersionShares(Entry.first, {});
    return true;
  });
}

rollout_host::version_presence
rollout_host::presenceIn(const service_rollout &Rollout,
                         std::span<const std::string> Regions) const {
  version_presence Found;
  for (const auto &[Region, Present] : Rollout.ByRegion) {
    const bool IsAllowed =
        Regions.empty() ||
        std::find(Regions.begin(), Regions.end(), Region) != Regions.end();
    if (!IsAllowed)
      continue;
    Found.HasOld |= Present.HasOld;
    Found.HasNew |= Present.HasNew;
  }
  return Found;
}

/// Returns false if the versions are treated alike although there is an order.
bool rollout_host::isInForce(const service_rollout &Rollout,
                             time_point Now) const {
  return !Rollout.CompletedAt || Now - *Rollout.CompletedAt < CompletedHold;
}

version_choice rollout_host::choose(const std::string &Service,
                                    std::span<const std::string> Homes) {
  const auto Found = Rollouts.find(Service);
  const time_point Now = bootNow();
  if (Found == Rollouts.end() || !isInForce(Found->second, Now))
    return version_choice::Undecided;
  service_rollout &Rollout = Found->second;
  const version_presence Present = presenceIn(Rollout, Homes);
  if (!Present.HasOld)
    return version_choice::Any;
  const double Share = Board.shareOf(Rollout.Order, Now);
  if (!Present.HasNew)
    return Share >= 1 ? version_choice::Any : version_choice::Old;
  if (Share >= 1)
    return version_choice::New;
  return std::uniform_real_distribution<double>(0, 1)(Random) < Share
             ? version_choice::New
             : version_choice::Old;
}

bool rollout_host::permits(const backend_server &Server,
                           version_choice Choice) const {
  if (Choice != version_choice::Old && Choice != version_choice::New)
    return true;
  const auto Found = Rollouts.find(Server.Service);
  if (Found == Rollouts.end())
    return true;
  return (Server.Version == Found->second.Order.To) ==
         (Choice == version_choice::New);
}

void rollout_host::applyShares(service_rollout &Rollout, time_point Now) {
  const rollout_stage *Stage = Board.find(Rollout.Order);
  if (Stage && Stage->Phase == rollout_phase::Completed && !Rollout.CompletedAt)
    Rollout.CompletedAt = Now;
  if (!isInForce(Rollout, Now)) {
    Host.setVersionShares(Rollout.Order.Service, {});
    return;
  }
  const double Share = Board.shareOf(Rollout.Order, Now);
  const bool IsFullStageLapsed = Stage &&
                                 Stage->Phase == rollout_phase::Running &&
                                 Stage->NewShare >= 1 && Share <= 0;
  std::map<std::string, version_shares, std::less<>> ByRegion;
  for (const auto &[Region, Present] : Rollout.ByRegion)
    ByRegion[Region] = {Rollout.Order.Id, Rollout.Order.To, Share,
                        Present.HasOld,   Present.HasNew,   IsFullStageLapsed};
  Host.setVersionShares(Rollout.Order.Service, std::move(ByRegion));
}

std::vector<std::string>
rollout_host::zonesInOrder(const std::string &Service) const {
  std::vector<std::pair<std::uint64_t, std::string>> Ranked;
  for (const auto &[Zone, Region] : Settings.Zones) {
    if (Zone != Settings.Zone && !Vms.hasVmIn(Zone))
      continue;
    Ranked.emplace_back(stableHash(subjectOf(Service) + "/" + Zone), Zone);
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<std::string> Zones;
  Zones.reserve(Ranked.size());
  for (auto &[Rank, Zone] : Ranked)
    Zones.push_back(std::move(Zone));
  return Zones;
}

/// Returns the time since a stage of the order was confirmed, or since the
/// order.
duration rollout_host::silence(const service_rollout &Rollout,
                               time_point Now) const {
  const rollout_stage *Stage = Board.find(Rollout.Order);
  return Now - (Stage ? std::max(Stage->ConfirmedAt, Rollout.OrderedAt)
                      : Rollout.OrderedAt);
}

bool rollout_host::isDecider(const service_rollout &Rollout,
                             time_point Now) const {
  const std::string Subject = subjectOf(Rollout.Order.Service);
  const auto Owner = Vms.ownerOf(Subject, Settings.Zone, Settings.Region, Now);
  // A VM that hears few of its zone may be the one that is partitioned.
  if (!Owner || Owner->Id.Name != Settings.Vm ||
      !Vms.receivesFromHalfOfZone(Now))
    return false;
  const std::vector<std::string> &Zones = Rollout.Zones;
  const auto Rank =
      std::find(Zones.begin(), Zones.end(), Settings.Zone) - Zones.begin();
  const rollout_stage *Stage = Board.find(Rollout.Order);
  const bool IsFirst = Rank == 0;
  const duration Silence = silence(Rollout, Now);
  // It has prevailed, or the store has not told yet and nobody else has.
  const bool HasTakenOver =
      Rollout.Decider && ((Stage && Stage->Decider == Settings.Vm) ||
                          Silence > rollout_board::LeaseLength);
  return IsFirst || HasTakenOver ||
         Silence > static_cast<int>(Rank) * TakeoverTime;
}

/// Returns the VM to report to.
std::optional<entry_vm> rollout_host::deciderOf(const service_rollout &Rollout,
                                                time_point Now) const {
  const rollout_stage *Stage = Board.find(Rollout.Order);
  const duration Silence = silence(Rollout, Now);
  if (Stage && Silence < rollout_board::LeaseLength) {
    if (Stage->Decider == Settings.Vm)
      return Vms.self();
    if (Vms.isUsable(Stage->Decider, Now))
      return Vms.find(Stage->Decider);
  }
  const std::vector<std::string> &Zones = Rollout.Zones;
  if (Zones.empty())
    return std::nullopt;
  const auto Rank = std::min<std::size_t>(
      static_cast<std::size_t>(Silence / TakeoverTime), Zones.size() - 1);
  const auto Region = Settings.Zones.find(Zones[Rank]);
  return Vms.ownerOf(subjectOf(Rollout.Order.Service), Region->first,
                     Region->second, Now);
}

void rollout_host::tick() {
  if (!Settings.Rollouts)
    return;
  const time_point Now = bootNow();
  for (auto &[Service, Rollout] : Rollouts) {
    if (Now - Rollout.ZonesAt >= ZonesInterval) {
      Rollout.ZonesAt = Now;
      Rollout.Zones = zonesInOrder(Service);
    }
    decide(Rollout, Now);
    applyShares(Rollout, Now);
    report(Rollout, Now);
  }
}

void rollout_host::decide(service_rollout &Rollout, time_point Now) {
  const rollout_stage *Stage = Board.find(Rollout.Order);
  const bool IsOver = Stage && Stage->Phase != rollout_phase::Running;
  if ((IsOver && Rollout.IsOutcomeStored) || !isDecider(Rollout, Now)) {
    if (Rollout.Decider)
      logLine(log_level::Info, "rollout-decider-ended",
              {{"service", Rollout.Order.Service},
               {"why", IsOver ? "outcome" : "another decides"}});
    Rollout.Decider.reset();
    return;
  }
  if (!Rollout.Decider) {
    const time_point OrderedAt =
        Stage ? std::min(Stage->OrderedAt, Rollout.OrderedAt)
              : Rollout.OrderedAt;
    Rollout.Decider = std::make_unique<rollout_decider>(rollout_decider::create(
        Rollout.Order, *Settings.Rollouts, Settings.Vm, OrderedAt));
    Rollout.Decider->setEra(Rollout.Era);
    logLine(log_level::Info, "rollout-decider-started",
            {{"service", Rollout.Order.Service},
             {"to", Rollout.Order.To},
             {"sequence", Stage ? Stage->Sequence : 0},
             {"age_ms", toMillis(Now - OrderedAt)},
             {"silence_ms", toMillis(silence(Rollout, Now))}});
  }
  rollout_decider &Decider = *Rollout.Decider;
  const version_presence Present = presenceIn(Rollout, {});
  Decider.setServers(Present.HasOld, Present.HasNew);
  if (Stage)
    Decider.setKnownSequence(Stage->Sequence);
  if (IsOver)
    Decider.setOutcome(*Stage);
  if (Now - Rollout.ReportedAt >= ReportInterval && !IsOver) {
    Rollout.ReportedAt = Now;
    if (Host.hasGroupOf(Rollout.Order.Service))
      Decider.onReport(Settings.Vm, makeReport(Rollout), Now);
  }
  if (const auto Access = Decider.next(Now))
    access(Rollout, *Access);
  publish(Rollout);
}

/// Makes the decider's stage known here and to the peers.
void rollout_host::publish(service_rollout &Rollout) {
  rollout_decider &Decider = *Rollout.Decider;
  Rollout.IsOutcomeStored = Decider.isOver();
  const auto Stage = Decider.stage();
  if (!Stage || !Board.learn(*Stage))
    return;
  const rollout_progress &Progress = Decider.progress();
  logLine(log_level::Info, "rollout-stage",
          {{"service", Stage->Service},
           {"to", Rollout.Order.To},
           {"phase", phaseName(Stage->Phase)},
           {"sequence", Stage->Sequence},
           {"share_permille", std::lround(1000 * Stage->NewShare)},
           {"age_ms", toMillis(Progress.Age)},
           {"responses", std::lround(Progress.Total)},
           {"of_new", std::lround(Progress.OfNew)},
           {"per_second", std::lround(Progress.RatePerSecond)},
           {"route", Progress.Judgment.Route},
           {"old_bad_permille", std::lround(1000 * Progress.Judgment.OldRate)},
           {"new_bad_permille", std::lround(1000 * Progress.Judgment.NewRate)},
           {"score", std::lround(Progress.Judgment.Score)}});
  Metrics.increment("agatedale_rollout_stages_total",
                    formatLabel("phase", phaseName(Stage->Phase)));
  OnStageChanged();
}

rollout_host::service_rollout *
rollout_host::findRollout(const std::string &Service, std::uint64_t Order) {
  const auto Found = Rollouts.find(Service);
  return Found == Rollouts.end() || Found->second.Order.Id != Order
             ? nullptr
             : &Found->second;
}

void rollout_host::access(const service_rollout &Rollout,
                          const rollout_access &Access) {
  const std::string Service = Rollout.Order.Service;
  const time_point AskedAt = bootNow();
  // The decider may have been replaced when the store answers.
  const auto DeciderOf = [this, Service, Order = Rollout.Order.Id,
                          Asker =
                              Rollout.Decider.get()]() -> service_rollout * {
    service_rollout *Found = findRollout(Service, Order);
    return Found && Found->Decider.get() == Asker ? Found : nullptr;
  };
  if (const auto *Write = std::get_if<write_rollout>(&Access)) {
    std::vector<platform::store_client::row_write> Rows;
    if (Write->IsPhaseNew)
      Rows.push_back({store_table::Status, platform::rolloutStatusKey(Service),
                      platform::encodeRolloutStatus(Write->Record)});
    Rows.push_back({store_table::Rollouts, Service,
                    platform::encodeRolloutRecord(Write->Record)});
    Worker.writeIf(std::move(Rows), Write->Expected,
                   [this, DeciderOf, AskedAt,
                    Service](const result<store_version> &Written) {
                     if (const error *Error = errorOf(Written))
                       logLine(log_level::Warning, "rollout-write-failed",
                               {{"service", Service}, {"why", Error->Message}});
                     service_rollout *Asked = DeciderOf();
                     if (!Asked)
                       return;
                     Asked->Decider->onWritten(Written, AskedAt, bootNow());
                     publish(*Asked);
                   });
    return;
  }
  Worker.readRow(
      store_table::Rollouts, Service,
      [this, DeciderOf, AskedAt](const result<std::vector<stored_row>> &Rows) {
        service_rollout *Asked = DeciderOf();
        if (!Asked)
          return;
        Asked->Decider->onRead(readRow(Rows), AskedAt, bootNow());
        publish(*Asked);
      });
}

rollout_report rollout_host::makeReport(const service_rollout &Rollout) const {
  const rollout_stage *Stage = Board.find(Rollout.Order);
  rollout_report Report;
  Report.Service = Rollout.Order.Service;
  Report.Order = Rollout.Order.Id;
  Report.Sequence = Stage ? Stage->Sequence : 0;
  Host.addEvidence(Report);
  return Report;
}

void rollout_host::report(service_rollout &Rollout, time_point Now) {
  const rollout_stage *Stage = Board.find(Rollout.Order);
  const bool IsOver = Stage && Stage->Phase != rollout_phase::Running;
  if (Rollout.Decider || IsOver || Rollout.IsReporting || !Peers ||
      Now - Rollout.ReportedAt < ReportInterval ||
      !Host.hasGroupOf(Rollout.Order.Service))
    return;
  const auto Decider = deciderOf(Rollout, Now);
  if (!Decider || Decider->Id.Name == Settings.Vm)
    return;
  if (Decider->Region != Settings.Region &&
      Now - Rollout.ReportedAt < FarReportInterval)
    return;
  Rollout.ReportedAt = Now;
  Rollout.IsReporting = true;
  wire_gateway::Heartbeat Message;
  Message.set_vm(Settings.Vm);
  Message.set_incarnation(Vms.self().Id.Incarnation);
  Message.set_ready(Vms.self().Ready);
  Message.set_leaving(Vms.self().Leaving);
  *Message.mutable_rollout_report() = toMessage(makeReport(Rollout));
  Peers->heartbeat(
      *Decider, Message, ReportTimeout,
      [this, Service = Rollout.Order.Service, Order = Rollout.Order.Id,
       Name = Decider->Id.Name](const wire_gateway::Heartbeat *Reply) {
        if (service_rollout *Found = findRollout(Service, Order))
          Found->IsReporting = false;
        if (Reply)
          learnStages(*Reply);
        else
          Vms.recordForwardFailure(Name, bootNow());
      });
}

void rollout_host::addStages(wire_gateway::Heartbeat &Out) const {
  const time_point Now = bootNow();
  for (const auto &[Service, Rollout] : Rollouts) {
    if (const rollout_stage *Stage = Board.find(Rollout.Order))
      *Out.add_rollouts() = toMessage(*Stage, Now);
  }
}

void rollout_host::learn(const rollout_stage &Stage, std::string_view Source) {
  if (!Board.learn(Stage))
    return;
  if (service_rollout *Found = findRollout(Stage.Service, Stage.Order)) {
    logLine(log_level::Info, "rollout-stage-learned",
            {{"service", Stage.Service},
             {"phase", phaseName(Stage.Phase)},
             {"sequence", Stage.Sequence},
             {"share_permille", std::lround(1000 * Stage.NewShare)},
             {"decider", Stage.Decider},
             {"source", Source},
             {"age_ms", toMillis(bootNow() - Stage.ConfirmedAt)}});
    applyShares(*Found, bootNow());
  }
  OnStageChanged();
}

void rollout_host::learnStages(const wire_gateway::Heartbeat &In) {
  if (!Settings.Rollouts)
    return;
  const time_point Now = bootNow();
  for (const wire_gateway::RolloutStage &Message : In.rollouts()) {
    rollout_stage Stage = fromMessage(Message, Now);
    // The message may have waited in the system while this VM was held up.
    Stage.ConfirmedAt -= Loop.turnClock().longestWait(Now);
    learn(Stage, In.vm());
  }
}

wire_gateway::Heartbeat
rollout_host::onReport(const wire_gateway::Heartbeat &Message) {
  const rollout_report Report = fromMessage(Message.rollout_report());
  wire_gateway::Heartbeat Reply;
  Reply.set_vm(Settings.Vm);
  Reply.set_incarnation(Vms.self().Id.Incarnation);
  Reply.set_ready(Vms.self().Ready);
  Reply.set_leaving(Vms.self().Leaving);
  const time_point Now = bootNow();
  service_rollout *Rollout = findRollout(Report.Service, Report.Order);
  if (!Rollout)
    return Reply;
  if (Rollout->Decider)
    Rollout->Decider->onReport(Message.vm(), Report, Now);
  if (const rollout_stage *Stage = Board.find(Rollout->Order))
    *Reply.add_rollouts() = toMessage(*Stage, Now);
  return Reply;
}

} // namespace agatedale
