/// What the shell reports back for the commands of the core.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// How a call to an upstream ended.
enum class CallEnd
{
  Whole,        ///< A whole answer came; see the status.
  NotConnected, ///< No connection; nothing was sent.
  Withheld,     ///< MayStillSend() said no; nothing was sent.
  TimedOut,     ///< No whole answer in time.
  Broken,       ///< Closed or reset before the answer was whole.
  Cancelled     ///< Ended by the shell.
};

const char*
ToName(CallEnd aEnd);

/// The part that all answers share.
struct CallOutcome
{
  CallEnd mEnd = CallEnd::Whole;
  bool mMayHaveBeenSent = true; ///< True from the first byte sent on.
  int mStatus = 0;              ///< 0: no status line came.

  /// A whole answer of a 2xx status.
  bool Ok() const
  {
    return mEnd == CallEnd::Whole && mStatus >= 200 && mStatus < 300;
  }
};

/// Answer to Reserve: 201, or 409 when the engine is full.
struct ReserveAnswer
{
  CallOutcome mCall;
  std::optional<std::uint32_t> mFreePieces; ///< As the engine stated it.
};

/// Answer to Prefill: 200, or 429 when its queue is full.
struct PrefillAnswer
{
  CallOutcome mCall;
  std::string mKv; ///< Handle of the result.
  std::uint64_t mBytes = 0;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mCachedTokens = 0;
  Duration mExpiresIn{ 0 };
};

/// Answer to Import: 200, 409 no reservation, 410 expired, 503 link busy.
struct ImportAnswer
{
  CallOutcome mCall;
  std::uint64_t mBytes = 0;
};

/// End of a Decode stream.
struct DecodeEnd
{
  CallOutcome mCall;
  bool mDone = false;        ///< The final event came.
  std::string mFinishReason; ///< From the final event.
  std::uint32_t mTokens = 0; ///< From the final event: index after the last.
};

/// Answer of a plain service, whole or failed.
struct PlainAnswer
{
  CallOutcome mCall;
  std::string mBody;
  std::map<std::string, std::string> mHeaders;
};

/// What the table service said to a claim.
enum class ClaimAnswerKind
{
  Inserted,        ///< The row is ours, also when a lost answer was settled so.
  ExistsSame,      ///< Another attempt's row, same body.
  ExistsOtherBody, ///< The key was used with another body.
  Unreachable,     ///< The row was not written, for certain.
  Unsettled        ///< The row may be ours; the shell gave up finding out.
};

/// An outcome as kept in the row.
struct KeptOutcome
{
  int mStatus = 200;
  std::string mBody;
  std::map<std::string, std::string> mHeaders;
};

/// Answer to InsertClaim. A row whose state is "not run" is taken over by the
/// same conditional write, and counts as Inserted.
struct ClaimAnswer
{
  ClaimAnswerKind mKind = ClaimAnswerKind::Unreachable;
  std::uint64_t mRowVersion = 0;    ///< With Inserted: the row's version.
  std::optional<KeptOutcome> mKept; ///< With ExistsSame: the outcome, if kept.
};

/// What an upstream said of its load.
struct LoadReport
{
  std::uint32_t mFreePieces = 0;
  std::uint32_t mTotalPieces = 0; ///< 0: not stated.
  std::uint32_t mRunning = 0;
  std::uint32_t mQueued = 0;
  Duration mMeasuredAgo{ 0 };
};

/// How an upstream was lost.
enum class DeathKind
{
  Crashed,    ///< Its host answers and the process is gone.
  Unreachable ///< Silent: its host or the network is gone.
};

const char*
ToName(DeathKind aKind);

} // namespace peridothoist
