#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayAdmission.h>

#include <Peridothoist/Relay/ContentKey.h>
#include <Peridothoist/Relay/RetryTimes.h>

#include <algorithm>

namespace peridothoist {

namespace {

/// Requests that state no expected output are assumed to generate this fraction
/// of their maximum.
constexpr double kTypicalOutputFraction = 0.4;

/// The memory of a stream is counted as it grows; this fraction of its expected
/// output is counted from the start.
constexpr double kInitialOutputFraction = 0.25;

/// Length of a digest's prefix in hex, enough to distinguish the requests of
/// several minutes.
constexpr std::size_t kDigestChars = 16;

/// The retry delay of callers that another VM may serve is about this fraction
/// of the longest one.
constexpr double kElsewhereFraction = 0.15;

/// Returns the KV memory that a request is likely to use when aOutputFraction
/// of its expected output is generated, in tokens.
std::uint64_t
EstimateMemory(const IncomingRequest& aRequest, double aOutputFraction)
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
         static_cast<std::uint64_t>(expected * aOutputFraction);
}

Refusal
NotRun(RefusalKind aKind, Duration aRetryAfter)
{
  return Refusal::Make(aKind, RunVerdictTracker(), aRetryAfter);
}

} // namespace

RelayAdmission::RelayAdmission(const ConfirmedView* aView,
                               WorkspaceRateLimiter* aRateLimiter,
                               Random* aRandom)
  : mView(aView)
  , mRateLimiter(aRateLimiter)
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
  auto admitted = Prepare(aId, aRequest, aNow, aNow, aRefusal);
  if (!admitted) {
    return std::nullopt;
  }
  if (const auto wait = Charge(*admitted, aNow)) {
    *aRefusal = RefuseOverAllowance(*admitted, *wait);
    return std::nullopt;
  }
  return admitted;
}

std::optional<Duration>
RelayAdmission::Charge(const AdmittedRequest& aRequest, TimePoint aNow)
{
  if (aRequest.mWorkspace.empty()) {
    return std::nullopt;
  }
  return mRateLimiter->SpendOrGetWait(
    aRequest.mWorkspace, aRequest.mCost, aNow);
}

Refusal
RelayAdmission::RefuseOverAllowance(const AdmittedRequest& aRequest,
                                    Duration aWait)
{
  const auto spread = std::chrono::duration_cast<Duration>(
    aWait * (1.0 + mRandom->UniformFraction()));
  const Duration maxWait = MaxRetryWait(aRequest.mCallerTimeout);
  return NotRun(RefusalKind::OverAllowance, std::min(maxWait, spread));
}

