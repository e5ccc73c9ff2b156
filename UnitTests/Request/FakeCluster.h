/// A simulated cluster: fake engines, plain services, claim table and callers
/// around one or more routers. The test decides what happens next and which
/// faults occur: Step() advances one call by one stage.
#pragma once

#include <Request/FakeCallers.h>
#include <Request/FakeConfiguration.h>
#include <Request/FakeClaimTable.h>
#include <Request/Router.h>

#include <algorithm>
#include <set>

namespace peridothoist::test {

/// A fault to inject into a step of a call.
enum class Fault
{
  None,
  NotConnected, ///< The connection fails; nothing is sent.
  Lose,         ///< The request is lost, or its response after it ran.
  Break,        ///< Closed before the response is complete.
  Duplicate,    ///< The response is delivered twice.
  BadStatus     ///< A complete response with an error status.
};

/// The simulated cluster. Events are delivered to the routers, and their
/// commands are performed.
class FakeCluster
{
public:
  using RequestSpec = FakeCallers::RequestSpec;
  using Caller = FakeCallers::Caller;
  static constexpr std::uint32_t kTokens = FakeCallers::kTokens;

  explicit FakeCluster(std::shared_ptr<Configuration> aConfig)
    : mConfig(std::move(aConfig))
    , mNow(TimePoint(1h))
  {
    for (const auto& [name, upstream] : mConfig->mUpstreams) {
      mEngines[name] = Engine();
    }
  }

  void AddRouter(std::unique_ptr<Router> aRouter)
  {
    mRouters.push_back(std::move(aRouter));
  }

  // Actions of the tests

  /// Sends a request to a router. Returns its id.
  std::uint64_t SendRequest(std::size_t aRouter, const RequestSpec& aSpec)
  {
    const std::uint64_t id = mNextId++;
    Caller& caller = mCallers[id];
    caller.mSpec = aSpec;
    caller.mArrivedAt = mNow;
    Event event;
    event.mKind = EventKind::Arrival;
    Arrival& arrival = event.mArrival;
    arrival.mId = id;
    arrival.mWorkspace = aSpec.mWorkspace;
    arrival.mKeyName = "k";
    arrival.mRoute = std::make_shared<Route>(mConfig->mRoutes[aSpec.mRoute]);
    arrival.mRequestDigest = aSpec.mBody;
    arrival.mIdempotencyKey = aSpec.mKey;
    arrival.mPromptTokens = 100;
    arrival.mMaxTokens = kTokens;
    arrival.mStreaming = aSpec.mStreaming;
    arrival.mArrivedAt = mNow;
    Deliver(aRouter % mRouters.size(), event);
    return id;
  }

  /// Advances one open call by one stage.
  void Step(std::size_t aNumber, Fault aFault)
  {
    if (mCalls.empty()) {
      return;
    }
    const CallPointer call = mCalls[aNumber % mCalls.size()];
    switch (call->mStage) {
      case Stage::Connecting:
        StepConnecting(call, aFault);
        break;
      case Stage::InTransit:
        StepInTransit(call, aFault);
        break;
      case Stage::Streaming:
        StepStreaming(call, aFault);
        break;
      case Stage::Responding:
        StepResponding(call, aFault);
        break;
    }
  }

  void DisconnectCaller(std::size_t aNumber)
  {
    if (mCallers.empty()) {
      return;
    }
    auto it = mCallers.begin();
    std::advance(it, std::ptrdiff_t(aNumber % mCallers.size()));
    it->second.mIsGone = true;
    Event event;
    event.mKind = EventKind::CallerGone;
    event.mId = it->first;
    Deliver(mRouterByRequest[it->first], event);
  }

  /// Crashes an upstream: it loses its memory and breaks its open calls.
  void Crash(const std::string& aUpstream)
  {
    Engine& engine = mEngines[aUpstream];
    if (!engine.mIsAlive) {
      return;
    }
    engine.mIsAlive = false;
    engine.mReservedPieces.clear();
    for (const CallPointer& call : mCalls) {
      const bool isThere = call->mCommand.mUpstream == aUpstream;
      if (isThere && call->mStage != Stage::Connecting) {
        call->mStage = Stage::Responding;
        call->mResult = MakeFailure(*call, CallEnd::Broken);
      }
    }
    QueueNotices(aUpstream, EventKind::Dead);
  }

