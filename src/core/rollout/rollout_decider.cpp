/// \file
/// The stage of a rollout and its row.
#include "agatedale/rollout_decider.h"

#include <algorithm>
#include <utility>

namespace agatedale {

namespace {

/// Interval at which the plan is asked.
constexpr duration DecisionInterval = std::chrono::milliseconds(100);

/// Interval at which the store confirms that no other decider has changed the
/// row. Well below rollout_board::LeaseLength, which it renews.
constexpr duration ConfirmInterval = std::chrono::milliseconds(600);

/// Pause after a failed access to the store.
constexpr duration RetryPause = std::chrono::milliseconds(250);

/// Time after the row is known for which reports are collected before the share
/// is raised: without them a busy service looks idle.
constexpr duration CollectionTime = std::chrono::milliseconds(1000);

/// Age of a report after which its sender is not waited for.
constexpr duration ReportLifetime = std::chrono::milliseconds(1500);

/// Time after losing to another decider after which the row is taken over again
/// if it has not changed. Longer than the owner of the subject is in doubt.
constexpr duration YieldTime = std::chrono::seconds(3);

/// Relative change of a share that is worth a write.
constexpr double MinRelativeChange = 0.25;

} // namespace

void rollout_decider::onReport(std::string_view Reporter,
                               const rollout_report &Report, time_point Now) {
  if (Report.Service != Order.Service || Report.Order != Order.Id)
    return;
  Judge.record(Reporter, Report.Evidence, Now);
  Reporters[std::string(Reporter)] = {Now, Report.Sequence, Report.OldInFlight};
}

void rollout_decider::setOutcome(const rollout_stage &Outcome) {
  if (Current && Current->Phase != rollout_phase::Running)
    return;
  Current = rollout_record{Order.Id,
                           Order.To,
                           Outcome.Sequence,
                           Outcome.Phase,
                           Outcome.NewShare,
                           Outcome.Decider,
                           {}};
  IsUnwritten = true;
  MustRead = true;
}

void rollout_decider::setEra(std::uint64_t NewEra) {
  if (NewEra <= Era)
    return;
  Era = NewEra;
  MustRead = true;
  IsOfFormerEra = IsBusy;
}

/// Takes a stage over from the row.
void rollout_decider::adopt(const rollout_record &Record, time_point Now) {
  OrderedAt = std::min(OrderedAt, Now - Record.Age);
  Current = Record;
  const bool IsTakeover =
      Record.Phase == rollout_phase::Running && Record.Decider != Self;
  if (IsTakeover) {
    Current->Sequence = std::max(Record.Sequence, KnownSequence) + 1;
    Current->Decider = Self;
    ConfirmedAt = {};
  }
  IsUnwritten = IsTakeover;
  if (Record.NewShare < 1)
    FullAt.reset();
  else if (!FullAt)
    FullAt = Now;
  if (Judge.total() <= 0)
    DecidesFrom = Now + CollectionTime;
}

/// Returns true if another decider has prevailed over this one with \p Record
/// a short time ago.
bool rollout_decider::mustYield(const rollout_record &Record, time_point Now) {
  if (!Current || Record.Decider == Self ||
      Record.Phase != rollout_phase::Running)
    return false;
  if (!YieldsUntil || YieldsTo != Version) {
    YieldsUntil = Now + YieldTime;
    YieldsTo = Version;
  }
  if (Now < *YieldsUntil)
    return true;
  YieldsUntil.reset();
  return false;
}

void rollout_decider::confirm(time_point AskedAt, time_point Now) {
  // While the permission had lapsed, requests went to the old version.
  const bool HadLapsed = Now > ConfirmedAt + rollout_board::LeaseLength;
  ConfirmedAt = AskedAt;
  if (Current->NewShare < 1)
    FullAt.reset();
  else if (!FullAt || HadLapsed)
    FullAt = Now;
}

void rollout_decider::onRead(const result<rollout_row> &Read,
                             time_point AskedAt, time_point Now) {
  IsBusy = false;
  const bool IsOutdated = std::exchange(IsOfFormerEra, false);
  if (errorOf(Read)) {
    RetryAt = Now + RetryPause;
    return;
  }
  MustRead = IsOutdated;
  const rollout_row &Row = valueOf(Read);
  Version = Row.Version;
  const bool IsOfOrder = Row.Record && Row.Record->Order == Order.Id;
  WrittenPhase = IsOfOrder ? std::optional(Row.Record->Phase) : std::nullopt;
  if (!IsOfOrder) {
    // The first decider of the order, or the store lost the row.
    if (!Current) {
      Current = rollout_record{
          Order.Id, Order.To, KnownSequence + 1, rollout_phase::Running, 0,
          Self,     {}};
      DecidesFrom = Now + CollectionTime;
    }
    Pending.reset();
    IsUnwritten = true;
    return;
  }
  const rollout_record &Record = *Row.Record;
  const bool IsWritten = Pending && Record.Sequence == Pending->Sequence &&
                         Record.Decider == Self &&
                         Record.Phase == Pending->Phase;
  if (IsWritten) {
    // The answer to the write was lost.
    Current = *Pending;
    Pending.reset();
    IsUnwritten = false;
    confirm(AskedAt, Now);
    return;
  }
  Pending.reset();
  const bool IsFinal = Record.Phase != rollout_phase::Running;
  const bool IsCurrentFinal =
      Current && Current->Phase != rollout_phase::Running;
  if (IsCurrentFinal && Record.Phase == Current->Phase) {
    IsUnwritten = false;
    return;
  }
  const bool IsOwn = Current && Record.Sequence == Current->Sequence &&
                     Record.Decider == Current->Decider;
  if (IsOwn && !IsUnwritten) {
    confirm(AskedAt, Now);
    return;
  }
  const bool IsOlder = Current && Record.Sequence < Current->Sequence;
  if (Current && !IsFinal && (IsCurrentFinal || IsOlder)) {
    // An older copy of the store, or a smaller share that is in force already.
    IsUnwritten = true;
    return;
  }
  if (IsCurrentFinal)
    return; // Two outcomes after a restore: the one in the store stays.
  if (mustYield(Record, Now)) {
    ConfirmedAt = {};
    IsUnwritten = false;
    MustRead = true;
    RetryAt = Now + RetryPause;
    return;
  }
  adopt(Record, Now);
  if (!IsUnwritten)
    confirm(AskedAt, Now);
}

void rollout_decider::onWritten(const result<store_version> &Written,
                                time_point AskedAt, time_point Now) {
  IsBusy = false;
  IsOfFormerEra = false;
  if (const error *Error = errorOf(Written)) {
    // What stands in the row decides what follows.
    MustRead = true;
    if (Error->Kind != error_kind::Unknown)
      RetryAt = Now + RetryPause;
    return;
  }
  Version = valueOf(Written);
  WrittenPhase = Pending->Phase;
  Current = *Pending;
  Pending.reset();
  IsUnwritten = false;
  confirm(AskedAt, Now);
}

bool rollout_decider::isOldIdle(time_point Now) const {
  return std::all_of(Reporters.begin(), Reporters.end(),
                     [&](const auto &Entry) {
                       const reporter &Reporter = Entry.second;
                       return Now - Reporter.At > ReportLifetime ||
                              (Reporter.Sequence >= Current->Sequence &&
                               Reporter.OldInFlight == 0);
                     });
}

bool rollout_decider::isChange(const rollout_step &Step) const {
  if (Step.Phase != Current->Phase)
    return true;
  if (Step.NewShare == Current->NewShare)
    return false;
  if (Step.NewShare <= 0 || Step.NewShare >= 1 || Current->NewShare <= 0)
    return true;
  const double Ratio = Step.NewShare / Current->NewShare;
  return Ratio > 1 + MinRelativeChange || Ratio < 1 / (1 + MinRelativeChange);
}

/// Asks the plan. A smaller share is in force at once, a larger one and an
/// outcome when they are written.
void rollout_decider::decide(time_point Now) {
  DecidedAt = Now;
  Progress.Age = Now - OrderedAt;
  Progress.Judgment = Judge.judge(Now);
  Progress.Total = Judge.total();
  Progress.OfNew = Judge.ofNew();
  Progress.RatePerSecond = Judge.rate(Now);
  Progress.HasOld = HasOld;
  Progress.HasNew = HasNew;
  Progress.FullSince =
      FullAt ? std::optional(*FullAt - OrderedAt) : std::nullopt;
  Progress.IsOldIdle = FullAt && isOldIdle(Now);
  const rollout_step Step = Plan.next(Progress);
  const std::uint64_t Next = std::max(Current->Sequence, KnownSequence) + 1;
  const bool IsRaise = Step.NewShare > Current->NewShare ||
                       Step.Phase == rollout_phase::Completed;
  if (!isChange(Step) || (IsRaise && Now < DecidesFrom))
    return;
  Pending = rollout_record{Order.Id,      Order.To, Next, Step.Phase,
                           Step.NewShare, Self,     {}};
  if (Step.NewShare < Current->NewShare) {
    Current->Sequence = Pending->Sequence;
    Current->NewShare = Step.NewShare;
    Current->Decider = Self;
    FullAt.reset();
  }
}

rollout_access rollout_decider::beginWrite(time_point Now) {
  IsBusy = true;
  Pending->Age =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now - OrderedAt);
  return write_rollout{*Pending, Version, WrittenPhase != Pending->Phase};
}

