/// \file
/// Non-blocking reads and writes.
#include "tcp_stream.h"

#include "../core/log.h"

#include <Poco/Net/NetException.h>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace agatedale {

namespace {

using Poco::Net::PollSet;

constexpr std::size_t ReadBytes = 16 * 1024;

/// Unsent bytes up to this length are joined to one part.
constexpr std::size_t MaxJoinedBytes = 64 * 1024;

/// Maximum number of bytes of one call to the system.
constexpr std::size_t MaxSendBytes = 1 << 30;

/// Maximum number of consecutive reads before other connections are served.
constexpr int MaxReadsInRow = 8;

// The kernel detects an unreachable peer within about 4 s.
constexpr int KeepAliveIdleSeconds = 2;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

/// Returns true if \p Failure only says that a non-blocking call has to be
/// repeated later. POCO reports this as an exception for sends.
bool isTemporary(const Poco::Exception &Failure) {
  return Failure.code() == EAGAIN || Failure.code() == EWOULDBLOCK ||
         Failure.code() == EINTR;
}

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
                   time_point UnreadSince, handlers Handlers) {
  std::shared_ptr<tcp_stream> Stream(new tcp_stream(Loop, std::move(Handlers)));
  Stream->Socket = Peer;
  Stream->noteUnread(UnreadSince);
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
    const std::shared_ptr<tcp_stream> Stream = Weak.lock();
    if (Stream)
      Stream->runGuarded([&Stream, Ready] { Stream->onReady(Ready); });
  });
}

/// Runs \p Run. After an exception the state of the connection is not known any
/// more, so that only this connection ends.
template <typename Handler> void tcp_stream::runGuarded(const Handler &Run) {
  try {
    Run();
  } catch (const std::exception &Failure) {
    logLine(log_level::Error, "connection-failed", {{"why", Failure.what()}});
    end(stream_end::Reset);
  }
}

void tcp_stream::updateModes() {
  if (Closed)
    return;
  const bool WantsWrite = !Connected || hasUnsent();
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
  if (Closed)
    return;
  // A reset is reported until the socket is closed, also while nothing is read.
  if (Paused && (Ready & PollSet::POLL_ERROR))
    end(stream_end::Reset);
  else if (Ready & (PollSet::POLL_READ | PollSet::POLL_ERROR))
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
  if (const std::optional<stream_end> End = readAvailable())
    end(*End);
  else if (!Closed && Handlers.ReadDone)
    Handlers.ReadDone();
}

void tcp_stream::readAhead() {
  const std::shared_ptr<tcp_stream> Self = shared_from_this();
  if (Connected && !Closed)
    runGuarded([this] { readAvailable(); });
}

/// Hands over what has arrived. Returns the end of the stream if it is reached.
std::optional<stream_end> tcp_stream::readAvailable() {
  const time_point Since = bytesSince();
  // Others may have cancelled or ended in a late turn what they sent before, so
  // that it is read to the last byte.
  const bool ReadsToLast = Loop.turnClock().isLate(bootNow());
  std::array<char, ReadBytes> Buffer; // NOLINT: filled by receiveBytes
  for (int I = 0; I < MaxReadsInRow && !Closed && !Paused; ++I) {
    int Count = 0;
    try {
      Count = Socket.receiveBytes(Buffer.data(), Buffer.size());
    } catch (const Poco::Exception &Failure) {
      return isTemporary(Failure) ? std::nullopt
                                  : std::optional(stream_end::Reset);
    }
    if (Count < 0) {
      UnreadSince.reset();
      return std::nullopt;
    }
    // A failed send consumes the socket's error, so that a reset connection
    // reads like one that was closed in an orderly way.
    if (Count == 0)
      return SendFailed ? stream_end::Reset : stream_end::ClosedByPeer;
    noteArrival(Since);
    const bool IsAllRead = static_cast<std::size_t>(Count) < Buffer.size();
    if (IsAllRead)
      UnreadSince.reset();
    else
      noteUnread(Since);
    Handlers.Received({Buffer.data(), static_cast<std::size_t>(Count)});
    if (IsAllRead && !ReadsToLast)
      return std::nullopt;
  }
  return std::nullopt;
}

/// Returns a time before which none of the bytes arrived that are read now.
time_point tcp_stream::bytesSince() const {
  const turn_clock &Clock = Loop.turnClock();
  const bool HaveWaited = UnreadSince && Clock.turns() <= UnreadTurn + 1;
  return HaveWaited ? std::min(*UnreadSince, Clock.eventsSince())
                    : Clock.eventsSince();
}

void tcp_stream::noteUnread(time_point Since) {
  UnreadSince = Since;
  UnreadTurn = Loop.turnClock().turns();
}

/// Notes when the bytes arrived that were just read.
void tcp_stream::noteArrival(time_point Since) {
  const time_point Now = bootNow();
  const bool IsLate = Now - Since > turn_clock::LateAfter;
  ArrivedAt =
      estimateArrival(Since, Now, IsLate ? ageOfLastBytes() : std::nullopt);
}

std::optional<duration> tcp_stream::ageOfLastBytes() const {
  tcp_info Info{};
  socklen_t Length = sizeof(Info);
  const bool IsRead = ::getsockopt(Socket.impl()->sockfd(), IPPROTO_TCP,
                                   TCP_INFO, &Info, &Length) == 0;
  // Some systems do not count the time and always report zero.
  if (!IsRead || Info.tcpi_last_data_recv == 0)
    return std::nullopt;
  return std::chrono::milliseconds(Info.tcpi_last_data_recv);
}

