/// \file
/// agatedale-policies: compares ways to choose a backend server, with the real
/// core driven by small fakes. One service in one region: entry VMs, server
/// groups in two availability zones, servers of 2 slots with lognormal service
/// times that are slow or turn cold now and then. Every way sees the same
/// arrivals and the same service times (by request), so that figures are pairs.
#include "agatedale/group_selector.h"
#include "agatedale/server_group.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace {

using namespace agatedale;
using std::chrono::microseconds;

constexpr int EntryVms = 7;
constexpr int Zones = 2;
constexpr int ServerCount = 12;
constexpr int Slots = 2;
constexpr double Sigma = 1.0;
constexpr double ZoneHopMs = 0.5;   ///< One way inside the region.
constexpr double LocalHopMs = 0.05; ///< One way inside a zone.
constexpr double OnTimeFactor = 20; ///< Times the mean service time.
constexpr double TickMs = 4;
constexpr double WarmUpShare = 0.1; ///< Of the requests, not counted.
constexpr double ReportAgeMs = 100;
constexpr double SlowFactor = 3;
constexpr double SlowMs = 200;
constexpr double SlowEveryMs = 2000;
constexpr double ColdEveryMs = 20000;
constexpr int ColdRequests = 5;

/// What is run.
struct scenario {
  double Load = 0.85; ///< Of all slots.
  double MeanMs = 10;
  bool Cold = false;  ///< Servers turn cold without warning.
  bool Noisy = false; ///< One account sends ten times its share.
  int Requests = 60000;
  double DeadlineFactor = 20; ///< Times the mean service time.
  std::uint64_t Seed = 1;
};

/// One request with everything that does not depend on the way.
struct request {
  double ArrivalMs = 0;
  double WorkMs = 0;
  int Vm = 0;
  bool IsNoisy = false;
};

/// What a way came to.
struct outcome {
  std::vector<double> Latencies;
  std::vector<double> QuietLatencies;
  long Beyond = 0; ///< Sent while every slot of the server was taken.
  long Sent = 0;
  long Refused = 0;
};

/// A queue of things to do at their times.
class timeline {
public:
  void at(double TimeMs, std::function<void()> Do) {
    Events.push({TimeMs, Next++, std::move(Do)});
  }
  void run() {
    while (!Events.empty()) {
      const event Event = Events.top();
      Events.pop();
      Now = Event.TimeMs;
      Event.Do();
    }
  }
  double now() const { return Now; }

private:
  struct event {
    double TimeMs;
    std::uint64_t Order;
    std::function<void()> Do;
    bool operator<(const event &Other) const {
      return std::pair(TimeMs, Order) > std::pair(Other.TimeMs, Other.Order);
    }
  };
  std::priority_queue<event> Events;
  std::uint64_t Next = 0;
  double Now = 0;
};

/// A backend server: 2 slots and a queue behind them, slow and cold spells.
class fake_server {
public:
  fake_server(timeline &Time, std::uint64_t Seed, bool TurnsCold)
      : Time(Time), Random(Seed), TurnsCold(TurnsCold) {
    NextSlow = exponential(SlowEveryMs);
    NextCold = exponential(ColdEveryMs);
  }

  /// Takes a request; \p Done is called when it is served. Returns false when
  /// every slot was taken and it had to wait.
  bool take(double WorkMs, std::function<void()> Done) {
    ++Load;
    const bool Free = Running < Slots;
    if (Free)
      start(WorkMs, std::move(Done));
    else
      Waiting.push_back({WorkMs, std::move(Done)});
    return Free;
  }

  /// Stops the work named by \p Work at once, as a closed connection does.
  void cancel(std::uint64_t Work) {
    if (Started.erase(Work) > 0)
      leave();
  }

  /// Names the work that the last take() started.
  std::uint64_t lastWork() const { return NextWork; }

  int load() const { return Load; }

private:
  struct waiting {
    double WorkMs;
    std::function<void()> Done;
  };

  double exponential(double Mean) {
    return std::exponential_distribution<double>(1 / Mean)(Random);
  }

