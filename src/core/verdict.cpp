/// \file
/// Tokens of verdicts; tokens and HTTP statuses of refusal reasons.
#include "agatedale/verdict.h"

#include <array>

namespace agatedale {

namespace {

/// Token and HTTP status of a refusal reason.
struct refusal_row {
  refusal_reason Reason;
  std::string_view Name;
  int Status;
};

constexpr std::array RefusalTable{
    refusal_row{refusal_reason::None, "none", 200},
    refusal_row{refusal_reason::MalformedRequest, "malformed-request", 400},
    refusal_row{refusal_reason::HeadersTooLarge, "headers-too-large", 431},
    refusal_row{refusal_reason::BodyTooLarge, "body-too-large", 413},
    refusal_row{refusal_reason::NoRoute, "no-route", 404},
    refusal_row{refusal_reason::UnknownAccount, "unknown-account", 403},
    refusal_row{refusal_reason::AccountNotAllowed, "account-not-allowed", 403},
    refusal_row{refusal_reason::NotReady, "not-ready", 503},
    refusal_row{refusal_reason::Stopping, "stopping", 503},
    refusal_row{refusal_reason::CannotBeOnTime, "cannot-be-on-time", 503},
    refusal_row{refusal_reason::QueueFull, "queue-full", 503},
    refusal_row{refusal_reason::AccountQueueFull, "account-queue-full", 503},
    refusal_row{refusal_reason::NoServer, "no-server", 503},
    refusal_row{refusal_reason::NoOwner, "no-owner", 503},
    refusal_row{refusal_reason::NotOwner, "not-owner", 503},
    refusal_row{refusal_reason::OwnerLost, "owner-lost", 504},
    refusal_row{refusal_reason::DeadlinePassed, "deadline-passed", 504},
    refusal_row{refusal_reason::ServerShed, "server-shed", 503},
    refusal_row{refusal_reason::ServerUnreachable, "server-unreachable", 503},
    refusal_row{refusal_reason::ServerBroke, "server-broke", 504},
    refusal_row{refusal_reason::AnswerTruncated, "answer-truncated", 504},
    refusal_row{refusal_reason::KeyMissing, "key-missing", 400},
    refusal_row{refusal_reason::KeyMalformed, "key-malformed", 400},
    refusal_row{refusal_reason::KeyReused, "key-reused", 422},
    refusal_row{refusal_reason::KeyRunning, "key-running", 504},
    refusal_row{refusal_reason::KeyOutcomeUnknown, "key-outcome-unknown", 504},
    refusal_row{refusal_reason::KeyOutOfWindow, "key-out-of-window", 504},
    refusal_row{refusal_reason::KeyOwnerLost, "key-owner-lost", 503},
    refusal_row{refusal_reason::HomeUnreachable, "home-unreachable", 503},
    refusal_row{refusal_reason::LinkBudgetSpent, "link-budget-spent", 503},
    refusal_row{refusal_reason::BodyIncomplete, "body-incomplete", 400},
    refusal_row{refusal_reason::RetryBudgetSpent, "retry-budget-spent", 503},
    refusal_row{refusal_reason::MemoryFull, "memory-full", 503},
    refusal_row{refusal_reason::ClientKeyMissing, "client-key-missing", 401},
    refusal_row{refusal_reason::ClientKeyMalformed, "client-key-malformed",
                400},
    refusal_row{refusal_reason::ClientKeyUnknown, "client-key-unknown", 401},
    refusal_row{refusal_reason::ClientKeyUnconfirmed, "client-key-unconfirmed",
                503},
    refusal_row{refusal_reason::ClientKeyRevoked, "client-key-revoked", 401},
    refusal_row{refusal_reason::ConfigurationUnproven, "configuration-unproven",
                503},
    refusal_row{refusal_reason::RegionsDisjoint, "regions-disjoint", 503},
    refusal_row{refusal_reason::ConfigurationSuperseded,
                "configuration-superseded", 503},
    refusal_row{refusal_reason::RegionUnknown, "region-unknown", 503},
    refusal_row{refusal_reason::RouteUnusable, "route-unusable", 503},
    refusal_row{refusal_reason::AccountUnusable, "account-unusable", 503},
    refusal_row{refusal_reason::QuotaExceeded, "quota-exceeded", 429},
};

const refusal_row &refusalRowOf(refusal_reason Reason) {
  for (const refusal_row &Row : RefusalTable) {
    if (Row.Reason == Reason)
      return Row;
  }
  return RefusalTable.front();
}

} // namespace

verdict combineVerdicts(verdict Earlier, verdict Last) {
  const bool MayHaveRun =
      Earlier == verdict::MayHaveRun && Last == verdict::NotRun;
  return MayHaveRun ? verdict::MayHaveRun : Last;
}

std::string_view verdictName(verdict Verdict) {
  switch (Verdict) {
  case verdict::Answered:
    return "answered";
  case verdict::NotRun:
    return "not-run";
  case verdict::MayHaveRun:
    break;
  }
  return "may-have-run";
}

verdict parseVerdict(std::string_view Name) {
  for (verdict Verdict : {verdict::Answered, verdict::NotRun}) {
    if (verdictName(Verdict) == Name)
      return Verdict;
  }
  return verdict::MayHaveRun;
}

std::string_view reasonName(refusal_reason Reason) {
  return refusalRowOf(Reason).Name;
}

int httpStatusOf(refusal_reason Reason) { return refusalRowOf(Reason).Status; }

bool isRetryAllowed(verdict Verdict, bool Idempotent) {
  return Idempotent || Verdict == verdict::NotRun;
}

} // namespace agatedale
