/// Counters, gauges, summaries and histograms in the Prometheus text format.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/Metrics.h>

#include <fmt/format.h>

namespace peridothoist {

namespace {

namespace accumulators = boost::accumulators;

std::string
EscapeLabel(const std::string& aValue)
{
  std::string escaped;
  for (const char c : aValue) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') {
      escaped += '\\';
    }
    escaped += c;
  }
  return escaped;
}

/// Renders labels as "a=\"1\",b=\"2\"", without braces.
std::string
RenderLabels(const MetricLabels& aLabels)
{
  std::string text;
  for (const auto& [name, value] : aLabels) {
    text += fmt::format(
      "{}{}=\"{}\"", text.empty() ? "" : ",", name, EscapeLabel(value));
  }
  return text;
}

void
RenderLine(std::string& aOut,
           const std::string& aName,
           const std::string& aLabels,
           double aValue)
{
  aOut += aLabels.empty() ? aName : fmt::format("{}{{{}}}", aName, aLabels);
  aOut += fmt::format(" {}\n", aValue);
}

void
RenderSeries(std::string& aOut,
             const std::string& aName,
             const std::string& aLabels,
             const Counter& aCounter)
{
  RenderLine(aOut, aName, aLabels, aCounter.Value());
}

void
RenderSeries(std::string& aOut,
             const std::string& aName,
             const std::string& aLabels,
             const Gauge& aGauge)
{
  RenderLine(aOut, aName, aLabels, aGauge.Value());
}

void
RenderSeries(std::string& aOut,
             const std::string& aName,
             const std::string& aLabels,
             const Summary& aSummary)
{
  const std::string comma = aLabels.empty() ? "" : ",";
  for (std::size_t i = 0; i < Summary::kQuantiles.size(); ++i) {
    const std::string labels = fmt::format(
      "{}{}quantile=\"{}\"", aLabels, comma, Summary::kQuantiles[i]);
    RenderLine(aOut, aName, labels, aSummary.Quantile(i));
  }
  RenderLine(aOut, aName + "_sum", aLabels, aSummary.Sum());
  RenderLine(
    aOut, aName + "_count", aLabels, static_cast<double>(aSummary.Count()));
}

void
RenderSeries(std::string& aOut,
             const std::string& aName,
             const std::string& aLabels,
             const Histogram& aHistogram)
{
  const std::string comma = aLabels.empty() ? "" : ",";
  const auto bucket = [&](const std::string& aBound, std::uint64_t aCount) {
    RenderLine(aOut,
               aName + "_bucket",
               fmt::format("{}{}le=\"{}\"", aLabels, comma, aBound),
               static_cast<double>(aCount));
  };
  for (std::size_t i = 0; i < Histogram::kBounds.size(); ++i) {
    bucket(fmt::format("{}", Histogram::kBounds[i]), aHistogram.CountUpTo(i));
  }
  bucket("+Inf", aHistogram.Count());
  RenderLine(aOut, aName + "_sum", aLabels, aHistogram.Sum());
  RenderLine(
    aOut, aName + "_count", aLabels, static_cast<double>(aHistogram.Count()));
}

/// Renders the maxima of summaries as a separate gauge family, because a
/// summary family can't have them.
template<typename Family>
void
RenderMaxima(std::string& aOut, const std::string& aName, const Family& aFamily)
{
  aOut += fmt::format("# TYPE {}_max gauge\n", aName);
  for (const auto& [labels, series] : aFamily) {
    RenderLine(aOut, aName + "_max", labels, series->Max());
  }
}

} // namespace

Summary::Summary()
{
  for (const double quantile : kQuantiles) {
    mQuantiles.emplace_back(accumulators::quantile_probability = quantile);
  }
}

void
Summary::Observe(double aValue)
{
  mMoments(aValue);
  for (QuantileEstimate& quantile : mQuantiles) {
    quantile(aValue);
  }
}

std::size_t
Summary::Count() const
{
  return accumulators::count(mMoments);
}

