/// \file
/// Conversion of learned concurrency limits to and from heartbeats.
#include "concurrency_exchange.h"

#include <algorithm>

namespace agatedale {

namespace {

/// Maximum length of a name; longer ones are not stored.
constexpr std::size_t MaxNameBytes = 256;

} // namespace

void addEvidence(std::span<const shared_evidence> Evidence, time_point Now,
                 agatedale::gateway::Heartbeat &Out) {
  for (const shared_evidence &Shared : Evidence) {
    agatedale::gateway::OccupancyEvidence &Wire = *Out.add_occupancy_evidence();
    Wire.set_service(Shared.Key.Service);
    Wire.set_slots(static_cast<std::uint32_t>(Shared.Key.Slots));
    Wire.set_version(Shared.Key.Version);
    Wire.set_origin(Shared.Origin);
    Wire.set_sequence(Shared.Sequence);
    Wire.set_age_ms(static_cast<std::uint32_t>(
        std::max<std::int64_t>(toMillis(Now - Shared.AsOf), 0)));
    Wire.mutable_numbers()->Add(Shared.Numbers.begin(), Shared.Numbers.end());
  }
}

void readEvidence(const agatedale::gateway::Heartbeat &In, time_point Now,
                  concurrency_limits &Limits) {
  for (const agatedale::gateway::OccupancyEvidence &Wire :
       In.occupancy_evidence()) {
    if (Wire.service().size() > MaxNameBytes ||
        Wire.version().size() > MaxNameBytes ||
        Wire.slots() > concurrency_limit::MaxLearnedSlots)
      continue;
    Limits.learn(
        {{Wire.service(), static_cast<int>(Wire.slots()), Wire.version()},
         Wire.origin(),
         Wire.sequence(),
         Now - std::chrono::milliseconds(Wire.age_ms()),
         {Wire.numbers().begin(), Wire.numbers().end()}},
        Now);
  }
}

} // namespace agatedale
