/// \file
/// Addresses, settings and start of a small deployment.
#include "gateway_fleet.h"
#include "platform/standins/store_standin.h"
#include "sockets.h"

#include <fmt/format.h>

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <system_error>
#include <thread>
#include <tuple>

namespace agatedale::review {

namespace {

constexpr int StoreHost = 100;
constexpr int ServerHost = 200;
constexpr int StatusOk = 200;
constexpr std::chrono::milliseconds LookInterval{50};
constexpr std::chrono::milliseconds Heartbeat{1500};

/// Runs of several cases at the same time use networks of their own.
std::string networkOfProcess() {
  constexpr int First = 64;
  constexpr int Networks = 128;
  constexpr int Subnetworks = 250;
  const int Pid = ::getpid();
  return fmt::format("127.{}.{}", First + Pid % Networks,
                     1 + Pid / Networks % Subnetworks);
}

void replaceInFile(const std::string &File, const std::string &Old,
                   const std::string &New) {
  std::stringstream Text;
  Text << std::ifstream(File).rdbuf();
  std::string Content = Text.str();
  const std::size_t At = Content.find(Old);
  if (At != std::string::npos)
    std::ofstream(File) << Content.replace(At, Old.size(), New);
}

} // namespace

std::string requestHead(const std::string &Method, const std::string &Path,
                        const std::string &Id, const std::string &Fields) {
  return fmt::format("{} {} HTTP/1.1\r\nHost: shop.example\r\n"
                     "Request-Id: {}\r\nDeadline-Ms: 6000\r\n{}\r\n",
                     Method, Path, Id, Fields);
}

deployment::deployment(const deployment_terms &Terms, record &Record)
    : Record(Record), Folder(std::filesystem::temp_directory_path() /
                             fmt::format("agatedale-review-{}", ::getpid())),
      IpPrefix(networkOfProcess()), CallerPort(freePort(IpPrefix + ".1")),
      ReadinessPort(freePort(IpPrefix + ".1")),
      PeerPort(freePort(IpPrefix + ".1")) {
  std::filesystem::create_directories(Folder);
  const std::string Ip = fmt::format("{}.{}", IpPrefix, StoreHost);
  StoreAddress = fmt::format("{}:{}", Ip, freePort(Ip));
  Store = moveValue(platform::store_standin::start(StoreAddress));
  startServers(Terms);
  RowWriter = std::thread([this] { writeRows(); });
  Store->put("op", "config", Terms.Configuration);
  startGateways(Terms);
}

deployment::~deployment() {
  Gateways.clear();
  Stopping = true;
  RowWriter.join();
  Servers.clear();
  std::error_code Ignored;
  std::filesystem::remove_all(Folder, Ignored);
}

void deployment::putRow(const std::string &Table, const std::string &Key,
                        const std::string &Value) {
  Store->put(Table, Key, Value);
}

void deployment::removeRow(const std::string &Table, const std::string &Key) {
  Store->remove(Table, Key);
}

std::pair<std::string, std::uint16_t> deployment::serverAddress() const {
  const std::string Ip = fmt::format("{}.{}", IpPrefix, ServerHost);
  return {Ip, freePort(Ip)};
}

void deployment::addServer(const server_terms &Terms) {
  const std::lock_guard Guard(Lock);
  Servers.push_back(std::make_unique<server>(Terms));
  Store->put("servers", Terms.Id, Servers.back()->nextRow());
}

void deployment::forEachServer(const std::function<void(server &)> &Look) {
  const std::lock_guard Guard(Lock);
  for (const auto &Each : Servers)
    Look(*Each);
}

void deployment::startServers(const deployment_terms &Terms) {
  int Number = 0;
  for (const zone_terms &Zone : Terms.Zones) {
    for (int I = 0; I < Zone.Servers; ++I) {
      server_terms Server = Terms.Server;
      Server.Id = fmt::format("i-{}", ++Number);
      std::tie(Server.Ip, Server.Port) = serverAddress();
      Server.Service = Service;
      Server.Zone = Zone.Name;
      addServer(Server);
    }
  }
}

/// Writes the rows of the servers every heartbeat.
void deployment::writeRows() {
  auto WriteAt = steady_clock::now() + Heartbeat;
  while (!Stopping) {
    std::this_thread::sleep_for(LookInterval);
    const std::lock_guard Guard(Lock);
    const auto Now = steady_clock::now();
    if (Now < WriteAt)
      continue;
    WriteAt += Heartbeat;
    for (const auto &Each : Servers)
      Store->put("servers", Each->terms().Id, Each->nextRow());
  }
}

void deployment::startGateways(const deployment_terms &Terms) {
  std::string Regions;
  for (const zone_terms &Zone : Terms.Zones)
    Regions += fmt::format("\"{}\" = \"{}\"\n", Zone.Name, Zone.Region);
  int Host = 0;
  for (const zone_terms &Zone : Terms.Zones) {
    for (int I = 0; I < Zone.Gateways; ++I) {
      const std::string Name = fmt::format("front-{}-{}", Zone.Name, I + 1);
      const std::string Ip = fmt::format("{}.{}", IpPrefix, ++Host);
      const std::string File = (Folder / Name).string();
      std::ofstream(File + ".toml") << fmt::format(
          "vm = \"{0}\"\nip = \"{1}\"\nzone = \"{2}\"\nregion = \"{3}\"\n"
          "caller_address = \"{1}:{4}\"\nreadiness_address = \"{1}:{5}\"\n"
          "peer_port = {6}\nstore_address = \"{7}\"\n"
          "store_writes_per_s = 200\nbootstrap = true\ncpu_share = 0.2\n"
          "memory_mb = {8}\nmax_fds = {9}\nlink_mbps = 1000.0\n"
          "stop_grace_s = 6\nserver_heartbeat_ms = {10}\n"
          "configuration_apply_ms = 2000\nretry_ratio = 0.2\n"
          "retry_burst = 58\nlearned_concurrency = true\n"
          "overload_control = true\nregional_overflow = true\n"
          "[zones]\n{11}",
          Name, Ip, Zone.Name, Zone.Region, CallerPort, ReadinessPort, PeerPort,
          StoreAddress, Terms.MemoryMb, Terms.MaxDescriptors, Heartbeat.count(),
          Regions);
      Gateways.push_back(std::make_unique<gateway>(
          Name, Ip, File + ".toml", File + ".log", Terms.MaxDescriptors));
      Gateways.back()->start();
      Record.line("started {} as process {}", Name, Gateways.back()->pid());
    }
  }
}

bool deployment::isReady(const gateway &Gateway) const {
  return exchange(Gateway.ip(), ReadinessPort,
                  "GET /v1/readyz HTTP/1.1\r\nHost: readiness\r\n\r\n",
                  std::chrono::seconds(1)) == StatusOk;
}

int deployment::askOnce(const gateway &Gateway,
                        std::chrono::milliseconds Wait) {
  return exchange(
      Gateway.ip(), CallerPort,
      requestHead("GET", "/reads/short", fmt::format("ordinary-{}", ++Asked)),
      Wait);
}

bool deployment::waitUntilReady(std::chrono::seconds Wait) {
  const auto End = steady_clock::now() + Wait;
  for (const auto &Gateway : Gateways) {
    while (!isReady(*Gateway) ||
           askOnce(*Gateway, std::chrono::seconds(5)) != StatusOk) {
      if (steady_clock::now() > End)
        return false;
      std::this_thread::sleep_for(LookInterval);
    }
  }
  // Only the first start of the whole system is told so.
  for (const auto &Gateway : Gateways)
    replaceInFile(Gateway->settings(), "bootstrap = true", "bootstrap = false");
  Record.line("all gateways are ready");
  return true;
}

} // namespace agatedale::review