double
Summary::Sum() const
{
  return accumulators::sum(mMoments);
}

double
Summary::Mean() const
{
  return Count() == 0 ? 0 : accumulators::mean(mMoments);
}

double
Summary::Max() const
{
  return Count() == 0 ? 0 : accumulators::max(mMoments);
}

double
Summary::Quantile(std::size_t aIndex) const
{
  return Count() == 0 ? 0 : accumulators::p_square_quantile(mQuantiles[aIndex]);
}

void
Histogram::Observe(Duration aValue)
{
  const double seconds = std::chrono::duration<double>(aValue).count();
  ++mCount;
  mSum(seconds);
  for (std::size_t i = 0; i < kBounds.size(); ++i) {
    if (seconds <= kBounds[i]) {
      ++mBuckets[i];
      return;
    }
  }
}

std::uint64_t
Histogram::CountUpTo(std::size_t aIndex) const
{
  std::uint64_t count = 0;
  for (std::size_t i = 0; i <= aIndex; ++i) {
    count += mBuckets[i];
  }
  return count;
}

/// The series, by name and then by rendered labels.
struct Metrics::Impl
{
  template<typename T>
  using Families =
    std::map<std::string, std::map<std::string, std::unique_ptr<T>>>;

  template<typename T>
  static T& Get(Families<T>& aFamilies,
                const std::string& aName,
                const MetricLabels& aLabels)
  {
    std::unique_ptr<T>& series = aFamilies[aName][RenderLabels(aLabels)];
    if (series == nullptr) {
      series = std::make_unique<T>();
    }
    return *series;
  }

  template<typename T>
  void RenderFamily(
    std::string& aOut,
    const std::string& aName,
    const char* aType,
    const std::map<std::string, std::unique_ptr<T>>& aFamily) const
  {
    const auto help = mHelp.find(aName);
    if (help != mHelp.end()) {
      aOut += fmt::format("# HELP {} {}\n", aName, help->second);
    }
    aOut += fmt::format("# TYPE {} {}\n", aName, aType);
    for (const auto& [labels, series] : aFamily) {
      RenderSeries(aOut, aName, labels, *series);
    }
  }

  std::map<std::string, std::string> mHelp;
  Families<Counter> mCounters;
  Families<Gauge> mGauges;
  Families<Summary> mSummaries;
  Families<Histogram> mHistograms;
};

Metrics::Metrics()
  : mImpl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void
Metrics::Describe(const std::string& aName, std::string aHelp)
{
  mImpl->mHelp[aName] = std::move(aHelp);
}

Counter&
Metrics::GetCounter(const std::string& aName, const MetricLabels& aLabels)
{
  return Impl::Get(mImpl->mCounters, aName, aLabels);
}

Gauge&
Metrics::GetGauge(const std::string& aName, const MetricLabels& aLabels)
{
  return Impl::Get(mImpl->mGauges, aName, aLabels);
}

Summary&
Metrics::GetSummary(const std::string& aName, const MetricLabels& aLabels)
{
  return Impl::Get(mImpl->mSummaries, aName, aLabels);
}

Histogram&
Metrics::GetHistogram(const std::string& aName, const MetricLabels& aLabels)
{
  return Impl::Get(mImpl->mHistograms, aName, aLabels);
}

std::string
Metrics::Render() const
{
  std::string out;
  for (const auto& [name, family] : mImpl->mCounters) {
    mImpl->RenderFamily(out, name, "counter", family);
  }
  for (const auto& [name, family] : mImpl->mGauges) {
    mImpl->RenderFamily(out, name, "gauge", family);
  }
  for (const auto& [name, family] : mImpl->mSummaries) {
    mImpl->RenderFamily(out, name, "summary", family);
    RenderMaxima(out, name, family);
  }
  for (const auto& [name, family] : mImpl->mHistograms) {
    mImpl->RenderFamily(out, name, "histogram", family);
  }
  return out;
}

} // namespace peridothoist
