/// What the core keeps of one request and of its attempts.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/RunVerdict.h>
#include <Peridothoist/Queueing/RequestQueue.h>
#include <Peridothoist/Request/Arrival.h>
#include <Peridothoist/Request/AttemptStep.h>
#include <Peridothoist/Request/Refusal.h>
#include <Peridothoist/Routing/UpstreamState.h>

namespace peridothoist {

/// What an attempt has at one upstream.
struct AttemptPlace
{
  std::string mUpstream; ///< Empty: none.
  std::string mAddress;
  bool mMayHold = false;  ///< Something may have to be freed there.
  bool mCallOpen = false; ///< A call is on its way; a cancel may overtake it.
};

/// One try at a request.
struct Attempt
{
  std::uint32_t mNumber = 0; ///< From 1; never used twice for a request.
  const AttemptPlan* mPlan = nullptr;
  std::size_t mStep = 0; ///< Index into mPlan.
  AttemptPlace mPrefill;
  AttemptPlace mDecode; ///< The decode engine, or the plain service.
  bool mIsolated = false;
  bool mHedge = false;
  bool mSent = false;      ///< Content may have left.
  bool mPrefilled = false; ///< A prefill was done and not yet decoded from.
  std::string mKv;
  TimePoint mKvExpiresAt;
  TimePoint mStartedAt;
  TimePoint mLastTokenAt;
  std::uint32_t mResumeFrom = 0; ///< First index that it generates.

  AttemptStep Step() const { return (*mPlan)[mStep]; }
};

/// Where a request stands.
enum class RequestPhase
{
  Claiming, ///< Waits for the table service.
  Waiting,  ///< Waits for an upstream.
  Running,  ///< Has an attempt.
  Late,     ///< Its caller has the final answer or is gone; an outcome or a
            ///< claim is still open.
  Over      ///< Nothing is open.
};

constexpr std::size_t kRequestPhases = 5; ///< Count of RequestPhase.

/// The state of its idempotency key's row.
enum class ClaimState
{
  None,  ///< No claim is needed.
  Asked, ///< The answer is open.
  Held,  ///< The row is ours, and its outcome is not written yet.
  Closed ///< Its outcome is written, or the row is not ours.
};

/// One request.
struct RequestState
{
  Arrival mArrival;
  std::string mDigest; ///< Of workspace, route and body.
  std::string mPool;   ///< Key of the queue that it waits in.
  RequestPhase mPhase = RequestPhase::Claiming;
  RunVerdictTracker mVerdict;
  TimePoint mDeadline; ///< For the first byte of an answer.

  // Claim
  ClaimState mClaim = ClaimState::None;
  std::uint64_t mRowVersion = 0;

  // Queue
  QueueItem mItem;
  std::uint32_t mPieces = 0;

  // Attempts
  std::vector<Attempt> mAttempts; ///< The open ones.
  std::uint32_t mNextAttempt = 1;
  std::uint32_t mTries = 0; ///< Attempts that count against the limit.
  bool mSent = false;       ///< Content may have left with some attempt.
  bool mDispatched = false; ///< Had an attempt; counted as fresh once.
  std::optional<RefusalKind> mWithheldFor; ///< Why the gate withheld it last.

  // Answer
  bool mCallerGone = false;
  bool mHeadSent = false;
  bool mAnswered = false;    ///< Invariant: set once, with the final command.
  std::uint32_t mTokens = 0; ///< Received; the next index wanted.
  std::string mText;         ///< Received so far.
  std::uint32_t mPromptTokens = 0; ///< As counted by the engine.

  /// Null when the attempt is over.
  Attempt* FindAttempt(std::uint32_t aNumber)
  {
    for (Attempt& it : mAttempts) {
      if (it.mNumber == aNumber) {
        return &it;
      }
    }
    return nullptr;
  }

  bool IsPlain() const { return !mArrival.mRoute->mPlainPool.empty(); }
  bool IsIdempotent() const { return mArrival.mRoute->mIdempotent; }
  AttemptKey Key(const Attempt& aAttempt) const
  {
    return { mArrival.mId, aAttempt.mNumber };
  }
};

} // namespace peridothoist
