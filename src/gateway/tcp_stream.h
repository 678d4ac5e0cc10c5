/// \file
/// A connection that never blocks.
#pragma once

#include "event_loop.h"

#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace agatedale {

/// Why a stream ended.
enum class stream_end {
  ClosedByPeer, ///< The other side finished in order.
  Reset,        ///< Broken off, or lost.
  NotConnected  ///< The connection was never made.
};

/// A TCP connection on an event loop with a buffer for what the socket does not
/// take yet. Nothing is called after close().
///
///   auto Stream = tcp_stream::connect(Loop, Address, Handlers);
///   Stream->send(Bytes);
class tcp_stream : public std::enable_shared_from_this<tcp_stream> {
public:
  struct handlers {
    std::function<void()> Connected;
    std::function<void(std::string_view Bytes)> Received;
    std::function<void(stream_end End)> Ended;
    std::function<void()> Flushed; ///< Everything was taken by the socket.
  };

  static std::shared_ptr<tcp_stream>
  connect(event_loop &Loop, const Poco::Net::SocketAddress &Address,
          handlers Handlers);
  static std::shared_ptr<tcp_stream> accept(event_loop &Loop,
                                            const Poco::Net::StreamSocket &Peer,
                                            handlers Handlers);
  ~tcp_stream();

  void send(std::string_view Bytes);

  /// Stops or goes on reading, so that a peer can be slowed down.
  void pauseReading(bool Pause);

  /// Closes at once; what is not sent yet is dropped.
  void close();

  /// Closes the sending side once everything is sent. Reading goes on, so that
  /// bytes under way do not reset what the peer has not read yet.
  void finishSending();

  bool isConnected() const { return Connected; }
  bool isClosed() const { return Closed; }
  bool hasUnsent() const { return !Unsent.empty(); }

  /// Returns how many bytes the socket has taken.
  std::uint64_t bytesSent() const { return BytesSent; }

private:
  tcp_stream(event_loop &Loop, handlers Handlers)
      : Loop(Loop), Handlers(std::move(Handlers)) {}

  void start(bool IsConnected);
  void onReady(int Modes);
  void onConnected();
  void onReadable();
  void flush();
  void updateModes();
  void end(stream_end End);

  event_loop &Loop;
  handlers Handlers;
  Poco::Net::StreamSocket Socket;
  std::string Unsent;
  std::uint64_t BytesSent = 0;
  bool Connected = false;
  bool Closed = false;
  bool Paused = false;
  bool SendShutdownRequested = false;
  bool SendShutdownDone = false;
  int Modes = 0;
};

} // namespace agatedale
