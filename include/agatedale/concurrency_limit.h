/// \file
/// The learned concurrency limit of the servers of one service.
#pragma once

#include "agatedale/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace agatedale {

/// How service times depend on the requests in flight at the server. Times are
/// compared only within a cell, the requests of one route in one period:
/// reported slowness and faults rise with the load, and a comparison across
/// periods would attribute them to the requests in flight. The sums over cells
/// are those of a linear regression with one intercept per cell, so that the
/// evidence of several owners can be added.
class occupancy_evidence {
public:
  explicit occupancy_evidence(int Slots);

  /// The estimate from the evidence: the logarithm of the service time by
  /// requests in flight, relative to one request.
  struct estimate {
    std::vector<double> Effects;
    std::vector<std::vector<double>> Covariance;

    /// Returns the standard error of the difference of two effects.
    double errorOf(std::size_t Left, std::size_t Right) const;
  };

  /// Adds a cell: by requests in flight the number of samples and the sum of
  /// the logarithms, and the sum of all squares.
  void addCell(std::span<const double> Counts, std::span<const double> Sums,
               double Squares);

  void add(const occupancy_evidence &Other, double Weight = 1);

  /// Reduces the weight of what is recorded so far.
  void scale(double Factor);

  int slots() const { return Slots; }
  double samples() const;

  /// Returns the number of samples with \p InFlight requests in flight.
  double samplesAt(int InFlight) const {
    return Counts[static_cast<std::size_t>(InFlight - 1)];
  }

  estimate solve() const;

  /// Converts to and from the numbers that VMs exchange. Numbers that cannot be
  /// evidence of a service with \p Slots are refused.
  std::vector<float> pack() const;
  static std::optional<occupancy_evidence>
  unpack(int Slots, std::span<const float> Numbers);

private:
  std::size_t levels() const { return Counts.size(); }
  double &pair(std::size_t Left, std::size_t Right);
  double pair(std::size_t Left, std::size_t Right) const;

  int Slots;
  std::vector<double> Counts;      ///< Samples by requests in flight.
  std::vector<double> PairWeights; ///< Comparisons of two levels.
  std::vector<double> Deviations;  ///< From the mean of the cell, summed.
  double Squares = 0;              ///< Of the deviations.
  double Freedom = 0;              ///< Samples less the number of cells.
};

/// One answered attempt as evidence.
struct concurrency_sample {
  std::string_view Route;
  int InFlight = 1; ///< At the server when it was sent, with the attempt.
  duration ServiceTime{};
  double Slowness = 1; ///< Reported by the server when it was sent.
  /// Time between the sending and the aim; nothing if it had no aim.
  std::optional<duration> TimeLeft;
};

/// Learns how many requests in flight per server give the most on-time answers.
/// Some servers slow down when they are nearly full: the last slots then lower
/// the throughput, or delay answers beyond their aim. The top slots stay unused
/// only if the evidence shows that the added time costs more on-time answers
/// than the slots give. Without evidence, and for servers that do not slow
/// down, all slots are used. While the limit is below the slots, each server
/// uses all of them in one exploration period out of twenty, so that the
/// evidence stays current.
///
///   concurrency_limit Limit = concurrency_limit::create(4);
///   Limit.record({Route, InFlight, ServiceTime, Slowness, TimeLeft}, Now);
///   if (InFlight < Limit.allowed(ServerIndex, ServerCount, Now)) send();
class concurrency_limit {
public:
  /// Services with more slots than this always use all of them. It bounds the
  /// message that owners exchange; one server of 16 slots gives 136 numbers.
  static constexpr int MaxLearnedSlots = 16;

  static concurrency_limit create(int Slots) {
    return concurrency_limit(Slots);
  }

  void record(const concurrency_sample &Sample, time_point Now);

  /// Replaces what other owners have learned.
  void setForeign(const occupancy_evidence &Evidence);

  /// Returns the learned number of requests in flight per server.
  int limit() const { return Learned; }

  /// Returns how many requests the server with \p Index, out of \p Servers, may
  /// have in flight; all slots while it explores.
  int allowed(std::size_t Index, std::size_t Servers, time_point Now) const;

  /// Returns the service time of a request that is sent as the \p InFlight-th
  /// in flight at its server, relative to the service's mean, or nothing unless
  /// a slowdown was learned.
  std::optional<double> relativeTime(int InFlight) const;

  int slots() const { return Slots; }

  /// Returns what this VM's own attempts have shown.
  const occupancy_evidence &evidence() const { return Own; }

private:
  /// Bins of the logarithm of the time left over the service time.
  static constexpr std::size_t MarginBins = 24;

  struct cell {
    std::vector<double> Counts;
    std::vector<double> Sums;
    double Squares = 0;
  };

  using margin_histogram = std::array<double, MarginBins>;

  explicit concurrency_limit(int Slots);

  void endPeriod(time_point Now);
  void learn();
  double gainOf(std::size_t Level,
                const occupancy_evidence::estimate &Estimate) const;
  double worthAt(std::size_t Level, double Scale,
                 std::span<const double> Effects) const;
  void recordMargin(const concurrency_sample &Sample);

  int Slots;
  int Learned;
  occupancy_evidence Own;
  occupancy_evidence Foreign;
  std::map<std::string, cell, std::less<>> Cells; ///< By route; of the period.
  time_point PeriodBegin{};
  std::vector<margin_histogram> Margins; ///< By requests in flight.
  std::vector<double> RelativeTimes;
};

} // namespace agatedale