  /// Disconnects an upstream: it becomes unreachable, but continues to run and
  /// keeps its memory.
  void Disconnect(const std::string& aUpstream)
  {
    Engine& engine = mEngines[aUpstream];
    if (!engine.mIsAlive || !engine.mIsReachable) {
      return;
    }
    engine.mIsReachable = false;
    for (const CallPointer& call : mCalls) {
      const bool isThere = call->mCommand.mUpstream == aUpstream;
      if (isThere && call->mStage != Stage::Connecting) {
        call->mStage = Stage::Responding;
        call->mResult = MakeFailure(*call, CallEnd::TimedOut);
      }
    }
    QueueNotices(aUpstream, EventKind::Dead, DeathKind::Unreachable);
  }

  /// Makes an upstream silent: it counts as unreachable and new connections to
  /// it fail, but its open calls continue when they are stepped.
  void Silence(const std::string& aUpstream)
  {
    mEngines[aUpstream].mIsReachable = false;
    QueueNotices(aUpstream, EventKind::Dead, DeathKind::Unreachable);
  }

  /// Restarts a crashed upstream, or reconnects a disconnected one.
  void Recover(const std::string& aUpstream)
  {
    Engine& engine = mEngines[aUpstream];
    if (!engine.mIsAlive || !engine.mIsReachable) {
      engine.mIsAlive = true;
      engine.mIsReachable = true;
      QueueNotices(aUpstream, EventKind::Alive);
    }
  }

  /// Queues a load report of an upstream.
  void ReportLoad(const std::string& aUpstream)
  {
    const Engine& engine = mEngines[aUpstream];
    if (engine.mIsAlive && engine.mIsReachable) {
      QueueNotices(aUpstream, EventKind::Load);
    }
  }

  /// Delivers the oldest queued event about an upstream.
  void DeliverNextNotice()
  {
    if (!mNotices.empty()) {
      const Notice notice = mNotices.front();
      mNotices.erase(mNotices.begin());
      Deliver(notice.mRouter, notice.mEvent);
    }
  }

  void SetLeaving(const std::string& aUpstream, bool aLeaving)
  {
    ChangeConfiguration([&](Configuration& aConfig) {
      aConfig.mUpstreams[aUpstream].mIsLeaving = aLeaving;
    });
  }

  /// Applies an edited configuration to all routers.
  void ChangeConfiguration(const std::function<void(Configuration&)>& aEdit)
  {
    auto config = std::make_shared<Configuration>(*mConfig);
    aEdit(*config);
    ++config->mVersion;
    mConfig = config;
    for (std::size_t n = 0; n < mRouters.size(); ++n) {
      Event event;
      event.mKind = EventKind::Config;
      event.mConfig = config;
      Deliver(n, event);
    }
  }

  /// Delivers all queued notices, advances the time, drops the calls that were
  /// aborted more than 1.5 s ago but are still in transit, and ticks all
  /// routers.
  void AdvanceTime(Duration aBy)
  {
    while (!mNotices.empty()) {
      DeliverNextNotice();
    }
    mNow += aBy;
    const auto isExpired = [this](const CallPointer& aCall) {
      return aCall->mIsAborted && mNow - aCall->mSentAt > 1500ms;
    };
    mCalls.erase(std::remove_if(mCalls.begin(), mCalls.end(), isExpired),
                 mCalls.end());
    for (std::size_t n = 0; n < mRouters.size(); ++n) {
      Deliver(n, Event());
    }
  }

  /// Runs without further faults until everything has ended. Returns false if
  /// that does not happen.
  bool RunUntilIdle()
  {
    for (auto& [name, engine] : mEngines) {
      Recover(name);
    }
    for (int n = 0; n < 2000; ++n) {
      for (int i = 0; i < 1000 && StepAll(); ++i) {
      }
      if (mCalls.empty() && mNotices.empty() && AreAllIdle()) {
        return true;
      }
      for (auto& [name, engine] : mEngines) {
        ReportLoad(name);
      }
      AdvanceTime(200ms);
    }
    return false;
  }

  /// Steps every call once without fault. Returns false if no call is open.
  bool StepAll()
  {
    while (!mNotices.empty()) {
      DeliverNextNotice();
    }
    const std::size_t calls = mCalls.size();
    for (std::size_t n = 0; n < calls; ++n) {
      Step(n, Fault::None);
    }
    return calls > 0;
  }

