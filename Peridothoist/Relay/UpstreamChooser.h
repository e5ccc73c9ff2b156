/// Chooses the upstream for one send: the least loaded one, with a preference
/// for the VM's own availability zone unless its upstreams are busier by more
/// than a margin. Upstreams that fail calls count as more loaded. Where
/// upstreams are known to differ in speed, expected times are compared.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Relay/UpstreamLimiter.h>
#include <Peridothoist/Relay/UpstreamLoadTracker.h>
#include <Peridothoist/Relay/UpstreamList.h>
#include <Peridothoist/Routing/UpstreamSpeeds.h>

#include <set>

namespace peridothoist {

/// Inputs of a choice.
struct UpstreamQuery
{
  std::string mService;
  RelayStage mStage = RelayStage::Plain;
  std::string mZone;               ///< Preferred zone.
  std::uint64_t mNeededTokens = 0; ///< KV memory that the request needs.
  std::uint64_t mPromptTokens = 0;
  /// KV memory of one engine; 0: not limited.
  std::uint64_t mEngineMemoryTokens = 0;
  std::set<std::string> mExcludedUpstreams; ///< Ids not to be chosen.
  /// Only upstreams of this software version generate the output.
  std::optional<std::string> mSoftwareVersion;
  /// A stream that can be resumed begins; see RelayUpstream::mMayBeginStreams.
  bool mBeginsStream = false;
};

/// Why no upstream was chosen.
enum class NoChoiceReason
{
  None,       ///< An upstream was chosen.
  NoUpstream, ///< None accepts work, or all are excluded.
  Full        ///< All that accept work are full.
};

const char*
ToName(NoChoiceReason aReason);

/// The result of a choice.
struct Choice
{
  const RelayUpstream* mUpstream = nullptr;
  NoChoiceReason mReason = NoChoiceReason::None;
  double mScore = 0; ///< Lower is better; comparable within a stage.
};

/// How many requests upstreams can still take.
struct UpstreamCapacity
{
  double mShared = 0; ///< By all VMs together.
  double mOwn = 0;    ///< By this VM, within its part of upstreams' limits.
};

/// This VM's parts of the limits of all upstreams that serve a request.
struct LimitedCapacity
{
  double mAvailable = 0; ///< Requests that it may send now.
  double mPerSecond = 0;
  /// Time until the next request may be sent; nullopt: never.
  std::optional<Duration> mUntilNext;
};

/// Settings of UpstreamChooser.
struct UpstreamChooserSettings
{
  /// How many more requests an upstream of the own zone may have than one of
  /// another zone and still be preferred, for plain upstreams and for engines.
  double mPlainZonePreference = 3.0;
  double mEngineZonePreference = 1.5;
  /// How many more requests an engine at home in this VM's cell may have than
  /// one at home in another and still be preferred.
  double mHomePreference = 1.0;
  /// Requests added to the score of an upstream that fails all its calls.
  double mFailureWeight = 8;
  /// In a large fleet the load reports of peers are old. For each second of
  /// their age, a random amount up to this many requests is added to a score,
  /// which spreads requests over upstreams of similar load.
  double mScoreSpreadPerSecond = 2;
  /// Fraction of an engine's memory left free for each second of that age.
  double mFreeFractionPerSecond = 0.16;
  /// Requests added to the score of an upstream missing from the list.
  double mMissingPenalty = 50;
  /// A plain upstream with this many requests per slot is full.
  double mMaxPlainRequestsPerSlot = 3.0;
  double mMaxEngineMemoryFraction = 0.94; ///< Usable fraction of KV memory.
};

/// Chooses upstreams.
class UpstreamChooser
{
public:
  using Settings = UpstreamChooserSettings;

  /// None of the pointers is owned.
  UpstreamChooser(const Settings& aSettings,
                  const UpstreamList* aUpstreamList,
                  const UpstreamLoadTracker* aLoads,
                  const UpstreamLimiter* aLimiter,
                  const UpstreamSpeeds* aSpeeds,
                  Random* aRandom);

  /// Returns whether the upstream serves such requests, if it has capacity.
  static bool Serves(const RelayUpstream& aUpstream,
                     const UpstreamQuery& aQuery);

  Choice Choose(const UpstreamQuery& aQuery, TimePoint aNow);

  /// Sets the engines at home in this VM's cell; none if the fleet has a single
  /// cell.
  void SetHomeEngines(std::set<std::string> aIds)
  {
    mHomeEngines = std::move(aIds);
  }

  /// Returns the requests that run at the upstreams of a service and stage, as
  /// far as this VM knows.
  double RunningAt(const std::string& aService, RelayStage aStage) const;

  /// Returns how many such requests all upstreams together can still take.
  UpstreamCapacity CapacityFor(const UpstreamQuery& aQuery,
                               TimePoint aNow) const;

  /// Returns the limited capacity for such requests; nullopt if some upstream
  /// that serves them has no limit, or there is none.
  std::optional<LimitedCapacity> LimitsFor(const UpstreamQuery& aQuery,
                                           TimePoint aNow) const;

private:
  double CapacityByLoad(const RelayUpstream& aUpstream,
                        const UpstreamQuery& aQuery,
                        TimePoint aNow) const;
  double CapacityAt(const RelayUpstream& aUpstream,
                    const UpstreamQuery& aQuery,
                    TimePoint aNow) const;
  bool IsFull(const RelayUpstream& aUpstream,
              const UpstreamQuery& aQuery,
              TimePoint aNow) const;
  double TypicalPrompt(const UpstreamQuery& aQuery) const;
  double ExpectedWork(const RelayUpstream& aUpstream,
                      const UpstreamQuery& aQuery,
                      double aTypicalPrompt,
                      TimePoint aNow) const;
  double Score(const RelayUpstream& aUpstream,
               const UpstreamQuery& aQuery,
               double aTypicalPrompt,
               TimePoint aNow) const;

  Settings mSettings;
  const UpstreamList* mUpstreamList;
  const UpstreamLoadTracker* mLoads;
  const UpstreamLimiter* mLimiter;
  const UpstreamSpeeds* mSpeeds;
  Random* mRandom;
  std::set<std::string> mHomeEngines;
};

} // namespace peridothoist
