/// \file
/// Framing of the messages between gateways.
#pragma once

#include "agatedale/result.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace agatedale {

/// What a message between gateways is.
enum class peer_message_kind : std::uint8_t {
  Heartbeat,
  HeartbeatReply,
  Forward,      ///< A request for the owner of a server group.
  ForwardReply, ///< Its response or refusal.
  Cancel,       ///< The sender of a Forward needs no reply any more.
  Ping,
  Pong,
  QuotaRequest, ///< Sent only to gateways that understand it.
  QuotaReply
};

/// A frame of a higher kind is an error that ends the connection. A pong tells
/// the highest kind that its sender understands.
inline constexpr peer_message_kind HighestPeerMessageKind =
    peer_message_kind::QuotaReply;

/// The bytes that open a connection. A gateway that speaks another version
/// closes the connection.
inline constexpr std::string_view PeerPreface = "agatedale-peer/2\n";

/// Maximum number of payload bytes in a frame. Larger messages are split, so
/// that a small message waits for at most one frame of a large one.
inline constexpr std::size_t MaxFramePayload = 16 * 1024;

/// Maximum size of a message: a request's body plus its headers.
inline constexpr std::size_t MaxPeerMessageBytes = 80 << 20;

/// A message or a part of one.
struct peer_frame {
  peer_message_kind Kind = peer_message_kind::Ping;
  std::uint64_t Call = 0;      ///< Assigned by the side that calls.
  std::uint32_t TotalSize = 0; ///< Of the whole message, in bytes.
  std::string_view Payload;
};

/// Appends the encoded \p Frame to \p Out.
void appendFrame(std::string &Out, const peer_frame &Frame);

/// Returned by readFrame() if the frame is not complete yet.
struct incomplete_frame {};

/// Reads the frame at the start of \p Bytes; the payload refers to \p Bytes.
/// Its encoded length is returned in \p Length.
std::variant<peer_frame, incomplete_frame, error>
readFrame(std::string_view Bytes, std::size_t &Length);

/// The whole frames at the start of a buffer.
///
///   result<frame_batch> Batch = frame_batch::read(Buffer);
///   for (const peer_frame &Frame : valueOf(Batch).frames()) ...
class frame_batch {
public:
  /// Reads all whole frames of \p Bytes, to which their payloads refer.
  static result<frame_batch> read(std::string_view Bytes);

  std::span<const peer_frame> frames() const { return Frames; }

  /// Returns the encoded length of the frames.
  std::size_t length() const { return Length; }

  /// Returns true if a frame cancels \p Call.
  bool isCancelled(std::uint64_t Call) const;

private:
  std::vector<peer_frame> Frames;
  std::vector<std::uint64_t> CancelledCalls;
  std::size_t Length = 0;
};

} // namespace agatedale
