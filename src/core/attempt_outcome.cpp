/// \file
/// Names, verdicts and refusal reasons of attempt outcomes.
#include "attempt_outcome.h"

namespace agatedale {

std::string_view outcomeName(attempt_outcome Outcome) {
  switch (Outcome) {
  case attempt_outcome::Answered:
    return "answered";
  case attempt_outcome::ErrorAnswer:
    return "error-answer";
  case attempt_outcome::Shed:
    return "shed";
  case attempt_outcome::Draining:
    return "draining";
  case attempt_outcome::WrongServer:
    return "wrong-server";
  case attempt_outcome::ConnectFailed:
    return "connect-failed";
  case attempt_outcome::NotSent:
    return "not-sent";
  case attempt_outcome::TooLate:
    return "too-late";
  case attempt_outcome::ConnectionLost:
    return "broke";
  case attempt_outcome::TimedOut:
    return "timed-out";
  case attempt_outcome::Truncated:
    return "truncated";
  case attempt_outcome::Cancelled:
    return "cancelled";
  case attempt_outcome::BodyIncomplete:
    return "body-incomplete";
  }
  return "unknown";
}

verdict verdictOf(attempt_outcome Outcome) {
  switch (Outcome) {
  case attempt_outcome::Answered:
  case attempt_outcome::ErrorAnswer:
    return verdict::Answered;
  case attempt_outcome::Shed:
  case attempt_outcome::Draining:
  case attempt_outcome::WrongServer:
  case attempt_outcome::ConnectFailed:
  case attempt_outcome::NotSent:
  case attempt_outcome::TooLate:
    return verdict::NotRun;
  case attempt_outcome::ConnectionLost:
  case attempt_outcome::TimedOut:
  case attempt_outcome::Truncated:
  case attempt_outcome::Cancelled:
  case attempt_outcome::BodyIncomplete:
    break;
  }
  return verdict::MayHaveRun;
}

refusal_reason reasonOf(attempt_outcome Outcome) {
  switch (Outcome) {
  case attempt_outcome::Shed:
  case attempt_outcome::Draining:
  case attempt_outcome::WrongServer:
    return refusal_reason::ServerShed;
  case attempt_outcome::ConnectFailed:
    return refusal_reason::ServerUnreachable;
  case attempt_outcome::NotSent:
    return refusal_reason::NotOwner;
  case attempt_outcome::TimedOut:
  case attempt_outcome::TooLate:
    return refusal_reason::DeadlinePassed;
  case attempt_outcome::Truncated:
    return refusal_reason::AnswerTruncated;
  case attempt_outcome::BodyIncomplete:
    return refusal_reason::BodyIncomplete;
  case attempt_outcome::Answered:
  case attempt_outcome::ErrorAnswer:
  case attempt_outcome::ConnectionLost:
  case attempt_outcome::Cancelled:
    break;
  }
  return refusal_reason::ServerBroke;
}

} // namespace agatedale
