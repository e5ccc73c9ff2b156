#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/UpstreamHealthTracker.h>

#include <algorithm>
#include <set>

namespace peridothoist {

namespace {

/// A report received sooner after a broken call may have been sent before the
/// call broke, and is no evidence that the upstream is still running.
constexpr Duration kMinTimeSinceBrokenCall = 100ms;

/// Returns whether the upstream is expected to stop. Its failure is then no
/// evidence against the requests that ran there.
bool
IsExpectedToStop(const UpstreamState& aUpstream)
{
  return aUpstream.mConfig.mIsLeaving || !aUpstream.mListed;
}

} // namespace

void
UpstreamHealthTracker::OnCallBroken(const std::string& aUpstream,
                                    const std::string& aDigest)
{
  UpstreamState* upstream = mContext.mUpstreams.Find(aUpstream);
  if (upstream == nullptr || upstream->mDead || IsExpectedToStop(*upstream)) {
    return;
  }
  mBrokenCalls[aUpstream].push_back({ aDigest, mContext.mNow });
  upstream->mLivenessUnknownUntil =
    mContext.mNow + mContext.mSettings.mCrashEvidenceWindow;
  mContext.mSuspects.OnCallBroken(
    aDigest, upstream->mLivenessUnknownUntil, mContext.mNow);
  mContext.mTimers.Add(upstream->mLivenessUnknownUntil,
                       { TimerKind::Dispatch, 0, 0 });
}

void
UpstreamHealthTracker::OnLoadReport(const std::string& aUpstream,
                                    const LoadReport& aReport)
{
  UpstreamState* upstream = mContext.mUpstreams.Find(aUpstream);
  if (upstream == nullptr) {
    return;
  }
  upstream->OnReport(aReport, mContext.mNow);
  mContext.mDispatchNeeded = true;
  OnConfirmedAlive(*upstream);
}

void
UpstreamHealthTracker::OnConfirmedAlive(UpstreamState& aUpstream)
{
  const auto it = mBrokenCalls.find(aUpstream.mConfig.mName);
  if (it == mBrokenCalls.end() || aUpstream.mDead) {
    return;
  }
  if (mContext.mNow - it->second.back().mAt < kMinTimeSinceBrokenCall) {
    return;
  }
  for (const BrokenCall& each : it->second) {
    mContext.mSuspects.OnBreakResolved(each.mDigest, false);
  }
  mBrokenCalls.erase(it);
  aUpstream.mLivenessUnknownUntil = mContext.mNow;
  mContext.mDispatchNeeded = true;
}

std::vector<std::string>
UpstreamHealthTracker::FindPresentDigests(const UpstreamState& aUpstream)
{
  if (IsExpectedToStop(aUpstream)) {
    return {};
  }
  std::set<std::string> present;
  for (const auto& [key, usage] : aUpstream.Attempts()) {
    if (usage.mExecuting) {
      present.insert(usage.mDigest);
    }
  }
  for (const BrokenCall& it : mBrokenCalls[aUpstream.mConfig.mName]) {
    if (mContext.mNow - it.mAt <= mContext.mSettings.mCrashEvidenceWindow) {
      present.insert(it.mDigest);
    }
  }
  return std::vector<std::string>(present.begin(), present.end());
}

std::vector<std::string>
UpstreamHealthTracker::OnDead(const std::string& aUpstream, DeathKind aKind)
{
  UpstreamState* upstream = mContext.mUpstreams.Find(aUpstream);
  if (upstream == nullptr || upstream->mDead) {
    return {};
  }
  ++mContext.mCounters.mUpstreamDeaths;
  upstream->mDead = true;
  upstream->mLivenessUnknownUntil = mContext.mNow;
  mContext.mDispatchNeeded = true;
  std::vector<std::string> quarantined;
  const bool isCrash = aKind == DeathKind::Crashed;
  for (const BrokenCall& it : mBrokenCalls[aUpstream]) {
    mContext.mSuspects.OnBreakResolved(it.mDigest, isCrash);
  }
  if (isCrash) {
    quarantined =
      mContext.mSuspects.OnCrash(FindPresentDigests(*upstream), mContext.mNow);
  }
  mBrokenCalls.erase(aUpstream);
  EndAttempts(*upstream, isCrash);
  return quarantined;
}

void
UpstreamHealthTracker::EndAttempts(UpstreamState& aUpstream, bool aCrashed)
{
  std::vector<AttemptKey> keys;
  for (const auto& [key, usage] : aUpstream.Attempts()) {
    keys.push_back(key);
  }
  for (const AttemptKey& key : keys) {
    RequestState* request = mContext.Find(key.mId);
    if (request == nullptr) {
      continue;
    }
    // A request that must not run twice keeps its call while the upstream may
    // still run: its response may still be received.
    if (!aCrashed && !request->IsIdempotent() && request->mMayHaveBeenSent) {
      continue;
    }
    mAttempts.OnUpstreamLost(
      *request, key.mAttempt, aUpstream.mConfig.mName, aCrashed);
  }
}

void
UpstreamHealthTracker::OnAlive(const std::string& aUpstream)
{
  UpstreamState* upstream = mContext.mUpstreams.Find(aUpstream);
  if (upstream == nullptr) {
    return;
  }
  if (!upstream->mDead) {
    OnConfirmedAlive(*upstream);
    return;
  }
  upstream->mDead = false;
  upstream->mBackoffUntil = mContext.mNow;
  mContext.mDispatchNeeded = true;
  mContext.mCancels.ResendAll(aUpstream, mContext.mNow, *mContext.mCommands);
}

} // namespace peridothoist
