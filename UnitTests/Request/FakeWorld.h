/// Fake engines, services, table and callers round one or more routers. What
/// happens next, and what goes wrong, is the test's choice: each call is taken
/// one stage further by Step().
#pragma once

#include <Request/FakeCallers.h>
#include <Request/FakeConfiguration.h>
#include <Request/FakeTable.h>
#include <Request/Router.h>

#include <algorithm>
#include <set>

namespace peridothoist::test {

enum class Fault
{
  None,
  NotConnected, ///< Nothing leaves.
  Lose,         ///< The request, or the answer after its effect, is lost.
  Break,        ///< Closed before the answer is whole.
  Duplicate,    ///< The answer comes twice.
  BadStatus     ///< A whole answer of an unwanted status.
};

class FakeWorld
{
public:
  using Ask = FakeCallers::Ask;
  using Caller = FakeCallers::Caller;
  static constexpr std::uint32_t kTokens = FakeCallers::kTokens;

  explicit FakeWorld(std::shared_ptr<Configuration> aConfig)
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

  // What tests do
  std::uint64_t Arrive(std::size_t aRouter, const Ask& aAsk)
  {
    const std::uint64_t id = mNextId++;
    Caller& caller = mCallers[id];
    caller.mAsk = aAsk;
    caller.mArrivedAt = mNow;
    Event event;
    event.mKind = EventKind::Arrival;
    Arrival& arrival = event.mArrival;
    arrival.mId = id;
    arrival.mWorkspace = aAsk.mWorkspace;
    arrival.mKeyName = "k";
    arrival.mRoute = std::make_shared<Route>(mConfig->mRoutes[aAsk.mRoute]);
    arrival.mBodyDigest = aAsk.mBody;
    arrival.mIdempotencyKey = aAsk.mKey;
    arrival.mPromptTokens = 100;
    arrival.mMaxTokens = kTokens;
    arrival.mStreaming = aAsk.mStreaming;
    arrival.mArrivedAt = mNow;
    Tell(aRouter % mRouters.size(), event);
    return id;
  }

