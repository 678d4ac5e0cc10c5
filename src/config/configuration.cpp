/// \file
/// Server groups, route lookup, zones and document diffs.
#include "agatedale/configuration.h"
#include "agatedale/account_directory.h"
#include "agatedale/http_message.h"
#include "agatedale/server_partition.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace agatedale {

std::string toText(const group_id &Group) {
  return fmt::format("{}/{}/{}", Group.Service, Group.Zone, Group.Part);
}

result<group_id> parseGroupId(std::string_view Text) {
  const std::size_t First = Text.find('/');
  const std::size_t Last = Text.rfind('/');
  group_id Group;
  const bool HasThreeFields = First != std::string_view::npos && First != Last;
  if (HasThreeFields) {
    const std::string_view Part = Text.substr(Last + 1);
    const auto [End, Status] =
        std::from_chars(Part.data(), Part.data() + Part.size(), Group.Part);
    if (Status == std::errc() && End == Part.data() + Part.size()) {
      Group.Service = Text.substr(0, First);
      Group.Zone = Text.substr(First + 1, Last - First - 1);
      return Group;
    }
  }
  return error{
      error_kind::InvalidInput,
      fmt::format("invalid server group '{}': expected service/zone/part",
                  Text)};
}

configuration::configuration() : Directory(account_directory::none()) {}

const std::map<std::string, client_account> &configuration::accounts() const {
  return Directory->accounts();
}

void configuration::buildGroups() {
  std::map<std::pair<std::string, std::string>, std::vector<backend_server>>
      ServersByServiceAndZone;
  for (const backend_server &Server : Servers)
    ServersByServiceAndZone[{Server.Service, Server.Zone}].push_back(Server);
  for (const auto &[ServiceAndZone, Members] : ServersByServiceAndZone) {
    auto Parts = partitionServers(Members, GroupServers);
    for (std::size_t Part = 0; Part < Parts.size(); ++Part) {
      // With few servers a part may get none.
      if (Parts[Part].empty())
        continue;
      Groups.push_back({{ServiceAndZone.first, ServiceAndZone.second,
                         static_cast<int>(Part)},
                        std::move(Parts[Part])});
    }
  }
}

result<configuration> configuration::fromParts(configuration_parts Parts) {
  configuration Config;
  for (availability_zone &Zone : Parts.Zones) {
    if (std::find(Config.Regions.begin(), Config.Regions.end(), Zone.Region) ==
        Config.Regions.end())
      Config.Regions.push_back(Zone.Region);
    Config.Zones.emplace(Zone.Name, Zone);
  }
  for (service &Service : Parts.Services)
    Config.Services.emplace(Service.Name, Service);
  if (Parts.Directory) {
    Config.Directory = std::move(Parts.Directory);
  } else if (!Parts.AccountsFault.empty()) {
    Config.Directory = account_directory::unreadable(Parts.AccountsFault);
  } else if (Parts.Accounts) {
    auto Built = account_directory::create(std::move(*Parts.Accounts));
    if (const error *Error = errorOf(Built))
      return *Error;
    Config.Directory = moveValue(std::move(Built));
  }
  Config.Servers = std::move(Parts.Servers);
  Config.Routes = std::move(Parts.Routes);
  Config.Callers = Parts.Callers;
  Config.CallersFault = std::move(Parts.CallersFault);
  Config.GroupServers = Parts.GroupServers;
  Config.buildGroups();
  return Config;
}

const server_group_spec *configuration::findGroup(const group_id &Id) const {
  const auto Found =
      std::lower_bound(Groups.begin(), Groups.end(), Id,
                       [](const server_group_spec &Spec,
                          const group_id &Wanted) { return Spec.Id < Wanted; });
  return Found != Groups.end() && Found->Id == Id ? &*Found : nullptr;
}

namespace {

bool acceptsMethod(const route &Route, std::string_view Method) {
  return Route.Methods.empty() ||
         std::find(Route.Methods.begin(), Route.Methods.end(), Method) !=
             Route.Methods.end();
}

/// Returns true if \p Path is \p Prefix or a path below it. A prefix matches
/// whole path segments only.
bool isAtOrBelow(std::string_view Path, std::string_view Prefix) {
  if (!Path.starts_with(Prefix))
    return false;
  return Path.size() == Prefix.size() || Prefix.ends_with('/') ||
         Path[Prefix.size()] == '/' || Path[Prefix.size()] == '?';
}

} // namespace

