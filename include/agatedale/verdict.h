/// \file
/// What is known about whether a request has run.
#pragma once

#include <string_view>

namespace agatedale {

/// Says whether a request may have run. Every answer carries one.
enum class verdict {
  Answered,  ///< The backend server's own answer, whole.
  NotRun,    ///< Proved: never sent, or the backend server said so.
  MayHaveRun ///< Sent, or perhaps sent, and the outcome is not known.
};

/// Why a request was refused. docs/OPERATORS.md has a row for each.
enum class refusal_reason {
  None,
  MalformedRequest,
  HeadersTooLarge,
  BodyTooLarge,
  NoRoute,
  UnknownAccount,
  AccountNotAllowed,
  NotReady,
  Stopping,
  CannotBeOnTime,
  QueueFull,
  AccountQueueFull,
  NoServer,
  NoOwner,
  NotOwner,
  OwnerLost,
  DeadlinePassed,
  ServerShed,
  ServerUnreachable,
  ServerBroke,
  AnswerTruncated,
  KeyMissing,
  KeyMalformed,
  KeyReused,
  KeyRunning,
  KeyOutcomeUnknown,
  KeyOutOfWindow,
  KeyOwnerLost,
  HomeUnreachable,
  LinkBudgetSpent,
  BodyIncomplete,
  RetryBudgetSpent,
  MemoryFull,
};

/// Returns what is known of a request after attempts that ended with
/// \p Earlier and \p Last: a later refusal proves nothing of an earlier run.
verdict combineVerdicts(verdict Earlier, verdict Last);

/// Returns the token used in headers and logs, such as "not-run".
std::string_view verdictName(verdict Verdict);

/// Parses what verdictName() writes; anything else is MayHaveRun.
verdict parseVerdict(std::string_view Name);

/// Returns the token used in headers, logs and metrics, such as "queue-full".
std::string_view reasonName(refusal_reason Reason);

/// Returns the HTTP status that a refusal for \p Reason is sent with.
int httpStatusOf(refusal_reason Reason);

/// Returns true if a caller may send the same request again after \p Verdict.
bool isRetryAllowed(verdict Verdict, bool Idempotent);

} // namespace agatedale
