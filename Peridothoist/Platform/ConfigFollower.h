/// Follows the configuration and the share plan in the platform: reads the
/// head and the plan at short intervals and fetches what the process's view
/// lacks, by changes or, when those are no longer kept, by a snapshot.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/PlanKeeper.h>
#include <Peridothoist/Config/ConfigCodec.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Platform/Platform.h>
#include <Peridothoist/Shell/Reactor.h>
#include <Peridothoist/View/ViewStamp.h>

namespace peridothoist {

/// Told what the platform holds.
class ConfigFollowerListener
{
public:
  virtual ~ConfigFollowerListener() = default;

  /// The version that the process's view has now.
  virtual std::uint64_t HeldVersion() const = 0;

  /// A read that was sent at aSent found aStamp. Comes after the changes that
  /// lead there were handed over, if they could be fetched.
  virtual void OnPlatformRead(const ViewStamp& aStamp, TimePoint aSent) = 0;

  /// Neither head nor plan could be read.
  virtual void OnPlatformSilent() = 0;

  /// The next changes, in order.
  virtual void OnPlatformChange(const ChangeRecord& aRecord) = 0;

  /// A whole configuration, newer than the held one.
  virtual void OnPlatformSnapshot(const Configuration& aConfiguration) = 0;

  /// The share plan as it stands; aRowVersion 0: there is none.
  virtual void OnPlatformPlan(const SharePlan& aPlan,
                              std::uint64_t aRowVersion) = 0;
};

/// Intervals of a ConfigFollower.
struct ConfigFollowerSettings
{
  Duration mInterval = std::chrono::milliseconds(250);
  std::size_t mPageRows = 200; ///< Changes fetched at once.
};

/// Reads at intervals, until it is destroyed.
class ConfigFollower
{
public:
  using Settings = ConfigFollowerSettings;

  ConfigFollower(Reactor& aReactor,
                 Platform& aPlatform,
                 const Settings& aSettings,
                 ConfigFollowerListener& aListener,
                 std::uint64_t aSeed);
  ~ConfigFollower();
  ConfigFollower(const ConfigFollower&) = delete;
  ConfigFollower& operator=(const ConfigFollower&) = delete;

  /// Starts to follow.
  void Start();

  /// Reads now instead of at the end of the interval.
  void PollSoon();

  /// The interval from now on; it is longer where many processes read.
  void SetInterval(Duration aInterval) { mSettings.mInterval = aInterval; }

private:
  /// One reading of head and plan.
  struct Poll
  {
    TimePoint mSent;
    bool mFailed = false;
    bool mAnyReached = false;
    int mOpen = 2; ///< Answers still to come.
    ViewStamp mStamp;
    std::uint64_t mSnapshot = 0;
  };

  void StartPoll();
  void OnHead(const ScanResult& aResult);
  void OnPlan(const ScanResult& aResult);
  void OnAnswer();
  void Fetch();
  void OnChanges(const ScanResult& aResult);
  void FetchSnapshot();
  void OnSnapshot(const ObjectResult& aResult);
  void EndPoll();
  void ScheduleNext(Duration aDelay);

  template<typename Result>
  std::function<void(const Result&)> Guard(
    void (ConfigFollower::*aMethod)(const Result&));

  Reactor& mReactor;
  Platform& mPlatform;
  Settings mSettings;
  ConfigFollowerListener& mListener;
  Random mRandom;
  std::optional<Poll> mPoll;
  bool mPollAgain = false;     ///< PollSoon() came while one was under way.
  Reactor::TimerId mTimer = 0; ///< Set while none is under way.
  std::shared_ptr<bool> mAlive;
};

} // namespace peridothoist
