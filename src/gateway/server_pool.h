/// \file
/// Connection pool for backend servers.
#pragma once

#include "agatedale/byte_budget.h"
#include "agatedale/server_group.h"
#include "forward.h"
#include "framing_fault.h"
#include "http_codec.h"
#include "tcp_stream.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace agatedale {

/// The result of one attempt to send a request to a server.
struct call_result {
  attempt_outcome Outcome = attempt_outcome::NotSent;
  http_response_message Response; ///< Empty unless a response was received.
  std::optional<server_report> Report;
  bool SaidLeaving = false; ///< In any response, also one that broke off.
  /// The time without requests that a refusal asked for.
  std::optional<duration> RetryAfter;
};

class server_connection;

/// A request that is being sent to a server or waits for its response.
class server_call {
public:
  using done = std::function<void(call_result Result)>;

  /// Cancels the call by closing its connection. The done handler is not
  /// called.
  void cancel();

private:
  friend class server_connection;
  friend class server_pool;

  send_action Order;
  std::string RequestId;
  time_point RequestDeadline;   ///< The request is not sent again afterwards.
  http_request_message Message; ///< Until it is sent.
  /// Returns false if nobody waits for the answer any more; may be empty.
  std::function<bool()> IsWanted;
  std::function<std::string_view()> ReasonNotToSend; ///< May be empty.
  bool IsHeadRequest = false;
  bool IsLoadProbe = false; ///< A load query, not a caller's request.
  done Done;
  std::shared_ptr<server_connection> Connection;
  event_loop::timer_id Timer = 0;
};

/// Keeps idle connections to backend servers and sends one request at a time on
/// each. A connection that receives unexpected data is closed: bytes that
/// arrive while no request is in progress cannot be matched to a request. A
/// request is not sent again on a connection on which it was refused, because a
/// copy of the refusal would match it. A request whose deadline has passed when
/// it could be sent, or whose caller has left, is not sent.
///
///   auto Call = Pool.send(Order, Request, Done);
class server_pool {
public:
  /// Takes the memory for the bodies of responses from \p Budget. A response
  /// of a known length is not read on until there is room for all of it, so
  /// that each one that was begun is finished. If one of unknown length does
  /// not fit, the largest response that is being received is dropped, so that a
  /// server which sends without end does not cost the responses of others.
  server_pool(event_loop &Loop, std::shared_ptr<byte_budget> Budget)
      : Loop(Loop), Budget(std::move(Budget)) {}

  /// \p ReasonNotToSend is asked right before the request is sent; it is not
  /// sent if the result is not empty.
  std::shared_ptr<server_call>
  send(const send_action &Order, const forward_request &Request,
       server_call::done Done,
       std::function<std::string_view()> ReasonNotToSend = nullptr);

  /// Queries the load of the server in \p Order at \p Path.
  void probeLoad(const load_query_action &Order, const std::string &Path,
                 server_call::done Done);

  std::uint64_t connectionsOpened() const { return ConnectionsOpened; }

  /// Returns how many responses could not be decoded.
  const fault_counts &malformedResponses() const { return Malformed; }

private:
  friend class server_connection;

  void startCall(const std::shared_ptr<server_call> &Call);
  std::shared_ptr<server_connection> acquireIdle(const server_call &Call);
  void releaseIdle(const std::shared_ptr<server_connection> &Connection);
  void removeIdle(const server_connection *Connection);
  std::shared_ptr<server_connection> largestResponse() const;

  void waitForRoom(const std::shared_ptr<server_connection> &Connection);
  void armRoomTimer();
  void resumeWaiting();

  event_loop &Loop;
  std::shared_ptr<byte_budget> Budget;
  /// Connections that are not read until there is room, in order of arrival.
  std::vector<std::weak_ptr<server_connection>> Waiting;
  std::map<std::string, std::vector<std::shared_ptr<server_connection>>> Idle;
  /// The connections with a call.
  std::set<std::shared_ptr<server_connection>> Receiving;
  std::uint64_t ConnectionsOpened = 0;
  fault_counts Malformed{};
  /// Expires with this object, for a timer that may run later.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace agatedale
