/// \file
/// Connections to backend servers and one attempt over one of them.
#pragma once

#include "../http/observed_session.h"
#include "agatedale/server_group.h"
#include "request.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace agatedale {

/// One connection to one backend server. It carries one attempt at a time and
/// is never reused after an attempt that was abandoned.
class backend_connection {
public:
  /// Connects to "ip:port"; the error means that nothing was sent.
  static result<std::shared_ptr<backend_connection>>
  open(const std::string &Address, duration Timeout);

  /// Breaks off a running attempt from another thread: closes the sending
  /// side, upon which the server stops and closes its own.
  void cancel();
  bool cancelled() const { return Cancelled.load(); }

  /// Returns true if the server closed the connection or sent something
  /// unasked.
  bool isStale();

  /// Bounds the next receives and sends.
  void setTimeout(duration Timeout);

  observed_session &session() { return *Session; }
  time_point lastUsed() const { return LastUsed; }
  void touch(time_point Now) { LastUsed = Now; }

private:
  explicit backend_connection(std::unique_ptr<observed_session> NewSession);

  std::unique_ptr<observed_session> Session;
  std::atomic<bool> Cancelled{false};
  time_point LastUsed;
};

/// Idle connections to the backend servers of one group.
///
///   auto Opened = Pool.take("127.0.0.1:9001", Request.Idempotent, Timeout);
///   ... one attempt ...
///   Pool.giveBack("127.0.0.1:9001", valueOf(Opened));
class connection_pool {
public:
  /// Keeps at most \p MaxIdle idle connections to each server.
  explicit connection_pool(std::size_t MaxIdle) : MaxIdle(MaxIdle) {}

  /// Returns an idle connection or opens one. A request that is not idempotent
  /// gets one that was alive within ProvenAlive, or a new one. \p FoundClosed
  /// is set when the server has closed an idle connection, as one that was
  /// restarted has.
  result<std::shared_ptr<backend_connection>> take(const std::string &Address,
                                                   bool Idempotent,
                                                   duration Timeout,
                                                   bool &FoundClosed);

  /// Keeps a connection whose attempt ended with a whole answer.
  void giveBack(const std::string &Address,
                std::shared_ptr<backend_connection> Connection);

  /// Closes every idle connection to \p Address: one beside them went silent.
  void condemn(const std::string &Address);

private:
  static constexpr duration ProvenAlive = std::chrono::seconds(1);
  static constexpr duration IdleTime = std::chrono::seconds(30);

  std::shared_ptr<backend_connection>
  takeIdle(const std::string &Address, bool Idempotent, bool &FoundClosed);

  std::size_t MaxIdle;
  std::mutex Lock;
  std::map<std::string, std::vector<std::shared_ptr<backend_connection>>> Idle;
};

/// What an attempt asks of its surroundings.
struct attempt_hooks {
  std::function<bool()> MaySend;    ///< The right to send, asked right before.
  std::function<void()> BodyBegins; ///< The streamed body is about to be used.
  std::function<bool()> MayStream;  ///< A large answer may go to the writer.
};

/// How one attempt ended.
struct attempt_result {
  attempt_outcome Outcome = attempt_outcome::ConnectionLost;
  node_answer Answer; ///< When Answered, ErrorAnswer, Shed or Draining.
};

/// Sends \p Request over \p Connection and reads the answer. An answer of at
/// most \p BufferBytes is held whole, a larger one goes to \p Writer.
attempt_result runAttempt(backend_connection &Connection,
                          const send_action &Order, const node_request &Request,
                          const attempt_hooks &Hooks,
                          const answer_writer *Writer,
                          std::int64_t BufferBytes);

} // namespace agatedale