  double factor() {
    while (NextSlow + SlowMs < Time.now())
      NextSlow += SlowMs + exponential(SlowEveryMs);
    while (TurnsCold && NextCold < Time.now()) {
      NextCold += exponential(ColdEveryMs);
      ColdLeft = ColdRequests;
    }
    const bool Slow = Time.now() >= NextSlow;
    const bool Cold = ColdLeft > 0;
    ColdLeft = std::max(0, ColdLeft - 1);
    // A cold server given two at once falls over: both take much longer.
    const double ColdFactor = !Cold ? 1 : (Running >= 2 ? 10 : 3);
    return (Slow ? SlowFactor : 1) * ColdFactor;
  }

  void start(double WorkMs, std::function<void()> Done) {
    ++Running;
    const double Length = WorkMs * factor();
    const std::uint64_t Work = ++NextWork;
    Started.insert(Work);
    Time.at(Time.now() + Length, [this, Work, Done = std::move(Done)] {
      if (Started.erase(Work) == 0)
        return;
      leave();
      Done();
    });
  }

  void leave() {
    --Running;
    --Load;
    if (Waiting.empty())
      return;
    waiting Next = std::move(Waiting.front());
    Waiting.pop_front();
    start(Next.WorkMs, std::move(Next.Done));
  }

  timeline &Time;
  std::mt19937_64 Random;
  bool TurnsCold;
  double NextSlow = 0;
  double NextCold = 0;
  int ColdLeft = 0;
  int Running = 0;
  int Load = 0;
  std::uint64_t NextWork = 0;
  std::set<std::uint64_t> Started;
  std::deque<waiting> Waiting;
};

/// How much longer the slow spells make the average request; the load is given
/// as a share of what the servers can really do.
double meanFactor() {
  const double SlowShare = SlowMs / (SlowMs + SlowEveryMs);
  return 1 / (1 - SlowShare + SlowShare / SlowFactor);
}

std::vector<request> makeRequests(const scenario &Scenario) {
  std::mt19937_64 Random(Scenario.Seed);
  const double PerMs =
      Scenario.Load * ServerCount * Slots / (Scenario.MeanMs * meanFactor());
  std::exponential_distribution<double> Gap(PerMs);
  std::lognormal_distribution<double> Work(
      std::log(Scenario.MeanMs) - Sigma * Sigma / 2, Sigma);
  std::vector<request> Requests;
  double At = 0;
  for (int I = 0; I < Scenario.Requests; ++I) {
    At += Gap(Random);
    const bool Noisy = Random() % 11 < 10 && Scenario.Noisy;
    Requests.push_back(
        {At, Work(Random), static_cast<int>(Random() % EntryVms), Noisy});
  }
  return Requests;
}

/// One run of one way over one scenario.
class run_of_way {
public:
  run_of_way(const scenario &Scenario)
      : Scenario(Scenario), Requests(makeRequests(Scenario)) {
    for (int I = 0; I < ServerCount; ++I)
      Servers.push_back(std::make_unique<fake_server>(
          Time, Scenario.Seed * 1000 + static_cast<std::uint64_t>(I),
          Scenario.Cold));
  }
  virtual ~run_of_way() = default;

  outcome run() {
    prepare();
    for (std::size_t I = 0; I < Requests.size(); ++I)
      Time.at(Requests[I].ArrivalMs, [this, I] { arrive(I); });
    Time.run();
    return std::move(Outcome);
  }

protected:
  virtual void prepare() {}
  virtual void arrive(std::size_t Index) = 0;

  void answered(std::size_t Index) {
    const request &Request = Requests[Index];
    if (static_cast<double>(Index) <
        WarmUpShare * static_cast<double>(Requests.size()))
      return;
    const double Latency = Time.now() - Request.ArrivalMs;
    Outcome.Latencies.push_back(Latency);
    if (!Request.IsNoisy)
      Outcome.QuietLatencies.push_back(Latency);
  }

