/// \file
/// The process of an entry VM.
#pragma once

#include "agatedale/result.h"
#include "agatedale/settings.h"

#include <memory>

namespace agatedale {

/// An entry VM process. It serves callers, peers and operators until it is
/// stopped.
///
///   auto Node = entry_node::start(Settings);
///   ... wait for SIGTERM ...
///   valueOf(Node)->stop();
class entry_node {
public:
  /// Binds all addresses and starts serving. The node accepts requests once it
  /// has a configuration; /readyz reports this.
  static result<std::unique_ptr<entry_node>> start(const settings &Settings);

  ~entry_node();

  /// Shuts down gracefully: accepts no new work, hands over the owned subjects,
  /// completes the requests in progress, and returns.
  void stop();

private:
  class implementation;

  explicit entry_node(std::unique_ptr<implementation> Implementation);

  std::unique_ptr<implementation> Implementation;
};

} // namespace agatedale
