#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/AdmissionExecutor.h>

#include <algorithm>

namespace peridothoist {

namespace {

/// Memory of a waiting request besides its body and its headers.
constexpr std::size_t kBytesPerWaitingRequest = 2048;

std::size_t
MemoryOf(const HttpRequest& aRequest)
{
  std::size_t bytes = kBytesPerWaitingRequest + aRequest.mBody.size();
  for (const auto& [name, value] : aRequest.mHeaders) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

} // namespace

/// Reports that the caller of a waiting request has disconnected.
class AdmissionExecutor::CallerListener : public HttpExchangeListener
{
public:
  CallerListener(AdmissionExecutor& aExecutor, std::uint64_t aId)
    : mExecutor(aExecutor)
    , mId(aId)
  {
  }

  // See: HttpExchangeListener
  void OnCallerDisconnected() override { mExecutor.OnCallerDisconnected(mId); }

private:
  AdmissionExecutor& mExecutor;
  std::uint64_t mId;
};

AdmissionExecutor::AdmissionExecutor(Reactor* aReactor,
                                     WaitingAdmission* aAdmission,
                                     AdmissionExecutorListener* aListener)
  : mReactor(aReactor)
  , mAdmission(aAdmission)
  , mListener(aListener)
{
}

AdmissionExecutor::~AdmissionExecutor()
{
  mReactor->CancelTimer(mTimer);
  for (auto& [id, waiting] : mWaiting) {
    waiting.mExchange->SetListener(nullptr);
  }
}

void
AdmissionExecutor::OnRequest(std::uint64_t aId,
                             IncomingRequest aRequest,
                             std::shared_ptr<HttpExchange> aExchange)
{
  const TimePoint now = mReactor->Now();
  const std::size_t bytes = MemoryOf(aExchange->Request());
  Waiting& waiting = mWaiting[aId];
  waiting.mRequest = std::move(aRequest);
  waiting.mExchange = std::move(aExchange);
  waiting.mArrivedAt = now;
  AdmissionDecisions decisions;
  mAdmission->OnArrival(aId, waiting.mRequest, bytes, now, decisions);
  const bool isDecided =
    std::any_of(decisions.begin(), decisions.end(), [aId](const auto& aIt) {
      return aIt.mId == aId;
    });
  if (!isDecided) {
    waiting.mListener = std::make_unique<CallerListener>(*this, aId);
    waiting.mExchange->SetListener(waiting.mListener.get());
  }
  Report(decisions);
}

void
AdmissionExecutor::OnConfigurationChanged()
{
  AdmissionDecisions decisions;
  mAdmission->OnConfigurationChanged(mReactor->Now(), decisions);
  Report(decisions);
}

void
AdmissionExecutor::StopWaiting(const Refusal& aRefusal)
{
  AdmissionDecisions decisions;
  mAdmission->StopWaiting(aRefusal, mReactor->Now(), decisions);
  Report(decisions);
}

void
AdmissionExecutor::OnCallerDisconnected(std::uint64_t aId)
{
  mAdmission->OnCallerDisconnected(aId);
  const auto it = mWaiting.find(aId);
  if (it == mWaiting.end()) {
    return;
  }
  // Runs within a callback of the exchange, so the objects are destroyed in a
  // later iteration of the event loop.
  const auto left = std::make_shared<Waiting>(std::move(it->second));
  mWaiting.erase(it);
  mListener->OnCallerLeft(left->mRequest, mReactor->Now() - left->mArrivedAt);
  mReactor->Post([left] {});
  ArmTimer();
}

void
AdmissionExecutor::Report(AdmissionDecisions& aDecisions)
{
  for (AdmissionDecision& decision : aDecisions) {
    const auto it = mWaiting.find(decision.mId);
    PH_ASSERT(it != mWaiting.end());
    Waiting waiting = std::move(it->second);
    mWaiting.erase(it);
    waiting.mExchange->SetListener(nullptr);
    if (decision.mAdmitted) {
      mListener->OnAdmitted(std::move(waiting.mExchange),
                            std::move(*decision.mAdmitted),
                            waiting.mRequest,
                            decision.mWaited);
    } else {
      mListener->OnRefused(*waiting.mExchange,
                           waiting.mRequest,
                           decision.mRefusal,
                           decision.mHasWaited
                             ? std::optional<Duration>(decision.mWaited)
                             : std::nullopt);
    }
  }
  ArmTimer();
}

/// Schedules the next tick of the admission.
void
AdmissionExecutor::ArmTimer()
{
  const std::optional<TimePoint> due = mAdmission->NextTick();
  if (!due || (mTimerDue && *mTimerDue <= *due)) {
    return;
  }
  mReactor->CancelTimer(mTimer);
  mTimerDue = due;
  const Duration wait = std::max(Duration(0), *due - mReactor->Now());
  mTimer = mReactor->Schedule(wait, [this] {
    mTimerDue.reset();
    AdmissionDecisions decisions;
    mAdmission->OnTick(mReactor->Now(), decisions);
    Report(decisions);
  });
}

} // namespace peridothoist
