/// \file
/// Listening socket for callers' connections.
#pragma once

#include "caller_connection.h"

#include <Poco/Net/ServerSocket.h>

#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace agatedale {

/// Listens on an address and keeps the connections accepted on it.
///
///   auto Listener = listener::open(Loop, "10.0.0.1:8080", Serve);
class listener {
public:
  using serve = std::function<void(std::shared_ptr<caller_exchange>)>;

  static result<std::unique_ptr<listener>>
  open(event_loop &Loop, const std::string &Address, serve Serve);
  ~listener();

  void setLimits(const caller_limits &Limits) { Context->Limits = Limits; }

  /// Limits the memory for what all connections hold together.
  void setBudget(std::shared_ptr<byte_budget> Budget) {
    Context->Budget = std::move(Budget);
  }

  /// Limits the number of connections. When it is reached, those that have been
  /// idle for the longest time are closed for new ones.
  /// Accounts have equal shares of seven eighths of them; nothing is shared
  /// while no connection has an account.
  void setMaxConnections(std::size_t Count);

  /// Sets what finds the account of a request while its body is received; see
  /// caller_connection::context.
  void setAccountFinder(
      std::function<std::optional<std::string>(const request_decoder &)>
          Finder) {
    Context->AccountOf = std::move(Finder);
  }

  /// Closes the connection whose memory would be in use for the longest time at
  /// the pace of its caller. Returns false if none is slow.
  bool closeSlowest();

  /// Accepts the connections that wait and closes the listening socket, so that
  /// the system refuses later ones. Requests that follow others on a connection
  /// are not read any more.
  void stopAccepting();

  /// Reads what has arrived on every connection.
  void readAll();

  /// Closes every connection, whatever it is doing.
  void closeAll();

  /// From now on each connection closes after the response to its last request.
  void closeAfterResponses() { Context->Stopping = true; }
  void closeIdle();
  std::size_t connections() const { return Open.size(); }

  /// Returns the sum of what all connections hold.
  caller_connection::held_bytes heldBytes() const;
  const caller_connection::request_counts &counts() const {
    return Context->Counts;
  }

private:
  listener(event_loop &Loop, serve Serve);
  void acceptReady();
  bool acceptNext(time_point Since);
  bool closeLongestIdle();
  bool
  closeIdleAboveShare(std::vector<std::shared_ptr<caller_connection>> Idle);
  bool hasTooManyConnections(const std::string &Account) const;
  caller_connection::body_room makeBodyRoom(const caller_connection &For,
                                            std::size_t More);
  void pauseAccepting();

  event_loop &Loop;
  Poco::Net::ServerSocket Socket;
  std::shared_ptr<caller_connection::context> Context;
  std::set<std::shared_ptr<caller_connection>> Open;
  bool Accepts = true;
  bool IsPaused = false; ///< Nothing is accepted for a moment.
  std::size_t MaxConnections = std::numeric_limits<std::size_t>::max();
  time_point NoSlowUntil{}; ///< No connection was slow a moment ago.
  /// Connections wait to be accepted, and none was made before.
  std::optional<time_point> BacklogSince;
  /// Expires with this object, for a timer that may run later.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace agatedale
