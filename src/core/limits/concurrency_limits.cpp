/// \file
/// Exchange of learned concurrency limits between VMs.
#include "agatedale/concurrency_limits.h"

#include <algorithm>
#include <cmath>

namespace agatedale {

namespace {

/// Origins whose evidence is kept for a service. Eight groups with 100 requests
/// a second have enough evidence after two seconds.
constexpr std::size_t MaxOrigins = 8;

/// Maximum number of services, slots and versions.
constexpr std::size_t MaxEntries = 64;

/// Maximum number of peers whose state is kept.
constexpr std::size_t MaxPeers = 4096;

/// Minimum times between messages with evidence to one peer.
constexpr duration RegionInterval = std::chrono::milliseconds(500);
constexpr duration CrossRegionInterval = std::chrono::seconds(2);

/// Relative growth of the evidence from which on it is published again.
constexpr double PublishGrowth = 0.25;
constexpr double MinPublishedSamples = 20;

/// Time after which evidence is published although it has not grown, so that
/// other VMs do not drop it.
constexpr duration RenewInterval = std::chrono::seconds(30);

/// Time after which evidence that its origin has not renewed is dropped.
constexpr duration ForeignLifetime = std::chrono::minutes(5);

} // namespace

concurrency_limits::entry &
concurrency_limits::entryOf(const concurrency_key &Key) {
  auto [Found, IsNew] = Entries.try_emplace(Key);
  if (IsNew) {
    Found->second.Limit = std::make_shared<concurrency_limit>(
        concurrency_limit::create(Key.Slots));
    Found->second.OwnLimit = Key.Slots;
  }
  return Found->second;
}

std::shared_ptr<concurrency_limit>
concurrency_limits::of(const concurrency_key &Key) {
  return entryOf(Key).Limit;
}

void concurrency_limits::mergeForeign(entry &Entry) {
  occupancy_evidence Sum(Entry.Limit->slots());
  for (const auto &[Origin, Record] : Entry.Foreign) {
    const auto Evidence = occupancy_evidence::unpack(Entry.Limit->slots(),
                                                     Record.Evidence.Numbers);
    if (Evidence)
      Sum.add(*Evidence);
  }
  Entry.Limit->setForeign(Sum);
}

bool concurrency_limits::learn(const shared_evidence &Evidence,
                               time_point Now) {
  if (Evidence.Origin == Origin || Now - Evidence.AsOf >= ForeignLifetime ||
      !occupancy_evidence::unpack(Evidence.Key.Slots, Evidence.Numbers))
    return false;
  if (!Entries.contains(Evidence.Key) && Entries.size() >= MaxEntries)
    return false;
  entry &Entry = entryOf(Evidence.Key);
  const auto Known = Entry.Foreign.find(Evidence.Origin);
  if (Known != Entry.Foreign.end() &&
      Known->second.Evidence.Sequence >= Evidence.Sequence)
    return false;
  if (Known == Entry.Foreign.end() && Entry.Foreign.size() >= MaxOrigins) {
    const auto Oldest = std::min_element(
        Entry.Foreign.begin(), Entry.Foreign.end(),
        [](const auto &Left, const auto &Right) {
          return Left.second.Evidence.AsOf < Right.second.Evidence.AsOf;
        });
    // Only evidence that is not renewed any more makes room, because VMs that
    // replaced each other's records would pass them on without end.
    if (Now - Oldest->second.Evidence.AsOf < 2 * RenewInterval)
      return false;
    Entry.Foreign.erase(Oldest);
  }
  Entry.Foreign[Evidence.Origin] = {Evidence, Now};
  Entry.UsedAt = Now;
  mergeForeign(Entry);
  return true;
}

void concurrency_limits::publishOwn(const concurrency_key &Key, entry &Entry,
                                    time_point Now) {
  const occupancy_evidence &Evidence = Entry.Limit->evidence();
  const double Samples = Evidence.samples();
  const duration Age = Now - Entry.Own.ChangedAt;
  const bool HasGrown =
      Samples >= MinPublishedSamples &&
      std::abs(Samples - Entry.OwnSamples) > PublishGrowth * Entry.OwnSamples;
  // Unless attempts have ended since then, there is nothing to renew.
  const bool IsDue = Samples >= MinPublishedSamples &&
                     Samples != Entry.OwnSamples && Age >= RenewInterval;
  const bool IsLimitNew =
      Entry.Limit->limit() != Entry.OwnLimit && Samples >= MinPublishedSamples;
  if (Age < RegionInterval || (!HasGrown && !IsDue && !IsLimitNew))
    return;
  Entry.OwnSamples = Samples;
  Entry.OwnLimit = Entry.Limit->limit();
  Entry.Own.ChangedAt = Now;
  Entry.Own.Evidence = {Key, Origin, Entry.Own.Evidence.Sequence + 1, Now,
                        Evidence.pack()};
}

std::vector<shared_evidence>
concurrency_limits::toShare(const std::string &Peer, std::uint64_t Incarnation,
                            bool IsOtherRegion, time_point Now) {
  std::vector<shared_evidence> Shared;
  if (!Peers.contains(Peer) && Peers.size() >= MaxPeers)
    Peers.clear();
  peer_state &State = Peers[Peer];
  if (State.Incarnation != Incarnation)
    State = {Incarnation, time_point{}};
  if (Now - State.SentAt <
      (IsOtherRegion ? CrossRegionInterval : RegionInterval))
    return Shared;
  const auto AddIfNew = [&Shared, &State](const record &Record) {
    if (Record.Evidence.Sequence > 0 && Record.ChangedAt > State.SentAt)
      Shared.push_back(Record.Evidence);
  };
  for (auto &[Key, Entry] : Entries) {
    publishOwn(Key, Entry, Now);
    AddIfNew(Entry.Own);
    for (const auto &[Origin, Record] : Entry.Foreign)
      AddIfNew(Record);
  }
  if (!Shared.empty())
    State.SentAt = Now;
  return Shared;
}

void concurrency_limits::removeOld(time_point Now) {
  for (auto &[Key, Entry] : Entries) {
    // The entry holds one reference itself.
    if (Entry.Limit.use_count() > 1)
      Entry.UsedAt = Now;
    const std::size_t Dropped =
        std::erase_if(Entry.Foreign, [Now](const auto &Record) {
          return Now - Record.second.Evidence.AsOf >= ForeignLifetime;
        });
    if (Dropped > 0)
      mergeForeign(Entry);
  }
  std::erase_if(Entries, [Now](const auto &Entry) {
    return Now - Entry.second.UsedAt >= ForeignLifetime;
  });
}

std::vector<concurrency_limits::learned> concurrency_limits::all() const {
  std::vector<learned> List;
  for (const auto &[Key, Entry] : Entries)
    List.push_back(
        {Key, Entry.Limit->limit(), Entry.Limit->evidence().samples()});
  return List;
}

} // namespace agatedale
