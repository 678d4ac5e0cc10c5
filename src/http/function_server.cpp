/// \file
/// The HTTP server around a function.
#include "function_server.h"
#include "address.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <fmt/format.h>

#include <thread>

namespace agatedale {

namespace {

constexpr int ListenBacklog = 512;
constexpr std::chrono::milliseconds StopPoll{5};

/// Hands one request to the function.
class function_handler : public Poco::Net::HTTPRequestHandler {
public:
  explicit function_handler(const http_function &Answer) : Answer(Answer) {}

  void handleRequest(http_request &Request, http_response &Response) override {
    Answer(Request, Response);
  }

private:
  const http_function &Answer;
};

/// Makes a handler for each request.
class function_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit function_factory(http_function Answer) : Answer(std::move(Answer)) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const http_request &) override {
    return new function_handler(Answer);
  }

private:
  http_function Answer;
};

Poco::Net::HTTPServerParams::Ptr paramsOf(const http_server_settings &From) {
  const Poco::Timespan Timeout(From.Timeout.count() * 1000);
  Poco::Net::HTTPServerParams::Ptr Params = new Poco::Net::HTTPServerParams;
  Params->setMaxThreads(From.Threads);
  Params->setMaxQueued(From.Queued);
  Params->setTimeout(Timeout);
  Params->setKeepAlive(true);
  Params->setKeepAliveTimeout(Timeout);
  Params->setMaxKeepAliveRequests(0);
  return Params;
}

} // namespace

result<std::unique_ptr<function_server>>
function_server::start(const http_server_settings &Settings,
                       http_function Answer) {
  const result<socket_address> Address = parseAddress(Settings.Address);
  if (const error *Error = errorOf(Address))
    return *Error;
  try {
    const Poco::Net::SocketAddress Where(valueOf(Address).Ip,
                                         valueOf(Address).Port);
    Poco::Net::ServerSocket Socket;
    Socket.bind(Where, true);
    Socket.listen(ListenBacklog);
    std::unique_ptr<function_server> Made(new function_server);
    Made->Pool =
        std::make_unique<Poco::ThreadPool>(1, Settings.Threads + 1, 30);
    Made->Server = std::make_unique<Poco::Net::HTTPServer>(
        new function_factory(std::move(Answer)), *Made->Pool, Socket,
        paramsOf(Settings));
    Made->Server->start();
    return Made;
  } catch (const Poco::Exception &Failure) {
    return error{error_kind::Unavailable,
                 fmt::format("cannot serve on {}: {}", Settings.Address,
                             Failure.displayText())};
  }
}

function_server::~function_server() {
  if (Server)
    stop(std::chrono::milliseconds(0));
}

void function_server::stop(std::chrono::milliseconds Grace) {
  Server->stop();
  const auto End = std::chrono::steady_clock::now() + Grace;
  while (Server->currentConnections() > 0 &&
         std::chrono::steady_clock::now() < End)
    std::this_thread::sleep_for(StopPoll);
  Server->stopAll(true);
  Pool->joinAll();
}

void sendText(http_response &Response, int Status, std::string_view Body,
              std::string_view ContentType) {
  Response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
  Response.setContentType(std::string(ContentType));
  Response.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  Response.sendBuffer(Body.data(), Body.size());
}

} // namespace agatedale
