/// \file
/// Execution verdicts and refusal reasons of requests.
#pragma once

#include <string_view>

namespace agatedale {

/// States whether a backend server may have executed a request. Every response
/// carries a verdict.
enum class verdict {
  Answered,  ///< The backend server's complete response.
  NotRun,    ///< Never sent, or rejected by the server before execution.
  MayHaveRun ///< Possibly sent; the outcome is unknown.
};

/// Reasons for refusing a request; docs/OPERATORS.md documents each of them.
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
  ClientKeyMissing,
  ClientKeyMalformed,
  ClientKeyUnknown,
  ClientKeyUnconfirmed, ///< The key may be newer than the configuration.
  QuotaExceeded,
  ClientKeyRevoked, ///< By a configuration that came after the request.
  /// The configuration is too old to tell whether the key was revoked.
  ConfigurationUnproven,
  RegionsDisjoint, ///< Route and account have no home region in common.
  RegionUnknown,   ///< No zone is in the home regions.
  RouteUnusable,   ///< The route or its service has a fault.
  AccountUnusable, ///< The account or its key has a fault.
  /// A later configuration was read that cannot be applied.
  ConfigurationSuperseded,
};

/// Returns the verdict on a request whose attempts ended with \p Earlier and
/// then \p Last. A NotRun verdict for the last attempt does not rule out that
/// an earlier attempt executed the request.
verdict combineVerdicts(verdict Earlier, verdict Last);

/// Returns the token used in headers and logs, such as "not-run".
std::string_view verdictName(verdict Verdict);

/// Parses a token written by verdictName(); returns MayHaveRun for any other
/// text.
verdict parseVerdict(std::string_view Name);

/// Returns the token used in headers, logs and metrics, such as "queue-full".
std::string_view reasonName(refusal_reason Reason);

/// Returns the HTTP status of a refusal for \p Reason.
int httpStatusOf(refusal_reason Reason);

/// Returns true if the same request may be retried after \p Verdict.
bool isRetryAllowed(verdict Verdict, bool Idempotent);

} // namespace agatedale
