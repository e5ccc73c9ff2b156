/// The part of RelayStateMachine that finds the contents that crash upstreams,
/// and keeps requests with them from being sent.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayStateMachine.h>

#include <xxhash.h>

#include <algorithm>

namespace peridothoist {

namespace {

/// Minimum time between two notes that a stream excuses its prompt's parts.
constexpr Duration kExcuseInterval = 200ms;

std::uint64_t
DigestOf(const std::string& aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

std::vector<std::string>
PartKeys(const AdmittedRequest& aRequest)
{
  std::vector<std::string> keys;
  for (const std::string& part : aRequest.mSharedPromptParts) {
    keys.push_back(PromptPartKey(aRequest.mService, part));
  }
  return keys;
}

} // namespace

RequestContents
RelayStateMachine::ContentsOf(const AdmittedRequest& aRequest)
{
  RequestContents contents;
  contents.mKeys = PartKeys(aRequest);
  contents.mKeys.push_back(aRequest.mDigest);
  contents.mWorkspace = DigestOf(aRequest.mWorkspace);
  return contents;
}

/// Returns whether the request must not be sent to an upstream. Of requests on
/// trial, each VM lets through its share at random, so that about one in the
/// fleet is sent.
bool
RelayStateMachine::IsQuarantined(State& aState, TimePoint aNow)
{
  const ContentVerdict verdict = mCrashEvidence.Check(aState.mContents, aNow);
  if (verdict != ContentVerdict::OnTrial) {
    return verdict == ContentVerdict::Quarantined;
  }
  if (!aState.mIsOnTrial) {
    aState.mIsOnTrial = mRandom->UniformBelow(mVmCount) == 0;
    mCounters.mTrials += *aState.mIsOnTrial ? 1 : 0;
  }
  return !*aState.mIsOnTrial;
}

/// Refuses the waiting requests that became quarantined.
void
RelayStateMachine::RefuseQuarantined()
{
  if (mCrashEvidence.IsEmpty()) {
    return;
  }
  const auto waiting = mWaiting;
  for (const auto& entry : waiting) {
    State* state = Find(entry.second);
    if (state != nullptr && !state->mCall && IsQuarantined(*state, mNow)) {
      Refuse(*state, RefusalKind::Quarantined);
    }
  }
}

/// Returns whether the upstream had just begun to send the stream, so that its
/// content may be what brought the upstream down.
bool
RelayStateMachine::HasJustBegun(const Call& aCall) const
{
  return !aCall.mHasEvent ||
         mNow - aCall.mFirstEventAt < mSettings.mSoundWritingTime;
}

/// Records a call that broke, and checks its upstream: until a crash is known
/// there, nothing tells that the request may have caused it.
void
RelayStateMachine::OnCallBroken(const State& aState, const Call& aCall)
{
  ++mCounters.mBroken;
  const RelayUpstream* upstream = mUpstreamList.Find(aCall.mUpstream);
  if (upstream != nullptr && upstream->mIsLeaving) {
    return;
  }
  BrokenCall broken;
  broken.mProcess =
    DigestOf(aCall.mUpstream + '/' + std::to_string(aCall.mIncarnationId));
  if (HasJustBegun(aCall)) {
    broken.mContents = PartKeys(aState.mRequest);
  }
  broken.mContents.push_back(aState.mRequest.mDigest);
  broken.mWorkspace = aState.mContents.mWorkspace;
  broken.mStartedAt = aCall.mStartedAt;
  broken.mBrokenAt = mNow;
  const bool needsCheck = mBrokenCalls.OnCallBroken(
    aCall.mUpstream, std::move(broken), mSettings.mUpstreamCheckInterval);
  if (needsCheck) {
    StartCheck(aCall.mUpstream, aCall.mAddress, ChooseTunnel(aState));
  }
}

/// Called when an upstream is gone without having announced that it leaves.
void
RelayStateMachine::OnUpstreamLost(const std::string& aUpstream)
{
  for (const BrokenCall& call : mBrokenCalls.OnLost(aUpstream, mNow)) {
    for (const std::string& content : call.mContents) {
      const CrashSighting sighting{ call.mProcess,
                                    call.mWorkspace,
                                    call.mBrokenAt,
                                    call.mBrokenAt - call.mStartedAt,
                                    false };
      mCrashEvidence.OnCrash(content, sighting, mNow);
    }
  }
}

/// Called with each event of a stream: one that has been sent for a while
/// excuses the parts of its prompt.
void
RelayStateMachine::ExcusePartsOf(const State& aState, Call& aCall)
{
  const bool isDue =
    !HasJustBegun(aCall) && mNow >= aCall.mPartsExcusedAt + kExcuseInterval;
  if (mCrashEvidence.IsEmpty() || !isDue) {
    return;
  }
  aCall.mPartsExcusedAt = mNow;
  for (const std::string& key : PartKeys(aState.mRequest)) {
    mCrashEvidence.OnSoundRun(key, mNow);
  }
}

/// Called when a request ran to its end.
void
RelayStateMachine::ExcuseContentsOf(const State& aState)
{
  for (const std::string& key : aState.mContents.mKeys) {
    mCrashEvidence.OnSoundRun(key, mNow);
  }
}

} // namespace peridothoist
