/// \file
/// Frames: a header of fixed size in little-endian order, then the payload.
#include "peer_frames.h"

#include <fmt/format.h>

#include <algorithm>

namespace agatedale {

namespace {

constexpr std::size_t SizeOffset = 1;
constexpr std::size_t TotalOffset = 5;
constexpr std::size_t CallOffset = 9;
constexpr std::size_t HeaderBytes = 17;

constexpr unsigned BitsPerByte = 8;

template <typename T> void appendInteger(std::string &Out, T Value) {
  for (std::size_t I = 0; I < sizeof(T); ++I)
    Out.push_back(static_cast<char>(Value >> (BitsPerByte * I)));
}

template <typename T> T readInteger(std::string_view Bytes, std::size_t At) {
  T Value = 0;
  for (std::size_t I = 0; I < sizeof(T); ++I)
    Value |= static_cast<T>(static_cast<unsigned char>(Bytes[At + I]))
             << (BitsPerByte * I);
  return Value;
}

} // namespace

void appendFrame(std::string &Out, const peer_frame &Frame) {
  Out.push_back(static_cast<char>(Frame.Kind));
  appendInteger(Out, static_cast<std::uint32_t>(Frame.Payload.size()));
  appendInteger(Out, Frame.TotalSize);
  appendInteger(Out, Frame.Call);
  Out.append(Frame.Payload);
}

std::variant<peer_frame, incomplete_frame, error>
readFrame(std::string_view Bytes, std::size_t &Length) {
  if (Bytes.size() < HeaderBytes)
    return incomplete_frame{};
  const auto Kind = static_cast<unsigned char>(Bytes[0]);
  if (Kind > static_cast<unsigned char>(HighestPeerMessageKind))
    return error{error_kind::InvalidInput,
                 fmt::format("frame has the unknown kind {}", Kind)};
  const auto Size = readInteger<std::uint32_t>(Bytes, SizeOffset);
  peer_frame Frame;
  Frame.Kind = static_cast<peer_message_kind>(Kind);
  Frame.TotalSize = readInteger<std::uint32_t>(Bytes, TotalOffset);
  Frame.Call = readInteger<std::uint64_t>(Bytes, CallOffset);
  const bool IsValid = Size <= MaxFramePayload && Size <= Frame.TotalSize &&
                       Frame.TotalSize <= MaxPeerMessageBytes &&
                       (Size > 0 || Frame.TotalSize == 0);
  if (!IsValid)
    return error{error_kind::InvalidInput,
                 fmt::format("frame of {} bytes of a message of {} bytes", Size,
                             Frame.TotalSize)};
  if (Bytes.size() < HeaderBytes + Size)
    return incomplete_frame{};
  Frame.Payload = Bytes.substr(HeaderBytes, Size);
  Length = HeaderBytes + Size;
  return Frame;
}

result<frame_batch> frame_batch::read(std::string_view Bytes) {
  frame_batch Batch;
  while (true) {
    std::size_t Length = 0;
    const auto Read = readFrame(Bytes.substr(Batch.Length), Length);
    if (const error *Error = std::get_if<error>(&Read))
      return *Error;
    const auto *Frame = std::get_if<peer_frame>(&Read);
    if (!Frame)
      return Batch;
    Batch.Frames.push_back(*Frame);
    if (Frame->Kind == peer_message_kind::Cancel)
      Batch.CancelledCalls.push_back(Frame->Call);
    Batch.Length += Length;
  }
}

bool frame_batch::isCancelled(std::uint64_t Call) const {
  return std::find(CancelledCalls.begin(), CancelledCalls.end(), Call) !=
         CancelledCalls.end();
}

} // namespace agatedale
