/// \file
/// The operators' configuration: the world that the fleet serves.
#pragma once

#include "agatedale/result.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace agatedale {

/// Names the backend servers of one service in one availability zone. A large
/// service has several parts, each of at most MaxGroupServers servers.
struct group_id {
  std::string Service;
  std::string Zone;
  int Part = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const group_id &) const = default;
};

/// Returns "service/zone/part", the form used in messages and logs.
std::string toText(const group_id &Group);

/// Parses what toText() writes.
result<group_id> parseGroupId(std::string_view Text);

/// The most backend servers that one server group holds.
inline constexpr std::size_t MaxGroupServers = 32;

/// An availability zone and the region that it stands in.
struct availability_zone {
  std::string Name;
  std::string Region;
  bool Drained = false; ///< Taken out: gets no new work.
};

/// A link between two regions, paid by volume.
struct region_link {
  std::string Name;
  std::string From;
  std::string To;
  double MegabitPerSecond = 0; ///< Each way.
};

/// A service: what its backend servers bear and how they are measured.
struct service {
  std::string Name;
  int Slots = 2;            ///< Requests that one server bears at once.
  int MaxConnections = 220; ///< Connections that one server bears.
  int WarmUpAnswers = 5;    ///< Good answers before a cold server grows.
  std::string LoadPath;     ///< Load endpoint; empty when there is none.
  std::chrono::milliseconds LoadReportLag{500}; ///< Oldest a report may be.
  int QueuePerSlot = 32; ///< Queue bound, per slot of the group.
  std::chrono::milliseconds ColdDuration{
      0}; ///< How long a start leaves it slow.
  double ColdRequestsPerSecond =
      0; ///< Requests that a cold server bears; 0: no bound.
};

/// A backend server of a service.
struct backend_server {
  std::string Name;
  std::string Service;
  std::string Zone;
  std::string Address; ///< "ip:port".
  bool Leaving = false;
  int Slots = 0; ///< Requests that it bears at once; 0: as its service says.
  std::chrono::milliseconds ColdLeft{0}; ///< How much longer it stays cold.
  std::uint64_t Start = 0; ///< Identifies one start of the server.

  bool operator==(const backend_server &) const = default;
};

/// A service that takes a share of a route's requests.
struct weighted_service {
  std::string Service;
  double Weight = 1;
};

/// How a route treats idempotency keys.
enum class idempotency_key_policy { None, Optional, Required };

/// A route: which requests go to which service, and what they are promised.
struct route {
  std::string Name;
  std::string PathPrefix;
  std::vector<std::string> Methods; ///< Empty for all.
  std::string Service;
  std::string Class; ///< Label of its histogram; the name when not given.
  std::chrono::milliseconds Timeout{2000};
  bool Idempotent = false; ///< Declared; GET and HEAD always are.
  idempotency_key_policy Key = idempotency_key_policy::Optional;
  std::vector<std::string> Homes; ///< Home regions; empty for any.
  std::int64_t MaxBodyBytes = 1 << 20;
  std::string Host; ///< Host that callers name; empty for any.
  std::vector<weighted_service> Split; ///< Services that share the requests.
  std::chrono::milliseconds Aim{0}; ///< An answer is on time until then; or 0.
  int Priority = 0;                 ///< 0 is served first.
  int MaxAttempts = 2; ///< Servers that one request may be sent to.
};

