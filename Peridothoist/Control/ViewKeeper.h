/// The view that a control process holds and passes on: configuration, recent
/// changes, share plan, suspended keys, and how fresh all that is.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/PlanKeeper.h>
#include <Peridothoist/Config/ConfigurationStore.h>
#include <Peridothoist/Keys/KeyRing.h>
#include <Peridothoist/View/FreshView.h>
#include <Peridothoist/View/ViewLog.h>

#include <peer.pb.h>

namespace peridothoist {

/// Told that the view went up.
class ViewKeeperListener
{
public:
  virtual ~ViewKeeperListener() = default;

  /// The view holds a newer version or plan epoch than before.
  virtual void OnViewChanged(const ViewStamp& aStamp) = 0;
};

/// Takes in what comes from the platform and from peers; only goes up.
class ViewKeeper
{
public:
  ViewKeeper(const FreshViewSettings& aFresh, ViewKeeperListener& aListener);

  /// Takes the next change. True when the view now holds it.
  bool TakeChange(const ConfigChange& aChange);

  /// Takes a whole configuration when it is newer than the held one.
  bool TakeConfiguration(Configuration aConfiguration);

  /// Takes a share plan when its epoch is newer.
  bool TakePlan(const SharePlan& aPlan);

  /// Takes what a peer sent to bring this view up to date.
  template<typename Message>
  void TakeUpdate(const Message& aMessage)
  {
    TakeChanges(aMessage.changes());
    if (aMessage.has_snapshot()) {
      TakeSnapshot(aMessage.snapshot());
    }
  }

  /// Adds what a peer at aVersion lacks to a message.
  template<typename Message>
  void FillUpdate(std::uint64_t aVersion, Message& aMessage) const
  {
    const ViewDelta delta = mLog.ChangesSince(aVersion);
    if (delta.mNeedsSnapshot) {
      *aMessage.mutable_snapshot() = MakeSnapshot();
      return;
    }
    AddChanges(delta.mChanges, *aMessage.mutable_changes());
  }

  /// The view's stamp and age; the caller adds what it knows of the platform.
  peer::ViewState MakeState(TimePoint aNow) const;

  // Changes a peer lacks, without a snapshot.
  using ChangeMessages = google::protobuf::RepeatedPtrField<peer::Change>;
  void TakeChanges(const ChangeMessages& aMessages);
  static void AddChanges(const std::vector<ConfigChange>& aChanges,
                         ChangeMessages& aMessages);

  // What is held.
  std::uint64_t Version() const { return mStore.Get().mVersion; }
  const Configuration& Config() const { return mStore.Get(); }
  ConfigurationStore& Store() { return mStore; }
  const ViewLog& Changes() const { return mLog; }
  const SharePlan& Plan() const { return mPlan; }
  FreshView& Fresh() { return mFresh; }
  const FreshView& Fresh() const { return mFresh; }
  KeyRing& Suspensions() { return mSuspensions; }
  const KeyRing& Suspensions() const { return mSuspensions; }

private:
  void TakeSnapshot(const peer::Snapshot& aMessage);
  peer::Snapshot MakeSnapshot() const;
  void OnRaised();

  ViewKeeperListener& mListener;
  ConfigurationStore mStore;
  ViewLog mLog; ///< Invariant: ends at the store's version.
  SharePlan mPlan;
  FreshView mFresh;
  KeyRing mSuspensions; ///< Holds no keys; entries check those.
};

} // namespace peridothoist
