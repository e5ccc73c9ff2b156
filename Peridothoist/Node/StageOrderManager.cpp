#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/StageOrderManager.h>

#include <Peridothoist/Node/NodeLog.h>
#include <Peridothoist/Node/UpstreamControlCall.h>
#include <Peridothoist/Shell/Log.h>

namespace peridothoist {

namespace {

/// Bits of a fencing number for the version's number. With as many eras as the
/// others leave, it stays exact as a floating-point number (53 bits).
constexpr unsigned kVersionBits = 40;

} // namespace

std::uint64_t
FencingNumberOf(const StoreVersion& aClaim)
{
  return (aClaim.mEra << kVersionBits) | aClaim.mNumber;
}

StageOrderManager::StageOrderManager(const Settings& aSettings,
                                     const std::string& aVm,
                                     Reactor* aReactor,
                                     HttpClient* aClient,
                                     RowStore* aStore,
                                     const UpstreamProtocol* aUpstreams,
                                     RelayStateMachine* aMachine)
  : mSettings(aSettings)
  , mVm(aVm)
  , mReactor(aReactor)
  , mClient(aClient)
  , mStore(aStore)
  , mUpstreams(aUpstreams)
  , mMachine(aMachine)
  , mBalancer(aSettings.mBalance)
{
}

StageOrderManager::~StageOrderManager()
{
  *mAlive = false;
}

void
StageOrderManager::Update(bool aIsLeader)
{
  UpdateOrderedEngines();
  const auto chosen =
    mBalancer.Choose(mMachine->ListedUpstreams(), mReactor->Now());
  if (!aIsLeader) {
    return;
  }
  for (const RelayUpstream& engine : chosen) {
    ClaimOrder(engine);
  }
}

/// Marks engines that are switching stage as unavailable, and removes the claim
/// rows of engines that no longer exist.
void
StageOrderManager::UpdateOrderedEngines()
{
  const TimePoint now = mReactor->Now();
  for (auto it = mOrderedEngines.begin(); it != mOrderedEngines.end();) {
    const OrderedEngine& ordered = it->second;
    const RelayUpstream* engine =
      mMachine->ListedUpstreams().Find(ordered.mEngine.mId);
    if (engine == nullptr ||
        engine->mIncarnationId != ordered.mEngine.mIncarnationId) {
      mStore->Change(
        { mSettings.mTable, it->first, std::nullopt, std::nullopt },
        [](const Reason&, StoreVersion) {});
      it = mOrderedEngines.erase(it);
      continue;
    }
    const bool isSwitching =
      engine->mStage == ordered.mEngine.mStage &&
      now - ordered.mOrderedAt < mSettings.mMaxSwitchTime;
    if (isSwitching) {
      mMachine->Loads().OnGone(engine->mId, now);
    }
    ++it;
  }
}

void
StageOrderManager::ClaimOrder(const RelayUpstream& aEngine)
{
  mBalancer.OnOrdered(aEngine);
  const RowChange row{ mSettings.mTable,
                       StageBalancer::IncarnationKey(aEngine),
                       mVm,
                       StoreVersion() };
  mStore->Change(row,
                 [this, aEngine, alive = mAlive](const Reason& aReason,
                                                 StoreVersion aVersion) {
                   if (*alive) {
                     OnOrderClaimed(aEngine, aReason, aVersion);
                   }
                 });
}

void
StageOrderManager::OnStoreRestored()
{
  for (const auto& [key, ordered] : mOrderedEngines) {
    mStore->Change({ mSettings.mTable, key, mVm, StoreVersion() },
                   [](const Reason&, StoreVersion) {});
  }
}

void
StageOrderManager::OnOrderClaimed(const RelayUpstream& aEngine,
                                  const Reason& aReason,
                                  const StoreVersion& aClaim)
{
  if (aReason.mCode == ReasonCode::None && aClaim.IsSet()) {
    const RelayUpstream* listed = mMachine->ListedUpstreams().Find(aEngine.mId);
    if (listed != nullptr && listed->mIsEvacuated) {
      WithdrawOrder(aEngine, aClaim);
    } else {
      SendOrder(aEngine, FencingNumberOf(aClaim));
    }
    return;
  }
  // If the result is in doubt, the row may exist and a second attempt would
  // fail. This engine then keeps its stage.
  const bool canRetry = aReason.mCode == ReasonCode::Unreachable ||
                        aReason.mCode == ReasonCode::Refused;
  if (canRetry) {
    mBalancer.OnOrderFailed(aEngine);
  }
  Log::Info("order_not_taken")
    .Field("upstream", aEngine.mId)
    .Field("born", aEngine.mIncarnationId)
    .Field("code", ToName(aReason.mCode))
    .Field("again", canRetry);
}

/// Gives up an order whose engine's availability zone was evacuated while the
/// order was claimed, so that it can be given after the evacuation.
void
StageOrderManager::WithdrawOrder(const RelayUpstream& aEngine,
                                 const StoreVersion& aClaim)
{
  mBalancer.OnOrderFailed(aEngine);
  mStore->Change({ mSettings.mTable,
                   StageBalancer::IncarnationKey(aEngine),
                   std::nullopt,
                   aClaim },
                 [](const Reason&, StoreVersion) {});
  Log::Info("order_withdrawn")
    .Field("upstream", aEngine.mId)
    .Field("born", aEngine.mIncarnationId);
}

void
StageOrderManager::SendOrder(const RelayUpstream& aEngine,
                             std::uint64_t aFencingNumber)
{
  const TimePoint now = mReactor->Now();
  mOrderedEngines[StageBalancer::IncarnationKey(aEngine)] = { aEngine, now };
  mMachine->Loads().OnGone(aEngine.mId, now);
  Log::Info("order_given")
    .Field("upstream", aEngine.mId)
    .Field("born", aEngine.mIncarnationId)
    .Field("stage", ToName(RelayStage::Decode))
    .Field("fence", aFencingNumber);
  const UpstreamProcess process{ aEngine.mId, aEngine.mIncarnationId };
  StartControlCall(
    *mClient,
    *mUpstreams,
    mUpstreams->MakeStageOrder(
      aEngine, RelayStage::Decode, mVm, aFencingNumber),
    [this, process, alive = mAlive](const UpstreamResponseHead& aHead) {
      const bool isNew = *alive && aHead.mStatesLeaving &&
                         mMachine->OnLeavingStated(process, mReactor->Now());
      if (isNew) {
        LogStatedLeaving(process, "order");
      }
    },
    [id = aEngine.mId, aFencingNumber](const HttpCallResult& aResult) {
      Log::Info("order_answered")
        .Field("upstream", id)
        .Field("fence", aFencingNumber)
        .Field("end", ToName(aResult.mFailure))
        .Field("status", aResult.mStatus);
    });
}

} // namespace peridothoist
