/// \file
/// agatedale-slopes: processor time and memory of the core as its sizes grow,
/// for docs/CAPACITY.md. Each row is a least-squares slope over at least four
/// sizes.
#include "agatedale/configuration.h"
#include "agatedale/key_table.h"
#include "agatedale/lease.h"
#include "agatedale/server_group.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <string>
#include <vector>

namespace {

using namespace agatedale;
using clock_type = std::chrono::steady_clock;

/// One measured point: a size, nanoseconds for one operation, bytes held.
struct point {
  double Size = 0;
  double Nanos = 0;
  double Bytes = 0;
};

double heldBytes() { return static_cast<double>(mallinfo2().uordblks); }

double nanosOf(int Repeats, const std::function<void()> &Operation) {
  std::vector<double> Runs;
  for (int Run = 0; Run < 5; ++Run) {
    const auto Begin = clock_type::now();
    for (int I = 0; I < Repeats; ++I)
      Operation();
    Runs.push_back(
        std::chrono::duration<double, std::nano>(clock_type::now() - Begin)
            .count() /
        Repeats);
  }
  std::nth_element(Runs.begin(), Runs.begin() + 2, Runs.end());
  return Runs[2];
}

/// Least-squares slope with the spread of its residuals.
struct slope {
  double PerUnit = 0;
  double Base = 0;
  double Spread = 0;
};

slope fit(const std::vector<point> &Points, double point::*Field) {
  const double Count = static_cast<double>(Points.size());
  double X = 0;
  double Y = 0;
  double Xx = 0;
  double Xy = 0;
  for (const point &Point : Points) {
    X += Point.Size;
    Y += Point.*Field;
    Xx += Point.Size * Point.Size;
    Xy += Point.Size * (Point.*Field);
  }
  slope Slope;
  Slope.PerUnit = (Count * Xy - X * Y) / (Count * Xx - X * X);
  Slope.Base = (Y - Slope.PerUnit * X) / Count;
  for (const point &Point : Points)
    Slope.Spread +=
        std::pow(Point.*Field - Slope.Base - Slope.PerUnit * Point.Size, 2);
  Slope.Spread = std::sqrt(Slope.Spread / Count);
  return Slope;
}

void print(const std::string &What, const std::string &Unit,
           const std::vector<point> &Points) {
  const slope Time = fit(Points, &point::Nanos);
  const slope Memory = fit(Points, &point::Bytes);
  fmt::print(
      "| {} | {} | {} | {:.0f} + {:.2f} per {} (spread {:.0f}) | {:.0f} "
      "per {} |\n",
      What, Points.size(),
      fmt::format("{:.0f} to {:.0f}", Points.front().Size, Points.back().Size),
      Time.Base, Time.PerUnit, Unit, Time.Spread, Memory.PerUnit, Unit);
}

std::vector<point> groupBySize() {
  std::vector<point> Points;
  for (const int Count : {4, 8, 16, 32}) {
    std::vector<backend_server> Servers;
    Servers.reserve(static_cast<std::size_t>(Count));
    for (int I = 0; I < Count; ++I)
      Servers.push_back({"server-" + std::to_string(I), "s", "a", "", false});
    server_group_settings Settings;
    const double Before = heldBytes();
    server_group Group = moveValue(server_group::create(Settings, Servers));
    Group.setLeaseEnd(time_point::max());
    const double Bytes = heldBytes() - Before;
    time_point Now{std::chrono::hours(1)};
    request_id Id = 0;
    const double Nanos = nanosOf(20'000, [&] {
      Now += std::chrono::microseconds(100);
      work_item Item;
      Item.Id = ++Id;
      Item.Account = "account";
      Item.Deadline = Now + std::chrono::seconds(1);
      for (const group_action &Action : Group.submit(Item, Now)) {
        if (const auto *Send = std::get_if<send_action>(&Action))
          Group.finish(Send->Attempt, attempt_outcome::Answered,
                       Now + std::chrono::microseconds(50));
      }
    });
    Points.push_back({static_cast<double>(Count), Nanos, Bytes});
  }
  return Points;
}

