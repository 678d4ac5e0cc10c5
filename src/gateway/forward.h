/// \file
/// A request on its way to a server group, and what comes back.
#pragma once

#include "agatedale/http_message.h"
#include "agatedale/server_group.h"
#include "agatedale/verdict.h"

#include <functional>
#include <optional>
#include <string>

namespace agatedale {

/// A caller's request with what the dispatcher of a server group must know.
struct forward_request {
  std::string Id; ///< The caller's name for it; for logs and answers.
  group_id Group;
  std::string Route;
  http_request_message Message;
  time_point Deadline;
  time_point Aim{}; ///< None when zero.
  int Priority = 0;
  bool Idempotent = false;
  int MaxAttempts = 1;
  int AttemptsBefore = 0; ///< Servers that other groups sent it to.
  int OffersBefore = 0;   ///< Groups that refused it.
  bool Relayed = false;   ///< A VM passed it on to the owner already.
};

/// A server's answer, or a refusal with what is known about the request.
struct forward_response {
  verdict Verdict = verdict::NotRun;
  refusal_reason Reason = refusal_reason::None;
  http_response_message Response;
  duration RetryAfter{}; ///< When the group expects to have room again.
  int Attempts = 0;      ///< Servers that were sent the request.
  std::string Server;
  std::optional<group_load> Load;
};

using forward_callback = std::function<void(forward_response Response)>;

/// Names a request inside one process.
using forward_ticket = std::uint64_t;

} // namespace agatedale
