/// \file
/// Counters, gauges and histograms of a process.
#pragma once

#include "agatedale/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace agatedale {

/// A histogram of durations. Bucket bounds grow by a factor of 2^(1/4) from 10
/// microseconds to about 30 minutes.
///
///   latency_histogram Histogram;
///   Histogram.record(Elapsed);
///   duration P99 = Histogram.quantile(0.99);
class latency_histogram {
public:
  /// Adds a sample.
  void record(duration Length);

  /// Returns the upper bound of the bucket that contains the quantile
  /// \p Fraction, or zero if there are no samples.
  duration quantile(double Fraction) const;

  std::uint64_t count() const { return Count; }
  duration sum() const { return Sum; }

  /// Returns the number of samples in the buckets up to the one of \p Length.
  std::uint64_t cumulativeCount(duration Length) const;

private:
  static constexpr std::size_t BucketCount = 112;

  static std::size_t bucketOf(duration Length);
  static duration upperBound(std::size_t Bucket);

  std::array<std::uint64_t, BucketCount> Buckets{};
  std::uint64_t Count = 0;
  duration Sum{};
};

/// Labels of a metric in the exposition format, such as account="web".
using metric_labels = std::string;

/// Formats the labels "account" and "class" with escaped values.
metric_labels formatAccountLabels(std::string_view Account,
                                  std::string_view Class);

/// Formats one label with an escaped value.
metric_labels formatLabel(std::string_view Name, std::string_view Value);

/// All metrics of a process, sharded by the hash of name and labels to reduce
/// lock contention. Each shard holds a bounded number of label sets per metric
/// type.
///
///   metrics Metrics;
///   const metric_labels Labels = formatLabel("reason", "queue-full");
///   Metrics.increment("agatedale_refusals_total", Labels);
///   std::string Text = Metrics.exportText();
class metrics {
public:
  void increment(std::string_view Name, const metric_labels &Labels = {},
                 std::uint64_t Delta = 1);
  void setGauge(std::string_view Name, const metric_labels &Labels,
                double Value);
  void record(std::string_view Name, const metric_labels &Labels,
              duration Length);

  /// Returns the value of a counter, or zero if it does not exist.
  std::uint64_t counterValue(std::string_view Name,
                             const metric_labels &Labels = {}) const;

  /// Returns all metrics in the Prometheus text exposition format.
  std::string exportText() const;

private:
  static constexpr std::size_t ShardCount = 16;
  static constexpr std::size_t MaxLabelSets = 1024;

  using series = std::pair<std::string, metric_labels>;

  struct shard {
    mutable std::mutex Lock;
    std::map<series, std::uint64_t> Counters;
    std::map<series, double> Gauges;
    std::map<series, latency_histogram> Histograms;
  };

  shard &shardOf(std::string_view Name, const metric_labels &Labels);
  const shard &shardOf(std::string_view Name,
                       const metric_labels &Labels) const;

  std::array<shard, ShardCount> Shards;
};

} // namespace agatedale
