/// \file
/// When an entry VM reads the store itself.
#pragma once

#include "agatedale/store_mirror.h"

#include <chrono>
#include <optional>
#include <set>

namespace agatedale {

/// What a store_follower is built from.
struct store_follower_settings {
  /// The reader of a region asks the store at least this often. A change is
  /// then known within it, as the store answers at once when there is one.
  std::chrono::milliseconds LongPollWait{700};
  /// A VM whose knowledge is older than this reads for itself; a healthy reader
  /// keeps it below the time of a poll and a heartbeat.
  duration MaxRelayedAge = std::chrono::milliseconds(1150);
  /// The next in rank waits this much longer, so that not all read at once.
  duration ExtraAgePerRank = std::chrono::milliseconds(120);
  int MaxRank = 4;
  /// A VM that starts waits this long for its first copy from a hub.
  duration InitialCopyTimeout = std::chrono::milliseconds(700);
  /// Pause after a failed call, doubling up to the longest.
  duration InitialBackoff = std::chrono::milliseconds(150);
  duration MaxBackoff = std::chrono::milliseconds(600);
};

/// A read of the store that is due.
struct store_read {
  store_table Table = store_table::Operators;
  bool IsSnapshot = false;
  std::uint64_t After = 0;
  std::chrono::milliseconds Wait{0};
};

/// Decides when to read the store. One VM of a region reads and passes on what
/// it learns; any other reads only when what it was told is too old to rely on.
/// The store numbers all changes in one row, so an answer about one table also
/// vouches for every table that is complete up to the same number.
///
///   if (const auto Read = Follower.next(Mirror, Rank, Now)) carryOut(*Read);
class store_follower {
public:
  explicit store_follower(const store_follower_settings &Settings)
      : Settings(Settings) {}

  /// Returns the read that is due at \p Now. \p Rank is 0 for the reader.
  std::optional<store_read> next(const store_mirror &Mirror, int Rank,
                                 time_point Now);

  /// Records that the store answered, or that it forgot the history asked for.
  void onAnswer(store_table Table, bool IsSnapshot);
  void onHistoryTruncated(store_table Table) { NeedsSnapshot.insert(Table); }
  void onFailure(time_point Now);

private:
  store_follower_settings Settings;
  std::set<store_table> NeedsSnapshot;
  std::optional<time_point> FirstPollAt;
  int Failures = 0;
  time_point BackoffUntil{};
};

} // namespace agatedale
