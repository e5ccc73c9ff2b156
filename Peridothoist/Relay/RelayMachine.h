/// Takes each relayed request from its arrival to its one final answer. Values
/// in, commands out; no input or output of its own.
///
/// Invariants for each request:
///   - one final command (SendAnswer, SendRefusal, EndStream or AbortStream),
///     unless the caller left, and then Forget;
///   - one call open at a time: the one before was ended or cancelled;
///   - a request that may not repeat is sent again only after its upstream
///     said that it has not run it, or when no byte of it left;
///   - a refusal that says "not run" is given only while no send of it was
///     left without such a word.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Relay/CrashWatch.h>
#include <Peridothoist/Relay/RelayCommand.h>
#include <Peridothoist/Relay/RelayPlan.h>
#include <Peridothoist/Relay/RepeatBudget.h>
#include <Peridothoist/Relay/UpstreamChoice.h>
#include <Peridothoist/Request/TimerQueue.h>
#include <Peridothoist/Routing/SuspectTable.h>

#include <array>
#include <set>
#include <unordered_map>

namespace peridothoist {

/// Says whether a request may still be sent, by the view as it is now.
class RelayGate
{
public:
  virtual ~RelayGate() = default;

  /// Nothing when it may; else why not.
  virtual std::optional<RefusalKind> MayRelay(const RelayArrival& aArrival,
                                              TimePoint aNow) = 0;

  /// A request's allowance is given back: it has not run.
  virtual void Refund(const RelayArrival& aArrival, TimePoint aNow) = 0;
};

/// Limits and times of the machine.
struct RelayMachineSettings
{
  std::string mZone;    ///< This VM's zone.
  TimePoint mStartedAt; ///< This VM's process.
  /// Sends that found no connection, for each request.
  std::uint32_t mMaxUnsent = 3;
  /// An idempotent request without an answer after this many times its target
  /// latency is tried elsewhere.
  double mPatienceFactor = 3.0;
  Duration mFirstEventPatience = 2s; ///< Resumable streams: to the first event.
  Duration mEventGapPatience = 900ms; ///< Resumable streams: between events.
  /// From the choice of an engine to a stream's first event, when nothing is
  /// in its way: who has less time left is late already.
  Duration mUsualStart = 250ms;
  /// Room is waited for so long, as a part of the caller's patience. Callers
  /// of streams leave after about a quarter of it without an event.
  double mWaitPart = 0.22;
  Duration mLeastTimeLeft = 20ms;     ///< With less, nothing is sent any more.
  Duration mPrefillPatience = 1500ms; ///< For a prefill's answer.
  /// An engine that is used to this part refuses for its memory rather than
  /// for a handle that lapsed.
  double mLikelyFull = 0.7;
  Duration mReservationLasts = 1500ms; ///< Longer than a prefill takes.
  std::uint32_t mMostReserveTries = 3; ///< Engines asked for room at once.
  Duration mFullAvoidance = 200ms;     ///< After an engine had no room.
  Duration mHandleMargin = 100ms; ///< A handle isn't used so shortly before
                                  ///< it lapses.
  Duration mCrashWindow = 6s;     ///< A call that broke this long before its
                                  ///< upstream was found gone was present.
  SuspectTableSettings mSuspects;
  RepeatBudgetSettings mBudget;
  RelayPlanSettings mPlan;
  UpstreamChooserSettings mChooser;
  LoadBoardSettings mLoads;
  UpstreamRosterSettings mRoster;
};

/// Counters for metrics.
struct RelayCounters
{
  std::uint64_t mArrived = 0;
  std::uint64_t mSent = 0;
  std::uint64_t mPrefills = 0;
  std::uint64_t mReserved = 0;
  std::uint64_t mNotReserved = 0; ///< The engine had no room.
  std::uint64_t mRepeats = 0;
  std::uint64_t mRepeatsDenied = 0; ///< By the budget.
  std::uint64_t mResumed = 0;
  std::uint64_t mRejected = 0; ///< Sends that an upstream didn't run.
  std::uint64_t mBroken = 0;
  std::uint64_t mUnsent = 0;
  std::uint64_t mCallersGone = 0;
  std::uint64_t mQuarantined = 0;
  std::array<std::uint64_t, kRefusalKinds> mRefused{}; ///< By RefusalKind.
};

/// Runs relayed requests.
class RelayMachine
{
public:
  using Settings = RelayMachineSettings;

