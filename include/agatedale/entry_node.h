/// \file
/// One entry VM's process as an object.
#pragma once

#include "agatedale/result.h"
#include "agatedale/settings.h"

#include <memory>

namespace agatedale {

/// A whole entry VM process: it serves callers, peers and operators until it is
/// stopped.
///
///   auto Node = entry_node::start(Settings);
///   ... wait for SIGTERM ...
///   valueOf(Node)->stop();
class entry_node {
public:
  /// Binds all addresses and starts serving. The node takes requests once it
  /// has a configuration; readyz tells.
  static result<std::unique_ptr<entry_node>> start(const settings &Settings);

  ~entry_node();

  /// Stops gracefully: takes no new work, hands over what it owns, finishes
  /// what runs, and returns.
  void stop();

private:
  class implementation;

  explicit entry_node(std::unique_ptr<implementation> Implementation);

  std::unique_ptr<implementation> Implementation;
};

} // namespace agatedale