std::vector<point> leasesBySubjects() {
  std::vector<point> Points;
  for (const int Count : {8, 32, 128, 512}) {
    const double Before = heldBytes();
    lease_voter Voter = lease_voter::create(std::chrono::milliseconds(1500));
    Voter.setEpoch(1);
    lease_request Request{{"vm", 1}, 1, 1, 0, true, {}};
    for (int I = 0; I < Count; ++I)
      Request.Subjects.push_back("service-" + std::to_string(I) + "/zone/0");
    time_point Now{std::chrono::hours(1)};
    Voter.handleRequest(Request, Now);
    const double Bytes = heldBytes() - Before;
    Request.Digest =
        digestOf({Request.Subjects.begin(), Request.Subjects.end()});
    Request.IsFullSet = false;
    Request.Subjects.clear();
    const double Nanos = nanosOf(2'000, [&] {
      ++Request.Sequence;
      Voter.handleRequest(Request, Now);
    });
    Points.push_back({static_cast<double>(Count), Nanos, Bytes});
  }
  return Points;
}

std::vector<point> keysBySize() {
  std::vector<point> Points;
  for (const int Count : {1000, 4000, 16'000, 64'000}) {
    key_table_settings Settings;
    Settings.MaxEntries = 1'000'000;
    const double Before = heldBytes();
    key_table Keys = key_table::create(Settings);
    constexpr wall_ms Now = 1'796'000'000'000;
    int Number = 0;
    const auto ClaimNext = [&] {
      const std::string Time = fmt::format("{:012x}", Now);
      key_claim Claim;
      Claim.Account = "account";
      Claim.Key = fmt::format("{}-{}-7000-8000-{:012x}", Time.substr(0, 8),
                              Time.substr(8), ++Number);
      Claim.Claim = static_cast<claim_id>(Number);
      Keys.claim(Claim, Now);
      Keys.settle({Claim.Account, Claim.Key, Claim.Claim, verdict::Answered,
                   std::make_shared<stored_answer>(
                       stored_answer{200, {}, std::string(200, 'x')})});
    };
    for (int I = 0; I < Count; ++I)
      ClaimNext();
    const double Bytes = heldBytes() - Before;
    const double Nanos = nanosOf(200, ClaimNext);
    Points.push_back({static_cast<double>(Count), Nanos, Bytes});
  }
  return Points;
}

std::vector<point> configurationByServers() {
  std::vector<point> Points;
  for (const int Count : {250, 1000, 4000, 16'000}) {
    std::string Document = "[regions.r]\n[zones.a]\nregion = \"r\"\n";
    const int Services = std::max(1, Count / 24);
    for (int I = 0; I < Services; ++I)
      Document += fmt::format("[services.s{}]\n", I);
    for (int I = 0; I < Count; ++I)
      Document += fmt::format("[servers.b{}]\nservice = \"s{}\"\nzone = "
                              "\"a\"\naddress = \"10.0.0.1:9000\"\n",
                              I, I % Services);
    const double Before = heldBytes();
    const auto Kept = configuration::fromDocument(Document, "slope");
    const double Bytes = heldBytes() - Before;
    const double Nanos = nanosOf(
        1, [&] { (void)configuration::fromDocument(Document, "slope"); });
    Points.push_back({static_cast<double>(Count), Nanos, Bytes});
  }
  return Points;
}

} // namespace

int main(int Argc, char **Argv) {
  cxxopts::Options Options("agatedale-slopes",
                           "Measures how the core's costs grow.");
  Options.add_options()("quick", "accepted; the sweeps are short anyway")(
      "help", "print this help");
  try {
    const auto Parsed = Options.parse(Argc, Argv);
    if (Parsed.count("help")) {
      fmt::print("{}", Options.help());
      return 0;
    }
    fmt::print("| operation | points | sizes | nanoseconds | bytes held "
               "|\n|---|---|---|---|---|\n");
    print("request through a server group", "server", groupBySize());
    print("lease renewal at a voter", "subject", leasesBySubjects());
    print("key claimed and settled", "key", keysBySize());
    print("configuration read", "server", configurationByServers());
    return 0;
  } catch (const cxxopts::exceptions::exception &Failure) {
    fmt::print(stderr, "{}\n", Failure.what());
    return 2;
  }
}
