/// \file
/// Stand-in for the platform: table rows with compare-and-set, an object store
/// and a lagging list of VMs, with faults on demand.
///
///   standin-platform --address 127.0.0.1:7000 --fleet fleet.txt
///   PUT /faults?down_ms=5000   every call fails for 5 s
///   PUT /faults?slow_ms=300    every call takes 300 ms longer
///   PUT /faults?lose_answers=2 the next 2 writes take effect, unanswered
#include "../src/http/function_server.h"

#include <Poco/Net/HTMLForm.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <deque>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

namespace {

using namespace agatedale;
using clock_type = std::chrono::steady_clock;

volatile std::sig_atomic_t StopRequested = 0;

/// The platform's state; every call is one transaction under its lock.
class platform_state {
public:
  platform_state(std::string FleetFile, std::chrono::milliseconds ListLag)
      : FleetFile(std::move(FleetFile)), ListLag(ListLag) {}

  void answer(http_request &Request, http_response &Response) {
    const Poco::URI Uri(Request.getURI());
    const std::string &Path = Uri.getPath();
    if (Path == "/faults") {
      setFaults(Uri);
      sendText(Response, 200, "ok\n");
      return;
    }
    if (Path == "/counts") {
      sendText(
          Response, 200,
          fmt::format("reads {}\nwrites {}\n", Reads.load(), Writes.load()));
      return;
    }
    sufferFaults();
    if (clock_type::now() < downUntil()) {
      sendText(Response, 503, "down\n");
      return;
    }
    const bool IsWrite = Request.getMethod() == "PUT";
    ++(IsWrite ? Writes : Reads);
    if (Path == "/vms")
      sendText(Response, 200, listVms(), "application/json");
    else if (Path.starts_with("/table/"))
      answerTable(Path.substr(7), Request, Response);
    else if (Path.starts_with("/objects/"))
      answerObject(Path.substr(9), Request, Response);
    else
      sendText(Response, 404, "no such resource\n");
  }

private:
  struct row {
    std::uint64_t Version = 0;
    std::string Value;
  };

  void setFaults(const Poco::URI &Uri) {
    const std::lock_guard Guard(Lock);
    for (const auto &[Name, Value] : Uri.getQueryParameters()) {
      const long Number = std::strtol(Value.c_str(), nullptr, 10);
      if (Name == "down_ms")
        DownUntil = clock_type::now() + std::chrono::milliseconds(Number);
      else if (Name == "slow_ms")
        Slowness = std::chrono::milliseconds(Number);
      else if (Name == "lose_answers")
        LoseAnswers = static_cast<int>(Number);
    }
  }

  void sufferFaults() {
    std::chrono::milliseconds Wait{};
    {
      const std::lock_guard Guard(Lock);
      Wait = Slowness;
    }
    std::this_thread::sleep_for(Wait);
  }

  clock_type::time_point downUntil() {
    const std::lock_guard Guard(Lock);
    return DownUntil;
  }

  std::string listVms() {
    const std::lock_guard Guard(Lock);
    const auto Now = clock_type::now();
    std::ifstream File(FleetFile);
    std::ostringstream Text;
    Text << File.rdbuf();
    if (Listings.empty() || Listings.back().second != Text.str())
      Listings.push_back({Now, Text.str()});
    while (Listings.size() > 1 && Now - Listings[1].first >= ListLag)
      Listings.pop_front();
    std::istringstream Lines(Listings.front().second);
    std::string Json = "[";
    std::string Name;
    std::string Ip;
    std::string Zone;
    std::string State;
    while (Lines >> Name >> Ip >> Zone >> State)
      Json +=
          fmt::format(R"({}{{"name":"{}","ip":"{}","zone":"{}","state":"{}"}})",
                      Json.size() > 1 ? "," : "", Name, Ip, Zone, State);
    return Json + "]";
  }

