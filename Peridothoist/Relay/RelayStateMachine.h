/// The state machine that handles each relayed request from its admission to
/// its final response. It receives events and appends commands, and does no
/// input or output itself.
///
/// Invariants for each request:
///   - It ends with exactly one final command (SendResponse, SendRefusal,
///     EndStream or AbortStream), unless the caller disconnected, and then
///     Forget.
///   - All events that its caller receives, over all of the caller's attempts
///   at
///     a resumable stream, are of one software version.
///   - At most one call is open: a new one starts only after the previous one
///     ended or was cancelled. Only while its upstream is silent, a second call
///     may be open beside it: a retry, for a stream after a reservation. The
///     first is given up only when the retry has responded, for a stream with
///     an event.
///   - A call that goes on with a stream that has begun sends the caller
///   nothing
///     before its response is known to continue it: by its head, and by an
///     event that follows the last one.
///   - A request that must not run twice is sent again only after its upstream
///     stated that it has not run it, or if none of its bytes were sent.
///   - A request with a content that is quarantined is not sent to an upstream.
///   - A refusal states "not run" only if every upstream to which the request
///     was sent stated that it has not run it.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Queueing/CapacityShare.h>
#include <Peridothoist/Relay/BrokenCallTracker.h>
#include <Peridothoist/Relay/CallTimeEstimate.h>
#include <Peridothoist/Relay/CrashEvidence.h>
#include <Peridothoist/Relay/PrefillPlanner.h>
#include <Peridothoist/Relay/RelayCommand.h>
#include <Peridothoist/Relay/RelayRetryBudget.h>
#include <Peridothoist/Relay/StreamOriginTable.h>
#include <Peridothoist/Relay/UpstreamChooser.h>
#include <Peridothoist/Relay/UpstreamLimiter.h>
#include <Peridothoist/Relay/UpstreamReach.h>
#include <Peridothoist/Request/TimerQueue.h>
#include <Peridothoist/Routing/UpstreamSpeeds.h>

#include <array>
#include <set>
#include <unordered_map>

namespace peridothoist {

/// Checks requests against the current configuration view.
class RelayPolicy
{
public:
  virtual ~RelayPolicy() = default;

  /// Returns the reason for refusal, or nullopt if the request may be sent.
  virtual std::optional<RefusalKind> CheckRelay(const AdmittedRequest& aRequest,
                                                TimePoint aNow) = 0;

