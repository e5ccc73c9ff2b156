#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/UpstreamChoice.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace peridothoist {

const char*
ToName(NoChoice aReason)
{
  static constexpr std::array<const char*, 3> kNames = { "none",
                                                         "no_upstream",
                                                         "full" };
  return kNames[static_cast<std::size_t>(aReason)];
}

UpstreamChooser::UpstreamChooser(const Settings& aSettings,
                                 const UpstreamRoster* aRoster,
                                 const LoadBoard* aLoads,
                                 Random* aRandom)
  : mSettings(aSettings)
  , mRoster(aRoster)
  , mLoads(aLoads)
  , mRandom(aRandom)
{
}

Choice
UpstreamChooser::Choose(const ChoiceQuestion& aQuestion, TimePoint aNow)
{
  Choice best;
  Choice bestAvoided;
  bool anyFull = false;
  bool anySound = false;
  std::uint64_t ties = 0;
  for (const auto& [id, entry] : mRoster->All()) {
    const RelayUpstream& upstream = entry.mUpstream;
    const bool fits = upstream.mService == aQuestion.mService &&
                      upstream.mStage == aQuestion.mStage &&
                      !upstream.mLeaving && aQuestion.mExcluded.count(id) == 0;
    if (!fits) {
      continue;
    }
    const bool avoided = mLoads->IsAvoided(id, aNow);
    anySound = anySound || !avoided;
    if (IsFull(upstream, aQuestion, aNow)) {
      anyFull = true;
      continue;
    }
    const double spread =
      mSettings.mSpreadPerSecond * mLoads->NewsAgeSeconds() * mRandom->Unit();
    const double score = Score(upstream, aQuestion, aNow) + spread;
    Choice& place = avoided ? bestAvoided : best;
    if (place.mUpstream == nullptr || score < place.mScore) {
      place = { &upstream, NoChoice::None, score };
      ties = 1;
    } else if (score == place.mScore && mRandom->Below(++ties) == 0) {
      place.mUpstream = &upstream;
    }
  }
  if (best.mUpstream != nullptr) {
    return best;
  }
  // One that failed may have recovered; but while sound ones are only full,
  // waiting for them is better than work lost at a dead one.
  if (bestAvoided.mUpstream != nullptr && !anySound) {
    return bestAvoided;
  }
  return { nullptr, anyFull ? NoChoice::Full : NoChoice::NoUpstream, 0 };
}

/// How many such requests one upstream has room for.
double
UpstreamChooser::RoomAt(const RelayUpstream& aUpstream,
                        const ChoiceQuestion& aQuestion,
                        TimePoint aNow) const
{
  UpstreamWork work = mLoads->Work(aUpstream.mId);
  // What it runs beyond all that is known, as after VMs or links were lost.
  const std::uint32_t beyond = mLoads->StatedBeyond(aUpstream.mId, aNow);
  work += { beyond, beyond * aQuestion.mTokens };
  const double slots = aUpstream.mStage == RelayStage::Plain
                         ? mSettings.mPlainFullness * aUpstream.mSlots
                         : aUpstream.mSlots;
  const double bySlots = slots - work.mRequests;
  const bool counted = aQuestion.mMemoryTokens > 0 && aQuestion.mTokens > 0 &&
                       aUpstream.mStage == RelayStage::Decode;
  if (!counted || bySlots < 1) {
    return bySlots;
  }
  const double fullness = mSettings.mEngineFullness -
                          mSettings.mFreePerSecond * mLoads->NewsAgeSeconds();
  const double limit = fullness * static_cast<double>(aQuestion.mMemoryTokens);
  const double byMemory = (limit - static_cast<double>(work.mTokens)) /
                          static_cast<double>(aQuestion.mTokens);
  // An empty engine takes a request of any size that it can hold at all.
  return work.mRequests == 0 ? std::max(1.0, byMemory)
                             : std::min(bySlots, byMemory);
}

bool
UpstreamChooser::IsFull(const RelayUpstream& aUpstream,
                        const ChoiceQuestion& aQuestion,
                        TimePoint aNow) const
{
  return RoomAt(aUpstream, aQuestion, aNow) < 1;
}

double
UpstreamChooser::RoomFor(const ChoiceQuestion& aQuestion, TimePoint aNow) const
{
  double room = 0;
  for (const auto& [id, entry] : mRoster->All()) {
    const RelayUpstream& upstream = entry.mUpstream;
    const bool fits = upstream.mService == aQuestion.mService &&
                      upstream.mStage == aQuestion.mStage &&
                      !upstream.mLeaving && !mLoads->IsAvoided(id, aNow);
    if (fits) {
      room += std::max(0.0, std::floor(RoomAt(upstream, aQuestion, aNow)));
    }
  }
  return room;
}

double
UpstreamChooser::Score(const RelayUpstream& aUpstream,
                       const ChoiceQuestion& aQuestion,
                       TimePoint aNow) const
{
  double score = mLoads->Work(aUpstream.mId).mRequests +
                 mLoads->StatedBeyond(aUpstream.mId, aNow);
  if (aUpstream.mZone != aQuestion.mZone) {
    score += aUpstream.mStage == RelayStage::Plain ? mSettings.mPlainZoneWorth
                                                   : mSettings.mEngineZoneWorth;
  }
  score += mSettings.mFailureWeight *
           mLoads->Outcomes().FailureRate(aUpstream.mId, aNow);
  if (mRoster->IsLapsed(aUpstream.mId)) {
    score += mSettings.mLapsedPenalty;
  }
  return score;
}

} // namespace peridothoist
