/// Polls the configuration and the share plan in the platform: reads the head
/// row and the plan at short intervals and fetches the versions that the
/// process's view lacks, as changes or, if those were deleted, as a snapshot.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/SharePlanScheduler.h>
#include <Peridothoist/Config/ConfigCodec.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Platform/Platform.h>
#include <Peridothoist/Shell/Reactor.h>
#include <Peridothoist/View/ViewStamp.h>

namespace peridothoist {

/// Receives what a ConfigPoller reads from the platform.
class ConfigPollerListener
{
public:
  virtual ~ConfigPollerListener() = default;

  /// Returns the current version of the process's view.
  virtual std::uint64_t CurrentViewVersion() const = 0;

  /// Called when the view has reached aStamp, which was read by a poll sent at
  /// aSent. Called after the changes up to aStamp were passed on; not called if
  /// they could not be fetched.
  virtual void OnPlatformRead(const ViewStamp& aStamp, TimePoint aSent) = 0;

  /// Called when neither the head row nor the plan could be read.
  virtual void OnPlatformUnreachable() = 0;

  /// Called for each new change, in order of version.
  virtual void OnPlatformChange(const ChangeRecord& aRecord) = 0;

  /// Called with a complete configuration that is newer than the view.
  virtual void OnPlatformSnapshot(const Configuration& aConfiguration) = 0;

  /// Called with the current share plan; aRowVersion is 0 if there is none.
  virtual void OnPlatformSharePlan(const SharePlan& aPlan,
                                   std::uint64_t aRowVersion) = 0;
};

/// Settings of a ConfigPoller.
struct ConfigPollerSettings
{
  Duration mPollInterval = std::chrono::milliseconds(250); ///< Between polls.
  std::size_t mChangesPerRead = 200; ///< Change rows per read.
};

/// Polls at intervals until it is destroyed.
class ConfigPoller
{
public:
  using Settings = ConfigPollerSettings;

  ConfigPoller(Reactor& aReactor,
               Platform& aPlatform,
               const Settings& aSettings,
               ConfigPollerListener& aListener,
               std::uint64_t aSeed);
  ~ConfigPoller();
  ConfigPoller(const ConfigPoller&) = delete;
  ConfigPoller& operator=(const ConfigPoller&) = delete;

  /// Starts polling.
  void Start();

  /// Polls immediately instead of at the end of the interval.
  void PollNow();

  /// Sets the poll interval; it is longer in systems with many processes.
  void SetInterval(Duration aInterval) { mSettings.mPollInterval = aInterval; }

private:
  /// State of one poll of head row and plan.
  struct Poll
  {
    TimePoint mSentAt;
    bool mHasFailed = false;
    bool mHasResponse = false;
    int mOutstandingReads = 2;
    ViewStamp mStamp;
    std::uint64_t mSnapshotVersion = 0;
  };

  void StartPoll();
  void OnHeadRead(const ScanResult& aResult);
  void OnPlanRead(const ScanResult& aResult);
  void OnReadCompleted();
  void FetchChanges();
  void OnChangesRead(const ScanResult& aResult);
  void FetchSnapshot();
  void OnSnapshotRead(const ObjectResult& aResult);
  void EndPoll();
  void ScheduleNext(Duration aDelay);

  /// Wraps aMethod as a callback that does nothing once this object is
  /// destroyed.
  template<typename Result>
  std::function<void(const Result&)> Guard(
    void (ConfigPoller::*aMethod)(const Result&));

  Reactor& mReactor;
  Platform& mPlatform;
  Settings mSettings;
  ConfigPollerListener& mListener;
  Random mRandom;
  std::optional<Poll> mPoll;
  bool mIsPollRequested = false;   ///< PollNow() was called during a poll.
  Reactor::TimerId mPollTimer = 0; ///< Timer of the next poll.
  std::shared_ptr<bool> mIsAlive;
};

} // namespace peridothoist
