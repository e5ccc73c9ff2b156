/// Sums up samples by workspace, class and end.
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
  return aSample.mEnd == CallEnd::Answered &&
         aSample.mFirst <= kFirstTokenTarget &&
         aSample.MeanGap() <= kTokenGapTarget;
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
    Take(mPlan[n], aSamples[n]);
  }
  Percentiles lateness;
  for (const Duration it : aLateness) {
    lateness.Add(Milliseconds(it));
  }
  PrintValue(aName + ".sent", static_cast<double>(mPlan.size()));
  PrintValue(aName + ".lateness_p99_ms", lateness.At(0.99));
  PrintValue(aName + ".goodput_per_s", mGood / mSeconds);
  PrintTenants(aName);
  PrintClasses(aName);
  PrintEnds(aName);
  PrintPrefills(aName);
}

void
PolicyReport::Take(const PlannedCall& aCall, const CallSample& aSample)
{
  const bool good = MeetsTargets(aSample);
  const bool answered = aSample.mEnd == CallEnd::Answered;
  const bool stream = mWorkload.mClasses[aCall.mClass].mStream;
  TenantFigures& tenant = mTenants[aCall.mTenant];
  ClassFigures& kind = mClasses[aCall.mClass];
  ++kind.mSent;
  ++mEnds[static_cast<std::size_t>(aSample.mEnd)];
  mGood += good ? 1 : 0;
  kind.mGood += good ? 1 : 0;
  mStreamsAnswered += answered && stream ? 1 : 0;
  if (answered) {
    kind.mFirstMs.Add(Milliseconds(aSample.mFirst));
    tenant.mFirstMs.Add(Milliseconds(aSample.mFirst));
  }
  if (!aCall.mWithinRate) {
    return;
  }
  ++tenant.mDue;
  tenant.mGood += good ? 1 : 0;
  const bool overRate = aSample.mEnd == CallEnd::RefusedRate;
  mWrongfullyRefused += overRate ? 1 : 0;
  mRefusedWithin += overRate || aSample.mEnd == CallEnd::Refused ? 1 : 0;
}

void
PolicyReport::PrintTenants(const std::string& aName)
{
  double worstShare = 1;
  std::size_t worst = 0;
  for (std::size_t n = 0; n < mTenants.size(); ++n) {
    const TenantFigures& it = mTenants[n];
    const double share = it.mDue > 0 ? it.mGood / it.mDue : 1;
    if (share < worstShare) {
      worstShare = share;
      worst = n;
    }
    PrintValue(aName + ".share_of_due." + mWorkload.mTenants[n].mWorkspace,
               share);
  }
  PrintValue(aName + ".worst_share_of_due", worstShare);
  PrintValue(aName + ".worst_first_p99_ms", mTenants[worst].mFirstMs.At(0.99));
}

void
PolicyReport::PrintClasses(const std::string& aName)
{
  for (std::size_t n = 0; n < mClasses.size(); ++n) {
    ClassFigures& it = mClasses[n];
    const std::string key = aName + "." + mWorkload.mClasses[n].mName;
    PrintValue(key + ".sent", it.mSent);
    PrintValue(key + ".good", it.mGood);
    PrintValue(key + ".first_p50_ms", it.mFirstMs.At(0.5));
    PrintValue(key + ".first_p99_ms", it.mFirstMs.At(0.99));
  }
}

void
PolicyReport::PrintEnds(const std::string& aName)
{
  for (std::size_t n = 0; n < mEnds.size(); ++n) {
    PrintValue(aName + "." + ToName(static_cast<CallEnd>(n)), mEnds[n]);
  }
  PrintValue(aName + ".refused_429_within_rate", mWrongfullyRefused);
  PrintValue(aName + ".refused_any_within_rate", mRefusedWithin);
}

void
PolicyReport::PrintPrefills(const std::string& aName)
{
  const double prefills = mAfter.mPrefills - mBefore.mPrefills;
  PrintValue(aName + ".prefills", prefills);
  PrintValue(aName + ".prefills_never_fetched",
             mAfter.mWasted - mBefore.mWasted);
  PrintValue(aName + ".prefills_wasted_share",
             prefills > 0 ? 1 - mStreamsAnswered / prefills : 0);
}

} // namespace peridothoist::perf
