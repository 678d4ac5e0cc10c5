/// \file
/// A small deployment: the store, backend servers and gateways.
#pragma once

#include "backend.h"
#include "gateway.h"
#include "store_standin.h"

#include <memory>
#include <string>
#include <vector>

namespace agatedale::review {

/// A route of the deployment's one service.
struct route_terms {
  std::string Name; ///< Also its path prefix.
  bool Idempotent = true;
  milliseconds Timeout{1500};
  milliseconds Aim{600};
  int MaxAttempts = 2;
};

/// What a case runs on.
struct deployment_terms {
  std::vector<gateway_place> Gateways;
  std::vector<backend::settings> Backends; ///< Without ids and addresses.
  std::vector<route_terms> Routes;
};

/// Starts the store, the backend servers and the gateways, and ends all with
/// itself. Backend servers report to the store while heartbeats() runs.
class deployment {
public:
  /// \p Folder is for settings and logs. Throws if the gateways do not become
  /// ready.
  deployment(const deployment_terms &Terms, const std::string &Program,
             const std::string &Folder, record &Record);
  ~deployment();
  deployment(const deployment &) = delete;
  deployment &operator=(const deployment &) = delete;

  store &platformStore() { return Store; }
  backend &backendAt(std::size_t Number) { return *Backends[Number]; }
  std::size_t backends() const { return Backends.size(); }
  gateway &gatewayAt(std::size_t Number) { return *Gateways[Number]; }
  std::size_t gateways() const { return Gateways.size(); }
  std::string ip(std::size_t Gateway) const { return Network.gateway(Gateway); }
  std::string callers(std::size_t Gateway) const {
    return callerAddress(ip(Gateway));
  }

  /// Waits until the gateway says that it is ready; throws after 10 s.
  void waitReady(std::size_t Number) const;

private:
  loopback_network Network;
  store Store;
  std::vector<std::unique_ptr<backend>> Backends;
  std::vector<std::unique_ptr<gateway>> Gateways;
};

/// Runs \p Case with a folder for settings and logs, prints its finding and
/// returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case
/// could not run. Arguments: the program, the record, the folder.
int runCase(int Argc, char **Argv,
            bool (*Case)(const std::string &Program, const std::string &Folder,
                         bool Trouble, record &Record));

} // namespace agatedale::review
