/// \file
/// Idempotency keys: at most one execution for each key.
#pragma once

#include "agatedale/clock.h"
#include "agatedale/result.h"
#include "agatedale/verdict.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace agatedale {

/// Returns the timestamp of \p Key, which must be a UUID of version 7, or an
/// error that names the format violation.
result<wall_ms> timestampOfKey(std::string_view Key);

/// The response of a key's first run, stored for replay.
struct stored_answer {
  int Status = 0;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
};

/// State of a claimed key.
enum class key_state {
  Running,           ///< Claimed by an entry VM; not settled.
  Answered,          ///< Ran; the response is stored.
  AnsweredNotStored, ///< Ran; the response was too large.
  Unknown            ///< May have run; the outcome is not known.
};

/// Identifies one claim of one key. The claimer draws it at random, so that a
/// claim repeated after a lost reply is recognized as the same claim. A
/// settlement must carry the identifier of its claim.
using claim_id = std::uint64_t;

/// Asks the owner of a key for permission to run a request with that key.
struct key_claim {
  std::string Account;
  std::string Key;
  std::uint64_t Fingerprint = 0; ///< Digest of the request; equal for a repeat.
  claim_id Claim = 0;
  std::chrono::milliseconds Timeout{}; ///< Upper bound on the run.
};

/// A key and the state of its run, as replicated between entry VMs.
struct key_entry {
  std::string Account;
  std::string Key;
  std::uint64_t Fingerprint = 0; ///< Digest of the request; equal for a repeat.
  wall_ms Timestamp = 0;
  claim_id Claim = 0;
  wall_ms RunsUntil = 0; ///< Latest end of the claimed run.
  key_state State = key_state::Running;
  std::shared_ptr<const stored_answer> Answer;
};

/// The claimer may run the request under its claim.
struct run_key {};
/// The claimer must return the stored response of the first run.
struct replay_answer {
  std::shared_ptr<const stored_answer> Answer;
};
/// The first run is still in progress.
struct await_key {};
/// The request must not run.
struct refuse_key {
  refusal_reason Reason = refusal_reason::None;
  verdict Verdict = verdict::MayHaveRun;
};

using key_decision =
    std::variant<run_key, replay_answer, await_key, refuse_key>;

/// The outcome of a claimed run.
struct key_settlement {
  std::string Account;
  std::string Key;
  claim_id Claim = 0;
  verdict Verdict = verdict::MayHaveRun;
  std::shared_ptr<const stored_answer> Answer; ///< If Answered and small.
};

/// Configuration of a key_table.
struct key_table_settings {
  /// Keys older than this are refused, and their entries are evicted.
  std::chrono::milliseconds Window = std::chrono::minutes(10);
  /// How far a key's timestamp may be ahead of this node's clock.
  std::chrono::milliseconds MaxClockSkew = std::chrono::seconds(2);
  std::size_t MaxEntries = 20'000;
  std::size_t MaxAnswerBytes = 4096;
};

/// The keys of one key partition, on the node that owns it. A key may run on
/// its first claim, and again only after a settlement proves that it did not
/// run. Keys that were evicted, or that may have been claimed at a former owner
/// that failed, are recognized by their timestamp, which is not above the
/// floor, and never run.
///
///   key_table Keys = key_table::create(Settings);
///   key_decision Decision = Keys.claim(Claim, WallNow);
///   Keys.settle({Account, Key, Claim, Verdict, Answer});
class key_table {
public:
  static key_table create(const key_table_settings &Settings) {
    return key_table(Settings);
  }

  /// Decides whether the request of \p Claim may run.
  key_decision claim(const key_claim &Claim, wall_ms Now);

  /// Records the outcome of a claimed run. Returns the updated entry, or
  /// nothing if it was removed, does not exist, or belongs to another claim.
  std::optional<key_entry> settle(const key_settlement &Settlement);

  /// Refuses keys without an entry up to \p Now plus the clock skew, because
  /// the failed former owner may have run them.
  void takeOver(wall_ms Now);

  /// Imports the entries of a former owner or a replica of them, replacing
  /// existing ones. If \p OwnerLost, running entries become unknown, because
  /// the outcome may have been lost with the owner.
  void importEntries(std::span<const key_entry> Entries, bool OwnerLost);

  /// Raises the floor: keys without an entry are refused if their timestamp is
  /// not above it.
  void raiseFloor(wall_ms NewFloor);

  std::optional<key_entry> find(const std::string &Account,
                                const std::string &Key) const;

  /// Returns all entries, for a planned handover.
  std::vector<key_entry> entries() const;

  wall_ms floor() const { return Floor; }
  std::size_t size() const { return Entries.size(); }

private:
  using key_name = std::pair<std::string, std::string>;

  explicit key_table(const key_table_settings &Settings) : Settings(Settings) {}

  static key_decision decideExisting(const key_entry &Entry,
                                     const key_claim &Claim, wall_ms Now);
  key_decision decideNew(const key_claim &Claim, wall_ms KeyTimestamp,
                         wall_ms Now);
  void evictExpired(wall_ms Now);
  void erase(std::map<key_name, key_entry>::iterator EntryIter);

  key_table_settings Settings;
  std::map<key_name, key_entry> Entries;
  std::set<std::pair<wall_ms, key_name>> ByTimestamp;
  wall_ms Floor = 0;
};

} // namespace agatedale
