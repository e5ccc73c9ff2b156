#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayIntake.h>

#include <Peridothoist/Relay/RetryTimes.h>

#include <algorithm>

namespace peridothoist {

namespace {

/// A caller that states no patience waits so long for a refusal's purposes.
constexpr Duration kUsualPatience = 10s;

/// Requests that state no expected output generate this part of the most.
constexpr double kUsualOutputPart = 0.4;

/// The memory of a stream is counted as it grows; this part of its output is
/// counted from the beginning.
constexpr double kHeldOutputPart = 0.25;

/// Enough of a digest to tell the requests of some minutes apart, in hex.
constexpr std::size_t kDigestChars = 16;

/// Another VM may serve what this one can't: come back after this part of the
/// longest wait.
constexpr double kElsewherePart = 0.15;

/// The KV memory that a request is likely to need.
std::uint64_t
MemoryOf(const RelayQuestion& aQuestion)
{
  if (!aQuestion.mPromptTokens) {
    return 0;
  }
  const double most = static_cast<double>(aQuestion.mOutputTokens);
  const double expected =
    aQuestion.mExpectedTokens
      ? std::min(most, static_cast<double>(*aQuestion.mExpectedTokens))
      : most * kUsualOutputPart;
  return *aQuestion.mPromptTokens +
         static_cast<std::uint64_t>(expected * kHeldOutputPart);
}

Refusal
NotRun(RefusalKind aKind, Duration aRetryAfter)
{
  return Refusal::Make(aKind, RunVerdictTracker(), aRetryAfter);
}

} // namespace

RelayIntake::RelayIntake(const ConfirmedView* aView,
                         UsageLedger* aLedger,
                         Random* aRandom)
  : mView(aView)
  , mLedger(aLedger)
  , mRandom(aRandom)
{
}

double
RelayIntake::CostOf(const RelayWorkspace& aWorkspace,
                    const RelayQuestion& aQuestion)
{
  if (!aWorkspace.mCountsTokens) {
    return 1;
  }
  if (!aQuestion.mPromptTokens) {
    return static_cast<double>(aWorkspace.mPlainTokens);
  }
  return static_cast<double>(*aQuestion.mPromptTokens +
                             aQuestion.mOutputTokens);
}

std::optional<RelayArrival>
RelayIntake::Admit(std::uint64_t aId,
                   const RelayQuestion& aQuestion,
                   TimePoint aNow,
                   Refusal* aRefusal)
{
  const Duration patience = aQuestion.mPatience.value_or(kUsualPatience);
  const Duration longest = LongestRetryWait(patience);
  const auto elsewhere = std::chrono::duration_cast<Duration>(
    longest * kElsewherePart * (0.5 + mRandom->Unit()));
  const auto& configuration = mView->Configuration();
  if (configuration == nullptr) {
    *aRefusal = NotRun(RefusalKind::ViewStale, elsewhere);
    return std::nullopt;
  }
  const auto route = configuration->FindRoute(aQuestion.mHost, aQuestion.mPath);
  const bool keyed =
    configuration->NeedsKeys() && (route == nullptr || !route->mOpenToAll);
  if (keyed && !mView->MayServeKeys(aNow)) {
    *aRefusal = NotRun(RefusalKind::ViewStale, elsewhere);
    return std::nullopt;
  }
  if (route == nullptr) {
    *aRefusal = NotRun(RefusalKind::NoRoute, Duration(0));
    return std::nullopt;
  }
  const RelayWorkspace* workspace =
    keyed ? configuration->FindByKey(aQuestion.mKey) : nullptr;
  if (keyed && workspace == nullptr) {
    *aRefusal = NotRun(RefusalKind::KeyWithdrawn, Duration(0));
    return std::nullopt;
  }
  const std::string* service =
    route->ServiceFor(std::hash<std::string>()(aQuestion.mName));
  if (service == nullptr) {
    *aRefusal = NotRun(RefusalKind::NoUpstream, longest);
    return std::nullopt;
  }

  RelayArrival arrival;
  arrival.mId = aId;
  arrival.mRoute = route;
  arrival.mService = *service;
  arrival.mPriority = route->mPriority;
  arrival.mPromptTokens = aQuestion.mPromptTokens.value_or(0);
  arrival.mTokens = arrival.mPromptTokens + aQuestion.mOutputTokens;
  arrival.mMemoryTokens = MemoryOf(aQuestion);
  if (workspace != nullptr) {
    arrival.mWorkspace = workspace->mName;
    arrival.mKey = aQuestion.mKey;
    arrival.mPriority = workspace->mPriority.value_or(route->mPriority);
    arrival.mCost = CostOf(*workspace, aQuestion);
    const auto wait = mLedger->Spend(workspace->mName, arrival.mCost, aNow);
    if (wait) {
      const auto spread =
        std::chrono::duration_cast<Duration>(*wait * (1.0 + mRandom->Unit()));
      *aRefusal = NotRun(RefusalKind::OverAllowance, std::min(longest, spread));
      return std::nullopt;
    }
  }
  arrival.mDigest =
    arrival.mWorkspace + '/' + aQuestion.mDigest.substr(0, kDigestChars);
  arrival.mLastEventId = aQuestion.mLastEventId;
  arrival.mArrivedAt = aNow;
  arrival.mPatience = patience;
  arrival.mDeadline = aNow + route->mTimeout;
  if (aQuestion.mPatience) {
    arrival.mDeadline = std::min(arrival.mDeadline, aNow + patience);
  }
  return arrival;
}

ServingState
RelayIntake::Serving(TimePoint aNow) const
{
  const auto& configuration = mView->Configuration();
  if (configuration == nullptr) {
    return ServingState::Nothing;
  }
  if (mView->WelcomesKeys(aNow) || !configuration->NeedsKeys()) {
    return ServingState::Everything;
  }
  return configuration->HasOpenRoutes() ? ServingState::OpenRoutes
                                        : ServingState::Nothing;
}

std::optional<RefusalKind>
RelayIntake::MayRelay(const RelayArrival& aArrival, TimePoint aNow)
{
  if (aArrival.mKey.empty()) {
    return std::nullopt;
  }
  if (!mView->MayServeKeys(aNow)) {
    return RefusalKind::ViewStale;
  }
  const RelayWorkspace* workspace =
    mView->Configuration()->FindByKey(aArrival.mKey);
  if (workspace == nullptr || workspace->mName != aArrival.mWorkspace) {
    return RefusalKind::KeyWithdrawn;
  }
  return std::nullopt;
}

void
RelayIntake::Refund(const RelayArrival& aArrival, TimePoint aNow)
{
  if (!aArrival.mWorkspace.empty()) {
    mLedger->Refund(aArrival.mWorkspace, aArrival.mCost, aNow);
  }
}

} // namespace peridothoist
