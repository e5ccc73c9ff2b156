#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/BuiltInEndpoints.h>

#include <Peridothoist/Entry/ErrorResponse.h>
#include <Peridothoist/Entry/RequestValidator.h>

#include <nlohmann/json.hpp>

#include <array>

namespace peridothoist {

namespace {

const HttpHeaders kPlainText = { { "content-type", "text/plain" } };

std::int64_t
ToWholeSeconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::seconds>(aDuration).count();
}

} // namespace

BuiltInEndpoints::BuiltInEndpoints(const Settings& aSettings,
                                   Reactor* aReactor,
                                   EntryView* aView,
                                   EntryStatusProvider* aProvider)
  : mSettings(aSettings)
  , mReactor(aReactor)
  , mView(aView)
  , mProvider(aProvider)
  , mDirectory(aSettings.mDirectory)
{
}

bool
BuiltInEndpoints::TryHandle(HttpExchange& aExchange)
{
  struct Row
  {
    const char* mPath;
    Handler mHandler;
  };
  static constexpr std::array<Row, 4> kRows = { {
    { "/v1/entries", &BuiltInEndpoints::HandleEntries },
    { "/healthz", &BuiltInEndpoints::HandleHealth },
    { "/readyz", &BuiltInEndpoints::HandleReadiness },
    { "/metrics", &BuiltInEndpoints::HandleMetrics },
  } };
  const HttpRequest& request = aExchange.Request();
  for (const Row& row : kRows) {
    if (request.mMethod == "GET" && request.mPath == row.mPath) {
      (this->*row.mHandler)(aExchange);
      return true;
    }
  }
  return false;
}

void
BuiltInEndpoints::HandleEntries(HttpExchange& aExchange)
{
  const auto stale = mView->Freshness().CheckFreshness(mReactor->Now());
  if (stale) {
    ErrorResponse::FromRequestError(
      RequestError::ViewStale, stale->mReason.mText, stale->mRetryAfter)
      .Send(aExchange);
    return;
  }
  const auto identity = mView->Authenticate(
    RequestValidator::BearerKey(aExchange.Request()), nullptr);
  if (!identity) {
    ErrorResponse::FromRequestError(RequestError::Unauthorized,
                                    "a valid API key is required",
                                    Duration::zero())
      .Send(aExchange);
    return;
  }
  const nlohmann::json document = {
    { "entries",
      mDirectory.SelectEntries(
        identity->mWorkspace, mSettings.mZone, mView->Members()) },
    { "max_age_seconds", ToWholeSeconds(mSettings.mEntriesMaxAge) }
  };
  const std::string maxAge =
    std::to_string(ToWholeSeconds(mSettings.mEntriesMaxAge));
  aExchange.Respond(200,
                    { { "content-type", "application/json" },
                      { "cache-control", "private, max-age=" + maxAge } },
                    document.dump());
}

void
BuiltInEndpoints::HandleHealth(HttpExchange& aExchange)
{
  aExchange.Respond(200, kPlainText, "ok\n");
}

void
BuiltInEndpoints::HandleReadiness(HttpExchange& aExchange)
{
  if (mProvider->IsLeaving()) {
    aExchange.Respond(503, kPlainText, "leaving\n");
    return;
  }
  const auto stale = mView->Freshness().CheckFreshness(mReactor->Now());
  if (stale) {
    aExchange.Respond(503, kPlainText, stale->mReason.mText + "\n");
    return;
  }
  if (!mView->Shares().HasShares(mReactor->Now())) {
    aExchange.Respond(
      503, kPlainText, "this VM has no share of the allowances yet\n");
    return;
  }
  aExchange.Respond(200, kPlainText, "ready\n");
}

void
BuiltInEndpoints::HandleMetrics(HttpExchange& aExchange)
{
  aExchange.Respond(200,
                    { { "content-type", "text/plain; version=0.0.4" } },
                    mProvider->RenderMetrics());
}

} // namespace peridothoist
