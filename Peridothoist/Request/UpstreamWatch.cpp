#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/UpstreamWatch.h>

#include <algorithm>
#include <set>

namespace peridothoist {

namespace {

/// A report that comes sooner after a break may have left before it.
constexpr Duration kSignOfLifeDelay = 100ms;

/// What such an upstream does is no evidence against requests.
bool
IsExpectedToStop(const UpstreamState& aUpstream)
{
  return aUpstream.mConfig.mLeaving || !aUpstream.mListed;
}

} // namespace

void
UpstreamWatch::OnBroken(const std::string& aUpstream,
                        const std::string& aDigest)
{
  UpstreamState* upstream = mContext.mUpstreams.Find(aUpstream);
  if (upstream == nullptr || upstream->mDead || IsExpectedToStop(*upstream)) {
    return;
  }
  mBreaks[aUpstream].push_back({ aDigest, mContext.mNow });
  upstream->mDoubtfulUntil = mContext.mNow + mContext.mSettings.mDeathWindow;
  mContext.mSuspects.OnBroken(aDigest, upstream->mDoubtfulUntil, mContext.mNow);
  mContext.mTimers.Add(upstream->mDoubtfulUntil, { TimerKind::Pump, 0, 0 });
}

void
UpstreamWatch::OnReport(const std::string& aUpstream, const LoadReport& aReport)
{
  UpstreamState* upstream = mContext.mUpstreams.Find(aUpstream);
  if (upstream == nullptr) {
    return;
  }
  upstream->OnReport(aReport, mContext.mNow);
  mContext.mPumpWanted = true;
  OnSignOfLife(*upstream);
}

void
UpstreamWatch::OnSignOfLife(UpstreamState& aUpstream)
{
  const auto it = mBreaks.find(aUpstream.mConfig.mName);
  if (it == mBreaks.end() || aUpstream.mDead) {
    return;
  }
  if (mContext.mNow - it->second.back().mAt < kSignOfLifeDelay) {
    return;
  }
  for (const Break& each : it->second) {
    mContext.mSuspects.OnBreakDecided(each.mDigest, false);
  }
  mBreaks.erase(it);
  aUpstream.mDoubtfulUntil = mContext.mNow;
  mContext.mPumpWanted = true;
}

std::vector<std::string>
UpstreamWatch::Blamed(const UpstreamState& aUpstream)
{
  if (IsExpectedToStop(aUpstream)) {
    return {};
  }
  std::set<std::string> present;
  for (const auto& [key, presence] : aUpstream.Present()) {
    if (presence.mExecuting) {
      present.insert(presence.mDigest);
    }
  }
  for (const Break& it : mBreaks[aUpstream.mConfig.mName]) {
    if (mContext.mNow - it.mAt <= mContext.mSettings.mDeathWindow) {
      present.insert(it.mDigest);
    }
  }
  return std::vector<std::string>(present.begin(), present.end());
}

std::vector<std::string>
UpstreamWatch::OnDead(const std::string& aUpstream, DeathKind aKind)
{
  UpstreamState* upstream = mContext.mUpstreams.Find(aUpstream);
  if (upstream == nullptr || upstream->mDead) {
    return {};
  }
  ++mContext.mCounters.mUpstreamDeaths;
  upstream->mDead = true;
  upstream->mDoubtfulUntil = mContext.mNow;
  mContext.mPumpWanted = true;
  std::vector<std::string> quarantined;
  const bool crashed = aKind == DeathKind::Crashed;
  for (const Break& it : mBreaks[aUpstream]) {
    mContext.mSuspects.OnBreakDecided(it.mDigest, crashed);
  }
  if (crashed) {
    quarantined = mContext.mSuspects.OnCrash(Blamed(*upstream), mContext.mNow);
  }
  mBreaks.erase(aUpstream);
  EndAttempts(*upstream, crashed);
  return quarantined;
}

void
UpstreamWatch::EndAttempts(UpstreamState& aUpstream, bool aGone)
{
  std::vector<AttemptKey> keys;
  for (const auto& [key, presence] : aUpstream.Present()) {
    keys.push_back(key);
  }
  for (const AttemptKey& key : keys) {
    RequestState* request = mContext.Find(key.mId);
    if (request == nullptr) {
      continue;
    }
    // What must not repeat keeps its call: its answer may still come.
    if (!aGone && !request->IsIdempotent() && request->mSent) {
      continue;
    }
    mAttempts.OnUpstreamLost(
      *request, key.mAttempt, aUpstream.mConfig.mName, aGone);
  }
}

void
UpstreamWatch::OnAlive(const std::string& aUpstream)
{
  UpstreamState* upstream = mContext.mUpstreams.Find(aUpstream);
  if (upstream == nullptr) {
    return;
  }
  if (!upstream->mDead) {
    OnSignOfLife(*upstream);
    return;
  }
  upstream->mDead = false;
  upstream->mBackoffUntil = mContext.mNow;
  mContext.mPumpWanted = true;
  mContext.mCancels.Hurry(aUpstream, mContext.mNow, *mContext.mOut);
}

} // namespace peridothoist