  void give(int Server, double WorkMs, std::function<void()> Done) {
    ++Outcome.Sent;
    if (!Servers[static_cast<std::size_t>(Server)]->take(WorkMs,
                                                         std::move(Done)))
      ++Outcome.Beyond;
  }

  int loadOf(int Server) const {
    return Servers[static_cast<std::size_t>(Server)]->load();
  }

  double hopMs(int Vm, int Server) const {
    return Vm % Zones == Server % Zones ? LocalHopMs : ZoneHopMs;
  }

  scenario Scenario;
  std::vector<request> Requests;
  timeline Time;
  std::vector<std::unique_ptr<fake_server>> Servers;
  outcome Outcome;
};

/// One queue that knows every free slot at once: what nobody can build.
class ideal_queue : public run_of_way {
public:
  using run_of_way::run_of_way;

protected:
  void arrive(std::size_t Index) override {
    Queue.push_back(Index);
    dispatch();
  }

private:
  void dispatch() {
    while (!Queue.empty()) {
      int Best = 0;
      for (int I = 1; I < ServerCount; ++I)
        Best = loadOf(I) < loadOf(Best) ? I : Best;
      if (loadOf(Best) >= Slots)
        return;
      const std::size_t Index = Queue.front();
      Queue.pop_front();
      give(Best, Requests[Index].WorkMs, [this, Index] {
        answered(Index);
        dispatch();
      });
    }
  }

  std::deque<std::size_t> Queue;
};

/// Each entry VM chooses a server by itself and sends at once.
class local_choice : public run_of_way {
public:
  using chooser = std::function<int(local_choice &, int Vm)>;

  local_choice(const scenario &Scenario, chooser Choose)
      : run_of_way(Scenario), Choose(std::move(Choose)), Random(Scenario.Seed),
        Own(EntryVms, std::vector<int>(ServerCount)), Turn(EntryVms),
        Reports(ServerCount) {}

  int randomServer() { return static_cast<int>(Random() % ServerCount); }
  int ownCount(int Vm, int Server) const {
    return Own[static_cast<std::size_t>(Vm)][static_cast<std::size_t>(Server)];
  }
  int nextTurn(int Vm) {
    return Turn[static_cast<std::size_t>(Vm)]++ % ServerCount;
  }
  int reported(int Server) const {
    return Reports[static_cast<std::size_t>(Server)];
  }

protected:
  void prepare() override { refreshReports(); }

  void arrive(std::size_t Index) override {
    const request &Request = Requests[Index];
    const int Server = Choose(*this, Request.Vm);
    int &Count = Own[static_cast<std::size_t>(Request.Vm)]
                    [static_cast<std::size_t>(Server)];
    ++Count;
    const double Hop = hopMs(Request.Vm, Server);
    Time.at(Time.now() + Hop, [this, Index, Server, Hop, &Count] {
      give(Server, Requests[Index].WorkMs, [this, Index, Hop, &Count] {
        Time.at(Time.now() + Hop, [this, Index, &Count] {
          --Count;
          answered(Index);
        });
      });
    });
  }

private:
  void refreshReports() {
    for (int I = 0; I < ServerCount; ++I)
      Reports[static_cast<std::size_t>(I)] = loadOf(I);
    if (Time.now() < Requests.back().ArrivalMs)
      Time.at(Time.now() + ReportAgeMs, [this] { refreshReports(); });
  }

  chooser Choose;
  std::mt19937_64 Random;
  std::vector<std::vector<int>> Own;
  std::vector<int> Turn;
  std::vector<int> Reports;
};

/// The product's way: the real server_group for each zone on its owner, and the
/// real group_selector on each entry VM.
class owner_dispatch : public run_of_way {
public:
  explicit owner_dispatch(const scenario &Scenario) : run_of_way(Scenario) {
    server_group_settings Settings;
    Settings.Service.Name = "s";
    Settings.Service.Slots = Slots;
    Settings.Service.QueuePerSlot = 1000;
    for (int Zone = 0; Zone < Zones; ++Zone) {
      std::vector<backend_server> Members;
      for (int I = Zone; I < ServerCount; I += Zones)
        Members.push_back({std::to_string(I), "s", zoneName(Zone), "", false});
      Groups.push_back(moveValue(server_group::create(Settings, Members)));
      Groups.back().setLeaseEnd(time_point::max());
      Ids.push_back({"s", zoneName(Zone), 0});
    }
    for (int Vm = 0; Vm < EntryVms; ++Vm)
      Choices.push_back(group_selector::create({}));
  }

protected:
  void prepare() override { tick(); }

