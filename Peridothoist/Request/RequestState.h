/// State of one request and its attempts.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/RunVerdict.h>
#include <Peridothoist/Queueing/RequestQueue.h>
#include <Peridothoist/Request/Arrival.h>
#include <Peridothoist/Request/AttemptStep.h>
#include <Peridothoist/Request/Refusal.h>
#include <Peridothoist/Routing/UpstreamState.h>

namespace peridothoist {

/// State of an attempt at one upstream.
struct AttemptUpstream
{
  std::string mUpstream; ///< Empty: none.
  std::string mAddress;
  bool mMayHoldResources = false; ///< Resources there may have to be released.
  bool mIsCallOpen = false;       ///< A call is open; a cancel may overtake it.
};

/// One attempt to run a request.
struct Attempt
{
  std::uint32_t mNumber = 0; ///< From 1; never reused within a request.
  const AttemptPlan* mPlan = nullptr;
  std::size_t mStep = 0; ///< Index into mPlan.
  AttemptUpstream mPrefill;
  AttemptUpstream mDecode;        ///< The decode engine, or the plain service.
  bool mIsIsolated = false;       ///< Runs alone on its upstreams.
  bool mIsHedge = false;          ///< Second attempt beside a running one.
  bool mMayHaveBeenSent = false;  ///< Content may have been sent.
  bool mHasUnusedPrefill = false; ///< A prefill has finished, but no
                                  ///< token was decoded from it yet.
  std::string mKvHandle;          ///< Handle of the prefill result.
  TimePoint mKvExpiresAt;
  TimePoint mStartedAt;
  TimePoint mLastTokenAt;
  std::uint32_t mResumeFrom = 0; ///< Index of the first token it generates.

  AttemptStep Step() const { return (*mPlan)[mStep]; }
};

/// Phases of a request.
enum class RequestPhase
{
  Claiming, ///< Waits for the table service.
  Waiting,  ///< Waits for an upstream.
  Running,  ///< Has an attempt.
  Closing,  ///< Its caller has the final response or is gone, but an attempt
            ///< or a claim is still open.
  Closed    ///< Nothing is open.
};

constexpr std::size_t kRequestPhases = 5; ///< Count of RequestPhase.

/// State of the row that claims the request's idempotency key.
enum class ClaimState
{
  None,    ///< No claim is needed.
  Pending, ///< Sent; no result yet.
  Held,  ///< The row belongs to this request, or may do so (Indeterminate); no
         ///< outcome is written yet.
  Closed ///< Its outcome is written, or the row belongs to another request.
};

/// State of one request.
struct RequestState
{
  Arrival mArrival;
  std::string mDigest;   ///< Identifies workspace, route and body.
  std::string mQueueKey; ///< Identifies the queue it waits in, by its pools.
  RequestPhase mPhase = RequestPhase::Claiming;
  RunVerdictTracker mVerdict;
  TimePoint mDeadline; ///< For the first byte of the response.

  // Claim
  ClaimState mClaim = ClaimState::None;
  std::uint64_t mRowVersion = 0;

  // Queue
  QueueItem mQueueItem;
  std::uint32_t mPieces = 0; ///< Estimated decode memory.

  // Attempts
  std::vector<Attempt> mAttempts;     ///< The open attempts.
  std::uint32_t mNextAttempt = 1;     ///< Number of the next attempt.
  std::uint32_t mCountedAttempts = 0; ///< Counted against the limit.
  bool mMayHaveBeenSent = false; ///< Content may have been sent by any attempt.
  bool mWasDispatched = false;   ///< Had an attempt, and was counted as a
                                 ///< first dispatch by the retry budget.
  /// Why content was last withheld.
  std::optional<RefusalKind> mWithheldReason;

  // Response
  bool mIsCallerGone = false;
  bool mHeadSent = false; ///< The response head was sent.
  /// Invariant: set once, with the final command.
  bool mFinalResponseSent = false;
  std::uint32_t mTokens = 0;       ///< Number of tokens received.
  std::string mText;               ///< Text received so far.
  std::uint32_t mPromptTokens = 0; ///< As counted by the engine.

  /// Returns an open attempt; null if it has ended.
  Attempt* FindAttempt(std::uint32_t aNumber)
  {
    for (Attempt& it : mAttempts) {
      if (it.mNumber == aNumber) {
        return &it;
      }
    }
    return nullptr;
  }

  /// Returns whether the route leads to a plain service.
  bool IsPlain() const { return !mArrival.mRoute->mPlainPool.empty(); }
  bool IsIdempotent() const { return mArrival.mRoute->mIsIdempotent; }
  AttemptKey Key(const Attempt& aAttempt) const
  {
    return { mArrival.mId, aAttempt.mNumber };
  }
};

} // namespace peridothoist