  /// Refunds the allowance of a request that did not run.
  virtual void Refund(const AdmittedRequest& aRequest, TimePoint aNow) = 0;
};

/// Limits and time-outs of RelayStateMachine.
struct RelayStateMachineSettings
{
  std::string mZone;    ///< This VM's zone.
  TimePoint mStartedAt; ///< Start of this VM's process.
  /// Sends per request that may fail before any byte is sent, mostly because
  /// no connection could be made.
  std::uint32_t mMaxUnsent = 3;
  /// An idempotent request is retried elsewhere after its target latency times
  /// this factor without a response.
  double mResponseTimeoutFactor = 3.0;
  Duration mFirstEventTimeout = 2s; ///< Resumable streams: until first event.
  /// Resumable streams: between events. Longer than upstreams in good order are
  /// silent, shorter than the two seconds after which callers leave.
  Duration mEventGapTimeout = 1500ms;
  /// Time until another upstream is tried for a request whose upstream is
  /// silent, after one could not take it over.
  Duration mTakeoverRetryInterval = 200ms;
  /// Typical time from the choice of an idle engine to a stream's first event.
  /// A request with less time left to its target latency counts as late.
  Duration mTypicalStartTime = 250ms;
  /// Maximum wait for upstream capacity, as a fraction of the time that the
  /// caller waits in total. Callers of streams leave after about a quarter of
  /// that time without an event.
  double mMaxWaitFraction = 0.22;
  Duration mMinTimeLeft = 20ms; ///< With less time left, nothing is sent.
  Duration mPrefillTimeout = 1500ms;
  /// An engine with more than this fraction of its memory used is assumed to
  /// refuse a handle for lack of memory and not because the handle expired.
  double mLikelyFullFraction = 0.7;
  /// Lifetime of a reservation; longer than a prefill takes.
  Duration mReservationLifetime = 1500ms;
  /// Number of engines in a row that may refuse a reservation before the
  /// request waits for capacity.
  std::uint32_t mMaxReserveAttempts = 3;
  Duration mFullAvoidance = 200ms; ///< After an engine refused a reservation.
  /// A handle or a reservation is not used when it expires within this time.
  Duration mHandleExpiryMargin = 100ms;
  /// A call that broke up to this long before its upstream was found gone
  /// counts as present at the crash.
  Duration mCrashWindow = 6s;
  /// Resumed streams: maximum wait for other VMs to state the origin.
  Duration mOriginLookupTimeout = 300ms;
  /// Added to mSoleVersionPeriod for versions that the record states as gone.
  /// Exceeds UpstreamListSettings::mMaxConfirmationGap, for which VMs may use
  /// an old list, by the time of two calls of the store.
  Duration mVersionRecordMargin = 7s;
  /// A resumed stream of unknown origin continues if only one software version
  /// of its service was listed for this time; longer than a stream of an
  /// upstream that is gone is resumed.
  Duration mSoleVersionPeriod = 30s;
  /// A stream that has been sent for this long shows that the parts of its
  /// prompt did not crash the upstream.
  Duration mSoundWritingTime = 1s;
  /// Minimum time between checks of an upstream whose calls break.
  Duration mUpstreamCheckInterval = 1s;
  Duration mLimitPollInterval = 500ms; ///< Of looking for limits to check.
  /// Minimum time between checks which requests wait in vain.
  Duration mHopelessCheckInterval = 100ms;
  CrashEvidenceSettings mCrashEvidence;
  RelayRetryBudgetSettings mRetryBudget;
  PrefillPlannerSettings mPlanner;
  UpstreamChooserSettings mChooser;
  UpstreamLoadTrackerSettings mLoads;
  UpstreamLimiterSettings mLimits;
  UpstreamSpeedsSettings mSpeeds;
  UpstreamListSettings mUpstreamList;
  UpstreamReachSettings mReach;
  StreamOriginTableSettings mOrigins;
};

/// Counters for metrics.
struct RelayCounters
{
  std::uint64_t mArrived = 0;
  std::uint64_t mSent = 0; ///< Calls that run a request.
  std::uint64_t mPrefills = 0;
  std::uint64_t mReserved = 0;
  std::uint64_t mReserveRefused = 0; ///< The engine had no capacity.
  std::uint64_t mRetriesSent = 0;    ///< Retries charged to the budget.
  std::uint64_t mRetriesDenied = 0;  ///< Retries denied by the budget.
  std::uint64_t mResumed = 0;        ///< Streams resumed elsewhere.
  std::uint64_t mRejected = 0;       ///< Calls that an upstream did not run.
  std::uint64_t mBroken = 0;         ///< Calls that broke without a response.
  std::uint64_t mUnsent = 0;         ///< Calls of which no byte was sent.
  std::uint64_t mCallersGone = 0;
  /// Of upstreams whose calls broke, and of the path to upstreams.
  std::uint64_t mUpstreamChecks = 0;
  std::uint64_t mTunnelled = 0; ///< Calls made through another VM.
  std::uint64_t mTrials = 0; ///< Requests with quarantined contents, on trial.
  // Software versions that began streams
  std::uint64_t mOriginsAnnounced = 0;
  std::uint64_t mOriginsLookedUp = 0; ///< At other VMs.
  std::uint64_t mOriginsFound = 0;    ///< Of those looked up.
  std::uint64_t mOriginsUnknown = 0;  ///< Streams refused for that.
  std::array<std::uint64_t, kRefusalKinds> mRefused{}; ///< By RefusalKind.
  /// Streams that were ended incomplete, by RefusalKind. Included in mRefused.
  std::array<std::uint64_t, kRefusalKinds> mAborted{};
  std::array<std::uint64_t, kCancelReasons> mCancelled{}; ///< By CancelReason.
};

/// Decides how relayed requests are handled.
class RelayStateMachine
{
public:
  using Settings = RelayStateMachineSettings;

