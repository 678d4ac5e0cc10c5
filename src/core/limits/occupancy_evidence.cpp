/// \file
/// Regression of service times on the requests in flight.
#include "agatedale/concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace agatedale {

namespace {

/// Weight of the assumption that neighbouring levels take equally long, in
/// comparisons. It also determines levels without a sample.
constexpr double FlatPriorWeight = 2;

/// Variance of the logarithm of a service time that is assumed before there is
/// evidence, and its weight in samples.
constexpr double PriorVariance = 0.25;
constexpr double PriorVarianceWeight = 10;

/// Upper bound of a number received from another VM.
constexpr float MaxNumber = 1e7F;

using matrix = std::vector<std::vector<double>>;

/// Inverts a symmetric positive definite matrix by Gauss-Jordan elimination.
/// Its leading minors are positive, so that no pivoting is needed.
matrix invert(matrix Left) {
  const std::size_t Size = Left.size();
  matrix Right(Size, std::vector<double>(Size, 0));
  for (std::size_t I = 0; I < Size; ++I)
    Right[I][I] = 1;
  for (std::size_t Pivot = 0; Pivot < Size; ++Pivot) {
    const double Scale = 1 / Left[Pivot][Pivot];
    for (std::size_t Column = 0; Column < Size; ++Column) {
      Left[Pivot][Column] *= Scale;
      Right[Pivot][Column] *= Scale;
    }
    for (std::size_t Row = 0; Row < Size; ++Row) {
      const double Factor = Row == Pivot ? 0 : Left[Row][Pivot];
      for (std::size_t Column = 0; Column < Size && Factor != 0; ++Column) {
        Left[Row][Column] -= Factor * Left[Pivot][Column];
        Right[Row][Column] -= Factor * Right[Pivot][Column];
      }
    }
  }
  return Right;
}

} // namespace

occupancy_evidence::occupancy_evidence(int Slots)
    : Slots(Slots), Counts(static_cast<std::size_t>(Slots), 0),
      PairWeights(Counts.size() * (Counts.size() - 1) / 2, 0),
      Deviations(Counts.size(), 0) {}

double occupancy_evidence::estimate::errorOf(std::size_t Left,
                                             std::size_t Right) const {
  return std::sqrt(std::max(Covariance[Left][Left] + Covariance[Right][Right] -
                                2 * Covariance[Left][Right],
                            0.0));
}

double &occupancy_evidence::pair(std::size_t Left, std::size_t Right) {
  const auto [Low, High] = std::minmax(Left, Right);
  return PairWeights[High * (High - 1) / 2 + Low];
}

double occupancy_evidence::pair(std::size_t Left, std::size_t Right) const {
  const auto [Low, High] = std::minmax(Left, Right);
  return PairWeights[High * (High - 1) / 2 + Low];
}

double occupancy_evidence::samples() const {
  return std::accumulate(Counts.begin(), Counts.end(), 0.0);
}

void occupancy_evidence::addCell(std::span<const double> CellCounts,
                                 std::span<const double> Sums,
                                 double CellSquares) {
  const double Total =
      std::accumulate(CellCounts.begin(), CellCounts.end(), 0.0);
  if (Total < 2)
    return;
  const double Mean = std::accumulate(Sums.begin(), Sums.end(), 0.0) / Total;
  for (std::size_t Level = 0; Level < levels(); ++Level) {
    Counts[Level] += CellCounts[Level];
    Deviations[Level] += Sums[Level] - CellCounts[Level] * Mean;
    for (std::size_t Lower = 0; Lower < Level; ++Lower)
      pair(Lower, Level) += CellCounts[Lower] * CellCounts[Level] / Total;
  }
  Squares += std::max(CellSquares - Total * Mean * Mean, 0.0);
  Freedom += Total - 1;
}

