/// \file
/// An HTTP server whose requests go to a function.
#pragma once

#include "agatedale/result.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace agatedale {

using http_request = Poco::Net::HTTPServerRequest;
using http_response = Poco::Net::HTTPServerResponse;

/// Answers one request; it runs on the connection's thread.
using http_function = std::function<void(http_request &, http_response &)>;

/// How an HTTP server is bounded.
struct http_server_settings {
  std::string Address; ///< "ip:port".
  int Threads = 8;     ///< Connections that are served at once.
  int Queued = 64;     ///< Connections that wait for a thread.
  std::chrono::milliseconds Timeout{10'000}; ///< For each receive and send.
};

/// An HTTP server with a bounded number of threads of its own.
///
///   auto Server = function_server::start({"127.0.0.1:8081"}, Answer);
///   ...
///   valueOf(Server)->stop();
class function_server {
public:
  /// Binds the address and starts serving.
  static result<std::unique_ptr<function_server>>
  start(const http_server_settings &Settings, http_function Answer);

  ~function_server();

  /// Closes the listening socket and idle connections; requests that run are
  /// finished, at most for \p Grace.
  void stop(std::chrono::milliseconds Grace);

  /// Returns the connections that are being served.
  int currentConnections() const { return Server->currentConnections(); }

private:
  function_server() = default;

  std::unique_ptr<Poco::ThreadPool> Pool;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
};

/// Sends \p Body as the whole answer with \p Status.
void sendText(http_response &Response, int Status, std::string_view Body,
              std::string_view ContentType = "text/plain");

} // namespace agatedale
