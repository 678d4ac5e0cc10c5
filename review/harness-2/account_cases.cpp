/// \file
/// The operators take keys away: with the last client account, or in a version
/// whose new account is bound to a region without machines.
#include "cases.h"
#include "exchange.h"

#include <fmt/format.h>

#include <string>
#include <thread>
#include <vector>

namespace agatedale::review {

namespace {

constexpr int StatusOk = 200;
constexpr int DeadlineMs = 1500;
constexpr milliseconds ExchangeLimit{3000};

/// Time after the acknowledgement of a version: revoke_ms, which is longer than
/// config_apply_ms, and one second.
constexpr milliseconds RevokeTime{5000};
constexpr milliseconds Margin{1000};

constexpr const char *BothAccounts =
    R"({"alba":{"api_keys":["key-of-alba"],"priority":1,"allowed_regions":[]},)"
    R"("bela":{"api_keys":["key-of-bela"],"priority":1,"allowed_regions":[]}})";
constexpr const char *FirstAccount =
    R"({"alba":{"api_keys":["key-of-alba"],"priority":1,"allowed_regions":[]}})";
constexpr const char *NoAccount = "{}";

/// The second account, and a new one that is bound to a region.
std::string accountsWithNewcomer(const std::string &Region) {
  return R"({"bela":{"api_keys":["key-of-bela"],"priority":1,)"
         R"("allowed_regions":[]},"cleo":{"api_keys":["key-of-cleo"],)"
         R"("priority":1,"allowed_regions":[")" +
         Region + R"("]}})";
}

/// Sends one order with \p Fields to each gateway and returns how many were
/// answered by a server.
int countServed(const small_fleet &Fleet, const std::string &What,
                const std::string &Fields, record &Record) {
  int Served = 0;
  for (std::size_t Vm = 0; Vm < Fleet.size(); ++Vm) {
    const std::string Id = fmt::format("{}-{}", What, Vm + 1);
    const auto Answers =
        exchange(Fleet.callers(Vm),
                 requestHead("POST", "/orders/x", Id, DeadlineMs, Fields), 1,
                 ExchangeLimit);
    const int Status = Answers.empty() ? 0 : Answers.front().Status;
    Record.line(
        fmt::format("sent {} to front-{}, answered {}", Id, Vm + 1, Status));
    Served += Status == StatusOk ? 1 : 0;
  }
  return Served;
}

void put(small_fleet &Fleet, int Version, const std::string &Accounts,
         record &Record) {
  Fleet.putConfiguration(configurationText(Version, Accounts));
  Record.line(fmt::format("r{} acknowledged, accounts {}", Version, Accounts));
  std::this_thread::sleep_for(RevokeTime + Margin);
}

fleet_terms accountTerms() {
  return {.Zones = {"north-a", "north-b", "south-a"},
          .ExtraSettings = fmt::format(
              "key_revocation_ms = {}\nquota_slack = 20\n", RevokeTime.count()),
          .Configuration = configurationText(1, BothAccounts)};
}

} // namespace

int runLastAccount(const case_settings &Settings, record &Record) {
  const std::string Alba = "X-Api-Key: key-of-alba\r\n";
  const std::string Bela = "X-Api-Key: key-of-bela\r\n";
  const std::string Never = "X-Api-Key: never-held\r\n";
  small_fleet Fleet(Settings, accountTerms(), Record);
  if (!Fleet.waitUntilReady())
    return CannotRun;
  std::this_thread::sleep_for(Margin);
  const auto All = static_cast<int>(Fleet.size());
  if (countServed(Fleet, "r1-alba", Alba, Record) != All ||
      countServed(Fleet, "r1-bela", Bela, Record) != All)
    return CannotRun;
  int Broken = countServed(Fleet, "r1-never", Never, Record);
  put(Fleet, 2, FirstAccount, Record);
  Broken += countServed(Fleet, "r2-bela", Bela, Record);
  Broken += countServed(Fleet, "r2-never", Never, Record);
  if (!Settings.HasTrouble) {
    if (countServed(Fleet, "r2-alba", Alba, Record) != All)
      return CannotRun;
    return Broken > 0 ? RuleBroken : RuleHeld;
  }
  put(Fleet, 3, NoAccount, Record);
  // Both keys have been taken away; the third was never held.
  Broken += countServed(Fleet, "r3-alba", Alba, Record);
  Broken += countServed(Fleet, "r3-bela", Bela, Record);
  Broken += countServed(Fleet, "r3-never", Never, Record);
  Record.line(fmt::format("{} requests ran that must not", Broken));
  return Broken > 0 ? RuleBroken : RuleHeld;
}

int runUnknownRegion(const case_settings &Settings, record &Record) {
  const std::string Alba = "X-Api-Key: key-of-alba\r\n";
  const std::string Bela = "X-Api-Key: key-of-bela\r\n";
  small_fleet Fleet(Settings, accountTerms(), Record);
  if (!Fleet.waitUntilReady())
    return CannotRun;
  std::this_thread::sleep_for(Margin);
  const auto All = static_cast<int>(Fleet.size());
  if (countServed(Fleet, "r1-alba", Alba, Record) != All ||
      countServed(Fleet, "r1-bela", Bela, Record) != All)
    return CannotRun;
  put(Fleet, 2, accountsWithNewcomer(Settings.HasTrouble ? "south" : "r"),
      Record);
  // A system that does not put r2 in force may refuse all keys.
  const int Kept = countServed(Fleet, "r2-bela", Bela, Record);
  if (!Settings.HasTrouble && Kept != All)
    return CannotRun;
  // Its key has been taken away.
  const int Broken = countServed(Fleet, "r2-alba", Alba, Record);
  Record.line(fmt::format("{} requests ran that must not", Broken));
  return Broken > 0 ? RuleBroken : RuleHeld;
}

} // namespace agatedale::review