void occupancy_evidence::add(const occupancy_evidence &Other, double Weight) {
  const auto AddTo = [Weight](std::vector<double> &Into,
                              const std::vector<double> &From) {
    for (std::size_t I = 0; I < Into.size(); ++I)
      Into[I] += Weight * From[I];
  };
  AddTo(Counts, Other.Counts);
  AddTo(PairWeights, Other.PairWeights);
  AddTo(Deviations, Other.Deviations);
  Squares += Weight * Other.Squares;
  Freedom += Weight * Other.Freedom;
}

void occupancy_evidence::scale(double Factor) { add(*this, Factor - 1); }

occupancy_evidence::estimate occupancy_evidence::solve() const {
  // The effect of one request in flight is zero, so that its row is left out.
  const std::size_t Size = levels() - 1;
  matrix Normal(Size, std::vector<double>(Size, 0));
  for (std::size_t High = 1; High < levels(); ++High) {
    for (std::size_t Low = 0; Low < High; ++Low) {
      const double Weight =
          pair(Low, High) + (High == Low + 1 ? FlatPriorWeight : 0);
      Normal[High - 1][High - 1] += Weight;
      if (Low == 0)
        continue;
      Normal[Low - 1][Low - 1] += Weight;
      Normal[High - 1][Low - 1] -= Weight;
      Normal[Low - 1][High - 1] -= Weight;
    }
  }
  const matrix Inverse = invert(std::move(Normal));
  estimate Result{std::vector<double>(levels(), 0),
                  std::vector<std::vector<double>>(
                      levels(), std::vector<double>(levels(), 0))};
  double Explained = 0;
  for (std::size_t Row = 0; Row < Size; ++Row) {
    for (std::size_t Column = 0; Column < Size; ++Column)
      Result.Effects[Row + 1] += Inverse[Row][Column] * Deviations[Column + 1];
    Explained += Result.Effects[Row + 1] * Deviations[Row + 1];
  }
  const double Variance = (std::max(Squares - Explained, 0.0) +
                           PriorVariance * PriorVarianceWeight) /
                          (Freedom + PriorVarianceWeight);
  for (std::size_t Row = 0; Row < Size; ++Row) {
    for (std::size_t Column = 0; Column < Size; ++Column)
      Result.Covariance[Row + 1][Column + 1] = Variance * Inverse[Row][Column];
  }
  return Result;
}

std::vector<float> occupancy_evidence::pack() const {
  std::vector<float> Numbers;
  for (const std::vector<double> *Part : {&Counts, &PairWeights, &Deviations})
    Numbers.insert(Numbers.end(), Part->begin(), Part->end());
  Numbers.push_back(static_cast<float>(Squares));
  Numbers.push_back(static_cast<float>(Freedom));
  return Numbers;
}

std::optional<occupancy_evidence>
occupancy_evidence::unpack(int Slots, std::span<const float> Numbers) {
  if (Slots < 2 || Slots > concurrency_limit::MaxLearnedSlots)
    return std::nullopt;
  occupancy_evidence Evidence(Slots);
  const std::size_t Levels = Evidence.levels();
  const std::size_t Pairs = Evidence.PairWeights.size();
  if (Numbers.size() != 2 * Levels + Pairs + 2)
    return std::nullopt;
  for (std::size_t I = 0; I < Numbers.size(); ++I) {
    const bool IsDeviation = I >= Levels + Pairs && I < 2 * Levels + Pairs;
    if (!std::isfinite(Numbers[I]) || std::abs(Numbers[I]) > MaxNumber ||
        (Numbers[I] < 0 && !IsDeviation))
      return std::nullopt;
  }
  auto Next = Numbers.begin();
  for (std::vector<double> *Part :
       {&Evidence.Counts, &Evidence.PairWeights, &Evidence.Deviations}) {
    std::copy_n(Next, Part->size(), Part->begin());
    Next += static_cast<std::ptrdiff_t>(Part->size());
  }
  Evidence.Squares = *Next++;
  Evidence.Freedom = *Next;
  return Evidence;
}

} // namespace agatedale
