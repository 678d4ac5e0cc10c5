/// \file
/// A server whose health checks say that it is ill, though it is well, becomes
/// cold.
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

constexpr int Servers = 10;
constexpr std::chrono::milliseconds Work{60};
constexpr int Clients = 270;
constexpr std::chrono::milliseconds ClientInterval{1000};
constexpr std::chrono::milliseconds ClientWait{2000};

constexpr std::chrono::seconds Calm{4};
constexpr std::chrono::seconds ColdTime{3};
constexpr std::chrono::milliseconds IllBeforeCold{1000};
constexpr std::chrono::milliseconds IllAfterCold{5500};
constexpr std::chrono::milliseconds SpellGap{800};
constexpr int ColdSpells = 4;

constexpr const char *Configuration =
    R"({"version":"r1","routes":{)"
    R"("reads":{"host":"shop.example","prefix":"/reads/",)"
    R"("kind":"idempotent","timeout_ms":2000,"aim_ms":600,"priority":2,)"
    R"("service":"desk","max_attempts":2,"allowed_regions":[]}},)"
    R"("services":{"desk":{"health_path":"/healthz","max_connections":220,)"
    R"("protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":2.7}},)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

/// Clients that send one request each second, by turns to the gateways.
class callers {
public:
  callers(deployment &Deployment, record &Record)
      : Deployment(Deployment), Record(Record) {
    for (int I = 0; I < Clients; ++I)
      Threads.emplace_back([this, I] { run(I); });
  }

  void stop() {
    Stopping = true;
    for (std::thread &Thread : Threads)
      Thread.join();
  }

  const send_times &sentAt() const { return SentAt; }

private:
  void run(int Number) {
    const auto &Gateways = Deployment.gateways();
    const gateway &Gateway =
        *Gateways[static_cast<std::size_t>(Number) % Gateways.size()];
    auto Next = steady_clock::now() + ClientInterval * Number / Clients;
    for (int I = 0; !Stopping; ++I) {
      std::this_thread::sleep_until(Next);
      Next += ClientInterval;
      const std::string Id = fmt::format("client-{}-{}", Number, I);
      {
        const std::lock_guard Guard(Lock);
        SentAt[Id] = steady_clock::now();
      }
      const int Status =
          exchange(Gateway.ip(), Deployment.callerPort(),
                   requestHead("GET", "/reads/x", Id), ClientWait);
      Record.line("request {}: status {}", Id, Status);
    }
  }

  deployment &Deployment;
  record &Record;
  std::atomic<bool> Stopping{false};
  std::mutex Lock;
  send_times SentAt;
  std::vector<std::thread> Threads;
};

int run(record &Record, bool HasTrouble) {
  deployment_terms Terms;
  Terms.Zones = {{"north-a", "tt-north", 2, Servers}};
  Terms.Server.Work = Work;
  Terms.Configuration = Configuration;
  deployment Deployment(Terms, Record);
  if (!Deployment.waitUntilReady(std::chrono::seconds(30)))
    return CannotRun;
  server *Chosen = nullptr;
  Deployment.forEachServer([&Chosen](server &Server) { Chosen = &Server; });
  callers Callers(Deployment, Record);
  std::this_thread::sleep_for(Calm);
  for (int I = 0; I < ColdSpells; ++I) {
    Chosen->setSaysIll(HasTrouble);
    std::this_thread::sleep_for(IllBeforeCold);
    Chosen->becomeCold(ColdTime);
    Record.line("{} becomes cold", Chosen->terms().Id);
    std::this_thread::sleep_for(IllAfterCold);
    Chosen->setSaysIll(false);
    std::this_thread::sleep_for(SpellGap);
  }
  Callers.stop();
  const std::vector<arrival> Arrivals = Chosen->arrivals();
  const auto Cold =
      std::count_if(Arrivals.begin(), Arrivals.end(),
                    [](const arrival &Each) { return Each.IsCold; });
  const int Most = mostInSecondWhileCold(Arrivals, Callers.sentAt());
  Record.line("{}: {} requests, {} while cold, {} of them in one second, "
              "{:.2f} allowed",
              Chosen->terms().Id, Arrivals.size(), Cold, Most, MostInSecond);
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
