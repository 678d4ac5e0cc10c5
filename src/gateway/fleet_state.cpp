/// \file
/// Reads and decodes store rows; retains servers across store outages.
#include "fleet_state.h"

#include "../core/log.h"
#include "agatedale/account_directory.h"
#include "agatedale/configuration_faults.h"
#include "agatedale/server_partition.h"
#include "agatedale/snapshot_limiter.h"
#include "platform/decode.h"
#include "platform/names.h"

#include <fmt/format.h>

#include <utility>

namespace agatedale {

namespace {

/// A replica of this age is reported as an unreachable store.
constexpr duration MaxStoreAge = std::chrono::milliseconds(1800);

/// A read that is this late counts as failed, so that another VM becomes the
/// reader. A slow store answers within about 300 ms.
constexpr duration ReadDelayLimit = std::chrono::milliseconds(400);

/// The same for the tables that a starting VM reads: they have many pages, and
/// a call that is not answered fails after 800 ms.
constexpr duration InitialReadDelayLimit = std::chrono::milliseconds(1500);

/// Rows that a starting VM reads to find the hubs of a zone: twice their
/// number, so that one that was replaced just now does not leave it without
/// any.
constexpr std::size_t HubRows = 4;

void logCorrections(const restored_row_corrections &Corrections) {
  for (const restored_row_correction &Correction : Corrections)
    logLine(log_level::Warning, "restored-row-corrected",
            {{"what", Correction.What},
             {"name", Correction.Name},
             {"why", Correction.Why},
             {"at_most_ms", toMillis(Correction.AtMost)}});
}

} // namespace

/// Lets a VM read the store itself before its proof is too old to admit
/// requests with keys: at 0.4 to 0.5 of the bound, by rank. In ordinary
/// conditions the proof is younger than a long poll, twice, plus two
/// heartbeats.
store_follower_settings fleet_state::followerSettings(
    std::optional<std::chrono::milliseconds> KeyRevocation) {
  store_follower_settings Settings;
  if (!KeyRevocation)
    return Settings;
  // The reader's own proof is up to two long polls old.
  Settings.LongPollWait = std::min(Settings.LongPollWait, *KeyRevocation / 7);
  Settings.MaxProofAge = *KeyRevocation * 2 / 5;
  Settings.ExtraProofAgePerRank =
      duration(*KeyRevocation) / (10 * Settings.MaxBackoffRank);
  return Settings;
}

void fleet_state::recordPeerConfiguration(std::uint64_t Version) {
  CatchUp.recordPeer(Version);
  Proof.recordPeer(Version, bootNow());
}

superseded_configuration::times fleet_state::timesInForce() const {
  return Superseded.timesInForce({Mirror.asOf(store_table::Operators),
                                  Mirror.provenAsOf(store_table::Operators)});
}

time_point fleet_state::currentAsOf() const { return timesInForce().AsOf; }

time_point fleet_state::provenAsOf() const {
  return Proof.asOf(timesInForce().ProvenAsOf, bootNow());
}

bool fleet_state::mayAdmitKeys() const {
  const bool NeedsAccounts =
      View && View->Config->directory().requiresAccount();
  return !NeedsAccounts || Proof.mayAdmit(provenAsOf(), bootNow());
}

void fleet_state::checkStoreAge() {
  const time_point Now = bootNow();
  if (!Mirror.isComplete())
    return;
  const duration Age = Now - Mirror.asOf();
  if (Age > MaxStoreAge && !StoreUnreachable) {
    StoreUnreachable = true;
    logLine(log_level::Warning, "store-unreachable",
            {{"replica_age_ms", toMillis(Age)}, {"version", ActiveVersion}});
  }
  const bool Ended = GracePeriod.recordStoreTime(Mirror.asOf(), Now);
  if (Age <= MaxStoreAge && StoreUnreachable) {
    StoreUnreachable = false;
    logLine(log_level::Info, "store-reachable",
            {{"grace_period_started", Ended}});
  }
}

bool fleet_state::readsFail() const {
  return LastReadFailed || (ReadLateAt && bootNow() > *ReadLateAt);
}

void fleet_state::tick() {
  const time_point Now = bootNow();
  checkStoreAge();
  const bool IsGracePeriod = GracePeriod.isActive(Now);
  if (std::exchange(GracePeriodWasActive, IsGracePeriod) && !IsGracePeriod)
    rebuild();
  endHolds(Now);
  if (Reading || Now < StartAt)
    return;
  int Rank = Vms.readerRank(readsFail(), Now);
  const std::optional<duration> SnapshotTime = snapshotWait(Rank, Now);
  const auto Read = Follower.next(Mirror, Rank, Now, SnapshotTime);
  if (!Read)
    return;
  Reading = true;
  ReadLateAt = Now + Read->Wait +
               (Mirror.isComplete() ? ReadDelayLimit : InitialReadDelayLimit);
  if (Read->IsHubsOnly) {
    readHubs({Settings.Zone});
    return;
  }
  if (Read->IsOwnZoneOnly) {
    readZone();
    return;
  }
  Worker.read(*Read, [this, Read = *Read](const result<table_update> &Update) {
    onRead(Read, Update);
  });
}

/// Returns the time that peers get to send the first snapshot, or nothing if
/// this VM reads it. \p Rank becomes that of a VM that waits.
std::optional<duration> fleet_state::snapshotWait(int &Rank, time_point Now) {
  if (Mirror.isComplete())
    return std::nullopt;
  const start_view View = Vms.startView(readsFail(), Now);
  // One that has begun goes on, unless another one has to take its place.
  if (ReadsFirstSnapshot && View.IsHub && !readsFail())
    return std::nullopt;
  const std::optional<duration> Wait = firstSnapshotWait(
      View, Now - Follower.hubsKnownAt().value_or(Now),
      snapshot_limiter::timeFor(std::max(Vms.zoneSize(), ReportedZoneVms)));
  const bool Reads = !Wait && Follower.hubsKnownAt();
  if (Reads && !std::exchange(ReadsFirstSnapshot, Reads))
    logLine(log_level::Info, "first-snapshot-read",
            {{"preceding", View.Preceding},
             {"peer_heard", View.HasHeardPeer},
             {"whole_zone", !Vms.listsHubsOnly()}});
  ReadsFirstSnapshot = Reads;
  if (Wait)
    Rank = std::max({Rank, View.Preceding, 1});
  return Wait;
}

void fleet_state::onPeerHeard(std::size_t ZoneVms) {
  Follower.onPeerHeard();
  ReportedZoneVms = std::max(ReportedZoneVms, ZoneVms);
}

/// Applies the lists anew when what a restored store lacked is kept no longer.
void fleet_state::endHolds(time_point Now) {
  if (RestoredZones.isOver(Now) || RestoredServers.isOver(Now) ||
      Registrations.isOver(Mirror.asOf(store_table::Servers)))
    rebuild();
  if (RestoredVms.isOver(Now))
    Handlers.OnVmsChanged();
}

bool fleet_state::isServing() {
  return View && Mirror.isComplete() &&
         CatchUp.isReached(ActiveVersion, bootNow());
}

void fleet_state::readZone() {
  Worker.readRange(store_table::Vms, platform::vmKey(Settings.Zone, ""),
                   [this](const result<std::vector<stored_row>> &Rows) {
                     endRead(store_table::Vms, errorOf(Rows));
                     if (!errorOf(Rows))
                       onZoneRead(valueOf(Rows));
                   });
}

void fleet_state::onZoneRead(std::span<const stored_row> Rows) {
  Follower.onZoneRead();
  IsZoneRead = true;
  // A hub may have sent the whole list in the meantime.
  if (Mirror.position(store_table::Vms).isKnown())
    return;
  std::erase_if(StartVms, [this](const auto &Entry) {
    return Entry.second.Zone == Settings.Zone;
  });
  addStartVms(Rows);
  Handlers.OnVmsChanged();
  tick();
}

/// Reads the first VMs of the last of \p Zones, then of the others.
void fleet_state::readHubs(std::vector<std::string> Zones) {
  const std::string Zone = Zones.back();
  Zones.pop_back();
  Worker.readRange(
      store_table::VmsBySize, platform::vmKey(Zone, ""),
      [this, Zones = std::move(Zones)](
          const result<std::vector<stored_row>> &Rows) mutable {
        endRead(store_table::VmsBySize, errorOf(Rows));
        // Without this table the rows of the zone are read, as by earlier
        // versions.
        if (errorOf(Rows))
          Follower.onHubsRead(false, bootNow());
        else
          onHubsRead(std::move(Zones), valueOf(Rows));
      },
      HubRows);
}

/// The hubs of a region agree on the one that reads the tables, so they need
/// those of its other zones, too.
void fleet_state::onHubsRead(std::vector<std::string> Zones,
                             std::span<const stored_row> Rows) {
  const bool IsOwnZone = StartVms.empty();
  addStartVms(Rows);
  if (Mirror.position(store_table::Vms).isKnown())
    return;
  if (!StartVms.empty())
    Handlers.OnVmsChanged();
  if (IsOwnZone && Vms.isHub(bootNow())) {
    for (const auto &[Name, Region] : Settings.Zones) {
      if (Region == Settings.Region && Name != Settings.Zone &&
          !StartVms.empty())
        Zones.push_back(Name);
    }
  }
  if (!Zones.empty()) {
    Reading = true;
    readHubs(std::move(Zones));
    return;
  }
  Follower.onHubsRead(!StartVms.empty(), bootNow());
  tick();
}

void fleet_state::addStartVms(std::span<const stored_row> Rows) {
  for (const stored_row &Row : Rows) {
    const auto Vm = platform::decodeVm(Row.Key, Row.Value);
    if (const error *Error = errorOf(Vm))
      logLine(log_level::Warning, "row-decode-failed",
              {{"why", Error->Message}});
    else
      StartVms[valueOf(Vm).Id.Name] = valueOf(Vm);
  }
}

/// Records the end of a read, with the error if it failed.
void fleet_state::endRead(store_table Table, const error *Failure) {
  Reading = false;
  ReadLateAt.reset();
  LastReadFailed = Failure && Failure->Kind != error_kind::NotFound;
  if (!Failure)
    return;
  if (Failure->Kind == error_kind::NotFound)
    Follower.onHistoryTruncated(Table, bootNow());
  else
    Follower.onFailure(bootNow());
  logLine(log_level::Warning, "store-read-failed",
          {{"table", platform::tableName(Table)},
           {"why", Failure->Message},
           {"replica_age_ms", toMillis(bootNow() - Mirror.asOf())}});
}

void fleet_state::onRead(const store_read &Read,
                         const result<table_update> &Update) {
  const std::optional<error> Failure = failureOf(Update);
  endRead(Read.Table, Failure ? &*Failure : nullptr);
  if (Failure)
    return;
  Follower.onAnswer(Read.Table, Read.IsSnapshot);
  apply(valueOf(Update));
  Mirror.confirmUpTo(valueOf(Update).Position, valueOf(Update).AsOf,
                     valueOf(Update).ProvenAsOf);
  Handlers.OnStoreAnswered();
  tick();
}

/// Returns why a read cannot be applied, if so.
std::optional<error>
fleet_state::failureOf(const result<table_update> &Read) const {
  if (const error *Error = errorOf(Read))
    return *Error;
  const table_update &Update = valueOf(Read);
  const store_version Known = Mirror.position(Update.Table);
  if (Update.Position.Era < Known.Era)
    return error{error_kind::Unavailable,
                 fmt::format("answer of era {}, expected {} or later",
                             Update.Position.Era, Known.Era)};
  // The replica may have reached the later era while the read was under way.
  if (!Update.IsSnapshot && Update.Position.Era != Update.Since.Era)
    return error{error_kind::NotFound,
                 fmt::format("changes of era {} after a version of era {}",
                             Update.Position.Era, Update.Since.Era)};
  return std::nullopt;
}

void fleet_state::applyPeerUpdate(const table_update &Update) { apply(Update); }

void fleet_state::applyPeerRegistrations(
    std::span<const known_registration> Known) {
  bool HasNew = false;
  for (const known_registration &Registration : Known)
    HasNew = Registrations.learn(Registration, bootNow()) || HasNew;
  if (HasNew)
    rebuild();
}

std::vector<known_registration> fleet_state::registrationsToShare() const {
  return Registrations.toShare(bootNow());
}

void fleet_state::logEra(const table_update &Update) const {
  const store_version Known = Mirror.position(Update.Table);
  if (!Known.isKnown() || Update.Position.Era <= Known.Era)
    return;
  logLine(
      log_level::Warning, "store-restored",
      {{"table", platform::tableName(Update.Table)},
       {"era_before", Known.Era},
       {"era", Update.Position.Era},
       {"position_before", Known.Number},
       {"position", Update.Position.Number},
       {"snapshot", Update.IsSnapshot},
       {"replica_age_ms", toMillis(bootNow() - Mirror.asOf(Update.Table))}});
}

void fleet_state::apply(const table_update &Update) {
  logEra(Update);
  TimesBefore = {Mirror.asOf(store_table::Operators),
                 Mirror.provenAsOf(store_table::Operators)};
  const store_mirror::apply_result Result = Mirror.apply(Update);
  // The end of an outage starts the grace period, which rebuild() depends on.
  checkStoreAge();
  if (Result == store_mirror::apply_result::Changed) {
    if (Update.Table != store_table::Vms) {
      rebuild();
      return;
    }
    Handlers.OnVmsChanged();
    if (maxGroupServers(listedVms()) != GroupServers)
      rebuild();
  }
}

std::vector<entry_vm> fleet_state::listedVms() {
  if (!Mirror.position(store_table::Vms).isKnown()) {
    std::vector<entry_vm> Known;
    Known.reserve(StartVms.size());
    for (const auto &[Name, Vm] : StartVms)
      Known.push_back(Vm);
    return Known;
  }
  VmRows.update(Mirror.rows(store_table::Vms), platform::decodeVm);
  std::vector<entry_vm> Listed;
  Listed.reserve(VmRows.values().size());
  for (const auto &[Key, Vm] : VmRows.values())
    Listed.push_back(Vm);
  std::vector<entry_vm> Corrected = RestoredVms.update(
      Mirror.position(store_table::Vms).Era, Listed, bootNow());
  logCorrections(RestoredVms.takeCorrections());
  return Corrected;
}

store_version fleet_state::vmRowVersion(const std::string &Key) const {
  const auto &Rows = Mirror.rows(store_table::Vms);
  const auto Found = Rows.find(Key);
  return Found == Rows.end() ? store_version() : Found->second.Version;
}

/// Decodes a configuration row and builds the directory of its accounts, once
/// for each version of the row.
result<platform::versioned_configuration>
fleet_state::decodeWithDirectory(std::string_view Value) const {
  auto Read = platform::decodeConfiguration(Value);
  if (const error *Error = errorOf(Read))
    return *Error;
  platform::versioned_configuration Decoded = moveValue(std::move(Read));
  configuration_parts &Parts = Decoded.Parts;
  if (!Parts.AccountsFault.empty()) {
    Parts.Directory = account_directory::unreadable(Parts.AccountsFault);
    return Decoded;
  }
  if (!Parts.Accounts) {
    Parts.Directory = account_directory::none();
    return Decoded;
  }
  auto Directory = account_directory::create(std::move(*Parts.Accounts));
  Parts.Accounts.reset();
  if (const error *Error = errorOf(Directory))
    return *Error;
  Parts.Directory = moveValue(std::move(Directory));
  return Decoded;
}

/// Decodes the configuration row if it has changed to a later version.
std::optional<platform::versioned_configuration>
fleet_state::decodeConfigurationRow() {
  const auto &Rows = Mirror.rows(store_table::Operators);
  const auto Found = Rows.find(std::string(platform::ConfigurationKey));
  if (Found == Rows.end() || Found->second.Version == LastRowVersion)
    return std::nullopt;
  const stored_row &Row = Found->second;
  LastRowVersion = Row.Version;
  auto Read = decodeWithDirectory(Row.Value);
  if (const error *Error = errorOf(Read)) {
    refuse(*Error, Row);
    return std::nullopt;
  }
  platform::versioned_configuration Decoded = moveValue(std::move(Read));
  settleSuperseded(Row, Decoded.Version);
  if (Decoded.Version <= ActiveVersion && ActiveParts) {
    logLine(log_level::Warning, "configuration-older",
            {{"offered", Decoded.Version}, {"in_force", ActiveVersion}});
    return std::nullopt;
  }
  return Decoded;
}

/// Records a version that cannot be applied.
void fleet_state::refuse(const error &Error, const stored_row &Row) {
  const auto Read = platform::decodeConfigurationVersion(Row.Value);
  std::optional<std::uint64_t> Number;
  if (!errorOf(Read))
    Number = valueOf(Read);
  std::optional<std::uint64_t> InForce;
  if (ActiveParts)
    InForce = ActiveVersion;
  const bool Supersedes =
      Superseded.record({Row.Version, Number}, InForce, TimesBefore, bootNow());
  logLine(log_level::Error, "configuration-refused",
          {{"why", Error.Message},
           {"version", Number.value_or(0)},
           {"row", Row.Version.Number},
           {"era", Row.Version.Era},
           {"in_force", ActiveVersion},
           {"supersedes", Supersedes}});
}

/// Ends the time in which the active version is superseded if \p Row, which
/// holds \p Version, is the store's newest.
void fleet_state::settleSuperseded(const stored_row &Row,
                                   std::uint64_t Version) {
  if (!Superseded.refused())
    return;
  const duration Age = Superseded.age(bootNow());
  Superseded.settle(Row.Version, Version, ActiveVersion);
  if (!Superseded.refused())
    logLine(log_level::Info, "configuration-settled",
            {{"version", Version}, {"superseded_ms", toMillis(Age)}});
}

/// Logs the parts of the configuration in force whose requests are refused.
void fleet_state::logFaults() {
  const std::vector<std::string> Faults = findFaults(*View->Config);
  FaultCount = Faults.size();
  for (const std::string &Fault : Faults)
    logLine(log_level::Error, "configuration-part-refused",
            {{"version", ActiveVersion}, {"why", Fault}});
}

std::vector<availability_zone> fleet_state::zones() {
  std::map<std::string, availability_zone> Zones;
  for (const auto &[Name, Region] : Settings.Zones)
    Zones[Name] = {Name, Region, false};
  std::set<std::string> Listed;
  for (const auto &[Key, Row] : Mirror.rows(store_table::Operators)) {
    const auto Zone = platform::drainedZone(Key);
    if (Zone && Zones.contains(*Zone))
      Listed.insert(*Zone);
  }
  const std::uint64_t Era = Mirror.position(store_table::Operators).Era;
  for (const std::string &Zone : RestoredZones.update(Era, Listed, bootNow()))
    Zones[Zone].Drained = true;
  logCorrections(RestoredZones.takeCorrections());
  std::vector<availability_zone> List;
  List.reserve(Zones.size());
  for (const auto &[Name, Zone] : Zones)
    List.push_back(Zone);
  return List;
}

/// Returns the orders of rollouts that are in force.
std::vector<rollout_order> fleet_state::rollouts() {
  if (!Settings.Rollouts)
    return {};
  rollout_orders::read_orders Rows;
  for (const auto &[Key, Row] : Mirror.rows(store_table::Operators)) {
    if (!platform::isRolloutKey(Key))
      continue;
    const result<rollout_order> Order = platform::decodeRolloutOrder(Row);
    const error *Error = errorOf(Order);
    Rows[Key] = Error ? std::nullopt : std::optional(valueOf(Order));
    if (Error &&
        std::exchange(UnreadableOrders[Key], Row.Version) != Row.Version)
      logLine(log_level::Error, "row-decode-failed",
              {{"why", Error->Message},
               {"order_in_force", RolloutOrders.idOf(Key)}});
  }
  RolloutOrders.update(Rows);
  return RolloutOrders.inForce();
}

void fleet_state::retainExpiredServers(
    std::map<std::string, backend_server> &Servers) {
  if (!GracePeriod.isActive(bootNow()))
    return;
  for (const auto &[Name, Server] : LastServers) {
    if (!Server.Leaving)
      Servers.emplace(Name, Server);
  }
}

void fleet_state::logOlderRegistrations() {
  for (const auto &Older : Registrations.takeOlder()) {
    OlderRegistrations += Older.IsFollowed ? 0 : 1;
    logLine(log_level::Warning,
            Older.IsFollowed ? "older-registration-followed"
                             : "older-registration",
            {{"server", Older.Name},
             {"start", Older.Number.Start},
             {"sequence", Older.Number.Sequence},
             {"newest_start", Older.Newest.Start},
             {"newest_sequence", Older.Newest.Sequence},
             {"newest_leaving", Older.IsNewestLeaving},
             {"at_most_ms", toMillis(Registrations.maxHold())},
             {"replica_age_ms",
              toMillis(bootNow() - Mirror.asOf(store_table::Servers))}});
  }
}

std::vector<backend_server> fleet_state::decodeServers() {
  const time_point Now = bootNow();
  const auto &Rows = Mirror.rows(store_table::Servers);
  const std::uint64_t Era = Mirror.position(store_table::Servers).Era;
  const bool IsGracePeriod = GracePeriod.isActive(Now);
  ServerRows.update(Rows, platform::decodeServer);
  const listed_servers Listed{Era, Mirror.asOf(store_table::Servers),
                              IsGracePeriod, Rows};
  std::map<std::string, backend_server> Servers = RestoredServers.update(
      Era, Rows,
      Registrations.update(Listed, ServerRows.values(), LastServers, Now),
      IsGracePeriod, Now);
  logOlderRegistrations();
  logCorrections(RestoredServers.takeCorrections());
  retainExpiredServers(Servers);
  for (auto &[Name, Server] : Servers)
    Server.Leaving |= Leaving.isLeaving(Name, Server.Start);
  LastServers = Servers;
  std::vector<backend_server> List;
  List.reserve(Servers.size());
  for (const auto &[Key, Server] : Servers)
    List.push_back(Server);
  return List;
}

/// Builds the active configuration with the servers and zones of now. Its parts
/// hold the directory of accounts, without which nothing can fail.
configuration fleet_state::makeConfiguration() {
  configuration_parts Parts = *ActiveParts;
  Parts.Servers = decodeServers();
  Parts.Zones = zones();
  GroupServers = maxGroupServers(listedVms());
  Parts.GroupServers = GroupServers;
  return moveValue(configuration::fromParts(std::move(Parts)));
}

void fleet_state::putInForce(configuration Config) {
  const auto Next = std::make_shared<fleet_snapshot>();
  Next->Version = ActiveVersion;
  Next->Config = std::make_shared<const configuration>(std::move(Config));
  Next->Rollouts = rollouts();
  Next->StoreEra = Mirror.position(store_table::Operators).Era;
  View = Next;
  Handlers.OnViewChanged();
}

void fleet_state::recordPeers() {
  Proof.recordPeers(!Vms.otherVms().empty(), bootNow());
}

void fleet_state::activate(platform::versioned_configuration Newer) {
  logLine(
      log_level::Info, "configuration-in-force",
      {{"version", Newer.Version},
       {"before", ActiveVersion},
       {"accounts", Newer.Parts.Directory->accounts().size()},
       {"account_required", Newer.Parts.Directory->requiresAccount()},
       {"age_ms", toMillis(bootNow() - Mirror.asOf(store_table::Operators))}});
  ActiveParts = std::move(Newer.Parts);
  ActiveVersion = Newer.Version;
  recordPeers();
  Proof.recordOwn(ActiveVersion, bootNow());
}

/// Puts the newest configuration that can be applied in force with the servers
/// and zones of now.
void fleet_state::rebuild() {
  auto Newer = decodeConfigurationRow();
  const bool IsNewer = Newer.has_value();
  if (Newer)
    activate(std::move(*Newer));
  if (!ActiveParts) {
    // Remembers the registrations of servers from the first list on.
    decodeServers();
    return;
  }
  putInForce(makeConfiguration());
  if (IsNewer)
    logFaults();
}

} // namespace agatedale
