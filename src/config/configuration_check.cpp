/// \file
/// Entries without effect, contradicting limits and differences.
#include "agatedale/configuration_check.h"
#include "agatedale/account_directory.h"
#include "agatedale/configuration_faults.h"
#include "agatedale/http_message.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cctype>
#include <set>

namespace agatedale {

namespace {

/// Requests per second of one slot at most. The configuration holds no service
/// time, so only a quota that needs answers within 1 ms is reported.
constexpr double MaxRequestsPerSlotSecond = 1000;

using string_set = std::set<std::string>;

std::vector<weighted_service> servicesOf(const route &Route) {
  if (!Route.Split.empty())
    return Route.Split;
  return {{Route.Service, 1}};
}

bool mayUse(const std::vector<std::string> &Homes, const std::string &Region) {
  return Homes.empty() ||
         std::find(Homes.begin(), Homes.end(), Region) != Homes.end();
}

/// What the servers of one region bear.
struct region_capacity {
  double Slots = 0;
  double Held = 0; ///< Requests that slots and queues hold at once.
};

/// Collects the findings of one configuration.
class configuration_checker {
public:
  explicit configuration_checker(const configuration &Config) : Config(Config) {
    for (const backend_server &Server : Config.servers()) {
      const auto Service = Config.services().find(Server.Service);
      if (Server.Leaving || Service == Config.services().end())
        continue;
      const std::string Region(Config.regionOf(Server.Zone));
      RegionsOfService[Server.Service].insert(Region);
      const int Slots = Server.Slots > 0 ? Server.Slots : Service->second.Slots;
      region_capacity &Capacity = CapacityOfRegion[Region];
      Capacity.Slots += Slots;
      Capacity.Held += Slots * (1.0 + Service->second.QueuePerSlot);
    }
    for (const auto &[Name, Account] : Config.accounts())
      KeysAreUsed = KeysAreUsed || !Account.Keys.empty();
  }

  std::vector<finding> check();

private:
  void add(finding_kind Kind, const std::string &Entry, std::string Text) {
    Findings.push_back({finding_severity::Warning, Kind, Config.placeOf(Entry),
                        fmt::format("{}: {}", Entry, Text)});
  }
  void checkHidden(std::size_t Index);
  void checkRegions(const route &Route);
  void checkRouteLimits(const route &Route);
  void checkAccount(const client_account &Account);
  void checkEmptyAccounts();
  void checkFaults();
  void checkDrainedRegions();
  void checkRetries();

