/// \file
/// Idempotency keys: at most one run for one key.
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

/// Returns the timestamp inside a UUID of version 7, or an error that says what
/// is wrong with \p Key.
result<wall_ms> timestampOfKey(std::string_view Key);

/// A stored answer to the first run of a key.
struct stored_answer {
  int Status = 0;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
};

/// State of a claimed key.
enum class key_state {
  Running,           ///< Given to one entry VM to run.
  Answered,          ///< Ran; the answer is kept.
  AnsweredNotStored, ///< Ran; the answer was too large to keep.
  Unknown            ///< May have run; the outcome never came.
};

/// Names one claim of one key. The claimer draws it at random, so that asking
/// again after a lost answer is the same claim; a settlement must carry it.
using claim_id = std::uint64_t;

/// What an entry VM asks before it runs a request with a key.
struct key_claim {
  std::string Account;
  std::string Key;
  std::uint64_t Fingerprint = 0; ///< Of the request; the same on a repeat.
  claim_id Claim = 0;
  std::chrono::milliseconds Timeout{}; ///< The run ends within this time.
};

/// One key with what is known of its run, as it is copied between entry VMs.
struct key_entry {
  std::string Account;
  std::string Key;
  std::uint64_t Fingerprint = 0; ///< Of the request; the same on a repeat.
  wall_ms Timestamp = 0;
  claim_id Claim = 0;
  wall_ms RunsUntil = 0; ///< The claimed run has ended by then.
  key_state State = key_state::Running;
  std::shared_ptr<const stored_answer> Answer;
};

/// The claimer may run the request, under the claim that it named.
struct run_key {};
/// The first run's answer stands for this request too.
struct replay_answer {
  std::shared_ptr<const stored_answer> Answer;
};
/// The first run is still under way.
struct await_key {};
/// The request must not run.
struct refuse_key {
  refusal_reason Reason = refusal_reason::None;
  verdict Verdict = verdict::MayHaveRun;
};

using key_decision =
    std::variant<run_key, replay_answer, await_key, refuse_key>;

/// How a claimed run ended.
struct key_settlement {
  std::string Account;
  std::string Key;
  claim_id Claim = 0;
  verdict Verdict = verdict::MayHaveRun;
  std::shared_ptr<const stored_answer> Answer; ///< When Answered and small.
};

/// What a key table is built from.
struct key_table_settings {
  /// Keys older than this are refused and forgotten.
  std::chrono::milliseconds Window = std::chrono::minutes(10);
  /// How far a key's timestamp may lie ahead of this node's clock.
  std::chrono::milliseconds MaxClockSkew = std::chrono::seconds(2);
  std::size_t MaxEntries = 20'000;
  std::size_t MaxAnswerBytes = 4096;
};

/// The keys of one key partition on the node that owns it. A key runs when it
/// is claimed for the first time and again only after a settlement proved that
/// it did not run. What fell out of memory, or may have been claimed at a
/// former owner that was lost, is told by the key's own timestamp and never
/// run.
///
///   key_table Keys = key_table::create(Settings);
///   key_decision Decision = Keys.claim(Claim, WallNow);
///   Keys.settle({Account, Key, Claim, Verdict, Answer});
class key_table {
public:
  static key_table create(const key_table_settings &Settings) {
    return key_table(Settings);
  }

  /// Decides about a request that carries a key.
  key_decision claim(const key_claim &Claim, wall_ms Now);

  /// Records how a claimed run ended; settlements of other claims are ignored.
  /// Returns the entry as it now stands, or nothing when it is gone.
  std::optional<key_entry> settle(const key_settlement &Settlement);

  /// Treats every unknown key up to \p Now (and the allowed skew) as one that
  /// may have run: this node took over from an owner that was lost.
  void takeOver(wall_ms Now);

  /// Takes in entries of a former owner, or a copy of them. Running entries of
  /// a lost owner become unknown when \p OwnerLost.
  void importEntries(std::span<const key_entry> Entries, bool OwnerLost);

  /// Raises the floor below which unknown keys are refused.
  void raiseFloor(wall_ms NewFloor);

  /// Returns the entry of a key, or nothing.
  std::optional<key_entry> find(const std::string &Account,
                                const std::string &Key) const;

  /// Returns all entries, for a planned hand-over.
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
