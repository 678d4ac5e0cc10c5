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
///     serve(Decoder.take());
class request_decoder {
public:
  explicit request_decoder(const message_limits &Limits);
  ~request_decoder();

  /// Takes bytes off the front of \p Buffer; what follows the request stays.
  decode_state feed(std::string &Buffer);

  /// Returns the request without the headers that concern one connection.
  http_request_message take();

  /// Returns the status that answers a request that failed to decode.
  int failureStatus() const { return FailureStatus; }
  bool hasBegun() const { return Begun; }
  bool headerDone() const;

  /// Returns the bytes of the body that have come.
  std::size_t bodyBytes() const;
  bool keepsAlive() const;
  bool expectsContinue() const;

private:
  struct parser;
  std::unique_ptr<parser> Parser;
  int FailureStatus = 0;
  bool Begun = false;
};

/// Decodes one answer out of the bytes of a connection.
class answer_decoder {
public:
  /// \p ToHead says that the answer to a HEAD request has no body.
  answer_decoder(const message_limits &Limits, bool ToHead);
  ~answer_decoder();

  /// Takes bytes off the front of \p Buffer; what follows the answer stays.
  decode_state feed(std::string &Buffer);

  /// Ends the bytes: an answer without a length ends with its connection, one
  /// with a length that is not reached is incomplete.
  decode_state end();

  http_answer_message take();
  bool hasBegun() const { return Begun; }
  bool keepsAlive() const;

  /// Returns for how long the server keeps an idle connection, if it says so.
  std::optional<std::chrono::seconds> idleTimeout() const;

private:
  void restart();

  struct parser;
  std::unique_ptr<parser> Parser;
  message_limits Limits;
  bool ToHead;
  bool Begun = false;
};

/// Returns the bytes of a request to \p Host.
std::string encodeRequest(const http_request_message &Request,
                          const std::string &Host);

/// Returns the bytes of an answer.
std::string encodeAnswer(const http_answer_message &Answer, bool ToHead,
                         bool Close);

} // namespace agatedale
