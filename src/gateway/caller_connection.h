/// \file
/// A caller's connection: requests in, answers out in their order.
#pragma once

#include "agatedale/body_budget.h"
#include "agatedale/configuration.h"
#include "http_codec.h"
#include "tcp_stream.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace agatedale {

class caller_connection;

/// One request of a caller, which is answered once.
class caller_exchange {
public:
  http_request_message Request;
  time_point ReceivedAt{};

  /// Sends the answer when its turn comes. With \p Close the connection ends.
  void answer(const http_answer_message &Answer, bool Close = false);

  /// Called when the caller went away before the answer.
  std::function<void()> OnAbandoned;

private:
  friend class caller_connection;

  std::weak_ptr<caller_connection> Connection;
  body_reservation Share; ///< Of the bytes that bodies may take.
  bool ToHead = false;
  std::string Bytes; ///< The encoded answer.
  bool Answered = false;
  bool CloseAfter = false;
  bool KeepAlive = true;
};

/// Serves one connection: decodes requests, lets several wait for their answers
/// at once, and notices when the caller leaves. Answers go out in the order of
/// the requests.
///
///   caller_connection::open(Loop, Socket, Context);
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
public:
  /// What all connections of a listener share.
  struct context {
    caller_limits Limits;
    std::shared_ptr<body_budget> Bodies; ///< None when null.
    bool Stopping = false; ///< Answers say that the connection ends.
    std::function<void(std::shared_ptr<caller_exchange>)> Serve;
    std::function<void(const std::shared_ptr<caller_connection> &)> Opened;
    std::function<void(const std::shared_ptr<caller_connection> &)> Closed;
  };

  static void open(event_loop &Loop, const Poco::Net::StreamSocket &Socket,
                   std::shared_ptr<context> Context);

  /// Closes the connection if no request is being received or served.
  void closeIfIdle();
  bool isIdle() const;

private:
  friend class caller_exchange;

  /// Requests of one connection that are served at once; the next are read
  /// when earlier ones are answered.
  static constexpr std::size_t MaxPipelined = 16;

  caller_connection(event_loop &Loop, std::shared_ptr<context> Context)
      : Loop(Loop), Context(std::move(Context)) {}

  void start(const Poco::Net::StreamSocket &Socket);
  void onReceived(std::string_view Bytes);
  void onEnded();
  void onTimeout();
  void armTimer();
  void decodeAll();
  void serveDecoded();
  void fail(int Status);
  void failMemoryFull();
  void fail(const http_answer_message &Answer);
  void sendReady();
  void finish();
  void abandonPending();

  event_loop &Loop;
  std::shared_ptr<context> Context;
  std::shared_ptr<tcp_stream> Stream;
  std::string Buffer;
  std::unique_ptr<request_decoder> Decoder;
  body_reservation Share; ///< Of the request that is being received.
  bool ContinueSent = false;
  std::deque<std::shared_ptr<caller_exchange>> Pending;
  bool NoMoreRequests = false;
  bool Finishing = false;
  event_loop::timer_id Timer = 0;
};

} // namespace agatedale
