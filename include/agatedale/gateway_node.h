/// \file
/// One gateway as a whole.
#pragma once

#include "agatedale/gateway_settings.h"
#include "agatedale/result.h"

#include <memory>

namespace agatedale {

/// The gateway of an entry VM: takes callers' requests, dispatches for the
/// server groups that it owns, and follows the platform's store.
///
///   auto Node = gateway_node::start(Settings);
///   if (const error *Error = errorOf(Node)) ...
///   valueOf(Node)->run(); // Until requestStop() was obeyed.
class gateway_node {
public:
  /// Binds the addresses and starts the threads; errors name the address.
  static result<std::unique_ptr<gateway_node>>
  start(const gateway_settings &Settings);
  ~gateway_node();

  /// Serves until a stop was asked for and everything read is answered.
  void run();

  /// Asks for a stop in which no request is cut; for any thread.
  void requestStop();

private:
  class impl;
  explicit gateway_node(std::unique_ptr<impl> Impl);

  std::unique_ptr<impl> Impl;
};

} // namespace agatedale
