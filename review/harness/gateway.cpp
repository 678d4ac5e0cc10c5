/// \file
/// Settings, start and end of gateways.
#include "gateway.h"

#include "caller.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <fmt/format.h>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <limits>
#include <map>
#include <stdexcept>

namespace agatedale::review {

namespace {

constexpr int CallerPort = 24'001;
constexpr int ReadinessPort = 24'002;
constexpr int PeerPort = 24'003;
constexpr int StorePort = 24'004;
constexpr int FirstBackendPort = 24'100;
constexpr int MetricsPort = 9'464;

bool isFree(const std::string &Ip, int Port) {
  try {
    Poco::Net::ServerSocket Probe;
    Probe.bind(Poco::Net::SocketAddress(Ip, static_cast<Poco::UInt16>(Port)),
               false);
    return true;
  } catch (const Poco::Exception &) {
    return false;
  }
}

} // namespace

loopback_network loopback_network::findFree(std::size_t Gateways) {
  constexpr int Tries = 100;
  for (int I = 0; I < Tries; ++I) {
    const int Second = 64 + (::getpid() + I) % 100;
    loopback_network Network{fmt::format("127.{}.77", Second)};
    bool AllFree = isFree(fmt::format("{}.1", Network.Prefix), StorePort);
    for (std::size_t Number = 0; Number < Gateways; ++Number) {
      for (const int Port : {CallerPort, ReadinessPort, PeerPort, MetricsPort})
        AllFree = AllFree && isFree(Network.gateway(Number), Port);
    }
    if (AllFree)
      return Network;
  }
  throw std::runtime_error("no free loopback addresses");
}

std::string loopback_network::gateway(std::size_t Number) const {
  return fmt::format("{}.{}", Prefix, 10 + Number);
}

std::string loopback_network::store() const {
  return fmt::format("{}.1:{}", Prefix, StorePort);
}

std::string loopback_network::backend(std::size_t Number) const {
  return fmt::format("{}.100:{}", Prefix, FirstBackendPort + Number);
}

std::string callerAddress(const std::string &Ip) {
  return fmt::format("{}:{}", Ip, CallerPort);
}

void writeSettings(const std::string &File, const loopback_network &Network,
                   const std::vector<gateway_place> &Places,
                   std::size_t Number) {
  const std::string Ip = Network.gateway(Number);
  std::ofstream Out(File);
  Out << fmt::format(
      "vm = \"front-{0}\"\nip = \"{1}\"\nzone = \"{2}\"\nregion = \"{3}\"\n"
      "caller_address = \"{1}:{4}\"\nreadiness_address = \"{1}:{5}\"\n"
      "metrics_address = \"{1}:{6}\"\npeer_port = {7}\n"
      "store_address = \"{8}\"\nstore_writes_per_s = 200\nbootstrap = false\n"
      "cpu_share = 0.2\nmemory_mb = 260\nlink_mbps = 1000.0\n"
      "stop_grace_s = 6\nserver_heartbeat_ms = 1500\nretry_ratio = 0.2\n"
      "retry_burst = 58\n[zones]\n",
      Number, Ip, Places[Number].Zone, Places[Number].Region, CallerPort,
      ReadinessPort, MetricsPort, PeerPort, Network.store());
  std::map<std::string, std::string> Zones;
  for (const gateway_place &Place : Places)
    Zones[Place.Zone] = Place.Region;
  for (const auto &[Zone, Region] : Zones)
    Out << fmt::format("\"{}\" = \"{}\"\n", Zone, Region);
}

bool isReady(const std::string &Ip) {
  constexpr milliseconds Patience{500};
  const reply Reply = exchange(fmt::format("{}:{}", Ip, ReadinessPort),
                               "GET /v1/readyz HTTP/1.1\r\nHost: readiness\r\n"
                               "Connection: close\r\n\r\n",
                               Patience);
  return Reply.Status == 200;
}

gateway::~gateway() {
  signal(SIGCONT);
  signal(SIGKILL);
  if (Pid > 0)
    ::waitpid(Pid, nullptr, 0);
}

void gateway::start() {
  constexpr mode_t LogMode = 0644;
  if (isRunning())
    return;
  Pid = ::fork();
  if (Pid != 0)
    return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int File =
      ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LogMode);
  ::dup2(File, STDOUT_FILENO);
  ::dup2(File, STDERR_FILENO);
  ::close_range(STDERR_FILENO + 1, std::numeric_limits<unsigned>::max(), 0);
  ::execl(Program.c_str(), Program.c_str(), "--settings", Settings.c_str(),
          nullptr);
  ::_exit(127);
}

void gateway::signal(int Signal) const {
  if (Pid > 0)
    ::kill(Pid, Signal);
}

bool gateway::isRunning() {
  if (Pid > 0 && ::waitpid(Pid, nullptr, WNOHANG) == Pid)
    Pid = -1;
  return Pid > 0;
}

std::size_t gateway::memoryMb() const {
  constexpr std::size_t KilobytesPerMegabyte = 1024;
  std::ifstream Status(fmt::format("/proc/{}/status", Pid));
  for (std::string Word; Status >> Word;) {
    std::size_t Kilobytes = 0;
    if (Word == "VmRSS:" && Status >> Kilobytes)
      return Kilobytes / KilobytesPerMegabyte;
  }
  return 0;
}

} // namespace agatedale::review
