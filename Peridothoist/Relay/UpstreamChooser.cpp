#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/UpstreamChooser.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace peridothoist {

namespace {

/// Longer waits for a limit are not told apart.
constexpr double kMaxLimitWaitSeconds = 3600;

} // namespace

const char*
ToName(NoChoiceReason aReason)
{
  static constexpr std::array<const char*, 3> kNames = { "none",
                                                         "no_upstream",
                                                         "full" };
  return kNames[static_cast<std::size_t>(aReason)];
}

bool
UpstreamChooser::Serves(const RelayUpstream& aUpstream,
                        const UpstreamQuery& aQuery)
{
  // What prefill engines write is used by decode engines of any version.
  const bool fitsVersion =
    !aQuery.mSoftwareVersion || aQuery.mStage == RelayStage::Prefill ||
    aUpstream.mSoftwareVersion == *aQuery.mSoftwareVersion;
  return aUpstream.mService == aQuery.mService &&
         aUpstream.mStage == aQuery.mStage && aUpstream.AcceptsRequests() &&
         fitsVersion;
}

UpstreamChooser::UpstreamChooser(const Settings& aSettings,
                                 const UpstreamList* aUpstreamList,
                                 const UpstreamLoadTracker* aLoads,
                                 const UpstreamLimiter* aLimiter,
                                 const UpstreamSpeeds* aSpeeds,
                                 Random* aRandom)
  : mSettings(aSettings)
  , mUpstreamList(aUpstreamList)
  , mLoads(aLoads)
  , mLimiter(aLimiter)
  , mSpeeds(aSpeeds)
  , mRandom(aRandom)
{
}

Choice
UpstreamChooser::Choose(const UpstreamQuery& aQuery, TimePoint aNow)
{
  Choice best;
  Choice bestAvoided;
  bool anyFull = false;
  bool anyHealthy = false;
  std::uint64_t ties = 0;
  const double typicalPrompt = TypicalPrompt(aQuery);
  for (const auto& [id, entry] : mUpstreamList->All()) {
    const RelayUpstream& upstream = entry.mUpstream;
    const bool fits =
      Serves(upstream, aQuery) && aQuery.mExcludedUpstreams.count(id) == 0;
    if (!fits) {
      continue;
    }
    const bool avoided = mLoads->IsAvoided(id, aNow);
    anyHealthy = anyHealthy || !avoided;
    const bool isBarred = aQuery.mBeginsStream && !upstream.mMayBeginStreams;
    if (isBarred || IsFull(upstream, aQuery, aNow)) {
      anyFull = true;
      continue;
    }
    const double spread = mSettings.mScoreSpreadPerSecond *
                          mLoads->PeerLoadAgeSeconds() *
                          mRandom->UniformFraction();
    const double score = Score(upstream, aQuery, typicalPrompt, aNow) + spread;
    Choice& candidate = avoided ? bestAvoided : best;
    if (candidate.mUpstream == nullptr || score < candidate.mScore) {
      candidate = { &upstream, NoChoiceReason::None, score };
      ties = 1;
    } else if (score == candidate.mScore &&
               mRandom->UniformBelow(++ties) == 0) {
      candidate.mUpstream = &upstream;
    }
  }
  if (best.mUpstream != nullptr) {
    return best;
  }
  // An avoided upstream may have recovered. But while others are merely full,
  // waiting for them is better than losing the request at a dead upstream.
  if (bestAvoided.mUpstream != nullptr && !anyHealthy) {
    return bestAvoided;
  }
  return { nullptr,
           anyFull ? NoChoiceReason::Full : NoChoiceReason::NoUpstream,
           0 };
}

/// Returns how many such requests the upstream can still take, and its limit
/// allows; may be negative.
double
UpstreamChooser::CapacityAt(const RelayUpstream& aUpstream,
                            const UpstreamQuery& aQuery,
                            TimePoint aNow) const
{
  const double byLoad = CapacityByLoad(aUpstream, aQuery, aNow);
  const auto byLimit = mLimiter->Available(aUpstream.mId, aNow);
  return byLimit ? std::min(byLoad, *byLimit) : byLoad;
}

double
UpstreamChooser::CapacityByLoad(const RelayUpstream& aUpstream,
                                const UpstreamQuery& aQuery,
                                TimePoint aNow) const
{
  UpstreamWork work = mLoads->Work(aUpstream.mId);
  // Requests that it runs but no VM reports, for example after a VM or a link
  // failed.
  const std::uint32_t unaccounted =
    mLoads->UnaccountedRequests(aUpstream.mId, aNow);
  work += { unaccounted, unaccounted * aQuery.mNeededTokens };
  const double slots = aUpstream.mStage == RelayStage::Plain
                         ? mSettings.mMaxPlainRequestsPerSlot * aUpstream.mSlots
                         : aUpstream.mSlots;
  const double bySlots = slots - work.mRequests;
  const bool counted = aQuery.mEngineMemoryTokens > 0 &&
                       aQuery.mNeededTokens > 0 &&
                       aUpstream.mStage == RelayStage::Decode;
  if (!counted || bySlots < 1) {
    return bySlots;
  }
  const double maxFraction =
    mSettings.mMaxEngineMemoryFraction -
    mSettings.mFreeFractionPerSecond * mLoads->PeerLoadAgeSeconds();
  const double limit =
    maxFraction * static_cast<double>(aQuery.mEngineMemoryTokens);
  const double byMemory = (limit - static_cast<double>(work.mTokens)) /
                          static_cast<double>(aQuery.mNeededTokens);
  // An idle engine is sent a request of any size; it refuses one that it can't
  // hold.
  return work.mRequests == 0 ? std::max(1.0, byMemory)
                             : std::min(bySlots, byMemory);
}

