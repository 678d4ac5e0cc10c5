/// \file
/// Waiting and copying around a key table.
#include "key_shard.h"
#include "node_clock.h"

#include <chrono>

namespace agatedale {

claim_outcome key_shard::claim(const key_claim &Claim, time_point Deadline) {
  std::unique_lock Guard(Lock);
  for (;;) {
    const time_point Now = monotonicNow();
    if (HandedOver || Now >= LeaseEnd)
      return {false, nullptr, refusal_reason::NotOwner, verdict::NotRun};
    const key_decision Decision = Keys.claim(Claim, wallNow());
    if (std::holds_alternative<run_key>(Decision)) {
      OnChange(*Keys.find(Claim.Account, Claim.Key));
      return {true, nullptr, refusal_reason::None, verdict::NotRun};
    }
    if (const auto *Replay = std::get_if<replay_answer>(&Decision))
      return {false, Replay->Answer, refusal_reason::None, verdict::Answered};
    if (const auto *Refuse = std::get_if<refuse_key>(&Decision))
      return {false, nullptr, Refuse->Reason, Refuse->Verdict};
    if (Now >= Deadline)
      return {false, nullptr, refusal_reason::KeyRunning, verdict::MayHaveRun};
    Settled.wait_until(Guard, std::min(Deadline, LeaseEnd));
  }
}

void key_shard::settle(const key_settlement &Settlement) {
  {
    const std::lock_guard Guard(Lock);
    const std::optional<key_entry> Entry = Keys.settle(Settlement);
    if (Entry)
      OnChange(*Entry);
  }
  Settled.notify_all();
}

void key_shard::setLeaseEnd(time_point Until) {
  const std::lock_guard Guard(Lock);
  LeaseEnd = Until;
}

void key_shard::takeOver(std::span<const key_entry> Copies) {
  const std::lock_guard Guard(Lock);
  Keys.takeOver(wallNow());
  Keys.importEntries(Copies, true);
}

void key_shard::adopt(std::span<const key_entry> Entries, wall_ms Floor) {
  const std::lock_guard Guard(Lock);
  Keys.raiseFloor(Floor);
  Keys.importEntries(Entries, false);
}

std::vector<key_entry> key_shard::handOver(wall_ms &Floor) {
  std::vector<key_entry> Entries;
  {
    const std::lock_guard Guard(Lock);
    HandedOver = true;
    Floor = Keys.floor();
    Entries = Keys.entries();
  }
  Settled.notify_all();
  return Entries;
}

std::size_t key_shard::size() const {
  const std::lock_guard Guard(Lock);
  return Keys.size();
}

} // namespace agatedale