  const configuration &Config;
  std::map<std::string, string_set> RegionsOfService;
  std::map<std::string, region_capacity> CapacityOfRegion;
  bool KeysAreUsed = false;
  std::vector<finding> Findings;
};

/// The longest prefix is chosen, and the first route of equal ones. Therefore
/// only earlier routes with the same host and prefix hide a route.
void configuration_checker::checkHidden(std::size_t Index) {
  const route &Route = Config.routes()[Index];
  string_set Left(Route.Methods.begin(), Route.Methods.end());
  std::vector<std::string> Earlier;
  for (std::size_t I = 0; I < Index; ++I) {
    const route &Other = Config.routes()[I];
    if (!equalNames(Other.Host, Route.Host) ||
        Other.PathPrefix != Route.PathPrefix)
      continue;
    const std::size_t Before = Left.size();
    for (const std::string &Method : Other.Methods)
      Left.erase(Method);
    if (Other.Methods.empty())
      Left.clear();
    if (Left.size() < Before || Other.Methods.empty())
      Earlier.push_back(Other.Name);
    const bool IsCovered =
        Other.Methods.empty() || (!Route.Methods.empty() && Left.empty());
    if (IsCovered)
      return add(finding_kind::HiddenRoute, "routes." + Route.Name,
                 fmt::format("never matches; chosen first for its prefix and "
                             "methods: {}",
                             fmt::join(Earlier, ", ")));
  }
}

void configuration_checker::checkRegions(const route &Route) {
  const std::string Entry = "routes." + Route.Name;
  const auto &Accounts = Config.accounts();
  const bool IsShared =
      Route.Homes.empty() || Route.IsPublic || Accounts.empty() ||
      std::any_of(Accounts.begin(), Accounts.end(), [&](const auto &Named) {
        return !homeRegions(Route, Named.second, Config.regions()).empty();
      });
  if (!IsShared)
    add(finding_kind::NoCommonRegion, Entry,
        fmt::format("no account may use its home regions {}",
                    fmt::join(Route.Homes, ", ")));
  // A route without home regions needs those that its accounts are bound to.
  string_set Needed(Route.Homes.begin(), Route.Homes.end());
  if (Route.Homes.empty()) {
    for (const auto &[Name, Account] : Accounts)
      Needed.insert(Account.Homes.begin(), Account.Homes.end());
  }
  for (const weighted_service &Part : servicesOf(Route)) {
    const string_set &Present = RegionsOfService[Part.Service];
    if (Part.Weight <= 0) {
      add(finding_kind::ZeroWeight, Entry,
          fmt::format("service {} has weight 0 and receives no request",
                      Part.Service));
      continue;
    }
    if (Present.empty()) {
      add(finding_kind::NoServers, Entry,
          fmt::format("service {} has no server", Part.Service));
      continue;
    }
    for (const std::string &Region : Needed) {
      if (!Present.contains(Region))
        add(finding_kind::NoServers, Entry,
            fmt::format("region {} has no server of service {}", Region,
                        Part.Service));
    }
  }
}

void configuration_checker::checkRouteLimits(const route &Route) {
  const std::string Entry = "routes." + Route.Name;
  if (Route.Timeout < Route.Aim)
    add(finding_kind::TimeoutUnderAim, Entry,
        fmt::format("time-out {} ms is under the aim {} ms",
                    Route.Timeout.count(), Route.Aim.count()));
  // Folders hold no caller limits, and agatedale-entry applies none.
  if (Config.toDocument().empty() &&
      Route.MaxBodyBytes > Config.callers().BodyBytes)
    add(finding_kind::BodyLimit, Entry,
        fmt::format("body limit {} bytes is above the {} bytes that callers "
                    "may send",
                    Route.MaxBodyBytes, Config.callers().BodyBytes));
  const auto NeedsBody = [](const std::string &Method) {
    return Method == "POST" || Method == "PUT" || Method == "PATCH";
  };
  if (Route.MaxBodyBytes == 0 && !Route.Methods.empty() &&
      std::all_of(Route.Methods.begin(), Route.Methods.end(), NeedsBody))
    add(finding_kind::BodyLimit, Entry,
        fmt::format("body limit is 0, and all methods send bodies: {}",
                    fmt::join(Route.Methods, ", ")));
}

void configuration_checker::checkAccount(const client_account &Account) {
  const std::string Entry = "accounts." + Account.Name;
  if (Account.Weight <= 0)
    add(finding_kind::ZeroWeight, Entry, "has weight 0");
  if (KeysAreUsed && Account.Keys.empty())
    add(finding_kind::NoKey, Entry,
        "has no key, so no request can belong to it");
  double Slots = 0;
  double Held = 0;
  for (const auto &[Region, Capacity] : CapacityOfRegion) {
    if (!mayUse(Account.Homes, Region))
      continue;
    Slots += Capacity.Slots;
    Held += Capacity.Held;
  }
  if (Account.RatePerSecond > Slots * MaxRequestsPerSlotSecond)
    add(finding_kind::QuotaAboveCapacity, Entry,
        fmt::format("rate {}/s is above the {}/s that {} slots bear at 1 ms "
                    "per request",
                    Account.RatePerSecond, Slots * MaxRequestsPerSlotSecond,
                    Slots));
  if (Account.Burst > Held)
    add(finding_kind::QuotaAboveCapacity, Entry,
        fmt::format("burst {} is above the {} requests that slots and queues "
                    "hold",
                    Account.Burst, Held));
}

void configuration_checker::checkEmptyAccounts() {
  if (!Config.directory().requiresAccount() || !Config.accounts().empty())
    return;
  std::vector<std::string> Public;
  for (const route &Route : Config.routes()) {
    if (Route.IsPublic)
      Public.push_back(Route.Name);
  }
  add(finding_kind::NoAccounts, "accounts",
      Public.empty()
          ? "the table is empty and no route is public, so no request is served"
          : fmt::format("the table is empty, so only requests of these public "
                        "routes are served: {}",
                        fmt::join(Public, ", ")));
}

/// A gateway applies such a configuration and refuses requests of these parts.
void configuration_checker::checkFaults() {
  for (std::string &Fault : findFaults(Config))
    Findings.push_back(
        {finding_severity::Error, finding_kind::Invalid, "", std::move(Fault)});
}

void configuration_checker::checkDrainedRegions() {
  string_set Homes;
  for (const route &Route : Config.routes())
    Homes.insert(Route.Homes.begin(), Route.Homes.end());
  for (const auto &[Name, Account] : Config.accounts())
    Homes.insert(Account.Homes.begin(), Account.Homes.end());
  for (const std::string &Region : Homes) {
    std::vector<std::string> Drained;
    bool HasActive = false;
    for (const auto &[Name, Zone] : Config.zones()) {
      if (Zone.Region != Region)
        continue;
      HasActive = HasActive || !Zone.Drained;
      if (Zone.Drained)
        Drained.push_back(Name);
    }
    if (!HasActive && !Drained.empty())
      add(finding_kind::DrainedRegion, "zones." + Drained.front(),
          fmt::format("home region {} has drained zones only: {}", Region,
                      fmt::join(Drained, ", ")));
  }
}

void configuration_checker::checkRetries() {
  if (Config.costBudgets().RetryPercent > 0)
    return;
  std::vector<std::string> Names;
  for (const route &Route : Config.routes()) {
    if (Route.MaxAttempts > 1)
      Names.push_back(Route.Name);
  }
  if (!Names.empty())
    add(finding_kind::NoRetryBudget, "budgets",
        fmt::format("retry_percent is 0, but these routes allow more than one "
                    "attempt: {}",
                    fmt::join(Names, ", ")));
}

std::vector<finding> configuration_checker::check() {
  checkFaults();
  for (std::size_t I = 0; I < Config.routes().size(); ++I) {
    checkHidden(I);
    checkRegions(Config.routes()[I]);
    checkRouteLimits(Config.routes()[I]);
  }
  checkEmptyAccounts();
  for (const auto &[Name, Account] : Config.accounts())
    checkAccount(Account);
  for (const auto &[Name, Service] : Config.services()) {
    if (Service.ColdDuration.count() > 0 && Service.ColdRequestsPerSecond <= 0)
      add(finding_kind::ColdWithoutRate, "services." + Name,
          fmt::format("cold for {} ms without a rate limit",
                      Service.ColdDuration.count()));
  }
  checkDrainedRegions();
  checkRetries();
  return std::move(Findings);
}

using field_values = std::map<std::string, std::string>;

std::string listText(const std::vector<std::string> &Values) {
  return fmt::format("[{}]", fmt::join(Values, ", "));
}

std::string_view keyPolicyText(idempotency_key_policy Policy) {
  switch (Policy) {
  case idempotency_key_policy::None:
    return "none";
  case idempotency_key_policy::Optional:
    return "optional";
  case idempotency_key_policy::Required:
    break;
  }
  return "required";
}

field_values fieldsOf(const service &Service) {
  return {{"slots", fmt::to_string(Service.Slots)},
          {"max_connections", fmt::to_string(Service.MaxConnections)},
          {"warm_up_answers", fmt::to_string(Service.WarmUpAnswers)},
          {"load_path", Service.LoadPath},
          {"load_report_lag_ms", fmt::to_string(Service.LoadReportLag.count())},
          {"queue_per_slot", fmt::to_string(Service.QueuePerSlot)},
          {"cold_ms", fmt::to_string(Service.ColdDuration.count())},
          {"cold_per_s", fmt::to_string(Service.ColdRequestsPerSecond)}};
}

field_values fieldsOf(const backend_server &Server) {
  return {{"service", Server.Service},
          {"zone", Server.Zone},
          {"address", Server.Address},
          {"state", Server.Leaving ? "leaving" : "active"},
          {"slots", fmt::to_string(Server.Slots)},
          {"version", Server.Version}};
}

field_values fieldsOf(const route &Route) {
  std::vector<std::string> Split;
  for (const weighted_service &Part : Route.Split)
    Split.push_back(fmt::format("{} {}", Part.Service, Part.Weight));
  return {{"path_prefix", Route.PathPrefix},
          {"methods", listText(Route.Methods)},
          {"service", Route.Service},
          {"class", Route.Class},
          {"timeout_ms", fmt::to_string(Route.Timeout.count())},
          {"idempotent", fmt::to_string(Route.Idempotent)},
          {"key", std::string(keyPolicyText(Route.Key))},
          {"homes", listText(Route.Homes)},
          {"max_body_bytes", fmt::to_string(Route.MaxBodyBytes)},
          {"host", Route.Host},
          {"split", listText(Split)},
          {"aim_ms", fmt::to_string(Route.Aim.count())},
          {"priority", fmt::to_string(Route.Priority)},
          {"attempts", fmt::to_string(Route.MaxAttempts)},
          {"public", fmt::to_string(Route.IsPublic)}};
}

field_values fieldsOf(const client_account &Account) {
  return {
      {"weight", fmt::to_string(Account.Weight)},
      {"homes", listText(Account.Homes)},
      {"keys", fmt::to_string(Account.Keys.size())},
      {"priority", Account.Priority ? fmt::to_string(*Account.Priority) : ""},
      {"rate_per_s", fmt::to_string(Account.RatePerSecond)},
      {"burst", fmt::to_string(Account.Burst)}};
}

std::map<std::string, field_values> entriesOf(const configuration &Config) {
  std::map<std::string, field_values> Entries;
  for (const std::string &Region : Config.regions())
    Entries["regions." + Region];
  for (const auto &[Name, Zone] : Config.zones())
    Entries["zones." + Name] = {{"region", Zone.Region},
                                {"out", fmt::to_string(Zone.Drained)}};
  for (const region_link &Link : Config.links())
    Entries["links." + Link.Name] = {
        {"from", Link.From},
        {"to", Link.To},
        {"megabit_per_s", fmt::to_string(Link.MegabitPerSecond)}};
  for (const auto &[Name, Service] : Config.services())
    Entries["services." + Name] = fieldsOf(Service);
  for (const backend_server &Server : Config.servers())
    Entries["servers." + Server.Name] = fieldsOf(Server);
  for (const route &Route : Config.routes())
    Entries["routes." + Route.Name] = fieldsOf(Route);
  // The table is an entry of its own: an empty one is not an absent one.
  if (Config.directory().requiresAccount())
    Entries["accounts"];
  for (const auto &[Name, Account] : Config.accounts())
    Entries["accounts." + Name] = fieldsOf(Account);
  const budgets &Budgets = Config.costBudgets();
  Entries["budgets"] = {
      {"probe_percent", fmt::to_string(Budgets.ProbePercent)},
      {"control_bytes_per_s", fmt::to_string(Budgets.ControlBytesPerSecond)},
      {"retry_percent", fmt::to_string(Budgets.RetryPercent)}};
  return Entries;
}

} // namespace

std::string_view toText(finding_severity Severity) {
  return Severity == finding_severity::Error ? "error" : "warning";
}

std::string_view toText(finding_kind Kind) {
  switch (Kind) {
  case finding_kind::Invalid:
    break;
  case finding_kind::HiddenRoute:
    return "hidden-route";
  case finding_kind::NoCommonRegion:
    return "no-common-region";
  case finding_kind::NoServers:
    return "no-servers";
  case finding_kind::ZeroWeight:
    return "zero-weight";
  case finding_kind::NoKey:
    return "no-key";
  case finding_kind::NoAccounts:
    return "no-accounts";
  case finding_kind::DrainedRegion:
    return "drained-region";
  case finding_kind::TimeoutUnderAim:
    return "timeout-under-aim";
  case finding_kind::NoRetryBudget:
    return "no-retry-budget";
  case finding_kind::QuotaAboveCapacity:
    return "quota-above-capacity";
  case finding_kind::ColdWithoutRate:
    return "cold-without-rate";
  case finding_kind::BodyLimit:
    return "body-limit";
  }
  return "invalid";
}

std::string_view toText(entry_change_kind Kind) {
  switch (Kind) {
  case entry_change_kind::Added:
    return "added";
  case entry_change_kind::Removed:
    return "removed";
  case entry_change_kind::Changed:
    break;
  }
  return "changed";
}

finding findingOf(const error &Error) {
  finding Finding{finding_severity::Error, finding_kind::Invalid, "",
                  Error.Message};
  const std::size_t End = Error.Message.find(": ");
  const bool HasLine =
      End != std::string::npos && End > 0 &&
      std::isdigit(static_cast<unsigned char>(Error.Message[End - 1])) != 0 &&
      Error.Message.rfind(':', End - 1) != std::string::npos;
  if (HasLine) {
    Finding.Place = Error.Message.substr(0, End);
    Finding.Text = Error.Message.substr(End + 2);
  }
  return Finding;
}

std::vector<finding> checkConfiguration(const configuration &Config) {
  return configuration_checker(Config).check();
}

std::vector<entry_change> configurationDifference(const configuration &Before,
                                                  const configuration &After) {
  const auto Old = entriesOf(Before);
  const auto New = entriesOf(After);
  std::vector<entry_change> Changes;
  for (const auto &[Entry, Fields] : Old) {
    if (New.contains(Entry))
      continue;
    entry_change Change{entry_change_kind::Removed, Entry, {}};
    for (const auto &[Name, Value] : Fields)
      Change.Fields.push_back({Name, Value, ""});
    Changes.push_back(std::move(Change));
  }
  for (const auto &[Entry, Fields] : New) {
    const auto Earlier = Old.find(Entry);
    const bool IsNew = Earlier == Old.end();
    entry_change Change{IsNew ? entry_change_kind::Added
                              : entry_change_kind::Changed,
                        Entry,
                        {}};
    for (const auto &[Name, Value] : Fields) {
      const std::string Previous = IsNew ? "" : Earlier->second.at(Name);
      if (IsNew || Previous != Value)
        Change.Fields.push_back({Name, Previous, Value});
    }
    if (IsNew || !Change.Fields.empty())
      Changes.push_back(std::move(Change));
  }
  // Other keys of the same number do not show in the counts.
  for (const auto &[Name, Account] : After.accounts()) {
    const auto Earlier = Before.accounts().find(Name);
    if (Earlier == Before.accounts().end() ||
        Earlier->second.Keys.size() != Account.Keys.size() ||
        Earlier->second.Keys == Account.Keys)
      continue;
    const std::string Entry = "accounts." + Name;
    const std::string Count = fmt::to_string(Account.Keys.size());
    const field_change Keys{"keys", Count, Count + " (other keys)"};
    const auto Present = std::find_if(
        Changes.begin(), Changes.end(),
        [&](const entry_change &Change) { return Change.Entry == Entry; });
    if (Present != Changes.end())
      Present->Fields.push_back(Keys);
    else
      Changes.push_back({entry_change_kind::Changed, Entry, {Keys}});
  }
  std::sort(Changes.begin(), Changes.end(),
            [](const entry_change &Left, const entry_change &Right) {
              return Left.Entry < Right.Entry;
            });
  return Changes;
}

} // namespace agatedale