  /// Checks the invariants that must hold when everything has ended.
  void CheckFinalState()
  {
    for (const auto& [id, caller] : mCallers) {
      mInvariants.Check(caller.mIsGone || caller.mFinalResponses == 1,
                        "not exactly one final response",
                        id);
      const bool isRefused = caller.mRefusal.has_value();
      const bool isNotRun =
        isRefused && caller.mRefusal->mVerdict == RunVerdict::NotRun;
      mInvariants.Check(!isNotRun || caller.mExecutions == 0,
                        "verdict not run, but executed",
                        id);
    }
    for (const auto& [name, engine] : mEngines) {
      mInvariants.Check(
        engine.mReservedPieces.empty(), "memory still reserved", 0);
    }
  }

  /// Returns the first violated invariant; empty if none was.
  const std::string& Violation() const { return mInvariants.Violation(); }

  // State for the tests to inspect
  std::map<std::uint64_t, Caller>& Callers() { return mCallers; }
  std::size_t OpenCalls() const { return mCalls.size(); }
  TimePoint Now() const { return mNow; }
  Router& RouterAt(std::size_t aRouter) { return *mRouters[aRouter]; }
  /// Ignores all other invariants; empty: checks all.
  void CheckOnly(const std::string& aOnlyInvariant)
  {
    mInvariants.CheckOnly(aOnlyInvariant);
  }

  /// Request bodies that crash the upstream that runs them.
  std::set<std::string> mCrashingBodies;
  std::map<std::string, int> mCrashesByBody; ///< Crashes they caused.
  int mContentSentCount = 0;       ///< Calls of which content was sent.
  int mContentCallCount = 0;       ///< Calls with content, sent or not.
  bool mAreAllUnreachable = false; ///< Every connection fails.

private:
  enum class Stage
  {
    Connecting,
    InTransit,
    Streaming,
    Responding
  };

  /// An open call of a router.
  struct Call
  {
    std::size_t mRouter = 0;
    RequestCommand mCommand;
    Stage mStage = Stage::Connecting;
    Event mResult;
    std::uint32_t mNextToken = 0;
    bool mIsAborted = false; ///< Its result is not delivered to the router.
    TimePoint mSentAt;       ///< When it was sent, or aborted.
  };

  using CallPointer = std::shared_ptr<Call>;

  struct Engine
  {
    bool mIsAlive = true;
    bool mIsReachable = true;
    std::map<std::string, std::uint32_t>
      mReservedPieces; ///< Reserved pieces, by request id.
  };

  /// An event about an upstream that is not delivered yet.
  struct Notice
  {
    std::size_t mRouter;
    Event mEvent;
  };

  /// Returns whether a call carries content of the request.
  static bool IsContent(RequestCommandKind aKind)
  {
    return aKind == RequestCommandKind::Prefill ||
           aKind == RequestCommandKind::CallPlain;
  }

  bool AreAllIdle() const
  {
    return std::all_of(mRouters.begin(),
                       mRouters.end(),
                       [](const auto& aRouter) { return aRouter->IsIdle(); });
  }

  /// Delivers an event to a router and performs its commands.
  void Deliver(std::size_t aRouter, const Event& aEvent)
  {
    if (aEvent.mKind == EventKind::Arrival) {
      mRouterByRequest[aEvent.mArrival.mId] = aRouter;
    }
    RequestCommands commands;
    mRouters[aRouter]->Handle(aEvent, mNow, commands);
    for (RequestCommand& it : commands) {
      Perform(aRouter, std::move(it));
    }
  }

  /// Queues an event about an upstream for each router.
  void QueueNotices(const std::string& aUpstream,
                    EventKind aKind,
                    DeathKind aDeath = DeathKind::Crashed)
  {
    for (std::size_t n = 0; n < mRouters.size(); ++n) {
      Notice notice{ n, Event() };
      notice.mEvent.mKind = aKind;
      notice.mEvent.mUpstream = aUpstream;
      notice.mEvent.mDeath = aDeath;
      const Engine& engine = mEngines[aUpstream];
      std::uint32_t held = 0;
      for (const auto& [request, pieces] : engine.mReservedPieces) {
        held += pieces;
      }
      const std::uint32_t total = mConfig->mUpstreams[aUpstream].mMemoryPieces;
      notice.mEvent.mLoad.mTotalPieces = total;
      notice.mEvent.mLoad.mFreePieces = total - std::min(total, held);
      notice.mEvent.mLoad.mRunning =
        std::uint32_t(engine.mReservedPieces.size());
      mNotices.push_back(notice);
    }
  }

