/// Sums up samples by workspace, class and result.
#include <Peridothoist/Peridothoist.h>
#include <PerformanceTest/PolicyReport.h>

namespace peridothoist::perf {

namespace {

double
Milliseconds(Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

} // namespace

bool
MeetsTargets(const CallSample& aSample)
{
  return aSample.mResult == SampleResult::Answered &&
         aSample.mTimeToFirstToken <= kFirstTokenTarget &&
         aSample.MeanTokenGap() <= kTokenGapTarget;
}

PolicyReport::PolicyReport(const Workload& aWorkload,
                           const std::vector<PlannedCall>& aPlan,
                           Duration aLength)
  : mWorkload(aWorkload)
  , mPlan(aPlan)
  , mSeconds(std::chrono::duration<double>(aLength).count())
  , mTenants(aWorkload.mTenants.size())
  , mClasses(aWorkload.mClasses.size())
{
}

void
PolicyReport::Print(const std::string& aName,
                    const std::vector<CallSample>& aSamples,
                    const std::vector<Duration>& aLateness)
{
  for (std::size_t n = 0; n < mPlan.size(); ++n) {
    AddSample(mPlan[n], aSamples[n]);
  }
  Percentiles lateness;
  for (const Duration it : aLateness) {
    lateness.Add(Milliseconds(it));
  }
  PrintValue(aName + ".sent", static_cast<double>(mPlan.size()));
  PrintValue(aName + ".lateness_p99_ms", lateness.AtFraction(0.99));
  PrintValue(aName + ".goodput_per_s", mMetTargets / mSeconds);
  PrintTenants(aName);
  PrintClasses(aName);
  PrintResultCounts(aName);
  PrintPrefills(aName);
}

void
PolicyReport::AddSample(const PlannedCall& aCall, const CallSample& aSample)
{
  const bool metTargets = MeetsTargets(aSample);
  const bool answered = aSample.mResult == SampleResult::Answered;
  const bool stream = mWorkload.mClasses[aCall.mClass].mIsStream;
  TenantStatistics& tenant = mTenants[aCall.mTenant];
  ClassStatistics& kind = mClasses[aCall.mClass];
  ++kind.mSent;
  ++mResultCounts[static_cast<std::size_t>(aSample.mResult)];
  mMetTargets += metTargets ? 1 : 0;
  kind.mMetTargets += metTargets ? 1 : 0;
  mStreamsAnswered += answered && stream ? 1 : 0;
  if (answered) {
    kind.mFirstTokenMs.Add(Milliseconds(aSample.mTimeToFirstToken));
    tenant.mFirstTokenMs.Add(Milliseconds(aSample.mTimeToFirstToken));
  }
  if (!aCall.mIsWithinRate) {
    return;
  }
  ++tenant.mCallsWithinRate;
  tenant.mMetTargets += metTargets ? 1 : 0;
  const bool rateLimited = aSample.mResult == SampleResult::RefusedRate;
  mRateLimitedWithinRate += rateLimited ? 1 : 0;
  mRefusedWithinRate +=
    rateLimited || aSample.mResult == SampleResult::Refused ? 1 : 0;
}

void
PolicyReport::PrintTenants(const std::string& aName)
{
  double worstFraction = 1;
  std::size_t worst = 0;
  for (std::size_t n = 0; n < mTenants.size(); ++n) {
    const TenantStatistics& it = mTenants[n];
    const double fraction =
      it.mCallsWithinRate > 0 ? it.mMetTargets / it.mCallsWithinRate : 1;
    if (fraction < worstFraction) {
      worstFraction = fraction;
      worst = n;
    }
    PrintValue(aName + ".share_of_due." + mWorkload.mTenants[n].mWorkspace,
               fraction);
  }
  PrintValue(aName + ".worst_share_of_due", worstFraction);
  PrintValue(aName + ".worst_first_p99_ms",
             mTenants[worst].mFirstTokenMs.AtFraction(0.99));
}

void
PolicyReport::PrintClasses(const std::string& aName)
{
  for (std::size_t n = 0; n < mClasses.size(); ++n) {
    ClassStatistics& it = mClasses[n];
    const std::string key = aName + "." + mWorkload.mClasses[n].mName;
    PrintValue(key + ".sent", it.mSent);
    PrintValue(key + ".good", it.mMetTargets);
    PrintValue(key + ".first_p50_ms", it.mFirstTokenMs.AtFraction(0.5));
    PrintValue(key + ".first_p99_ms", it.mFirstTokenMs.AtFraction(0.99));
  }
}

void
PolicyReport::PrintResultCounts(const std::string& aName)
{
  for (std::size_t n = 0; n < mResultCounts.size(); ++n) {
    PrintValue(aName + "." + ToName(static_cast<SampleResult>(n)),
               mResultCounts[n]);
  }
  PrintValue(aName + ".refused_429_within_rate", mRateLimitedWithinRate);
  PrintValue(aName + ".refused_any_within_rate", mRefusedWithinRate);
}

void
PolicyReport::PrintPrefills(const std::string& aName)
{
  const double prefills = mCountsAfter.mPrefills - mCountsBefore.mPrefills;
  PrintValue(aName + ".prefills", prefills);
  PrintValue(aName + ".prefills_never_fetched",
             mCountsAfter.mWastedPrefills - mCountsBefore.mWastedPrefills);
  PrintValue(aName + ".prefills_wasted_share",
             prefills > 0 ? 1 - mStreamsAnswered / prefills : 0);
}

} // namespace peridothoist::perf
