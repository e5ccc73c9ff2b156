#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/AllowanceDesk.h>

#include <algorithm>

namespace peridothoist {

namespace {

constexpr Duration kDemandHalfLife = 2s;

} // namespace

AllowanceDesk::AllowanceDesk(const Settings& aSettings,
                             Reactor* aReactor,
                             AllowanceBook* aBook,
                             AllowancePeers* aPeers)
  : mSettings(aSettings)
  , mReactor(aReactor)
  , mBook(aBook)
  , mPeers(aPeers)
  , mDemand(kDemandHalfLife)
{
  mReturnTimer =
    mReactor->Schedule(mSettings.mReturnInterval, [this] { ReturnUnused(); });
}

AllowanceDesk::~AllowanceDesk()
{
  mReactor->CancelTimer(mReturnTimer);
}

void
AllowanceDesk::Spend(const Workspace& aWorkspace, double aTokens, Done aDone)
{
  const TimePoint now = mReactor->Now();
  const std::string& name = aWorkspace.mName;
  mDemand.Add(name, aTokens, now);
  NotePlan(now);
  Waiting waiting;
  waiting.mTokens = aTokens;
  waiting.mSince = now;
  waiting.mDone = std::move(aDone);
  if (mBorrowing.count(name) != 0) {
    // Those that came first are served first.
    Wait(aWorkspace, std::move(waiting));
    return;
  }
  const SpendResult result = mBook->Spend(name, aTokens, now);
  const bool canBorrow =
    result.mRefusal == SpendRefusal::Short && !IsDry(name, now);
  if (canBorrow) {
    Wait(aWorkspace, std::move(waiting));
    return;
  }
  Answer(waiting, result);
}

bool
AllowanceDesk::IsDry(const std::string& aWorkspace, TimePoint aNow) const
{
  const auto it = mDryUntil.find(aWorkspace);
  return it != mDryUntil.end() && aNow < it->second;
}

void
AllowanceDesk::Wait(const Workspace& aWorkspace, Waiting aWaiting)
{
  const std::string& name = aWorkspace.mName;
  Borrowing& borrowing = mBorrowing[name];
  if (borrowing.mQueue.size() >= mSettings.mMaxWaiting) {
    SpendResult full;
    full.mRefusal = SpendRefusal::Short;
    Answer(aWaiting, full);
    return;
  }
  borrowing.mQueue.push_back(std::move(aWaiting));
  if (borrowing.mPlanner != nullptr) {
    return;
  }
  borrowing.mWholeBurst = aWorkspace.mBurstTokens;
  borrowing.mWholeRate = aWorkspace.mTokensPerSecond;
  StartRound(name);
}

void
AllowanceDesk::StartRound(const std::string& aWorkspace)
{
  Borrowing& borrowing = mBorrowing[aWorkspace];
  borrowing.mPlanner =
    std::make_unique<BorrowPlanner>(mSettings.mPlanner,
                                    mBook->Self(),
                                    mBook->Epoch(),
                                    aWorkspace,
                                    mBook->Lenders(aWorkspace),
                                    mDemand.Rate(aWorkspace, mReactor->Now()));
  AskNext(aWorkspace);
}

void
AllowanceDesk::NotePlan(TimePoint aNow)
{
  if (mBook->Epoch() != mEpoch) {
    mEpoch = mBook->Epoch();
    mEpochSeen = aNow;
  }
}

bool
AllowanceDesk::MayWaitOn(const std::string& aWorkspace) const
{
  const TimePoint now = mReactor->Now();
  const bool settles = mEpochSeen && now - *mEpochSeen < mSettings.mPlanSettles;
  const auto it = mBorrowing.find(aWorkspace);
  return settles && it != mBorrowing.end() && !it->second.mQueue.empty() &&
         now - it->second.mQueue.front().mSince < mSettings.mPlanSettles;
}

void
AllowanceDesk::AskNext(const std::string& aWorkspace)
{
  Borrowing& borrowing = mBorrowing[aWorkspace];
  double wanted = 0;
  for (const Waiting& waiting : borrowing.mQueue) {
    wanted += waiting.mTokens;
  }
  const TimePoint now = mReactor->Now();
  const ShareStatus account = mBook->Account(aWorkspace, now);
  const double missing = std::max(1.0, wanted - account.mBalance);
  const auto ask =
    borrowing.mPlanner->Next(missing,
                             borrowing.mWholeBurst,
                             mBook->Self() + ":" + std::to_string(mNextAsk++),
                             account.mRateShare * borrowing.mWholeRate);
  if (!ask) {
    RefuseWaiting(aWorkspace);
    return;
  }
  ++mCounters.mBorrows;
  mPeers->Borrow(borrowing.mPlanner->LastAsked(),
                 *ask,
                 [this, aWorkspace](std::optional<ShareTransfer> aTransfer) {
                   OnBorrowed(aWorkspace, std::move(aTransfer));
                 });
}

void
AllowanceDesk::OnBorrowed(const std::string& aWorkspace,
                          std::optional<ShareTransfer> aTransfer)
{
  const bool useful = aTransfer && !aTransfer->IsEmpty() &&
                      mBook->Receive(*aTransfer, mReactor->Now());
  if (useful) {
    ++mCounters.mBorrowsUseful;
  }
  ServeWaiting(aWorkspace);
  if (mBorrowing.count(aWorkspace) != 0) {
    AskNext(aWorkspace);
  }
}

void
AllowanceDesk::ServeWaiting(const std::string& aWorkspace)
{
  const auto it = mBorrowing.find(aWorkspace);
  if (it == mBorrowing.end()) {
    return;
  }
  std::deque<Waiting> served;
  std::vector<SpendResult> results;
  std::deque<Waiting>& queue = it->second.mQueue;
  while (!queue.empty()) {
    const SpendResult result =
      mBook->Spend(aWorkspace, queue.front().mTokens, mReactor->Now());
    if (result.mRefusal == SpendRefusal::Short) {
      break;
    }
    served.push_back(std::move(queue.front()));
    results.push_back(result);
    queue.pop_front();
  }
  if (queue.empty()) {
    mBorrowing.erase(it);
  }
  // Answered last: an answer may lead to another Spend().
  for (std::size_t n = 0; n < served.size(); ++n) {
    Answer(served[n], results[n]);
  }
}

void
AllowanceDesk::RefuseWaiting(const std::string& aWorkspace)
{
  const TimePoint now = mReactor->Now();
  NotePlan(now);
  if (MayWaitOn(aWorkspace)) {
    mReactor->Schedule(mSettings.mAskAgain, [this, aWorkspace] {
      ServeWaiting(aWorkspace);
      if (mBorrowing.count(aWorkspace) != 0) {
        StartRound(aWorkspace);
      }
    });
    return;
  }
  mDryUntil[aWorkspace] = now + mSettings.mDryFor;
  std::deque<Waiting> refused = std::move(mBorrowing[aWorkspace].mQueue);
  mBorrowing.erase(aWorkspace);
  for (const Waiting& waiting : refused) {
    Answer(waiting, mBook->Spend(aWorkspace, waiting.mTokens, now));
  }
}

void
AllowanceDesk::Answer(const Waiting& aWaiting, const SpendResult& aResult)
{
  AllowanceAnswer answer;
  answer.mRefusal = aResult.mRefusal;
  if (aResult.IsGranted()) {
    ++mCounters.mGranted;
    aWaiting.mDone(answer);
    return;
  }
  ++mCounters.mRefused;
  if (aResult.mRefusal != SpendRefusal::NeverAffordable) {
    answer.mRetryAfter =
      std::max(mSettings.mLeastRetryAfter,
               aResult.mAffordableIn.value_or(Duration::zero()));
  }
  aWaiting.mDone(answer);
}

void
AllowanceDesk::Settle(const std::string& aWorkspace,
                      double aTaken,
                      double aUsed)
{
  const TimePoint now = mReactor->Now();
  if (aUsed < aTaken) {
    mBook->Refund(aWorkspace, aTaken - aUsed, now);
  } else if (aUsed > aTaken) {
    mBook->Charge(aWorkspace, aUsed - aTaken, now);
  }
}

void
AllowanceDesk::ReturnUnused()
{
  const TimePoint now = mReactor->Now();
  for (const ShareTransfer& transfer : mBook->TakeReturns(now)) {
    mPeers->Send(transfer);
  }
  mDemand.Forget(now);
  for (auto it = mDryUntil.begin(); it != mDryUntil.end();) {
    it = it->second <= now ? mDryUntil.erase(it) : std::next(it);
  }
  mReturnTimer =
    mReactor->Schedule(mSettings.mReturnInterval, [this] { ReturnUnused(); });
}

void
AllowanceDesk::HandOver()
{
  for (const ShareTransfer& transfer : mBook->TakeAll(mReactor->Now())) {
    mPeers->Send(transfer);
  }
}

} // namespace peridothoist
