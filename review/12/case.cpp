/// \file
/// A zone is emptied and taken back, its servers cold, while the gateways of
/// its region are stopped and started in turn.
#include "../harness-3/cold_rate.h"
#include "../harness-3/gateway_fleet.h"
#include "../harness-3/sockets.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <thread>

using namespace agatedale::review;

namespace {

constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CannotRun = 2;

// From the configuration and the bounds: warmup_per_s, warmup_overage and
// warmup_slack.
constexpr double ColdPerSecond = 2.7;
constexpr double ColdOverage = 1.5;
constexpr double ColdSlack = 5;
constexpr double MostInSecond = ColdPerSecond * ColdOverage + ColdSlack;

constexpr int ClientsOfGateway = 12;
constexpr std::chrono::milliseconds ClientInterval{1200};
constexpr std::chrono::milliseconds ClientWait{2000};

constexpr std::chrono::seconds Calm{3};
constexpr std::chrono::seconds Evacuation{8};
constexpr std::chrono::seconds ColdTime{3};
constexpr std::chrono::milliseconds RestartDelay{1000};
constexpr std::chrono::seconds Rest{6};

constexpr const char *Home = "tt-south";
constexpr const char *ServersZone = "south-a";

constexpr const char *Configuration =
    R"({"version":"r1","routes":{)"
    R"("reads":{"host":"shop.example","prefix":"/reads/",)"
    R"("kind":"idempotent","timeout_ms":2000,"aim_ms":600,"priority":2,)"
    R"("service":"desk","max_attempts":2,"allowed_regions":[]}},)"
    R"("services":{"desk":{"health_path":"/healthz","max_connections":220,)"
    R"("protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":2.7}},)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

/// Clients of the gateways of the other region.
class callers {
public:
  callers(deployment &Deployment, record &Record)
      : Deployment(Deployment), Record(Record) {
    for (const auto &Gateway : Deployment.gateways()) {
      if (isOfHome(*Gateway))
        continue;
      for (int I = 0; I < ClientsOfGateway; ++I)
        Threads.emplace_back([this, Raw = Gateway.get(), I] { run(*Raw, I); });
    }
  }
  ~callers() { stop(); }

  static bool isOfHome(const gateway &Gateway) {
    return Gateway.name().starts_with("front-south");
  }

  void stop() {
    Stopping = true;
    for (std::thread &Thread : Threads)
      Thread.join();
    Threads.clear();
  }

  /// Returns when each request was sent.
  const send_times &sentAt() const { return SentAt; }

private:
  void run(const gateway &Gateway, int Number) {
    auto Next =
        steady_clock::now() + ClientInterval * Number / ClientsOfGateway;
    for (int I = 0; !Stopping; ++I) {
      std::this_thread::sleep_until(Next);
      Next += ClientInterval;
      const std::string Id = fmt::format("{}-{}-{}", Gateway.name(), Number, I);
      {
        const std::lock_guard Guard(Lock);
        SentAt[Id] = steady_clock::now();
      }
      const double Sent = Record.seconds();
      const int Status =
          exchange(Gateway.ip(), Deployment.callerPort(),
                   requestHead("GET", "/reads/x", Id), ClientWait);
      Record.line("request {} sent at {:.3f}: status {}", Id, Sent, Status);
    }
  }

  deployment &Deployment;
  record &Record;
  std::atomic<bool> Stopping{false};
  std::mutex Lock;
  send_times SentAt;
  std::vector<std::thread> Threads;
};

/// Kills the gateways of the servers' region at once, and starts them again.
void killGatewaysOfHome(deployment &Deployment, record &Record) {
  for (const auto &Gateway : Deployment.gateways()) {
    if (callers::isOfHome(*Gateway))
      Gateway->kill();
  }
  Record.line("the gateways of {} are killed", Home);
  std::this_thread::sleep_for(RestartDelay);
  for (const auto &Gateway : Deployment.gateways()) {
    if (callers::isOfHome(*Gateway))
      Gateway->start();
  }
  Record.line("they are started again");
}

int run(record &Record, bool HasTrouble) {
  deployment_terms Terms;
  Terms.Zones = {{"north-a", "tt-north", 3, 0},
                 {"tobago-a", "tt-north", 3, 0},
                 {ServersZone, Home, 1, 3},
                 {"south-b", Home, 1, 0}};
  Terms.Configuration = Configuration;
  deployment Deployment(Terms, Record);
  if (!Deployment.waitUntilReady(std::chrono::seconds(30)))
    return CannotRun;
  callers Callers(Deployment, Record);
  std::this_thread::sleep_for(Calm);
  const std::string Row = fmt::format("evacuate/{}", ServersZone);
  Deployment.putRow("op", Row, "{}");
  Record.line("{} is evacuated", ServersZone);
  std::this_thread::sleep_for(Evacuation);
  Deployment.forEachServer([](server &Server) { Server.becomeCold(ColdTime); });
  Deployment.removeRow("op", Row);
  Record.line("{} is taken back, its servers are cold", ServersZone);
  if (HasTrouble)
    killGatewaysOfHome(Deployment, Record);
  std::this_thread::sleep_for(Rest);
  Callers.stop();
  int Most = 0;
  Deployment.forEachServer([&](server &Server) {
    std::vector<arrival> Arrivals = Server.arrivals();
    // Those from before the clients are of no interest.
    std::erase_if(Arrivals, [&Callers](const arrival &Each) {
      return !Callers.sentAt().contains(Each.RequestId);
    });
    for (const arrival &Each : Arrivals)
      Record.line("{} got {}{} {:.3f} s after it was sent", Server.terms().Id,
                  Each.RequestId, Each.IsCold ? " while cold" : "",
                  std::chrono::duration<double>(
                      Each.At - Callers.sentAt().at(Each.RequestId))
                      .count());
    const int OfServer = mostInSecondWhileCold(Arrivals, Callers.sentAt());
    Record.line("{}: {} requests in one second while cold, {:.2f} allowed",
                Server.terms().Id, OfServer, MostInSecond);
    Most = std::max(Most, OfServer);
  });
  return Most > MostInSecond ? RuleBroken : RuleHeld;
}

} // namespace

int main(int, char **Argv) {
  const char *Trouble = std::getenv("TROUBLE");
  record Record(Argv[1]);
  const int Result = run(Record, !Trouble || std::string(Trouble) != "0");
  Record.line("result {}", Result);
  return Result;
}
