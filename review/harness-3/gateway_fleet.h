/// \file
/// A small deployment on loopback addresses.
#pragma once

#include "gateway.h"
#include "record.h"
#include "server.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace agatedale::platform {
class store_standin;
} // namespace agatedale::platform

namespace agatedale::review {

/// A zone, and what stands in it at the start.
struct zone_terms {
  std::string Name;
  std::string Region;
  int Gateways = 0;
  int Servers = 0;
};

/// What the platform tells the processes, and what stands in the store.
struct deployment_terms {
  std::vector<zone_terms> Zones{{"north-a", "tt-north", 2, 4}};
  std::size_t MemoryMb = 260;
  std::size_t MaxDescriptors = 4100;
  std::string Configuration; ///< Names the service deployment::Service.
  server_terms Server;       ///< Of each server, but for its place and name.
};

/// The project's stand-in for the store, servers, and gateways as processes.
/// The servers write their rows every heartbeat. Everything ends with this
/// object.
///
///   deployment Deployment(Terms, Record);
///   if (!Deployment.waitUntilReady(Wait)) return CannotRun;
class deployment {
public:
  static constexpr const char *Service = "desk";

  deployment(const deployment_terms &Terms, record &Record);
  ~deployment();
  deployment(const deployment &) = delete;
  deployment &operator=(const deployment &) = delete;

  /// Returns true once all gateways are ready and answer a request.
  bool waitUntilReady(std::chrono::seconds Wait);
  bool isReady(const gateway &Gateway) const;

  /// Sends a short idempotent request to a gateway; returns the status, 0 if
  /// there is no answer within \p Wait.
  int askOnce(const gateway &Gateway, std::chrono::milliseconds Wait);

  /// Calls \p Look for each server that runs.
  void forEachServer(const std::function<void(server &)> &Look);

  std::vector<std::unique_ptr<gateway>> &gateways() { return Gateways; }

  /// Writes and removes rows as the operators do.
  void putRow(const std::string &Table, const std::string &Key,
              const std::string &Value);
  void removeRow(const std::string &Table, const std::string &Key);

  std::uint16_t callerPort() const { return CallerPort; }

private:
  /// Returns an address for servers, and a port of it that is free.
  std::pair<std::string, std::uint16_t> serverAddress() const;
  void addServer(const server_terms &Terms);
  void startServers(const deployment_terms &Terms);
  void startGateways(const deployment_terms &Terms);
  void writeRows();

  record &Record;
  std::filesystem::path Folder;
  std::string IpPrefix; ///< The first three numbers of all addresses.
  std::uint16_t CallerPort = 0;
  std::uint16_t ReadinessPort = 0;
  std::uint16_t PeerPort = 0;
  std::string StoreAddress;
  int Asked = 0;
  std::unique_ptr<platform::store_standin> Store;
  std::mutex Lock; ///< Of the servers and their rows.
  std::vector<std::unique_ptr<server>> Servers;
  std::atomic<bool> Stopping{false};
  std::thread RowWriter;
  std::vector<std::unique_ptr<gateway>> Gateways;
};

/// Returns the head of a request of a client within the pages' limits.
std::string requestHead(const std::string &Method, const std::string &Path,
                        const std::string &Id, const std::string &Fields = "");

} // namespace agatedale::review
