/// \file
/// Connection between two gateways.
#pragma once

#include "agatedale/byte_budget.h"
#include "agatedale/shared_body.h"
#include "gateway_clock.h"
#include "peer_frames.h"
#include "tcp_stream.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace agatedale {

/// A message as it was received.
struct received_message {
  std::string_view Bytes;
  /// The string that holds the bytes, or null: those of a message in one frame
  /// are valid during the call only.
  std::shared_ptr<const std::string> Owner = nullptr;
  /// Of a message that came in parts, or null.
  std::shared_ptr<byte_reservation> Held = nullptr;
};

/// Sends and receives messages on one TCP connection. Small messages overtake
/// large ones, which are sent in frames in turn, so that an upload does not
/// delay heartbeats and small requests on a slow link. What has arrived is
/// looked at as a whole before any of it is handled, so that a request is not
/// served if its cancellation has arrived as well.
///
///   auto Connection = peer_connection::connect(Loop, Address, Handlers);
///   Connection->send(peer_message_kind::Forward, Call, Bytes);
class peer_connection : public std::enable_shared_from_this<peer_connection> {
public:
  struct handlers {
    std::function<void()> Connected;
    std::function<void(peer_message_kind Kind, std::uint64_t Call,
                       const received_message &Message)>
        Received;
    /// A request or a reply to one is dropped because there is no memory for
    /// it.
    std::function<void(std::uint64_t Call)> RefusedForMemory;
    /// Something malformed was received; the connection ends. May be null.
    std::function<void()> Refused = nullptr;
    std::function<void()> Ended;
  };

  static std::shared_ptr<peer_connection>
  connect(event_loop &Loop, const Poco::Net::SocketAddress &Address,
          std::shared_ptr<byte_budget> Budget, handlers Handlers);
  static std::shared_ptr<peer_connection>
  accept(event_loop &Loop, const Poco::Net::StreamSocket &Socket,
         std::shared_ptr<byte_budget> Budget, handlers Handlers);

  /// Queues a message of the bytes \p Message and \p Body. Must be called only
  /// after the connection is established.
  void send(peer_message_kind Kind, std::uint64_t Call, std::string Message,
            shared_body Body = {});

  /// Looks whether the peer has cancelled a request or closed the connection,
  /// also in what was not handled yet.
  bool hasCancelled(std::uint64_t Call);

  /// Drops the rest of a message that is not sent as a whole yet. Returns false
  /// if there is none, that is, if the peer may have the whole message.
  bool dropUnsent(peer_message_kind Kind, std::uint64_t Call);

  /// Returns true if the last byte of the message was not sent.
  bool isUnsent(peer_message_kind Kind, std::uint64_t Call) const;

  void close();
  bool isConnected() const { return Stream->isConnected() && !isClosed(); }
  bool isClosed() const { return Stream->isClosed(); }
  /// Returns true if the peer's system has not confirmed all bytes.
  bool hasUndelivered() const {
    return !Small.empty() || !Large.empty() || Stream->hasUndelivered();
  }

  /// Handles what has arrived.
  void readNow() { Stream->readNow(); }
  time_point lastReceivedAt() const { return LastReceivedAt; }
  /// Returns when the last bytes arrived, as far as is known.
  time_point arrivedAt() const { return Stream->arrivedAt(); }

private:
  struct outgoing_message {
    peer_message_kind Kind;
    std::uint64_t Call;
    std::string Bytes;
    shared_body Body{}; ///< Follows Bytes; not empty only in a long message.
    std::size_t SentBytes = 0;
    byte_reservation Share{}; ///< Of a message longer than a frame.

    std::size_t size() const { return Bytes.size() + Body.size(); }
  };

  struct incoming_message {
    std::string Bytes;
    std::size_t TotalBytes = 0;
    std::size_t MissingBytes = 0;
    byte_reservation Share; ///< Of a request or a reply to one.
    bool IsDropped = false;
  };

  using message_id = std::pair<peer_message_kind, std::uint64_t>;

  peer_connection(event_loop &Loop, handlers Handlers)
      : Loop(Loop), Handlers(std::move(Handlers)) {}

  tcp_stream::handlers streamHandlers();
  void onReceived(std::string_view Bytes);
  void onEnded();
  bool readPreface();
  /// Handles the frames in the buffer; requests are not served if \p IsEnding.
  void handleFrames(bool IsEnding);
  void onFrame(const peer_frame &Frame);
  void onPart(const peer_frame &Frame);
  void beginMessage(incoming_message &Message, const peer_frame &Frame);
  void sendQueued();
  template <typename Queue>
  static auto findUnsent(Queue &Messages, peer_message_kind Kind,
                         std::uint64_t Call);
  std::string takeSmall();
  std::string takeLargeFrame();
  void fail(const std::string &Why);

  event_loop &Loop;
  handlers Handlers;
  std::shared_ptr<tcp_stream> Stream;
  std::shared_ptr<byte_budget> Budget; ///< No limit if null.
  std::string Buffer;
  bool PrefaceReceived = false;
  std::deque<outgoing_message> Small; ///< Each fits into one frame.
  std::deque<outgoing_message> Large;
  std::map<message_id, incoming_message> Incoming;
  bool IsSending = false;
  time_point LastReceivedAt{};
};

} // namespace agatedale
