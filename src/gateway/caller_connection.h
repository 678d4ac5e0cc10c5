/// \file
/// A caller's HTTP connection with pipelined requests.
#pragma once

#include "agatedale/account_shares.h"
#include "agatedale/arrival_marks.h"
#include "agatedale/byte_budget.h"
#include "agatedale/client_pace.h"
#include "agatedale/configuration.h"
#include "http_codec.h"
#include "tcp_stream.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace agatedale {

class caller_connection;

/// Which side ended a connection.
enum class connection_end { ByCaller, ByGateway };

/// One request of a caller and its response.
class caller_exchange {
public:
  http_request_message Request;
  time_point ArrivedAt{}; ///< Of the request's first byte.
  time_point WholeAt{};   ///< Arrival of its last byte.

  /// Looks whether the caller has closed the connection.
  bool hasCallerLeft() const;

  /// Sends the response after those to earlier requests. If \p Close is set the
  /// connection is closed afterwards. Only the first call has an effect.
  void respond(http_response_message Response, bool Close = false);

  /// Counts the connection as one of \p Account.
  void setAccount(const std::string &Account);

  /// Called if the connection ends before the response.
  std::function<void(connection_end)> OnDisconnected;

private:
  friend class caller_connection;

  std::weak_ptr<caller_connection> Connection;
  /// Of the request's body, which is held until it is sent for the last time.
  std::weak_ptr<byte_reservation> Held;
  share_holder Holder; ///< Of the request's body.
  bool IsHeadRequest = false;
  http_response_message Response; ///< Waits for its turn.
  bool Responded = false;
  bool KeepAlive = true;
};

/// Serves one connection: decodes requests, serves several of them at the same
/// time, and detects that the caller has disconnected. Responses are sent in
/// the order of the requests.
///
///   caller_connection::open(Loop, Socket, Context);
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
public:
  /// Requests of all connections of a listener since its start.
  struct request_counts {
    std::uint64_t Received = 0;
    std::uint64_t Dropped = 0;  ///< Read, and the gateway closed unanswered.
    std::uint64_t Departed = 0; ///< Read after the caller had left.
    std::uint64_t RefusedForMemory = 0; ///< While they were received.
    std::uint64_t Slow = 0;             ///< Connections closed to free memory.
    std::uint64_t Idle = 0;             ///< Connections closed for others.
    std::uint64_t RefusedConnections = 0;
    std::uint64_t Stalled = 0;   ///< Connections closed that took nothing.
    std::uint64_t OverShare = 0; ///< Bodies refused for those of others.
    /// Connections closed after a response, for those of other accounts.
    std::uint64_t ClosedForAccounts = 0;
    fault_counts Malformed{}; ///< Requests that could not be decoded.
  };

  /// Bytes that a connection holds in one direction or the other.
  struct held_bytes {
    std::size_t Unread = 0;    ///< In the socket.
    std::size_t Undecoded = 0; ///< Read, but not part of a whole request yet.
    std::size_t Unsent = 0;
  };

  /// Who has given way to a body for which there is no room.
  enum class body_room {
    Made,    ///< Another one; there may be room now.
    Refused, ///< Nobody: the body is beyond the share of its own account.
    None     ///< Nobody is above its share.
  };

  /// The state that all connections of a listener share.
  struct context {
    caller_limits Limits;
    std::shared_ptr<byte_budget> Budget; ///< No limit if null.
    bool Stopping = false; ///< The last response of a connection closes it.
    /// Requests that follow others are read while the gateway stops.
    bool ReadsFollowing = true;
    request_counts Counts;
    /// Connections by account; those without one count together.
    account_shares Connections{0};
    std::size_t NamedConnections = 0; ///< That have an account.
    std::uint64_t LastConnection = 0;
    /// Returns the account of a request whose head is received, empty if it has
    /// none; nothing if the configuration has no accounts. May be null.
    std::function<std::optional<std::string>(const request_decoder &)>
        AccountOf;
    /// Makes room for more bytes of the body that a connection receives.
    std::function<body_room(const caller_connection &, std::size_t More)>
        MakeBodyRoom;
    /// Returns true if the connections of an account are to become fewer.
    std::function<bool(const std::string &Account)> HasTooManyConnections;
    std::function<void(std::shared_ptr<caller_exchange>)> Serve;
    std::function<void(const std::shared_ptr<caller_connection> &)> Opened;
    std::function<void(const std::shared_ptr<caller_connection> &)> Closed;
  };

  /// Serves an accepted connection, whose first bytes did not arrive before
  /// \p UnreadSince.
  static void open(event_loop &Loop, const Poco::Net::StreamSocket &Socket,
                   time_point UnreadSince, std::shared_ptr<context> Context);

  /// Closes the connection if no request has arrived, is being received or
  /// served. A request that arrives later is not read.
  void closeIfIdle();
  bool isIdle() const;
  time_point lastActiveAt() const { return LastActiveAt; }

  /// Returns the account of the last request that had one, or an empty string.
  const std::string &account() const { return Account; }

  /// Returns whose share the body counts to that is being received.
  const share_holder &bodyHolder() const { return BodyHolder; }

  /// Adds the bodies that are held for this connection to \p Shares.
  void addBodiesTo(account_shares &Shares) const;

  /// Returns the bytes of the body that is being received for \p Holder and can
  /// be refused.
  std::size_t refusableBytes(const share_holder &Holder) const;

  /// Refuses the request that is being received, so that others keep their
  /// shares.
  void refuseForOthers();

  /// Closes an idle connection, as there are too many.
  void closeForOthers();

  /// Reads what has arrived.
  void readNow() { Stream->readNow(); }

  /// Closes the connection at once and drops its requests.
  void close();
  held_bytes heldBytes() const;

  /// Returns how long the memory that the connection holds for its caller will
  /// be in use at the caller's present pace; zero if it holds little or the
  /// pace is not known yet.
  duration expectedHold(time_point Now);

  /// Closes the connection of a slow caller and frees its memory at once. The
  /// rest follows in a later task, so that this may be called at any time.
  void abandon();