std::optional<rollout_access> rollout_decider::next(time_point Now) {
  if (IsBusy)
    return std::nullopt;
  const bool IsInForce = Current && Current->Phase == rollout_phase::Running &&
                         ConfirmedAt > time_point{};
  if (IsInForce && !Pending && Now - DecidedAt >= DecisionInterval)
    decide(Now);
  if (Now < RetryAt)
    return std::nullopt;
  if (MustRead) {
    IsBusy = true;
    return read_rollout{};
  }
  const bool IsOutrun = Current && !Pending &&
                        Current->Phase == rollout_phase::Running &&
                        KnownSequence > Current->Sequence;
  if (IsOutrun) {
    // The row comes from an older copy of the store, or another decider has
    // changed it, which the condition of the write shows.
    Current->Sequence = KnownSequence + 1;
    IsUnwritten = true;
  }
  if (!Pending && IsUnwritten)
    Pending = *Current;
  if (Pending)
    return beginWrite(Now);
  if (Current && Current->Phase == rollout_phase::Running &&
      Now - ConfirmedAt >= ConfirmInterval) {
    IsBusy = true;
    return read_rollout{};
  }
  return std::nullopt;
}

std::optional<rollout_stage> rollout_decider::stage() const {
  if (!Current || ConfirmedAt == time_point{})
    return std::nullopt;
  return rollout_stage{Order.Service,  Order.Id,          Current->Sequence,
                       Current->Phase, Current->NewShare, Self,
                       ConfirmedAt,    OrderedAt};
}

} // namespace agatedale