  /// aPolicy and aRandom are not owned and outlive the machine.
  RelayStateMachine(const Settings& aSettings,
                    RelayPolicy* aPolicy,
                    Random* aRandom);
  ~RelayStateMachine();

  /// Sets the configuration in which services are looked up.
  void SetConfiguration(std::shared_ptr<const RelayConfiguration> aConfig);

  void SetRetryBudget(const RelayRetryBudgetSettings& aSettings);

  /// Returns the retries that are allowed now, by service.
  std::map<std::string, double> RetriesLeft(TimePoint aNow);

  /// Sets the number of VMs that share the retry budget; at least 1.
  void SetVmCount(std::size_t aCount) { mVmCount = aCount; }

  // Requests
  void OnArrival(AdmittedRequest aRequest, TimePoint aNow, RelayCommands& aOut);
  void OnCallerDisconnected(std::uint64_t aId,
                            TimePoint aNow,
                            RelayCommands& aOut);
  /// Called with the status and headers of a stream.
  void OnStreamHead(std::uint64_t aId,
                    std::uint32_t aAttempt,
                    RelayResponse aHead);
  /// Called when the response of a call is no longer read, since the caller
  /// reads too slowly, and when it is read again. The upstream does not count
  /// as silent meanwhile.
  void OnCallPaused(std::uint64_t aId, std::uint32_t aAttempt, TimePoint aNow);
  void OnCallResumed(std::uint64_t aId, std::uint32_t aAttempt, TimePoint aNow);

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

  /// Returns the services of which streams may have begun at several software
  /// versions, by the records.
  std::set<std::string> ServicesWithSeveralVersions(TimePoint aNow) const
  {
    return mVersions.ServicesWithSeveral(
      mSettings.mSoleVersionPeriod + mSettings.mVersionRecordMargin, aNow);
  }

  /// Called when the records of the services' versions were read. aNowMs: see
  /// SoftwareVersions.
  void OnVersionsRead(VersionsByService aRecords,
                      std::optional<std::uint64_t> aNowMs,
                      TimePoint aStartedAt,
                      TimePoint aNow,
                      RelayCommands& aOut);

  /// Sets at which versions streams that can be resumed may begin; nullopt: at
  /// any.
  void OnBeginnersChanged(std::optional<ListedVersions> aVersions,
                          TimePoint aNow,
                          RelayCommands& aOut);

  /// Called when other VMs stated the origin of the stream with aKey, or that
  /// it is not known.
  void OnOriginFound(const std::string& aKey,
                     std::optional<StreamOrigin> aOrigin,
                     TimePoint aNow,
                     RelayCommands& aOut);

  /// Returns whether the bytes of a call may be sent. Called immediately before
  /// they are sent.
  bool MayStillSend(std::uint64_t aId, std::uint32_t aAttempt, TimePoint aNow);

  // Upstreams

  /// Replaces the list by the result of a read that was started at aStartedAt;
  /// nullopt: now.
  void OnListRead(std::vector<RelayUpstream> aUpstreams,
                  TimePoint aNow,
                  RelayCommands& aOut,
                  std::optional<TimePoint> aStartedAt = std::nullopt);
  /// Replaces the list by that of a peer, which was confirmed at aConfirmedAt.
  void OnPeerList(std::vector<UpstreamList::Entry> aEntries,
                  TimePoint aConfirmedAt,
                  TimePoint aNow,
                  RelayCommands& aOut);
  /// Sets the engines at home in this VM's cell.
  void SetHomeEngines(std::set<std::string> aIds)
  {
    mChooser.SetHomeEngines(std::move(aIds));
  }
  /// Replaces what another VM reported of its work.
  void OnPeerWork(const std::string& aVm,
                  const WorkByUpstream& aWork,
                  TimePoint aNow,
                  RelayCommands& aOut);
  /// Called when a read of the list failed that was started at aStartedAt.
  void OnListUnreachable(TimePoint aStartedAt, TimePoint aNow)
  {
    mUpstreamList.OnUnreachable(aStartedAt, aNow);
  }
  const UpstreamList& ListedUpstreams() const { return mUpstreamList; }
  UpstreamList& ListedUpstreams() { return mUpstreamList; }
  UpstreamLoadTracker& Loads() { return mLoads; }
  CrashEvidence& Crashes() { return mCrashEvidence; }
  UpstreamLimiter& Limits() { return mLimiter; }
  UpstreamSpeeds& Speeds() { return mSpeeds; }
  const UpstreamReach& Reach() const { return mReach; }

