/// \file
/// The HTTP server for operators and the platform's balancer.
#pragma once

#include "../http/function_server.h"
#include "agatedale/event_log.h"
#include "agatedale/metrics.h"
#include "agatedale/settings.h"
#include "control.h"
#include "owned_subjects.h"
#include "peer_link.h"
#include "request_path.h"

#include <memory>

namespace agatedale {

/// Parts of the node that operators may look into.
struct admin_parts {
  control &Control;
  owned_subjects &Owned;
  request_path &Path;
  peer_links &Links;
  metrics &Metrics;
  event_log &Events;
};

/// Answers GET /healthz, /readyz, /metrics, /status and /explain?subject=S.
///
///   auto Server = admin_server::start(Settings, Parts);
class admin_server {
public:
  static result<std::unique_ptr<admin_server>> start(const settings &Settings,
                                                     const admin_parts &Parts);

  void stop() { Server->stop(std::chrono::milliseconds(0)); }

private:
  admin_server(const settings &Settings, const admin_parts &Parts)
      : Settings(Settings), Parts(Parts) {}

  void answer(http_request &Request, http_response &Response);
  void exportGauges();
  std::string statusJson();
  std::string explainJson(const std::string &Subject);

  settings Settings;
  admin_parts Parts;
  std::unique_ptr<function_server> Server;
};

} // namespace agatedale
