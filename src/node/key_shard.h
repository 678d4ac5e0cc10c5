/// \file
/// A key partition that this node owns, with the requests that wait on it.
#pragma once

#include "agatedale/key_table.h"
#include "request.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace agatedale {

/// What a claim came to, after waiting for a run under way.
struct claim_outcome {
  bool Run = false;
  std::shared_ptr<const stored_answer> Answer; ///< Of the first run.
  refusal_reason Reason = refusal_reason::None;
  verdict Verdict = verdict::MayHaveRun;
};

/// Holds a key_table for one spell of ownership. Repeats of a key wait here for
/// the first run. Entries are copied to another entry VM through OnChange.
///
///   key_shard Keys(Settings, OnChange);
///   claim_outcome Outcome = Keys.claim(Claim, Deadline);
class key_shard {
public:
  key_shard(const key_table_settings &Settings,
            std::function<void(const key_entry &)> OnChange)
      : Keys(key_table::create(Settings)), OnChange(std::move(OnChange)) {}

  /// Claims a key. Waits for a run under way until \p Deadline.
  claim_outcome claim(const key_claim &Claim, time_point Deadline);

  /// Settles a claim and wakes those that wait for it.
  void settle(const key_settlement &Settlement);

  /// Allows claims until \p Until: the end of the node's lease.
  void setLeaseEnd(time_point Until);

  /// Starts out after a lost owner, with what was copied from it.
  void takeOver(std::span<const key_entry> Copies);

  /// Starts out after a planned hand-over.
  void adopt(std::span<const key_entry> Entries, wall_ms Floor);

  /// Refuses everything from now on and returns the entries.
  std::vector<key_entry> handOver(wall_ms &Floor);

  std::size_t size() const;

private:
  mutable std::mutex Lock;
  std::condition_variable Settled;
  key_table Keys;
  std::function<void(const key_entry &)> OnChange;
  time_point LeaseEnd{};
  bool HandedOver = false;
};

} // namespace agatedale