  /// Called with what a response of the upstream states about its limit.
  /// Returns whether the limit has changed.
  bool OnLimitStated(const std::string& aUpstream,
                     const StatedLimit& aLimit,
                     TimePoint aNow);
  /// Called when an upstream stated for how long it stays cold. Returns whether
  /// that it is cold, or is no longer, was not known.
  bool OnColdStated(const std::string& aUpstream,
                    Duration aRemaining,
                    TimePoint aNow);
  /// Called with what other VMs learnt of cold upstreams.
  void OnPeerCold(const ColdTimes& aTimes, TimePoint aNow);
  /// Called when a process of an upstream stated how long work takes there.
  void OnWorkTimeStated(const UpstreamProcess& aProcess,
                        std::uint32_t aPercent,
                        TimePoint aNow);
  /// Called with what other VMs learnt of the speeds of upstreams.
  void OnPeerSpeeds(const SpeedsByUpstream& aSpeeds, TimePoint aNow);
  /// Called after each change of the configuration; sets the availability
  /// zones that are evacuated. Upstreams of zones that no longer are may have
  /// become cold meanwhile.
  void OnZonesEvacuated(const std::set<std::string>& aZones,
                        TimePoint aNow,
                        RelayCommands& aOut);
  /// Called when a process of an upstream stated that it leaves. Returns
  /// whether that was not known.
  bool OnLeavingStated(const UpstreamProcess& aProcess, TimePoint aNow);
  /// Called with what other VMs were told. Returns the processes of which that
  /// was not known.
  std::vector<UpstreamProcess> OnPeerLeaving(
    const std::vector<UpstreamProcess>& aProcesses,
    TimePoint aNow);
  /// Called with what other VMs were told about limits.
  void OnPeerLimits(const LimitsByUpstream& aLimits, TimePoint aNow);

  /// Called with the result of a CheckUpstream command. aTunnel: that of the
  /// command.
  void OnUpstreamChecked(const std::string& aUpstream,
                         const std::string& aTunnel,
                         UpstreamCheck aCheck,
                         TimePoint aNow,
                         RelayCommands& aOut);

  // Path to upstreams
  /// Sets where to find tunnels through other VMs; not owned.
  void SetTunnelPeers(const TunnelPeers* aPeers) { mReach.SetPeers(aPeers); }
  /// Called when a connection to an upstream was tried for another VM.
  void OnTunnelTargetTried(const std::string& aUpstream,
                           bool aIsConnected,
                           TimePoint aNow);

  // Shutdown
  /// Gives each open request its final answer. Requests that arrive later are
  /// refused.
  void EndService(TimePoint aNow, RelayCommands& aOut);
  /// Returns the typical time of a call to the service; 0: not known.
  Duration TypicalCallTime(const std::string& aService) const;

  /// Handles expired timers. To be called at NextTick().
  void OnTick(TimePoint aNow, RelayCommands& aOut);
  std::optional<TimePoint> NextTick() const;

