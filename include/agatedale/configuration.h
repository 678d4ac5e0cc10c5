/// \file
/// The operators' configuration of regions, services, servers and routes.
#pragma once

#include "agatedale/result.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace agatedale {

/// Identifies a server group: backend servers of one service in one
/// availability zone. A large service is split into parts of at most
/// MaxGroupServers servers.
struct group_id {
  std::string Service;
  std::string Zone;
  int Part = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const group_id &) const = default;
};

/// Returns "service/zone/part", the form used in messages and logs.
std::string toText(const group_id &Group);

/// Parses the text form written by toText().
result<group_id> parseGroupId(std::string_view Text);

/// Maximum number of backend servers in one server group.
inline constexpr std::size_t MaxGroupServers = 32;

/// An availability zone.
struct availability_zone {
  std::string Name;
  std::string Region;
  bool Drained = false; ///< Receives no new requests.
};

/// A link between two regions that is billed by volume.
struct region_link {
  std::string Name;
  std::string From;
  std::string To;
  double MegabitPerSecond = 0; ///< In each direction.
};

/// A service with the capacity and load reporting of its backend servers.
struct service {
  std::string Name;
  /// Why requests for it are refused; empty if they are served.
  std::string Fault;
  int Slots = 2;            ///< Concurrent requests per server.
  int MaxConnections = 220; ///< Maximum connections per server.
  /// Successes before the limit of a cold server grows.
  int WarmUpAnswers = 5;
  std::string LoadPath; ///< Load endpoint; empty if there is none.
  std::chrono::milliseconds LoadReportLag{500}; ///< Maximum age of a report.
  int QueuePerSlot = 32; ///< Queue capacity per slot of the group.
  /// Time for which a server is slow after its start.
  std::chrono::milliseconds ColdDuration{0};
  /// Rate limit of a cold server; 0 for none.
  double ColdRequestsPerSecond = 0;
};

/// A backend server of a service.
struct backend_server {
  std::string Name;
  std::string Service;
  std::string Zone;
  std::string Address; ///< "ip:port".
  bool Leaving = false;
  int Slots = 0; ///< Concurrent requests; 0 for the default of the service.
  std::chrono::milliseconds ColdLeft{0}; ///< Remaining time as a cold server.
  std::uint64_t Start = 0;    ///< Identifies this start of the server process.
  std::uint64_t Sequence = 0; ///< Counts its registrations within the start.
  std::string Version;        ///< Of its software; empty if not known.

  bool operator==(const backend_server &) const = default;
};

/// A service that receives a weighted share of the requests of a route.
struct weighted_service {
  std::string Service;
  double Weight = 1;
};

/// Whether requests of a route carry idempotency keys.
enum class idempotency_key_policy { None, Optional, Required };

/// Maps requests to a service and sets their time-outs and retry rules.
struct route {
  std::string Name;
  /// Why its requests are refused; empty if they are served. If the host or the
  /// prefix is not known, both are empty: see findRouteForHost().
  std::string Fault;
  std::string PathPrefix;
  std::vector<std::string> Methods; ///< Empty for all.
  std::string Service;
  std::string Class; ///< Label of its histogram; defaults to the name.
  std::chrono::milliseconds Timeout{2000};
  bool Idempotent = false; ///< GET and HEAD are always idempotent.
  idempotency_key_policy Key = idempotency_key_policy::Optional;
  std::vector<std::string> Homes; ///< Home regions; empty for any.
  std::int64_t MaxBodyBytes = 1 << 20;
  std::string Host;                    ///< Requested host; empty for any.
  std::vector<weighted_service> Split; ///< Weighted target services.
  std::chrono::milliseconds Aim{0};    ///< Target response time; 0 for none.
  int Priority = 0;                    ///< 0 is the highest priority.
  int MaxAttempts = 2;   ///< Maximum attempts, each on another server.
  bool IsPublic = false; ///< Requests need no key of an account.
};

/// Size and time limits for requests of callers.
struct caller_limits {
  std::int64_t HeaderBytes = 16 * 1024;
  std::int64_t BodyBytes = 64 << 20;
  std::chrono::milliseconds HeaderTimeout{3000};
  std::chrono::milliseconds IdleTimeout{15'000};
};

/// A client account; servers are shared fairly by weight.
struct client_account {
  std::string Name;
  /// Why its requests are refused; empty if they are served.
  std::string Fault;
  bool KeysAreKnown = true; ///< False if Keys may lack some.
  int Weight = 1;
  std::vector<std::string> Homes; ///< Home regions; empty for any.
  std::vector<std::string> Keys;  ///< Secrets; written to no log or message.
  std::optional<int> Priority;    ///< Takes precedence over the route's.
  double RatePerSecond = 0;       ///< Quota of the whole fleet; 0 for none.
  double Burst = 0;               ///< Requests beyond the rate.
};

/// Budgets for probes, control traffic and retries.
struct budgets {
  double ProbePercent = 1.0; ///< Percentage of the slot time of each server.
  std::int64_t ControlBytesPerSecond = 2048; ///< Sent plus received, per node.
  double RetryPercent = 10.0;                ///< Retries per hundred requests.
};

/// A server group with its backend servers.
struct server_group_spec {
  group_id Id;
  std::vector<backend_server> Servers;
};

class account_directory;

/// Already decoded objects for configuration::fromParts().
struct configuration_parts {
  std::vector<availability_zone> Zones;
  std::vector<service> Services;
  std::vector<backend_server> Servers;
  std::vector<route> Routes;
  /// Absent if requests need no account. An empty list differs: no key is
  /// valid, and only requests of public routes are served.
  std::optional<std::vector<client_account>> Accounts;
  /// Why the table of accounts cannot be read, if so; it has no entries then,
  /// and requests that need an account are refused.
  std::string AccountsFault;
  /// The directory of the accounts if it exists already; Accounts is then not
  /// read. Saves to build it again for the next servers.
  std::shared_ptr<const account_directory> Directory;
  caller_limits Callers;
  std::string CallersFault; ///< Why some of Callers have their defaults.
  /// Maximum number of servers in a group.
  std::size_t GroupServers = MaxGroupServers;
};

/// A validated, immutable version of the operators' configuration.
///
///   auto Loaded = configuration::fromFolder("samples/maraval");
///   if (const error *Error = errorOf(Loaded))
///     fmt::print(stderr, "{}\n", Error->Message);
class configuration {
public:
  /// Makes an empty configuration.
  configuration();

