#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/StageOrders.h>

#include <Peridothoist/Shell/Log.h>

namespace peridothoist {

StageOrders::StageOrders(const Settings& aSettings,
                         const std::string& aVm,
                         Reactor* aReactor,
                         HttpClient* aClient,
                         RowStore* aStore,
                         const UpstreamProtocol* aUpstreams,
                         RelayMachine* aMachine)
  : mSettings(aSettings)
  , mVm(aVm)
  , mReactor(aReactor)
  , mClient(aClient)
  , mStore(aStore)
  , mUpstreams(aUpstreams)
  , mMachine(aMachine)
  , mBalance(aSettings.mBalance)
{
}

StageOrders::~StageOrders()
{
  *mAlive = false;
}

void
StageOrders::Look(bool aLeads)
{
  FollowOrders();
  const auto chosen = mBalance.Choose(mMachine->Roster(), mReactor->Now());
  if (!aLeads) {
    return;
  }
  for (const RelayUpstream& engine : chosen) {
    Take(engine);
  }
}

/// Keeps work away from engines that change their stage, and removes the rows
/// of those that are gone.
void
StageOrders::FollowOrders()
{
  const TimePoint now = mReactor->Now();
  for (auto it = mOrdered.begin(); it != mOrdered.end();) {
    const Ordered& ordered = it->second;
    const RelayUpstream* engine = mMachine->Roster().Find(ordered.mEngine.mId);
    if (engine == nullptr || engine->mBorn != ordered.mEngine.mBorn) {
      mStore->Change(
        { mSettings.mTable, it->first, std::nullopt, std::nullopt },
        [](const Reason&, std::uint64_t) {});
      it = mOrdered.erase(it);
      continue;
    }
    const bool switches = engine->mStage == ordered.mEngine.mStage &&
                          now - ordered.mAt < mSettings.mSwitchTime;
    if (switches) {
      mMachine->Loads().OnGone(engine->mId, now);
    }
    ++it;
  }
}

void
StageOrders::Take(const RelayUpstream& aEngine)
{
  mBalance.OnTaken(aEngine);
  const RowChange row{
    mSettings.mTable, StageBalance::LifeOf(aEngine), mVm, std::uint64_t(0)
  };
  mStore->Change(row,
                 [this, aEngine, alive = mAlive](const Reason& aReason,
                                                 std::uint64_t aVersion) {
                   if (*alive) {
                     OnTaken(aEngine, aReason, aVersion);
                   }
                 });
}

void
StageOrders::OnTaken(const RelayUpstream& aEngine,
                     const Reason& aReason,
                     std::uint64_t aFence)
{
  if (aReason.mCode == ReasonCode::None && aFence > 0) {
    Order(aEngine, aFence);
    return;
  }
  // In doubt, the row may be there: the engine keeps its stage.
  const bool again = aReason.mCode == ReasonCode::Unreachable ||
                     aReason.mCode == ReasonCode::Refused;
  if (again) {
    mBalance.OnNotTaken(aEngine);
  }
  Log::Info("order_not_taken")
    .Field("upstream", aEngine.mId)
    .Field("born", aEngine.mBorn)
    .Field("code", ToName(aReason.mCode))
    .Field("again", again);
}

void
StageOrders::Order(const RelayUpstream& aEngine, std::uint64_t aFence)
{
  const TimePoint now = mReactor->Now();
  mOrdered[StageBalance::LifeOf(aEngine)] = { aEngine, now };
  mMachine->Loads().OnGone(aEngine.mId, now);
  Log::Info("order_given")
    .Field("upstream", aEngine.mId)
    .Field("born", aEngine.mBorn)
    .Field("stage", ToName(RelayStage::Decode))
    .Field("fence", aFence);
  mClient->Fetch(
    mUpstreams->MakeStageOrder(aEngine, RelayStage::Decode, mVm, aFence),
    [id = aEngine.mId, aFence](const HttpCallOutcome& aOutcome,
                               const std::string&) {
      Log::Info("order_answered")
        .Field("upstream", id)
        .Field("fence", aFence)
        .Field("end", ToName(aOutcome.mFailure))
        .Field("status", aOutcome.mStatus);
    });
}

} // namespace peridothoist
