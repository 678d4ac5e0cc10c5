/// \file
/// A heartbeat of a backend server is written late, after the report that it
/// drains.
#include "../harness/caller.h"
#include "../harness/deployment.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <thread>
#include <utility>

namespace {

using namespace agatedale::review;

constexpr milliseconds Heartbeat{1500};
constexpr milliseconds DrainTime{2000};

/// Until when each event of the case comes, counted from the lost answer.
constexpr milliseconds LateWriteAt{5800};
constexpr milliseconds DrainingAt{3200};
constexpr milliseconds EndAt{7500};

/// Sends a request to the gateways in turn, each 15 ms.
void sendRequests(deployment &Deployment, const std::atomic<bool> &Ended,
                  const std::string &Name) {
  constexpr milliseconds Pause{15};
  constexpr milliseconds Deadline{1500};
  for (std::size_t I = 0; !Ended; ++I) {
    const std::string Id = fmt::format("{}-{}", Name, I);
    exchange(Deployment.callers(I % Deployment.gateways()),
             requestHead("GET", "/reads/status", Id, Deadline) +
                 "Connection: close\r\n\r\n",
             2 * Deadline);
    std::this_thread::sleep_for(Pause);
  }
}

bool drainsLate(const std::string &Program, const std::string &Folder,
                bool Trouble, record &Record) {
  deployment_terms Terms;
  Terms.Gateways.assign(3, {"north-a", "tt-north"});
  Terms.Backends.assign(4, {"", "", "north-a"});
  Terms.Routes = {{.Name = "reads"}};
  deployment Deployment(Terms, Program, Folder, Record);
  backend &Leaver = Deployment.backendAt(0);
  // An entry of the store changes only when more than its count does.
  std::map<std::string, std::string> LastStates;
  const auto Report = [&](backend &Backend, const std::string &State) {
    const std::string Text = Backend.nextReport(State);
    if (std::exchange(LastStates[Backend.id()], State) == State)
      return;
    Deployment.platformStore().put("servers", Backend.id(), Text);
    Record.write(fmt::format("store accepts {} {}", Backend.id(), Text));
  };
  for (std::size_t I = 0; I < Deployment.backends(); ++I)
    Report(Deployment.backendAt(I), "ready");
  std::atomic<bool> Ended{false};
  constexpr int CallerCount = 4;
  std::vector<std::thread> Callers;
  Callers.reserve(CallerCount);
  for (int I = 0; I < CallerCount; ++I)
    Callers.emplace_back(
        [&, I] { sendRequests(Deployment, Ended, fmt::format("read-{}", I)); });
  std::this_thread::sleep_for(2 * Heartbeat);
  const auto LostAt = clock::now();
  const std::string Lost = Leaver.nextReport("ready");
  Record.write(fmt::format("{} writes {}, {}", Leaver.id(), Lost,
                           Trouble ? "no answer" : "accepted, no change"));
  auto NextHeartbeat = LostAt + Heartbeat;
  clock::time_point AcknowledgedAt{};
  bool IsLateWritten = false;
  while (clock::now() < LostAt + EndAt) {
    std::this_thread::sleep_for(milliseconds(5));
    const auto Now = clock::now();
    const bool Drains = Now >= LostAt + DrainingAt;
    const bool JustDrains = Drains && AcknowledgedAt == clock::time_point{};
    if (JustDrains || Now >= NextHeartbeat) {
      for (std::size_t I = 0; I < Deployment.backends(); ++I)
        Report(Deployment.backendAt(I),
               I == 0 && Drains ? "draining" : "ready");
      NextHeartbeat = Now + Heartbeat;
    }
    if (JustDrains)
      AcknowledgedAt = clock::now();
    if (Trouble && !IsLateWritten && Now >= LostAt + LateWriteAt) {
      IsLateWritten = true;
      Deployment.platformStore().put("servers", Leaver.id(), Lost);
      LastStates[Leaver.id()] = "ready";
      Record.write(fmt::format("store performs the write of {} that was not "
                               "answered: {}",
                               Leaver.id(), Lost));
    }
  }
  Ended = true;
  for (std::thread &Caller : Callers)
    Caller.join();
  const auto Arrivals = Leaver.arrivals();
  const auto Late = std::count_if(
      Arrivals.begin(), Arrivals.end(), [&](const arrival &Arrival) {
        return Arrival.At > AcknowledgedAt + DrainTime;
      });
  const std::string Finding = fmt::format(
      "{} requests reached {} later than {} ms after its report 'draining' was "
      "acknowledged, {} before",
      Late, Leaver.id(), DrainTime.count(),
      static_cast<std::ptrdiff_t>(Arrivals.size()) - Late);
  Record.write(Finding);
  fmt::print("{}\n", Finding);
  return Late > 0;
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, drainsLate); }
