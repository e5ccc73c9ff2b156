#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/EntryPages.h>

#include <Peridothoist/Entry/ErrorAnswer.h>
#include <Peridothoist/Entry/RequestIntake.h>

#include <nlohmann/json.hpp>

#include <array>

namespace peridothoist {

namespace {

const HttpHeaders kPlainText = { { "content-type", "text/plain" } };

std::int64_t
SecondsOf(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::seconds>(aDuration).count();
}

} // namespace

EntryPages::EntryPages(const Settings& aSettings,
                       Reactor* aReactor,
                       EntryView* aView,
                       EntryPagesListener* aListener)
  : mSettings(aSettings)
  , mReactor(aReactor)
  , mView(aView)
  , mListener(aListener)
  , mDirectory(aSettings.mDirectory)
{
}

bool
EntryPages::Answer(HttpExchange& aExchange)
{
  struct Row
  {
    const char* mPath;
    Page mPage;
  };
  static constexpr std::array<Row, 4> kRows = { {
    { "/v1/entries", &EntryPages::AnswerEntries },
    { "/healthz", &EntryPages::AnswerHealth },
    { "/readyz", &EntryPages::AnswerReadiness },
    { "/metrics", &EntryPages::AnswerMetrics },
  } };
  const HttpRequest& request = aExchange.Request();
  for (const Row& row : kRows) {
    if (request.mMethod == "GET" && request.mPath == row.mPath) {
      (this->*row.mPage)(aExchange);
      return true;
    }
  }
  return false;
}

void
EntryPages::AnswerEntries(HttpExchange& aExchange)
{
  const auto stale = mView->Freshness().MayAct(mReactor->Now());
  if (stale) {
    ErrorAnswer::FromIntake(
      IntakeError::ViewStale, stale->mReason.mText, stale->mRetryAfter)
      .Send(aExchange);
    return;
  }
  const auto identity =
    mView->Authenticate(RequestIntake::BearerKey(aExchange.Request()), nullptr);
  if (!identity) {
    ErrorAnswer::FromIntake(
      IntakeError::Unauthorized, "a valid key is needed", Duration::zero())
      .Send(aExchange);
    return;
  }
  const nlohmann::json document = {
    { "entries",
      mDirectory.Choose(
        identity->mWorkspace, mSettings.mZone, mView->Members()) },
    { "max_age_seconds", SecondsOf(mSettings.mEntriesMaxAge) }
  };
  const std::string maxAge =
    std::to_string(SecondsOf(mSettings.mEntriesMaxAge));
  aExchange.Respond(200,
                    { { "content-type", "application/json" },
                      { "cache-control", "private, max-age=" + maxAge } },
                    document.dump());
}

void
EntryPages::AnswerHealth(HttpExchange& aExchange)
{
  aExchange.Respond(200, kPlainText, "ok\n");
}

void
EntryPages::AnswerReadiness(HttpExchange& aExchange)
{
  if (mListener->IsLeaving()) {
    aExchange.Respond(503, kPlainText, "leaving\n");
    return;
  }
  const auto stale = mView->Freshness().MayAct(mReactor->Now());
  if (stale) {
    aExchange.Respond(503, kPlainText, stale->mReason.mText + "\n");
    return;
  }
  if (!mView->Book().HasShares(mReactor->Now())) {
    aExchange.Respond(503, kPlainText, "no share of allowances yet\n");
    return;
  }
  aExchange.Respond(200, kPlainText, "ready\n");
}

void
EntryPages::AnswerMetrics(HttpExchange& aExchange)
{
  aExchange.Respond(200,
                    { { "content-type", "text/plain; version=0.0.4" } },
                    mListener->RenderMetrics());
}

} // namespace peridothoist
