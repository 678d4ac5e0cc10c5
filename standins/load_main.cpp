/// \file
/// Stand-in for callers: a bounded open-loop load of status checks, keyed
/// orders and scan uploads through the entry VMs that the platform's balancer
/// would choose. It checks each answer against its own request and, at the end,
/// each key against what the backend servers ran.
///
///   standin-load --fleet fleet.txt --config samples/maraval --duration-s 10
#include "../tools/fleet_client.h"
#include "agatedale/configuration.h"
#include "agatedale/key_table.h"
#include "agatedale/metrics.h"
#include "agatedale/verdict.h"
#include "fresh_key.h"

#include <Poco/Net/NetException.h>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <thread>

namespace {

using namespace agatedale;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds BalancerPoll{200};
constexpr milliseconds ReadyTimeout{300};
constexpr int MaxResends = 8;
constexpr milliseconds ResendWait{60};

/// One kind of request in the load.
struct load_class {
  std::string Name;
  std::string Method;
  std::string Path;
  double Rate = 0; ///< Per second.
  milliseconds OnTime{250};
  milliseconds Timeout{1000};
  std::int64_t Bytes = 0;
  bool Keyed = false;
  std::vector<std::string> Accounts;
};

/// One request that is to be sent at its time.
struct arrival {
  clock_type::time_point At;
  const load_class *Class = nullptr;
  std::uint64_t Number = 0;
};

/// How one sending ended, as its caller sees it.
struct sending {
  verdict Verdict = verdict::MayHaveRun;
  std::string Reason = "connection";
  bool Right = true; ///< The answer belongs to the request and is whole.
};

/// What became of one key.
struct key_history {
  bool Answered = false;
  bool Ambiguous = false;
  bool NotRunOnly = true;
};

/// Knows which entry VMs the platform's balancer sends callers to: listed ones
/// that answer readyz.
class balancer {
public:
  balancer(std::string FleetFile, std::uint16_t AdminPort)
      : FleetFile(std::move(FleetFile)), AdminPort(AdminPort) {
    poll();
    Thread = std::thread([this] { run(); });
  }

  ~balancer() {
    Stopping = true;
    Thread.join();
  }

  /// Returns the address of a ready VM; empty when there is none.
  std::string choose(std::mt19937_64 &Random) {
    const std::lock_guard Guard(Lock);
    if (Ready.empty())
      return {};
    return Ready[Random() % Ready.size()];
  }

private:
  void run() {
    while (!Stopping) {
      std::this_thread::sleep_for(BalancerPoll);
      poll();
    }
  }

  void poll() {
    std::ifstream File(FleetFile);
    std::vector<std::string> Found;
    std::string Name;
    std::string Ip;
    std::string Zone;
    std::string State;
    while (File >> Name >> Ip >> Zone >> State) {
      if (!errorOf(httpGet(Ip, AdminPort, "/readyz", ReadyTimeout)))
        Found.push_back(Ip);
    }
    const std::lock_guard Guard(Lock);
    Ready = std::move(Found);
  }

  std::string FleetFile;
  std::uint16_t AdminPort;
  std::atomic<bool> Stopping{false};
  std::mutex Lock;
  std::vector<std::string> Ready;
  std::thread Thread;
};

/// What all workers found, under one lock.
struct tally {
  std::mutex Lock;
  std::map<std::string, latency_histogram> Latencies; ///< By account, class.
  std::map<std::string, std::map<std::string, std::uint64_t>> Outcomes;
  std::map<std::string, std::uint64_t> Refusals;
  std::map<long, std::pair<std::uint64_t, std::uint64_t>> Timeline;
  std::map<std::string, key_history> Keys;
  std::uint64_t Wrong = 0;
  std::uint64_t Sendings = 0;
};

/// One caller: sends requests over kept connections, one at a time.
class caller {
public:
  caller(balancer &Balancer, tally &Tally, std::uint16_t Port,
         std::uint64_t Seed, clock_type::time_point Begin)
      : Balancer(Balancer), Tally(Tally), Port(Port), Random(Seed),
        Begin(Begin) {}

