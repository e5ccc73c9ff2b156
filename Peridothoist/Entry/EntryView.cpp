#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/EntryView.h>

#include <Peridothoist/Peers/PeerCodec.h>

namespace peridothoist {

namespace {

/// Separates a key's name from its digest. Neither of them contains it.
constexpr char kIdentitySeparator = '/';

KeyIdentity
DecodeIdentity(const std::string& aWorkspace, const std::string& aEncoded)
{
  const std::size_t at = aEncoded.find(kIdentitySeparator);
  KeyIdentity identity;
  identity.mWorkspace = aWorkspace;
  identity.mKeyName = aEncoded.substr(0, at);
  if (at != std::string::npos) {
    identity.mDigest = aEncoded.substr(at + 1);
  }
  return identity;
}

} // namespace

EntryView::EntryView(const Settings& aSettings, const std::string& aInstance)
  : mStore(std::make_shared<ConfigurationStore>())
  , mKeys(aSettings.mKeys)
  , mFreshness(aSettings.mFreshness)
  , mShares(aSettings.mAllowance, aInstance)
{
}

std::string
EntryView::EncodeIdentity(const KeyIdentity& aIdentity)
{
  return aIdentity.mKeyName + kIdentitySeparator + aIdentity.mDigest;
}

std::shared_ptr<const Configuration>
EntryView::SharedConfig() const
{
  return { mStore, &mStore->Get() };
}

bool
EntryView::Apply(const peer::ViewUpdate& aUpdate,
                 TimePoint aSent,
                 TimePoint aNow,
                 Reason* aReason)
{
  ApplySuspensions(aUpdate, aNow);
  const std::uint64_t versionBefore = Config().mVersion;
  const bool applied = ApplyConfiguration(aUpdate, aReason);
  if (Config().mVersion != versionBefore) {
    ActivateConfiguration(aNow);
  }
  ApplyPlan(aUpdate, aNow);
  if (aUpdate.members_size() > 0) {
    mMembers = MembersFromMessages(aUpdate.members());
  }
  ConfirmView(aUpdate, aSent);
  if (const auto until = mFreshness.FreshUntil()) {
    mShares.SetFreshUntil(*until, aNow);
  }
  return applied;
}

bool
EntryView::ApplyConfiguration(const peer::ViewUpdate& aUpdate, Reason* aReason)
{
  if (aUpdate.has_snapshot() && !ApplySnapshot(aUpdate.snapshot(), aReason)) {
    return false;
  }
  for (const peer::Change& change : aUpdate.changes()) {
    if (!ApplyChange(change, aReason)) {
      return false;
    }
  }
  return true;
}

bool
EntryView::ApplySnapshot(const peer::Snapshot& aSnapshot, Reason* aReason)
{
  if (aSnapshot.version() <= Config().mVersion) {
    return true;
  }
  const auto items = ItemsFromMessage(aSnapshot);
  if (!items) {
    Reason::Set(aReason, ReasonCode::Invalid, "snapshot: unknown item kind");
    return false;
  }
  auto store =
    ConfigurationStore::FromItems(aSnapshot.version(), *items, aReason);
  if (!store) {
    return false;
  }
  mStore = std::make_shared<ConfigurationStore>(std::move(*store));
  return true;
}

bool
EntryView::ApplyChange(const peer::Change& aChange, Reason* aReason)
{
  if (aChange.version() <= Config().mVersion) {
    return true;
  }
  const auto change = FromMessage(aChange);
  if (!change) {
    Reason::Set(aReason, ReasonCode::Invalid, "change: unknown item kind");
    return false;
  }
  return mStore->Apply(*change, aReason);
}

void
EntryView::ApplySuspensions(const peer::ViewUpdate& aUpdate, TimePoint aNow)
{
  for (const peer::Suspension& message : aUpdate.suspensions()) {
    mKeys.Suspend(FromMessage(message), aNow);
  }
}

void
EntryView::ApplyPlan(const peer::ViewUpdate& aUpdate, TimePoint aNow)
{
  for (const peer::SharePlan& message : aUpdate.plans()) {
    SharePlan plan = FromMessage(message);
    mShares.SetPlan(plan.mEpoch, std::move(plan.mEntryInstances), aNow);
  }
}

void
EntryView::ActivateConfiguration(TimePoint aNow)
{
  const Configuration& configuration = Config();
  mKeys.SetKeys(configuration.mVersion, configuration.mKeys);
  mShares.SetWorkspaces(configuration.mWorkspaces, aNow);
  mShares.SetShareStrategy(configuration.mDefaults.mShareStrategy);
  if (mListener != nullptr) {
    mListener->OnConfiguration(SharedConfig());
  }
}

void
EntryView::ConfirmView(const peer::ViewUpdate& aUpdate, TimePoint aSent)
{
  ViewStamp held;
  held.mVersion = Config().mVersion;
  held.mPlanEpoch = mShares.Epoch();
  mFreshness.AdvanceStamp(held);
  if (!aUpdate.has_view() || aUpdate.view().never_confirmed()) {
    return;
  }
  mFreshness.ConfirmByPeer(
    StampOf(aUpdate.view()), FromMicroseconds(aUpdate.view().age_us()), aSent);
}

std::optional<RefusalKind>
EntryView::CheckDispatch(const std::string& aWorkspace,
                         const std::string& aKeyName,
                         TimePoint aNow)
{
  if (!mFreshness.IsFresh(aNow)) {
    return RefusalKind::ViewStale;
  }
  if (aKeyName.empty()) {
    return std::nullopt;
  }
  if (!mKeys.IsStillValid(DecodeIdentity(aWorkspace, aKeyName), nullptr)) {
    return RefusalKind::KeyWithdrawn;
  }
  return std::nullopt;
}

const Member*
EntryView::FindEntry(const std::string& aInstance) const
{
  for (const Member& member : mMembers) {
    if (member.mEntryInstance == aInstance) {
      return &member;
    }
  }
  return nullptr;
}

} // namespace peridothoist
