#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/ErrorResponse.h>

#include <Peridothoist/Entry/JsonFields.h>

#include <array>

namespace peridothoist {

namespace {

struct ErrorRow
{
  const char* mName;
  int mStatus;
};

constexpr std::array<ErrorRow, 9> kRequestErrors = { {
  { "bad_request", 400 },
  { "unauthorized", 401 },
  { "pool_not_allowed", 403 },
  { "no_route", 404 },
  { "body_too_large", 413 },
  { "rate_limited", 429 },
  { "never_affordable", 422 },
  { "view_stale", 503 },
  { "no_share_yet", 503 },
} };

const ErrorRow&
RowOf(RequestError aError)
{
  return kRequestErrors[static_cast<std::size_t>(aError)];
}

/// Retry-After has a resolution of one second. Rounding up keeps callers from
/// retrying too early.
std::int64_t
RoundUpToSeconds(Duration aDuration)
{
  const auto seconds =
    std::chrono::duration_cast<std::chrono::seconds>(aDuration);
  return seconds.count() + (seconds < aDuration ? 1 : 0);
}

} // namespace

const char*
ToName(RequestError aError)
{
  return RowOf(aError).mName;
}

ErrorResponse
ErrorResponse::FromRequestError(RequestError aError,
                                std::string aMessage,
                                Duration aRetryAfter)
{
  ErrorResponse response;
  response.mStatus = RowOf(aError).mStatus;
  response.mType = RowOf(aError).mName;
  response.mMessage = std::move(aMessage);
  response.mVerdict = RunVerdict::NotRun;
  response.mRetryAfter = aRetryAfter;
  return response;
}

ErrorResponse
ErrorResponse::FromRefusal(const Refusal& aRefusal)
{
  ErrorResponse response;
  response.mStatus = aRefusal.Status();
  response.mType = ToName(aRefusal.mKind);
  response.mMessage = aRefusal.Message();
  response.mVerdict = aRefusal.mVerdict;
  response.mRetryAfter = aRefusal.mRetryAfter;
  return response;
}

std::string
ErrorResponse::Body() const
{
  const auto retryAfter =
    std::chrono::duration_cast<std::chrono::milliseconds>(mRetryAfter);
  const nlohmann::json document = {
    { "error",
      { { "type", mType },
        { "message", mMessage },
        { "run", ToName(mVerdict) },
        { "retry_after_ms", retryAfter.count() } } }
  };
  return detail::DumpJson(document);
}

HttpHeaders
ErrorResponse::Headers() const
{
  HttpHeaders headers = { { "content-type", "application/json" },
                          { "peridothoist-run", ToName(mVerdict) } };
  if (mRetryAfter > Duration::zero()) {
    headers["retry-after"] = std::to_string(RoundUpToSeconds(mRetryAfter));
  }
  return headers;
}

void
ErrorResponse::Send(HttpExchange& aExchange) const
{
  aExchange.Respond(mStatus, Headers(), Body());
}

} // namespace peridothoist