  void serve(const arrival &Arrival) {
    const load_class &Class = *Arrival.Class;
    const std::string &Account =
        Class.Accounts[Arrival.Number % Class.Accounts.size()];
    const std::string Key = Class.Keyed ? makeFreshKey(Random) : "";
    const std::string Check = fmt::format("{}-{}", Class.Name, Arrival.Number);
    key_history History;
    sending Last;
    for (int Try = 0; Try <= MaxResends; ++Try) {
      Last = send(Class, Account, Key, Check);
      note(History, Last);
      const bool Done = Last.Verdict == verdict::Answered || !Class.Keyed;
      if (Done)
        break;
      std::this_thread::sleep_for(ResendWait * (Try + 1));
    }
    record(Arrival, Account, Key, History, Last);
  }

private:
  static void note(key_history &History, const sending &Sending) {
    History.Answered |= Sending.Verdict == verdict::Answered;
    History.Ambiguous |= Sending.Verdict == verdict::MayHaveRun;
    History.NotRunOnly &= Sending.Verdict == verdict::NotRun;
  }

  void record(const arrival &Arrival, const std::string &Account,
              const std::string &Key, const key_history &History,
              const sending &Last) {
    const load_class &Class = *Arrival.Class;
    const auto Latency = clock_type::now() - Arrival.At;
    const bool Answered = Last.Verdict == verdict::Answered;
    const bool OnTime = Answered && Latency <= Class.OnTime;
    const std::string Outcome = Answered
                                    ? (OnTime ? "on-time" : "late")
                                    : std::string(verdictName(Last.Verdict));
    const long Second =
        std::chrono::duration_cast<std::chrono::seconds>(Arrival.At - Begin)
            .count();
    const std::lock_guard Guard(Tally.Lock);
    if (Answered)
      Tally.Latencies[Account + " " + Class.Name].record(Latency);
    ++Tally.Outcomes[Class.Name][Outcome];
    if (!Answered)
      ++Tally.Refusals[fmt::format("{} {}", verdictName(Last.Verdict),
                                   Last.Reason)];
    auto &[Good, All] = Tally.Timeline[Second];
    Good += OnTime ? 1 : 0;
    ++All;
    if (!Key.empty())
      Tally.Keys[Key] = History;
  }

  sending send(const load_class &Class, const std::string &Account,
               const std::string &Key, const std::string &Check) {
    const std::string Ip = Balancer.choose(Random);
    {
      const std::lock_guard Guard(Tally.Lock);
      ++Tally.Sendings;
    }
    if (Ip.empty())
      return {verdict::NotRun, "no-entry-vm", true};
    auto &Session = Sessions[Ip];
    if (!Session) {
      Session = std::make_unique<Poco::Net::HTTPClientSession>(Ip, Port);
      Session->setKeepAlive(true);
      Session->setKeepAliveTimeout(Poco::Timespan(5, 0));
    }
    Session->setTimeout(Poco::Timespan((Class.Timeout.count() + 500) * 1000));
    try {
      return sendOver(*Session, Class, Account, Key, Check);
    } catch (const Poco::Net::ConnectionRefusedException &) {
      Sessions.erase(Ip);
      return {verdict::NotRun, "connection-refused", true};
    } catch (const Poco::Exception &) {
      Sessions.erase(Ip);
      return {verdict::MayHaveRun, "connection-broke", true};
    }
  }

