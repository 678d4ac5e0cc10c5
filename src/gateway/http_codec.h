/// \file
/// HTTP/1.1 from and to bytes.
#pragma once

#include "agatedale/http_message.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace agatedale {

/// How far a decoder has come with one message.
enum class decode_state { NeedMore, Complete, Failed };

/// Bounds on one message.
struct message_limits {
  std::uint32_t HeaderBytes = 16 * 1024;
  std::uint64_t BodyBytes = 1 << 20;
};

/// Decodes one request out of the bytes of a connection.
///
///   request_decoder Decoder(Limits);
///   if (Decoder.feed(Buffer) == decode_state::Complete)
///     serve(Decoder.takeMessage());
class request_decoder {
public:
  explicit request_decoder(const message_limits &Limits);
  ~request_decoder();

  /// Takes bytes off the front of \p Buffer; what follows the request stays.
  decode_state feed(std::string &Buffer);

  /// Returns the request without the headers that concern one connection.
  http_request_message takeMessage();

  /// Returns the status that answers a request that failed to decode.
  int failureStatus() const { return FailureStatus; }
  bool hasStarted() const { return AnyBytesFed; }
  bool isHeaderComplete() const;

  /// Returns the bytes of the body that have come.
  std::size_t bodyBytes() const;
  bool keepsAlive() const;
  bool expectsContinue() const;

private:
  struct parser;
  std::unique_ptr<parser> Parser;
  int FailureStatus = 0;
  bool AnyBytesFed = false;
};

/// Decodes one answer out of the bytes of a connection.
class response_decoder {
public:
  /// \p IsHeadRequest says that the answer to a HEAD request has no body.
  response_decoder(const message_limits &Limits, bool IsHeadRequest);
  ~response_decoder();

  /// Takes bytes off the front of \p Buffer; what follows the answer stays.
  decode_state feed(std::string &Buffer);

  /// Ends the bytes: an answer without a length ends with its connection, one
  /// with a length that is not reached is incomplete.
  decode_state endOfInput();

  http_response_message takeMessage();
  bool hasStarted() const { return AnyBytesFed; }
  bool keepsAlive() const;

  /// Returns for how long the server keeps an idle connection, if it says so.
  std::optional<std::chrono::seconds> idleTimeout() const;

private:
  void restart();

  struct parser;
  std::unique_ptr<parser> Parser;
  message_limits Limits;
  bool IsHeadRequest;
  bool AnyBytesFed = false;
};

/// Returns the bytes of a request to \p Host.
std::string encodeRequest(const http_request_message &Request,
                          const std::string &Host);

/// Returns the bytes of an answer.
std::string encodeResponse(const http_response_message &Response,
                           bool IsHeadRequest, bool Close);

} // namespace agatedale
