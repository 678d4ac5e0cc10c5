/// \file
/// Accepts connections and closes idle ones.
#include "listener.h"

#include "../core/log.h"

#include <Poco/Net/NetException.h>
#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <vector>

namespace agatedale {

namespace {

/// Maximum number of connections that wait to be accepted. Callers connect in
/// bursts.
constexpr int Backlog = 512;

/// Maximum number of consecutive accepts before other sockets are served.
constexpr int MaxAcceptsInRow = 32;

/// Share of the connections from which on those of an account that has too many
/// become fewer. The rest is for others until they have.
constexpr std::size_t ShortNumerator = 7;
constexpr std::size_t ShortDenominator = 8;

/// Connections that are closed together when there are too many, so that not
/// every new one needs a search.
constexpr std::size_t MaxIdleClosedAtOnce = 16;

/// Time for which nothing is accepted after a failure.
constexpr duration AcceptPause = std::chrono::milliseconds(100);

/// A caller that needs longer for what is held for it is slow. A response of
/// 8 MB takes 13 s on a link of 5 Mbit/s.
constexpr duration SlowHold = std::chrono::seconds(30);

/// Interval between two searches for slow callers that find none.
constexpr duration SlowSearchInterval = std::chrono::milliseconds(100);

} // namespace

listener::listener(event_loop &Loop, serve Serve)
    : Loop(Loop), Context(std::make_shared<caller_connection::context>()) {
  Context->Serve = std::move(Serve);
  Context->Opened = [this](const auto &Connection) { Open.insert(Connection); };
  Context->Closed = [this](const auto &Connection) { Open.erase(Connection); };
  Context->MakeBodyRoom = [this](const caller_connection &For,
                                 std::size_t More) {
    return makeBodyRoom(For, More);
  };
  Context->HasTooManyConnections = [this](const std::string &Account) {
    return hasTooManyConnections(Account);
  };
}

void listener::setMaxConnections(std::size_t Count) {
  MaxConnections = Count;
  Context->Connections.setLimit(Count / ShortDenominator * ShortNumerator);
}

/// Returns true if connections are short and \p Account has more than its
/// share.
bool listener::hasTooManyConnections(const std::string &Account) const {
  return Context->NamedConnections > 0 &&
         Open.size() > MaxConnections / ShortDenominator * ShortNumerator &&
         Context->Connections.exceedsShare({Account});
}

/// Refuses the largest body that is being received for the account, or the
/// connection without one, that is furthest above its share.
caller_connection::body_room
listener::makeBodyRoom(const caller_connection &For, std::size_t More) {
  using body_room = caller_connection::body_room;
  account_shares Shares(Context->Budget->bodyLimitBytes());
  for (const std::shared_ptr<caller_connection> &Connection : Open)
    Connection->addBodiesTo(Shares);
  std::shared_ptr<caller_connection> Largest;
  const auto FindLargest = [this, &Largest](const share_holder &Holder) {
    std::shared_ptr<caller_connection> Found;
    std::size_t Most = 0;
    for (const std::shared_ptr<caller_connection> &Connection : Open) {
      const std::size_t Bytes = Connection->refusableBytes(Holder);
      if (Bytes <= Most)
        continue;
      Most = Bytes;
      Found = Connection;
    }
    if (Found)
      Largest = Found;
    return Found != nullptr;
  };
  const auto GivesWay = Shares.givesWay(For.bodyHolder(), More, FindLargest);
  if (!GivesWay)
    return body_room::None;
  if (*GivesWay == For.bodyHolder())
    return body_room::Refused;
  Largest->refuseForOthers();
  return body_room::Made;
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
    Poco::Net::StreamSocket Accepted = Socket.acceptConnection();
    if (Open.size() >= MaxConnections && !closeLongestIdle()) {
      ++Context->Counts.RefusedConnections;
      logLine(log_level::Warning, "caller-closed",
              {{"client", Accepted.peerAddress().toString()},
               {"why", "no connection is idle"},
               {"connections", Open.size()}});
      Accepted.close();
      return true;
    }
    caller_connection::open(Loop, Accepted, Since, Context);
    return true;
  } catch (const Poco::Exception &Failure) {
    logLine(log_level::Warning, "accept-failed",
            {{"why", Failure.displayText()}});
    closeLongestIdle();
    pauseAccepting();
    return false;
  }
}

/// Closes some of the connections that have been idle for the longest time.
/// Returns false if none is idle.
bool listener::closeLongestIdle() {
  std::vector<std::shared_ptr<caller_connection>> Idle;
  std::copy_if(Open.begin(), Open.end(), std::back_inserter(Idle),
               [](const auto &Connection) { return Connection->isIdle(); });
  if (Idle.empty())
    return false;
  if (Context->NamedConnections > 0 && closeIdleAboveShare(Idle))
    return true;
  const auto Count =
      static_cast<std::ptrdiff_t>(std::min(Idle.size(), MaxIdleClosedAtOnce));
  std::partial_sort(Idle.begin(), Idle.begin() + Count, Idle.end(),
                    [](const auto &Left, const auto &Right) {
                      return Left->lastActiveAt() < Right->lastActiveAt();
                    });
  Idle.resize(static_cast<std::size_t>(Count));
  for (const std::shared_ptr<caller_connection> &Connection : Idle)
    Connection->closeForOthers();
  return true;
}

/// Closes idle connections of accounts that have more than their share, down to
/// it. Returns false if there is none.
bool listener::closeIdleAboveShare(
    std::vector<std::shared_ptr<caller_connection>> Idle) {
  std::sort(Idle.begin(), Idle.end(), [](const auto &Left, const auto &Right) {
    return Left->lastActiveAt() < Right->lastActiveAt();
  });
  std::size_t Closed = 0;
  for (const std::shared_ptr<caller_connection> &Connection : Idle) {
    if (Closed == MaxIdleClosedAtOnce)
      break;
    if (!hasTooManyConnections(Connection->account()))
      continue;
    Connection->closeForOthers();
    ++Closed;
  }
  return Closed > 0;
}

/// A connection that cannot be accepted keeps the socket ready, and the loop
/// would not wait any more.
void listener::pauseAccepting() {
  if (!Accepts || IsPaused)
    return;
  IsPaused = true;
  Loop.setModes(Socket, Poco::Net::PollSet::POLL_ERROR);
  Loop.after(AcceptPause, [this, Weak = std::weak_ptr(Alive)] {
    if (Weak.expired())
      return;
    IsPaused = false;
    if (Accepts)
      Loop.setModes(Socket, Poco::Net::PollSet::POLL_READ);
  });
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

bool listener::closeSlowest() {
  const time_point Now = bootNow();
  if (Now < NoSlowUntil)
    return false;
  std::shared_ptr<caller_connection> Slowest;
  duration Longest = SlowHold;
  for (const std::shared_ptr<caller_connection> &Connection : Open) {
    const duration Expected = Connection->expectedHold(Now);
    if (Expected < Longest)
      continue;
    Longest = Expected;
    Slowest = Connection;
  }
  if (!Slowest) {
    NoSlowUntil = Now + SlowSearchInterval;
    return false;
  }
  Slowest->abandon();
  return true;
}

void listener::closeIdle() {
  const auto Connections = Open;
  for (const std::shared_ptr<caller_connection> &Connection : Connections)
    Connection->closeIfIdle();
}

} // namespace agatedale
