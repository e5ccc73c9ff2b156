#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/AllowanceManager.h>

#include <algorithm>

namespace peridothoist {

namespace {

constexpr Duration kDemandHalfLife = 2s;

} // namespace

AllowanceManager::AllowanceManager(const Settings& aSettings,
                                   Reactor* aReactor,
                                   AllowanceTable* aShares,
                                   AllowancePeerClient* aPeers)
  : mSettings(aSettings)
  , mReactor(aReactor)
  , mShares(aShares)
  , mPeers(aPeers)
  , mDemand(kDemandHalfLife)
{
  mReturnTimer =
    mReactor->Schedule(mSettings.mReturnInterval, [this] { ReturnUnused(); });
}

AllowanceManager::~AllowanceManager()
{
  mReactor->CancelTimer(mReturnTimer);
}

void
AllowanceManager::Spend(const Workspace& aWorkspace,
                        double aTokens,
                        SpendCallback aDone)
{
  const TimePoint now = mReactor->Now();
  const std::string& name = aWorkspace.mName;
  mDemand.Add(name, aTokens, now);
  TrackPlanEpoch(now);
  WaitingRequest request;
  request.mTokens = aTokens;
  request.mEnqueuedAt = now;
  request.mDone = std::move(aDone);
  if (mBorrowStates.count(name) != 0) {
    // Requests are served in the order of arrival.
    Enqueue(aWorkspace, std::move(request));
    return;
  }
  const SpendResult result = mShares->Spend(name, aTokens, now);
  const bool canBorrow = result.mRefusal == SpendRefusal::InsufficientTokens &&
                         !IsInBorrowBackoff(name, now);
  if (canBorrow) {
    Enqueue(aWorkspace, std::move(request));
    return;
  }
  Complete(request, result);
}

bool
AllowanceManager::IsInBorrowBackoff(const std::string& aWorkspace,
                                    TimePoint aNow) const
{
  const auto it = mBorrowBackoffUntil.find(aWorkspace);
  return it != mBorrowBackoffUntil.end() && aNow < it->second;
}

void
AllowanceManager::Enqueue(const Workspace& aWorkspace, WaitingRequest aRequest)
{
  const std::string& name = aWorkspace.mName;
  BorrowState& state = mBorrowStates[name];
  if (state.mQueue.size() >= mSettings.mMaxWaiting) {
    SpendResult refused;
    refused.mRefusal = SpendRefusal::InsufficientTokens;
    Complete(aRequest, refused);
    return;
  }
  state.mQueue.push_back(std::move(aRequest));
  if (state.mPlanner != nullptr) {
    return;
  }
  state.mBurstTokens = aWorkspace.mBurstTokens;
  state.mTokensPerSecond = aWorkspace.mTokensPerSecond;
  StartBorrowRound(name);
}

void
AllowanceManager::StartBorrowRound(const std::string& aWorkspace)
{
  BorrowState& state = mBorrowStates[aWorkspace];
  state.mPlanner = std::make_unique<BorrowPlanner>(
    mSettings.mPlanner,
    mShares->Self(),
    mShares->Epoch(),
    aWorkspace,
    mShares->Lenders(aWorkspace),
    mDemand.TokensPerSecond(aWorkspace, mReactor->Now()));
  BorrowFromNextLender(aWorkspace);
}

void
AllowanceManager::TrackPlanEpoch(TimePoint aNow)
{
  if (mShares->Epoch() != mEpoch) {
    mEpoch = mShares->Epoch();
    mEpochChangedAt = aNow;
  }
}

bool
AllowanceManager::ShouldKeepWaiting(const std::string& aWorkspace) const
{
  const TimePoint now = mReactor->Now();
  const bool isPlanPropagating =
    mEpochChangedAt && now - *mEpochChangedAt < mSettings.mPlanPropagationTime;
  const auto it = mBorrowStates.find(aWorkspace);
  return isPlanPropagating && it != mBorrowStates.end() &&
         !it->second.mQueue.empty() &&
         now - it->second.mQueue.front().mEnqueuedAt <
           mSettings.mPlanPropagationTime;
}

void
AllowanceManager::BorrowFromNextLender(const std::string& aWorkspace)
{
  BorrowState& state = mBorrowStates[aWorkspace];
  double requestedTokens = 0;
  for (const WaitingRequest& request : state.mQueue) {
    requestedTokens += request.mTokens;
  }
  const TimePoint now = mReactor->Now();
  const ShareStatus account = mShares->AccountStatus(aWorkspace, now);
  const double missingTokens =
    std::max(1.0, requestedTokens - account.mBalance);
  const auto borrow = state.mPlanner->NextRequest(
    missingTokens,
    state.mBurstTokens,
    mShares->Self() + ":" + std::to_string(mNextTransferNumber++),
    account.mRateShare * state.mTokensPerSecond);
  if (!borrow) {
    OnLendersExhausted(aWorkspace);
    return;
  }
  ++mCounters.mBorrowRequests;
  mPeers->Borrow(state.mPlanner->LastLender(),
                 *borrow,
                 [this, aWorkspace](std::optional<ShareTransfer> aTransfer) {
                   OnBorrowed(aWorkspace, std::move(aTransfer));
                 });
}

void
AllowanceManager::OnBorrowed(const std::string& aWorkspace,
                             std::optional<ShareTransfer> aTransfer)
{
  const bool isUseful = aTransfer && !aTransfer->IsEmpty() &&
                        mShares->Receive(*aTransfer, mReactor->Now());
  if (isUseful) {
    ++mCounters.mSuccessfulBorrows;
  }
  ServeWaiting(aWorkspace);
  if (mBorrowStates.count(aWorkspace) != 0) {
    BorrowFromNextLender(aWorkspace);
  }
}

void
AllowanceManager::ServeWaiting(const std::string& aWorkspace)
{
  const auto it = mBorrowStates.find(aWorkspace);
  if (it == mBorrowStates.end()) {
    return;
  }
  std::deque<WaitingRequest> served;
  std::vector<SpendResult> results;
  std::deque<WaitingRequest>& queue = it->second.mQueue;
  while (!queue.empty()) {
    const SpendResult result =
      mShares->Spend(aWorkspace, queue.front().mTokens, mReactor->Now());
    if (result.mRefusal == SpendRefusal::InsufficientTokens) {
      break;
    }
    served.push_back(std::move(queue.front()));
    results.push_back(result);
    queue.pop_front();
  }
  if (queue.empty()) {
    mBorrowStates.erase(it);
  }
  // The callbacks run last because they may call Spend() again.
  for (std::size_t n = 0; n < served.size(); ++n) {
    Complete(served[n], results[n]);
  }
}

void
AllowanceManager::OnLendersExhausted(const std::string& aWorkspace)
{
  const TimePoint now = mReactor->Now();
  TrackPlanEpoch(now);
  if (ShouldKeepWaiting(aWorkspace)) {
    mReactor->Schedule(mSettings.mBorrowRetryInterval, [this, aWorkspace] {
      ServeWaiting(aWorkspace);
      if (mBorrowStates.count(aWorkspace) != 0) {
        StartBorrowRound(aWorkspace);
      }
    });
    return;
  }
  mBorrowBackoffUntil[aWorkspace] = now + mSettings.mBorrowBackoff;
  std::deque<WaitingRequest> refused =
    std::move(mBorrowStates[aWorkspace].mQueue);
  mBorrowStates.erase(aWorkspace);
  for (const WaitingRequest& request : refused) {
    Complete(request, mShares->Spend(aWorkspace, request.mTokens, now));
  }
}

void
AllowanceManager::Complete(const WaitingRequest& aRequest,
                           const SpendResult& aResult)
{
  AllowanceResult result;
  result.mRefusal = aResult.mRefusal;
  if (aResult.IsGranted()) {
    ++mCounters.mGranted;
    aRequest.mDone(result);
    return;
  }
  ++mCounters.mRefused;
  if (aResult.mRefusal != SpendRefusal::NeverAffordable) {
    result.mRetryAfter =
      std::max(mSettings.mMinRetryAfter,
               aResult.mAffordableIn.value_or(Duration::zero()));
  }
  aRequest.mDone(result);
}

void
AllowanceManager::Settle(const std::string& aWorkspace,
                         double aReservedTokens,
                         double aUsedTokens)
{
  const TimePoint now = mReactor->Now();
  if (aUsedTokens < aReservedTokens) {
    mShares->Refund(aWorkspace, aReservedTokens - aUsedTokens, now);
  } else if (aUsedTokens > aReservedTokens) {
    mShares->Charge(aWorkspace, aUsedTokens - aReservedTokens, now);
  }
}

void
AllowanceManager::ReturnUnused()
{
  const TimePoint now = mReactor->Now();
  for (const ShareTransfer& transfer : mShares->ReturnUnusedShares(now)) {
    mPeers->Send(transfer);
  }
  mDemand.RemoveIdle(now);
  for (auto it = mBorrowBackoffUntil.begin();
       it != mBorrowBackoffUntil.end();) {
    it = it->second <= now ? mBorrowBackoffUntil.erase(it) : std::next(it);
  }
  mReturnTimer =
    mReactor->Schedule(mSettings.mReturnInterval, [this] { ReturnUnused(); });
}

void
AllowanceManager::TransferAllShares()
{
  for (const ShareTransfer& transfer :
       mShares->ReleaseAllShares(mReactor->Now())) {
    mPeers->Send(transfer);
  }
}

} // namespace peridothoist