const route *configuration::findRoute(std::string_view Method,
                                      std::string_view Path) const {
  const route *Longest = nullptr;
  for (const route &Route : Routes) {
    if (!acceptsMethod(Route, Method) || !isAtOrBelow(Path, Route.PathPrefix))
      continue;
    if (!Longest || Route.PathPrefix.size() > Longest->PathPrefix.size())
      Longest = &Route;
  }
  return Longest;
}

const route *configuration::findRouteForHost(std::string_view Host,
                                             std::string_view Path) const {
  const route *Longest = nullptr;
  for (const route &Route : Routes) {
    const bool IsOfAnyHost = !Route.Fault.empty() && Route.Host.empty();
    if (!IsOfAnyHost && !equalNames(Route.Host, Host))
      continue;
    if (!Path.starts_with(Route.PathPrefix))
      continue;
    if (!Longest || Route.PathPrefix.size() > Longest->PathPrefix.size())
      Longest = &Route;
  }
  return Longest;
}

std::string_view
configuration::faultOfService(const std::string &Service) const {
  const auto Found = Services.find(Service);
  return Found == Services.end() ? "the service does not exist"
                                 : std::string_view(Found->second.Fault);
}

bool configuration::isRegionKnown(std::string_view Region) const {
  return std::find(Regions.begin(), Regions.end(), Region) != Regions.end();
}

std::string_view configuration::regionOf(std::string_view Zone) const {
  const auto Found = Zones.find(std::string(Zone));
  return Found == Zones.end() ? std::string_view()
                              : std::string_view(Found->second.Region);
}

bool configuration::isZoneActive(std::string_view Zone) const {
  const auto Found = Zones.find(std::string(Zone));
  return Found != Zones.end() && !Found->second.Drained;
}

std::vector<std::string> homeRegions(const route &Route,
                                     const client_account &Account,
                                     std::span<const std::string> Known) {
  const auto Allows = [](const std::vector<std::string> &Homes,
                         const std::string &Region) {
    return Homes.empty() ||
           std::find(Homes.begin(), Homes.end(), Region) != Homes.end();
  };
  std::vector<std::string> Homes;
  for (const std::string &Region : Known) {
    if (Allows(Route.Homes, Region) && Allows(Account.Homes, Region))
      Homes.push_back(Region);
  }
  return Homes;
}

const std::string &keyHomeRegion(std::span<const std::string> Homes) {
  return *std::min_element(Homes.begin(), Homes.end());
}

namespace {

std::vector<std::string> splitLines(std::string_view Text) {
  std::vector<std::string> Lines;
  std::istringstream Input{std::string(Text)};
  for (std::string Line; std::getline(Input, Line);)
    Lines.push_back(Line);
  return Lines;
}

/// Returns the lengths of the longest common subsequences of all pairs of
/// suffixes.
std::vector<std::vector<int>>
commonSubsequenceLengths(const std::vector<std::string> &Before,
                         const std::vector<std::string> &After) {
  std::vector<std::vector<int>> Lengths(Before.size() + 1,
                                        std::vector<int>(After.size() + 1, 0));
  for (std::size_t I = Before.size(); I-- > 0;) {
    for (std::size_t J = After.size(); J-- > 0;) {
      Lengths[I][J] = Before[I] == After[J]
                          ? Lengths[I + 1][J + 1] + 1
                          : std::max(Lengths[I + 1][J], Lengths[I][J + 1]);
    }
  }
  return Lengths;
}

} // namespace

std::vector<std::string> diffDocuments(std::string_view BeforeText,
                                       std::string_view AfterText) {
  const std::vector<std::string> Before = splitLines(BeforeText);
  const std::vector<std::string> After = splitLines(AfterText);
  const auto Lengths = commonSubsequenceLengths(Before, After);
  std::vector<std::string> Changes;
  std::size_t I = 0;
  std::size_t J = 0;
  while (I < Before.size() || J < After.size()) {
    if (I < Before.size() && J < After.size() && Before[I] == After[J]) {
      ++I;
      ++J;
      continue;
    }
    const bool Removed =
        J == After.size() ||
        (I < Before.size() && Lengths[I + 1][J] >= Lengths[I][J + 1]);
    Changes.push_back(Removed ? "- " + Before[I++] : "+ " + After[J++]);
  }
  return Changes;
}

} // namespace agatedale
