/// \file
/// Bounded record of the servers that leave.
#include "agatedale/leaving_servers.h"

#include <iterator>

namespace agatedale {

bool leaving_servers::record(const leaving_server &Server, time_point Now) {
  if (isLeaving(Server.Name, Server.Start))
    return false;
  entry &Entry = ByName[Server.Name];
  ByOrder.erase(Entry.Order);
  Entry = {Server, Now, ++NextOrder};
  ByOrder.emplace(Entry.Order, Server.Name);
  if (ByName.size() > MaxServers) {
    const auto Oldest = std::prev(ByOrder.end());
    ByName.erase(Oldest->second);
    ByOrder.erase(Oldest);
  }
  return true;
}

bool leaving_servers::isLeaving(std::string_view Name,
                                std::uint64_t Start) const {
  const auto Found = ByName.find(Name);
  return Found != ByName.end() && Start <= Found->second.Server.Start;
}

std::vector<leaving_server> leaving_servers::toShare(std::string_view Service,
                                                     std::string_view Zone,
                                                     time_point Now) const {
  std::vector<leaving_server> Shared;
  for (const auto &[Order, Name] : ByOrder) {
    const entry &Entry = ByName.find(Name)->second;
    if (Now - Entry.LearnedAt > ShareTime || Shared.size() == MaxShared)
      return Shared;
    if (Entry.Server.Service == Service && Entry.Server.Zone == Zone)
      Shared.push_back(Entry.Server);
  }
  return Shared;
}

} // namespace agatedale
