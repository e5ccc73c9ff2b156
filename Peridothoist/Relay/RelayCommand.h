/// The commands that RelayStateMachine issues to the shell, the code that does
/// all input and output, and the events that the shell reports back.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/UpstreamLoadTracker.h>
#include <Peridothoist/Relay/RelayConfiguration.h>
#include <Peridothoist/Relay/StreamOriginTable.h>
#include <Peridothoist/Relay/UpstreamList.h>
#include <Peridothoist/Request/CallResults.h>
#include <Peridothoist/Request/Refusal.h>

namespace peridothoist {

/// A request that passed admission. Its body stays in the shell.
struct AdmittedRequest
{
  std::uint64_t mId = 0; ///< Chosen by the shell; never reused.
  std::shared_ptr<const RelayRoute> mRoute; ///< Never null.
  std::string mService;   ///< The target that the route selected.
  std::string mWorkspace; ///< Empty on routes that are open to all.
  std::string mKey;       ///< Empty on routes that are open to all.
  std::string mDigest;    ///< Of method, target, workspace and body.
  /// Ids of the parts of its prompt that other requests may share.
  std::vector<std::string> mSharedPromptParts;
  double mCost = 0;          ///< Charged to the workspace's allowance.
  std::uint64_t mTokens = 0; ///< Prompt tokens plus maximum output.
  /// Estimated KV memory in tokens, near its start and at its end.
  std::uint64_t mMemoryTokens = 0;
  std::uint64_t mFinalMemoryTokens = 0;
  std::uint64_t mPromptTokens = 0; ///< 0: not stated.
  std::uint32_t mPriority = 5; ///< Among those of its service; 0 is highest.
  /// That of the workspace, or else of the route. Engines are told this one:
  /// they preempt streams for more urgent ones and read their prompts again.
  std::uint32_t mConfiguredPriority = 5;
  std::uint64_t mLastEventId = 0; ///< Last event the caller already has.
  /// The caller resumes a stream of an earlier attempt.
  bool mIsResumed = false;
  /// Key of the attempt that began the stream; empty: the caller resumes
  /// a stream without naming it.
  std::string mOriginKey;
  std::string mContentKey; ///< See: ContentKey.h. Empty: not resumable.
  TimePoint mArrivedAt;
  TimePoint mDeadline; ///< The caller's or the route's, the earlier one.
  Duration mCallerTimeout{ 0 }; ///< Total time that the caller waits.
};

/// Kinds of command.
enum class RelayCommandKind
{
  StartCall,          ///< Call an upstream; leads to OnEvent* and OnCallEnd.
  CancelCall,         ///< Close the call; it reports no further events.
  ReleaseHandle,      ///< Free a prefill result that will not be used.
  ReleaseReservation, ///< Free a reservation that will not be used.
  SendHead,           ///< Send the status and headers of a stream.
  SendEvent,          ///< Send one complete event of a stream.
  SendResponse,       ///< Send an upstream's complete response.
  SendRefusal,        ///< Send an error response of our own.
  EndStream,          ///< End the caller's stream as complete.
  AbortStream,        ///< End the caller's stream visibly incomplete.
  AnnounceOrigin,     ///< Tell other VMs where a stream began.
  FindOrigin,         ///< Ask other VMs; leads to OnOriginFound.
  /// Ask whether an upstream is gone; leads to OnUpstreamChecked. Concerns no
  /// request: mId is 0.
  CheckUpstream,
  Forget ///< The request is over; free its resources.
};

const char*
ToName(RelayCommandKind aKind);

/// Why a call was cancelled.
enum class CancelReason
{
  CallerGone,     ///< The caller disconnected.
  DeadlinePassed, ///< The request's deadline passed.
  Silent,         ///< The upstream sent nothing for too long.
  NotNeeded,      ///< Another call of the request succeeded.
  VmLeaves,       ///< This VM's process ends.
  NoContinuation  ///< The response does not continue the caller's stream.
};

constexpr std::size_t kCancelReasons = 6; ///< Count of CancelReason.

const char*
ToName(CancelReason aReason);

/// The purpose of a call to an upstream.
enum class RelayCallKind
{
  Whole,   ///< The response is not streamed.
  Prefill, ///< Reads the prompt; the response carries a handle.
  Stream,  ///< The response is a stream of events.
  Reserve  ///< Reserves a slot and memory at a decode engine.
};

/// Returns whether such a call makes the upstream run the request.
constexpr bool
RunsRequest(RelayCallKind aKind)
{
  return aKind == RelayCallKind::Whole || aKind == RelayCallKind::Stream;
}

const char*
ToName(RelayCallKind aKind);

/// An upstream's response as it is passed on to the caller.
struct RelayResponse
{
  int mStatus = 0;
  std::map<std::string, std::string> mHeaders; ///< Names in lower case.
  std::string mBody;                           ///< Empty for streams.
};

/// One command. Fields that its kind does not use have their defaults.
struct RelayCommand
{
  RelayCommandKind mKind = RelayCommandKind::Forget;
  std::uint64_t mId = 0;
  std::uint32_t mAttempt = 0; ///< From 1; identifies a call of the request.