/// Bounds on what a caller may send and how long it may take.
struct caller_limits {
  std::int64_t HeaderBytes = 16 * 1024;
  std::int64_t BodyBytes = 64 << 20;
  std::chrono::milliseconds HeaderTimeout{3000};
  std::chrono::milliseconds IdleTimeout{15'000};
};

/// A client account: whose requests share the servers fairly.
struct client_account {
  std::string Name;
  int Weight = 1;
  std::vector<std::string> Homes; ///< Home regions; empty for any.
};

/// What measuring and paid traffic may cost.
struct budgets {
  double ProbePercent = 1.0;                 ///< Of each server's slot time.
  std::int64_t ControlBytesPerSecond = 2048; ///< Sent and received, per node.
  double RetryPercent = 10.0;                ///< Retries per hundred requests.
};

/// One server group with its backend servers.
struct server_group_spec {
  group_id Id;
  std::vector<backend_server> Servers;
};

/// The objects of a configuration that was decoded elsewhere.
struct configuration_parts {
  std::vector<availability_zone> Zones;
  std::vector<service> Services;
  std::vector<backend_server> Servers;
  std::vector<route> Routes;
  caller_limits Callers;
};

/// One numbered version of the operators' configuration, checked as a whole.
///
///   auto Loaded = configuration::fromFolder("samples/maraval");
///   if (const error *Error = errorOf(Loaded))
///     fmt::print(stderr, "{}\n", Error->Message);
class configuration {
public:
  /// Reads every *.toml file of \p Folder, merged in the order of their names.
  /// An error names file, line and key.
  static result<configuration> fromFolder(const std::filesystem::path &Folder);

  /// Reads one document, such as one that toDocument() wrote. \p Source names
  /// it in errors.
  static result<configuration> fromDocument(std::string_view Text,
                                            std::string_view Source);

  /// Builds a configuration out of decoded objects. A route that names a
  /// service which is not there is an error.
  static result<configuration> fromParts(configuration_parts Parts);

  /// Returns the merged document in TOML, with the states of the zones.
  std::string toDocument() const { return Document; }

  /// Returns a copy with \p Zone taken out or brought back.
  result<configuration> withZoneDrained(std::string_view Zone,
                                        bool Drained) const;

  /// Returns a copy in which the zones that \p Earlier has out stay out.
  result<configuration> withDrainedZonesOf(const configuration &Earlier) const;

  const std::map<std::string, availability_zone> &zones() const {
    return Zones;
  }
  const std::vector<region_link> &links() const { return Links; }
  const std::map<std::string, service> &services() const { return Services; }
  const std::vector<backend_server> &servers() const { return Servers; }
  const std::vector<route> &routes() const { return Routes; }
  const std::map<std::string, client_account> &accounts() const {
    return Accounts;
  }
  const budgets &costBudgets() const { return Budgets; }
  const std::vector<std::string> &regions() const { return Regions; }

  /// Returns the server groups in the order of their ids.
  const std::vector<server_group_spec> &groups() const { return Groups; }

  /// Returns the group named \p Id, or null.
  const server_group_spec *findGroup(const group_id &Id) const;

  /// Returns the route with the longest prefix that takes the request, or null.
  const route *findRoute(std::string_view Method, std::string_view Path) const;

  /// Returns the route of \p Host with the longest prefix of \p Path, or null.
  const route *findRouteForHost(std::string_view Host,
                                std::string_view Path) const;

  const caller_limits &callers() const { return Callers; }

  /// Returns the region of \p Zone, or an empty view.
  std::string_view regionOf(std::string_view Zone) const;

  /// Returns true if \p Zone is configured and not taken out.
  bool isZoneActive(std::string_view Zone) const;

private:
  friend class configuration_reader;

  void buildGroups();

  std::string Document;
  caller_limits Callers;
  std::vector<std::string> Regions;
  std::map<std::string, availability_zone> Zones;
  std::vector<region_link> Links;
  std::map<std::string, service> Services;
  std::vector<backend_server> Servers;
  std::vector<route> Routes;
  std::map<std::string, client_account> Accounts;
  budgets Budgets;
  std::vector<server_group_spec> Groups;
};

/// Returns the regions that may serve a request of \p Account on \p Route: the
/// regions common to both homes, or all of \p Known where neither names one.
std::vector<std::string> homeRegions(const route &Route,
                                     const client_account &Account,
                                     std::span<const std::string> Known);

/// Returns the region of \p Homes, which is not empty, that claims idempotency
/// keys: the first by name. It depends on the configuration only, so a key that
/// is sent again through another region meets its first run.
const std::string &keyHomeRegion(std::span<const std::string> Homes);

/// Returns the lines that differ between two documents, each behind "+ " or
/// "- ", in the order of their place.
std::vector<std::string> diffDocuments(std::string_view Before,
                                       std::string_view After);

} // namespace agatedale
