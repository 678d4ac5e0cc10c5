/// \file
/// HTTP client sessions that tell how an answer ended.
#pragma once

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <memory>

namespace agatedale {

class observed_socket;

/// A connected client session that reports whether its connection has ended.
/// The readers of POCO take the end of a connection, and a failed receive, for
/// the end of an answer's head or of its chunks.
///
///   const auto Session = observed_session::connect(Address, Timeout);
///   std::istream &Body = Session->receiveResponse(Response);
///   if (Session->hasEnded()) // The head is not complete.
class observed_session : public Poco::Net::HTTPClientSession {
public:
  /// Throws POCO's exceptions if there is no connection within \p Timeout.
  static std::unique_ptr<observed_session>
  connect(const Poco::Net::SocketAddress &Address,
          const Poco::Timespan &Timeout);

  /// Returns true if a receive failed or found the end of the connection.
  bool hasEnded() const;

  /// Returns true if nothing was received behind an empty last chunk. Valid
  /// after a chunked body was read.
  bool endsWithLastChunk() const;

  /// Returns true if bytes were received that no answer has used.
  bool hasUnreadBytes() const { return buffered() > 0; }

private:
  explicit observed_session(observed_socket *Socket);

  const observed_socket *Observed; ///< Owned by the session's socket.
};

} // namespace agatedale
