/// \file
/// The HTTP server for callers.
#pragma once

#include "../http/function_server.h"
#include "agatedale/metrics.h"
#include "agatedale/settings.h"
#include "request_path.h"

#include <memory>

namespace agatedale {

/// Reads callers' requests, checks them against the limits, and writes answers
/// and refusals with their verdicts.
///
///   auto Server = caller_server::start(Settings, Path, Metrics);
class caller_server {
public:
  static result<std::unique_ptr<caller_server>>
  start(const settings &Settings, request_path &Path, metrics &Metrics);

  /// Takes no new connections and finishes the requests that run.
  void stop(std::chrono::milliseconds Grace) { Server->stop(Grace); }

  /// Asks callers, with each answer, to close their connections.
  void closeConnections() { Closing = true; }

private:
  caller_server(const settings &Settings, request_path &Path, metrics &Metrics)
      : Settings(Settings), Path(Path), Metrics(Metrics) {}

  void answer(http_request &Request, http_response &Response);
  std::optional<node_request> readHead(http_request &Request,
                                       refusal_reason &Refusal);
  bool readBody(http_request &From, node_request &Request);
  void finish(http_request &From, http_response &Response,
              const node_request &Request, const node_answer &Answer,
              time_point Begin);
  void refuse(http_response &Response, const std::string &RequestId,
              refusal_reason Reason, verdict Verdict);

  settings Settings;
  request_path &Path;
  metrics &Metrics;
  std::atomic<bool> Closing{false};
  std::unique_ptr<function_server> Server;
};

} // namespace agatedale
