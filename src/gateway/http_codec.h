/// \file
/// Decoding and encoding of HTTP/1.1 messages.
#pragma once

#include "agatedale/http_message.h"
#include "framing_fault.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace agatedale {

/// The state of a decoder after a call of feed().
enum class decode_state { NeedMore, Complete, Failed };

/// Size limits of one message.
struct message_limits {
  std::uint32_t HeaderBytes = 16 * 1024;
  std::uint64_t BodyBytes = 1 << 20;
};

/// Decodes one request from the bytes received on a connection.
///
///   request_decoder Decoder(Limits);
///   if (Decoder.feed(Buffer) == decode_state::Complete)
///     serve(Decoder.takeMessage());
class request_decoder {
public:
  explicit request_decoder(const message_limits &Limits);
  ~request_decoder();

  /// Consumes bytes from the front of \p Buffer. Bytes after the end of the
  /// request stay in the buffer.
  decode_state feed(std::string &Buffer);

  /// Returns the request without its hop-by-hop headers. Valid once, after
  /// feed() has returned Complete.
  http_request_message takeMessage();

  /// Returns the request without its body and its hop-by-hop headers. Valid
  /// from the end of the head on, before takeMessage().
  http_request_message head() const;

  /// Returns the status code of the response to a request that could not be
  /// decoded.
  int failureStatus() const { return FailureStatus; }

  /// Returns why the request could not be decoded.
  framing_fault fault() const { return Fault; }
  bool hasStarted() const { return AnyBytesFed; }
  bool isHeaderComplete() const;

  /// Returns the number of body bytes received so far.
  std::size_t bodyBytes() const;

  /// Returns the number of body bytes that are announced and not received.
  std::size_t missingBodyBytes() const;
  bool keepsAlive() const;
  bool expectsContinue() const;

private:
  struct parser;
  std::unique_ptr<parser> Parser;
  int FailureStatus = 0;
  framing_fault Fault = framing_fault::None;
  bool AnyBytesFed = false;
  bool IsStartRead = false; ///< Past an empty line ahead, if there is one.
};

/// Decodes one response from the bytes received on a connection. Skips interim
/// responses (1xx).
class response_decoder {
public:
  /// If \p IsHeadRequest is set, the response is expected to have no body.
  response_decoder(const message_limits &Limits, bool IsHeadRequest);
  ~response_decoder();

  /// Called with the status and the headers of a response as soon as these are
  /// complete, also of interim responses and of ones that end early.
  using head_handler =
      std::function<void(int Status, const header_list &Headers)>;
  void setHeadHandler(head_handler NewHandler) {
    OnHead = std::move(NewHandler);
  }

  /// Consumes bytes from the front of \p Buffer. Bytes after the end of the
  /// response stay in the buffer.
  decode_state feed(std::string &Buffer);

  /// Signals the end of the connection, which completes a response without a
  /// length. Fails if the response has a length that was not reached.
  decode_state endOfInput();

  http_response_message takeMessage();

  /// Returns why the response could not be decoded.
  framing_fault fault() const { return Fault; }
  bool hasStarted() const { return AnyBytesFed; }

  /// Returns the number of body bytes received so far.
  std::size_t bodyBytes() const;

  /// Returns the memory that the body takes, which grows ahead of its bytes.
  std::size_t heldBytes() const;

  /// Returns true if the response has announced its length, so that heldBytes()
  /// does not grow any more.
  bool isLengthKnown() const;
  bool keepsAlive() const;

  /// Returns the timeout of the Keep-Alive header, if there is one.
  std::optional<std::chrono::seconds> idleTimeout() const;

private:
  void restart();
  void reportHead();
  bool announcesStrayBody() const;

  struct parser;
  std::unique_ptr<parser> Parser;
  message_limits Limits;
  bool IsHeadRequest;
  bool AnyBytesFed = false;
  framing_fault Fault = framing_fault::None;
  int InterimResponses = 0;
  head_handler OnHead;
  bool HeadReported = false;
};

/// Encodes the head of a request like encodeRequest().
std::string encodeRequestHead(const http_request_message &Request,
                              const std::string &Host);

/// Encodes a request. \p Host is sent in the Host header unless the request has
/// one.
std::string encodeRequest(const http_request_message &Request,
                          const std::string &Host);

/// Encodes the head of a response. If \p IsHeadRequest is set, the body's
/// length is omitted; if \p Close is set, the response has the header
/// "Connection: close".
std::string encodeResponseHead(const http_response_message &Response,
                               bool IsHeadRequest, bool Close);

/// Encodes a response like encodeResponseHead(), with its body.
std::string encodeResponse(const http_response_message &Response,
                           bool IsHeadRequest, bool Close);

} // namespace agatedale
