/// \file
/// Selection between server groups by reported load.
#include "agatedale/group_selector.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace agatedale {

namespace {

/// Cost penalty that ranks skipped groups last.
constexpr duration SkippedCost = std::chrono::hours(1);

/// Share of occupied slots from which on requests begin to be spread. Below it
/// the reports of a few hundred milliseconds ago are good enough.
constexpr double SpreadFrom = 0.7;

struct ranked_candidate {
  const group_candidate *Candidate;
  duration Cost;
  double Scarcity;
};

/// Returns the group at the fraction \p Draw of the slots, where the slots of a
/// group count less the more it costs beyond the cheapest one.
group_id drawByCost(std::span<const ranked_candidate> Ranked, duration Cheapest,
                    double Spread, double Draw) {
  std::vector<double> Weights;
  Weights.reserve(Ranked.size());
  for (const ranked_candidate &Each : Ranked)
    Weights.push_back(
        Each.Candidate->Slots *
        std::exp(-static_cast<double>((Each.Cost - Cheapest).count()) /
                 Spread));
  double Remaining =
      Draw * std::accumulate(Weights.begin(), Weights.end(), 0.0);
  for (std::size_t I = 0; I < Ranked.size(); ++I) {
    Remaining -= Weights[I];
    if (Remaining < 0)
      return Ranked[I].Candidate->Group;
  }
  return Ranked.back().Candidate->Group;
}

/// Returns the group of \p Candidates at the fraction \p Draw of their slots.
std::optional<group_id>
drawBySlots(std::span<const group_candidate *const> Candidates, double Draw) {
  int Total = 0;
  for (const group_candidate *Candidate : Candidates)
    Total += Candidate->Slots;
  double Remaining = Draw * Total;
  for (const group_candidate *Candidate : Candidates) {
    Remaining -= Candidate->Slots;
    if (Remaining < 0)
      return Candidate->Group;
  }
  if (Candidates.empty())
    return std::nullopt;
  return Candidates.back()->Group;
}

} // namespace

void group_selector::onLoad(const group_id &Group, const group_load &Load,
                            time_point Now) {
  group_state &State = States[Group];
  State.Load = Load;
  State.LastReportAt = Now;
  State.SentSince = 0;
  State.SkippedUntil = time_point{};
}

void group_selector::onSent(const group_id &Group) {
  ++States[Group].SentSince;
  ++States[Group].Outstanding;
}

void group_selector::onAnswered(const group_id &Group) {
  group_state &State = States[Group];
  State.Outstanding = std::max(0, State.Outstanding - 1);
}

void group_selector::onNoAnswer(const group_id &Group, time_point Now,
                                bool Lost) {
  States[Group].SkippedUntil =
      Now + (Lost ? Settings.UnresponsivePause : Settings.OwnerChangePause);
}

duration group_selector::expectedWait(const group_state &State,
                                      time_point Now) const {
  const bool Fresh = Now - State.LastReportAt < Settings.LoadReportLifetime;
  if (!Fresh)
    return State.Outstanding * Settings.CrossZoneLatency;
  const int Load = State.Load.Queued + State.Load.InFlight + State.SentSince;
  const int Limit = std::max(State.Load.Limit, 1);
  const int Waiting = std::max(0, Load - Limit + 1);
  const duration None =
      State.Load.Limit == 0 ? 10 * Settings.CrossZoneLatency : duration::zero();
  return None + State.Load.TypicalServiceTime * Waiting / Limit;
}

/// Returns how scarce the slots of a group are: 0 if there are enough, 1 if all
/// are occupied.
double group_selector::scarcity(const group_state &State,
                                time_point Now) const {
  if (Now - State.LastReportAt >= Settings.LoadReportLifetime)
    return 0;
  const int Load = State.Load.Queued + State.Load.InFlight + State.SentSince;
  const double Occupied =
      static_cast<double>(Load) / std::max(State.Load.Limit, 1);
  return std::clamp((Occupied - SpreadFrom) / (1 - SpreadFrom), 0.0, 1.0);
}

std::optional<group_id> group_selector::choose(std::span<const group_id> Groups,
                                               std::string_view OwnZone,
                                               time_point Now,
                                               const group_id *Except) const {
  std::vector<group_candidate> Candidates;
  Candidates.reserve(Groups.size());
  for (const group_id &Group : Groups) {
    const bool IsOther = Group.Zone != OwnZone;
    Candidates.push_back(
        {Group, IsOther ? Settings.CrossZoneLatency : duration::zero()});
  }
  return choose(Candidates, Now, Except);
}

std::optional<group_id>
group_selector::choose(std::span<const group_candidate> Candidates,
                       time_point Now, const group_id *Except,
                       double Draw) const {
  std::vector<ranked_candidate> Ranked;
  Ranked.reserve(Candidates.size());
  static const group_state NoReport;
  for (const group_candidate &Candidate : Candidates) {
    const auto Found = States.find(Candidate.Group);
    const group_state &State = Found == States.end() ? NoReport : Found->second;
    const bool IsSkipped =
        Now < State.SkippedUntil || (Except && Candidate.Group == *Except);
    Ranked.push_back({&Candidate,
                      expectedWait(State, Now) + Candidate.NetworkLatency +
                          (IsSkipped ? SkippedCost : duration::zero()),
                      scarcity(State, Now)});
  }
  if (Ranked.empty())
    return std::nullopt;
  duration Cheapest = duration::max();
  for (const ranked_candidate &Each : Ranked)
    Cheapest = std::min(Cheapest, Each.Cost);
  std::vector<const group_candidate *> Best;
  double Scarcity = 1;
  for (const ranked_candidate &Each : Ranked) {
    if (Each.Cost > Cheapest)
      continue;
    Best.push_back(Each.Candidate);
    Scarcity = std::min(Scarcity, Each.Scarcity);
  }
  const double Spread = Scarcity * static_cast<double>(Settings.Spread.count());
  if (Spread >= 1)
    return drawByCost(Ranked, Cheapest, Spread, Draw);
  return drawBySlots(Best, Draw);
}

} // namespace agatedale