  /// Returns the number of open requests.
  std::size_t OpenRequestCount() const { return mRequests.size(); }
  /// Returns the number of requests that wait for upstream capacity.
  std::size_t WaitingRequestCount() const { return mWaiting.size(); }
  /// Returns, by service, the numbers of waiting requests that can still be in
  /// time and of those that are late.
  WaitingByService ClassifyWaiting(TimePoint aNow);
  /// Returns the same by priority, for services whose requests differ in it.
  PriorityWaitingByService ClassifyPriorities(TimePoint aNow);
  const RelayCounters& Counters() const { return mCounters; }

private:
  /// An open call to an upstream.
  struct Call
  {
    std::uint32_t mAttempt = 0;
    std::string mUpstream;
    std::string mAddress;
    std::string mTunnel;          ///< Through which it is made; empty: none.
    std::string mSoftwareVersion; ///< As listed when the call started.
    std::uint64_t mIncarnationId = 0; ///< The same.
    RelayCallKind mKind = RelayCallKind::Whole;
    std::uint64_t mTokens = 0;     ///< KV memory counted in mLoads.
    std::uint64_t mUsedTokens = 0; ///< Of the prompt and the events so far.
    double mWorkUnits = 0;         ///< See WorkUnitsOf().
    EventPace mPace;               ///< Of a stream's events.
    bool mMayHaveBeenSent = false;
    bool mIsRetry = false;  ///< Counted by the retry budget.
    bool mHasEvent = false; ///< Stream: an event was received.
    /// Stream: an event of it was sent to the caller.
    bool mHasSentEvent = false;
    bool mHasUnnumberedEvent = false; ///< Stream: before any of these.
    TimePoint mStartedAt;
    TimePoint mFirstEventAt;   ///< With mHasEvent.
    TimePoint mPartsExcusedAt; ///< See ExcusePartsOf().
    TimePoint mLastActivity;   ///< Start, or the last event.
    bool mIsPaused = false;    ///< Its response is not read at present.
    RelayResponse mHead;       ///< Stream: status and headers.
    bool mUsesHandle = false;
    std::string mHandle; ///< The prefill result that it uses.
    std::string mHandleAddress;
    TimePoint mInactivityDeadline; ///< Of the newest inactivity timer.
  };

  /// The state of one request.
  struct State
  {
    AdmittedRequest mRequest;
    RequestContents mContents;
    /// Set when a content is first found on trial: whether it may be sent.
    std::optional<bool> mIsOnTrial;
    std::optional<Call> mCall;
    /// Call to another upstream while that of mCall is silent.
    std::optional<Call> mSecondCall;
    std::uint32_t mNextAttempt = 1;
    std::set<std::string> mTriedUpstreams;    ///< They may have received it.
    std::set<std::string> mExcludedUpstreams; ///< Not to be chosen again.
    std::uint32_t mUnsent = 0; ///< Calls of which no byte was sent.
    RunVerdictTracker mVerdict;
    /// The next send counts as a retry, even if mTriedUpstreams is empty.
    bool mNextSendIsRetry = false;
    bool mIsRetryCharged = false; ///< For the call that starts now.
    /// An upstream ran it and responded with an error of its own.
    bool mHadServerError = false;
    bool mHeadSent = false;
    RelayResponse mSentHead; ///< With mHeadSent; without a body.
    std::uint64_t mLastEventId = 0;
    /// Largest difference between the ids of events that followed each other.
    std::uint64_t mMaxIdStep = 0;
    /// Resumable streams: where the stream began, once that is known.
    std::optional<StreamOrigin> mOrigin;
    bool mAwaitsOrigin = false; ///< Listed in mAwaitingOrigin.
    bool mSkipPrefill = false;  ///< The decode engine must read the prompt.
    // A prefill result that is not used yet.
    std::string mHandle;
    std::string mHandleAddress;
    std::string mHandleUpstream; ///< The engine that holds it.
    TimePoint mHandleExpiresAt;
    // A reservation that is not used yet.
    std::string mReservation;
    std::string mReservationUpstream;
    std::string mReservationAddress;
    TimePoint mReservationExpiresAt;
    std::uint32_t mReserveAttempts = 0; ///< Reservations that were refused.
    /// The decode engine at which the request's memory is counted during the
    /// prefill; empty: none.
    std::string mDecodeUpstream;
    std::uint64_t mHeldTokens = 0; ///< Counted at mDecodeUpstream.
    /// The upstream whose limit was charged for a stream that is not sent yet.
    std::string mChargedUpstream;
    /// End of the wait for capacity; set when the request first waits.
    std::optional<TimePoint> mWaitDeadline;
  };

  State* Find(std::uint64_t aId);
  Call* FindCall(std::uint64_t aId, std::uint32_t aAttempt);

