/// \file
/// Gateways as processes, with the store and the servers in this process. Only
/// the source file needs the headers of the project's stand-ins.
#pragma once

#include "record.h"

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace agatedale::review {

/// What the cases are given on their command line.
struct case_settings {
  std::string Gateway; ///< The program.
  std::string Folder;  ///< For settings and logs.
  bool HasTrouble = true;
};

/// Of both routes, in milliseconds.
struct route_times {
  int Aim = 600;
  int Timeout = 1500;
};

/// A service and its weight.
using weighted_part = std::pair<std::string, int>;

/// What differs between the deployments of the cases.
struct fleet_terms {
  std::vector<std::string> Zones; ///< Of each gateway.
  std::vector<std::string> Services{"desk"};
  int Servers = 8; ///< Of each service, in the zones of the gateways in turn.
  milliseconds Work{20};
  std::string ExtraSettings = {};
  std::string Configuration = {};
};

/// Machines as in the users' small deployments: 0.2 cores, 260 MB, 4,100
/// descriptors.
class small_fleet {
public:
  static constexpr std::size_t MemoryMb = 260;

  small_fleet(const case_settings &Settings, const fleet_terms &Terms,
              record &Record);
  ~small_fleet();
  small_fleet(const small_fleet &) = delete;
  small_fleet &operator=(const small_fleet &) = delete;

  /// Waits until every gateway is ready; false if one is not in time.
  bool waitUntilReady() const;
  bool waitUntilReady(std::size_t Vm) const;

  std::size_t size() const;
  std::string callers(std::size_t Vm) const;
  static std::string nameOf(std::size_t Vm);

  /// Writes a configuration as the operators do; it is acknowledged when this
  /// returns.
  void putConfiguration(const std::string &Text);

  /// Returns how many requests the servers of a service have run.
  int runs(const std::string &Service) const;

  /// Returns the most resident memory that the process has had.
  std::size_t peakMemoryKb(std::size_t Vm) const;

  /// Ends a process at once and waits until it has ended.
  void kill(std::size_t Vm);
  void start(std::size_t Vm);

private:
  struct parts;

  std::unique_ptr<parts> Parts;
};

/// Returns a configuration of one service with two routes, as the operators
/// write it. \p Accounts is a JSON object, or empty for none.
std::string configurationText(int Version, const std::string &Accounts = "",
                              const route_times &Times = {});

/// Returns one with two services, "desk-a" and "desk-b", between which both
/// routes are split.
std::string splitConfigurationText(int Version,
                                   std::span<const weighted_part> Parts);

} // namespace agatedale::review
