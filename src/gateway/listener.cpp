/// \file
/// Accepts connections and closes idle ones.
#include "listener.h"

#include "../core/log.h"

#include <Poco/Net/NetException.h>
#include <fmt/format.h>

namespace agatedale {

namespace {

/// Maximum number of connections that wait to be accepted. Callers connect in
/// bursts.
constexpr int Backlog = 512;

/// Maximum number of consecutive accepts before other sockets are served.
constexpr int MaxAcceptsInRow = 32;

} // namespace

listener::listener(event_loop &Loop, serve Serve)
    : Loop(Loop), Context(std::make_shared<caller_connection::context>()) {
  Context->Serve = std::move(Serve);
  Context->Opened = [this](const auto &Connection) { Open.insert(Connection); };
  Context->Closed = [this](const auto &Connection) { Open.erase(Connection); };
}

result<std::unique_ptr<listener>>
listener::open(event_loop &Loop, const std::string &Address, serve Serve) {
  std::unique_ptr<listener> Listener(new listener(Loop, std::move(Serve)));
  try {
    Listener->Socket.bind(Poco::Net::SocketAddress(Address), true);
    Listener->Socket.listen(Backlog);
    Listener->Socket.setBlocking(false);
  } catch (const Poco::Exception &Failure) {
    return error{
        error_kind::Unavailable,
        fmt::format("cannot listen on {}: {}", Address, Failure.displayText())};
  }
  Loop.watch(Listener->Socket, Poco::Net::PollSet::POLL_READ,
             [Raw = Listener.get()](int) { Raw->acceptReady(); });
  return Listener;
}

listener::~listener() {
  if (Accepts)
    Loop.unwatch(Socket);
}

void listener::acceptReady() {
  const time_point Since = std::min(Loop.turnClock().eventsSince(),
                                    BacklogSince.value_or(time_point::max()));
  int Accepted = 0;
  while (Accepted < MaxAcceptsInRow && acceptNext(Since))
    ++Accepted;
  BacklogSince =
      Accepted < MaxAcceptsInRow ? std::nullopt : std::optional(Since);
}

/// Returns false if no connection waits.
bool listener::acceptNext(time_point Since) {
  try {
    if (!Socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
      return false;
    caller_connection::open(Loop, Socket.acceptConnection(), Since, Context);
    return true;
  } catch (const Poco::Exception &Failure) {
    logLine(log_level::Warning, "accept-failed",
            {{"why", Failure.displayText()}});
    return false;
  }
}

void listener::stopAccepting() {
  if (!Accepts)
    return;
  // The system resets connections that are not accepted before the close.
  const time_point Since = Loop.turnClock().eventsSince();
  for (int I = 0; I < Backlog && acceptNext(Since); ++I) {
  }
  Accepts = false;
  Context->ReadsFollowing = false;
  Loop.unwatch(Socket);
  Socket.close();
}

void listener::readAll() {
  const auto Connections = Open;
  for (const std::shared_ptr<caller_connection> &Connection : Connections)
    Connection->readNow();
}

void listener::closeAll() {
  const auto Connections = Open;
  for (const std::shared_ptr<caller_connection> &Connection : Connections)
    Connection->close();
}

caller_connection::held_bytes listener::heldBytes() const {
  caller_connection::held_bytes Sum;
  for (const std::shared_ptr<caller_connection> &Connection : Open) {
    const caller_connection::held_bytes Held = Connection->heldBytes();
    Sum.Unread += Held.Unread;
    Sum.Undecoded += Held.Undecoded;
    Sum.Unsent += Held.Unsent;
  }
  return Sum;
}

void listener::closeIdle() {
  const auto Connections = Open;
  for (const std::shared_ptr<caller_connection> &Connection : Connections)
    Connection->closeIfIdle();
}

} // namespace agatedale
