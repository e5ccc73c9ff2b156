/// What the relay's decisions tell the shell to do, and what the shell reports
/// back.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/LoadBoard.h>
#include <Peridothoist/Relay/RelayConfiguration.h>
#include <Peridothoist/Relay/UpstreamRoster.h>
#include <Peridothoist/Request/Answers.h>
#include <Peridothoist/Request/Refusal.h>

namespace peridothoist {

/// One request that was let in. Its body stays in the shell.
struct RelayArrival
{
  std::uint64_t mId = 0; ///< Chosen by the shell; never used twice.
  std::shared_ptr<const RelayRoute> mRoute; ///< Never null.
  std::string mService;                     ///< Of the route's targets.
  std::string mWorkspace;          ///< Empty on routes that are open to all.
  std::string mKey;                ///< Empty on routes that are open to all.
  std::string mDigest;             ///< Of method, target, workspace and body.
  double mCost = 0;                ///< Taken off the workspace's allowance.
  std::uint64_t mTokens = 0;       ///< Prompt and most output.
  std::uint64_t mMemoryTokens = 0; ///< KV memory that it is likely to need.
  std::uint64_t mPromptTokens = 0; ///< 0: not stated.
  std::uint32_t mPriority = 5;     ///< 0 goes first.
  std::uint64_t mLastEventId = 0;  ///< The caller has events up to this one.
  TimePoint mArrivedAt;
  TimePoint mDeadline;     ///< The caller's or the route's, the earlier one.
  Duration mPatience{ 0 }; ///< How long the caller waits in all.
};

/// Kinds of command.
enum class RelayCommandKind
{
  StartCall,          ///< Call an upstream.        -> OnEvent*, OnCallEnd
  CancelCall,         ///< Close that call; nothing of it is reported any more.
  ReleaseHandle,      ///< Free a prefill result that nobody will take.
  ReleaseReservation, ///< Free a reservation that nobody will use.
  SendHead,           ///< Start the caller's stream.
  SendEvent,          ///< Send a whole event.
  SendAnswer,         ///< Send an upstream's whole answer.
  SendRefusal,        ///< Send a refusal.
  EndStream,          ///< End the caller's stream as complete.
  AbortStream, ///< End the caller's stream so that it isn't taken for whole.
  Forget       ///< The request is over.
};

const char*
ToName(RelayCommandKind aKind);

/// What a call to an upstream is for.
enum class RelayCallKind
{
  Whole,   ///< Answers whole.
  Prefill, ///< Reads the prompt; answers with a handle.
  Stream,  ///< Answers with events.
  Reserve  ///< Reserves a slot and memory at a decode engine.
};

/// Whether such a call makes the upstream run the request.
constexpr bool
RunsRequest(RelayCallKind aKind)
{
  return aKind == RelayCallKind::Whole || aKind == RelayCallKind::Stream;
}

const char*
ToName(RelayCallKind aKind);

/// An upstream's answer as it goes to the caller.
struct RelayAnswer
{
  int mStatus = 0;
  std::map<std::string, std::string> mHeaders; ///< Names in lower case.
  std::string mBody;                           ///< Empty for streams.
};

/// One command. Fields that a kind doesn't name are empty.
struct RelayCommand
{
  RelayCommandKind mKind = RelayCommandKind::Forget;
  std::uint64_t mId = 0;
  std::uint32_t mAttempt = 0; ///< From 1; names a call of a request.

  // StartCall, CancelCall, ReleaseHandle
  std::string mUpstream; ///< Id.
  std::string mAddress;  ///< "ip:port".
  RelayCallKind mCall = RelayCallKind::Whole;
  std::string mHandle;             ///< Prefill result to take or to free.
  std::string mHandleAddress;      ///< Of the engine that holds it.
  std::string mReservation;        ///< To use or to free.
  std::uint64_t mMemoryTokens = 0; ///< Reserve: how much.
  Duration mReservationLasts{ 0 }; ///< Reserve: how long.
  std::uint64_t mLastEventId =
    0; ///< Stream: go on after this; 0: from the start.
  std::string mWorkspace;
  std::uint32_t mPriority = 5;
  Duration mTimeLeft{ 0 }; ///< StartCall: until the answer is useless.

  // Answers
  RelayAnswer mAnswer;             ///< SendHead, SendAnswer.
  std::string mEvent;              ///< SendEvent: as received, with its end.
  std::optional<Refusal> mRefusal; ///< SendRefusal; AbortStream, for the log.
};

using RelayCommands = std::vector<RelayCommand>;

/// How a call ended.
struct RelayCallEnd
{
  CallOutcome mOutcome;
  /// The upstream said that it has not run the request and never will.
  bool mNotRun = false;
  /// Another process answered at the upstream's address.
  bool mOther = false;
  /// The answer is one that may go to the caller: it names this request, and
  /// a success bears the upstream's seal.
  bool mSound = false;
  RelayAnswer mAnswer;             ///< With a whole answer.
  std::string mHandle;             ///< Prefill: the result's name.
  std::string mReservation;        ///< Reserve: its name.
  std::optional<StatedLoad> mLoad; ///< If the upstream stated it.
};

/// One event of a stream.
struct RelayEvent
{
  std::optional<std::uint64_t> mEventId;
  std::string mText; ///< As received, with its end.
};

} // namespace peridothoist