  void arrive(std::size_t Index) override {
    const request &Request = Requests[Index];
    group_selector &Choice = Choices[static_cast<std::size_t>(Request.Vm)];
    const auto Chosen =
        Choice.choose(Ids, zoneName(Request.Vm % Zones), nowPoint());
    const int Zone = Chosen->Zone == zoneName(0) ? 0 : 1;
    Choice.onSent(*Chosen);
    const double Hop = Request.Vm % Zones == Zone ? LocalHopMs : ZoneHopMs;
    Time.at(Time.now() + Hop, [this, Index, Zone] {
      work_item Item;
      Item.Id = Index;
      Item.Account = Requests[Index].IsNoisy
                         ? "noisy"
                         : "quiet" + std::to_string(Index % 10);
      Item.Deadline = pointAt(Requests[Index].ArrivalMs +
                              Scenario.DeadlineFactor * Scenario.MeanMs);
      Item.Idempotent = true;
      apply(Zone, group(Zone).submit(Item, nowPoint()));
    });
  }

private:
  static std::string zoneName(int Zone) { return Zone == 0 ? "a" : "b"; }
  static time_point pointAt(double Ms) {
    return time_point(std::chrono::hours(1)) +
           microseconds(static_cast<std::int64_t>(Ms * 1000));
  }
  time_point nowPoint() const { return pointAt(Time.now()); }
  server_group &group(int Zone) {
    return Groups[static_cast<std::size_t>(Zone)];
  }

  void tick() {
    for (int Zone = 0; Zone < Zones; ++Zone)
      apply(Zone, group(Zone).tick(nowPoint()));
    if (Time.now() <
        Requests.back().ArrivalMs + Scenario.DeadlineFactor * Scenario.MeanMs)
      Time.at(Time.now() + TickMs, [this] { tick(); });
  }

  void apply(int Zone, const std::vector<group_action> &Actions) {
    for (const group_action &Action : Actions) {
      if (const auto *Send = std::get_if<send_action>(&Action))
        send(Zone, *Send);
      else if (const auto *Cancel = std::get_if<cancel_action>(&Action))
        breakOff(Zone, Cancel->Attempt, attempt_outcome::Cancelled);
      else if (const auto *Deliver = std::get_if<deliver_action>(&Action))
        tellBack(Zone, Deliver->Request, true);
      else
        tellBack(Zone, std::get<group_refusal>(Action).Request, false);
    }
  }

  void send(int Zone, const send_action &Order) {
    const int Server = std::stoi(Order.Server);
    const double Work = Requests[Order.Request].WorkMs;
    const std::pair Name{Zone, Order.Attempt};
    Time.at(Time.now() + LocalHopMs, [this, Zone, Order, Server, Work, Name] {
      // Broken off on its way: the server sees the connection close.
      if (BrokenOff.erase(Name) > 0)
        return;
      give(Server, Work, [this, Zone, Order, Name] {
        Works.erase(Name);
        Time.at(Time.now() + LocalHopMs, [this, Zone, Order] {
          end(Zone, Order.Attempt, attempt_outcome::Answered);
        });
      });
      Works[Name] = {Server,
                     Servers[static_cast<std::size_t>(Server)]->lastWork()};
    });
    Time.at(millisOf(Order.Deadline), [this, Zone, Order, Name] {
      if (Works.contains(Name))
        breakOff(Zone, Order.Attempt, attempt_outcome::TimedOut);
    });
  }

  void end(int Zone, attempt_id Attempt, attempt_outcome Outcome) {
    apply(Zone, group(Zone).finish(Attempt, Outcome, nowPoint()));
  }

