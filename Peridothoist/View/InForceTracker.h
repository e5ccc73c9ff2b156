/// Tracks accepted changes until they are in force everywhere. A change is in
/// force when every listed VM has confirmed its version, or has been silent
/// for longer than the staleness limit and so doesn't act on an older one.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// The last known state of one listed VM.
struct InForceMember
{
  std::string mVm;
  std::uint64_t mVersion = 0; ///< Version that it last reported to hold.
  /// Latest time at which it can have reported that; empty: never.
  std::optional<TimePoint> mLastSeenAt;
};

/// Progress of one change.
struct InForceStatus
{
  bool mInForce = false;
  std::optional<Duration>
    mTimeToInForce; ///< Time from acceptance, once in force.
  std::vector<std::string>
    mBlockingVms; ///< VMs that the change still waits for.
};

/// Limits of an InForceTracker.
struct InForceTrackerSettings
{
  Duration mStalenessLimit = std::chrono::seconds(2);
  std::size_t mMaxTracked = 1024; ///< Beyond it, the oldest change is dropped.
};

/// Tracks changes from their acceptance.
class InForceTracker
{
public:
  using Settings = InForceTrackerSettings;

  explicit InForceTracker(const Settings& aSettings);

  /// Called when a change was accepted by this process.
  void OnAccepted(std::uint64_t aVersion, TimePoint aNow);

  /// Updates the status of all changes. Call it after each exchange.
  void Update(const std::vector<InForceMember>& aMembers, TimePoint aNow);

  /// Returns a change's status, or nullopt for a version that isn't tracked.
  std::optional<InForceStatus> Status(std::uint64_t aVersion) const;

private:
  struct Tracked
  {
    TimePoint mAcceptedAt;
    InForceStatus mStatus; ///< mInForce never goes back to false.
  };

  /// Returns whether the VM may still act on an older version.
  bool IsBlocking(const InForceMember& aMember,
                  std::uint64_t aVersion,
                  const Tracked& aTracked,
                  TimePoint aNow) const;

  Settings mSettings;
  std::map<std::uint64_t, Tracked> mTracked; ///< By version.
};

} // namespace peridothoist
