/// \file
/// Stand-in for backend servers. One process can play several servers, each on
/// its own address. Each bears a number of slots, starts cold, sheds what it
/// cannot bear, honours deadlines and closed connections, and counts what
/// reached it. Faults come on demand:
///
///   standin-backend --server orders-01=127.0.0.1:9001 --slots 2 --mean-ms 10
///   PUT /control?slow=5&for_ms=2000   service times times 5
///   PUT /control?cold=1               cold again
///   PUT /control?drain=1              refuses work as draining
///   PUT /control?fail=1               answers 500 at once
///   PUT /control?silent=1             accepts requests and never answers
///   PUT /control?truncate=1           sends half of each answer
///   PUT /control?mislead=1            reports no load
///   GET /counts, GET /keys
#include "../src/http/function_server.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/URI.h>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <csignal>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

#include <xxhash.h>

namespace {

using namespace agatedale;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

volatile std::sig_atomic_t StopRequested = 0;

/// How the servers of this process behave.
struct backend_settings {
  int Slots = 2;
  double MeanMs = 10;
  double Sigma = 0.5;
  int ColdRequests = 5;  ///< Requests after which a cold server is warm.
  double ColdFactor = 3; ///< Times the service time while cold.
  milliseconds ReportLag{100};
  std::uint64_t Seed = 1;
};

/// One backend server.
class backend_state {
public:
  backend_state(std::string Name, const backend_settings &Settings,
                std::uint64_t Seed)
      : Name(std::move(Name)), Settings(Settings), Random(Seed) {}

  void answer(http_request &Request, http_response &Response) {
    const Poco::URI Uri(Request.getURI());
    const std::string &Path = Uri.getPath();
    if (Path == "/control")
      control(Uri, Response);
    else if (Path == "/counts")
      sendText(Response, 200, counts());
    else if (Path == "/keys")
      sendText(Response, 200, keys());
    else if (Path == "/load")
      report(Response);
    else
      work(Request, Response);
  }

private:
  enum class admission { Run, Shed, Draining, Fail, Silent };

  void control(const Poco::URI &Uri, http_response &Response) {
    const std::lock_guard Guard(Lock);
    for (const auto &[Key, Value] : Uri.getQueryParameters())
      Controls[Key] = std::strtod(Value.c_str(), nullptr);
    if (Controls["cold"] > 0) {
      Controls["cold"] = 0;
      RunsSinceCold = 0;
    }
    if (Controls.contains("for_ms")) {
      SlowUntil = clock_type::now() +
                  milliseconds(static_cast<long>(Controls["for_ms"]));
      Controls.erase("for_ms");
    }
    sendText(Response, 200, "ok\n");
  }

  std::string counts() {
    const std::lock_guard Guard(Lock);
    return fmt::format("server {}\nruns {}\nbeyond_slots {}\nbeyond_cold {}\n"
                       "shed {}\nprobes {}\nduplicate_keys {}\n"
                       "cancelled {}\nmost_in_flight {}\n",
                       Name, Runs, BeyondSlots, BeyondCold, Sheds, Probes,
                       duplicates(), Cancelled, MostInFlight);
  }

  int duplicates() const {
    return static_cast<int>(
        std::count_if(RunsOfKey.begin(), RunsOfKey.end(),
                      [](const auto &Entry) { return Entry.second > 1; }));
  }

  std::string keys() {
    const std::lock_guard Guard(Lock);
    std::string Text;
    for (const auto &[Key, Count] : RunsOfKey)
      Text += fmt::format("{} {}\n", Key, Count);
    return Text;
  }

  void report(http_response &Response) {
    const std::lock_guard Guard(Lock);
    ++Probes;
    refreshReport();
    const int Told = Controls["mislead"] > 0 ? 0 : Reported;
    sendText(Response, 200, fmt::format("{{\"in_flight\":{}}}", Told),
             "application/json");
  }

  void refreshReport() {
    const auto Now = clock_type::now();
    if (Now - ReportedAt < Settings.ReportLag)
      return;
    ReportedAt = Now;
    Reported = InFlight;
  }

