#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Routing/UpstreamSpeeds.h>

#include <algorithm>
#include <cmath>

namespace peridothoist {

namespace {

constexpr double kPercent = 100;

/// A measurement changes an estimate by the gain times at most this difference
/// of logarithms, so that outliers count little.
constexpr double kMaxDeviation = 0.3;
constexpr double kMinGain = 1.0 / 32; ///< Of a measurement.
/// Gain of the shift that all upstreams of a group have in common. It exceeds
/// kMinGain: several upstreams that change alike are a change of this VM.
constexpr double kShiftGain = 1.0 / 16;
/// After this many measurements in a row that deviate to the same side by more
/// than kMaxDeviation, the upstream has changed and is learnt anew. A stall of
/// one second gives fewer.
constexpr int kDeviationsOfChange = 12;
constexpr double kMaxSpread = 1.5; ///< Larger deviations count as this.
/// Standard errors by which a measured difference must exceed zero. Calls to
/// equal upstreams differ as well, by what callers ask for.
constexpr double kStandardErrors = 3;
/// Standard error of a median over many samples, per mean absolute deviation.
constexpr double kErrorPerDeviation = 1.57;
constexpr double kMaxStatedGain = 1.0 / 8; ///< Of one statement.
/// Measurements are relative, which takes two upstreams.
constexpr std::size_t kMinMeasured = 2;

double
Median(std::vector<double> aValues)
{
  const auto middle = aValues.begin() + aValues.size() / 2;
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

double
MeanDeviation(const std::vector<double>& aValues, double aFrom)
{
  double sum = 0;
  for (const double value : aValues) {
    sum += std::min(std::abs(value - aFrom), kMaxSpread);
  }
  return sum / static_cast<double>(aValues.size());
}

/// Returns the fraction that is left of samples after aAge.
double
Decay(Duration aAge, Duration aHalfLife)
{
  return std::exp2(-static_cast<double>(aAge.count()) /
                   static_cast<double>(aHalfLife.count()));
}

} // namespace

const char*
ToName(SpeedSource aSource)
{
  static constexpr std::array<const char*, 4> kNames = {
    "none", "stated", "measured", "peers"
  };
  return kNames[static_cast<std::size_t>(aSource)];
}

std::uint32_t
ProcessTagOf(std::uint64_t aIncarnationId)
{
  return static_cast<std::uint32_t>(
    (aIncarnationId ^ (aIncarnationId >> 16) ^ (aIncarnationId >> 32)) &
    0xFFFF);
}

void
MergeSpeeds(SpeedsByUpstream& aTo, const SpeedsByUpstream& aFrom)
{
  for (const auto& [id, speed] : aFrom) {
    ReportedSpeed& known = aTo[id];
    if (known.mSamples == 0 || known.mProcess != speed.mProcess) {
      known = speed;
      continue;
    }
    const double sum = known.mSamples + speed.mSamples;
    known.mFactor =
      (known.mFactor * known.mSamples + speed.mFactor * speed.mSamples) / sum;
    known.mSamples += speed.mSamples;
  }
}

SpeedsByUpstream
SelectSpeeds(const SpeedsByUpstream& aSpeeds,
             std::size_t aCount,
             std::uint64_t aFirst)
{
  SpeedsByUpstream selected;
  if (aSpeeds.empty()) {
    return selected;
  }
  auto it = std::next(aSpeeds.begin(),
                      static_cast<std::ptrdiff_t>(aFirst % aSpeeds.size()));
  const std::size_t count = std::min(aCount, aSpeeds.size());
  while (selected.size() < count) {
    selected.insert(*it);
    if (++it == aSpeeds.end()) {
      it = aSpeeds.begin();
    }
  }
  return selected;
}

std::uint64_t
SpreadTurn(std::uint64_t aTurn)
{
  // 2^64 divided by the golden ratio.
  constexpr std::uint64_t kStep = 0x9E3779B97F4A7C15;
  return (aTurn * kStep) >> 32;
}

std::optional<Duration>
EventPace::OnEvent(TimePoint aNow)
{
  const auto last = std::exchange(mLastEventAt, aNow);
  if (!last) {
    return std::nullopt;
  }
  const Duration gap = aNow - *last;
  mTotal += gap;
  mLongest = std::max(mLongest, gap);
  if (++mGaps < kWindowGaps) {
    return std::nullopt;
  }
  const Duration pace = (mTotal - mLongest) / (kWindowGaps - 1);
  mGaps = 0;
  mTotal = Duration(0);
  mLongest = Duration(0);
  return pace;
}

/// Returns the entry of a process; a new one if the process or its kind of work
/// is new.
UpstreamSpeeds::Entry&
UpstreamSpeeds::EntryOf(const SpeedSubject& aSubject)
{
  Group* group =
    &mGroups[static_cast<std::size_t>(aSubject.mKind)][aSubject.mService];
  Entry& entry = mEntries[aSubject.mUpstream];
  const bool isNew =
    entry.mGroup != group || entry.mIncarnationId != aSubject.mIncarnationId;
  if (isNew) {
    entry = Entry();
    entry.mGroup = group;
    entry.mIncarnationId = aSubject.mIncarnationId;
  }
  return entry;
}

void
UpstreamSpeeds::OnStated(const SpeedSubject& aSubject,
                         std::uint32_t aPercent,
                         TimePoint aNow)
{
  Entry& entry = EntryOf(aSubject);
  Estimate& stated = entry.mStated;
  const bool isFirst = stated.mSamples == 0;
  if (!isFirst && aNow - stated.mAt < mSettings.mMinStatedInterval) {
    return;
  }
  const double factor = Clamp(aPercent / kPercent);
  const double byAge =
    isFirst ? 1 : 1 - Decay(aNow - stated.mAt, mSettings.mStatedHalfLife);
  const double gain =
    std::max(1 / (stated.mSamples + 1), std::min(byAge, kMaxStatedGain));
  stated.mValue += (factor - stated.mValue) * gain;
  stated.mSamples =
    std::min<double>(SamplesOf(stated, mSettings.mSampleHalfLife, aNow) + 1,
                     mSettings.mMaxSamples);
  stated.mAt = aNow;
  entry.mLastStated = factor;
}

void
UpstreamSpeeds::OnMeasured(const SpeedSubject& aSubject,
                           double aSeconds,
                           TimePoint aNow)
{
  if (aSeconds <= 0) {
    return;
  }
  Entry& entry = EntryOf(aSubject);
  Estimate& measured = entry.mMeasured;
  const bool isFirst = measured.mSamples == 0 && entry.mFirstMeasured.empty();
  if (!isFirst && aNow - measured.mAt < mSettings.mMinMeasuredInterval) {
    return;
  }
  measured.mSamples = SamplesOf(measured, mSettings.mSampleHalfLife, aNow);
  measured.mAt = aNow;
  LearnMeasured(entry, std::log(aSeconds));
}

void
UpstreamSpeeds::LearnMeasured(Entry& aEntry, double aLog)
{
  Estimate& measured = aEntry.mMeasured;
  Group& group = *aEntry.mGroup;
  const double log = aLog - group.mShift;
  if (measured.mSamples == 0) {
    aEntry.mFirstMeasured.push_back(log);
    if (aEntry.mFirstMeasured.size() >= mSettings.mMinSamples) {
      measured.mValue = Median(aEntry.mFirstMeasured);
      aEntry.mSpread = MeanDeviation(aEntry.mFirstMeasured, measured.mValue);
      measured.mSamples = mSettings.mMinSamples;
      aEntry.mFirstMeasured.clear();
    }
    return;
  }
  const double difference = log - measured.mValue;
  const double deviation =
    std::clamp(difference, -kMaxDeviation, kMaxDeviation);
  const int side = deviation == difference ? 0 : (difference > 0 ? 1 : -1);
  const bool continues = side * aEntry.mDeviations > 0;
  aEntry.mDeviations = continues ? aEntry.mDeviations + side : side;
  if (std::abs(aEntry.mDeviations) >= kDeviationsOfChange) {
    aEntry.mDeviations = 0;
    measured.mSamples = 0; // It is learnt anew.
    return;
  }
  const double spread = std::min(std::abs(difference), kMaxSpread);
  aEntry.mSpread += kMinGain * (spread - aEntry.mSpread);
  group.mShift += kShiftGain * deviation;
  measured.mValue +=
    std::max(1 / (measured.mSamples + 1), kMinGain) * deviation;
  measured.mSamples =
    std::min<double>(measured.mSamples + 1, mSettings.mMaxSamples);
}

void
UpstreamSpeeds::OnPeerSpeed(const SpeedSubject& aSubject,
                            const ReportedSpeed& aSpeed,
                            TimePoint aNow)
{
  const std::uint32_t samples =
    std::min(aSpeed.mSamples, mSettings.mMaxSamples);
  const bool isCurrent =
    aSpeed.mProcess == ProcessTagOf(aSubject.mIncarnationId);
  if (!isCurrent || samples == 0) {
    return;
  }
  Estimate& peers = EntryOf(aSubject).mPeers;
  const double known = SamplesOf(peers, mSettings.mPeerHalfLife, aNow);
  const double gain = samples / (known + samples);
  peers.mValue += (Clamp(aSpeed.mFactor) - peers.mValue) * gain;
  peers.mSamples = std::min<double>(known + samples, mSettings.mMaxSamples);
  peers.mAt = aNow;
}

/// Returns the number of samples of an estimate, of which old ones count less.
double
UpstreamSpeeds::SamplesOf(const Estimate& aEstimate,
                          Duration aHalfLife,
                          TimePoint aNow)
{
  return aEstimate.mSamples == 0
           ? 0
           : aEstimate.mSamples * Decay(aNow - aEstimate.mAt, aHalfLife);
}

void
UpstreamSpeeds::SumUpGroups(TimePoint aNow)
{
  for (auto& groups : mGroups) {
    for (auto& [service, group] : groups) {
      group.mSumOfLogs = 0;
      group.mMeasured = 0;
      group.mDiffers = false;
    }
  }
  for (auto& [id, entry] : mEntries) {
    const double samples =
      SamplesOf(entry.mMeasured, mSettings.mSampleHalfLife, aNow);
    if (samples >= 1) {
      entry.mGroup->mSumOfLogs += entry.mMeasured.mValue;
      ++entry.mGroup->mMeasured;
    } else if (entry.mMeasured.mSamples > 0) {
      entry.mMeasured = Estimate(); // Too old: it is learnt anew.
    }
  }
}

/// Returns whether the measurements scatter so little that an upstream is known
/// to differ from the others, or not to.
bool
UpstreamSpeeds::IsSignificant(const Entry& aEntry,
                              double aLogFactor,
                              double aSamples) const
{
  const double error =
    kErrorPerDeviation * aEntry.mSpread / std::sqrt(aSamples);
  return kStandardErrors * error <
         std::max(std::abs(aLogFactor), mSettings.mMinDifference);
}

/// Computes what this VM itself knows of an upstream.
void
UpstreamSpeeds::UpdateOwn(Entry& aEntry, TimePoint aNow) const
{
  const Group& group = *aEntry.mGroup;
  const double stated =
    SamplesOf(aEntry.mStated, mSettings.mSampleHalfLife, aNow);
  const double measured =
    SamplesOf(aEntry.mMeasured, mSettings.mSampleHalfLife, aNow);
  const double minSamples = mSettings.mMinSamples / 2.0;
  aEntry.mOwn = ReportedSpeed();
  aEntry.mOwn.mProcess = ProcessTagOf(aEntry.mIncarnationId);
  aEntry.mSource = SpeedSource::None;
  if (stated >= minSamples) {
    aEntry.mOwn.mFactor = aEntry.mStated.mValue;
    aEntry.mOwn.mSamples = static_cast<std::uint32_t>(stated);
    aEntry.mSource = SpeedSource::Stated;
  } else if (measured >= minSamples && group.mMeasured >= kMinMeasured) {
    const double mean = group.mSumOfLogs / static_cast<double>(group.mMeasured);
    const double log = aEntry.mMeasured.mValue - mean;
    if (IsSignificant(aEntry, log, measured)) {
      aEntry.mOwn.mFactor = Clamp(std::exp(log));
      aEntry.mOwn.mSamples = static_cast<std::uint32_t>(measured);
      aEntry.mSource = SpeedSource::Measured;
    }
  }
}

/// Computes an upstream's factor from what this VM and the others know.
void
UpstreamSpeeds::UpdateFactor(Entry& aEntry, TimePoint aNow) const
{
  UpdateOwn(aEntry, aNow);
  const double peers = SamplesOf(aEntry.mPeers, mSettings.mPeerHalfLife, aNow);
  const double own = aEntry.mOwn.mSamples;
  const double peersUsed = peers >= mSettings.mMinSamples / 2.0 ? peers : 0;
  const double sum = own + peersUsed;
  aEntry.mFactor =
    sum == 0
      ? 1
      : (aEntry.mOwn.mFactor * own + aEntry.mPeers.mValue * peersUsed) / sum;
  if (aEntry.mSource == SpeedSource::None && peersUsed > 0) {
    aEntry.mSource = SpeedSource::Peers;
  }
  aEntry.mSamples = static_cast<std::uint32_t>(sum);
}

std::vector<SpeedChange>
UpstreamSpeeds::Update(TimePoint aNow)
{
  std::vector<SpeedChange> changes;
  SumUpGroups(aNow);
  for (auto& [id, entry] : mEntries) {
    UpdateFactor(entry, aNow);
    entry.mGroup->mDiffers = entry.mGroup->mDiffers || Matters(entry.mFactor);
    if (IsChanged(entry)) {
      entry.mLoggedFactor = entry.mFactor;
      changes.push_back({ id, entry.mFactor, entry.mSamples, entry.mSource });
    }
  }
  return changes;
}

bool
UpstreamSpeeds::IsChanged(const Entry& aEntry) const
{
  const bool isFirst = aEntry.mLoggedFactor == 1;
  const double ratio = aEntry.mFactor / aEntry.mLoggedFactor;
  const double limit =
    1 + (isFirst ? mSettings.mMinDifference : mSettings.mLoggedChange);
  return ratio > limit || ratio < 1 / limit;
}

bool
UpstreamSpeeds::Matters(double aFactor) const
{
  return std::abs(aFactor - 1) > mSettings.mMinDifference;
}

double
UpstreamSpeeds::Clamp(double aFactor) const
{
  return std::clamp(aFactor, mSettings.mMinFactor, mSettings.mMaxFactor);
}

double
UpstreamSpeeds::FactorOf(const std::string& aUpstream, TimePoint aNow) const
{
  const auto it = mEntries.find(aUpstream);
  if (it == mEntries.end() || !it->second.mGroup->mDiffers) {
    return 1;
  }
  const Entry& entry = it->second;
  const bool isFresh = entry.mSource == SpeedSource::Stated &&
                       aNow - entry.mStated.mAt < mSettings.mFreshStatement;
  return isFresh ? (entry.mFactor + entry.mLastStated) / 2 : entry.mFactor;
}

bool
UpstreamSpeeds::Differ(const std::string& aService, WorkKind aKind) const
{
  const auto& groups = mGroups[static_cast<std::size_t>(aKind)];
  const auto it = groups.find(aService);
  return it != groups.end() && it->second.mDiffers;
}

SpeedsByUpstream
UpstreamSpeeds::OwnSpeeds() const
{
  SpeedsByUpstream speeds;
  for (const auto& [id, entry] : mEntries) {
    if (entry.mOwn.mSamples > 0 && Matters(entry.mOwn.mFactor)) {
      speeds[id] = entry.mOwn;
    }
  }
  return speeds;
}

SpeedsByUpstream
UpstreamSpeeds::KnownSpeeds() const
{
  SpeedsByUpstream speeds;
  for (const auto& [id, entry] : mEntries) {
    if (entry.mSamples > 0 && Matters(entry.mFactor)) {
      speeds[id] = { entry.mFactor,
                     entry.mSamples,
                     ProcessTagOf(entry.mIncarnationId) };
    }
  }
  return speeds;
}

SpeedRange
UpstreamSpeeds::KnownRange() const
{
  SpeedRange range;
  for (const auto& [id, entry] : mEntries) {
    if (entry.mSource == SpeedSource::None) {
      continue;
    }
    const bool isFirst = ++range.mKnown == 1;
    range.mMin = isFirst ? entry.mFactor : std::min(range.mMin, entry.mFactor);
    range.mMax = isFirst ? entry.mFactor : std::max(range.mMax, entry.mFactor);
  }
  return range;
}

} // namespace peridothoist
