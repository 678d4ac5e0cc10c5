/// \file
/// Begin and end of the time in which a later version cannot be applied.
#include "agatedale/superseded_configuration.h"

#include <algorithm>

namespace agatedale {

bool superseded_configuration::record(const refused_version &Version,
                                      std::optional<std::uint64_t> InForce,
                                      const times &Before, time_point Now) {
  const bool IsOlder = InForce && Version.Number && *Version.Number <= *InForce;
  if (IsOlder)
    return false;
  if (!Refused) {
    LastInForce = Before;
    Since = Now;
  }
  Refused = Version;
  return true;
}

void superseded_configuration::settle(store_version Row, std::uint64_t Number,
                                      std::uint64_t InForce) {
  if (!Refused)
    return;
  const bool IsRestored = Row.Era != Refused->Row.Era;
  const bool IsNewest =
      IsRestored ? Number > InForce && Number >= Refused->Number.value_or(0)
                 : Number >= InForce;
  if (IsNewest)
    Refused.reset();
}

superseded_configuration::times
superseded_configuration::timesInForce(const times &Table) const {
  if (!Refused)
    return Table;
  return {std::min(Table.AsOf, LastInForce.AsOf),
          std::min(Table.ProvenAsOf, LastInForce.ProvenAsOf)};
}

} // namespace agatedale
