/// \file
/// Connections to backend servers.
#pragma once

#include "agatedale/server_group.h"
#include "forward.h"
#include "http_codec.h"
#include "tcp_stream.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace agatedale {

/// What became of one sending of a request.
struct call_result {
  attempt_outcome Outcome = attempt_outcome::NotSent;
  http_response_message Response; ///< When there is one to deliver.
  std::optional<server_report> Report;
};

class server_connection;

/// A request that was sent to a server and is not answered yet.
class server_call {
public:
  using done = std::function<void(call_result Result)>;

  /// Breaks the call off by closing its connection; done is not called.
  void cancel();

private:
  friend class server_connection;
  friend class server_pool;

  send_order Order;
  std::string RequestId;
  std::string Bytes;
  bool IsHeadRequest = false;
  bool IsLoadProbe = false; ///< Asks for the load; no caller waits for it.
  done Done;
  std::shared_ptr<server_connection> Connection;
  event_loop::timer_id Timer = 0;
};

/// Keeps idle connections to backend servers and sends one request at a time on
/// each. A connection on which anything unexpected arrived is closed; bytes
/// that come when no request waits belong to nobody.
///
///   auto Call = Pool.send(Order, Request, Done);
class server_pool {
public:
  explicit server_pool(event_loop &Loop) : Loop(Loop) {}

  std::shared_ptr<server_call> send(const send_order &Order,
                                    const forward_request &Request,
                                    server_call::done Done);

  /// Asks the server of \p Order for its load at \p Path.
  void probeLoad(const ask_order &Order, const std::string &Path,
                 server_call::done Done);

  std::uint64_t connectionsOpened() const { return ConnectionsOpened; }

private:
  friend class server_connection;

  void startCall(const std::shared_ptr<server_call> &Call);
  std::shared_ptr<server_connection> acquireIdle(const std::string &Address);
  void releaseIdle(const std::shared_ptr<server_connection> &Connection);
  void removeIdle(const server_connection *Connection);

  event_loop &Loop;
  std::map<std::string, std::vector<std::shared_ptr<server_connection>>> Idle;
  std::uint64_t ConnectionsOpened = 0;
};

} // namespace agatedale
