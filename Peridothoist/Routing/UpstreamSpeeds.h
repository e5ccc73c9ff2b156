/// Learns how long work takes at each upstream, relative to the others of its
/// service and stage, so that requests are placed by expected time.
///
/// An upstream that shares its machine states how long work takes there. For
/// the others, this VM compares its own measurements: only with each other,
/// since a VM whose event loop is late measures long times at all of them. VMs
/// tell each other what they learnt.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <array>

namespace peridothoist {

/// Kinds of work whose durations are comparable.
enum class WorkKind
{
  Plain,
  Prefill,
  Decode
};

constexpr std::size_t kWorkKinds = 3;

/// How the duration factor of an upstream became known.
enum class SpeedSource
{
  None,
  Stated,
  Measured,
  Peers
};

const char*
ToName(SpeedSource aSource);

/// One process of an upstream and the work that it does.
struct SpeedSubject
{
  std::string mUpstream; ///< Id.
  std::string mService;
  WorkKind mKind = WorkKind::Plain;
  std::uint64_t mIncarnationId = 0; ///< New with each start; 0: unknown.
};

/// What a VM learnt of an upstream, as VMs tell each other.
struct ReportedSpeed
{
  double mFactor = 1; ///< Duration of work; 1: as usual, 2: twice as long.
  std::uint32_t mSamples = 0;
  std::uint32_t mProcess = 0; ///< See ProcessTagOf().
};

using SpeedsByUpstream = std::map<std::string, ReportedSpeed>;

/// Returns a short number that differs between the processes of an upstream.
std::uint32_t
ProcessTagOf(std::uint64_t aIncarnationId);

/// Adds the speeds of aFrom to aTo, weighted by samples.
void
MergeSpeeds(SpeedsByUpstream& aTo, const SpeedsByUpstream& aFrom);

/// Returns up to aCount of the speeds, beginning with the one at aFirst modulo
/// their number.
SpeedsByUpstream
SelectSpeeds(const SpeedsByUpstream& aSpeeds,
             std::size_t aCount,
             std::uint64_t aFirst);

/// Returns where a selection begins in a turn. Any regular part of the turns,
/// such as every other one, covers all upstreams.
std::uint64_t
SpreadTurn(std::uint64_t aTurn);

/// A factor that became known or changed.
struct SpeedChange
{
  std::string mUpstream;
  double mFactor = 1;
  std::uint32_t mSamples = 0;
  SpeedSource mSource = SpeedSource::None;
};

/// The factors that are known.
struct SpeedRange
{
  std::size_t mKnown = 0;
  double mMin = 1;
  double mMax = 1;
};

/// Measures the time between the events of one stream.
class EventPace
{
public:
  /// Called with each event. Returns the mean time between events after every
  /// kWindowGaps of them. The longest gap does not count: a single stall is
  /// not the pace.
  std::optional<Duration> OnEvent(TimePoint aNow);

private:
  static constexpr std::uint32_t kWindowGaps = 16;

  std::optional<TimePoint> mLastEventAt;
  std::uint32_t mGaps = 0;
  Duration mTotal{ 0 };
  Duration mLongest{ 0 };
};

/// Settings of UpstreamSpeeds.
struct UpstreamSpeedsSettings
{
  /// Statements and measurements of an upstream that follow sooner are ignored.
  /// All calls that one stall delays would count otherwise.
  Duration mMinStatedInterval = 50ms;
  Duration mMinMeasuredInterval = 250ms;
  /// Samples after which a factor is known; it stays known with half of them.
  /// Within a stall of one second come
  /// fewer than half as many measurements, so that their median is right.
  std::uint32_t mMinSamples = 12;
  std::uint32_t mMaxSamples = 64; ///< Further ones give no more weight.
  /// Half-life of what was stated, in the mean.
  Duration mStatedHalfLife = 5s;
  /// A single statement is used for this long; the load of a shared machine
  /// changes many times a second.
  Duration mFreshStatement = 100ms;
  /// Half-life of samples when there are no further ones.
  Duration mSampleHalfLife = 30s;
  Duration mPeerHalfLife = 10s; ///< The same for what other VMs learnt.
  double mMinFactor = 0.25;
  double mMaxFactor = 4;
  /// A factor that differs from 1 by less than this does not matter.
  double mMinDifference = 0.1;
  /// A factor that has changed by more than this is logged again.
  double mLoggedChange = 0.25;
};

/// Holds the duration factors of all upstreams, for one VM.
class UpstreamSpeeds
{
public:
  using Settings = UpstreamSpeedsSettings;

