/// The view that a control process holds and passes on.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ViewKeeper.h>

#include <Peridothoist/Peers/PeerCodec.h>
#include <Peridothoist/Shell/Log.h>

namespace peridothoist {

namespace {

KeyRingSettings
SuspensionSettings()
{
  KeyRingSettings settings;
  // Longer than its own process takes to settle a commit while the platform
  // answers; then every process settles it for itself.
  settings.mSettleAfter = std::chrono::seconds(3);
  return settings;
}

} // namespace

ViewKeeper::ViewKeeper(const FreshViewSettings& aFresh,
                       ViewKeeperListener& aListener)
  : mListener(aListener)
  , mLog(ViewLogSettings())
  , mFresh(aFresh)
  , mSuspensions(SuspensionSettings())
{
}

bool
ViewKeeper::TakeChange(const ConfigChange& aChange)
{
  if (aChange.mVersion != Version() + 1) {
    return aChange.mVersion <= Version();
  }
  Reason reason;
  if (!mStore.Apply(aChange, &reason)) {
    Log::Error("config_change_unusable")
      .Field("version", aChange.mVersion)
      .Field("reason", reason.mText);
    return false;
  }
  mLog.Apply(aChange);
  OnRaised();
  return true;
}

bool
ViewKeeper::TakeConfiguration(Configuration aConfiguration)
{
  if (aConfiguration.mVersion <= Version()) {
    return false;
  }
  mLog.Reset(aConfiguration.mVersion);
  mStore = ConfigurationStore(std::move(aConfiguration));
  OnRaised();
  return true;
}

bool
ViewKeeper::TakePlan(const SharePlan& aPlan)
{
  if (aPlan.mEpoch <= mPlan.mEpoch) {
    return false;
  }
  mPlan = aPlan;
  OnRaised();
  return true;
}

void
ViewKeeper::OnRaised()
{
  PH_ASSERT(mLog.Version() == Version());
  const ViewStamp stamp{ Version(), mPlan.mEpoch };
  const bool held = mFresh.Hold(stamp);
  PH_ASSERT(held);
  mSuspensions.SetKeys(Version(), {});
  mListener.OnViewChanged(stamp);
}

void
ViewKeeper::TakeChanges(const ChangeMessages& aMessages)
{
  for (const peer::Change& it : aMessages) {
    const auto change = FromMessage(it);
    if (!change || !TakeChange(*change)) {
      return;
    }
  }
}

void
ViewKeeper::AddChanges(const std::vector<ConfigChange>& aChanges,
                       ChangeMessages& aMessages)
{
  for (const ConfigChange& it : aChanges) {
    *aMessages.Add() = ToMessage(it);
  }
}

void
ViewKeeper::TakeSnapshot(const peer::Snapshot& aMessage)
{
  const auto items = ItemsFromMessage(aMessage);
  if (aMessage.version() <= Version() || !items) {
    return;
  }
  Reason reason;
  auto store =
    ConfigurationStore::FromItems(aMessage.version(), *items, &reason);
  if (!store) {
    Log::Error("config_snapshot_unusable")
      .Field("version", aMessage.version())
      .Field("reason", reason.mText);
    return;
  }
  TakeConfiguration(store->Get());
}

peer::Snapshot
ViewKeeper::MakeSnapshot() const
{
  return ToSnapshotMessage(Version(), ItemsOf(Config()));
}

peer::ViewState
ViewKeeper::MakeState(TimePoint aNow) const
{
  peer::ViewState state;
  state.set_version(Version());
  state.set_plan_epoch(mPlan.mEpoch);
  const std::optional<Duration> age = mFresh.Age(aNow);
  state.set_never_confirmed(!age.has_value());
  state.set_age_us(ToMicroseconds(age.value_or(Duration::zero())));
  return state;
}

} // namespace peridothoist