std::optional<AdmittedRequest>
RelayAdmission::Prepare(std::uint64_t aId,
                        const IncomingRequest& aRequest,
                        TimePoint aArrivedAt,
                        TimePoint aNow,
                        Refusal* aRefusal)
{
  const Duration callerTimeout =
    aRequest.mCallerTimeout.value_or(kDefaultCallerTimeout);
  const Duration maxWait = MaxRetryWait(callerTimeout);
  const auto shortWait = std::chrono::duration_cast<Duration>(
    maxWait * kElsewhereFraction * (0.5 + mRandom->UniformFraction()));
  const auto& configuration = mView->Configuration();
  if (!mView->MayServe(aNow)) {
    *aRefusal = NotRun(RefusalKind::ViewStale, shortWait);
    return std::nullopt;
  }
  const auto route = configuration->FindRoute(aRequest.mHost, aRequest.mPath);
  const bool needsKey =
    configuration->NeedsKeys() && (route == nullptr || !route->mIsOpenToAll);
  if (needsKey && !mView->MayServeKeyedRequests(aNow)) {
    *aRefusal = NotRun(RefusalKind::ViewStale, shortWait);
    return std::nullopt;
  }
  if (route == nullptr) {
    *aRefusal = NotRun(RefusalKind::NoRoute, Duration(0));
    return std::nullopt;
  }
  const RelayWorkspace* workspace =
    needsKey ? configuration->FindWorkspaceByKey(aRequest.mKey) : nullptr;
  if (needsKey && workspace == nullptr) {
    *aRefusal = NotRun(RefusalKind::KeyWithdrawn, Duration(0));
    return std::nullopt;
  }
  const std::string* service =
    route->SelectService(std::hash<std::string>()(aRequest.mName));
  if (service == nullptr) {
    *aRefusal = NotRun(RefusalKind::NoUpstream, maxWait);
    return std::nullopt;
  }

  AdmittedRequest admitted;
  admitted.mId = aId;
  admitted.mRoute = route;
  admitted.mService = *service;
  admitted.mPriority = configuration->PriorityOf(*service, *route, workspace);
  admitted.mConfiguredPriority = route->mPriority;
  admitted.mPromptTokens = aRequest.mPromptTokens.value_or(0);
  admitted.mTokens = admitted.mPromptTokens + aRequest.mOutputTokens;
  admitted.mMemoryTokens = EstimateMemory(aRequest, kInitialOutputFraction);
  admitted.mFinalMemoryTokens = EstimateMemory(aRequest, 1);
  if (workspace != nullptr) {
    admitted.mWorkspace = workspace->mName;
    admitted.mKey = aRequest.mKey;
    admitted.mConfiguredPriority =
      workspace->mPriority.value_or(route->mPriority);
    admitted.mCost = CostOf(*workspace, aRequest);
  }
  admitted.mDigest =
    admitted.mWorkspace + '/' + aRequest.mDigest.substr(0, kDigestChars);
  admitted.mSharedPromptParts = aRequest.mSharedPromptParts;
  admitted.mLastEventId = aRequest.mLastEventId;
  admitted.mIsResumed =
    route->mKind == RouteKind::Stream && aRequest.mLastEventId > 0;
  // Callers of two workspaces may use the same id.
  const bool namesOrigin =
    admitted.mIsResumed && !aRequest.mResumedRequest.empty();
  const bool findsByContent = admitted.mIsResumed && !namesOrigin;
  if (!findsByContent) {
    admitted.mOriginKey =
      OriginKeyOf(admitted.mWorkspace,
                  namesOrigin ? aRequest.mResumedRequest : aRequest.mName);
  }
  if (route->mKind == RouteKind::Stream && route->mIsResumable) {
    admitted.mContentKey = MakeContentKey({ admitted.mWorkspace,
                                            aRequest.mDigest,
                                            aRequest.mPromptParts,
                                            aRequest.mPromptTokens,
                                            aRequest.mOutputTokens });
  }
  admitted.mArrivedAt = aArrivedAt;
  admitted.mCallerTimeout = callerTimeout;
  admitted.mDeadline = aArrivedAt + route->mTimeout;
  if (aRequest.mCallerTimeout) {
    admitted.mDeadline =
      std::min(admitted.mDeadline, aArrivedAt + callerTimeout);
  }
  // A request that arrives with a deadline of 0 is left to the state machine.
  if (aNow > aArrivedAt && admitted.mDeadline <= aNow) {
    *aRefusal = NotRun(RefusalKind::DeadlinePassed, Duration(0));
    return std::nullopt;
  }
  return admitted;
}

ServingState
RelayAdmission::CurrentServingState(TimePoint aNow) const
{
  const auto& configuration = mView->Configuration();
  if (!mView->MayServe(aNow)) {
    return ServingState::Nothing;
  }
  if (mView->ShouldAttractKeyedRequests(aNow) || !configuration->NeedsKeys()) {
    return ServingState::Everything;
  }
  return configuration->HasOpenRoutes() ? ServingState::OpenRoutes
                                        : ServingState::Nothing;
}

std::optional<RefusalKind>
RelayAdmission::CheckRelay(const AdmittedRequest& aRequest, TimePoint aNow)
{
  if (aRequest.mKey.empty()) {
    return std::nullopt;
  }
  if (!mView->MayServeKeyedRequests(aNow)) {
    return RefusalKind::ViewStale;
  }
  const RelayWorkspace* workspace =
    mView->Configuration()->FindWorkspaceByKey(aRequest.mKey);
  if (workspace == nullptr || workspace->mName != aRequest.mWorkspace) {
    return RefusalKind::KeyWithdrawn;
  }
  return std::nullopt;
}

void
RelayAdmission::Refund(const AdmittedRequest& aRequest, TimePoint aNow)
{
  if (!aRequest.mWorkspace.empty()) {
    mRateLimiter->Refund(aRequest.mWorkspace, aRequest.mCost, aNow);
  }
}

} // namespace peridothoist
