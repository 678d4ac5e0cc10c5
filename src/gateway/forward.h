/// \file
/// A request that is forwarded to a server group, and its response.
#pragma once

#include "agatedale/finish_limit.h"
#include "agatedale/http_message.h"
#include "agatedale/leaving_servers.h"
#include "agatedale/server_group.h"
#include "agatedale/verdict.h"

#include <functional>
#include <optional>
#include <string>

namespace agatedale {

/// A caller's request with the parameters for dispatching it in a server group.
struct forward_request {
  std::string Id; ///< Assigned by the caller; used in logs and responses.
  group_id Group;
  std::string Route;
  std::string Account;   ///< Empty if the configuration has no accounts.
  int AccountWeight = 1; ///< Share of the account among others.
  /// Time as of which the configuration that admitted the request is proven to
  /// be in force; zero if no proof is needed.
  time_point ConfigurationAsOf{};
  http_request_message Message;
  time_point ArrivedAt; ///< At the first VM, in this VM's time.
  time_point Deadline;
  time_point Aim{}; ///< No latency target if zero.
  int Priority = 0;
  bool Idempotent = false;
  int MaxAttempts = 1;
  int AttemptsBefore = 0; ///< Attempts made by other groups.
  int OffersBefore = 0;   ///< Number of groups that have refused the request.
  bool Relayed = false;   ///< A VM has already relayed it to the owner.
  /// It comes from another region: the receiver may offer it to other groups of
  /// its own region.
  bool IsReroutable = false;
  finish_limit Finish; ///< Of the VMs that wait for the response.
  /// Looks whether the caller has left or the peer has cancelled the request.
  /// Returns false if so; may be empty.
  std::function<bool()> IsWanted;
};

/// A server's response, or a refusal with its reason and whether the request
/// may have run.
struct forward_response {
  verdict Verdict = verdict::NotRun;
  refusal_reason Reason = refusal_reason::None;
  http_response_message Response;
  duration RetryAfter{}; ///< Time until the group expects to have capacity.
  int Attempts = 0;      ///< Number of servers that the request was sent to.
  std::string Server;
  std::optional<group_load> Load;
  std::optional<group_id> Group; ///< If it is not the one that was asked.
};

using forward_callback = std::function<void(forward_response Response)>;

/// Identifies a request inside one process.
using forward_ticket = std::uint64_t;

} // namespace agatedale
