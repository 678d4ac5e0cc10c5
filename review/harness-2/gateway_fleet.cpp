/// \file
/// Settings as the platform renders them, and the start of the processes.
#include "gateway_fleet.h"
#include "exchange.h"
#include "platform/standins/server_standin.h"
#include "platform/standins/store_standin.h"
#include "platform/tests/soak/gateway_process.h"

#include <fmt/format.h>

#include <unistd.h>

#include <csignal>
#include <fstream>
#include <set>
#include <thread>

namespace agatedale::review {

namespace {

constexpr int CallerPort = 8161;
constexpr int ReadinessPort = 8167;
constexpr int PeerPort = 7720;
constexpr int StorePort = 8169;
constexpr int FirstServerPort = 8300;
constexpr std::chrono::seconds StartLimit{15};
constexpr milliseconds LookInterval{50};
constexpr milliseconds EndLimit{500};
constexpr int StatusOk = 200;

/// Second numbers of the loopback addresses, so that two runs do not meet.
constexpr int FirstNetwork = 64;
constexpr int Networks = 128;

} // namespace

namespace {

std::string makeConfiguration(int Version, const std::string &Target,
                              std::span<const std::string> Services,
                              const std::string &Accounts,
                              const route_times &Times) {
  const std::string Route =
      fmt::format(R"("host":"shop.example","timeout_ms":{},"aim_ms":{},)"
                  R"({},"max_attempts":2,"allowed_regions":[])",
                  Times.Timeout, Times.Aim, Target);
  std::string ServiceTable;
  for (const std::string &Service : Services)
    ServiceTable += fmt::format(
        R"({}"{}":{{"health_path":"/healthz","max_connections":220,)"
        R"("protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":6.5}})",
        ServiceTable.empty() ? "" : ",", Service);
  return fmt::format(
      R"({{"version":"r{}","routes":{{"reads":{{"prefix":"/reads/",)"
      R"("kind":"idempotent","priority":2,{}}},"orders":{{)"
      R"("prefix":"/orders/","kind":"non_idempotent","priority":1,{}}}}},)"
      R"("services":{{{}}},{})"
      R"("limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,)"
      R"("header_timeout_ms":3000,"idle_timeout_ms":15000}}}})",
      Version, Route, Route, ServiceTable,
      Accounts.empty() ? "" : fmt::format(R"("tenants":{},)", Accounts));
}

} // namespace

std::string configurationText(int Version, const std::string &Accounts,
                              const route_times &Times) {
  const std::vector<std::string> Services{"desk"};
  return makeConfiguration(Version, R"("service":"desk")", Services, Accounts,
                           Times);
}

std::string splitConfigurationText(int Version,
                                   std::span<const weighted_part> Parts) {
  std::vector<std::string> Services;
  std::string Target;
  for (const auto &[Service, Weight] : Parts) {
    Services.push_back(Service);
    Target += fmt::format(R"({}{{"service":"{}","weight":{}}})",
                          Target.empty() ? "" : ",", Service, Weight);
  }
  return makeConfiguration(Version, fmt::format(R"("backends":[{}])", Target),
                           Services, "", {});
}

struct small_fleet::parts {
  struct started_server {
    std::string Service;
    std::unique_ptr<platform::server_standin> Server;
  };

  explicit parts(int Network) : Network(Network) {}

  std::string ip(int Third, std::size_t Fourth) const {
    return fmt::format("127.{}.{}.{}", Network, Third, Fourth);
  }
  std::string callers(std::size_t Vm) const {
    return fmt::format("{}:{}", ip(1, Vm + 1), CallerPort);
  }
  void startServers(const fleet_terms &Terms, record &Record);
  void writeSettings(const std::string &File, std::size_t Vm,
                     const fleet_terms &Terms) const;

  int Network;
  std::unique_ptr<platform::store_standin> Store;
  std::vector<started_server> Servers;
  std::vector<std::unique_ptr<soak::gateway_process>> Gateways;
};

void small_fleet::parts::startServers(const fleet_terms &Terms,
                                      record &Record) {
  constexpr std::size_t ShownBytes = 300;
  const std::size_t Count =
      Terms.Services.size() * static_cast<std::size_t>(Terms.Servers);
  for (std::size_t I = 0; I < Count; ++I) {
    const std::string &Service = Terms.Services.at(I % Terms.Services.size());
    const std::size_t Place = I / Terms.Services.size();
    auto Server = moveValue(platform::server_standin::start(
        fmt::format("i-{}", I),
        fmt::format("{}:{}", ip(0, 200),
                    FirstServerPort + static_cast<int>(I))));
    Server->setWork(Terms.Work);
    Server->setOnArrival(
        [&Record, Name = fmt::format("{} of {}", Server->id(), Service)](
            const std::string &Text) {
          if (Text.starts_with("GET /healthz "))
            return;
          std::string Shown = Text.substr(0, ShownBytes);
          for (char &C : Shown)
            C = C == '\r' || C == '\n' ? '|' : C;
          Record.line(fmt::format("{} runs {}", Name, Shown));
        });
    Store->put(
        "servers", Server->id(),
        Server->row(Service, Terms.Zones.at(Place % Terms.Zones.size())));
    Servers.push_back({Service, std::move(Server)});
  }
}