  /// aGate and aRandom are not owned and outlive the machine.
  RelayMachine(const Settings& aSettings, RelayGate* aGate, Random* aRandom);
  ~RelayMachine();

  /// The configuration that services are looked up in.
  void SetConfiguration(std::shared_ptr<const RelayConfiguration> aConfig);

  /// Takes other bounds of the retry budget.
  void SetRepeatBudget(const RepeatBudgetSettings& aSettings);

  /// Repeats that are allowed now, by service.
  std::map<std::string, double> RepeatsLeft(TimePoint aNow);

  /// How many VMs share the retry budget; at least 1.
  void SetVmCount(std::size_t aCount) { mVmCount = aCount; }

  // Requests
  void OnArrival(RelayArrival aArrival, TimePoint aNow, RelayCommands& aOut);
  void OnCallerGone(std::uint64_t aId, TimePoint aNow, RelayCommands& aOut);
  /// The head of a stream's answer came.
  void OnStreamHead(std::uint64_t aId,
                    std::uint32_t aAttempt,
                    RelayAnswer aHead);
  void OnEvent(std::uint64_t aId,
               std::uint32_t aAttempt,
               RelayEvent aEvent,
               TimePoint aNow,
               RelayCommands& aOut);
  void OnCallEnd(std::uint64_t aId,
                 std::uint32_t aAttempt,
                 RelayCallEnd aEnd,
                 TimePoint aNow,
                 RelayCommands& aOut);

  /// The last check before the bytes of a call leave.
  bool MayStillSend(std::uint64_t aId, std::uint32_t aAttempt, TimePoint aNow);

  // Upstreams
  void OnListed(std::vector<RelayUpstream> aUpstreams,
                TimePoint aNow,
                RelayCommands& aOut);
  /// Another VM's work, in place of what it said before.
  void OnPeerWork(const std::string& aVm,
                  const WorkByUpstream& aWork,
                  TimePoint aNow,
                  RelayCommands& aOut);
  void OnListUnreachable() { mRoster.OnUnreachable(); }
  const UpstreamRoster& Roster() const { return mRoster; }
  UpstreamRoster& Roster() { return mRoster; }
  LoadBoard& Loads() { return mLoads; }
  SuspectTable& Suspects() { return mSuspects; }

  /// Drives deadlines and waiting requests. Due at NextTick().
  void OnTick(TimePoint aNow, RelayCommands& aOut);
  std::optional<TimePoint> NextTick() const { return mTimers.Next(); }

  std::size_t Open() const { return mRequests.size(); }
  std::size_t Waiting() const { return mWaiting.size(); }
  /// The same, by whether they can still be in time.
  WaitingRequests WaitingNow(TimePoint aNow);
  const RelayCounters& Counters() const { return mCounters; }

private:
  /// A call on its way.
  struct Call
  {
    std::uint32_t mAttempt = 0;
    std::string mUpstream;
    std::string mAddress;
    RelayCallKind mKind = RelayCallKind::Whole;
    std::uint64_t mTokens = 0; ///< As counted on the load board.
    bool mMayHaveBeenSent = false;
    bool mSawEvent = false;
    TimePoint mLastSign; ///< Start, or the last event.
    RelayAnswer mHead;   ///< Stream: once it came.
    bool mTakesHandle = false;
    std::string mHandle; ///< With mTakesHandle: what it takes, and from where.
    std::string mHandleAddress;
    TimePoint mSilenceAt; ///< The newest silence timer.
  };

  /// One request.
  struct State
  {
    RelayArrival mArrival;
    std::optional<Call> mCall;
    std::uint32_t mNextAttempt = 1;
    std::set<std::string> mTried;    ///< Upstreams that got it.
    std::set<std::string> mExcluded; ///< Not to be chosen again.
    std::uint32_t mUnsent = 0;
    RunVerdictTracker mVerdict;
    bool mOwesRepeat = false; ///< The next send counts as a repeat, whatever
                              ///< mTried holds.
    bool mHeadSent = false;
    std::uint64_t mLastEventId = 0;
    bool mDirectOnly = false; ///< A prefill of its own failed.
    // A prefill result that waits to be taken.
    std::string mHandle;
    std::string mHandleAddress;
    std::string mHandleUpstream; ///< The engine that holds it.
    TimePoint mHandleUntil;      ///< It has lapsed by then.
    // A reservation that waits to be used.
    std::string mReservation;
    std::string mReservationUpstream;
    std::string mReservationAddress;
    TimePoint mReservedUntil;
    std::uint32_t mReserveTries = 0; ///< Engines that had no room after all.
    std::string mDecodeUpstream;     ///< Memory is kept for it there.
    std::optional<TimePoint> mWaitUntil; ///< Set while it waits for room.
  };

