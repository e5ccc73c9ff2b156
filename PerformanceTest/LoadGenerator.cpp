/// Open-loop calls on the reactor.
#include <Peridothoist/Peridothoist.h>
#include <PerformanceTest/LoadGenerator.h>

#include <Peridothoist/Entry/EventStreamReader.h>
#include <StandIns/TokenText.h>

#include <nlohmann/json.hpp>

namespace peridothoist::perf {

namespace {

constexpr int kTooManyRequests = 429;

/// The clock as it is now; the reactor's stands still within an event.
TimePoint
ClockNow()
{
  return std::chrono::time_point_cast<Duration>(
    std::chrono::steady_clock::now());
}

} // namespace

const char*
ToName(CallEnd aEnd)
{
  static const char* const kNames[kCallEnds] = { "answered",     "wrong",
                                                 "refused_rate", "refused",
                                                 "broken",       "lost" };
  return kNames[static_cast<std::size_t>(aEnd)];
}

/// One call on its way.
class LoadGenerator::Call : public HttpCallListener
{
public:
  Call(LoadGenerator& aOwner, std::size_t aIndex)
    : mOwner(aOwner)
    , mIndex(aIndex)
    , mStart(ClockNow())
  {
  }

  // See: HttpCallListener
  void OnHead(int aStatus, const HttpHeaders& /*aHeaders*/) override
  {
    mSample.mStatus = aStatus;
  }

  void OnData(std::string_view aData) override
  {
    if (!Streams() || mSample.mStatus != 200) {
      mAnswered = true;
      return;
    }
    mReader.Feed(aData, [this](std::string_view aEvent) { OnEvent(aEvent); });
  }

  void OnEnd(const HttpCallOutcome& aOutcome) override
  {
    mSample.mTotal = ClockNow() - mStart;
    if (mSample.mTokens == 0) {
      mSample.mFirst = mSample.mTotal;
    }
    mSample.mEnd = End(aOutcome);
    mOwner.OnEnded(mIndex, mSample);
  }

private:
  const PlannedCall& Planned() const { return mOwner.mPlan[mIndex]; }

  bool Streams() const
  {
    return mOwner.mWorkload.mClasses[Planned().mClass].mStream;
  }

  void OnEvent(std::string_view aEvent)
  {
    if (aEvent == "[DONE]") {
      mAnswered = true;
      return;
    }
    const auto event = nlohmann::json::parse(aEvent, nullptr, false);
    if (!event.is_object() || !event.contains("choices")) {
      return;
    }
    for (const auto& it : event["choices"]) {
      if (it.contains("text") && it["text"].is_string()) {
        OnToken(it["text"].get<std::string>());
      }
    }
  }

  void OnToken(const std::string& aText)
  {
    if (aText.empty()) {
      return;
    }
    const TimePoint now = ClockNow();
    if (mSample.mTokens == 0) {
      mSample.mFirst = now - mStart;
      mChecksum = standin::Checksum(Planned().mPrompt);
    } else {
      mSample.mLongestGap = std::max(mSample.mLongestGap, now - mLastToken);
    }
    mLastToken = now;
    mRight = mRight && aText == standin::TokenText(mChecksum, mSample.mTokens);
    ++mSample.mTokens;
  }

  CallEnd End(const HttpCallOutcome& aOutcome) const
  {
    if (aOutcome.mFailure == CallFailure::TimedOut) {
      return CallEnd::Lost;
    }
    if (aOutcome.mFailure != CallFailure::None) {
      return CallEnd::Broken;
    }
    if (aOutcome.mStatus == kTooManyRequests) {
      return CallEnd::RefusedRate;
    }
    if (aOutcome.mStatus >= 300) {
      return CallEnd::Refused;
    }
    if (!mAnswered) {
      return CallEnd::Broken;
    }
    const bool whole = mSample.mTokens == Planned().mAnswerTokens;
    return mRight && whole ? CallEnd::Answered : CallEnd::Wrong;
  }

  LoadGenerator& mOwner;
  std::size_t mIndex;
  TimePoint mStart;
  TimePoint mLastToken{};
  CallSample mSample;
  EventStreamReader mReader;
  std::uint32_t mChecksum = 0;
  bool mRight = true;     ///< Every token so far is the expected one.
  bool mAnswered = false; ///< The answer was complete by its own sign.
};

LoadGenerator::LoadGenerator(Reactor& aReactor,
                             HttpClient& aClient,
                             const Settings& aSettings,
                             const Workload& aWorkload,
                             const std::vector<PlannedCall>& aPlan,
                             std::vector<TenantTarget> aTargets)
  : mReactor(aReactor)
  , mClient(aClient)
  , mSettings(aSettings)
  , mWorkload(aWorkload)
  , mPlan(aPlan)
  , mTargets(std::move(aTargets))
  , mTurns(mTargets.size())
  , mSamples(aPlan.size())
{
  mLateness.reserve(aPlan.size());
}

void
LoadGenerator::Start(std::function<void()> aDone)
{
  mDone = std::move(aDone);
  mStart = ClockNow();
  SendDue();
}

void
LoadGenerator::SendDue()
{
  while (mNext < mPlan.size()) {
    const Duration wait = mStart + mPlan[mNext].mAt - ClockNow();
    if (wait > Duration::zero()) {
      mReactor.Schedule(wait, [this] { SendDue(); });
      return;
    }
    mLateness.push_back(-wait);
    Send(mNext);
    ++mNext;
  }
  if (mPlan.empty()) {
    mDone();
  }
}

void
LoadGenerator::Send(std::size_t aIndex)
{
  const PlannedCall& planned = mPlan[aIndex];
  const CallClass& kind = mWorkload.mClasses[planned.mClass];
  const TenantTarget& target = mTargets[planned.mTenant];
  const std::size_t turn = mTurns[planned.mTenant]++;
  const std::string& address =
    target.mAddresses[turn % target.mAddresses.size()];
  HttpCall call;
  call.mMethod = "POST";
  call.mUrl = "http://" + address + kind.mPath;
  call.mBody = planned.mBody;
  call.mTotalTimeout = mSettings.mCallTimeout;
  call.mHeaders["content-type"] = "application/json";
  if (!target.mKey.empty()) {
    call.mHeaders["authorization"] = "Bearer " + target.mKey;
  }
  if (!planned.mIdempotencyKey.empty()) {
    call.mHeaders["idempotency-key"] = planned.mIdempotencyKey;
  }
  mClient.Start(std::move(call), std::make_shared<Call>(*this, aIndex));
}

void
LoadGenerator::OnEnded(std::size_t aIndex, const CallSample& aSample)
{
  mSamples[aIndex] = aSample;
  ++mEnded;
  if (mEnded == mPlan.size()) {
    mDone();
  }
}

} // namespace peridothoist::perf
