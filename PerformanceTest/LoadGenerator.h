/// Sends planned calls at their planned times, whether or not earlier ones
/// were answered, and notes what became of each.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <PerformanceTest/CallSample.h>
#include <PerformanceTest/Workload.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist::perf {

/// Where a tenant's calls go.
struct TenantTarget
{
  std::vector<std::string> mAddresses; ///< Used in turn.
  std::string mKey;                    ///< Empty: sends no key.
};

/// Limits of a run.
struct LoadGeneratorSettings
{
  Duration mCallTimeout = 30s;
};

/// Runs one plan.
class LoadGenerator
{
public:
  using Settings = LoadGeneratorSettings;

  /// aWorkload and aPlan outlive the run; targets are by tenant.
  LoadGenerator(Reactor& aReactor,
                HttpClient& aClient,
                const Settings& aSettings,
                const Workload& aWorkload,
                const std::vector<PlannedCall>& aPlan,
                std::vector<TenantTarget> aTargets);

  /// Starts the plan now; aDone runs when every call has ended.
  void Start(std::function<void()> aDone);

  /// One sample for each planned call, in the plan's order.
  const std::vector<CallSample>& Samples() const { return mSamples; }

  /// How late calls were sent: above a few milliseconds, the machine is too
  /// busy for the figures to mean much.
  const std::vector<Duration>& Lateness() const { return mLateness; }

private:
  class Call;

  void SendDue();
  void Send(std::size_t aIndex);
  void OnEnded(std::size_t aIndex, const CallSample& aSample);

  Reactor& mReactor;
  HttpClient& mClient;
  Settings mSettings;
  const Workload& mWorkload;
  const std::vector<PlannedCall>& mPlan;
  std::vector<TenantTarget> mTargets;
  std::vector<std::size_t> mTurns; ///< By tenant: next address.
  std::function<void()> mDone;
  TimePoint mStart{};
  std::size_t mNext = 0; ///< First call not yet sent.
  std::size_t mEnded = 0;
  std::vector<CallSample> mSamples;
  std::vector<Duration> mLateness;
};

} // namespace peridothoist::perf
