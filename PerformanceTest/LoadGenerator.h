/// Open-loop load generator: sends planned calls at their planned times,
/// whether or not earlier calls have ended, and records the result of each.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <PerformanceTest/CallSample.h>
#include <PerformanceTest/Workload.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist::perf {

/// Destination of a tenant's calls.
struct TenantTarget
{
  std::vector<std::string> mAddresses; ///< Used in rotation.
  std::string mKey;                    ///< No key is sent when empty.
};

/// Limits of a run.
struct LoadGeneratorSettings
{
  Duration mCallTimeout = 30s;
};

/// Sends the calls of one plan.
class LoadGenerator
{
public:
  using Settings = LoadGeneratorSettings;

  /// aWorkload and aPlan must outlive the run. aTargets has one element for
  /// each tenant.
  LoadGenerator(Reactor& aReactor,
                HttpClient& aClient,
                const Settings& aSettings,
                const Workload& aWorkload,
                const std::vector<PlannedCall>& aPlan,
                std::vector<TenantTarget> aTargets);

  /// Starts sending. aDone is called when every call has ended.
  void Start(std::function<void()> aDone);

  /// Returns one sample for each planned call, in the order of the plan.
  const std::vector<CallSample>& Samples() const { return mSamples; }

  /// Returns how much later than planned each call was sent. Above a few
  /// milliseconds the machine is too busy for meaningful results.
  const std::vector<Duration>& Lateness() const { return mLateness; }

private:
  class Call;

  void SendDueCalls();
  void Send(std::size_t aIndex);
  void OnCallEnded(std::size_t aIndex, const CallSample& aSample);

  Reactor& mReactor;
  HttpClient& mClient;
  Settings mSettings;
  const Workload& mWorkload;
  const std::vector<PlannedCall>& mPlan;
  std::vector<TenantTarget> mTargets;
  std::vector<std::size_t> mCallsSent; ///< Number of calls sent, by tenant.
  std::function<void()> mDone;
  TimePoint mStart{};
  std::size_t mNextCall = 0; ///< First call not yet sent.
  std::size_t mEndedCalls = 0;
  std::vector<CallSample> mSamples;
  std::vector<Duration> mLateness;
};

} // namespace peridothoist::perf