  /// Takes one open call a stage further.
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
      case Stage::OnWire:
        StepOnWire(call, aFault);
        break;
      case Stage::Streaming:
        StepStreaming(call, aFault);
        break;
      case Stage::Answering:
        StepAnswering(call, aFault);
        break;
    }
  }

  void LeaveCaller(std::size_t aNumber)
  {
    if (mCallers.empty()) {
      return;
    }
    auto it = mCallers.begin();
    std::advance(it, std::ptrdiff_t(aNumber % mCallers.size()));
    it->second.mGone = true;
    Event event;
    event.mKind = EventKind::CallerGone;
    event.mId = it->first;
    Tell(mRouterOf[it->first], event);
  }

  void Crash(const std::string& aUpstream)
  {
    Engine& engine = mEngines[aUpstream];
    if (!engine.mAlive) {
      return;
    }
    engine.mAlive = false;
    engine.mHeld.clear();
    for (const CallPointer& call : mCalls) {
      const bool there = call->mCommand.mUpstream == aUpstream;
      if (there && call->mStage != Stage::Connecting) {
        call->mStage = Stage::Answering;
        call->mAnswer = Failed(*call, CallEnd::Broken);
      }
    }
    NoticeAll(aUpstream, EventKind::Dead);
  }

  /// Cuts an upstream off: it runs on and keeps its memory, unseen.
  void Cut(const std::string& aUpstream)
  {
    Engine& engine = mEngines[aUpstream];
    if (!engine.mAlive || !engine.mReachable) {
      return;
    }
    engine.mReachable = false;
    for (const CallPointer& call : mCalls) {
      const bool there = call->mCommand.mUpstream == aUpstream;
      if (there && call->mStage != Stage::Connecting) {
        call->mStage = Stage::Answering;
        call->mAnswer = Failed(*call, CallEnd::TimedOut);
      }
    }
    NoticeAll(aUpstream, EventKind::Dead, DeathKind::Unreachable);
  }

  void Revive(const std::string& aUpstream)
  {
    Engine& engine = mEngines[aUpstream];
    if (!engine.mAlive || !engine.mReachable) {
      engine.mAlive = true;
      engine.mReachable = true;
      NoticeAll(aUpstream, EventKind::Alive);
    }
  }

  void Report(const std::string& aUpstream)
  {
    const Engine& engine = mEngines[aUpstream];
    if (engine.mAlive && engine.mReachable) {
      NoticeAll(aUpstream, EventKind::Load);
    }
  }

  /// Delivers the oldest notice about upstreams.
  void StepNotice()
  {
    if (!mNotices.empty()) {
      const Notice notice = mNotices.front();
      mNotices.erase(mNotices.begin());
      Tell(notice.mRouter, notice.mEvent);
    }
  }

  void SetLeaving(const std::string& aUpstream, bool aLeaving)
  {
    Change([&](Configuration& aConfig) {
      aConfig.mUpstreams[aUpstream].mLeaving = aLeaving;
    });
  }

  /// Puts an edited configuration in force at all routers.
  void Change(const std::function<void(Configuration&)>& aEdit)
  {
    auto config = std::make_shared<Configuration>(*mConfig);
    aEdit(*config);
    ++config->mVersion;
    mConfig = config;
    for (std::size_t n = 0; n < mRouters.size(); ++n) {
      Event event;
      event.mKind = EventKind::Config;
      event.mConfig = config;
      Tell(n, event);
    }
  }

  /// Lets time pass. Notices are never later than this, and what is on the
  /// wire of an aborted call doesn't outlive it by much.
  void Advance(Duration aBy)
  {
    while (!mNotices.empty()) {
      StepNotice();
    }
    mNow += aBy;
    const auto dead = [this](const CallPointer& aCall) {
      return aCall->mAborted && mNow - aCall->mSentAt > 1500ms;
    };
    mCalls.erase(std::remove_if(mCalls.begin(), mCalls.end(), dead),
                 mCalls.end());
    for (std::size_t n = 0; n < mRouters.size(); ++n) {
      Tell(n, Event());
    }
  }

  /// Lets all end without further faults. False when it doesn't.
  bool Quiesce()
  {
    for (auto& [name, engine] : mEngines) {
      Revive(name);
    }
    for (int n = 0; n < 2000; ++n) {
      for (int i = 0; i < 1000 && StepAll(); ++i) {
      }
      if (mCalls.empty() && mNotices.empty() && AllIdle()) {
        return true;
      }
      for (auto& [name, engine] : mEngines) {
        Report(name);
      }
      Advance(200ms);
    }
    return false;
  }

  /// Steps every call once without fault; false when none is open.
  bool StepAll()
  {
    while (!mNotices.empty()) {
      StepNotice();
    }
    const std::size_t calls = mCalls.size();
    for (std::size_t n = 0; n < calls; ++n) {
      Step(n, Fault::None);
    }
    return calls > 0;
  }

  /// Checks what must hold when all is over.
  void CheckEnd()
  {
    for (const auto& [id, caller] : mCallers) {
      mRules.Require(
        caller.mGone || caller.mFinals == 1, "not answered once", id);
      const bool refused = caller.mRefusal.has_value();
      const bool notRun =
        refused && caller.mRefusal->mVerdict == RunVerdict::NotRun;
      mRules.Require(!notRun || caller.mExecuted == 0, "not run, but ran", id);
    }
    for (const auto& [name, engine] : mEngines) {
      mRules.Require(engine.mHeld.empty(), "memory held at the end", 0);
    }
  }

  /// The first thing seen that must not happen; empty when none was.
  const std::string& Violation() const { return mRules.Violation(); }

  // What tests look at
  std::map<std::uint64_t, Caller>& Callers() { return mCallers; }
  std::size_t OpenCalls() const { return mCalls.size(); }
  TimePoint Now() const { return mNow; }
  Router& At(std::size_t aRouter) { return *mRouters[aRouter]; }
  /// Only this violation counts; empty: all do.
  void SetOnly(const std::string& aOnly) { mRules.SetOnly(aOnly); }

  std::set<std::string> mPoison;     ///< Bodies that crash what runs them.
  std::map<std::string, int> mKills; ///< Crashes, by poisonous body.
  int mContentSent = 0;  ///< Calls with content of which bytes left.
  int mContentCalls = 0; ///< Calls with content that were tried at all.
  bool mAllDown = false; ///< Every connection fails.