  sending sendOver(Poco::Net::HTTPClientSession &Session,
                   const load_class &Class, const std::string &Account,
                   const std::string &Key, const std::string &Check) {
    Poco::Net::HTTPRequest Request(Class.Method, Class.Path, "HTTP/1.1");
    Request.setKeepAlive(true);
    Request.set("Client-Account", Account);
    Request.set("X-Request-Check", Check);
    Request.set("X-Request-Timeout-Ms", std::to_string(Class.Timeout.count()));
    if (!Key.empty())
      Request.set("Idempotency-Key", Key);
    std::uint64_t Hash = XXH64(nullptr, 0, 0);
    if (Class.Method == "POST") {
      const std::string Body = bodyOf(Class, Check);
      Hash = XXH64(Body.data(), Body.size(), 0);
      Request.setContentLength64(static_cast<Poco::Int64>(Body.size()));
      Session.sendRequest(Request).write(
          Body.data(), static_cast<std::streamsize>(Body.size()));
    } else {
      Session.sendRequest(Request);
    }
    Poco::Net::HTTPResponse Response;
    std::istream &Input = Session.receiveResponse(Response);
    std::string Text;
    Poco::StreamCopier::copyToString(Input, Text);
    sending Sending;
    Sending.Verdict =
        parseVerdict(Response.get("Agatedale-Verdict", "may-have-run"));
    Sending.Reason = Response.get("Agatedale-Reason", "none");
    if (Sending.Verdict != verdict::Answered)
      return Sending;
    const std::string Wanted = fmt::format("check={} ", Check);
    const std::string WantedHash = fmt::format("hash={:016x}", Hash);
    Sending.Right = Text.find(Wanted) != std::string::npos &&
                    Text.find(WantedHash) != std::string::npos;
    if (!Sending.Right && Response.getStatus() == 200) {
      const std::lock_guard Guard(Tally.Lock);
      ++Tally.Wrong;
    }
    return Sending;
  }

  static std::string bodyOf(const load_class &Class, const std::string &Check) {
    std::string Body = Check;
    Body.resize(
        static_cast<std::size_t>(std::max<std::int64_t>(Class.Bytes, 16)),
        static_cast<char>('a' + Check.size() % 26));
    return Body;
  }

  balancer &Balancer;
  tally &Tally;
  std::uint16_t Port;
  std::mt19937_64 Random;
  clock_type::time_point Begin;
  std::map<std::string, std::unique_ptr<Poco::Net::HTTPClientSession>> Sessions;
};

/// Hands arrivals to workers at their times.
class arrival_queue {
public:
  explicit arrival_queue(std::vector<arrival> Arrivals)
      : Arrivals(std::move(Arrivals)) {}