  // Placement
  void PlaceRequest(State& aState);
  bool PlaceStream(State& aState);
  bool PlaceWhole(State& aState);
  bool PlacePrefill(State& aState, const RelayUpstream& aDecode);
  bool StartCallOn(State& aState,
                   const RelayUpstream& aUpstream,
                   RelayCallKind aKind);
  Call StartCall(State& aState,
                 const RelayUpstream& aUpstream,
                 RelayCallKind aKind);
  std::uint64_t TokensOf(const State& aState, RelayCallKind aKind) const;
  double WorkUnitsOf(const RelayUpstream& aUpstream) const;
  bool HasRetryBudget(const State& aState);
  bool ChargeRetry(State& aState);
  void OnNoUpstreamChosen(State& aState, NoChoiceReason aReason);
  UpstreamQuery QueryFor(const State& aState, RelayStage aStage) const;

  // Software versions of streams
  bool FitsOrigin(const State& aState, const RelayUpstream& aUpstream) const;
  bool HasCallVersion(const Call& aCall) const;
  static std::optional<std::string> VersionOf(const State& aState);
  void PinOrigin(State& aState, const Call& aCall);
  void PlaceResumed(State& aState);
  void ContinueAt(State& aState, const StreamOrigin& aOrigin);
  void ContinueAtSoleVersion(State& aState);
  void AnnounceOrigin(const State& aState, const std::string& aKey);
  void ContinueProven();
  static bool BeginsResumableStream(const State& aState);
  static const std::string& LookupKeyOf(const State& aState);
  std::optional<StreamOrigin> SoleOriginOf(const State& aState) const;
  std::optional<std::string> RecordedSoleVersion(
    const AdmittedRequest& aRequest) const;
  void RefuseUnknownOrigin(State& aState);
  void StopAwaitingOrigin(State& aState);
  void OnWaitTimer(State& aState);

  // Waiting for capacity
  /// Waiting requests of one service, by priority and then by arrival.
  struct WaitingGroup
  {
    std::vector<std::uint64_t> mInTime;
    std::vector<std::uint64_t> mLate;
  };
  bool StartWaiting(State& aState);
  Duration ExpectedWait(const State& aState) const;
  Duration WaitBehind(const State& aState, double aAhead) const;
  double CountWaitingAhead(const State& aState) const;
  std::optional<Duration> LimitedWait(const State& aState) const;
  std::size_t WaitingAtThisVm(const std::string& aService) const;
  void ArmLimitTimer(const State& aState);
  void ScheduleLimitCheck(TimePoint aNow);
  void CheckLimits();
  void ScheduleRefusals(TimePoint aNow);
  void RefuseUnservable();
  void DispatchWaiting();
  void DispatchGroup(const std::string& aService, WaitingGroup aGroup);
  void DispatchWithinFraction(const std::vector<std::uint64_t>& aRequests,
                              double aFraction);
  double ChooseStarts(const UpstreamQuery& aQuery, double aFraction);
  double RoundAtRandom(double aNumber);

  // Waiting by priority
  using WaitingByLevel = std::map<UrgencyLevel, std::vector<std::uint64_t>>;
  using StartsByLevel = std::map<UrgencyLevel, double>;
  bool MayOrderByPriority(const std::string& aService) const;
  UrgencyLevel LevelOf(const State& aState) const;
  WaitingByLevel WaitingLevels(const std::string& aService) const;
  DemandByLevel DemandFor(const std::string& aService,
                          const WaitingByLevel& aOwn) const;
  void PlaceArrival(State& aState);
  bool DispatchByPriority(const std::string& aService);
  StartsByLevel ChooseStartsByLevel(const UpstreamQuery& aQuery,
                                    const DemandByLevel& aDemand);
  void RefuseHopeless(const std::string& aService,
                      const WaitingByLevel& aWaiting,
                      const DemandByLevel& aDemand);
  RelayStage RunningStage(const State& aState) const;
  bool IsLate(const State& aState) const;
  const EngineLimits* EnginesOf(const State& aState) const;

