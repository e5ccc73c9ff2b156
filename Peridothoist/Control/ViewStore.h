/// The view that a control process holds and propagates: configuration, recent
/// changes, share plan, suspended keys, and the freshness of the view.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/SharePlanScheduler.h>
#include <Peridothoist/Config/ConfigurationStore.h>
#include <Peridothoist/Keys/KeyAuthenticator.h>
#include <Peridothoist/View/ViewFreshness.h>
#include <Peridothoist/View/ViewChangeLog.h>

#include <peer.pb.h>

namespace peridothoist {

/// Receives events of a ViewStore.
class ViewStoreListener
{
public:
  virtual ~ViewStoreListener() = default;

  /// Called when the view has advanced to a newer version or plan epoch.
  virtual void OnViewChanged(const ViewStamp& aStamp) = 0;
};

/// Applies updates from the platform and from peers. Version and plan epoch
/// never decrease.
class ViewStore
{
public:
  ViewStore(const ViewFreshnessSettings& aFreshness,
            ViewStoreListener& aListener);

  /// Applies the change to the next version. Returns whether the view now holds
  /// the change.
  bool ApplyChange(const ConfigChange& aChange);

  /// Replaces the configuration if the given one is newer. Returns whether it
  /// was replaced.
  bool ApplyConfiguration(Configuration aConfiguration);

  /// Replaces the share plan if the epoch of the given one is newer. Returns
  /// whether it was replaced.
  bool ApplyPlan(const SharePlan& aPlan);

  /// Applies the changes or the snapshot in the message of a peer.
  template<typename Message>
  void ApplyUpdate(const Message& aMessage)
  {
    ApplyChanges(aMessage.changes());
    if (aMessage.has_snapshot()) {
      ApplySnapshot(aMessage.snapshot());
    }
  }

  /// Adds to a message the changes after aVersion, or a snapshot if the changes
  /// are no longer in the log.
  template<typename Message>
  void FillUpdate(std::uint64_t aVersion, Message& aMessage) const
  {
    const ViewDelta delta = mChangeLog.ChangesSince(aVersion);
    if (delta.mNeedsSnapshot) {
      *aMessage.mutable_snapshot() = MakeSnapshot();
      return;
    }
    AddChanges(delta.mChanges, *aMessage.mutable_changes());
  }

  /// Returns stamp and age of the view. The caller sets the fields about the
  /// platform.
  peer::ViewState MakeState(TimePoint aNow) const;

  // Changes in messages of peers, without a snapshot.
  using ChangeMessages = google::protobuf::RepeatedPtrField<peer::Change>;
  void ApplyChanges(const ChangeMessages& aMessages);
  static void AddChanges(const std::vector<ConfigChange>& aChanges,
                         ChangeMessages& aMessages);

  // Held state.
  std::uint64_t Version() const { return mStore.Get().mVersion; }
  const Configuration& Config() const { return mStore.Get(); }
  ConfigurationStore& ConfigStore() { return mStore; }
  const ViewChangeLog& ChangeLog() const { return mChangeLog; }
  const SharePlan& Plan() const { return mPlan; }
  ViewFreshness& Freshness() { return mFreshness; }
  const ViewFreshness& Freshness() const { return mFreshness; }
  KeyAuthenticator& SuspendedKeys() { return mSuspendedKeys; }
  const KeyAuthenticator& SuspendedKeys() const { return mSuspendedKeys; }

private:
  void ApplySnapshot(const peer::Snapshot& aMessage);
  peer::Snapshot MakeSnapshot() const;
  void OnAdvanced();

  ViewStoreListener& mListener;
  ConfigurationStore mStore;
  ViewChangeLog mChangeLog; ///< Invariant: ends at the store's version.
  SharePlan mPlan;
  ViewFreshness mFreshness;
  /// Used only for suspensions: holds no keys, because entries check those.
  KeyAuthenticator mSuspendedKeys;
};

} // namespace peridothoist
