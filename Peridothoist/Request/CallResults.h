/// Results of the core's commands and reports about upstreams, as the shell
/// passes them to the core.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// How a call to an upstream ended.
enum class CallEnd
{
  Whole,        ///< A complete response was received; see mStatus.
  NotConnected, ///< The connection failed; nothing was sent.
  Withheld,     ///< MayStillSend() returned false; nothing was sent.
  TimedOut,     ///< No complete response was received in time.
  Broken,       ///< Closed or reset before the response was complete.
  Cancelled     ///< Cancelled by the shell.
};

const char*
ToName(CallEnd aEnd);

/// How a call ended: the part that all results have in common.
struct CallResult
{
  CallEnd mEnd = CallEnd::Whole;
  bool mMayHaveBeenSent = true; ///< True once the first byte was sent.
  int mStatus = 0;              ///< HTTP status; 0: none was received.

  /// Returns whether a complete response with a 2xx status was received.
  bool IsSuccess() const
  {
    return mEnd == CallEnd::Whole && mStatus >= 200 && mStatus < 300;
  }
};

/// Result of Reserve: 201, or 409 when the engine has no free memory.
struct ReserveResult
{
  CallResult mCall;
  std::optional<std::uint32_t> mFreePieces; ///< As stated by the engine.
};

/// Result of Prefill: 200, or 429 when the engine's queue is full.
struct PrefillResult
{
  CallResult mCall;
  std::string mKvHandle;           ///< Handle of the prefill result.
  std::uint64_t mBytes = 0;        ///< Size of the prefill result.
  std::uint32_t mPromptTokens = 0; ///< As counted by the engine.
  std::uint32_t mCachedTokens = 0; ///< Prompt tokens found in its cache.
  Duration mExpiresIn{ 0 }; ///< Remaining lifetime of the prefill result.
};

/// Result of Import: 200; 409 when there is no reservation, 410 when the
/// prefill result has expired, 503 when the link is busy.
struct ImportResult
{
  CallResult mCall;
  std::uint64_t mBytes = 0; ///< Number of bytes transferred.
};

/// Result of a Decode stream.
struct DecodeResult
{
  CallResult mCall;
  bool mDone = false;        ///< The final event was received.
  std::string mFinishReason; ///< From the final event.
  std::uint32_t mTokens = 0; ///< From the final event: number of tokens in
                             ///< the whole completion.
};

/// Result of a call to a plain service, complete or failed.
struct PlainResult
{
  CallResult mCall;
  std::string mBody;
  std::map<std::string, std::string> mHeaders;
};

/// How the table service replied to a claim.
enum class ClaimResultKind
{
  Inserted,        ///< The row belongs to this claim. Also reported when the
                   ///< response was lost and a later read found the row.
  ExistsSame,      ///< The row belongs to another request that has the same
                   ///< idempotency key and body.
  ExistsOtherBody, ///< The idempotency key was used with another body.
  Unreachable,     ///< The row was certainly not written.
  Indeterminate    ///< Unknown whether the row was written: the shell stopped
                   ///< retrying before it found out.
};

/// The outcome of a request as stored in its claim row.
struct StoredOutcome
{
  int mStatus = 200;
  std::string mBody;
  std::map<std::string, std::string> mHeaders;
};

/// Result of InsertClaim. A row of an earlier request whose state is "not run"
/// is taken over by the same conditional write, which is reported as Inserted.
struct ClaimResult
{
  ClaimResultKind mKind = ClaimResultKind::Unreachable;
  std::uint64_t mRowVersion = 0; ///< With Inserted: version of the row.
  std::optional<StoredOutcome>
    mStoredOutcome; ///< With ExistsSame: the outcome, if stored.
};

/// The load that an upstream has reported.
struct LoadReport
{
  std::uint32_t mFreePieces = 0;
  std::uint32_t mTotalPieces = 0; ///< 0: not stated.
  std::uint32_t mRunning = 0;     ///< Running requests.
  std::uint32_t mQueued = 0;      ///< Queued requests.
  Duration mMeasuredAgo{ 0 };     ///< Age of the measurement.
};

/// How an upstream failed.
enum class DeathKind
{
  Crashed,    ///< Its host responds, but its process is gone.
  Unreachable ///< No response: its host or the network has failed.
};

const char*
ToName(DeathKind aKind);

} // namespace peridothoist