  static std::string RequestId(const Call& aCall)
  {
    return std::to_string(aCall.mCommand.mId) + "/" +
           std::to_string(aCall.mCommand.mAttempt);
  }

  // Commands
  void Perform(std::size_t aRouter, RequestCommand aCommand)
  {
    switch (aCommand.mKind) {
      case RequestCommandKind::Cancel:
        Abort(aCommand);
        Start(aRouter, std::move(aCommand));
        break;
      case RequestCommandKind::Reserve:
      case RequestCommandKind::Prefill:
      case RequestCommandKind::CallPlain:
        mInvariants.Check(!mConfig->mUpstreams[aCommand.mUpstream].mIsLeaving,
                          "new call to a leaving upstream",
                          aCommand.mId);
        mContentCallCount += IsContent(aCommand.mKind) ? 1 : 0;
        Start(aRouter, std::move(aCommand));
        break;
      case RequestCommandKind::InsertClaim:
      case RequestCommandKind::Import:
      case RequestCommandKind::Decode:
      case RequestCommandKind::RecordOutcome:
        Start(aRouter, std::move(aCommand));
        break;
      default:
        mFakeCallers.Perform(aCommand);
        break;
    }
  }

  void Start(std::size_t aRouter, RequestCommand aCommand)
  {
    auto call = std::make_shared<Call>();
    call->mRouter = aRouter;
    call->mCommand = std::move(aCommand);
    call->mSentAt = mNow;
    mCalls.push_back(std::move(call));
  }

  /// Closes the open calls of a cancelled attempt at the upstream. Calls in
  /// transit may arrive nevertheless.
  void Abort(const RequestCommand& aCancel)
  {
    std::vector<CallPointer> removed;
    for (const CallPointer& call : mCalls) {
      const RequestCommand& command = call->mCommand;
      const bool isSame = command.mId == aCancel.mId &&
                          command.mAttempt == aCancel.mAttempt &&
                          command.mUpstream == aCancel.mUpstream;
      if (!isSame || command.mKind == RequestCommandKind::Cancel) {
        continue;
      }
      call->mIsAborted = true;
      call->mSentAt = mNow;
      if (call->mStage != Stage::InTransit) {
        removed.push_back(call);
      }
    }
    for (const CallPointer& call : removed) {
      RemoveCall(call);
    }
  }

  void RemoveCall(const CallPointer& aCall)
  {
    mCalls.erase(std::remove(mCalls.begin(), mCalls.end(), aCall),
                 mCalls.end());
  }

  // Stages
  void StepConnecting(const CallPointer& aCall, Fault aFault);
  void StepInTransit(const CallPointer& aCall, Fault aFault);
  void StepResponding(const CallPointer& aCall, Fault aFault);
  void StepStreaming(const CallPointer& aCall, Fault aFault);
  void DeliverResult(const CallPointer& aCall);
  Event MakeResult(const Call& aCall, int aStatus) const;
  Event MakeFailure(const Call& aCall, CallEnd aEnd) const;

  // Upstreams and the table
  /// Handles a call that has reached its upstream or the table.
  void HandleAtUpstream(const CallPointer& aCall, Fault aFault);
  void HandleReserve(Call& aCall, Engine& aEngine, const std::string& aId);
  /// Runs the content of a request on an upstream.
  void ExecuteContent(Call& aCall);

  std::shared_ptr<Configuration> mConfig;
  TimePoint mNow;
  std::vector<std::unique_ptr<Router>> mRouters;
  InvariantChecker mInvariants;
  FakeCallers mFakeCallers{ mInvariants };
  std::map<std::uint64_t, Caller>& mCallers = mFakeCallers.mCallers;
  std::map<std::uint64_t, std::size_t> mRouterByRequest;
  std::map<std::string, Engine> mEngines;
  FakeClaimTable mClaimTable;
  std::map<std::string, int> mExecutedKeys;
  std::vector<CallPointer> mCalls;
  std::vector<Notice> mNotices;
  std::uint64_t mNextId = 1;
};

} // namespace peridothoist::test

#include <Request/FakeClusterStages.h>