bool tcp_stream::hasPeerClosed() const {
  if (Closed)
    return true;
  pollfd Poll{Socket.impl()->sockfd(), POLLIN | POLLRDHUP, 0};
  if (::poll(&Poll, 1, 0) <= 0)
    return false;
  if (Poll.revents & (POLLRDHUP | POLLHUP | POLLERR))
    return true;
  char Next = 0;
  return (Poll.revents & POLLIN) &&
         ::recv(Poll.fd, &Next, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void tcp_stream::readNow() {
  const std::shared_ptr<tcp_stream> Self = shared_from_this();
  if (Connected && !Closed)
    runGuarded([this] { onReadable(); });
}

std::size_t tcp_stream::undeliveredBytes() const {
  if (Closed)
    return 0;
  int Unconfirmed = 0;
  if (::ioctl(Socket.impl()->sockfd(), TIOCOUTQ, &Unconfirmed) != 0)
    Unconfirmed = 0;
  return unsentBytes() + static_cast<std::size_t>(std::max(Unconfirmed, 0));
}

std::size_t tcp_stream::unreadBytes() const {
  if (Closed)
    return 0;
  try {
    return static_cast<std::size_t>(std::max(Socket.available(), 0));
  } catch (const Poco::Exception &) {
    return 0; // The connection is broken; its end is reported when it is read.
  }
}

std::string tcp_stream::peerAddress() const {
  try {
    return Closed ? std::string() : Socket.peerAddress().toString();
  } catch (const Poco::Exception &) {
    return {}; // The connection is broken.
  }
}

/// Queues \p Bytes. Short ones are joined to the last part, so that they leave
/// in one packet.
void tcp_stream::append(std::string Bytes) {
  if (Bytes.empty())
    return;
  UnsentBytes += Bytes.size();
  const bool IsJoined =
      !Unsent.empty() && Unsent.back().Shared.empty() &&
      Unsent.back().Own.size() + Bytes.size() <= MaxJoinedBytes;
  if (IsJoined)
    Unsent.back().Own.append(Bytes);
  else
    Unsent.push_back({std::move(Bytes), {}});
}

void tcp_stream::append(shared_body Bytes) {
  if (Bytes.empty())
    return;
  UnsentBytes += Bytes.size();
  Unsent.push_back({{}, std::move(Bytes)});
}

void tcp_stream::dropUnsent() {
  Unsent.clear();
  Unsent.shrink_to_fit();
  UnsentBytes = 0;
  UnsentOffset = 0;
}

void tcp_stream::send(std::string Bytes) {
  if (Closed || SendShutdownDone || SendFailed)
    return;
  append(std::move(Bytes));
  if (Connected)
    flush();
}

void tcp_stream::send(std::string Head, shared_body Body) {
  if (Closed || SendShutdownDone || SendFailed)
    return;
  append(std::move(Head));
  append(std::move(Body));
  if (Connected)
    flush();
}

std::size_t tcp_stream::sendUnsent() {
  std::size_t Sent = 0;
  while (hasUnsent()) {
    const std::string_view Part = Unsent.front().view().substr(UnsentOffset);
    int Count = 0;
    try {
      Count = Socket.sendBytes(
          Part.data(),
          static_cast<int>(std::min<std::size_t>(Part.size(), MaxSendBytes)),
          MSG_NOSIGNAL);
    } catch (const Poco::Exception &Failure) {
      if (!isTemporary(Failure))
        onSendFailed();
      break;
    }
    if (Count <= 0)
      break;
    const auto Accepted = static_cast<std::size_t>(Count);
    Sent += Accepted;
    UnsentBytes -= Accepted;
    UnsentOffset += Accepted;
    if (Accepted == Part.size()) {
      Unsent.pop_front();
      UnsentOffset = 0;
    }
  }
  BytesSent += Sent;
  return Sent;
}

void tcp_stream::onSendFailed() {
  SendFailed = true;
  dropUnsent();
  // The peer may have answered before it closed the connection.
  Loop.post([Weak = weak_from_this()] {
    const std::shared_ptr<tcp_stream> Stream = Weak.lock();
    if (!Stream || Stream->Closed)
      return;
    Stream->onReadable();
    Stream->end(stream_end::Reset);
  });
}

void tcp_stream::flush() {
  if (Closed)
    return;
  const std::shared_ptr<tcp_stream> Self = shared_from_this();
  const std::size_t Sent = sendUnsent();
  if (SendFailed)
    return;
  if (!hasUnsent() && SendShutdownRequested && !SendShutdownDone) {
    SendShutdownDone = true;
    try {
      Socket.shutdownSend();
    } catch (const Poco::Exception &) {
      end(stream_end::Reset);
      return;
    }
  }
  updateModes();
  if (Sent == 0)
    return;
  if (Handlers.Advanced)
    Handlers.Advanced();
  if (!Closed && !hasUnsent() && Handlers.Flushed)
    Handlers.Flushed();
}

void tcp_stream::finishSending() {
  SendShutdownRequested = true;
  if (Connected)
    flush();
}

void tcp_stream::pauseReading(bool Pause) {
  if (Pause && !Paused && !UnreadSince)
    UnreadSince = bootNow();
  else if (!Pause && Paused && UnreadSince)
    noteUnread(*UnreadSince);
  Paused = Pause;
  updateModes();
}

void tcp_stream::close() {
  if (Closed)
    return;
  Closed = true;
  dropUnsent();
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
