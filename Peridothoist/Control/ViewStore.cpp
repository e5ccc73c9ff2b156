/// The configuration view of a control process.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ViewStore.h>

#include <Peridothoist/Peers/PeerCodec.h>
#include <Peridothoist/Shell/Log.h>

namespace peridothoist {

namespace {

KeyAuthenticatorSettings
SuspendedKeySettings()
{
  KeyAuthenticatorSettings settings;
  // Longer than the process that sent the commit needs to settle it while the
  // platform responds. After this time every process settles it independently.
  settings.mSettleAfter = std::chrono::seconds(3);
  return settings;
}

} // namespace

ViewStore::ViewStore(const ViewFreshnessSettings& aFreshness,
                     ViewStoreListener& aListener)
  : mListener(aListener)
  , mChangeLog(ViewChangeLogSettings())
  , mFreshness(aFreshness)
  , mSuspendedKeys(SuspendedKeySettings())
{
}

bool
ViewStore::ApplyChange(const ConfigChange& aChange)
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
  mChangeLog.Apply(aChange);
  OnAdvanced();
  return true;
}

bool
ViewStore::ApplyConfiguration(Configuration aConfiguration)
{
  if (aConfiguration.mVersion <= Version()) {
    return false;
  }
  mChangeLog.Reset(aConfiguration.mVersion);
  mStore = ConfigurationStore(std::move(aConfiguration));
  OnAdvanced();
  return true;
}

bool
ViewStore::ApplyPlan(const SharePlan& aPlan)
{
  if (aPlan.mEpoch <= mPlan.mEpoch) {
    return false;
  }
  mPlan = aPlan;
  OnAdvanced();
  return true;
}

void
ViewStore::OnAdvanced()
{
  PH_ASSERT(mChangeLog.Version() == Version());
  const ViewStamp stamp{ Version(), mPlan.mEpoch };
  const bool isAdvanced = mFreshness.AdvanceStamp(stamp);
  PH_ASSERT(isAdvanced);
  mSuspendedKeys.SetKeys(Version(), {});
  mListener.OnViewChanged(stamp);
}

void
ViewStore::ApplyChanges(const ChangeMessages& aMessages)
{
  for (const peer::Change& it : aMessages) {
    const auto change = FromMessage(it);
    if (!change || !ApplyChange(*change)) {
      return;
    }
  }
}

void
ViewStore::AddChanges(const std::vector<ConfigChange>& aChanges,
                      ChangeMessages& aMessages)
{
  for (const ConfigChange& it : aChanges) {
    *aMessages.Add() = ToMessage(it);
  }
}

void
ViewStore::ApplySnapshot(const peer::Snapshot& aMessage)
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
  ApplyConfiguration(store->Get());
}

peer::Snapshot
ViewStore::MakeSnapshot() const
{
  return ToSnapshotMessage(Version(), ListItems(Config()));
}

peer::ViewState
ViewStore::MakeState(TimePoint aNow) const
{
  peer::ViewState state;
  state.set_version(Version());
  state.set_plan_epoch(mPlan.mEpoch);
  const std::optional<Duration> age = mFreshness.Age(aNow);
  state.set_never_confirmed(!age.has_value());
  state.set_age_us(ToMicroseconds(age.value_or(Duration::zero())));
  return state;
}

} // namespace peridothoist
