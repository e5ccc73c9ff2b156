#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/NodeMetrics.h>

#include <Peridothoist/Core/DurationUnits.h>

namespace peridothoist {

void
NodeMetrics::ObserveRequest(const RelayRequestSummary& aSummary,
                            Duration aDuration)
{
  const MetricLabels kind = { { "kind", ToName(aSummary.mKind) } };
  const MetricLabels outcome = { { "kind", ToName(aSummary.mKind) },
                                 { "outcome", aSummary.mOutcome } };
  mMetrics.GetCounter("peridothoist_requests_total", outcome).Add();
  mMetrics.GetHistogram("peridothoist_request_seconds", kind)
    .Observe(aDuration);
  if (aSummary.mCallCount > 0) {
    mMetrics.GetHistogram("peridothoist_first_call_seconds", kind)
      .Observe(aSummary.mTimeToFirstCall);
  }
  if (aSummary.mTimeToFirstEvent > Duration(0)) {
    mMetrics.GetHistogram("peridothoist_first_event_seconds", kind)
      .Observe(aSummary.mTimeToFirstEvent);
  }
  if (aSummary.mPausedTime > Duration(0)) {
    mMetrics.GetHistogram("peridothoist_paused_seconds", kind)
      .Observe(aSummary.mPausedTime);
  }
  if (aSummary.mEventCount > 1) {
    mMetrics.GetHistogram("peridothoist_longest_gap_seconds", kind)
      .Observe(aSummary.mMaxEventGap);
  }
}

void
NodeMetrics::ObserveCall(RelayCallKind aKind,
                         bool aSucceeded,
                         Duration aDuration)
{
  const MetricLabels labels = { { "call", ToName(aKind) },
                                { "good", aSucceeded ? "yes" : "no" } };
  mMetrics.GetHistogram("peridothoist_call_seconds", labels).Observe(aDuration);
}

void
NodeMetrics::ObserveRefusal(RefusalKind aKind)
{
  mMetrics
    .GetCounter("peridothoist_refused_on_arrival_total",
                { { "type", ToName(aKind) } })
    .Add();
}

void
NodeMetrics::ObserveAllowanceWait(const char* aResult, Duration aWaited)
{
  const MetricLabels result = { { "result", aResult } };
  mMetrics.GetHistogram("peridothoist_allowance_wait_seconds", result)
    .Observe(aWaited);
}

void
NodeMetrics::ObserveLoopLag(Duration aLag)
{
  mMetrics.GetHistogram("peridothoist_loop_lag_seconds").Observe(aLag);
}

void
NodeMetrics::SetCounter(const std::string& aName,
                        std::uint64_t aValue,
                        const MetricLabels& aLabels)
{
  Counter& counter = mMetrics.GetCounter(aName, aLabels);
  counter.Add(static_cast<double>(aValue) - counter.Value());
}

void
NodeMetrics::UpdateCounters(const RelayCounters& aCounters)
{
  SetCounter("peridothoist_arrivals_total", aCounters.mArrived);
  SetCounter("peridothoist_sends_total", aCounters.mSent);
  SetCounter("peridothoist_prefills_total", aCounters.mPrefills);
  SetCounter("peridothoist_repeats_total", aCounters.mRetriesSent);
  SetCounter("peridothoist_repeats_denied_total", aCounters.mRetriesDenied);
  SetCounter("peridothoist_resumed_total", aCounters.mResumed);
  SetCounter("peridothoist_rejected_total", aCounters.mRejected);
  SetCounter("peridothoist_broken_total", aCounters.mBroken);
  SetCounter("peridothoist_unsent_total", aCounters.mUnsent);
  SetCounter("peridothoist_callers_gone_total", aCounters.mCallersGone);
  SetCounter("peridothoist_upstream_checks_total", aCounters.mUpstreamChecks);
  SetCounter("peridothoist_tunnelled_calls_total", aCounters.mTunnelled);
  SetCounter("peridothoist_trials_total", aCounters.mTrials);
  SetCounter("peridothoist_origins_announced_total",
             aCounters.mOriginsAnnounced);
  SetCounter("peridothoist_origins_looked_up_total",
             aCounters.mOriginsLookedUp);
  SetCounter("peridothoist_origins_found_total", aCounters.mOriginsFound);
  SetCounter("peridothoist_origins_unknown_total", aCounters.mOriginsUnknown);
  for (std::size_t n = 0; n < kRefusalKinds; ++n) {
    if (aCounters.mRefused[n] > 0) {
      SetCounter("peridothoist_refused_total",
                 aCounters.mRefused[n],
                 { { "type", ToName(static_cast<RefusalKind>(n)) } });
    }
    if (aCounters.mAborted[n] > 0) {
      SetCounter("peridothoist_streams_aborted_total",
                 aCounters.mAborted[n],
                 { { "type", ToName(static_cast<RefusalKind>(n)) } });
    }
  }
  for (std::size_t n = 0; n < kCancelReasons; ++n) {
    SetCounter("peridothoist_calls_cancelled_total",
               aCounters.mCancelled[n],
               { { "reason", ToName(static_cast<CancelReason>(n)) } });
  }
}

void
NodeMetrics::UpdateCrashEvidence(const CrashEvidence& aEvidence)
{
  SetCounter("peridothoist_quarantined_total", aEvidence.QuarantineCount());
  mMetrics.GetGauge("peridothoist_crash_suspects")
    .Set(static_cast<double>(aEvidence.Size()));
}

void
NodeMetrics::UpdateServiceVersionCounts(const ServiceVersionCounts& aCounts)
{
  const std::string prefix = "peridothoist_service_versions_";
  SetCounter(prefix + "reads_total", aCounts.mReads);
  SetCounter(prefix + "writes_total", aCounts.mWrites);
  SetCounter(prefix + "conflicts_total", aCounts.mConflicts);
}

void
NodeMetrics::UpdateOpenStreamCounts(const OpenStreamCounts& aCounts)
{
  const std::string prefix = "peridothoist_open_streams_";
  SetCounter(prefix + "reads_total", aCounts.mReads);
  SetCounter(prefix + "writes_total", aCounts.mWrites);
  SetCounter(prefix + "failures_total", aCounts.mFailures);
  SetCounter(prefix + "origins_found_total", aCounts.mOriginsFound);
}

void
NodeMetrics::UpdateCatchUpCounts(const char* aKind,
                                 const OriginCatchUpCounts& aCounts)
{
  const std::string prefix = "peridothoist_origin_catch_up_";
  const MetricLabels labels = { { "by", aKind } };
  SetCounter(prefix + "requests_sent_total", aCounts.mRequestsSent, labels);
  SetCounter(prefix + "answered_total", aCounts.mAnswered, labels);
  SetCounter(
    prefix + "requests_received_total", aCounts.mRequestsReceived, labels);
}

void
NodeMetrics::UpdateContentOriginCounts(const ContentOriginCounts& aCounts)
{
  const std::string prefix = "peridothoist_content_origins_";
  SetCounter(prefix + "announced_total", aCounts.mAnnounced);
  SetCounter(prefix + "notices_sent_total", aCounts.mNoticesSent);
  SetCounter(prefix + "queries_sent_total", aCounts.mQueriesSent);
  const std::pair<const char*, std::uint64_t> results[] = {
    { "found", aCounts.mFound },
    { "ambiguous", aCounts.mAmbiguous },
    { "uncertain", aCounts.mUncertain },
    { "unknown", aCounts.mUnknown },
  };
  for (const auto& [result, count] : results) {
    SetCounter(prefix + "lookups_total", count, { { "result", result } });
  }
}

void
NodeMetrics::UpdateOriginCounts(const StreamOriginCounts& aCounts)
{
  const auto set = [this](const char* aName, std::uint64_t aValue) {
    SetCounter(std::string("peridothoist_origin_exchange_") + aName + "_total",
               aValue);
  };
  set("announced", aCounts.mAnnounced);
  set("received", aCounts.mOriginsReceived);
  set("notices_sent", aCounts.mNoticesSent);
  set("queries_sent", aCounts.mQueriesSent);
  set("queries_received", aCounts.mQueriesReceived);
  const std::pair<const char*, std::uint64_t> results[] = {
    { "here", aCounts.mFoundHere },
    { "peer", aCounts.mFoundAtPeers },
    { "unknown", aCounts.mUnknown },
    { "refused", aCounts.mRefused },
  };
  for (const auto& [result, count] : results) {
    SetCounter("peridothoist_origin_exchange_lookups_total",
               count,
               { { "result", result } });
  }
}

void
NodeMetrics::UpdatePeerReads(
  const std::map<std::string, PeerReadCounts>& aReads)
{
  const std::string prefix = "peridothoist_peer_view_";
  for (const auto& [part, counts] : aReads) {
    const MetricLabels labels = { { "part", part } };
    SetCounter(prefix + "reads_total", counts.mReads, labels);
    SetCounter(prefix + "read_failures_total", counts.mFailures, labels);
    SetCounter(prefix + "bytes_total", counts.mBytes, labels);
  }
}

void
NodeMetrics::UpdateGauges(const NodeGauges& aGauges)
{
  const auto set = [this](const char* aName, double aValue) {
    mMetrics.GetGauge(aName).Set(aValue);
  };
  set("peridothoist_view_age_seconds", ToSeconds(aGauges.mViewAge));
  set("peridothoist_view_version", static_cast<double>(aGauges.mViewVersion));
  SetCounter("peridothoist_loop_turns_total", aGauges.mTurns.mTurns);
  SetCounter("peridothoist_loop_turns_over_total", aGauges.mTurns.mOverlong);
  set("peridothoist_loop_longest_turn_seconds",
      ToSeconds(aGauges.mTurns.mLongest));
  set("peridothoist_store_era", static_cast<double>(aGauges.mStoreEra));
  SetCounter("peridothoist_former_era_responses_total",
             aGauges.mFormerEraResponses);
  set("peridothoist_list_age_seconds", ToSeconds(aGauges.mUpstreamListAge));
  for (const auto& [state, count] : aGauges.mUpstreamsByState) {
    mMetrics.GetGauge("peridothoist_upstreams", { { "state", state } })
      .Set(static_cast<double>(count));
  }
  for (const auto& [service, left] : aGauges.mRetryBudgetLeft) {
    mMetrics.GetGauge("peridothoist_repeats_left", { { "service", service } })
      .Set(left);
  }
  for (const auto& [workspace, left] : aGauges.mAllowanceTokensLeft) {
    mMetrics
      .GetGauge("peridothoist_allowance_left_tokens",
                { { "workspace", workspace } })
      .Set(left);
  }
  set("peridothoist_vms", static_cast<double>(aGauges.mVmCount));
  set("peridothoist_vms_heard_part", aGauges.mReachableFraction);
  set("peridothoist_open_requests", static_cast<double>(aGauges.mOpenRequests));
  set("peridothoist_waiting_requests",
      static_cast<double>(aGauges.mWaitingRequests));
  set("peridothoist_waiting_for_allowance",
      static_cast<double>(aGauges.mWaitingForAllowance));
  set("peridothoist_buffered_bytes",
      static_cast<double>(aGauges.mBufferedBytes));
  set("peridothoist_memory_bytes", static_cast<double>(aGauges.mMemoryUsed));
  set("peridothoist_memory_peak_bytes",
      static_cast<double>(aGauges.mMemoryPeak));
  set("peridothoist_memory_limit_bytes",
      static_cast<double>(aGauges.mMemoryLimit));
  for (const auto& [use, count] : aGauges.mMemoryRefusals) {
    SetCounter("peridothoist_memory_refused_total", count, { { "use", use } });
  }
  for (const auto& [reason, count] : aGauges.mMalformedResponses) {
    SetCounter("peridothoist_malformed_responses_total",
               count,
               { { "reason", reason } });
  }
  set("peridothoist_limited_upstreams",
      static_cast<double>(aGauges.mLimitedUpstreams));
  set("peridothoist_cold_upstreams",
      static_cast<double>(aGauges.mColdUpstreams));
  set("peridothoist_upstream_speeds_known",
      static_cast<double>(aGauges.mSpeeds.mKnown));
  set("peridothoist_upstream_speed_min", aGauges.mSpeeds.mMin);
  set("peridothoist_upstream_speed_max", aGauges.mSpeeds.mMax);
  set("peridothoist_evacuated_zones",
      static_cast<double>(aGauges.mEvacuatedZones));
  set("peridothoist_tunnels", static_cast<double>(aGauges.mTunnels));
  set("peridothoist_upstreams_reached", aGauges.mReachesUpstreams ? 1 : 0);
}

void
NodeMetrics::UpdateLogLosses(const DroppedLogLines& aLosses)
{
  const std::pair<const char*, std::uint64_t> rows[] = {
    { "routine", aLosses.mRoutine },
    { "decision", aLosses.mDecisions },
    { "overrun", aLosses.mOverrun },
  };
  for (const auto& [kind, lines] : rows) {
    SetCounter(
      "peridothoist_log_lines_lost_total", lines, { { "kind", kind } });
  }
}

} // namespace peridothoist