  State* Find(std::uint64_t aId);
  Call* FindCall(std::uint64_t aId, std::uint32_t aAttempt);

  // Placing
  void Begin(State& aState);
  bool BeginStream(State& aState);
  bool BeginWhole(State& aState);
  bool BeginPrefill(State& aState, const RelayUpstream& aDecode);
  bool StartOn(State& aState,
               const RelayUpstream& aUpstream,
               RelayCallKind aKind);
  bool MayRepeatNow(const State& aState);
  bool PayRepeat(State& aState);
  void OnNoChoice(State& aState, NoChoice aWhy);
  ChoiceQuestion QuestionFor(const State& aState, RelayStage aStage) const;
  void Pump();
  void BeginSome(const std::vector<std::uint64_t>& aRequests, double aPart);
  bool IsLate(const State& aState) const;
  const RelayEngines* EnginesOf(const State& aState) const;

  // Ends of calls
  using EndHandler = void (RelayMachine::*)(State&, const Call&, RelayCallEnd&);
  void OnWhole(State& aState, const Call& aCall, RelayCallEnd& aEnd);
  void OnPrefill(State& aState, const Call& aCall, RelayCallEnd& aEnd);
  void OnPrefillFailed(State& aState, const Call& aCall);
  void OnStream(State& aState, const Call& aCall, RelayCallEnd& aEnd);
  void OnReserve(State& aState, const Call& aCall, RelayCallEnd& aEnd);
  void OnNotReserved(State& aState, const Call& aCall);
  void OnRejected(State& aState, const Call& aCall, bool aOther);
  void OnHandleRefused(State& aState, const Call& aCall);
  bool KeepHandle(State& aState, const Call& aCall);
  void OnUnsent(State& aState, const Call& aCall, const RelayCallEnd& aEnd);
  void OnFailed(State& aState, const Call& aCall, bool aBroken);
  void TryAgain(State& aState, RefusalKind aElse);
  bool MayTryAgain(const State& aState) const;
  Call TakeCall(State& aState);
  void CancelCall(State& aState);
  void DropHandle(State& aState);
  void DropReservation(State& aState);
  bool HasReservationAt(const State& aState,
                        const std::string& aUpstream) const;
  void KeepRoom(State& aState, const std::string& aUpstream);
  void ReleaseRoom(State& aState);

  // Answers
  void Answer(State& aState, RelayAnswer aAnswer);
  void Refuse(State& aState, RefusalKind aKind);
  Duration RetryAfter(const State& aState, RefusalKind aKind);
  void Finish(State& aState);

  // Crashes
  void OnUpstreamLost(const std::string& aUpstream);

  // Timers
  void OnDeadline(State& aState);
  void OnSilence(State& aState);
  void ArmSilence(State& aState);

  RelayCommand& Command(RelayCommandKind aKind, const State& aState);
  RepeatBudget& BudgetOf(const std::string& aService);

  Settings mSettings;
  RelayGate* mGate;
  Random* mRandom;
  std::shared_ptr<const RelayConfiguration> mConfiguration;
  std::size_t mVmCount = 1;

  // The event in hand
  TimePoint mNow;
  RelayCommands* mOut = nullptr;

  UpstreamRoster mRoster;
  LoadBoard mLoads;
  UpstreamChooser mChooser;
  RelayPlanner mPlanner;
  SuspectTable mSuspects;
  std::map<std::string, RepeatBudget> mBudgets; ///< By service.
  std::unordered_map<std::uint64_t, State> mRequests;
  std::set<std::pair<std::uint32_t, std::uint64_t>> mWaiting; ///< By priority,
                                                              ///< then arrival.
  TimerQueue mTimers;
  CrashWatch mCrashes;
  RelayCounters mCounters;
};

} // namespace peridothoist