  // StartCall, CancelCall, ReleaseHandle, ReleaseReservation, CheckUpstream
  std::string mUpstream; ///< Id.
  std::string mAddress;  ///< "ip:port".
  /// Address of the tunnel through which to call; empty: none.
  std::string mTunnel;
  RelayCallKind mCallKind = RelayCallKind::Whole;
  std::string mHandle;             ///< Prefill result to use or to free.
  std::string mHandleAddress;      ///< Of the engine that holds the result.
  std::string mReservation;        ///< Reservation to use or to free.
  std::uint64_t mMemoryTokens = 0; ///< Reserve: memory to reserve, in tokens.
  Duration mReservationLifetime{ 0 }; ///< Reserve: lifetime of the reservation.
  /// Stream: resume after this event; 0: from the start.
  std::uint64_t mLastEventId = 0;
  std::string mWorkspace;
  std::uint32_t mPriority = 5;
  Duration mTimeLeft{ 0 }; ///< StartCall: time until the deadline.
  CancelReason mCancelReason = CancelReason::CallerGone;
  Duration mSilence{ 0 }; ///< CancelCall: since the upstream last sent.

  std::string mOriginKey; ///< AnnounceOrigin, FindOrigin.
  /// AnnounceOrigin; Forget, for the log: empty if the stream has none.
  std::optional<StreamOrigin> mOrigin;

  // Responses to the caller
  RelayResponse mResponse;         ///< SendHead, SendResponse.
  std::string mEvent;              ///< SendEvent: as received.
  std::optional<Refusal> mRefusal; ///< SendRefusal; AbortStream, for the log.
};

using RelayCommands = std::vector<RelayCommand>;

/// The lowest status with which an upstream reports an error of its own.
constexpr int kServerErrorStatus = 500;

/// Returns whether the status tells a caller that its request was not run.
bool
ImpliesNotRun(int aStatus);

/// What a failed connection shows.
enum class NotReachedCause
{
  Upstream, ///< The upstream, or the path to it, if there was no tunnel.
  Tunnel,   ///< The VM that offers the tunnel.
  Refused   ///< That VM knows the upstream as one that takes no requests.
};

/// What a check of an upstream has shown.
enum class UpstreamCheck
{
  Alive,
  Gone,       ///< Another process has its address, or none.
  NotReached, ///< This VM could not connect to it.
  Unknown     ///< The tunnel for the check failed.
};

const char*
ToName(UpstreamCheck aCheck);

/// How a call ended.
struct RelayCallEnd
{
  /// Returns whether the upstream ran the request and gave a response that may
  /// be passed on and that no other upstream is likely to improve.
  bool IsResult() const
  {
    return mOutcome.mEnd == CallEnd::Whole && mIsVerified && !mNotRun &&
           mOutcome.mStatus < kServerErrorStatus &&
           !ImpliesNotRun(mOutcome.mStatus);
  }

  /// Returns whether capacity was reserved.
  bool HasReserved() const
  {
    return mOutcome.IsSuccess() && !mReservation.empty();
  }

  CallResult mOutcome;
  NotReachedCause mNotReached = NotReachedCause::Upstream; ///< NotConnected.
  /// The upstream stated that it has not run the request and never will.
  bool mNotRun = false;
  /// A different process responded at the upstream's address.
  bool mIsWrongProcess = false;
  /// The response may be passed on to the caller: it names this request, and a
  /// successful one carries the upstream's seal.
  bool mIsVerified = false;
  RelayResponse mResponse;         ///< With a complete response.
  std::string mHandle;             ///< Prefill: name of the result.
  std::string mReservation;        ///< Reserve: name of the reservation.
  std::optional<StatedLoad> mLoad; ///< If the upstream stated its load.
};

/// One event of a stream.
struct RelayEvent
{
  std::optional<std::uint64_t> mEventId;
  std::string mText; ///< As received, with its terminator.
};

} // namespace peridothoist
