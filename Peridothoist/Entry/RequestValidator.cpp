#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/RequestValidator.h>

#include <Peridothoist/Config/ConfigItemCodec.h>
#include <Peridothoist/Core/RequestDigest.h>

#include <algorithm>
#include <ctime>

namespace peridothoist {

namespace {

constexpr Duration kNoShareRetryAfter = 1s;
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kTextPath = "/v1/completions";

/// Returns whether a route leads to model engines.
bool
IsCompletion(const Route& aRoute)
{
  return aRoute.mPlainPool.empty();
}

std::string
HeaderOrEmpty(const HttpRequest& aRequest, const char* aName)
{
  const auto it = aRequest.mHeaders.find(aName);
  return it != aRequest.mHeaders.end() ? it->second : std::string();
}

/// Returns the path and query as forwarded to the upstream.
std::string
BuildTarget(const HttpRequest& aRequest)
{
  std::string target = aRequest.mPath;
  char separator = '?';
  for (const auto& it : aRequest.mQuery) {
    target +=
      separator + PercentEncode(it.first) + "=" + PercentEncode(it.second);
    separator = '&';
  }
  return target;
}

bool
CanUsePool(const Workspace& aWorkspace, const std::string& aPool)
{
  const auto& pools = aWorkspace.mPools;
  return aPool.empty() ||
         std::find(pools.begin(), pools.end(), aPool) != pools.end();
}

} // namespace

RequestValidator::RequestValidator(const Settings& aSettings,
                                   Reactor* aReactor,
                                   EntryView* aView,
                                   AllowanceManager* aAllowance,
                                   RequestExecutor* aExecutor,
                                   Tracer* aTracer)
  : mSettings(aSettings)
  , mReactor(aReactor)
  , mView(aView)
  , mAllowance(aAllowance)
  , mExecutor(aExecutor)
  , mTracer(aTracer)
{
}

std::string_view
RequestValidator::BearerKey(const HttpRequest& aRequest)
{
  const auto it = aRequest.mHeaders.find("authorization");
  if (it == aRequest.mHeaders.end()) {
    return {};
  }
  const std::string_view value = it->second;
  if (value.substr(0, kBearerPrefix.size()) != kBearerPrefix) {
    return {};
  }
  return value.substr(kBearerPrefix.size());
}

bool
RequestValidator::Refuse(const Candidate& aCandidate,
                         RequestError aError,
                         std::string aMessage,
                         Duration aRetryAfter)
{
  ++mCounters.mRefused[static_cast<std::size_t>(aError)];
  ErrorResponse::FromRequestError(aError, std::move(aMessage), aRetryAfter)
    .Send(*aCandidate.mExchange);
  return false;
}

void
RequestValidator::OnRequest(std::shared_ptr<HttpExchange> aExchange)
{
  static constexpr std::array<Check, 7> kChecks = {
    &RequestValidator::CheckViewFreshness, &RequestValidator::CheckPath,
    &RequestValidator::CheckKey,           &RequestValidator::CheckSize,
    &RequestValidator::CheckBody,          &RequestValidator::CheckRoute,
    &RequestValidator::CheckPools,
  };
  auto candidate = std::make_shared<Candidate>();
  candidate->mExchange = std::move(aExchange);
  candidate->mArrivedAt = mReactor->Now();
  for (const Check check : kChecks) {
    if (!(this->*check)(*candidate)) {
      return;
    }
  }
  SpendAllowance(candidate);
}

bool
RequestValidator::CheckViewFreshness(Candidate& aCandidate)
{
  const auto stale = mView->Freshness().CheckFreshness(mReactor->Now());
  if (!stale) {
    return true;
  }
  return Refuse(aCandidate,
                RequestError::ViewStale,
                stale->mReason.mText,
                stale->mRetryAfter);
}

bool
RequestValidator::CheckPath(Candidate& aCandidate)
{
  const HttpRequest& request = aCandidate.mExchange->Request();
  for (const auto& it : mView->Config().mRoutes) {
    if (it.second.mPath != request.mPath) {
      continue;
    }
    if (IsCompletion(it.second) && request.mMethod != "POST") {
      return Refuse(
        aCandidate, RequestError::NoRoute, "this path accepts POST only");
    }
    return true;
  }
  return Refuse(
    aCandidate, RequestError::NoRoute, "there is no route for this path");
}

bool
RequestValidator::CheckKey(Candidate& aCandidate)
{
  const HttpRequest& request = aCandidate.mExchange->Request();
  const std::string_view key = BearerKey(request);
  if (!key.empty()) {
    Reason reason;
    aCandidate.mIdentity = mView->Authenticate(key, &reason);
    if (aCandidate.mIdentity) {
      return true;
    }
  }
  // An open route accepts requests without a key and with an invalid key.
  for (const auto& it : mView->Config().mRoutes) {
    if (it.second.mPath == request.mPath && it.second.mIsOpenToAll) {
      return true;
    }
  }
  return Refuse(aCandidate,
                RequestError::Unauthorized,
                "a valid API key is required: Authorization: Bearer KEY");
}

std::string
RequestValidator::WorkspaceOf(const Candidate& aCandidate) const
{
  return aCandidate.mIdentity ? aCandidate.mIdentity->mWorkspace
                              : std::string();
}

bool
RequestValidator::CheckSize(Candidate& aCandidate)
{
  const Defaults defaults =
    EffectiveDefaults(mView->Config(), WorkspaceOf(aCandidate));
  const std::size_t n = aCandidate.mExchange->Request().mBody.size();
  if (n <= defaults.mMaxBodyBytes) {
    return true;
  }
  return Refuse(aCandidate,
                RequestError::BodyTooLarge,
                "the body has " + std::to_string(n) +
                  " bytes, but the limit is " +
                  std::to_string(defaults.mMaxBodyBytes) + " bytes");
}

bool
RequestValidator::CheckBody(Candidate& aCandidate)
{
  const HttpRequest& request = aCandidate.mExchange->Request();
  const bool isChat = request.mPath == kChatPath;
  if (!isChat && request.mPath != kTextPath) {
    return true;
  }
  aCandidate.mDialect =
    isChat ? CompletionDialect::Chat : CompletionDialect::Text;
  Reason reason;
  aCandidate.mCompletion = CompletionRequest::Parse(
    aCandidate.mDialect, request.mBody, mSettings.mLimits, &reason);
  if (aCandidate.mCompletion) {
    return true;
  }
  return Refuse(aCandidate, RequestError::BadRequest, reason.mText);
}

bool
RequestValidator::CheckRoute(Candidate& aCandidate)
{
  const HttpRequest& request = aCandidate.mExchange->Request();
  const bool isCompletion = aCandidate.mCompletion.has_value();
  const Route* matchingRoute = nullptr;
  for (const auto& it : mView->Config().mRoutes) {
    const Route& route = it.second;
    if (route.mPath != request.mPath || IsCompletion(route) != isCompletion) {
      continue;
    }
    if (isCompletion && route.mModel == aCandidate.mCompletion->mModel) {
      matchingRoute = &route;
      break;
    }
    if (route.mModel.empty() && matchingRoute == nullptr) {
      matchingRoute = &route;
    }
  }
  if (matchingRoute == nullptr) {
    const std::string model =
      isCompletion ? aCandidate.mCompletion->mModel : std::string();
    return Refuse(aCandidate,
                  RequestError::NoRoute,
                  "model: there is no route for model \"" + model + "\"");
  }
  if (!matchingRoute->mIsOpenToAll && !aCandidate.mIdentity) {
    return Refuse(
      aCandidate, RequestError::Unauthorized, "this route requires an API key");
  }
  aCandidate.mRoute = std::make_shared<const Route>(*matchingRoute);
  return true;
}

bool
RequestValidator::CheckPools(Candidate& aCandidate)
{
  const Route& route = *aCandidate.mRoute;
  if (route.mIsOpenToAll) {
    aCandidate.mIdentity.reset();
    return true;
  }
  const auto& workspaces = mView->Config().mWorkspaces;
  const auto it = workspaces.find(WorkspaceOf(aCandidate));
  const bool isAllowed = it != workspaces.end() &&
                         CanUsePool(it->second, route.mPrefillPool) &&
                         CanUsePool(it->second, route.mDecodePool) &&
                         CanUsePool(it->second, route.mPlainPool);
  if (isAllowed) {
    return true;
  }
  return Refuse(aCandidate,
                RequestError::PoolNotAllowed,
                "the workspace is not allowed to use the pools of this route");
}

void
RequestValidator::SpendAllowance(const std::shared_ptr<Candidate>& aCandidate)
{
  const HttpRequest& request = aCandidate->mExchange->Request();
  if (aCandidate->mCompletion) {
    aCandidate->mTokens =
      static_cast<double>(aCandidate->mCompletion->mPromptTokens) +
      aCandidate->mCompletion->mMaxTokens;
  } else {
    aCandidate->mTokens =
      mSettings.mPlainRequestBaseTokens + EstimateTokens(request.mBody);
  }
  if (!aCandidate->mIdentity) {
    StartRequest(*aCandidate);
    return;
  }
  const auto& workspaces = mView->Config().mWorkspaces;
  const auto it = workspaces.find(aCandidate->mIdentity->mWorkspace);
  PH_ASSERT(it != workspaces.end());
  mAllowance->Spend(it->second,
                    aCandidate->mTokens,
                    [this, aCandidate](const AllowanceResult& aResult) {
                      OnAllowanceResult(*aCandidate, aResult);
                    });
}

void
RequestValidator::OnAllowanceResult(Candidate& aCandidate,
                                    const AllowanceResult& aResult)
{
  switch (aResult.mRefusal) {
    case SpendRefusal::None:
      StartRequest(aCandidate);
      break;
    case SpendRefusal::NeverAffordable:
      Refuse(aCandidate,
             RequestError::NeverAffordable,
             "the request costs more tokens than the workspace's burst");
      break;
    case SpendRefusal::NotFresh:
      Refuse(aCandidate,
             RequestError::ViewStale,
             "this VM's view is too old to act on",
             aResult.mRetryAfter);
      break;
    case SpendRefusal::InsufficientTokens:
    case SpendRefusal::UnknownWorkspace:
      if (!mView->Shares().HasShares(mReactor->Now())) {
        Refuse(aCandidate,
               RequestError::NoShareYet,
               "this VM has just started and has no share of the allowance yet",
               kNoShareRetryAfter);
        break;
      }
      Refuse(aCandidate,
             RequestError::RateLimited,
             "the workspace's allowance is used up",
             aResult.mRetryAfter);
      break;
  }
}

CallerRequestContent
RequestValidator::MakeContent(const Candidate& aCandidate) const
{
  const HttpRequest& request = aCandidate.mExchange->Request();
  CallerRequestContent content;
  content.mSendOnce = !aCandidate.mRoute->mIsIdempotent;
  if (aCandidate.mCompletion) {
    content.mPrompt = aCandidate.mCompletion->mPrompt;
    return content;
  }
  content.mMethod = request.mMethod;
  content.mTarget = BuildTarget(request);
  content.mContentType = HeaderOrEmpty(request, "content-type");
  content.mBody = request.mBody;
  const std::string key = HeaderOrEmpty(request, "idempotency-key");
  if (!key.empty()) {
    content.mIdempotencyKey = WorkspaceOf(aCandidate) + ":" + key;
  }
  return content;
}

void
RequestValidator::StartRequest(Candidate& aCandidate)
{
  const HttpRequest& request = aCandidate.mExchange->Request();
  CallerRequestContent content = MakeContent(aCandidate);

  CallerRequestMetadata metadata;
  metadata.mId = mExecutor->AllocateId();
  metadata.mWorkspace = WorkspaceOf(aCandidate);
  metadata.mRoute = aCandidate.mRoute->mName;
  metadata.mSpentTokens = aCandidate.mTokens;
  metadata.mArrivedAt = aCandidate.mArrivedAt;

  Arrival arrival;
  arrival.mId = metadata.mId;
  arrival.mWorkspace = metadata.mWorkspace;
  if (aCandidate.mIdentity) {
    arrival.mKeyName = EntryView::EncodeIdentity(*aCandidate.mIdentity);
  }
  arrival.mCallerZone = mSettings.mZone;
  arrival.mRoute = aCandidate.mRoute;
  arrival.mRequestDigest =
    DigestRequest(request.mMethod, BuildTarget(request), request.mBody);
  arrival.mIdempotencyKey = HeaderOrEmpty(request, "idempotency-key");
  arrival.mArrivedAt = aCandidate.mArrivedAt;

  std::unique_ptr<CompletionWriter> writer;
  if (aCandidate.mCompletion) {
    const CompletionRequest& completion = *aCandidate.mCompletion;
    metadata.mPromptTokens = completion.mPromptTokens;
    arrival.mPromptTokens = completion.mPromptTokens;
    arrival.mMaxTokens = completion.mMaxTokens;
    arrival.mPrefixHash = PrefixHash(completion.mPrompt);
    arrival.mStreaming = completion.mStream;
    writer = std::make_unique<CompletionWriter>(
      aCandidate.mDialect,
      "pdh-" + mSettings.mInstance + "-" + std::to_string(metadata.mId),
      completion.mModel,
      std::time(nullptr));
  } else {
    metadata.mPromptTokens = static_cast<std::uint32_t>(aCandidate.mTokens);
    arrival.mPromptTokens = metadata.mPromptTokens;
  }

  Span span =
    mTracer->StartRoot("request", HeaderOrEmpty(request, "traceparent"));
  span.Set("route", metadata.mRoute);
  span.Set("request", static_cast<std::int64_t>(metadata.mId));
  if (span.Context().IsValid()) {
    content.mTraceParent = ToTraceparent(span.Context());
  }
  auto callerRequest =
    std::make_unique<CallerRequest>(std::move(metadata),
                                    std::move(content),
                                    aCandidate.mExchange,
                                    std::move(writer),
                                    mExecutor->AsCallerListener());
  callerRequest->SetSpan(std::move(span));
  mExecutor->StartRequest(std::move(callerRequest), std::move(arrival));
}

} // namespace peridothoist
