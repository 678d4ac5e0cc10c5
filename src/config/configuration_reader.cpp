/// \file
/// Parses and validates the operators' TOML configuration.
#include "agatedale/account_directory.h"
#include "agatedale/configuration.h"
#include "toml_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <functional>
#include <sstream>

namespace agatedale {

/// Builds a configuration from a merged TOML table and stops at the first
/// error.
class configuration_reader {
public:
  explicit configuration_reader(const toml::table &Root) : Root(Root) {}

  result<configuration> read();

private:
  using object_reader = std::function<void(const std::string &, toml_reader &)>;

  bool readObjects(std::string_view Kind, const object_reader &ReadOne);
  bool readTopology();
  bool readServices();
  bool readServers();
  bool readRoutes();
  bool readAccounts();
  bool readBudgets();
  bool readZoneStates();
  bool checkTopLevel();
  void checkHomes(toml_reader &Reader, const std::vector<std::string> &Homes);
  bool recordError(const error *Error);

  const toml::table &Root;
  configuration Config;
  error Failure;
};

namespace {

bool contains(const std::vector<std::string> &List, std::string_view Word) {
  return std::find(List.begin(), List.end(), Word) != List.end();
}

/// Moves all keys of \p From into \p Into. Tables are merged recursively; other
/// values are overwritten.
void mergeTables(toml::table &Into, toml::table &&From) {
  for (auto &&[Key, Node] : From) {
    toml::node *Existing = Into.get(Key.str());
    if (Existing && Existing->is_table() && Node.is_table())
      mergeTables(*Existing->as_table(), std::move(*Node.as_table()));
    else
      Node.visit([&Into, &Name = Key](auto &Value) {
        Into.insert_or_assign(Name.str(), std::move(Value));
      });
  }
}

std::string printToml(const toml::table &Table) {
  std::ostringstream Text;
  Text << toml::toml_formatter{Table} << "\n";
  return Text.str();
}

bool hasHostAndPort(std::string_view Address) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return false;
  const std::string_view Port = Address.substr(Colon + 1);
  std::uint16_t Number = 0;
  const auto [End, Status] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Number);
  return Status == std::errc() && End == Port.data() + Port.size() &&
         Number != 0;
}

constexpr std::int64_t MaxTimeoutMs = 600'000;
constexpr std::int64_t MaxBodyLimitBytes = std::int64_t{1} << 30;

} // namespace

bool configuration_reader::recordError(const error *Error) {
  if (Error)
    Failure = *Error;
  return !Error;
}

bool configuration_reader::readObjects(std::string_view Kind,
                                       const object_reader &ReadOne) {
  const toml::node *Node = Root.get(Kind);
  if (!Node)
    return true;
  const toml::table *Objects = Node->as_table();
  if (!Objects) {
    Failure = errorAt(*Node, Kind, "expected a table of named tables");
    return false;
  }
  for (const auto &[Name, Object] : *Objects) {
    const std::string Path = fmt::format("{}.{}", Kind, Name.str());
    const toml::table *Table = Object.as_table();
    if (!Table) {
      Failure = errorAt(Object, Path, "expected a table");
      return false;
    }
    toml_reader Reader(*Table, Path);
    ReadOne(std::string(Name.str()), Reader);
    if (!recordError(Reader.finish()))
      return false;
    if (Kind != "servers")
      Config.Places.emplace(Path, placeOf(*Table));
  }
  return true;
}

void configuration_reader::checkHomes(toml_reader &Reader,
                                      const std::vector<std::string> &Homes) {
  for (const std::string &Home : Homes) {
    if (!contains(Config.Regions, Home))
      Reader.addError("homes",
                      fmt::format("unknown region '{}'; known regions: {}",
                                  Home, fmt::join(Config.Regions, ", ")));
  }
}

bool configuration_reader::readTopology() {
  const auto ReadRegion = [this](const std::string &Name, toml_reader &) {
    Config.Regions.push_back(Name);
  };
  const auto ReadZone = [this](const std::string &Name, toml_reader &Reader) {
    availability_zone Zone{Name, Reader.requiredString("region")};
    if (!contains(Config.Regions, Zone.Region))
      Reader.addError(
          "region", fmt::format("unknown region '{}'; known regions: {}",
                                Zone.Region, fmt::join(Config.Regions, ", ")));
    Config.Zones.emplace(Name, Zone);
  };
  const auto ReadLink = [this](const std::string &Name, toml_reader &Reader) {
    region_link Link{Name, Reader.requiredString("from"),
                     Reader.requiredString("to"),
                     Reader.number("megabit_per_s", 30, 0.001, 1e6)};
    if (!contains(Config.Regions, Link.From))
      Reader.addError("from", "is not a known region");
    if (!contains(Config.Regions, Link.To) || Link.To == Link.From)
      Reader.addError("to", "is not a known region other than 'from'");
    Config.Links.push_back(Link);
  };
  return readObjects("regions", ReadRegion) && readObjects("zones", ReadZone) &&
         readObjects("links", ReadLink);
}

