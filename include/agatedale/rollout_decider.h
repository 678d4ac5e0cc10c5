/// \file
/// Decides a rollout and keeps its stage in the store.
#pragma once

#include "agatedale/result.h"
#include "agatedale/rollout_board.h"
#include "agatedale/rollout_plan.h"
#include "agatedale/store_version.h"

#include <map>
#include <optional>
#include <string>
#include <variant>

namespace agatedale {

/// The stage of a rollout as its row in the store holds it.
struct rollout_record {
  std::uint64_t Order = 0;
  std::string To;
  std::uint64_t Sequence = 0;
  rollout_phase Phase = rollout_phase::Running;
  double NewShare = 0;
  std::string Decider;
  std::chrono::milliseconds Age{0}; ///< Of the order when it was written.

  bool operator==(const rollout_record &) const = default;
};

/// The row of a service; without a record if there is none.
struct rollout_row {
  std::optional<rollout_record> Record;
  store_version Version; ///< Number 0 if there is none.
};

/// Instructs the caller to read the row of the service.
struct read_rollout {};

/// Instructs the caller to write the row if it still has a version.
struct write_rollout {
  rollout_record Record;
  store_version Expected;
  bool IsPhaseNew = true; ///< The operators must be told in the same write.
};

using rollout_access = std::variant<read_rollout, write_rollout>;

/// Decides the rollout of one service. Every change of the stage is a write to
/// the store on condition of the row's version, so that of several deciders one
/// prevails at each step; a smaller share is in force before it is written. If
/// a write gets no answer, the row is read to see whether it took effect.
/// A decider that takes over continues from the row, which it writes under its
/// own name before it publishes anything. One that has lost to another leaves
/// it alone for some seconds.
///
///   rollout_decider Decider = rollout_decider::create(Order, Bounds, "vm-1",
///                                                     OrderedAt);
///   Decider.onReport("vm-2", Report, Now);
///   if (auto Access = Decider.next(Now)) carryOut(*Access);
///   Board.learn(*Decider.stage());
class rollout_decider {
public:
  static rollout_decider create(const rollout_order &Order,
                                const rollout_bounds &Bounds, std::string Self,
                                time_point OrderedAt) {
    return {Order, Bounds, std::move(Self), OrderedAt};
  }

  /// Records what \p Reporter has counted and which stage it applies.
  void onReport(std::string_view Reporter, const rollout_report &Report,
                time_point Now);

  /// Sets whether usable servers of other versions and of the new one exist.
  void setServers(bool NewHasOld, bool NewHasNew) {
    HasOld = NewHasOld;
    HasNew = NewHasNew;
  }

  /// Sets an outcome that is known of this order. It prevails over the row,
  /// which may come from an older copy of the store.
  void setOutcome(const rollout_stage &Outcome);

  /// Sets the highest number of a stage of this order that the fleet has been
  /// told. Later stages get higher ones, whatever the row says.
  void setKnownSequence(std::uint64_t Sequence) { KnownSequence = Sequence; }

  /// Tells that the store is known to be in \p NewEra. A restored store may
  /// lack what was written before, so the row is read again, also if an access
  /// that is in progress succeeds: the store may have carried it out before.
  void setEra(std::uint64_t NewEra);

  /// Returns the access to the store that is due, if any. Its end must be
  /// reported before the next one is returned.
  std::optional<rollout_access> next(time_point Now);

  /// Reports the end of a read or write that was begun at \p AskedAt.
  void onRead(const result<rollout_row> &Read, time_point AskedAt,
              time_point Now);
  void onWritten(const result<store_version> &Written, time_point AskedAt,
                 time_point Now);

  /// Returns the stage that is in force, or nothing before the store has
  /// confirmed that this decider has prevailed.
  std::optional<rollout_stage> stage() const;

  /// Returns true once the outcome stands in the store.
  bool isOver() const {
    return Current && Current->Phase != rollout_phase::Running &&
           !IsUnwritten && !MustRead;
  }

  /// Returns the judgment and the progress of the last decision, for logs.
  const rollout_progress &progress() const { return Progress; }

private:
  struct reporter {
    time_point At{};
    std::uint64_t Sequence = 0;
    std::uint32_t OldInFlight = 0;
  };

  rollout_decider(const rollout_order &Order, const rollout_bounds &Bounds,
                  std::string Self, time_point OrderedAt)
      : Order(Order), Plan(rollout_plan::create(Bounds, Order.Duration)),
        Self(std::move(Self)), OrderedAt(OrderedAt) {}

  void adopt(const rollout_record &Record, time_point Now);
  bool mustYield(const rollout_record &Record, time_point Now);
  void confirm(time_point AskedAt, time_point Now);
  void decide(time_point Now);
  bool isOldIdle(time_point Now) const;
  bool isChange(const rollout_step &Step) const;
  rollout_access beginWrite(time_point Now);

  rollout_order Order;
  rollout_plan Plan;
  std::string Self;
  time_point OrderedAt;
  rollout_judge Judge;
  rollout_progress Progress;
  std::map<std::string, reporter, std::less<>> Reporters;
  bool HasOld = false;
  bool HasNew = false;

  bool IsBusy = false;   ///< An access to the store is in progress.
  bool MustRead = true;  ///< The version of the row is not known.
  std::uint64_t Era = 0; ///< Of the store.
  /// The access in progress may have been carried out before the era began.
  bool IsOfFormerEra = false;
  time_point RetryAt{};  ///< Not before this time, after a failure.
  store_version Version; ///< Of the row; number 0 if there is none.
  /// Phase of this order in the row; nothing if the row is of another order.
  std::optional<rollout_phase> WrittenPhase;
  /// The stage in force; nothing before the row was read.
  std::optional<rollout_record> Current;
  std::optional<rollout_record> Pending; ///< Being written.
  std::uint64_t KnownSequence = 0;
  bool IsUnwritten = false; ///< Current differs from the row.
  time_point ConfirmedAt{};
  time_point DecidesFrom{}; ///< Until then reports are collected.
  time_point DecidedAt{};
  /// Until when another decider, which has written YieldsTo, is left alone.
  std::optional<time_point> YieldsUntil;
  store_version YieldsTo;
  std::optional<time_point> FullAt; ///< When all requests went to the new.
};

} // namespace agatedale