  void answerTable(const std::string &Name, http_request &Request,
                   http_response &Response) {
    if (Request.getMethod() != "PUT") {
      const std::lock_guard Guard(Lock);
      const auto Row = Rows.find(Name);
      if (Row == Rows.end()) {
        sendText(Response, 404, "no such row\n");
        return;
      }
      Response.set("ETag", fmt::format("\"{}\"", Row->second.Version));
      sendText(Response, 200, Row->second.Value);
      return;
    }
    std::string Value;
    Poco::StreamCopier::copyToString(Request.stream(), Value);
    const std::string Match = Request.get("If-Match", "");
    const std::uint64_t Expected =
        Match.size() > 1 ? std::strtoull(Match.c_str() + 1, nullptr, 10) : 0;
    const std::lock_guard Guard(Lock);
    row &Row = Rows[Name];
    if (Row.Version != Expected) {
      sendText(Response, 412, "changed\n");
      return;
    }
    Row = {Row.Version + 1, Value};
    if (LoseAnswers > 0) {
      --LoseAnswers;
      Response.setContentLength(1000);
      Response.send().flush();
      return;
    }
    Response.set("ETag", fmt::format("\"{}\"", Row.Version));
    sendText(Response, 200, "written\n");
  }

  void answerObject(const std::string &Name, http_request &Request,
                    http_response &Response) {
    std::string Value;
    const bool IsWrite = Request.getMethod() == "PUT";
    if (IsWrite)
      Poco::StreamCopier::copyToString(Request.stream(), Value);
    const std::lock_guard Guard(Lock);
    if (IsWrite) {
      Objects[Name] = Value;
      sendText(Response, 200, "written\n");
      return;
    }
    const auto Object = Objects.find(Name);
    if (Object == Objects.end())
      sendText(Response, 404, "no such object\n");
    else
      sendText(Response, 200, Object->second);
  }

  std::string FleetFile;
  std::chrono::milliseconds ListLag;
  std::mutex Lock;
  std::map<std::string, row> Rows;
  std::map<std::string, std::string> Objects;
  std::deque<std::pair<clock_type::time_point, std::string>> Listings;
  clock_type::time_point DownUntil{};
  std::chrono::milliseconds Slowness{};
  int LoseAnswers = 0;
  std::atomic<std::uint64_t> Reads{0};
  std::atomic<std::uint64_t> Writes{0};
};

} // namespace

int main(int Argc, char **Argv) {
  cxxopts::Options Options("standin-platform",
                           "Stand-in for the platform's service, for tests.");
  Options.add_options()(
      "address", "ip:port to serve on",
      cxxopts::value<std::string>()->default_value("127.0.0.1:7000"))(
      "fleet", "file with a line per VM: name ip zone state",
      cxxopts::value<std::string>()->default_value("fleet.txt"))(
      "list-lag-ms", "how late the list of VMs is",
      cxxopts::value<int>()->default_value("500"))("help", "print this help");
  try {
    const auto Parsed = Options.parse(Argc, Argv);
    if (Parsed.count("help")) {
      fmt::print("{}", Options.help());
      return 0;
    }
    std::signal(SIGTERM, [](int) { StopRequested = 1; });
    std::signal(SIGINT, [](int) { StopRequested = 1; });
    platform_state State(
        Parsed["fleet"].as<std::string>(),
        std::chrono::milliseconds(Parsed["list-lag-ms"].as<int>()));
    auto Server = function_server::start(
        {.Address = Parsed["address"].as<std::string>(), .Threads = 64},
        [&State](http_request &Request, http_response &Response) {
          State.answer(Request, Response);
        });
    if (const error *Error = errorOf(Server)) {
      fmt::print(stderr, "{}\n", Error->Message);
      return 1;
    }
    while (!StopRequested)
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    valueOf(Server)->stop(std::chrono::milliseconds(100));
    return 0;
  } catch (const cxxopts::exceptions::exception &Failure) {
    fmt::print(stderr, "{}\n", Failure.what());
    return 2;
  }
}
