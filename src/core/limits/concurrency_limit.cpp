/// \file
/// Learns how many requests in flight give the most on-time answers.
#include "agatedale/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace agatedale {

namespace {

/// Length of a period whose service times are compared with each other. Load
/// and reported slowness change within some seconds.
constexpr duration PeriodLength = std::chrono::seconds(1);

/// Share of the evidence that remains after a period with samples: the last 20
/// busy seconds count. Idle time does not lower it.
constexpr double Retention = 0.95;

/// Standard errors by which a slowdown must exceed zero in order to count.
constexpr double Confidence = 2;

/// Gain, as the logarithm of on-time answers, from which on a lower limit is
/// taken. It is given up when the gain is no longer positive.
constexpr double MinGain = 0.05;

/// Worth of a late answer relative to one on time.
constexpr double LateWorth = 0.1;

/// Length of an exploration period, a few service times, and their number until
/// a server explores again. One in twenty limits the cost to a twentieth of
/// what the learned limit gains.
constexpr duration ExplorationLength = std::chrono::milliseconds(500);
constexpr std::size_t ExplorationInterval = 20;

/// Maximum number of routes that are compared in one period.
constexpr std::size_t MaxRoutes = 64;

/// Width of a bin of the logarithm of the time left over the service time.
constexpr double MarginWidth = 0.125;

/// Bounds of the logarithm of a service time in seconds.
constexpr double MinSeconds = 1e-5;

} // namespace

concurrency_limit::concurrency_limit(int Slots)
    : Slots(std::max(Slots, 1)), Learned(this->Slots), Own(this->Slots),
      Foreign(this->Slots), Margins(static_cast<std::size_t>(this->Slots)) {}

void concurrency_limit::recordMargin(const concurrency_sample &Sample) {
  // Only samples of a busy server show how much time requests have left when
  // the limit matters.
  if (!Sample.TimeLeft || Sample.InFlight < (Slots + 1) / 2)
    return;
  const double Ratio =
      std::max(std::chrono::duration<double>(*Sample.TimeLeft).count(),
               MinSeconds) /
      std::max(std::chrono::duration<double>(Sample.ServiceTime).count(),
               MinSeconds);
  const double Bin =
      std::log(Ratio) / MarginWidth + static_cast<double>(MarginBins) / 2;
  const auto Index = static_cast<std::size_t>(
      std::clamp(Bin, 0.0, static_cast<double>(MarginBins - 1)));
  Margins[static_cast<std::size_t>(Sample.InFlight - 1)][Index] += 1;
}

void concurrency_limit::record(const concurrency_sample &Sample,
                               time_point Now) {
  if (Slots < 2 || Slots > MaxLearnedSlots || Sample.InFlight < 1 ||
      Sample.InFlight > Slots || Sample.Slowness <= 0)
    return;
  if (Now - PeriodBegin >= PeriodLength)
    endPeriod(Now);
  auto Found = Cells.find(Sample.Route);
  if (Found == Cells.end()) {
    if (Cells.size() >= MaxRoutes)
      return;
    const auto Levels = static_cast<std::size_t>(Slots);
    Found = Cells
                .emplace(Sample.Route, cell{std::vector<double>(Levels, 0),
                                            std::vector<double>(Levels, 0), 0})
                .first;
  }
  cell &Cell = Found->second;
  const double Seconds =
      std::max(std::chrono::duration<double>(Sample.ServiceTime).count() /
                   Sample.Slowness,
               MinSeconds);
  const double Value = std::log(Seconds);
  const auto Level = static_cast<std::size_t>(Sample.InFlight - 1);
  Cell.Counts[Level] += 1;
  Cell.Sums[Level] += Value;
  Cell.Squares += Value * Value;
  recordMargin(Sample);
}

void concurrency_limit::endPeriod(time_point Now) {
  PeriodBegin = Now;
  if (Cells.empty())
    return;
  Own.scale(Retention);
  for (margin_histogram &Histogram : Margins) {
    for (double &Count : Histogram)
      Count *= Retention;
  }
  for (const auto &[Route, Cell] : Cells)
    Own.addCell(Cell.Counts, Cell.Sums, Cell.Squares);
  Cells.clear();
  learn();
}