  explicit UpstreamSpeeds(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Called when an upstream stated how long work takes there now.
  void OnStated(const SpeedSubject& aSubject,
                std::uint32_t aPercent,
                TimePoint aNow);
  /// Called when this VM measured work of an upstream. aSeconds: for one unit
  /// of such work, the same unit at all upstreams of the service and kind.
  void OnMeasured(const SpeedSubject& aSubject,
                  double aSeconds,
                  TimePoint aNow);
  /// Called with what another VM learnt about the same process.
  void OnPeerSpeed(const SpeedSubject& aSubject,
                   const ReportedSpeed& aSpeed,
                   TimePoint aNow);
  /// Called when the upstream is gone or was restarted.
  void Forget(const std::string& aUpstream) { mEntries.erase(aUpstream); }

  /// Computes the factors from what was learnt; to be called a few times a
  /// second. Returns those that became known or changed.
  std::vector<SpeedChange> Update(TimePoint aNow);

  /// Returns the expected duration of work at an upstream, as of the last
  /// Update(); 1 if it or a difference within its service is not known.
  double FactorOf(const std::string& aUpstream, TimePoint aNow) const;

  /// Returns whether upstreams of a service are known to differ.
  bool Differ(const std::string& aService, WorkKind aKind) const;

  /// Returns what this VM learnt itself of upstreams that differ from others,
  /// to report to other VMs.
  SpeedsByUpstream OwnSpeeds() const;

  /// Returns the same with what other VMs told, for VMs that do not hear these
  /// and tell nobody else.
  SpeedsByUpstream KnownSpeeds() const;

  SpeedRange KnownRange() const;

private:
  /// A mean of samples.
  struct Estimate
  {
    double mValue = 0;
    double mSamples = 0; ///< At mAt; decay since.
    TimePoint mAt;
  };
  /// Upstreams whose work is compared.
  struct Group
  {
    /// Common change of the measurements' logarithm: this VM's own lateness.
    double mShift = 0;
    double mSumOfLogs = 0; ///< Over the upstreams with measurements.
    std::size_t mMeasured = 0;
    bool mDiffers = false;
  };
  struct Entry
  {
    Group* mGroup = nullptr;
    std::uint64_t mIncarnationId = 0;
    Estimate mStated; ///< Factor.
    double mLastStated = 1;
    Estimate mMeasured;                 ///< Logarithm of seconds for one unit.
    std::vector<double> mFirstMeasured; ///< Until there are enough.
    /// Mean absolute deviation of measurements from mMeasured.
    double mSpread = 0;
    int mDeviations = 0; ///< In a row; below 0: towards shorter times.
    Estimate mPeers;     ///< Factor.
    // As of the last Update()
    ReportedSpeed mOwn; ///< Without samples: not known.
    double mFactor = 1;
    std::uint32_t mSamples = 0; ///< Of mFactor.
    SpeedSource mSource = SpeedSource::None;
    double mLoggedFactor = 1;
  };

  Entry& EntryOf(const SpeedSubject& aSubject);
  void LearnMeasured(Entry& aEntry, double aLog);
  bool IsSignificant(const Entry& aEntry,
                     double aLogFactor,
                     double aSamples) const;
  static double SamplesOf(const Estimate& aEstimate,
                          Duration aHalfLife,
                          TimePoint aNow);
  void SumUpGroups(TimePoint aNow);
  void UpdateOwn(Entry& aEntry, TimePoint aNow) const;
  void UpdateFactor(Entry& aEntry, TimePoint aNow) const;
  bool IsChanged(const Entry& aEntry) const;
  bool Matters(double aFactor) const;
  double Clamp(double aFactor) const;

  Settings mSettings;
  std::array<std::map<std::string, Group>, kWorkKinds> mGroups; ///< By service.
  std::map<std::string, Entry> mEntries; ///< By upstream.
};

} // namespace peridothoist
