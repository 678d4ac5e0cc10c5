/// \file
/// Reading, decoding, and what stays when rows lapse.
#include "knowledge.h"

#include "../core/log.h"
#include "platform/decode.h"
#include "platform/names.h"

namespace agatedale {

namespace {

/// Knowledge of this age is told as the loss of the store.
constexpr duration LostAfter = std::chrono::milliseconds(1800);

/// An answer that is this late counts as none, for those who wait for what this
/// VM reads; a slow store takes some 300 ms.
constexpr duration LateAfter = std::chrono::milliseconds(400);

} // namespace

void knowledge::noteAge() {
  const time_point Now = bootNow();
  if (!Mirror.isComplete())
    return;
  const duration Age = Now - Mirror.asOf();
  if (Age > LostAfter && !StoreAway) {
    StoreAway = true;
    logLine(log_level::Warning, "store-lost",
            {{"known_for_ms", toMillis(Age)}, {"version", RulesVersion}});
  }
  const bool Ended = Hold.onKnown(Mirror.asOf(), Now);
  if (Age <= LostAfter && StoreAway) {
    StoreAway = false;
    logLine(log_level::Info, "store-back", {{"holds_lapsed_servers", Ended}});
  }
}

bool knowledge::readsFail() const {
  return LastReadFailed || (LateAt && bootNow() > *LateAt);
}

void knowledge::tick() {
  const time_point Now = bootNow();
  noteAge();
  const bool Holds = Hold.isActive(Now);
  if (std::exchange(HoldWasActive, Holds) && !Holds)
    rebuild();
  if (Reading)
    return;
  const int Rank = Vms.readerRank(readsFail(), Now);
  const auto Read = Follower.next(Mirror, Rank, Now);
  if (!Read)
    return;
  Reading = true;
  LateAt = Now + Read->Wait + LateAfter;
  Worker.read(*Read, [this, Read = *Read](const result<table_news> &News) {
    onRead(Read, News);
  });
}

void knowledge::onRead(const store_read &Read, const result<table_news> &News) {
  Reading = false;
  LateAt.reset();
  const error *Failure = errorOf(News);
  LastReadFailed = Failure && Failure->Kind != error_kind::NotFound;
  if (const error *Error = Failure) {
    if (Error->Kind == error_kind::NotFound)
      Follower.onForgotten(Read.Table);
    else
      Follower.onFailure(bootNow());
    logLine(log_level::Warning, "store-read-failed",
            {{"table", platform::tableName(Read.Table)},
             {"why", Error->Message},
             {"known_for_ms", toMillis(bootNow() - Mirror.asOf())}});
    return;
  }
  Follower.onAnswer(Read.Table, Read.Whole);
  apply(valueOf(News));
  Mirror.vouch(valueOf(News).Position, valueOf(News).AsOf);
  Handlers.OnStore();
  tick();
}

void knowledge::takeNews(const table_news &News) { apply(News); }

void knowledge::apply(const table_news &News) {
  const store_mirror::apply_result Result = Mirror.apply(News);
  // An outage that has ended decides what becomes of rows that are gone.
  noteAge();
  if (Result == store_mirror::apply_result::Changed) {
    if (News.Table == store_table::Vms)
      Handlers.OnVms();
    else
      rebuild();
  }
}

std::vector<entry_vm> knowledge::listedVms() {
  VmRows.update(Mirror.rows(store_table::Vms), platform::decodeVm);
  std::vector<entry_vm> Listed;
  Listed.reserve(VmRows.values().size());
  for (const auto &[Key, Vm] : VmRows.values())
    Listed.push_back(Vm);
  return Listed;
}

std::uint64_t knowledge::vmRowVersion(const std::string &Vm) const {
  const auto &Rows = Mirror.rows(store_table::Vms);
  const auto Found = Rows.find(Vm);
  return Found == Rows.end() ? 0 : Found->second.Version;
}

void knowledge::decodeRules() {
  const auto &Rows = Mirror.rows(store_table::Operators);
  const auto Row = Rows.find(std::string(platform::ConfigurationKey));
  if (Row == Rows.end() || Row->second.Version == RulesRowVersion)
    return;
  RulesRowVersion = Row->second.Version;
  const auto Read = platform::decodeConfiguration(Row->second.Value);
  if (const error *Error = errorOf(Read)) {
    logLine(log_level::Error, "configuration-refused",
            {{"why", Error->Message}, {"in_force", RulesVersion}});
    return;
  }
  if (valueOf(Read).Version <= RulesVersion && Rules) {
    logLine(log_level::Warning, "configuration-older",
            {{"offered", valueOf(Read).Version}, {"in_force", RulesVersion}});
    return;
  }
  Rules = valueOf(Read).Parts;
  RulesVersion = valueOf(Read).Version;
}

std::vector<availability_zone> knowledge::zones() const {
  std::map<std::string, availability_zone> Zones;
  for (const auto &[Name, Region] : Settings.Zones)
    Zones[Name] = {Name, Region, false};
  for (const auto &[Key, Row] : Mirror.rows(store_table::Operators)) {
    const auto Zone = platform::zoneTakenOut(Key);
    if (Zone && Zones.contains(*Zone))
      Zones[*Zone].Drained = true;
  }
  std::vector<availability_zone> List;
  List.reserve(Zones.size());
  for (const auto &[Name, Zone] : Zones)
    List.push_back(Zone);
  return List;
}

void knowledge::keepLapsed(std::map<std::string, backend_server> &Servers) {
  if (!Hold.isActive(bootNow()))
    return;
  for (const auto &[Name, Server] : LastServers) {
    if (!Server.Leaving)
      Servers.emplace(Name, Server);
  }
}

std::vector<backend_server> knowledge::decodeServers() {
  ServerRows.update(Mirror.rows(store_table::Servers), platform::decodeServer);
  std::map<std::string, backend_server> Servers = ServerRows.values();
  keepLapsed(Servers);
  LastServers = Servers;
  std::vector<backend_server> List;
  List.reserve(Servers.size());
  for (const auto &[Key, Server] : Servers)
    List.push_back(Server);
  return List;
}

void knowledge::rebuild() {
  const std::uint64_t Before = RulesVersion;
  decodeRules();
  std::vector<backend_server> Servers = decodeServers();
  if (!Rules)
    return;
  configuration_parts Parts = *Rules;
  Parts.Servers = std::move(Servers);
  Parts.Zones = zones();
  result<configuration> World = configuration::fromParts(std::move(Parts));
  if (const error *Error = errorOf(World)) {
    logLine(log_level::Error, "configuration-refused",
            {{"why", Error->Message}, {"in_force", Before}});
    return;
  }
  const auto Next = std::make_shared<fleet_view>();
  Next->Version = RulesVersion;
  Next->World =
      std::make_shared<const configuration>(moveValue(std::move(World)));
  View = Next;
  if (RulesVersion != Before)
    logLine(log_level::Info, "configuration-in-force",
            {{"version", RulesVersion},
             {"before", Before},
             {"age_ms",
              toMillis(bootNow() - Mirror.asOf(store_table::Operators))}});
  Handlers.OnView();
}

} // namespace agatedale
