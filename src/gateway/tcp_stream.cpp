/// \file
/// Non-blocking reads and writes.
#include "tcp_stream.h"

#include <Poco/Net/NetException.h>

#include <netinet/tcp.h>

#include <array>

namespace agatedale {

namespace {

using Poco::Net::PollSet;

constexpr std::size_t ReadBytes = 16 * 1024;

/// Maximum number of consecutive reads before other connections are served.
constexpr int MaxReadsInRow = 8;

// The kernel detects an unreachable peer within about 4 s.
constexpr int KeepAliveIdleSeconds = 2;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

void configure(Poco::Net::StreamSocket &Socket) {
  Socket.setBlocking(false);
  Socket.setNoDelay(true);
  Socket.setKeepAlive(true);
  Socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  Socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  Socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

} // namespace

std::shared_ptr<tcp_stream>
tcp_stream::connect(event_loop &Loop, const Poco::Net::SocketAddress &Address,
                    handlers Handlers) {
  std::shared_ptr<tcp_stream> Stream(new tcp_stream(Loop, std::move(Handlers)));
  try {
    Stream->Socket.connectNB(Address);
    configure(Stream->Socket);
    Stream->start(false);
  } catch (const Poco::Exception &) {
    // Reported asynchronously, like any other failed connection.
    Loop.post([Stream] { Stream->end(stream_end::NotConnected); });
  }
  return Stream;
}

std::shared_ptr<tcp_stream>
tcp_stream::accept(event_loop &Loop, const Poco::Net::StreamSocket &Peer,
                   handlers Handlers) {
  std::shared_ptr<tcp_stream> Stream(new tcp_stream(Loop, std::move(Handlers)));
  Stream->Socket = Peer;
  configure(Stream->Socket);
  Stream->start(true);
  return Stream;
}

tcp_stream::~tcp_stream() { close(); }

void tcp_stream::start(bool IsConnected) {
  Connected = IsConnected;
  Modes = PollSet::POLL_READ | PollSet::POLL_ERROR |
          (Connected ? 0 : PollSet::POLL_WRITE);
  const std::weak_ptr<tcp_stream> Weak = weak_from_this();
  Loop.watch(Socket, Modes, [Weak](int Ready) {
    if (const std::shared_ptr<tcp_stream> Stream = Weak.lock())
      Stream->onReady(Ready);
  });
}

void tcp_stream::updateModes() {
  if (Closed)
    return;
  const bool WantsWrite = !Connected || !Unsent.empty();
  const int Wanted = (Paused ? 0 : PollSet::POLL_READ) | PollSet::POLL_ERROR |
                     (WantsWrite ? PollSet::POLL_WRITE : 0);
  if (Wanted == Modes)
    return;
  Modes = Wanted;
  Loop.setModes(Socket, Modes);
}

void tcp_stream::onReady(int Ready) {
  if (!Connected) {
    onConnected();
    return;
  }
  if (Ready & PollSet::POLL_WRITE)
    flush();
  if (!Closed && (Ready & (PollSet::POLL_READ | PollSet::POLL_ERROR)))
    onReadable();
}

void tcp_stream::onConnected() {
  int Failure = 0;
  try {
    Socket.getOption(SOL_SOCKET, SO_ERROR, Failure);
  } catch (const Poco::Exception &Error) {
    Failure = Error.code() ? Error.code() : -1;
  }
  if (Failure != 0) {
    end(stream_end::NotConnected);
    return;
  }
  Connected = true;
  const std::shared_ptr<tcp_stream> Self = shared_from_this();
  if (Handlers.Connected)
    Handlers.Connected();
  flush();
}

void tcp_stream::onReadable() {
  const std::shared_ptr<tcp_stream> Self = shared_from_this();
  std::array<char, ReadBytes> Buffer; // NOLINT: filled by receiveBytes
  for (int I = 0; I < MaxReadsInRow && !Closed && !Paused; ++I) {
    int Count = 0;
    try {
      Count = Socket.receiveBytes(Buffer.data(), Buffer.size());
    } catch (const Poco::Exception &) {
      end(stream_end::Reset);
      return;
    }
    if (Count < 0)
      return;
    if (Count == 0) {
      end(stream_end::ClosedByPeer);
      return;
    }
    Handlers.Received({Buffer.data(), static_cast<std::size_t>(Count)});
    if (static_cast<std::size_t>(Count) < Buffer.size())
      return;
  }
}

void tcp_stream::send(std::string_view Bytes) {
  if (Closed || SendShutdownDone)
    return;
  Unsent.append(Bytes);
  if (Connected)
    flush();
}

void tcp_stream::flush() {
  const std::shared_ptr<tcp_stream> Self = shared_from_this();
  std::size_t Done = 0;
  while (!Closed && Done < Unsent.size()) {
    int Count = 0;
    try {
      Count = Socket.sendBytes(Unsent.data() + Done,
                               static_cast<int>(Unsent.size() - Done),
                               MSG_NOSIGNAL);
    } catch (const Poco::Exception &) {
      end(stream_end::Reset);
      return;
    }
    if (Count <= 0)
      break;
    Done += static_cast<std::size_t>(Count);
  }
  BytesSent += Done;
  Unsent.erase(0, Done);
  if (Closed)
    return;
  if (Unsent.empty() && SendShutdownRequested && !SendShutdownDone) {
    SendShutdownDone = true;
    try {
      Socket.shutdownSend();
    } catch (const Poco::Exception &) {
      end(stream_end::Reset);
      return;
    }
  }
  updateModes();
  if (Unsent.empty() && Done > 0 && Handlers.Flushed)
    Handlers.Flushed();
}

void tcp_stream::finishSending() {
  SendShutdownRequested = true;
  if (Connected)
    flush();
}

void tcp_stream::pauseReading(bool Pause) {
  Paused = Pause;
  updateModes();
}

void tcp_stream::close() {
  if (Closed)
    return;
  Closed = true;
  Loop.unwatch(Socket);
  Socket.close();
}

void tcp_stream::end(stream_end End) {
  if (Closed)
    return;
  close();
  // Copied because the handler may destroy this stream.
  const auto Ended = Handlers.Ended;
  if (Ended)
    Ended(Connected ? End : stream_end::NotConnected);
}

} // namespace agatedale
