/// \file
/// Differences between a restored copy and what was known before.
#include "agatedale/restored_store.h"

#include <algorithm>

namespace agatedale {

std::set<std::string>
restored_zones::update(std::uint64_t Era, const std::set<std::string> &Listed,
                       time_point Now) {
  if (Watch.advance(Era)) {
    Held = Drained;
    HeldUntil = Now + HoldTime;
    for (const std::string &Zone : Held) {
      if (!Listed.contains(Zone))
        Corrections.push_back(
            {"zone", Zone, "drained before the restore", HoldTime});
    }
  }
  std::erase_if(Held, [&](const std::string &Zone) {
    return Now >= HeldUntil || Listed.contains(Zone);
  });
  Drained = Listed;
  Drained.insert(Held.begin(), Held.end());
  return Drained;
}

void restored_servers::onRestored(const std::map<std::string, stored_row> &Rows,
                                  const server_map &Listed, time_point Now) {
  Missing.clear();
  MissingUntil = Now + MissingHold;
  for (const auto &[Name, Server] : Last) {
    if (Server.Leaving || Rows.contains(Name))
      continue;
    Missing.emplace(Name, Server);
    Corrections.push_back(
        {"server", Name, "registered before the restore", MissingHold});
  }
  Suspects.clear();
  Restarted.clear();
  SuspectsUntil = Now + DepartedHold;
  for (const auto &[Name, Server] : Listed) {
    const auto Before = Last.find(Name);
    if (Before != Last.end() && Before->second.Start > Server.Start) {
      Restarted[Name] = {Rows.at(Name).Version, Before->second};
      Corrections.push_back(
          {"server", Name, "restarted before the restore", DepartedHold});
      continue;
    }
    const auto Known = Departed.find(Name);
    if (Known == Departed.end() || Known->second.Start != Server.Start ||
        Server.Leaving)
      continue;
    Suspects[Name] = {Rows.at(Name).Version, Known->second.IsRemoved};
    Corrections.push_back({"server", Name,
                           Known->second.IsRemoved
                               ? "removed before the restore"
                               : "leaving before the restore",
                           DepartedHold});
  }
}

void restored_servers::endHolds(const std::map<std::string, stored_row> &Rows,
                                const server_map &Listed, time_point Now) {
  std::erase_if(Missing, [&](const auto &Entry) {
    return Now >= MissingUntil || Rows.contains(Entry.first);
  });
  const auto IsOver = [&](const auto &Entry) {
    const auto Row = Rows.find(Entry.first);
    return Now >= SuspectsUntil || Row == Rows.end() ||
           Row->second.Version != Entry.second.Version ||
           !Listed.contains(Entry.first);
  };
  std::erase_if(Suspects, IsOver);
  std::erase_if(Restarted, IsOver);
}

void restored_servers::recordDepartures(const server_map &Listed,
                                        bool IsGracePeriod, time_point Now) {
  for (const auto &[Name, Server] : Last) {
    if (!Listed.contains(Name) && !Missing.contains(Name))
      Expired[Name] = Server.Start;
  }
  std::erase_if(Expired, [&Listed](const auto &Entry) {
    return Listed.contains(Entry.first);
  });
  if (!IsGracePeriod) {
    for (const auto &[Name, Start] : std::exchange(Expired, {}))
      Departed[Name] = {Start, true, Now};
  }
  for (const auto &[Name, Server] : Listed) {
    if (Server.Leaving)
      Departed[Name] = {Server.Start, false, Now};
    else if (!Suspects.contains(Name))
      Departed.erase(Name);
  }
  forgetOldest(Now);
}

void restored_servers::forgetOldest(time_point Now) {
  std::erase_if(Departed, [Now](const auto &Entry) {
    return Now - Entry.second.At >= DepartedMemory;
  });
  while (Departed.size() > MaxDeparted)
    Departed.erase(std::min_element(Departed.begin(), Departed.end(),
                                    [](const auto &Left, const auto &Right) {
                                      return Left.second.At < Right.second.At;
                                    }));
}

restored_servers::server_map restored_servers::update(
    std::uint64_t Era, const std::map<std::string, stored_row> &Rows,
    server_map Listed, bool IsGracePeriod, time_point Now) {
  if (Watch.advance(Era))
    onRestored(Rows, Listed, Now);
  endHolds(Rows, Listed, Now);
  for (const auto &[Name, Known] : Restarted)
    Listed[Name] = Known.Server;
  recordDepartures(Listed, IsGracePeriod, Now);
  for (const auto &[Name, Suspect] : Suspects) {
    if (Suspect.IsRemoved)
      Listed.erase(Name);
    else
      Listed.at(Name).Leaving = true;
  }
  Listed.insert(Missing.begin(), Missing.end());
  Last = Listed;
  return Listed;
}

std::vector<entry_vm> restored_vms::update(std::uint64_t Era,
                                           std::span<const entry_vm> Listed,
                                           time_point Now) {
  std::map<std::string, entry_vm> Vms;
  for (const entry_vm &Vm : Listed)
    Vms.insert_or_assign(Vm.Id.Name, Vm);
  const bool IsRestored = Watch.advance(Era);
  if (IsRestored) {
    Held = std::move(Last);
    Held.erase(Self);
    HeldUntil = Now + HoldTime;
  }
  // The copy may list a former incarnation, which has the lower number.
  std::erase_if(Held, [&](const auto &Entry) {
    const auto Found = Vms.find(Entry.first);
    return Now >= HeldUntil ||
           (Found != Vms.end() &&
            Found->second.Id.Incarnation >= Entry.second.Id.Incarnation);
  });
  for (const auto &[Name, Vm] : Held) {
    if (IsRestored)
      Corrections.push_back(
          {"vm", Name, "registered before the restore", HoldTime});
    Vms.insert_or_assign(Name, Vm);
  }
  Last = Vms;
  std::vector<entry_vm> All;
  All.reserve(Vms.size());
  for (const auto &[Name, Vm] : Vms)
    All.push_back(Vm);
  return All;
}

} // namespace agatedale