  /// Reads all *.toml files of \p Folder and merges them in the order of their
  /// names; later files override earlier ones. Errors contain file, line and
  /// key.
  static result<configuration> fromFolder(const std::filesystem::path &Folder);

  /// Parses one document, such as the output of toDocument(). Errors refer to
  /// it as \p Source.
  static result<configuration> fromDocument(std::string_view Text,
                                            std::string_view Source);

  /// Builds a configuration from decoded objects. The errors are those of
  /// account_directory::create(); what is wrong with a single part is not an
  /// error, see findFaults().
  static result<configuration> fromParts(configuration_parts Parts);

  /// Returns the merged TOML document, including the zone states.
  std::string toDocument() const { return Document; }

  /// Returns "file:line" of an entry such as "routes.orders", or an empty
  /// string if it is not known. Servers have no place, because a large fleet
  /// would hold thousands of them.
  std::string placeOf(const std::string &Entry) const {
    const auto Found = Places.find(Entry);
    return Found == Places.end() ? std::string() : Found->second;
  }

  /// Returns a copy with \p Zone drained or, if \p Drained is false, active.
  result<configuration> withZoneDrained(std::string_view Zone,
                                        bool Drained) const;

  /// Returns a copy in which all zones that are drained in \p Earlier are
  /// drained.
  result<configuration> withDrainedZonesOf(const configuration &Earlier) const;

  const std::map<std::string, availability_zone> &zones() const {
    return Zones;
  }
  const std::vector<region_link> &links() const { return Links; }
  const std::map<std::string, service> &services() const { return Services; }
  const std::vector<backend_server> &servers() const { return Servers; }
  const std::vector<route> &routes() const { return Routes; }
  const std::map<std::string, client_account> &accounts() const;

  /// Returns the accounts by key.
  const account_directory &directory() const { return *Directory; }
  const budgets &costBudgets() const { return Budgets; }
  const std::vector<std::string> &regions() const { return Regions; }

  /// Returns the server groups sorted by id.
  const std::vector<server_group_spec> &groups() const { return Groups; }

  /// Returns the server group \p Id, or null.
  const server_group_spec *findGroup(const group_id &Id) const;

  /// Returns the matching route with the longest path prefix, or null.
  const route *findRoute(std::string_view Method, std::string_view Path) const;

  /// Returns the route of \p Host with the longest prefix that matches \p Path,
  /// or null. A route whose host and prefix are not known may be that of any
  /// request for which there is no other one.
  const route *findRouteForHost(std::string_view Host,
                                std::string_view Path) const;

  const caller_limits &callers() const { return Callers; }

  /// See configuration_parts::CallersFault.
  const std::string &callersFault() const { return CallersFault; }

  /// Returns why requests of \p Service are refused; empty if they are served.
  std::string_view faultOfService(const std::string &Service) const;

  /// Returns true if a zone of this deployment is in \p Region.
  bool isRegionKnown(std::string_view Region) const;

  /// Returns the region of \p Zone, or an empty view if the zone is unknown.
  std::string_view regionOf(std::string_view Zone) const;

  /// Returns true if \p Zone is configured and not drained.
  bool isZoneActive(std::string_view Zone) const;

private:
  friend class configuration_reader;

  void buildGroups();

  std::string Document;
  std::map<std::string, std::string> Places;
  std::size_t GroupServers = MaxGroupServers;
  caller_limits Callers;
  std::string CallersFault;
  std::vector<std::string> Regions;
  std::map<std::string, availability_zone> Zones;
  std::vector<region_link> Links;
  std::map<std::string, service> Services;
  std::vector<backend_server> Servers;
  std::vector<route> Routes;
  std::shared_ptr<const account_directory> Directory; ///< Never null.
  budgets Budgets;
  std::vector<server_group_spec> Groups;
};

/// Returns the regions of \p Known that may serve requests of \p Account on
/// \p Route: those in the home regions of both. An empty list of home regions
/// allows every region.
std::vector<std::string> homeRegions(const route &Route,
                                     const client_account &Account,
                                     std::span<const std::string> Known);

/// Returns the region of \p Homes that stores idempotency keys: the first one
/// by name. The choice depends on the configuration only, so a retry through
/// another region finds the record of the first attempt. \p Homes must not be
/// empty.
const std::string &keyHomeRegion(std::span<const std::string> Homes);

/// Returns the added and removed lines between two documents, each prefixed
/// with "+ " or "- ", in document order.
std::vector<std::string> diffDocuments(std::string_view Before,
                                       std::string_view After);

} // namespace agatedale
