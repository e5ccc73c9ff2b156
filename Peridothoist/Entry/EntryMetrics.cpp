#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/EntryMetrics.h>

namespace peridothoist {

EntryMetrics::EntryMetrics()
{
  mMetrics.Describe("peridothoist_request_seconds",
                    "Time from arrival to the end of the response.");
  mMetrics.Describe("peridothoist_requests_total", "Finished requests.");
  mMetrics.Describe("peridothoist_refused_total",
                    "Refused requests, by type of refusal.");
  mMetrics.Describe("peridothoist_loop_lag_seconds",
                    "Delay with which the event loop ran its timers.");
  mMetrics.Describe("peridothoist_view_version",
                    "Version of the active configuration.");
  mMetrics.Describe("peridothoist_view_age_seconds",
                    "Age of the view's last confirmation, or -1 before the "
                    "first one.");
}

void
EntryMetrics::ObserveRequest(const std::string& aRoute,
                             int aStatus,
                             Duration aDuration)
{
  mMetrics.GetSummary("peridothoist_request_seconds", { { "route", aRoute } })
    .Observe(aDuration);
  mMetrics
    .GetCounter("peridothoist_requests_total",
                { { "route", aRoute }, { "status", std::to_string(aStatus) } })
    .Add();
}

void
EntryMetrics::SetCounter(const std::string& aName,
                         double aValue,
                         const MetricLabels& aLabels)
{
  Counter& counter = mMetrics.GetCounter(aName, aLabels);
  counter.Add(aValue - counter.Value());
}

void
EntryMetrics::UpdateFromCore(const EntryCore& aCore)
{
  struct Row
  {
    const char* mName;
    std::uint64_t EntryCounters::*mMember;
  };
  static constexpr Row kRows[] = {
    { "peridothoist_arrived_total", &EntryCounters::mArrived },
    { "peridothoist_answered_total", &EntryCounters::mCompleted },
    { "peridothoist_aborted_total", &EntryCounters::mAborted },
    { "peridothoist_callers_gone_total", &EntryCounters::mCallersGone },
    { "peridothoist_retries_total", &EntryCounters::mRetries },
    { "peridothoist_hedges_total", &EntryCounters::mHedges },
    { "peridothoist_hedges_won_total", &EntryCounters::mHedgesWon },
    { "peridothoist_resumed_total", &EntryCounters::mResumed },
    { "peridothoist_reserve_refused_total", &EntryCounters::mReserveRefused },
    { "peridothoist_prefills_total", &EntryCounters::mPrefills },
    { "peridothoist_prefills_wasted_total", &EntryCounters::mPrefillsWasted },
    { "peridothoist_quarantined_total", &EntryCounters::mQuarantined },
    { "peridothoist_upstream_deaths_total", &EntryCounters::mUpstreamDeaths },
    { "peridothoist_events_dropped_total", &EntryCounters::mEventsDropped },
    { "peridothoist_cancels_total", &EntryCounters::mCancelsSent },
  };
  const EntryCounters& counters = aCore.Counters();
  for (const Row& row : kRows) {
    SetCounter(row.mName, static_cast<double>(counters.*row.mMember));
  }
  for (std::size_t n = 0; n < counters.mRefused.size(); ++n) {
    SetCounter("peridothoist_refused_total",
               static_cast<double>(counters.mRefused[n]),
               { { "type", ToName(static_cast<RefusalKind>(n)) } });
  }
  mMetrics.GetGauge("peridothoist_open_requests")
    .Set(static_cast<double>(aCore.OpenRequests()));
  mMetrics.GetGauge("peridothoist_queue_length")
    .Set(static_cast<double>(aCore.QueueLength()));
  mMetrics.GetGauge("peridothoist_open_cancels")
    .Set(static_cast<double>(aCore.OpenCancels()));
}

void
EntryMetrics::UpdateFromValidator(const RequestValidatorCounters& aCounters)
{
  for (std::size_t n = 0; n < aCounters.mRefused.size(); ++n) {
    SetCounter("peridothoist_refused_total",
               static_cast<double>(aCounters.mRefused[n]),
               { { "type", ToName(static_cast<RequestError>(n)) } });
  }
}

void
EntryMetrics::UpdateFromAllowance(const AllowanceManagerCounters& aCounters)
{
  SetCounter("peridothoist_allowance_granted_total",
             static_cast<double>(aCounters.mGranted));
  SetCounter("peridothoist_allowance_refused_total",
             static_cast<double>(aCounters.mRefused));
  SetCounter("peridothoist_allowance_borrows_total",
             static_cast<double>(aCounters.mBorrowRequests));
  SetCounter("peridothoist_allowance_borrows_useful_total",
             static_cast<double>(aCounters.mSuccessfulBorrows));
}

void
EntryMetrics::UpdateFromView(const EntryView& aView, TimePoint aNow)
{
  mMetrics.GetGauge("peridothoist_view_version")
    .Set(static_cast<double>(aView.Config().mVersion));
  const auto age = aView.Freshness().Age(aNow);
  mMetrics.GetGauge("peridothoist_view_age_seconds")
    .Set(age ? std::chrono::duration<double>(*age).count() : -1.0);
}

} // namespace peridothoist
