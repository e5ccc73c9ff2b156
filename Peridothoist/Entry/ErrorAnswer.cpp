#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/ErrorAnswer.h>

#include <Peridothoist/Entry/JsonFields.h>

#include <array>

namespace peridothoist {

namespace {

struct IntakeErrorRow
{
  const char* mName;
  int mStatus;
};

constexpr std::array<IntakeErrorRow, 9> kIntakeErrors = { {
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

const IntakeErrorRow&
RowOf(IntakeError aError)
{
  return kIntakeErrors[static_cast<std::size_t>(aError)];
}

/// Retry-After counts whole seconds; rounded up, so that nobody is early.
std::int64_t
WholeSeconds(Duration aDuration)
{
  const auto seconds =
    std::chrono::duration_cast<std::chrono::seconds>(aDuration);
  return seconds.count() + (seconds < aDuration ? 1 : 0);
}

} // namespace

const char*
ToName(IntakeError aError)
{
  return RowOf(aError).mName;
}

ErrorAnswer
ErrorAnswer::FromIntake(IntakeError aError,
                        std::string aMessage,
                        Duration aRetryAfter)
{
  ErrorAnswer answer;
  answer.mStatus = RowOf(aError).mStatus;
  answer.mType = RowOf(aError).mName;
  answer.mMessage = std::move(aMessage);
  answer.mVerdict = RunVerdict::NotRun;
  answer.mRetryAfter = aRetryAfter;
  return answer;
}

ErrorAnswer
ErrorAnswer::FromRefusal(const Refusal& aRefusal)
{
  ErrorAnswer answer;
  answer.mStatus = aRefusal.Status();
  answer.mType = ToName(aRefusal.mKind);
  answer.mMessage = aRefusal.Message();
  answer.mVerdict = aRefusal.mVerdict;
  answer.mRetryAfter = aRefusal.mRetryAfter;
  return answer;
}

std::string
ErrorAnswer::Body() const
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
ErrorAnswer::Headers() const
{
  HttpHeaders headers = { { "content-type", "application/json" },
                          { "peridothoist-run", ToName(mVerdict) } };
  if (mRetryAfter > Duration::zero()) {
    headers["retry-after"] = std::to_string(WholeSeconds(mRetryAfter));
  }
  return headers;
}

void
ErrorAnswer::Send(HttpExchange& aExchange) const
{
  aExchange.Respond(mStatus, Headers(), Body());
}

} // namespace peridothoist
