/// \file
/// Gateways as processes, each with a loopback address of its own.
#pragma once

#include "record.h"

#include <sys/types.h>

#include <string>
#include <vector>

namespace agatedale::review {

/// Where a gateway stands.
struct gateway_place {
  std::string Zone;
  std::string Region;
};

/// Addresses on the loopback network whose ports are free.
struct loopback_network {
  std::string Prefix; ///< The first three bytes of the addresses.

  static loopback_network findFree(std::size_t Gateways);
  std::string gateway(std::size_t Number) const;
  std::string store() const;
  std::string backend(std::size_t Number) const;
};

/// One agatedale-gateway. Start it from the main thread: the system ends the
/// process with the thread that started it.
class gateway {
public:
  gateway(std::string Program, std::string Settings, std::string Log)
      : Program(std::move(Program)), Settings(std::move(Settings)),
        Log(std::move(Log)) {}
  ~gateway();
  gateway(const gateway &) = delete;
  gateway &operator=(const gateway &) = delete;

  void start();
  void signal(int Signal) const;
  bool isRunning();
  /// Returns the resident memory of the process in MB.
  std::size_t memoryMb() const;

private:
  std::string Program;
  std::string Settings;
  std::string Log;
  pid_t Pid = -1;
};

/// Writes the settings of a gateway as the platform's template renders them.
void writeSettings(const std::string &File, const loopback_network &Network,
                   const std::vector<gateway_place> &Places,
                   std::size_t Number);

/// Returns true if the gateway at \p Ip says that it is ready.
bool isReady(const std::string &Ip);

/// Returns the address at which callers reach the gateway at \p Ip.
std::string callerAddress(const std::string &Ip);

} // namespace agatedale::review
