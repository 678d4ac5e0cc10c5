/// \file
/// Start of a deployment in the order of the platform.
#include "deployment.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>
#include <string_view>
#include <thread>

namespace agatedale::review {

namespace {

std::string routeText(const route_terms &Route) {
  return fmt::format(
      R"("{0}":{{"host":"shop.example","prefix":"/{0}/","kind":"{1}",)"
      R"("timeout_ms":{2},"aim_ms":{3},"priority":1,"service":"desk",)"
      R"("max_attempts":{4},"allowed_regions":[]}})",
      Route.Name, Route.Idempotent ? "idempotent" : "non_idempotent",
      Route.Timeout.count(), Route.Aim.count(), Route.MaxAttempts);
}

std::string configuration(const std::vector<route_terms> &Routes) {
  std::string List;
  for (const route_terms &Route : Routes)
    List += (List.empty() ? "" : ",") + routeText(Route);
  return fmt::format(
      R"({{"version":"r7","routes":{{{}}},"services":{{"desk":{{)"
      R"("health_path":"/healthz","max_connections":220,"protocol":"h1",)"
      R"("tls":false,"warmup_s":3.0,"warmup_per_s":2.7}}}},"limits":{{)"
      R"("max_header_bytes":16384,"max_body_bytes":67108864,)"
      R"("header_timeout_ms":3000,"idle_timeout_ms":15000}}}})",
      List);
}

} // namespace

deployment::deployment(const deployment_terms &Terms,
                       const std::string &Program, const std::string &Folder,
                       record &Record)
    : Network(loopback_network::findFree(Terms.Gateways.size())),
      Store(Network.store()) {
  Store.put("op", "config", configuration(Terms.Routes));
  for (std::size_t I = 0; I < Terms.Backends.size(); ++I) {
    backend::settings Settings = Terms.Backends[I];
    Settings.Id = fmt::format("i-{}", I);
    Settings.Address = Network.backend(I);
    Backends.push_back(std::make_unique<backend>(Settings, Record));
    Store.put("servers", Settings.Id, Backends.back()->nextReport("ready"));
  }
  for (std::size_t I = 0; I < Terms.Gateways.size(); ++I) {
    const std::string File = fmt::format("{}/front-{}", Folder, I);
    writeSettings(File + ".toml", Network, Terms.Gateways, I);
    Gateways.push_back(
        std::make_unique<gateway>(Program, File + ".toml", File + ".log"));
    Gateways.back()->start();
  }
  for (std::size_t I = 0; I < Gateways.size(); ++I)
    waitReady(I);
  Record.write(fmt::format("{} gateways are ready", Gateways.size()));
}

deployment::~deployment() {
  Gateways.clear();
  Backends.clear();
}

void deployment::waitReady(std::size_t Number) const {
  constexpr std::chrono::seconds Patience{10};
  constexpr milliseconds Pause{50};
  const auto End = clock::now() + Patience;
  while (!isReady(ip(Number))) {
    if (clock::now() >= End)
      throw std::runtime_error("a gateway does not become ready");
    std::this_thread::sleep_for(Pause);
  }
}

int runCase(int Argc, char **Argv,
            bool (*Case)(const std::string &Program, const std::string &Folder,
                         bool Trouble, record &Record)) {
  constexpr int CouldNotRun = 2;
  if (Argc != 4)
    return CouldNotRun;
  std::signal(SIGPIPE, SIG_IGN);
  const char *Setting = std::getenv("TROUBLE");
  const bool Trouble = !Setting || std::string_view(Setting) != "0";
  try {
    record Record(Argv[2]);
    Record.write(Trouble ? "with the disruption" : "without the disruption");
    const bool Broken = Case(Argv[1], Argv[3], Trouble, Record);
    Record.write(Broken ? "the rule was broken" : "the rule held");
    return Broken ? 1 : 0;
  } catch (const std::exception &Failure) {
    fmt::print(stderr, "the case could not run: {}\n", Failure.what());
    return CouldNotRun;
  }
}

} // namespace agatedale::review