  void breakOff(int Zone, attempt_id Attempt, attempt_outcome Outcome) {
    const auto Work = Works.find({Zone, Attempt});
    if (Work != Works.end()) {
      const auto [Server, Name] = Work->second;
      Works.erase(Work);
      Servers[static_cast<std::size_t>(Server)]->cancel(Name);
    } else {
      BrokenOff.insert({Zone, Attempt});
    }
    end(Zone, Attempt, Outcome);
  }

  static double millisOf(time_point Point) {
    return static_cast<double>(
               toMicros(Point - time_point(std::chrono::hours(1)))) /
           1000;
  }

  void tellBack(int Zone, std::size_t Index, bool Answered) {
    const group_load Load = group(Zone).load(nowPoint());
    const int Vm = Requests[Index].Vm;
    const double Hop = Vm % Zones == Zone ? LocalHopMs : ZoneHopMs;
    Time.at(Time.now() + Hop, [this, Zone, Index, Answered, Load, Vm] {
      group_selector &Choice = Choices[static_cast<std::size_t>(Vm)];
      Choice.onAnswered(Ids[static_cast<std::size_t>(Zone)]);
      Choice.onLoad(Ids[static_cast<std::size_t>(Zone)], Load, nowPoint());
      if (Answered)
        answered(Index);
      else
        ++Outcome.Refused;
    });
  }

  std::vector<server_group> Groups;
  std::vector<group_id> Ids;
  std::vector<group_selector> Choices;
  std::map<std::pair<int, attempt_id>, std::pair<int, std::uint64_t>> Works;
  std::set<std::pair<int, attempt_id>> BrokenOff;
};

/// A way with its name.
struct way {
  std::string Name;
  std::function<std::unique_ptr<run_of_way>(const scenario &)> Make;
};

local_choice::chooser
powerOfTwo(std::function<int(local_choice &, int, int)> CountOf) {
  return [CountOf = std::move(CountOf)](local_choice &Run, int Vm) {
    const int One = Run.randomServer();
    const int Two = Run.randomServer();
    return CountOf(Run, Vm, Two) < CountOf(Run, Vm, One) ? Two : One;
  };
}

std::vector<way> allWays() {
  const auto Local = [](const std::string &Name,
                        const local_choice::chooser &Choose) {
    return way{Name, [Choose](const scenario &Scenario) {
                 return std::make_unique<local_choice>(Scenario, Choose);
               }};
  };
  return {
      {"ideal central queue",
       [](const scenario &Scenario) {
         return std::make_unique<ideal_queue>(Scenario);
       }},
      {"owner dispatch (ours)",
       [](const scenario &Scenario) {
         return std::make_unique<owner_dispatch>(Scenario);
       }},
      Local("power of two, own counts",
            powerOfTwo([](local_choice &Run, int Vm, int Server) {
              return Run.ownCount(Vm, Server);
            })),
      Local("power of two, reports 100 ms",
            powerOfTwo([](local_choice &Run, int, int Server) {
              return Run.reported(Server);
            })),
      Local("least reported load, 100 ms",
            [](local_choice &Run, int) {
              const int Start = Run.randomServer();
              int Best = Start;
              for (int I = 0; I < ServerCount; ++I) {
                const int Server = (Start + I) % ServerCount;
                Best =
                    Run.reported(Server) < Run.reported(Best) ? Server : Best;
              }
              return Best;
            }),
      Local("round robin",
            [](local_choice &Run, int Vm) { return Run.nextTurn(Vm); }),
      Local("random",
            [](local_choice &Run, int) { return Run.randomServer(); }),
  };
}

double quantile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  const auto Rank =
      static_cast<std::size_t>(Share * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(),
                   Values.begin() + static_cast<std::ptrdiff_t>(Rank),
                   Values.end());
  return Values[Rank];
}

