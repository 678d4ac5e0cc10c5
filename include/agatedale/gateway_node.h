/// \file
/// The gateway process of an entry VM.
#pragma once

#include "agatedale/gateway_settings.h"
#include "agatedale/result.h"

#include <memory>

namespace agatedale {

/// The gateway of an entry VM: accepts callers' requests, dispatches requests
/// for the server groups that it owns, and follows the platform's store.
///
///   auto Node = gateway_node::start(Settings);
///   if (const error *Error = errorOf(Node)) ...
///   valueOf(Node)->run(); // Returns after requestStop() has completed.
class gateway_node {
public:
  /// Binds the listening addresses and starts the threads. An error names the
  /// address that could not be bound.
  static result<std::unique_ptr<gateway_node>>
  start(const gateway_settings &Settings);
  ~gateway_node();

  /// Serves requests until a stop is requested and every request that has been
  /// read is answered, or the stop grace period is over.
  void run();

  /// Requests a graceful stop that drains requests in progress. May be called
  /// from any thread.
  void requestStop();

private:
  class impl;
  explicit gateway_node(std::unique_ptr<impl> Impl);

  std::unique_ptr<impl> Impl;
};

} // namespace agatedale