void concurrency_limit::setForeign(const occupancy_evidence &Evidence) {
  if (Evidence.slots() != Slots)
    return;
  Foreign = Evidence;
  learn();
}

/// Returns the mean worth of an answer if all requests were sent as the last of
/// \p Level + 1 in flight.
double concurrency_limit::worthAt(std::size_t Level, double Scale,
                                  std::span<const double> Effects) const {
  double Total = 0;
  double OnTime = 0;
  for (std::size_t Seen = 0; Seen < Margins.size(); ++Seen) {
    const double Shift = Scale * (Effects[Seen] - Effects[Level]);
    for (std::size_t Bin = 0; Bin < MarginBins; ++Bin) {
      const double Margin = (static_cast<double>(Bin) + 0.5 -
                             static_cast<double>(MarginBins) / 2) *
                            MarginWidth;
      Total += Margins[Seen][Bin];
      OnTime += Margin + Shift >= 0 ? Margins[Seen][Bin] : 0;
    }
  }
  if (Total <= 0)
    return 1;
  return LateWorth + (1 - LateWorth) * OnTime / Total;
}

/// Returns the gain of a limit of \p Level + 1 over all slots, as the logarithm
/// of on-time answers of a full server.
double
concurrency_limit::gainOf(std::size_t Level,
                          const occupancy_evidence::estimate &Estimate) const {
  const std::size_t Top = Estimate.Effects.size() - 1;
  const double Slowdown = Estimate.Effects[Top] - Estimate.Effects[Level];
  const double Certain = Slowdown - Confidence * Estimate.errorOf(Top, Level);
  if (Certain <= 0)
    return -1;
  // Only the certain share of the slowdown counts.
  const double Scale = Certain / Slowdown;
  return std::log(static_cast<double>(Level + 1) / Slots) + Certain +
         std::log(worthAt(Level, Scale, Estimate.Effects) /
                  worthAt(Top, Scale, Estimate.Effects));
}

void concurrency_limit::learn() {
  if (Slots < 2 || Slots > MaxLearnedSlots)
    return;
  occupancy_evidence All = Own;
  All.add(Foreign);
  const occupancy_evidence::estimate Estimate = All.solve();
  int Best = Slots;
  double BestGain = 0;
  for (int Limit = (Slots + 1) / 2; Limit < Slots; ++Limit) {
    const double Gain = gainOf(static_cast<std::size_t>(Limit - 1), Estimate);
    const double Needed = Learned < Slots ? 0 : MinGain;
    if (Gain <= std::max(Needed, BestGain))
      continue;
    Best = Limit;
    BestGain = Gain;
  }
  Learned = Best;
  double Mean = 0;
  for (int Level = 1; Level <= Slots; ++Level)
    Mean += All.samplesAt(Level) *
            Estimate.Effects[static_cast<std::size_t>(Level - 1)];
  Mean /= std::max(All.samples(), 1.0);
  RelativeTimes.clear();
  for (const double Effect : Estimate.Effects)
    RelativeTimes.push_back(std::exp(Effect - Mean));
}

int concurrency_limit::allowed(std::size_t Index, std::size_t Servers,
                               time_point Now) const {
  if (Learned >= Slots)
    return Slots;
  const auto Period =
      static_cast<std::size_t>(Now.time_since_epoch() / ExplorationLength);
  const bool Explores =
      Period % std::max(Servers, ExplorationInterval) == Index;
  return Explores ? Slots : Learned;
}

std::optional<double> concurrency_limit::relativeTime(int InFlight) const {
  if (Learned >= Slots || RelativeTimes.empty())
    return std::nullopt;
  return RelativeTimes[static_cast<std::size_t>(std::clamp(InFlight, 1, Slots) -
                                                1)];
}

} // namespace agatedale