void printRow(const scenario &Scenario, const way &Way, const outcome &Outcome,
              bool Csv) {
  const double OnTimeMs = OnTimeFactor * Scenario.MeanMs;
  const auto OnTime = static_cast<double>(
      std::count_if(Outcome.Latencies.begin(), Outcome.Latencies.end(),
                    [OnTimeMs](double Ms) { return Ms <= OnTimeMs; }));
  const double All = (1 - WarmUpShare) * static_cast<double>(Scenario.Requests);
  const std::string Kind = Scenario.Cold    ? "cold"
                           : Scenario.Noisy ? "noisy"
                                            : "plain";
  fmt::print(
      fmt::runtime(
          Csv ? "{},{:.0f},{:.0f},{},{:.1f},{:.1f},{:.1f},{:.1f},{:.2f},"
                "{:.2f},{:.2f}\n"
              : "| {} | {:.0f} | {:.0f}% | {} | {:.1f} | {:.1f} | {:.1f} | "
                "{:.1f} | {:.2f}% | {:.2f}% | {:.2f}% |\n"),
      Kind, Scenario.MeanMs, 100 * Scenario.Load, Way.Name,
      quantile(Outcome.Latencies, 0.5), quantile(Outcome.Latencies, 0.99),
      quantile(Outcome.Latencies, 0.999),
      quantile(Outcome.QuietLatencies, 0.99), 100 * OnTime / All,
      100.0 * static_cast<double>(Outcome.Beyond) /
          static_cast<double>(std::max(Outcome.Sent, 1L)),
      100.0 * static_cast<double>(Outcome.Refused) /
          static_cast<double>(Scenario.Requests));
}

std::vector<scenario> allScenarios(bool Quick, int Requests,
                                   double DeadlineFactor, std::uint64_t Seed) {
  std::vector<scenario> All;
  const auto Add = [&](double Load, double Mean, bool Cold, bool Noisy) {
    All.push_back({Load, Mean, Cold, Noisy, Requests, DeadlineFactor, Seed});
  };
  const std::vector<double> Loads =
      Quick ? std::vector<double>{0.85}
            : std::vector<double>{0.5, 0.7, 0.85, 0.95, 1.2};
  const std::vector<double> Means =
      Quick ? std::vector<double>{10} : std::vector<double>{3, 10, 50};
  for (const double Mean : Means) {
    for (const double Load : Loads)
      Add(Load, Mean, false, false);
  }
  Add(0.85, 10, true, false);
  Add(0.85, 10, false, true);
  Add(1.2, 10, false, true);
  return All;
}

} // namespace

int main(int Argc, char **Argv) {
  cxxopts::Options Options(
      "agatedale-policies",
      "Compares ways to choose a backend server over the same load.");
  Options.add_options()("quick", "one load and service time only")(
      "requests", "requests of each run",
      cxxopts::value<int>()->default_value("60000"))(
      "deadline-factor", "deadline of a request, in mean service times",
      cxxopts::value<double>()->default_value("20"))(
      "seed", "seed of arrivals and service times",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "csv", "print CSV in place of a table")("help", "print this help");
  try {
    const auto Parsed = Options.parse(Argc, Argv);
    if (Parsed.count("help")) {
      fmt::print("{}", Options.help());
      return 0;
    }
    const bool Csv = Parsed.count("csv") > 0;
    fmt::print("{}", Csv ? "kind,mean_ms,load,way,p50,p99,p999,p99_quiet,"
                           "on_time,beyond,refused\n"
                         : "| kind | mean ms | load | way | p50 | p99 | p99.9 "
                           "| p99 quiet | on time | beyond slots | refused "
                           "|\n|---|---|---|---|---|---|---|---|---|---|---|"
                           "\n");
    for (const scenario &Scenario :
         allScenarios(Parsed.count("quick") > 0, Parsed["requests"].as<int>(),
                      Parsed["deadline-factor"].as<double>(),
                      Parsed["seed"].as<std::uint64_t>())) {
      for (const way &Way : allWays())
        printRow(Scenario, Way, Way.Make(Scenario)->run(), Csv);
    }
    return 0;
  } catch (const cxxopts::exceptions::exception &Failure) {
    fmt::print(stderr, "{}\n", Failure.what());
    return 2;
  }
}