bool configuration_reader::readServices() {
  return readObjects(
      "services", [this](const std::string &Name, toml_reader &Reader) {
        service Service;
        Service.Name = Name;
        Service.Slots = static_cast<int>(Reader.integer("slots", 2, 1, 1024));
        Service.MaxConnections =
            static_cast<int>(Reader.integer("max_connections", 220, 1, 100000));
        Service.WarmUpAnswers =
            static_cast<int>(Reader.integer("warm_up_answers", 5, 1, 10000));
        Service.LoadPath = Reader.stringValue("load_path", "");
        Service.LoadReportLag = std::chrono::milliseconds(
            Reader.integer("load_report_lag_ms", 500, 0, 60'000));
        Service.QueuePerSlot =
            static_cast<int>(Reader.integer("queue_per_slot", 32, 1, 10000));
        Config.Services.emplace(Name, Service);
      });
}

bool configuration_reader::readServers() {
  return readObjects("servers", [this](const std::string &Name,
                                       toml_reader &Reader) {
    backend_server Server;
    Server.Name = Name;
    Server.Service = Reader.requiredString("service");
    Server.Zone = Reader.requiredString("zone");
    Server.Address = Reader.requiredString("address");
    Server.Leaving =
        Reader.choice("state", "active", {"active", "leaving"}) == "leaving";
    if (!Config.Services.contains(Server.Service))
      Reader.addError("service",
                      fmt::format("unknown service '{}'", Server.Service));
    if (!Config.Zones.contains(Server.Zone))
      Reader.addError("zone", fmt::format("unknown zone '{}'", Server.Zone));
    if (!hasHostAndPort(Server.Address))
      Reader.addError("address", "expected \"ip:port\"");
    Config.Servers.push_back(Server);
  });
}

bool configuration_reader::readRoutes() {
  return readObjects(
      "routes", [this](const std::string &Name, toml_reader &Reader) {
        route Route;
        Route.Name = Name;
        Route.PathPrefix = Reader.requiredString("path_prefix");
        if (!Route.PathPrefix.starts_with('/'))
          Reader.addError("path_prefix", "must begin with '/'");
        Route.Methods = Reader.stringList("methods");
        Route.Service = Reader.requiredString("service");
        if (!Config.Services.contains(Route.Service))
          Reader.addError("service",
                          fmt::format("unknown service '{}'", Route.Service));
        Route.Class = Reader.stringValue("class", Name);
        Route.Timeout = std::chrono::milliseconds(
            Reader.integer("timeout_ms", 2000, 1, MaxTimeoutMs));
        Route.Idempotent = Reader.boolean("idempotent", false);
        const std::string Key =
            Reader.choice("key", "optional", {"none", "optional", "required"});
        Route.Key = Key == "none"       ? idempotency_key_policy::None
                    : Key == "required" ? idempotency_key_policy::Required
                                        : idempotency_key_policy::Optional;
        Route.Homes = Reader.stringList("homes");
        checkHomes(Reader, Route.Homes);
        Route.MaxBodyBytes =
            Reader.integer("max_body_bytes", 1 << 20, 0, MaxBodyLimitBytes);
        Config.Routes.push_back(Route);
      });
}

bool configuration_reader::readAccounts() {
  if (!Root.contains("accounts"))
    return true;
  std::vector<client_account> Accounts;
  const bool IsRead =
      readObjects("accounts", [this, &Accounts](const std::string &Name,
                                                toml_reader &Reader) {
        client_account Account;
        Account.Name = Name;
        Account.Weight = static_cast<int>(Reader.integer("weight", 1, 1, 1000));
        Account.Homes = Reader.stringList("homes");
        checkHomes(Reader, Account.Homes);
        Accounts.push_back(std::move(Account));
      });
  if (!IsRead)
    return false;
  Config.Places.emplace("accounts", placeOf(*Root.get("accounts")));
  auto Built = account_directory::create(std::move(Accounts));
  if (const error *Error = errorOf(Built))
    return recordError(Error);
  Config.Directory = moveValue(std::move(Built));
  if (!Config.Directory->faults().empty()) {
    Failure =
        error{error_kind::InvalidInput, Config.Directory->faults().front()};
    return false;
  }
  return true;
}

bool configuration_reader::readBudgets() {
  const toml::node *Node = Root.get("budgets");
  if (!Node)
    return true;
  const toml::table *Table = Node->as_table();
  if (!Table) {
    Failure = errorAt(*Node, "budgets", "expected a table");
    return false;
  }
  Config.Places.emplace("budgets", placeOf(*Table));
  toml_reader Reader(*Table, "budgets");
  budgets &Budgets = Config.Budgets;
  Budgets.ProbePercent =
      Reader.number("probe_percent", Budgets.ProbePercent, 0, 100);
  Budgets.ControlBytesPerSecond =
      Reader.integer("control_bytes_per_s", Budgets.ControlBytesPerSecond, 1,
                     std::int64_t{1} << 30);
  Budgets.RetryPercent =
      Reader.number("retry_percent", Budgets.RetryPercent, 0, 100);
  return recordError(Reader.finish());
}

bool configuration_reader::readZoneStates() {
  return readObjects(
      "zone_states", [this](const std::string &Name, toml_reader &Reader) {
        const bool Drained = Reader.boolean("out", false);
        const auto Zone = Config.Zones.find(Name);
        if (Zone == Config.Zones.end())
          Reader.addError("out", fmt::format("unknown zone '{}'", Name));
        else
          Zone->second.Drained = Drained;
      });
}

bool configuration_reader::checkTopLevel() {
  const std::set<std::string, std::less<>> KnownKeys{
      "regions", "zones",    "links",   "services",   "servers",
      "routes",  "accounts", "budgets", "zone_states"};
  for (const auto &[Key, Node] : Root) {
    if (KnownKeys.contains(Key.str()))
      continue;
    const std::string_view Nearest = nearestWord(Key.str(), KnownKeys);
    Failure =
        errorAt(Node, Key.str(),
                Nearest.empty()
                    ? fmt::format("unknown key; known keys: {}",
                                  fmt::join(KnownKeys, ", "))
                    : fmt::format("unknown key; did you mean '{}'?", Nearest));
    return false;
  }
  return true;
}

result<configuration> configuration_reader::read() {
  const bool Valid = checkTopLevel() && readTopology() && readServices() &&
                     readServers() && readRoutes() && readAccounts() &&
                     readBudgets() && readZoneStates();
  if (!Valid)
    return Failure;
  Config.buildGroups();
  Config.Document = printToml(Root);
  return std::move(Config);
}

result<configuration>
configuration::fromFolder(const std::filesystem::path &Folder) {
  std::error_code Status;
  std::vector<std::filesystem::path> Files;
  for (const auto &Entry :
       std::filesystem::directory_iterator(Folder, Status)) {
    if (Entry.path().extension() == ".toml")
      Files.push_back(Entry.path());
  }
  if (Status || Files.empty())
    return error{
        error_kind::NotFound,
        fmt::format("{}: not a folder with .toml files", Folder.string())};
  std::sort(Files.begin(), Files.end());
  toml::table Merged;
  for (const std::filesystem::path &File : Files) {
    result<toml::table> Parsed = parseTomlFile(File);
    if (const error *Error = errorOf(Parsed))
      return *Error;
    mergeTables(Merged, moveValue(std::move(Parsed)));
  }
  return configuration_reader(Merged).read();
}

result<configuration> configuration::fromDocument(std::string_view Text,
                                                  std::string_view Source) {
  const result<toml::table> Parsed = parseToml(Text, Source);
  if (const error *Error = errorOf(Parsed))
    return *Error;
  return configuration_reader(valueOf(Parsed)).read();
}

result<configuration> configuration::withZoneDrained(std::string_view Zone,
                                                     bool Drained) const {
  if (!Zones.contains(std::string(Zone)))
    return error{error_kind::NotFound,
                 fmt::format("unknown availability zone '{}'", Zone)};
  toml::table Root = moveValue(parseToml(Document, "document"));
  if (!Root.get("zone_states"))
    Root.insert("zone_states", toml::table{});
  toml::table &States = *Root.get("zone_states")->as_table();
  States.insert_or_assign(Zone, toml::table{{"out", Drained}});
  auto Copy = configuration_reader(Root).read();
  // The entries come from the same files as before.
  if (!errorOf(Copy))
    valueOf(Copy).Places = Places;
  return Copy;
}

result<configuration>
configuration::withDrainedZonesOf(const configuration &Earlier) const {
  result<configuration> Current = *this;
  for (const auto &[Name, Zone] : Earlier.zones()) {
    if (!Zone.Drained || !Zones.contains(Name))
      continue;
    Current = valueOf(Current).withZoneDrained(Name, true);
    if (errorOf(Current))
      return Current;
  }
  return Current;
}

} // namespace agatedale