  std::optional<arrival> next() {
    arrival Arrival;
    {
      const std::lock_guard Guard(Lock);
      if (Position == Arrivals.size())
        return std::nullopt;
      Arrival = Arrivals[Position++];
    }
    std::this_thread::sleep_until(Arrival.At);
    return Arrival;
  }

private:
  std::mutex Lock;
  std::vector<arrival> Arrivals;
  std::size_t Position = 0;
};

std::vector<arrival> makeArrivals(const std::vector<load_class> &Classes,
                                  clock_type::time_point Begin, double Seconds,
                                  std::uint64_t Seed) {
  std::vector<arrival> Arrivals;
  for (const load_class &Class : Classes) {
    if (Class.Rate <= 0)
      continue;
    std::mt19937_64 Random(Seed++);
    std::exponential_distribution<double> Gap(Class.Rate);
    std::uint64_t Number = 0;
    for (double At = Gap(Random); At < Seconds; At += Gap(Random))
      Arrivals.push_back(
          {Begin + std::chrono::microseconds(static_cast<long>(At * 1e6)),
           &Class, Number++});
  }
  std::sort(Arrivals.begin(), Arrivals.end(),
            [](const arrival &Left, const arrival &Right) {
              return Left.At < Right.At;
            });
  return Arrivals;
}

/// What the backend servers counted.
struct backend_counts {
  std::map<std::string, int> RunsOfKey;
  std::map<std::string, std::uint64_t> Sums;
};

backend_counts askBackends(const configuration &Configuration) {
  backend_counts Counts;
  for (const backend_server &Server : Configuration.servers()) {
    const std::size_t Colon = Server.Address.rfind(':');
    const std::string Ip = Server.Address.substr(0, Colon);
    const auto Port =
        static_cast<std::uint16_t>(std::stoi(Server.Address.substr(Colon + 1)));
    const auto Keys = httpGet(Ip, Port, "/keys", milliseconds(1000));
    const auto Text = httpGet(Ip, Port, "/counts", milliseconds(1000));
    if (errorOf(Keys) || errorOf(Text))
      continue;
    std::istringstream KeyLines(valueOf(Keys));
    std::string Name;
    int Count = 0;
    while (KeyLines >> Name >> Count)
      Counts.RunsOfKey[Name] += Count;
    std::istringstream Lines(valueOf(Text));
    std::string Value;
    while (Lines >> Name >> Value) {
      if (Name != "server" && Name != "duplicate_keys")
        Counts.Sums[Name] += std::strtoull(Value.c_str(), nullptr, 10);
    }
  }
  return Counts;
}

double millisOf(duration Length) {
  return static_cast<double>(toMicros(Length)) / 1000;
}

void printLatencies(const tally &Tally) {
  fmt::print("\n{:<34} {:>8} {:>9} {:>9} {:>9}\n", "client account and class",
             "answers", "p50 ms", "p99 ms", "p99.9 ms");
  for (const auto &[Name, Histogram] : Tally.Latencies)
    fmt::print("{:<34} {:>8} {:>9.1f} {:>9.1f} {:>9.1f}\n", Name,
               Histogram.count(), millisOf(Histogram.quantile(0.5)),
               millisOf(Histogram.quantile(0.99)),
               millisOf(Histogram.quantile(0.999)));
}

void printOutcomes(const tally &Tally) {
  for (const auto &[Class, Outcomes] : Tally.Outcomes) {
    std::uint64_t All = 0;
    for (const auto &[Outcome, Count] : Outcomes)
      All += Count;
    fmt::print("{:<10}", Class);
    for (const auto &[Outcome, Count] : Outcomes)
      fmt::print(" {} {} ({:.2f}%)", Outcome, Count,
                 100.0 * static_cast<double>(Count) / static_cast<double>(All));
    fmt::print("\n");
  }
  for (const auto &[Reason, Count] : Tally.Refusals)
    fmt::print("  refused: {} {}\n", Reason, Count);
}

/// Prints what must be zero; returns how much of it is not.
std::uint64_t printChecks(const tally &Tally, const backend_counts &Counts) {
  std::uint64_t Duplicates = 0;
  std::uint64_t Lost = 0;
  std::uint64_t FalseNotRun = 0;
  for (const auto &[Key, History] : Tally.Keys) {
    const auto Found = Counts.RunsOfKey.find(Key);
    const int Runs = Found == Counts.RunsOfKey.end() ? 0 : Found->second;
    Duplicates += Runs > 1 ? 1 : 0;
    Lost += History.Answered && Runs == 0 ? 1 : 0;
    FalseNotRun += History.NotRunOnly && Runs > 0 ? 1 : 0;
  }
  fmt::print("\nkeys {} duplicates {} lost {} false-not-run {} wrong-answers "
             "{}\n",
             Tally.Keys.size(), Duplicates, Lost, FalseNotRun, Tally.Wrong);
  for (const auto &[Name, Sum] : Counts.Sums)
    fmt::print("backend servers: {} {}\n", Name, Sum);
  const auto Beyond = Counts.Sums.find("beyond_slots");
  return Duplicates + Lost + FalseNotRun + Tally.Wrong +
         (Beyond == Counts.Sums.end() ? 0 : Beyond->second);
}

void writeTimeline(const tally &Tally, const std::string &File) {
  std::ofstream Output(File);
  Output << "second,on_time,all\n";
  for (const auto &[Second, Counts] : Tally.Timeline)
    Output << fmt::format("{},{},{}\n", Second, Counts.first, Counts.second);
}

std::vector<load_class> classesFrom(const cxxopts::ParseResult &Parsed) {
  const auto Accounts = Parsed["account"].as<std::vector<std::string>>();
  const auto Millis = [&Parsed](const char *Name) {
    return milliseconds(Parsed[Name].as<int>());
  };
  return {{"status", "GET", Parsed["status-path"].as<std::string>(),
           Parsed["status-rate"].as<double>(), Millis("status-on-time-ms"),
           Millis("status-timeout-ms"), 0, false, Accounts},
          {"order", "POST", "/orders", Parsed["order-rate"].as<double>(),
           Millis("order-on-time-ms"), milliseconds(3000), 64, true, Accounts},
          {"scan", "POST", "/scans", Parsed["scan-rate"].as<double>(),
           milliseconds(5000), milliseconds(20000),
           Parsed["scan-bytes"].as<std::int64_t>(), true, Accounts}};
}

int run(const cxxopts::ParseResult &Parsed) {
  const auto Loaded =
      configuration::fromFolder(Parsed["config"].as<std::string>());
  if (const error *Error = errorOf(Loaded)) {
    fmt::print(stderr, "{}\n", Error->Message);
    return 1;
  }
  const std::vector<load_class> Classes = classesFrom(Parsed);
  const double Seconds = Parsed["duration-s"].as<double>();
  const auto Seed = Parsed["seed"].as<std::uint64_t>();
  balancer Balancer(Parsed["fleet"].as<std::string>(),
                    Parsed["admin-port"].as<std::uint16_t>());
  tally Tally;
  const auto Begin = clock_type::now() + milliseconds(50);
  arrival_queue Queue(makeArrivals(Classes, Begin, Seconds, Seed));
  std::vector<std::thread> Workers;
  for (int I = 0; I < Parsed["workers"].as<int>(); ++I)
    Workers.emplace_back([&, I] {
      caller Caller(Balancer, Tally, Parsed["port"].as<std::uint16_t>(),
                    Seed + 1000 + static_cast<std::uint64_t>(I), Begin);
      while (const std::optional<arrival> Arrival = Queue.next())
        Caller.serve(*Arrival);
    });
  for (std::thread &Worker : Workers)
    Worker.join();
  const backend_counts Counts = askBackends(valueOf(Loaded));
  printOutcomes(Tally);
  printLatencies(Tally);
  const std::uint64_t Bad = printChecks(Tally, Counts);
  fmt::print("sendings by callers {}\n", Tally.Sendings);
  if (Parsed.count("timeline"))
    writeTimeline(Tally, Parsed["timeline"].as<std::string>());
  return Bad == 0 ? 0 : 3;
}

} // namespace