void small_fleet::parts::writeSettings(const std::string &File, std::size_t Vm,
                                       const fleet_terms &Terms) const {
  const std::string Ip = ip(1, Vm + 1);
  std::ofstream Out(File);
  Out << fmt::format(
      "vm = \"{}\"\nip = \"{}\"\nzone = \"{}\"\nregion = \"r\"\n"
      "caller_address = \"{}\"\nreadiness_address = \"{}:{}\"\n"
      "peer_port = {}\nstore_address = \"{}:{}\"\nstore_writes_per_s = 200\n"
      "bootstrap = false\ncpu_share = 0.2\nmemory_mb = {}\nmax_fds = 4100\n"
      "link_mbps = 1000.0\nstop_grace_s = 6\nserver_heartbeat_ms = 1500\n"
      "retry_ratio = 0.2\nretry_burst = 56\nlearned_concurrency = true\n"
      "overload_control = true\nregional_overflow = true\n{}[zones]\n",
      nameOf(Vm), Ip, Terms.Zones.at(Vm), callers(Vm), Ip, ReadinessPort,
      PeerPort, ip(0, 100), StorePort, MemoryMb, Terms.ExtraSettings);
  const std::set<std::string> Zones(Terms.Zones.begin(), Terms.Zones.end());
  for (const std::string &Zone : Zones)
    Out << fmt::format("\"{}\" = \"r\"\n", Zone);
}

small_fleet::small_fleet(const case_settings &Settings,
                         const fleet_terms &Terms, record &Record)
    : Parts(std::make_unique<parts>(FirstNetwork + ::getpid() % Networks)) {
  Parts->Store = moveValue(platform::store_standin::start(
      fmt::format("{}:{}", Parts->ip(0, 100), StorePort)));
  Parts->startServers(Terms, Record);
  putConfiguration(Terms.Configuration);
  for (std::size_t Vm = 0; Vm < Terms.Zones.size(); ++Vm) {
    const std::string File = fmt::format("{}/{}", Settings.Folder, nameOf(Vm));
    Parts->writeSettings(File + ".toml", Vm, Terms);
    Parts->Gateways.push_back(std::make_unique<soak::gateway_process>(
        nameOf(Vm), Settings.Gateway, File + ".toml", File + ".log"));
    start(Vm);
  }
}

small_fleet::~small_fleet() = default;

bool small_fleet::waitUntilReady(std::size_t Vm) const {
  const auto End = clock::now() + StartLimit;
  const std::string Address =
      fmt::format("{}:{}", Parts->ip(1, Vm + 1), ReadinessPort);
  while (statusOf(Address, "/v1/readyz") != StatusOk) {
    if (clock::now() >= End)
      return false;
    std::this_thread::sleep_for(LookInterval);
  }
  return true;
}

bool small_fleet::waitUntilReady() const {
  for (std::size_t Vm = 0; Vm < size(); ++Vm) {
    if (!waitUntilReady(Vm))
      return false;
  }
  return true;
}

std::size_t small_fleet::size() const { return Parts->Gateways.size(); }

std::string small_fleet::callers(std::size_t Vm) const {
  return Parts->callers(Vm);
}

std::string small_fleet::nameOf(std::size_t Vm) {
  return fmt::format("front-{}", Vm + 1);
}

void small_fleet::putConfiguration(const std::string &Text) {
  Parts->Store->put("op", "config", Text);
}

int small_fleet::runs(const std::string &Service) const {
  int Sum = 0;
  for (const parts::started_server &Started : Parts->Servers)
    Sum += Started.Service == Service ? Started.Server->runs() : 0;
  return Sum;
}

std::size_t small_fleet::peakMemoryKb(std::size_t Vm) const {
  return Parts->Gateways.at(Vm)->peakMemoryKb();
}

void small_fleet::kill(std::size_t Vm) {
  Parts->Gateways.at(Vm)->signal(SIGKILL);
  Parts->Gateways.at(Vm)->waitEnd(EndLimit);
}

void small_fleet::start(std::size_t Vm) { Parts->Gateways.at(Vm)->start(); }

} // namespace agatedale::review
