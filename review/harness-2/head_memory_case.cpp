/// \file
/// Clients pipeline idempotent requests whose heads are as long as the
/// configuration allows and have many fields. The platform ends a process that
/// exceeds the memory of its machine and starts it again.
#include "cases.h"
#include "exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace agatedale::review {

namespace {

constexpr std::size_t HeadBytes = 16'384; ///< max_header_bytes.
constexpr int Clients = 500;
constexpr int Pipelined = 16;
constexpr int DeadlineMs = 6000;

/// Of the users' exports.
constexpr route_times Times{.Aim = 2000, .Timeout = 6000};
constexpr milliseconds Work{360};
constexpr milliseconds ExchangeLimit{8000};

/// The rule counts two machines and three ends of each.
constexpr std::size_t Pressed = 2;
constexpr int EndsOfEach = 3;

/// The clients may come again so often.
constexpr int Rounds = 6;

/// Returns a request of at most HeadBytes, or with few fields.
std::string makeRequest(const std::string &Path, const std::string &Id,
                        bool HasManyFields) {
  constexpr std::string_view Field = "a:b\r\n";
  const std::string Short = requestHead("GET", Path + Id, Id, DeadlineMs);
  std::string Fields;
  while (HasManyFields &&
         Short.size() + Fields.size() + Field.size() <= HeadBytes)
    Fields += Field;
  return requestHead("GET", Path + Id, Id, DeadlineMs, Fields);
}

/// Ends processes that exceed the memory of their machines and starts them
/// again, as the platform does.
class memory_watch {
public:
  memory_watch(small_fleet &Fleet, record &Record)
      : Fleet(Fleet), Record(Record), Thread([this] { run(); }) {}
  ~memory_watch() {
    Stopping = true;
    Thread.join();
  }
  memory_watch(const memory_watch &) = delete;
  memory_watch &operator=(const memory_watch &) = delete;

  int ends(std::size_t Vm) const { return Ends.at(Vm); }

  /// Returns true if the machines have been ended as often as the rule counts.
  bool isRuleBroken() const {
    return std::all_of(Ends.begin(), Ends.end(),
                       [](int Count) { return Count >= EndsOfEach; });
  }

private:
  static constexpr milliseconds LookInterval{5};
  static constexpr milliseconds RestartDelay{500};
  static constexpr std::size_t LimitKb = small_fleet::MemoryMb * 1024;

  void run() {
    while (!Stopping) {
      for (std::size_t Vm = 0; Vm < Pressed; ++Vm)
        look(Vm);
      std::this_thread::sleep_for(LookInterval);
    }
  }

  void look(std::size_t Vm) {
    const std::string Name = small_fleet::nameOf(Vm);
    const std::size_t Kilobytes = Fleet.peakMemoryKb(Vm);
    if (Kilobytes > MostKb.at(Vm) + LimitKb / 10) {
      MostKb.at(Vm) = Kilobytes;
      Record.line(
          fmt::format("{} has had {} kB of {}", Name, Kilobytes, LimitKb));
    }
    if (Kilobytes <= LimitKb)
      return;
    Fleet.kill(Vm);
    ++Ends.at(Vm);
    MostKb.at(Vm) = 0;
    Record.line(fmt::format("{} exceeded {} kB and was ended, {} times", Name,
                            LimitKb, Ends.at(Vm).load()));
    std::this_thread::sleep_for(RestartDelay);
    Fleet.start(Vm);
  }

  small_fleet &Fleet;
  record &Record;
  std::array<std::atomic<int>, Pressed> Ends{};
  std::array<std::size_t, Pressed> MostKb{};
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

/// Has all clients send at once, and waits for them.
void press(const small_fleet &Fleet, std::size_t Vm, int Round,
           bool HasManyFields, record &Record) {
  std::map<int, int> Statuses;
  std::mutex Lock;
  std::vector<std::thread> Threads;
  for (int Client = 0; Client < Clients; ++Client) {
    // The first one runs; those behind it are answered at once with 404, and
    // their answers wait for the first.
    std::string Bytes;
    for (int I = 0; I < Pipelined; ++I)
      Bytes += makeRequest(I == 0 ? "/reads/" : "/none/",
                           fmt::format("m{}-{}-{}-{}", Vm, Round, Client, I),
                           HasManyFields);
    Threads.emplace_back([&, Bytes = std::move(Bytes)] {
      const auto Answers =
          exchange(Fleet.callers(Vm), Bytes, Pipelined, ExchangeLimit);
      const std::lock_guard Guard(Lock);
      for (const seen_answer &Answer : Answers)
        ++Statuses[Answer.Status];
    });
  }
  for (std::thread &Thread : Threads)
    Thread.join();
  std::string Text;
  for (const auto &[Status, Count] : Statuses)
    Text += fmt::format(" {}: {}", Status, Count);
  Record.line(fmt::format("front-{} round {}: {} requests sent, answers{}",
                          Vm + 1, Round, Clients * Pipelined, Text));
}

} // namespace

int runHeadMemory(const case_settings &Settings, record &Record) {
  constexpr int Servers = 28;
  constexpr milliseconds Pause{1000};
  small_fleet Fleet(Settings,
                    {.Zones = {"north-a", "south-a", "north-b"},
                     .Servers = Servers,
                     .Work = Work,
                     .Configuration = configurationText(1, "", Times)},
                    Record);
  if (!Fleet.waitUntilReady())
    return CannotRun;
  std::this_thread::sleep_for(Pause);
  const memory_watch Watch(Fleet, Record);
  for (int Round = 1; Round <= Rounds && !Watch.isRuleBroken(); ++Round) {
    for (std::size_t Vm = 0; Vm < Pressed; ++Vm) {
      if (Watch.ends(Vm) >= EndsOfEach)
        continue;
      if (!Fleet.waitUntilReady(Vm))
        return CannotRun;
      Record.line(fmt::format("front-{} answers an ordinary request with {}",
                              Vm + 1,
                              statusOf(Fleet.callers(Vm), "/reads/one")));
      press(Fleet, Vm, Round, Settings.HasTrouble, Record);
      std::this_thread::sleep_for(Pause);
    }
  }
  for (std::size_t Vm = 0; Vm < Pressed; ++Vm)
    Record.line(fmt::format("front-{}: {} ends", Vm + 1, Watch.ends(Vm)));
  return Watch.isRuleBroken() ? RuleBroken : RuleHeld;
}

} // namespace agatedale::review
