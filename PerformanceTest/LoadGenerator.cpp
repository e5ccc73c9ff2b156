/// Sends calls on the reactor and checks their responses.
#include <Peridothoist/Peridothoist.h>
#include <PerformanceTest/LoadGenerator.h>

#include <Peridothoist/Entry/EventStreamReader.h>
#include <StandIns/TokenText.h>

#include <nlohmann/json.hpp>

namespace peridothoist::perf {

namespace {

constexpr int kTooManyRequests = 429;

/// Returns the current time. The clock of the reactor does not advance while an
/// event is handled.
TimePoint
ClockNow()
{
  return std::chrono::time_point_cast<Duration>(
    std::chrono::steady_clock::now());
}

} // namespace

const char*
ToName(SampleResult aResult)
{
  static const char* const kNames[kSampleResultCount] = {
    "answered", "wrong", "refused_rate", "refused", "broken", "lost"
  };
  return kNames[static_cast<std::size_t>(aResult)];
}

/// One open call.
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
    if (!IsStream() || mSample.mStatus != 200) {
      mIsResponseComplete = true;
      return;
    }
    mReader.Feed(aData, [this](std::string_view aEvent) { OnEvent(aEvent); });
  }

  void OnEnd(const HttpCallResult& aOutcome) override
  {
    mSample.mTotalTime = ClockNow() - mStart;
    if (mSample.mTokens == 0) {
      mSample.mTimeToFirstToken = mSample.mTotalTime;
    }
    mSample.mResult = ResultOf(aOutcome);
    mOwner.OnCallEnded(mIndex, mSample);
  }

private:
  const PlannedCall& Planned() const { return mOwner.mPlan[mIndex]; }

  bool IsStream() const
  {
    return mOwner.mWorkload.mClasses[Planned().mClass].mIsStream;
  }

  void OnEvent(std::string_view aEvent)
  {
    if (aEvent == "[DONE]") {
      mIsResponseComplete = true;
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
      mSample.mTimeToFirstToken = now - mStart;
      mChecksum = standin::Checksum(Planned().mPrompt);
    } else {
      mSample.mMaxTokenGap = std::max(mSample.mMaxTokenGap, now - mLastToken);
    }
    mLastToken = now;
    mTokensMatch =
      mTokensMatch && aText == standin::TokenText(mChecksum, mSample.mTokens);
    ++mSample.mTokens;
  }

  SampleResult ResultOf(const HttpCallResult& aOutcome) const
  {
    if (aOutcome.mFailure == CallFailure::TimedOut) {
      return SampleResult::Lost;
    }
    if (aOutcome.mFailure != CallFailure::None) {
      return SampleResult::Broken;
    }
    if (aOutcome.mStatus == kTooManyRequests) {
      return SampleResult::RefusedRate;
    }
    if (aOutcome.mStatus >= 300) {
      return SampleResult::Refused;
    }
    if (!mIsResponseComplete) {
      return SampleResult::Broken;
    }
    const bool hasAllTokens = mSample.mTokens == Planned().mResponseTokens;
    return mTokensMatch && hasAllTokens ? SampleResult::Answered
                                        : SampleResult::Wrong;
  }

  LoadGenerator& mOwner;
  std::size_t mIndex;
  TimePoint mStart;
  TimePoint mLastToken{};
  CallSample mSample;
  EventStreamReader mReader;
  std::uint32_t mChecksum = 0;
  bool mTokensMatch = true;         ///< All tokens so far are as expected.
  bool mIsResponseComplete = false; ///< Body or end mark received.
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
  , mCallsSent(mTargets.size())
  , mSamples(aPlan.size())
{
  mLateness.reserve(aPlan.size());
}

void
LoadGenerator::Start(std::function<void()> aDone)
{
  mDone = std::move(aDone);
  mStart = ClockNow();
  SendDueCalls();
}

void
LoadGenerator::SendDueCalls()
{
  while (mNextCall < mPlan.size()) {
    const Duration wait = mStart + mPlan[mNextCall].mSendTime - ClockNow();
    if (wait > Duration::zero()) {
      mReactor.Schedule(wait, [this] { SendDueCalls(); });
      return;
    }
    mLateness.push_back(-wait);
    Send(mNextCall);
    ++mNextCall;
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
  const std::size_t addressIndex = mCallsSent[planned.mTenant]++;
  const std::string& address =
    target.mAddresses[addressIndex % target.mAddresses.size()];
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
LoadGenerator::OnCallEnded(std::size_t aIndex, const CallSample& aSample)
{
  mSamples[aIndex] = aSample;
  ++mEndedCalls;
  if (mEndedCalls == mPlan.size()) {
    mDone();
  }
}

} // namespace peridothoist::perf
