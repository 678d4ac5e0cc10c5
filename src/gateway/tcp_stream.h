/// \file
/// Non-blocking TCP connection.
#pragma once

#include "agatedale/shared_body.h"
#include "event_loop.h"

#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace agatedale {

/// Why a stream ended.
enum class stream_end {
  ClosedByPeer, ///< The peer closed the connection in an orderly way.
  Reset,        ///< The connection was reset or timed out.
  NotConnected  ///< The connection was never established.
};

/// A TCP connection on an event loop. Buffers data that the socket does not
/// accept yet. No handler is called after close().
///
///   auto Stream = tcp_stream::connect(Loop, Address, Handlers);
///   Stream->send(Bytes);
class tcp_stream : public std::enable_shared_from_this<tcp_stream> {
public:
  struct handlers {
    std::function<void()> Connected;
    std::function<void(std::string_view Bytes)> Received;
    /// All that has arrived for now was handed over, and the stream goes on.
    std::function<void()> ReadDone;
    std::function<void(stream_end End)> Ended;
    std::function<void()> Flushed; ///< The socket has accepted all data.
    /// The socket has accepted data that had to wait.
    std::function<void()> Advanced;
  };

  static std::shared_ptr<tcp_stream>
  connect(event_loop &Loop, const Poco::Net::SocketAddress &Address,
          handlers Handlers);
  /// Takes over an accepted connection, whose first bytes did not arrive before
  /// \p UnreadSince.
  static std::shared_ptr<tcp_stream> accept(event_loop &Loop,
                                            const Poco::Net::StreamSocket &Peer,
                                            time_point UnreadSince,
                                            handlers Handlers);
  ~tcp_stream();

  void send(std::string Bytes);

  /// Sends \p Head and \p Body, which is not copied.
  void send(std::string Head, shared_body Body);

  /// Reads what has arrived, without waiting for the event loop's next turn.
  void readNow();

  /// Hands over what has arrived. An end of the stream that is found is left
  /// for the event loop, and ReadDone is not called.
  void readAhead();

  /// Pauses or resumes reading, to apply backpressure to the peer.
  void pauseReading(bool Pause);

  /// Closes the connection immediately and discards unsent data.
  void close();

  /// Shuts down the sending side once all data is sent. Reading continues:
  /// bytes that arrive on a closed socket would cause a reset, and the peer
  /// would lose data that it has not read yet.
  void finishSending();

  bool isConnected() const { return Connected; }
  bool isClosed() const { return Closed; }
  bool hasUnsent() const { return !Unsent.empty(); }

  std::size_t unsentBytes() const { return UnsentBytes; }

  /// Returns the memory that unsent bytes take. A part is freed as a whole.
  std::size_t unsentMemory() const { return UnsentBytes + UnsentOffset; }

  /// Returns the address of the peer, or an empty string.
  std::string peerAddress() const;

  /// Returns true if the peer's system has not confirmed all data.
  bool hasUndelivered() const { return undeliveredBytes() > 0; }

  /// Returns the number of bytes that the peer's system has not confirmed.
  std::size_t undeliveredBytes() const;

  /// Returns the number of received bytes that wait in the socket.
  std::size_t unreadBytes() const;

  /// Returns when the bytes that were read last arrived, as far as is known.
  time_point arrivedAt() const { return ArrivedAt; }

  /// Looks whether the peer has closed the connection, also behind bytes that
  /// are not read yet.
  bool hasPeerClosed() const;

  /// Returns the number of bytes that the socket has accepted.
  std::uint64_t bytesSent() const { return BytesSent; }

private:
  /// Bytes that wait to be sent: of this stream alone, or else shared.
  struct unsent_part {
    std::string Own;
    shared_body Shared;

    std::string_view view() const {
      return Shared.empty() ? std::string_view(Own) : Shared.view();
    }
  };

  tcp_stream(event_loop &Loop, handlers Handlers)
      : Loop(Loop), Handlers(std::move(Handlers)) {}

  void start(bool IsConnected);
  template <typename Handler> void runGuarded(const Handler &Run);
  void onReady(int Modes);
  void onConnected();
  void onReadable();
  std::optional<stream_end> readAvailable();
  time_point bytesSince() const;
  void noteUnread(time_point Since);
  void noteArrival(time_point Since);
  std::optional<duration> ageOfLastBytes() const;
  void append(std::string Bytes);
  void append(shared_body Bytes);
  void dropUnsent();
  void flush();
  std::size_t sendUnsent();
  void onSendFailed();
  void updateModes();
  void end(stream_end End);

  event_loop &Loop;
  handlers Handlers;
  Poco::Net::StreamSocket Socket;
  std::deque<unsent_part> Unsent; ///< Parts, none of them empty.
  std::size_t UnsentBytes = 0;
  std::size_t UnsentOffset = 0; ///< Bytes that were accepted of the first part.
  std::uint64_t BytesSent = 0;
  bool Connected = false;
  bool Closed = false;
  bool Paused = false;
  bool SendShutdownRequested = false;
  bool SendShutdownDone = false;
  bool SendFailed = false;
  int Modes = 0;
  time_point ArrivedAt{};
  /// None of the bytes that wait in the socket arrived before.
  std::optional<time_point> UnreadSince;
  /// Turn of the loop in which UnreadSince was noted. Bytes that wait are read
  /// in the next one.
  std::uint64_t UnreadTurn = 0;
};

} // namespace agatedale
