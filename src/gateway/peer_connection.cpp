/// \file
/// Sends small messages first and assembles messages from their frames.
#include "peer_connection.h"

#include "../core/log.h"

#include <algorithm>

namespace agatedale {

std::shared_ptr<peer_connection> peer_connection::connect(
    event_loop &Loop, const Poco::Net::SocketAddress &Address,
    std::shared_ptr<byte_budget> Budget, handlers Handlers) {
  std::shared_ptr<peer_connection> Connection(
      new peer_connection(Loop, std::move(Handlers)));
  Connection->Budget = std::move(Budget);
  Connection->PrefaceReceived = true; // Only the connecting side sends one.
  tcp_stream::handlers StreamHandlers = Connection->streamHandlers();
  const std::weak_ptr<peer_connection> Weak = Connection;
  StreamHandlers.Connected = [Weak] {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    Self->LastReceivedAt = bootNow();
    Self->Stream->send(std::string(PeerPreface));
    Self->Handlers.Connected();
  };
  Connection->Stream =
      tcp_stream::connect(Loop, Address, std::move(StreamHandlers));
  return Connection;
}

std::shared_ptr<peer_connection>
peer_connection::accept(event_loop &Loop, const Poco::Net::StreamSocket &Socket,
                        std::shared_ptr<byte_budget> Budget,
                        handlers Handlers) {
  std::shared_ptr<peer_connection> Connection(
      new peer_connection(Loop, std::move(Handlers)));
  Connection->Budget = std::move(Budget);
  Connection->LastReceivedAt = bootNow();
  Connection->Stream =
      tcp_stream::accept(Loop, Socket, Loop.turnClock().eventsSince(),
                         Connection->streamHandlers());
  return Connection;
}

tcp_stream::handlers peer_connection::streamHandlers() {
  const std::weak_ptr<peer_connection> Weak = weak_from_this();
  tcp_stream::handlers StreamHandlers;
  StreamHandlers.Received = [Weak](std::string_view Bytes) {
    if (const auto Self = Weak.lock())
      Self->onReceived(Bytes);
  };
  StreamHandlers.ReadDone = [Weak] {
    if (const auto Self = Weak.lock())
      Self->handleFrames(false);
  };
  StreamHandlers.Ended = [Weak](stream_end) {
    if (const auto Self = Weak.lock())
      Self->onEnded();
  };
  StreamHandlers.Flushed = [Weak] {
    if (const auto Self = Weak.lock())
      Self->sendQueued();
  };
  return StreamHandlers;
}

void peer_connection::send(peer_message_kind Kind, std::uint64_t Call,
                           std::string Message, shared_body Body) {
  const bool IsSmall = Body.empty() && Message.size() <= MaxFramePayload;
  auto &Queue = IsSmall ? Small : Large;
  Queue.push_back({Kind, Call, std::move(Message), std::move(Body)});
  if (!IsSmall) {
    outgoing_message &Queued = Queue.back();
    Queued.Share = byte_reservation(Budget, held_kind::PeerMessage);
    // The body of a request is counted where it was received, until the reply.
    Queued.Share.set(Kind == peer_message_kind::Forward ? Queued.Bytes.size()
                                                        : Queued.size());
  }
  sendQueued();
}

void peer_connection::sendQueued() {
  // Entered again when the socket accepts everything at once.
  if (IsSending)
    return;
  IsSending = true;
  const auto Self = shared_from_this();
  while (!Stream->isClosed() && !Stream->hasUnsent()) {
    std::string Bytes = Small.empty() ? takeLargeFrame() : takeSmall();
    if (Bytes.empty())
      break;
    Stream->send(std::move(Bytes));
  }
  IsSending = false;
}

/// Takes small messages out of their queue. Those that stay can still be
/// dropped.
std::string peer_connection::takeSmall() {
  std::string Bytes;
  while (!Small.empty() && Bytes.size() < MaxFramePayload) {
    const outgoing_message &Message = Small.front();
    appendFrame(Bytes, {Message.Kind, Message.Call,
                        static_cast<std::uint32_t>(Message.Bytes.size()),
                        Message.Bytes});
    Small.pop_front();
  }
  return Bytes;
}

/// Takes the next frame of the large messages, which are sent in turn.
std::string peer_connection::takeLargeFrame() {
  std::string Bytes;
  if (Large.empty())
    return Bytes;
  outgoing_message Message = std::move(Large.front());
  Large.pop_front();
  // A frame ends where the body begins, so that it need not be joined.
  const std::size_t HeadBytes = Message.Bytes.size();
  const std::string_view Part =
      Message.SentBytes < HeadBytes
          ? std::string_view(Message.Bytes)
                .substr(Message.SentBytes, MaxFramePayload)
          : Message.Body.view().substr(Message.SentBytes - HeadBytes,
                                       MaxFramePayload);
  appendFrame(Bytes, {Message.Kind, Message.Call,
                      static_cast<std::uint32_t>(Message.size()), Part});
  Message.SentBytes += Part.size();
  if (Message.SentBytes < Message.size())
    Large.push_back(std::move(Message));
  return Bytes;
}

template <typename Queue>
auto peer_connection::findUnsent(Queue &Messages, peer_message_kind Kind,
                                 std::uint64_t Call) {
  return std::find_if(Messages.begin(), Messages.end(),
                      [Kind, Call](const outgoing_message &Message) {
                        return Message.Kind == Kind && Message.Call == Call;
                      });
}

bool peer_connection::isUnsent(peer_message_kind Kind,
                               std::uint64_t Call) const {
  return findUnsent(Small, Kind, Call) != Small.end() ||
         findUnsent(Large, Kind, Call) != Large.end();
}

bool peer_connection::dropUnsent(peer_message_kind Kind, std::uint64_t Call) {
  for (std::deque<outgoing_message> *Queue : {&Small, &Large}) {
    const auto Found = findUnsent(*Queue, Kind, Call);
    if (Found == Queue->end())
      continue;
    Queue->erase(Found);
    return true;
  }
  return false;
}

void peer_connection::close() { Stream->close(); }

bool peer_connection::readPreface() {
  if (PrefaceReceived)
    return true;
  const std::string_view Start =
      std::string_view(Buffer).substr(0, PeerPreface.size());
  if (!PeerPreface.starts_with(Start)) {
    fail("the connection does not begin with the preface");
    return false;
  }
  if (Start.size() < PeerPreface.size())
    return false;
  Buffer.erase(0, PeerPreface.size());
  PrefaceReceived = true;
  return true;
}

void peer_connection::onReceived(std::string_view Bytes) {
  LastReceivedAt = bootNow();
  Buffer.append(Bytes);
}

void peer_connection::onEnded() {
  const auto Self = shared_from_this();
  handleFrames(true);
  Handlers.Ended();
}

void peer_connection::handleFrames(bool IsEnding) {
  const auto Self = shared_from_this();
  if (!readPreface())
    return;
  // The frames refer to this copy: handlers may read on into the buffer.
  const std::string Bytes = std::exchange(Buffer, {});
  result<frame_batch> Read = frame_batch::read(Bytes);
  if (const error *Error = errorOf(Read)) {
    fail(Error->Message);
    return;
  }
  const frame_batch &Batch = valueOf(Read);
  Buffer = Bytes.substr(Batch.length());
  for (const peer_frame &Frame : Batch.frames()) {
    const bool IsRequest = Frame.Kind == peer_message_kind::Forward ||
                           Frame.Kind == peer_message_kind::Heartbeat ||
                           Frame.Kind == peer_message_kind::QuotaRequest;
    if (IsRequest && (IsEnding || Batch.isCancelled(Frame.Call)))
      continue;
    if (Stream->isClosed() && !IsEnding)
      return;
    onFrame(Frame);
  }
}

bool peer_connection::hasCancelled(std::uint64_t Call) {
  if (Stream->hasPeerClosed())
    return true;
  const std::size_t BytesBefore = Buffer.size();
  Stream->readAhead();
  if (Buffer.size() > BytesBefore)
    Loop.post([Weak = weak_from_this()] {
      const auto Self = Weak.lock();
      if (Self && !Self->isClosed())
        Self->handleFrames(false);
    });
  const result<frame_batch> Read = frame_batch::read(Buffer);
  return errorOf(Read) == nullptr && valueOf(Read).isCancelled(Call);
}

void peer_connection::onFrame(const peer_frame &Frame) {
  if (Frame.Kind == peer_message_kind::Cancel) {
    Incoming.erase({peer_message_kind::Forward, Frame.Call});
    Incoming.erase({peer_message_kind::Heartbeat, Frame.Call});
  }
  if (Incoming.contains({Frame.Kind, Frame.Call})) {
    onPart(Frame);
    return;
  }
  if (Frame.Payload.size() == Frame.TotalSize)
    Handlers.Received(Frame.Kind, Frame.Call, {Frame.Payload});
  else
    onPart(Frame);
}

void peer_connection::beginMessage(incoming_message &Message,
                                   const peer_frame &Frame) {
  Message.TotalBytes = Frame.TotalSize;
  Message.MissingBytes = Frame.TotalSize;
  const bool IsRequest = Frame.Kind == peer_message_kind::Forward;
  if (!IsRequest && Frame.Kind != peer_message_kind::ForwardReply)
    return;
  Message.Share = byte_reservation(Budget, IsRequest ? held_kind::RequestBody
                                                     : held_kind::PeerMessage);
  Message.IsDropped = !Message.Share.resize(Frame.TotalSize);
  if (!Message.IsDropped)
    Message.Bytes.reserve(Frame.TotalSize);
  else if (Handlers.RefusedForMemory)
    Handlers.RefusedForMemory(Frame.Call);
}

void peer_connection::onPart(const peer_frame &Frame) {
  const message_id Id{Frame.Kind, Frame.Call};
  const auto [Found, IsNew] = Incoming.try_emplace(Id);
  incoming_message &Message = Found->second;
  if (IsNew)
    beginMessage(Message, Frame);
  if (Frame.TotalSize != Message.TotalBytes) {
    fail("the parts of a message announce different lengths");
    return;
  }
  if (Frame.Payload.size() > Message.MissingBytes) {
    fail("a message is longer than announced");
    return;
  }
  Message.MissingBytes -= Frame.Payload.size();
  if (!Message.IsDropped)
    Message.Bytes.append(Frame.Payload);
  if (Message.MissingBytes > 0)
    return;
  incoming_message Whole = std::move(Message);
  Incoming.erase(Found);
  if (Whole.IsDropped)
    return;
  const auto Owner =
      std::make_shared<const std::string>(std::move(Whole.Bytes));
  Handlers.Received(
      Frame.Kind, Frame.Call,
      {*Owner, Owner,
       std::make_shared<byte_reservation>(std::move(Whole.Share))});
}

void peer_connection::fail(const std::string &Why) {
  logLine(log_level::Error, "peer-message-refused", {{"why", Why}});
  if (Handlers.Refused)
    Handlers.Refused();
  Stream->close();
  Handlers.Ended();
}

} // namespace agatedale
