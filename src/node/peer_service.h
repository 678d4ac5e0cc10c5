/// \file
/// What peers may ask of this node.
#pragma once

#include "agatedale/result.h"
#include "control.h"
#include "owned_subjects.h"
#include "request_path.h"

#include <functional>
#include <memory>
#include <string>

namespace grpc {
class Server;
} // namespace grpc

namespace agatedale {

/// Parts of the node that answer peers.
struct peer_service_parts {
  control &Control;
  owned_subjects &Owned;
  request_path &Path;
  std::function<void()> OnLeaseNews; ///< Leases or owners may have changed.
};

/// The gRPC server for the other entry VMs of the fleet.
///
///   auto Service = peer_service::start("10.0.0.7:8082", 512, Parts);
class peer_service {
public:
  static result<std::unique_ptr<peer_service>>
  start(const std::string &Address, int MaxThreads,
        const peer_service_parts &Parts);

  ~peer_service();

  /// Refuses new calls; those that run end within \p Grace.
  void stop(std::chrono::milliseconds Grace);

private:
  class implementation;

  peer_service();

  std::unique_ptr<implementation> Implementation;
  std::unique_ptr<grpc::Server> Server;
};

} // namespace agatedale
