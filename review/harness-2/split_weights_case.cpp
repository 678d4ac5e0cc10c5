/// \file
/// The operators move a split route from one service to the other by its
/// weights.
#include "cases.h"
#include "exchange.h"

#include <fmt/format.h>

#include <array>
#include <cmath>
#include <string>
#include <thread>
#include <vector>

namespace agatedale::review {

namespace {

constexpr int DeadlineMs = 1500;
constexpr milliseconds ExchangeLimit{3000};

/// config_apply_ms and two seconds more.
constexpr milliseconds ApplyTime{4000};

constexpr int RequestsBefore = 12; ///< Of each gateway.
constexpr int RequestsAfter = 80;

/// The rule judges shares from this number of requests on.
constexpr int MinRequests = 300;
constexpr double MostOff = 0.2;

const std::array<weighted_part, 2> Before{{{"desk-a", 95}, {"desk-b", 5}}};
const std::array<weighted_part, 2> After{{{"desk-a", 0}, {"desk-b", 1}}};

/// Sends \p Count reads to each gateway, one after the other.
void readFromAll(const small_fleet &Fleet, const std::string &What, int Count,
                 record &Record) {
  std::vector<std::thread> Threads;
  for (std::size_t Vm = 0; Vm < Fleet.size(); ++Vm)
    Threads.emplace_back([&, Vm] {
      for (int I = 0; I < Count; ++I) {
        const std::string Id = fmt::format("{}-{}-{}", What, Vm + 1, I);
        const auto Answers =
            exchange(Fleet.callers(Vm),
                     requestHead("GET", "/reads/" + Id, Id, DeadlineMs), 1,
                     ExchangeLimit);
        Record.line(fmt::format("sent {} to front-{}, answered {}", Id, Vm + 1,
                                Answers.empty() ? 0 : Answers.front().Status));
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
}

} // namespace

int runSplitWeights(const case_settings &Settings, record &Record) {
  small_fleet Fleet(Settings,
                    {.Zones = {"north-a", "tobago-a", "south-a", "north-b"},
                     .Services = {"desk-a", "desk-b"},
                     .Configuration = splitConfigurationText(1, Before)},
                    Record);
  if (!Fleet.waitUntilReady())
    return CannotRun;
  std::this_thread::sleep_for(milliseconds(1000));
  readFromAll(Fleet, "r1", RequestsBefore, Record);
  const std::array<weighted_part, 2> &InForce =
      Settings.HasTrouble ? After : Before;
  if (Settings.HasTrouble) {
    Fleet.putConfiguration(splitConfigurationText(2, After));
    Record.line("r2 acknowledged: desk-a 0, desk-b 1");
  }
  std::this_thread::sleep_for(ApplyTime);
  const int FirstBefore = Fleet.runs("desk-a");
  const int SecondBefore = Fleet.runs("desk-b");
  readFromAll(Fleet, "r2", RequestsAfter, Record);
  const int First = Fleet.runs("desk-a") - FirstBefore;
  const int All = First + Fleet.runs("desk-b") - SecondBefore;
  if (All < MinRequests)
    return CannotRun;
  const double Share = static_cast<double>(First) / All;
  const double Stated = static_cast<double>(InForce.at(0).second) /
                        (InForce.at(0).second + InForce.at(1).second);
  Record.line(
      fmt::format("desk-a ran {} of {} requests, a share of {:.2f}; its "
                  "weight says {:.2f}",
                  First, All, Share, Stated));
  return std::abs(Share - Stated) > MostOff ? RuleBroken : RuleHeld;
}

} // namespace agatedale::review
