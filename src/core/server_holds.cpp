/// \file
/// Bounded record of the servers that want no request for some time.
#include "agatedale/server_holds.h"

#include <algorithm>

namespace agatedale {

void server_holds::makeRoom(time_point Now) {
  if (ByName.size() < MaxServers)
    return;
  std::erase_if(ByName,
                [Now](const auto &Entry) { return Entry.second.Until <= Now; });
  if (ByName.size() < MaxServers)
    return;
  ByName.erase(std::min_element(ByName.begin(), ByName.end(),
                                [](const auto &Left, const auto &Right) {
                                  return Left.second.Until < Right.second.Until;
                                }));
}

time_point server_holds::record(std::string_view Name, std::uint64_t Start,
                                duration Asked, time_point Now) {
  const duration Time = std::clamp(Asked, duration::zero(), MaxHold);
  auto Found = ByName.find(Name);
  if (Found == ByName.end()) {
    makeRoom(Now);
    Found = ByName.emplace(Name, hold{Start, {}}).first;
  }
  hold &Hold = Found->second;
  if (Start < Hold.Start)
    return Hold.Until;
  if (Start > Hold.Start)
    Hold = {Start, {}};
  Hold.Until = std::max(Hold.Until, Now + Time);
  return Hold.Until;
}

time_point server_holds::heldUntil(std::string_view Name,
                                   std::uint64_t Start) const {
  const auto Found = ByName.find(Name);
  const bool IsHeld = Found != ByName.end() && Start <= Found->second.Start;
  return IsHeld ? Found->second.Until : time_point{};
}

} // namespace agatedale
