/// Counters, gauges and latency summaries, rendered in the Prometheus text
/// format. Summaries use Boost.Accumulators with P-square quantiles, which
/// keep a few numbers each and no samples. Belongs to one thread.
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

/// Label names and values of one time series.
using MetricLabels = std::map<std::string, std::string>;

/// A number that only goes up.
class Counter
{
public:
  void Add(double aAmount = 1) { mValue += aAmount; }
  double Value() const { return mValue; }

private:
  double mValue = 0;
};

/// A number as of now.
class Gauge
{
public:
  void Set(double aValue) { mValue = aValue; }
  void Add(double aAmount) { mValue += aAmount; }
  double Value() const { return mValue; }

private:
  double mValue = 0;
};

/// Count, sum, mean, maximum and estimated quantiles of what was observed
/// since the start.
class Summary
{
public:
  /// The quantiles that are kept.
  static constexpr std::array<double, 3> kQuantiles = { 0.5, 0.95, 0.99 };

  Summary();

  void Observe(double aValue);
  void Observe(Duration aValue) { Observe(ToSeconds(aValue)); }

  std::size_t Count() const;
  double Sum() const;
  double Mean() const; ///< 0 when nothing was observed.
  double Max() const;  ///< 0 when nothing was observed.
  /// The estimate for kQuantiles[aIndex]; 0 when nothing was observed.
  double Quantile(std::size_t aIndex) const;

private:
  using Basics = boost::accumulators::accumulator_set<
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

  Basics mBasics;
  std::vector<QuantileEstimate> mQuantiles;
};

/// Counts of observed latencies by upper bound, which can be added up over
/// processes.
class Histogram
{
public:
  /// Upper bounds of the buckets, in seconds; they cover the objectives of
  /// lookups (0.1 s) as well as whole streams (14 s).
  static constexpr std::array<double, 14> kBounds = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.9, 1.5, 3, 5, 10, 15
  };

  void Observe(Duration aValue);

  /// Observations up to and including kBounds[aIndex].
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

/// All series of one process. References that it gives stay good as long as
/// it lives; labels must come from a bounded set.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Says what a metric means, for its HELP line.
  void Describe(const std::string& aName, std::string aHelp);

  /// The series of this name and labels, made when it is new. A name belongs
  /// to one kind.
  Counter& GetCounter(const std::string& aName,
                      const MetricLabels& aLabels = {});
  Gauge& GetGauge(const std::string& aName, const MetricLabels& aLabels = {});
  Summary& GetSummary(const std::string& aName,
                      const MetricLabels& aLabels = {});

  Histogram& GetHistogram(const std::string& aName,
                          const MetricLabels& aLabels = {});

  /// Everything in the Prometheus text format.
  std::string Render() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace peridothoist