  // Speeds of upstreams
  static SpeedSubject SubjectOf(const RelayUpstream& aUpstream);
  const RelayUpstream* ProcessOf(const Call& aCall) const;
  void LearnPace(Call& aCall);
  void LearnCallTime(const Call& aCall);

  // Ends of calls
  using CallEndHandler = void (RelayStateMachine::*)(State&,
                                                     const Call&,
                                                     RelayCallEnd&);
  void CountOutcome(State& aState, const Call& aCall, const RelayCallEnd& aEnd);
  void OnWholeCallEnd(State& aState, const Call& aCall, RelayCallEnd& aEnd);
  void OnPrefillCallEnd(State& aState, const Call& aCall, RelayCallEnd& aEnd);
  void OnPrefillFailed(State& aState, const Call& aCall);
  void OnStreamCallEnd(State& aState, const Call& aCall, RelayCallEnd& aEnd);
  void OnReserveCallEnd(State& aState, const Call& aCall, RelayCallEnd& aEnd);
  void OnNotReserved(State& aState, const Call& aCall);
  void KeepReservation(State& aState,
                       const Call& aCall,
                       const RelayCallEnd& aEnd);
  void OnRejected(State& aState, const Call& aCall, bool aWrongProcess);
  void OnHandleRefused(State& aState, const Call& aCall);
  bool ReclaimHandle(State& aState, const Call& aCall);
  void OnNotSent(State& aState, const Call& aCall, const RelayCallEnd& aEnd);
  void OnCallFailed(State& aState, const Call& aCall, bool aBroken);
  void RetryOrRefuse(State& aState, RefusalKind aRefusal);
  bool MayRetry(const State& aState) const;
  void CountEvent(Call& aCall, std::uint64_t aTokens);
  Call CloseCall(std::optional<Call>& aCall);
  void CancelCall(State& aState, CancelReason aReason);
  void Cancel(State& aState, const Call& aCall, CancelReason aReason);
  void ReleaseHandle(State& aState);
  void ReleaseReservation(State& aState);
  bool CountsWholeOutput() const { return mLoads.PeerLoadAgeSeconds() > 0; }
  std::uint64_t MemoryToCount(const State& aState) const;
  std::uint64_t TokensToReserve(const State& aState) const;
  bool HasReservationAt(const State& aState,
                        const std::string& aUpstream) const;
  void HoldMemory(State& aState, const std::string& aUpstream);
  void ReleaseMemory(State& aState);

  // Continued streams
  static bool FitsSentHead(const State& aState, const Call& aCall);
  static bool MayContinue(const State& aState,
                          const Call& aCall,
                          const RelayEvent& aEvent);
  static bool MayEndStream(const State& aState, const Call& aCall);
  void OnNoContinuation(State& aState, std::uint32_t aAttempt);

  // Silent upstreams
  Duration InactivityTimeout(const State& aState, const Call& aCall) const;
  void ArmInactivityTimer(State& aState);
  void SetInactivityDeadline(State& aState, TimePoint aAt);
  void OnInactivityTimer(State& aState);
  bool IsSilent(const State& aState) const;
  bool MayTakeOver(const State& aState);
  void StartTakeover(State& aState);
  void RetryTakeoverLater(State& aState);
  void OnSecondCallEnd(State& aState, const Call& aCall, RelayCallEnd& aEnd);
  void StartSecondStream(State& aState, const std::string& aUpstream);
  void KeepCallWithEvent(State& aState, std::uint32_t aAttempt);
  void ContinueAtSecondCall(State& aState);
  void GiveUpSilentCall(State& aState);
  bool ContinueAfterFirstCall(State& aState,
                              const Call& aFirst,
                              const RelayCallEnd& aEnd);
  void CountFailedCall(State& aState,
                       const Call& aCall,
                       const RelayCallEnd& aEnd);
  void OnUpstreamNotReached(State& aState,
                            const Call& aCall,
                            const RelayCallEnd& aEnd);
  void OnFailedRun(State& aState, const Call& aCall, const RelayCallEnd& aEnd);
  void CancelSecondCall(State& aState, CancelReason aReason);