int main(int Argc, char **Argv) {
  cxxopts::Options Options("standin-load", "Stand-in for callers, for tests.");
  const auto Double = [](const char *Value) {
    return cxxopts::value<double>()->default_value(Value);
  };
  const auto Int = [](const char *Value) {
    return cxxopts::value<int>()->default_value(Value);
  };
  Options.add_options()(
      "fleet", "file with a line per VM: name ip zone state",
      cxxopts::value<std::string>()->default_value("fleet.txt"))(
      "config", "configuration folder",
      cxxopts::value<std::string>()->default_value("samples/maraval"))(
      "duration-s", "length of the load",
      Double("10"))("status-rate", "status checks per second", Double("100"))(
      "order-rate", "orders per second",
      Double("20"))("scan-rate", "scan uploads per second", Double("1"))(
      "scan-bytes", "bytes of a scan",
      cxxopts::value<std::int64_t>()->default_value("1000000"))(
      "status-path", "path of status checks",
      cxxopts::value<std::string>()->default_value("/status"))(
      "status-on-time-ms", "a status check is late after", Int("250"))(
      "status-timeout-ms", "a status check is given up after",
      Int("1000"))("order-on-time-ms", "an order is late after", Int("1000"))(
      "account", "client accounts, in turn",
      cxxopts::value<std::vector<std::string>>()->default_value(
          "families,engravers,funeral-homes"))("workers", "callers at once",
                                               Int("64"))(
      "port", "caller port of the entry VMs",
      cxxopts::value<std::uint16_t>()->default_value("8080"))(
      "admin-port", "admin port of the entry VMs",
      cxxopts::value<std::uint16_t>()->default_value("8081"))(
      "seed", "seed of the arrivals",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "timeline", "write on-time counts per second to this CSV file",
      cxxopts::value<std::string>())("help", "print this help");
  try {
    const auto Parsed = Options.parse(Argc, Argv);
    if (Parsed.count("help")) {
      fmt::print("{}\nExit codes: 0 good, 1 bad input, 2 wrong usage, 3 "
                 "something that must never happen did\n",
                 Options.help());
      return 0;
    }
    return run(Parsed);
  } catch (const cxxopts::exceptions::exception &Failure) {
    fmt::print(stderr, "{}\n", Failure.what());
    return 2;
  }
}
