#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayAdmission.h>

#include <Peridothoist/Relay/RetryTimes.h>

#include <algorithm>

namespace peridothoist {

namespace {

/// Assumed total wait of a caller that states none, for computing retry delays.
constexpr Duration kDefaultCallerTimeout = 10s;

/// Requests that state no expected output are assumed to generate this fraction
/// of their maximum.
constexpr double kTypicalOutputFraction = 0.4;

/// The memory of a stream is counted as it grows; this fraction of its expected
/// output is counted from the start.
constexpr double kInitialOutputFraction = 0.25;

/// Length of a digest's prefix in hex, enough to distinguish the requests of
/// several minutes.
constexpr std::size_t kDigestChars = 16;

/// Callers that another VM may serve are told to retry after about this
/// fraction of the longest wait.
constexpr double kElsewhereFraction = 0.15;

/// Returns the KV memory that a request is likely to need, in tokens.
std::uint64_t
EstimateMemory(const IncomingRequest& aRequest)
{
  if (!aRequest.mPromptTokens) {
    return 0;
  }
  const double maximum = static_cast<double>(aRequest.mOutputTokens);
  const double expected =
    aRequest.mExpectedTokens
      ? std::min(maximum, static_cast<double>(*aRequest.mExpectedTokens))
      : maximum * kTypicalOutputFraction;
  return *aRequest.mPromptTokens +
         static_cast<std::uint64_t>(expected * kInitialOutputFraction);
}

Refusal
NotRun(RefusalKind aKind, Duration aRetryAfter)
{
  return Refusal::Make(aKind, RunVerdictTracker(), aRetryAfter);
}

} // namespace

RelayAdmission::RelayAdmission(const ConfirmedView* aView,
                               WorkspaceRateLimiter* aLedger,
                               Random* aRandom)
  : mView(aView)
  , mLedger(aLedger)
  , mRandom(aRandom)
{
}

double
RelayAdmission::CostOf(const RelayWorkspace& aWorkspace,
                       const IncomingRequest& aRequest)
{
  if (!aWorkspace.mCountsTokens) {
    return 1;
  }
  if (!aRequest.mPromptTokens) {
    return static_cast<double>(aWorkspace.mPlainTokens);
  }
  return static_cast<double>(*aRequest.mPromptTokens + aRequest.mOutputTokens);
}

std::optional<AdmittedRequest>
RelayAdmission::Admit(std::uint64_t aId,
                      const IncomingRequest& aRequest,
                      TimePoint aNow,
                      Refusal* aRefusal)
{
  const Duration callerTimeout =
    aRequest.mCallerTimeout.value_or(kDefaultCallerTimeout);
  const Duration maxWait = MaxRetryWait(callerTimeout);
  const auto shortWait = std::chrono::duration_cast<Duration>(
    maxWait * kElsewhereFraction * (0.5 + mRandom->UniformFraction()));
  const auto& configuration = mView->Configuration();
  if (configuration == nullptr) {
    *aRefusal = NotRun(RefusalKind::ViewStale, shortWait);
    return std::nullopt;
  }
  const auto route = configuration->FindRoute(aRequest.mHost, aRequest.mPath);
  const bool keyed =
    configuration->NeedsKeys() && (route == nullptr || !route->mIsOpenToAll);
  if (keyed && !mView->MayServeKeyedRequests(aNow)) {
    *aRefusal = NotRun(RefusalKind::ViewStale, shortWait);
    return std::nullopt;
  }
  if (route == nullptr) {
    *aRefusal = NotRun(RefusalKind::NoRoute, Duration(0));
    return std::nullopt;
  }
  const RelayWorkspace* workspace =
    keyed ? configuration->FindWorkspaceByKey(aRequest.mKey) : nullptr;
  if (keyed && workspace == nullptr) {
    *aRefusal = NotRun(RefusalKind::KeyWithdrawn, Duration(0));
    return std::nullopt;
  }
  const std::string* service =
    route->SelectService(std::hash<std::string>()(aRequest.mName));
  if (service == nullptr) {
    *aRefusal = NotRun(RefusalKind::NoUpstream, maxWait);
    return std::nullopt;
  }

  AdmittedRequest arrival;
  arrival.mId = aId;
  arrival.mRoute = route;
  arrival.mService = *service;
  arrival.mPriority = route->mPriority;
  arrival.mPromptTokens = aRequest.mPromptTokens.value_or(0);
  arrival.mTokens = arrival.mPromptTokens + aRequest.mOutputTokens;
  arrival.mMemoryTokens = EstimateMemory(aRequest);
  if (workspace != nullptr) {
    arrival.mWorkspace = workspace->mName;
    arrival.mKey = aRequest.mKey;
    arrival.mPriority = workspace->mPriority.value_or(route->mPriority);
    arrival.mCost = CostOf(*workspace, aRequest);
    const auto wait =
      mLedger->SpendOrGetWait(workspace->mName, arrival.mCost, aNow);
    if (wait) {
      const auto spread = std::chrono::duration_cast<Duration>(
        *wait * (1.0 + mRandom->UniformFraction()));
      *aRefusal = NotRun(RefusalKind::OverAllowance, std::min(maxWait, spread));
      return std::nullopt;
    }
  }
  arrival.mDigest =
    arrival.mWorkspace + '/' + aRequest.mDigest.substr(0, kDigestChars);
  arrival.mLastEventId = aRequest.mLastEventId;
  arrival.mArrivedAt = aNow;
  arrival.mCallerTimeout = callerTimeout;
  arrival.mDeadline = aNow + route->mTimeout;
  if (aRequest.mCallerTimeout) {
    arrival.mDeadline = std::min(arrival.mDeadline, aNow + callerTimeout);
  }
  return arrival;
}

ServingState
RelayAdmission::Serving(TimePoint aNow) const
{
  const auto& configuration = mView->Configuration();
  if (configuration == nullptr) {
    return ServingState::Nothing;
  }
  if (mView->ShouldAttractKeyedRequests(aNow) || !configuration->NeedsKeys()) {
    return ServingState::Everything;
  }
  return configuration->HasOpenRoutes() ? ServingState::OpenRoutes
                                        : ServingState::Nothing;
}

std::optional<RefusalKind>
RelayAdmission::CheckRelay(const AdmittedRequest& aArrival, TimePoint aNow)
{
  if (aArrival.mKey.empty()) {
    return std::nullopt;
  }
  if (!mView->MayServeKeyedRequests(aNow)) {
    return RefusalKind::ViewStale;
  }
  const RelayWorkspace* workspace =
    mView->Configuration()->FindWorkspaceByKey(aArrival.mKey);
  if (workspace == nullptr || workspace->mName != aArrival.mWorkspace) {
    return RefusalKind::KeyWithdrawn;
  }
  return std::nullopt;
}

void
RelayAdmission::Refund(const AdmittedRequest& aArrival, TimePoint aNow)
{
  if (!aArrival.mWorkspace.empty()) {
    mLedger->Refund(aArrival.mWorkspace, aArrival.mCost, aNow);
  }
}

} // namespace peridothoist