  // Responses
  void SendHead(State& aState, const Call& aCall);
  void Respond(State& aState, RelayResponse aResponse);
  void Refuse(State& aState, RefusalKind aKind);
  Duration ChooseRetryAfter(const State& aState, RefusalKind aKind);
  void Finish(State& aState);

  // Path to upstreams
  std::string ChooseTunnel(const State& aState) const;
  void OnNotConnected(const std::string& aUpstream);
  void OnPathFailed(State& aState, const Call& aCall);
  void OnTunnelFailed(State& aState, const Call& aCall, NotReachedCause aCause);
  bool ConfirmByTunnel(const std::string& aUpstream,
                       const std::string& aAddress);
  void CheckPath();
  void StartCheck(const std::string& aUpstream,
                  const std::string& aAddress,
                  const std::string& aTunnel);

  // Crashes
  static RequestContents ContentsOf(const AdmittedRequest& aRequest);
  bool IsQuarantined(State& aState, TimePoint aNow);
  void RefuseQuarantined();
  bool HasJustBegun(const Call& aCall) const;
  void OnCallBroken(const State& aState, const Call& aCall);
  void ExcusePartsOf(const State& aState, Call& aCall);
  void ExcuseContentsOf(const State& aState);
  void OnUpstreamLost(const std::string& aUpstream);
  void OnUpstreamsLost(const std::vector<UpstreamLoss>& aLost);

  void UpdatePoolShares();

  // Evacuated zones and cold upstreams
  struct AssumedCold
  {
    int mReads = 0;             ///< Of the list by this VM since the return.
    StoreVersion mEntryVersion; ///< As of the second of them.
  };
  bool IsEvacuated(const std::string& aUpstream) const;
  void SetCold(const RelayUpstream& aUpstream,
               TimePoint aUntil,
               ColdSource aSource,
               TimePoint aNow);
  void LearnColdUpstreams(TimePoint aListedAt, ColdSource aSource);
  void EndAssumedCold();

  // Timers
  void OnDeadline(State& aState);

  RelayCommand& Command(RelayCommandKind aKind, const State& aState);
  RelayRetryBudget& RetryBudgetOf(const std::string& aService);

  Settings mSettings;
  RelayPolicy* mPolicy;
  Random* mRandom;
  std::shared_ptr<const RelayConfiguration> mConfiguration;
  std::size_t mVmCount = 1;

  // The event being handled: its time, and where its commands are appended.
  TimePoint mNow;
  RelayCommands* mOut = nullptr;

  UpstreamList mUpstreamList;
  UpstreamLoadTracker mLoads;
  UpstreamLimiter mLimiter;
  UpstreamSpeeds mSpeeds;
  UpstreamReach mReach;
  UpstreamChooser mChooser;
  PrefillPlanner mPlanner;
  CrashEvidence mCrashEvidence;
  std::map<std::string, RelayRetryBudget> mRetryBudgets; ///< By service.
  std::map<std::string, CallTimeEstimate> mCallTimes;    ///< By service.
  std::unordered_map<std::uint64_t, State> mRequests;
  bool mIsServiceEnded = false; ///< See EndService().
  bool mHasLeavingNews = false; ///< Waiting requests may be unservable now.
  std::optional<TimePoint> mLimitCheckAt; ///< The next; none: no limits.
  std::optional<TimePoint> mLimitTimerAt; ///< The earliest that is pending.
  /// Upstreams of returned zones that are assumed to be cold.
  std::map<std::string, AssumedCold> mAssumedCold;
  /// By service: when it was last checked which requests wait in vain.
  std::map<std::string, TimePoint> mHopelessCheckedAt;
  /// Requests that wait for capacity, by priority and then by id.
  std::set<std::pair<std::uint32_t, std::uint64_t>> mWaiting;
  TimerQueue mTimers;
  BrokenCallTracker mBrokenCalls;
  StreamOriginTable mOrigins;
  SoftwareVersions mVersions;
  /// Resumed streams that wait for their origin, by its key.
  std::map<std::string, std::set<std::uint64_t>> mAwaitingOrigin;
  RelayCounters mCounters;
};

} // namespace peridothoist
