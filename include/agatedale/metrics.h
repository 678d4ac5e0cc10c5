/// \file
/// Counters and histograms of a process.
#pragma once

#include "agatedale/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace agatedale {

/// A histogram of durations with buckets that grow by a factor of two to the
/// power of a quarter, from 10 microseconds to about 30 minutes.
///
///   latency_histogram Histogram;
///   Histogram.record(Elapsed);
///   duration P99 = Histogram.quantile(0.99);
class latency_histogram {
public:
  /// Adds one duration.
  void record(duration Length);

  /// Returns the upper end of the bucket that holds \p Fraction of the records.
  duration quantile(double Fraction) const;

  std::uint64_t count() const { return Count; }
  duration sum() const { return Sum; }

  /// Returns how many records are not longer than \p Length, to the bucket.
  std::uint64_t cumulativeCount(duration Length) const;

private:
  static constexpr std::size_t BucketCount = 112;

  static std::size_t bucketOf(duration Length);
  static duration upperBound(std::size_t Bucket);

  std::array<std::uint64_t, BucketCount> Buckets{};
  std::uint64_t Count = 0;
  duration Sum{};
};

/// The labels of a metric in the text format, such as account="web".
using metric_labels = std::string;

/// Returns labels for an account and a class, with quotes escaped.
metric_labels formatAccountLabels(std::string_view Account,
                                  std::string_view Class);

/// Returns one label, with quotes escaped.
metric_labels formatLabel(std::string_view Name, std::string_view Value);

/// All counters and histograms of a process, in shards by name, each under its
/// own lock. The number of label sets of each name is bounded.
///
///   metrics Metrics;
///   Metrics.increment("agatedale_refusals_total", formatLabel("reason",
///   "queue-full")); std::string Text = Metrics.exportText();
class metrics {
public:
  void increment(std::string_view Name, const metric_labels &Labels = {},
                 std::uint64_t Delta = 1);
  void setGauge(std::string_view Name, const metric_labels &Labels,
                double Value);
  void record(std::string_view Name, const metric_labels &Labels,
              duration Length);

  /// Returns the value of a counter; zero when it was never counted.
  std::uint64_t counterValue(std::string_view Name,
                             const metric_labels &Labels = {}) const;

  /// Returns everything in the text format that monitoring systems scrape.
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
