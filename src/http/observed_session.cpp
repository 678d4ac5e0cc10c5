/// \file
/// Observes the receives of a client session.
#include "observed_session.h"

#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <algorithm>
#include <string>
#include <string_view>

namespace agatedale {

namespace {

/// The last chunk behind the end of a line, without trailers.
constexpr std::string_view LastChunk = "\r\n0\r\n\r\n";

} // namespace

/// A socket that remembers the last bytes that it received, and its end.
class observed_socket : public Poco::Net::StreamSocketImpl {
public:
  using StreamSocketImpl::receiveBytes;

  int receiveBytes(void *Buffer, int Length, int Flags) override {
    int Count = 0;
    try {
      Count = StreamSocketImpl::receiveBytes(Buffer, Length, Flags);
    } catch (...) {
      Ended = true;
      throw;
    }
    if (Count <= 0) {
      Ended = true;
      return Count;
    }
    const auto Received = static_cast<std::size_t>(Count);
    const std::size_t Kept = std::min(Received, LastChunk.size());
    Tail.append(static_cast<const char *>(Buffer) + (Received - Kept), Kept);
    if (Tail.size() > LastChunk.size())
      Tail.erase(0, Tail.size() - LastChunk.size());
    return Count;
  }

  bool hasEnded() const { return Ended; }
  bool endsWithLastChunk() const { return Tail == LastChunk; }

private:
  bool Ended = false;
  std::string Tail;
};

namespace {

/// Gives access to the constructor for a socket's implementation.
class wrapped_socket : public Poco::Net::StreamSocket {
public:
  explicit wrapped_socket(observed_socket *Socket) : StreamSocket(Socket) {}
};

} // namespace

observed_session::observed_session(observed_socket *Socket)
    : HTTPClientSession(wrapped_socket(Socket)), Observed(Socket) {}

std::unique_ptr<observed_session>
observed_session::connect(const Poco::Net::SocketAddress &Address,
                          const Poco::Timespan &Timeout) {
  std::unique_ptr<observed_session> Session(
      new observed_session(new observed_socket));
  Session->socket().connect(Address, Timeout);
  return Session;
}

bool observed_session::hasEnded() const { return Observed->hasEnded(); }

bool observed_session::endsWithLastChunk() const {
  return !Observed->hasEnded() && !hasUnreadBytes() &&
         Observed->endsWithLastChunk();
}

} // namespace agatedale
