/// \file
/// Clients pipeline requests whose Connection header lists many names, while
/// ordinary callers send one request after the other.
#include "cases.h"
#include "exchange.h"

#include <fmt/format.h>

#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace agatedale::review {

namespace {

constexpr std::size_t HeadBytes = 16'384; ///< max_header_bytes.
constexpr int Clients = 100;
constexpr int Pipelined = 16;
constexpr int DeadlineMs = 6000;
constexpr milliseconds ExchangeLimit{40'000};

constexpr int Ordinary = 80;
constexpr milliseconds OrdinaryInterval{100};

/// How long after its route's timeout a request may be without an answer.
constexpr milliseconds AnswerSlack{500};

/// Requests without an answer from which on the rule is broken, and their share
/// of those that last longer than the timeout.
constexpr int MostLate = 7;
constexpr int LateShare = 4;

/// Returns a request of at most HeadBytes, or a short one. No route has its
/// path, so that it is answered at once.
std::string makeRequest(const std::string &Id, bool HasList) {
  constexpr std::size_t ListBytes = 8000;
  constexpr std::string_view Field = "b:\r\n";
  std::string Fields;
  if (HasList) {
    Fields = "Connection: a";
    while (Fields.size() < ListBytes)
      Fields += ",a";
    Fields += "\r\n";
    const std::size_t Fixed =
        requestHead("GET", "/none/" + Id, Id, DeadlineMs, Fields).size();
    for (std::size_t Bytes = Fixed + Field.size(); Bytes <= HeadBytes;
         Bytes += Field.size())
      Fields += Field;
  }
  return requestHead("GET", "/none/" + Id, Id, DeadlineMs, Fields);
}

void pressOnce(const small_fleet &Fleet, bool HasLists,
               std::vector<std::thread> &Threads, record &Record) {
  for (int Client = 0; Client < Clients; ++Client) {
    std::string Bytes;
    for (int I = 0; I < Pipelined; ++I)
      Bytes += makeRequest(fmt::format("l{}-{}", Client, I), HasLists);
    Threads.emplace_back([&Fleet, &Record, Client, Bytes = std::move(Bytes)] {
      const auto Answers =
          exchange(Fleet.callers(0), Bytes, Pipelined, ExchangeLimit);
      Record.line(fmt::format("client {}: {} requests, {} answers", Client,
                              Pipelined, Answers.size()));
    });
  }
}

} // namespace

int runConnectionLists(const case_settings &Settings, record &Record) {
  constexpr milliseconds Pause{1000};
  constexpr milliseconds HeadStart{200};
  constexpr int StatusOk = 200;
  small_fleet Fleet(
      Settings,
      {.Zones = {"north-a", "south-a"}, .Configuration = configurationText(1)},
      Record);
  if (!Fleet.waitUntilReady())
    return CannotRun;
  std::this_thread::sleep_for(Pause);
  if (statusOf(Fleet.callers(0), "/reads/first") != StatusOk)
    return CannotRun;
  std::vector<std::thread> Threads;
  pressOnce(Fleet, Settings.HasTrouble, Threads, Record);
  std::this_thread::sleep_for(HeadStart);
  const milliseconds Timeout(route_times().Timeout);
  std::mutex Lock;
  int Long = 0;
  int Late = 0;
  for (int I = 0; I < Ordinary; ++I) {
    Threads.emplace_back([&, I] {
      const std::string Id = fmt::format("o{}", I);
      const auto SentAt = clock::now();
      const auto Answers = exchange(
          Fleet.callers(0), requestHead("GET", "/reads/" + Id, Id, DeadlineMs),
          1, ExchangeLimit);
      const auto Took = std::chrono::duration_cast<milliseconds>(
          (Answers.empty() ? clock::now() : Answers.front().At) - SentAt);
      Record.line(fmt::format("ordinary {}: status {} after {} ms", Id,
                              Answers.empty() ? 0 : Answers.front().Status,
                              Took.count()));
      const std::lock_guard Guard(Lock);
      Long += Took > Timeout ? 1 : 0;
      Late += Took > Timeout + AnswerSlack ? 1 : 0;
    });
    std::this_thread::sleep_for(OrdinaryInterval);
  }
  for (std::thread &Thread : Threads)
    Thread.join();
  Record.line(fmt::format("{} ordinary requests, {} longer than the timeout of "
                          "{} ms, {} without an answer {} ms later",
                          Ordinary, Long, Timeout.count(), Late,
                          AnswerSlack.count()));
  const bool IsBroken = Late > MostLate && LateShare * Late > Long;
  return IsBroken ? RuleBroken : RuleHeld;
}

} // namespace agatedale::review
