/// Follows accepted changes until they are in force everywhere: until every
/// listed VM has confirmed the version, or has been silent for longer than
/// the staleness limit and so doesn't act on an older one.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// One listed VM as last heard.
struct InForceMember
{
  std::string mVm;
  std::uint64_t mVersion = 0;        ///< That it said it holds.
  std::optional<TimePoint> mLastSeenAt; ///< Latest it can have said so; or never.
};

/// How far a change has come.
struct InForceStatus
{
  bool mInForce = false;
  std::optional<Duration> mTook;     ///< From acceptance, once in force.
  std::vector<std::string> mWaiting; ///< VMs that hold it up, by name.
};

/// Limits of an InForceTracker.
struct InForceTrackerSettings
{
  Duration mStalenessLimit = std::chrono::seconds(2);
  std::size_t mMaxTracked = 1024; ///< Changes followed at one time.
};

/// Follows changes from their acceptance.
class InForceTracker
{
public:
  using Settings = InForceTrackerSettings;

  explicit InForceTracker(const Settings& aSettings);

  /// A change was accepted here.
  void OnAccepted(std::uint64_t aVersion, TimePoint aNow);

  /// Looks at what members said; call it after each exchange.
  void Update(const std::vector<InForceMember>& aMembers, TimePoint aNow);

  /// A change's status; empty for a version that isn't followed.
  std::optional<InForceStatus> Status(std::uint64_t aVersion) const;

private:
  struct Tracked
  {
    TimePoint mAcceptedAt;
    InForceStatus mStatus; ///< mInForce never goes back to false.
  };

  bool IsBlocking(const InForceMember& aMember,
               std::uint64_t aVersion,
               const Tracked& aTracked,
               TimePoint aNow) const;

  Settings mSettings;
  std::map<std::uint64_t, Tracked> mTracked;
};

} // namespace peridothoist