private:
  enum class Stage
  {
    Connecting,
    OnWire,
    Streaming,
    Answering
  };

  /// One call of a router, on its way.
  struct Call
  {
    std::size_t mRouter = 0;
    RequestCommand mCommand;
    Stage mStage = Stage::Connecting;
    Event mAnswer;
    std::uint32_t mNextToken = 0;
    bool mAborted = false; ///< Its router doesn't hear of it any more.
    TimePoint mSentAt;
  };

  using CallPointer = std::shared_ptr<Call>;

  struct Engine
  {
    bool mAlive = true;
    bool mReachable = true;
    std::map<std::string, std::uint32_t> mHeld; ///< Pieces, by request id.
  };

  struct Notice
  {
    std::size_t mRouter;
    Event mEvent;
  };

  static bool IsContent(RequestCommandKind aKind)
  {
    return aKind == RequestCommandKind::Prefill ||
           aKind == RequestCommandKind::CallPlain;
  }

  bool AllIdle() const
  {
    return std::all_of(mRouters.begin(),
                       mRouters.end(),
                       [](const auto& aRouter) { return aRouter->IsIdle(); });
  }

  void Tell(std::size_t aRouter, const Event& aEvent)
  {
    if (aEvent.mKind == EventKind::Arrival) {
      mRouterOf[aEvent.mArrival.mId] = aRouter;
    }
    RequestCommands commands;
    mRouters[aRouter]->Handle(aEvent, mNow, commands);
    for (RequestCommand& it : commands) {
      Perform(aRouter, std::move(it));
    }
  }

  void NoticeAll(const std::string& aUpstream,
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
      for (const auto& [request, pieces] : engine.mHeld) {
        held += pieces;
      }
      const std::uint32_t total = mConfig->mUpstreams[aUpstream].mMemoryPieces;
      notice.mEvent.mLoad.mTotalPieces = total;
      notice.mEvent.mLoad.mFreePieces = total - std::min(total, held);
      notice.mEvent.mLoad.mRunning = std::uint32_t(engine.mHeld.size());
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
        mRules.Require(!mConfig->mUpstreams[aCommand.mUpstream].mLeaving,
                       "new work at a leaving upstream",
                       aCommand.mId);
        mContentCalls += IsContent(aCommand.mKind) ? 1 : 0;
        Start(aRouter, std::move(aCommand));
        break;
      case RequestCommandKind::InsertClaim:
      case RequestCommandKind::Import:
      case RequestCommandKind::Decode:
      case RequestCommandKind::RecordOutcome:
        Start(aRouter, std::move(aCommand));
        break;
      default:
        mSeen.Perform(aCommand);
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

  /// A cancel closes its attempt's open calls at the upstream. What is on the
  /// wire may arrive all the same.
  void Abort(const RequestCommand& aCancel)
  {
    std::vector<CallPointer> gone;
    for (const CallPointer& call : mCalls) {
      const RequestCommand& command = call->mCommand;
      const bool same = command.mId == aCancel.mId &&
                        command.mAttempt == aCancel.mAttempt &&
                        command.mUpstream == aCancel.mUpstream;
      if (!same || command.mKind == RequestCommandKind::Cancel) {
        continue;
      }
      call->mAborted = true;
      call->mSentAt = mNow;
      if (call->mStage != Stage::OnWire) {
        gone.push_back(call);
      }
    }
    for (const CallPointer& call : gone) {
      Drop(call);
    }
  }

  void Drop(const CallPointer& aCall)
  {
    mCalls.erase(std::remove(mCalls.begin(), mCalls.end(), aCall),
                 mCalls.end());
  }

  // Stages
  void StepConnecting(const CallPointer& aCall, Fault aFault);
  void StepOnWire(const CallPointer& aCall, Fault aFault);
  void StepAnswering(const CallPointer& aCall, Fault aFault);
  void StepStreaming(const CallPointer& aCall, Fault aFault);
  void Answer(const CallPointer& aCall);
  Event Ok(const Call& aCall, int aStatus) const;
  Event Failed(const Call& aCall, CallEnd aEnd) const;

  // Upstreams and the table
  void Arrive(const CallPointer& aCall, Fault aFault);
  void ArriveReserve(Call& aCall, Engine& aEngine, const std::string& aId);
  void Execute(Call& aCall);

  std::shared_ptr<Configuration> mConfig;
  TimePoint mNow;
  std::vector<std::unique_ptr<Router>> mRouters;
  Rules mRules;
  FakeCallers mSeen{ mRules };
  std::map<std::uint64_t, Caller>& mCallers = mSeen.mCallers;
  std::map<std::uint64_t, std::size_t> mRouterOf;
  std::map<std::string, Engine> mEngines;
  FakeTable mTable;
  std::map<std::string, int> mExecutedKeys;
  std::vector<CallPointer> mCalls;
  std::vector<Notice> mNotices;
  std::uint64_t mNextId = 1;
};

} // namespace peridothoist::test

#include <Request/FakeWorldStages.h>