private:
  friend class caller_exchange;

  /// Maximum number of requests of one connection that are served at the same
  /// time. Further requests are read when earlier ones are answered.
  static constexpr std::size_t MaxPipelined = 16;

  /// Further requests are not decoded while more bytes of responses wait for
  /// the caller.
  static constexpr std::size_t MaxUnsentBeforeNext = 256 * 1024;

  /// Bytes of a head that are accepted from every caller. Only a longer one
  /// needs room in the budget.
  static constexpr std::size_t FreeHeadBytes = 4096;

  caller_connection(event_loop &Loop, std::shared_ptr<context> Context)
      : Loop(Loop), Context(std::move(Context)) {}

  void start(const Poco::Net::StreamSocket &Socket, time_point UnreadSince);
  void onReceived(std::string_view Bytes);
  void onEnded();
  void onTimeout();
  void armTimer();
  void armLingerTimer();
  void watchForEnd();
  void onLingerTimeout(std::size_t LeftBefore);
  void end(connection_end By);
  bool awaitsFirstRequest() const;
  void decodeAll();
  bool mayDecode() const;
  void serveDecoded();
  bool hasLeftUnnoticed() const;
  void fail(int Status);
  void refuseMalformed();
  void refuseMemoryFull();
  bool reserveReceived();
  bool reserveBody(std::size_t Bytes);
  void findBodyHolder();
  void setAccount(const std::string &NewAccount);
  void countOutput();
  void onOutputAdvanced();
  bool takesMoreOutput() const {
    return Stream->unsentBytes() <= MaxUnsentBeforeNext;
  }
  bool isReadingHeldBack() const {
    return Pending.size() >= MaxPipelined || !takesMoreOutput();
  }
  void decodeReceived();
  void holdBackReading();
  void fail(const http_response_message &Response);
  void sendResponsesInOrder();
  bool closesAfter(const caller_exchange &Exchange) const;
  void closeGracefully();
  void cancelPending(connection_end By);
  void logDropped() const;
  void logClosed(std::string_view Why) const;

  event_loop &Loop;
  std::shared_ptr<context> Context;
  std::shared_ptr<tcp_stream> Stream;
  std::string Buffer;
  arrival_marks Arrivals; ///< Of the bytes in Buffer.
  std::unique_ptr<request_decoder> Decoder;
  time_point RequestArrivedAt{}; ///< Of the request that is being received.
  byte_reservation HeadShare;    ///< Of the bytes in Buffer.
  byte_reservation Share;        ///< Of the body that is being received.
  share_holder BodyHolder;       ///< Of the body that is being received.
  bool HasBodyHolder = false;    ///< It is known, and accounts have shares.
  bool IsBodyHolderAsked = false;
  std::string Account;
  bool IsCounted = true;    ///< Among the connections of its account.
  std::uint64_t Number = 0; ///< Among those of the listener.
  byte_reservation OutputShare;
  std::optional<client_pace> OutputPace; ///< While output waits.
  std::optional<client_pace> BodyPace;   ///< While a body is received.
  bool IsDecoding = false;
  bool IsResuming = false; ///< decodeAll() is posted.
  bool ContinueSent = false;
  time_point OpenedAt = bootNow();
  time_point LastActiveAt = OpenedAt; ///< Received or answered something.
  bool HasReceived = false;
  std::deque<std::shared_ptr<caller_exchange>> Pending;
  bool ReadingDone = false;
  bool ClosingGracefully = false;
  event_loop::timer_id Timer = 0;
  event_loop::timer_id EndTimer = 0; ///< Set while reading is paused.
  std::size_t BodyBytesAtArm = 0;    ///< Received when the timer was armed.
  std::uint64_t BytesSentAtArm = 0;
};

} // namespace agatedale
