/// \file
/// Order of the registrations of each server.
#include "agatedale/server_registrations.h"

#include <algorithm>

namespace agatedale {

server_registrations::older_row &server_registrations::findOrAddOlderRow(
    const listed_servers &Listed, const backend_server &Server,
    const newest_registration &Newest, const server_map &Last) {
  const store_version Version = Listed.Rows.at(Server.Name).Version;
  const auto Known = OlderRows.find(Server.Name);
  if (Known != OlderRows.end() && Known->second.Version == Version)
    return Known->second;
  older_row Row{Version, Listed.AsOf, false, std::nullopt};
  const auto Used = Last.find(Server.Name);
  if (Used != Last.end() && numberOf(Used->second) == Newest.Number)
    Row.Newest = Used->second;
  Found.push_back(
      {Server.Name, numberOf(Server), Newest.Number, Newest.IsLeaving, false});
  return OlderRows[Server.Name] = Row;
}

void server_registrations::updateServer(const listed_servers &Listed,
                                        backend_server &Server,
                                        const server_map &Last,
                                        time_point Now) {
  const registration_number Number = numberOf(Server);
  newest_registration &Newest = NewestByName[Server.Name];
  Unlisted.erase(Server.Name);
  Newest.IsListed = true;
  if (Number >= Newest.Number) {
    Newest = {Number, Server.Leaving, true, Now};
    OlderRows.erase(Server.Name);
    return;
  }
  older_row &Row = findOrAddOlderRow(Listed, Server, Newest, Last);
  // No row is removed while the servers cannot renew theirs.
  if (Listed.IsGracePeriod)
    Row.Since = Listed.AsOf;
  if (!Row.IsFollowed && Listed.AsOf - Row.Since >= MaxHold) {
    Row.IsFollowed = true;
    Found.push_back(
        {Server.Name, Number, Newest.Number, Newest.IsLeaving, true});
  }
  if (Row.IsFollowed)
    return;
  if (Row.Newest)
    Server = *Row.Newest;
  else
    Server.Leaving |= Newest.IsLeaving || Number.Start < Newest.Number.Start;
}

void server_registrations::recordRemovals(const listed_servers &Listed,
                                          const server_map &Servers,
                                          time_point Now) {
  // A restored copy lacks rows of servers that still run.
  const bool IsRestored = Era && Listed.Era > *Era;
  Era = Listed.Era;
  if (Listed.IsGracePeriod)
    return;
  for (auto &[Name, Newest] : NewestByName) {
    if (!Newest.IsListed || Servers.contains(Name))
      continue;
    Newest.IsListed = false;
    Newest.IsLeaving |= !IsRestored;
    Newest.ChangedAt = Now;
    Unlisted.insert(Name);
    OlderRows.erase(Name);
  }
}

void server_registrations::forgetUnlisted(time_point Now) {
  std::erase_if(Unlisted, [&](const std::string &Name) {
    const bool IsOld = Now - NewestByName.at(Name).ChangedAt >= Memory;
    if (IsOld)
      NewestByName.erase(Name);
    return IsOld;
  });
  while (Unlisted.size() > MaxUnlisted) {
    const auto Oldest = std::min_element(
        Unlisted.begin(), Unlisted.end(),
        [this](const std::string &Left, const std::string &Right) {
          return NewestByName.at(Left).ChangedAt <
                 NewestByName.at(Right).ChangedAt;
        });
    NewestByName.erase(*Oldest);
    Unlisted.erase(Oldest);
  }
}

server_registrations::server_map
server_registrations::update(const listed_servers &Listed, server_map Servers,
                             const server_map &Last, time_point Now) {
  for (auto &[Name, Server] : Servers)
    updateServer(Listed, Server, Last, Now);
  recordRemovals(Listed, Servers, Now);
  forgetUnlisted(Now);
  return Servers;
}

bool server_registrations::learn(const known_registration &Registration,
                                 time_point Now) {
  const auto [Known, IsNew] = NewestByName.try_emplace(Registration.Name);
  newest_registration &Newest = Known->second;
  if (!IsNew && Registration.Number <= Newest.Number)
    return false;
  Newest = {Registration.Number, Registration.IsLeaving, Newest.IsListed, Now};
  if (!Newest.IsListed)
    Unlisted.insert(Registration.Name);
  // A hold of the row begins anew.
  OlderRows.erase(Registration.Name);
  forgetUnlisted(Now);
  return true;
}

std::vector<known_registration>
server_registrations::toShare(time_point Now) const {
  std::vector<std::pair<time_point, std::string>> Names;
  for (const std::string &Name : Unlisted) {
    const time_point ChangedAt = NewestByName.at(Name).ChangedAt;
    if (Now - ChangedAt < ShareTime)
      Names.emplace_back(ChangedAt, Name);
  }
  for (const auto &[Name, Row] : OlderRows) {
    if (!Row.IsFollowed)
      Names.emplace_back(NewestByName.at(Name).ChangedAt, Name);
  }
  // The latest come first.
  std::sort(Names.begin(), Names.end(), std::greater<>());
  if (Names.size() > MaxShared)
    Names.resize(MaxShared);
  std::vector<known_registration> Shared;
  Shared.reserve(Names.size());
  for (const auto &[ChangedAt, Name] : Names) {
    const newest_registration &Newest = NewestByName.at(Name);
    Shared.push_back({Name, Newest.Number, Newest.IsLeaving});
  }
  return Shared;
}

bool server_registrations::isOver(time_point AsOf) const {
  return std::any_of(OlderRows.begin(), OlderRows.end(),
                     [&](const auto &Entry) {
                       const older_row &Row = Entry.second;
                       return !Row.IsFollowed && AsOf - Row.Since >= MaxHold;
                     });
}

} // namespace agatedale