bool
UpstreamChooser::IsFull(const RelayUpstream& aUpstream,
                        const UpstreamQuery& aQuery,
                        TimePoint aNow) const
{
  return CapacityAt(aUpstream, aQuery, aNow) < 1;
}

double
UpstreamChooser::RunningAt(const std::string& aService, RelayStage aStage) const
{
  double running = 0;
  for (const auto& [id, entry] : mUpstreamList->All()) {
    const RelayUpstream& upstream = entry.mUpstream;
    const bool counts =
      upstream.mService == aService && upstream.mStage == aStage;
    running += counts ? mLoads->Work(id).mRequests : 0;
  }
  return running;
}

UpstreamCapacity
UpstreamChooser::CapacityFor(const UpstreamQuery& aQuery, TimePoint aNow) const
{
  UpstreamCapacity capacity;
  for (const auto& [id, entry] : mUpstreamList->All()) {
    const RelayUpstream& upstream = entry.mUpstream;
    if (Serves(upstream, aQuery) && !mLoads->IsAvoided(id, aNow)) {
      const bool isLimited = mLimiter->IsLimited(id, aNow);
      (isLimited ? capacity.mOwn : capacity.mShared) +=
        std::max(0.0, std::floor(CapacityAt(upstream, aQuery, aNow)));
    }
  }
  return capacity;
}

std::optional<LimitedCapacity>
UpstreamChooser::LimitsFor(const UpstreamQuery& aQuery, TimePoint aNow) const
{
  std::optional<LimitedCapacity> limits;
  for (const auto& [id, entry] : mUpstreamList->All()) {
    if (!Serves(entry.mUpstream, aQuery)) {
      continue;
    }
    const auto available = mLimiter->Available(id, aNow);
    if (!available) {
      return std::nullopt;
    }
    LimitedCapacity& sum = limits ? *limits : limits.emplace();
    const double share = mLimiter->Share(id, aNow);
    if (share <= 0) {
      continue;
    }
    sum.mAvailable += std::max(0.0, std::floor(*available));
    sum.mPerSecond += share;
    const double wait = std::max(0.0, 1 - *available) / share;
    const auto untilNext = std::chrono::ceil<Duration>(
      std::chrono::duration<double>(std::min(wait, kMaxLimitWaitSeconds)));
    sum.mUntilNext = std::min(sum.mUntilNext.value_or(untilNext), untilNext);
  }
  return limits;
}

/// Returns the mean tokens of the prompts at the prefill engines of a service,
/// including the prompt to be placed; 0 if work is counted in requests.
double
UpstreamChooser::TypicalPrompt(const UpstreamQuery& aQuery) const
{
  const bool countsTokens = aQuery.mStage == RelayStage::Prefill &&
                            aQuery.mPromptTokens > 0 &&
                            mSpeeds->Differ(aQuery.mService, WorkKind::Prefill);
  if (!countsTokens) {
    return 0;
  }
  UpstreamWork all{ 1, aQuery.mPromptTokens };
  for (const auto& [id, entry] : mUpstreamList->All()) {
    if (Serves(entry.mUpstream, aQuery)) {
      all += mLoads->Work(id);
    }
  }
  return static_cast<double>(all.mTokens) / all.mRequests;
}

/// Returns the expected time until the upstream has done its work and this
/// request, in units of a typical request, less one. Where speeds are not known
/// to differ, that is the number of requests there.
double
UpstreamChooser::ExpectedWork(const RelayUpstream& aUpstream,
                              const UpstreamQuery& aQuery,
                              double aTypicalPrompt,
                              TimePoint aNow) const
{
  const UpstreamWork work = mLoads->Work(aUpstream.mId);
  const double factor = mSpeeds->FactorOf(aUpstream.mId, aNow);
  const double unaccounted = mLoads->UnaccountedRequests(aUpstream.mId, aNow);
  if (aTypicalPrompt == 0) {
    return (work.mRequests + unaccounted + 1) * factor - 1;
  }
  const double tokens =
    static_cast<double>(work.mTokens + aQuery.mPromptTokens);
  return (tokens / aTypicalPrompt + unaccounted) * factor - 1;
}

double
UpstreamChooser::Score(const RelayUpstream& aUpstream,
                       const UpstreamQuery& aQuery,
                       double aTypicalPrompt,
                       TimePoint aNow) const
{
  double score = ExpectedWork(aUpstream, aQuery, aTypicalPrompt, aNow);
  if (aUpstream.mZone != aQuery.mZone) {
    score += aUpstream.mStage == RelayStage::Plain
               ? mSettings.mPlainZonePreference
               : mSettings.mEngineZonePreference;
  }
  const bool isElsewhereAtHome = !mHomeEngines.empty() &&
                                 aUpstream.mStage != RelayStage::Plain &&
                                 mHomeEngines.count(aUpstream.mId) == 0;
  if (isElsewhereAtHome) {
    score += mSettings.mHomePreference;
  }
  score += mSettings.mFailureWeight *
           mLoads->Outcomes().FailureRate(aUpstream.mId, aNow);
  if (mUpstreamList->IsMissing(aUpstream.mId)) {
    score += mSettings.mMissingPenalty;
  }
  return score;
}

} // namespace peridothoist