  admission admit(const std::string &Key, double &ServiceMs) {
    const std::lock_guard Guard(Lock);
    refreshReport();
    if (Controls["silent"] > 0)
      return admission::Silent;
    if (Controls["drain"] > 0)
      return admission::Draining;
    if (Controls["fail"] > 0)
      return admission::Fail;
    const bool Cold = RunsSinceCold < Settings.ColdRequests;
    if (Cold && InFlight >= 1)
      ++BeyondCold;
    if (InFlight >= Settings.Slots) {
      ++BeyondSlots;
      ++Sheds;
      return admission::Shed;
    }
    ++InFlight;
    MostInFlight = std::max(MostInFlight, InFlight);
    ++Runs;
    ++RunsSinceCold;
    if (!Key.empty())
      ++RunsOfKey[Key];
    const double Mu =
        std::log(Settings.MeanMs) - Settings.Sigma * Settings.Sigma / 2;
    std::lognormal_distribution<double> Times(Mu, Settings.Sigma);
    ServiceMs = Times(Random) * (Cold ? Settings.ColdFactor : 1);
    if (clock_type::now() < SlowUntil)
      ServiceMs *= std::max(1.0, Controls["slow"]);
    return admission::Run;
  }

  void leave() {
    const std::lock_guard Guard(Lock);
    --InFlight;
    refreshReport();
  }

  /// Sleeps through the service time; false when the caller closed the
  /// connection or the deadline passed.
  static bool serve(http_request &Request, double ServiceMs,
                    clock_type::time_point Deadline) {
    auto &Impl = dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request);
    const auto End =
        clock_type::now() +
        std::chrono::microseconds(static_cast<long>(ServiceMs * 1000));
    while (clock_type::now() < End) {
      if (clock_type::now() >= Deadline)
        return false;
      const auto Left = std::min(End, Deadline) - clock_type::now();
      const auto Micros =
          std::chrono::duration_cast<std::chrono::microseconds>(Left).count();
      if (Micros <= 0)
        continue;
      if (Impl.socket().poll(Poco::Timespan(Micros),
                             Poco::Net::Socket::SELECT_READ)) {
        char Byte = 0;
        if (Impl.socket().receiveBytes(&Byte, 1, MSG_PEEK) <= 0)
          return false;
        std::this_thread::sleep_for(std::chrono::microseconds(Micros));
      }
    }
    return true;
  }

  struct received_body {
    std::int64_t Bytes = 0;
    std::uint64_t Hash = 0;
    bool Whole = true;
  };

  static received_body readBody(http_request &Request) {
    received_body Body;
    XXH64_state_t *State = XXH64_createState();
    XXH64_reset(State, 0);
    std::vector<char> Buffer(64 * 1024);
    std::istream &Input = Request.stream();
    while (Input.good()) {
      Input.read(Buffer.data(), static_cast<std::streamsize>(Buffer.size()));
      XXH64_update(State, Buffer.data(),
                   static_cast<std::size_t>(Input.gcount()));
      Body.Bytes += Input.gcount();
    }
    Body.Hash = XXH64_digest(State);
    XXH64_freeState(State);
    if (Request.hasContentLength())
      Body.Whole = Body.Bytes == Request.getContentLength64();
    return Body;
  }

  void work(http_request &Request, http_response &Response) {
    const auto Deadline =
        clock_type::now() +
        milliseconds(
            std::strtol(Request.get("X-Request-Deadline-Ms", "60000").c_str(),
                        nullptr, 10));
    const std::string Key = Request.get("Idempotency-Key", "");
    double ServiceMs = 0;
    switch (admit(Key, ServiceMs)) {
    case admission::Run:
      break;
    case admission::Shed:
      Response.set("Request-Not-Run", "shed");
      sendText(Response, 503, "shed\n");
      return;
    case admission::Draining:
      Response.set("Request-Not-Run", "draining");
      sendText(Response, 503, "draining\n");
      return;
    case admission::Fail:
      sendText(Response, 500, "failed\n");
      return;
    case admission::Silent:
      serve(Request, 3'600'000, Deadline + std::chrono::hours(1));
      breakOff(Request);
    }
    const received_body Body = readBody(Request);
    const bool Done = Body.Whole && serve(Request, ServiceMs, Deadline);
    leave();
    if (!Done) {
      {
        const std::lock_guard Guard(Lock);
        ++Cancelled;
      }
      breakOff(Request);
    }
    sendAnswer(Request, Response, Body);
  }

