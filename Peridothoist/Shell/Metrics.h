/// Counters, gauges, summaries and histograms, rendered in the Prometheus text
/// format. Summaries use the P-square quantiles of Boost.Accumulators, which
/// store a few numbers each and no samples. Not thread-safe.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>

namespace peridothoist {

/// Labels of one time series: values by name.
using MetricLabels = std::map<std::string, std::string>;

/// A value that only increases.
class Counter
{
public:
  void Add(double aAmount = 1) { mValue += aAmount; }
  double Value() const { return mValue; }

private:
  double mValue = 0;
};

/// A value that may increase and decrease.
class Gauge
{
public:
  void Set(double aValue) { mValue = aValue; }
  void Add(double aAmount) { mValue += aAmount; }
  double Value() const { return mValue; }

private:
  double mValue = 0;
};

/// Count, sum, mean, maximum and estimated quantiles of all observations since
/// the start.
class Summary
{
public:
  /// The estimated quantiles.
  static constexpr std::array<double, 3> kQuantiles = { 0.5, 0.95, 0.99 };

  Summary();

  void Observe(double aValue);
  void Observe(Duration aValue) { Observe(ToSeconds(aValue)); }

  std::size_t Count() const;
  double Sum() const;
  double Mean() const; ///< 0 without observations.
  double Max() const;  ///< 0 without observations.
  /// Returns the estimate for kQuantiles[aIndex], or 0 without observations.
  double Quantile(std::size_t aIndex) const;

private:
  using Moments = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::sum,
                               boost::accumulators::tag::mean,
                               boost::accumulators::tag::max>>;
  using QuantileEstimate = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

  static double ToSeconds(Duration aValue)
  {
    return std::chrono::duration<double>(aValue).count();
  }

  Moments mMoments;
  std::vector<QuantileEstimate> mQuantiles;
};

/// Counts of observed latencies by bucket. Unlike summaries, histograms of
/// several processes can be added.
class Histogram
{
public:
  /// Upper bounds of the buckets, in seconds. They cover the latency objectives
  /// from lookups (0.1 s) to whole streams (14 s).
  static constexpr std::array<double, 14> kBounds = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.9, 1.5, 3, 5, 10, 15
  };

  void Observe(Duration aValue);

  /// Returns the number of observations up to and including kBounds[aIndex].
  std::uint64_t CountUpTo(std::size_t aIndex) const;
  std::uint64_t Count() const { return mCount; }
  double Sum() const { return boost::accumulators::sum(mSum); }

private:
  std::array<std::uint64_t, kBounds.size()> mBuckets{};
  std::uint64_t mCount = 0;
  boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::sum>>
    mSum;
};

/// All time series of one process. Returned references stay valid for the life
/// of this object. Label values must come from a bounded set, because series
/// are never removed.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Sets the text of the HELP line of a metric.
  void Describe(const std::string& aName, std::string aHelp);

  /// Return the series with this name and these labels, and create it if
  /// necessary. A name must be used for only one kind of metric.
  Counter& GetCounter(const std::string& aName,
                      const MetricLabels& aLabels = {});
  Gauge& GetGauge(const std::string& aName, const MetricLabels& aLabels = {});
  Summary& GetSummary(const std::string& aName,
                      const MetricLabels& aLabels = {});

  Histogram& GetHistogram(const std::string& aName,
                          const MetricLabels& aLabels = {});

  /// Returns all series in the Prometheus text format.
  std::string Render() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace peridothoist
