/// \file
/// Histogram buckets and the text export.
#include "agatedale/metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <vector>

namespace agatedale {

namespace {

constexpr double FirstBucketUs = 10;
constexpr double BucketsPerDoubling = 4;

/// Upper ends of the exported buckets, in milliseconds.
constexpr std::array ExportedBoundsMs{0.1, 0.33, 1.0,   2.5,   5.0,    10.0,
                                      25., 50.,  100.0, 250.0, 1000.0, 10000.0};

std::string escaped(std::string_view Value) {
  std::string Text;
  for (const char C : Value) {
    if (C == '"' || C == '\\')
      Text.push_back('\\');
    Text.push_back(C == '\n' ? ' ' : C);
  }
  return Text;
}

std::string formatLabelSet(const metric_labels &Labels,
                           std::string_view More = {}) {
  if (Labels.empty() && More.empty())
    return {};
  const std::string_view Comma = Labels.empty() || More.empty() ? "" : ",";
  return fmt::format("{{{}{}{}}}", Labels, Comma, More);
}

} // namespace

std::size_t latency_histogram::bucketOf(duration Length) {
  const double Micros =
      std::max<double>(static_cast<double>(toMicros(Length)), 1);
  const double Doublings = std::log2(Micros / FirstBucketUs);
  const double Bucket = std::ceil(Doublings * BucketsPerDoubling);
  return static_cast<std::size_t>(
      std::clamp(Bucket, 0.0, static_cast<double>(BucketCount - 1)));
}

duration latency_histogram::upperBound(std::size_t Bucket) {
  const double Micros = FirstBucketUs * std::exp2(static_cast<double>(Bucket) /
                                                  BucketsPerDoubling);
  return std::chrono::microseconds(static_cast<std::int64_t>(Micros));
}

void latency_histogram::record(duration Length) {
  ++Buckets.at(bucketOf(Length));
  ++Count;
  Sum += Length;
}

duration latency_histogram::quantile(double Fraction) const {
  const double TargetRank = Fraction * static_cast<double>(Count);
  std::uint64_t Cumulative = 0;
  for (std::size_t I = 0; I < BucketCount; ++I) {
    Cumulative += Buckets.at(I);
    if (Cumulative > 0 && static_cast<double>(Cumulative) >= TargetRank)
      return upperBound(I);
  }
  return duration::zero();
}

std::uint64_t latency_histogram::cumulativeCount(duration Length) const {
  std::uint64_t Cumulative = 0;
  const std::size_t Last = bucketOf(Length);
  for (std::size_t I = 0; I <= Last; ++I)
    Cumulative += Buckets.at(I);
  return Cumulative;
}

metric_labels formatLabel(std::string_view Name, std::string_view Value) {
  return fmt::format("{}=\"{}\"", Name, escaped(Value));
}

metric_labels formatAccountLabels(std::string_view Account,
                                  std::string_view Class) {
  return formatLabel("account", Account) + "," + formatLabel("class", Class);
}

metrics::shard &metrics::shardOf(std::string_view Name,
                                 const metric_labels &Labels) {
  const std::size_t Hash = std::hash<std::string_view>{}(Name) ^
                           std::hash<std::string_view>{}(Labels);
  return Shards.at(Hash % ShardCount);
}

const metrics::shard &metrics::shardOf(std::string_view Name,
                                       const metric_labels &Labels) const {
  return const_cast<metrics *>(this)->shardOf(Name, Labels);
}

void metrics::increment(std::string_view Name, const metric_labels &Labels,
                        std::uint64_t Delta) {
  shard &Shard = shardOf(Name, Labels);
  const std::lock_guard Guard(Shard.Lock);
  if (Shard.Counters.size() < MaxLabelSets)
    Shard.Counters[{std::string(Name), Labels}] += Delta;
}

void metrics::setGauge(std::string_view Name, const metric_labels &Labels,
                       double Value) {
  shard &Shard = shardOf(Name, Labels);
  const std::lock_guard Guard(Shard.Lock);
  if (Shard.Gauges.size() < MaxLabelSets)
    Shard.Gauges[{std::string(Name), Labels}] = Value;
}

void metrics::record(std::string_view Name, const metric_labels &Labels,
                     duration Length) {
  shard &Shard = shardOf(Name, Labels);
  const std::lock_guard Guard(Shard.Lock);
  if (Shard.Histograms.size() < MaxLabelSets)
    Shard.Histograms[{std::string(Name), Labels}].record(Length);
}

std::uint64_t metrics::counterValue(std::string_view Name,
                                    const metric_labels &Labels) const {
  const shard &Shard = shardOf(Name, Labels);
  const std::lock_guard Guard(Shard.Lock);
  const auto Found = Shard.Counters.find({std::string(Name), Labels});
  return Found == Shard.Counters.end() ? 0 : Found->second;
}

std::string metrics::exportText() const {
  std::vector<std::string> Lines;
  for (const shard &Shard : Shards) {
    const std::lock_guard Guard(Shard.Lock);
    for (const auto &[Series, Value] : Shard.Counters)
      Lines.push_back(fmt::format("{}{} {}", Series.first,
                                  formatLabelSet(Series.second), Value));
    for (const auto &[Series, Value] : Shard.Gauges)
      Lines.push_back(fmt::format("{}{} {}", Series.first,
                                  formatLabelSet(Series.second), Value));
    for (const auto &[Series, Histogram] : Shard.Histograms) {
      for (const double Millis : ExportedBoundsMs) {
        const duration Upper =
            std::chrono::microseconds(static_cast<std::int64_t>(Millis * 1000));
        Lines.push_back(
            fmt::format("{}_bucket{} {}", Series.first,
                        formatLabelSet(Series.second,
                                       fmt::format("le=\"{}\"", Millis / 1000)),
                        Histogram.cumulativeCount(Upper)));
      }
      Lines.push_back(fmt::format("{}_bucket{} {}", Series.first,
                                  formatLabelSet(Series.second, "le=\"+Inf\""),
                                  Histogram.count()));
      Lines.push_back(fmt::format(
          "{}_sum{} {}", Series.first, formatLabelSet(Series.second),
          static_cast<double>(toMicros(Histogram.sum())) / 1e6));
      Lines.push_back(fmt::format("{}_count{} {}", Series.first,
                                  formatLabelSet(Series.second),
                                  Histogram.count()));
    }
  }
  std::stable_sort(Lines.begin(), Lines.end(),
                   [](const std::string &Left, const std::string &Right) {
                     return Left.substr(0, Left.find('{')) <
                            Right.substr(0, Right.find('{'));
                   });
  return fmt::format("{}\n", fmt::join(Lines, "\n"));
}

} // namespace agatedale