  /// Closes the connection without an answer.
  [[noreturn]] static void breakOff(http_request &Request) {
    dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request)
        .socket()
        .shutdown();
    throw Poco::Net::ConnectionAbortedException();
  }

  void sendAnswer(http_request &Request, http_response &Response,
                  const received_body &Body) {
    std::size_t Size = 0;
    bool Truncate = false;
    {
      const std::lock_guard Guard(Lock);
      Truncate = Controls["truncate"] > 0;
    }
    Size = std::strtoul(Request.get("X-Want-Bytes", "0").c_str(), nullptr, 10);
    std::string Text =
        fmt::format("server={} check={} bytes={} hash={:016x}\n", Name,
                    Request.get("X-Request-Check", "-"), Body.Bytes, Body.Hash);
    Text.resize(std::max(Text.size(), Size), '.');
    if (!Truncate) {
      sendText(Response, 200, Text);
      return;
    }
    Response.setContentLength64(static_cast<Poco::Int64>(Text.size()));
    Response.setKeepAlive(false);
    Response.send().write(Text.data(),
                          static_cast<std::streamsize>(Text.size() / 2));
  }

  std::string Name;
  backend_settings Settings;
  std::mutex Lock;
  std::mt19937_64 Random;
  std::map<std::string, double> Controls;
  std::map<std::string, int> RunsOfKey;
  clock_type::time_point SlowUntil{};
  clock_type::time_point ReportedAt{};
  int Reported = 0;
  int InFlight = 0;
  int MostInFlight = 0;
  int RunsSinceCold = 0;
  std::uint64_t Runs = 0;
  std::uint64_t BeyondSlots = 0;
  std::uint64_t BeyondCold = 0;
  std::uint64_t Sheds = 0;
  std::uint64_t Probes = 0;
  std::uint64_t Cancelled = 0;
};

int run(const cxxopts::ParseResult &Parsed) {
  backend_settings Settings;
  Settings.Slots = Parsed["slots"].as<int>();
  Settings.MeanMs = Parsed["mean-ms"].as<double>();
  Settings.Sigma = Parsed["sigma"].as<double>();
  Settings.ColdRequests = Parsed["cold-requests"].as<int>();
  Settings.ReportLag = milliseconds(Parsed["report-lag-ms"].as<int>());
  std::vector<std::unique_ptr<backend_state>> States;
  std::vector<std::unique_ptr<function_server>> Servers;
  std::uint64_t Seed = Parsed["seed"].as<std::uint64_t>();
  for (const std::string &Spec :
       Parsed["server"].as<std::vector<std::string>>()) {
    const std::size_t Equals = Spec.find('=');
    States.push_back(std::make_unique<backend_state>(Spec.substr(0, Equals),
                                                     Settings, Seed++));
    backend_state &State = *States.back();
    auto Server = function_server::start(
        {.Address = Spec.substr(Equals + 1), .Threads = 32},
        [&State](http_request &Request, http_response &Response) {
          State.answer(Request, Response);
        });
    if (const error *Error = errorOf(Server)) {
      fmt::print(stderr, "{}\n", Error->Message);
      return 1;
    }
    Servers.push_back(moveValue(std::move(Server)));
  }
  while (!StopRequested)
    std::this_thread::sleep_for(milliseconds(20));
  for (auto &Server : Servers)
    Server->stop(milliseconds(0));
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  cxxopts::Options Options("standin-backend",
                           "Stand-in for backend servers, for tests.");
  Options.add_options()("server", "name=ip:port; may be given several times",
                        cxxopts::value<std::vector<std::string>>())(
      "slots", "requests borne at once",
      cxxopts::value<int>()->default_value("2"))(
      "mean-ms", "mean service time",
      cxxopts::value<double>()->default_value("10"))(
      "sigma", "spread of service times",
      cxxopts::value<double>()->default_value("0.5"))(
      "cold-requests", "requests until a cold server is warm",
      cxxopts::value<int>()->default_value("5"))(
      "report-lag-ms", "age of the load report",
      cxxopts::value<int>()->default_value("100"))(
      "seed", "seed of the first server's service times",
      cxxopts::value<std::uint64_t>()->default_value("1"))("help",
                                                           "print this help");
  try {
    const auto Parsed = Options.parse(Argc, Argv);
    if (Parsed.count("help") || !Parsed.count("server")) {
      fmt::print("{}", Options.help());
      return Parsed.count("help") ? 0 : 2;
    }
    std::signal(SIGTERM, [](int) { StopRequested = 1; });
    std::signal(SIGINT, [](int) { StopRequested = 1; });
    std::signal(SIGPIPE, SIG_IGN);
    return run(Parsed);
  } catch (const cxxopts::exceptions::exception &Failure) {
    fmt::print(stderr, "{}\n", Failure.what());
    return 2;
  }
}
