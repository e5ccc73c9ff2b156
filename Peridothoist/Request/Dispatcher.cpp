#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/Dispatcher.h>

#include <algorithm>

namespace peridothoist {

namespace {

constexpr std::size_t kClearedShare = 2; ///< One upstream in so many may be
                                         ///< withheld for suspects.

} // namespace

Dispatcher::Dispatcher(EntryContext& aContext, AttemptMachine& aAttempts)
  : mContext(aContext)
  , mAttempts(aAttempts)
{
  OnConfiguration();
}

void
Dispatcher::OnConfiguration()
{
  const Defaults& defaults = mContext.mConfiguration->mDefaults;
  mContext.mBudget.SetShare(defaults.mRetryBudget);
  mAdmission = Admission::Create(defaults.mAdmitStrategy);
  if (mAdmission == nullptr) {
    mAdmission = Admission::Create("early");
  }
  if (mChooseStrategy != defaults.mChooseStrategy) {
    mChooseStrategy = defaults.mChooseStrategy;
    mChooser = Chooser::Create(mChooseStrategy);
  }
  if (mChooser == nullptr) {
    mChooser = Chooser::Create("cost");
  }
  if (mQueueStrategy == defaults.mQueueStrategy) {
    return;
  }
  mQueueStrategy = defaults.mQueueStrategy;
  // Places taken in the old queues mean nothing in the new ones.
  for (auto& [id, request] : mContext.mRequests) {
    request->mItem.mSequence = 0;
  }
  for (auto& [key, pool] : mPools) {
    std::vector<QueueItem> items = pool.mQueue->Items();
    std::sort(items.begin(),
              items.end(),
              [](const QueueItem& aOne, const QueueItem& aTwo) {
                return aOne.mSequence < aTwo.mSequence;
              });
    pool.mQueue = RequestQueue::Create(mQueueStrategy);
    if (pool.mQueue == nullptr) {
      pool.mQueue = RequestQueue::Create("fair");
    }
    for (QueueItem& it : items) {
      pool.mQueue->Push(std::move(it));
    }
  }
}

Dispatcher::PoolQueue&
Dispatcher::QueueFor(const RequestState& aRequest)
{
  PoolQueue& pool = mPools[aRequest.mPool];
  if (pool.mQueue == nullptr) {
    const Route& route = *aRequest.mArrival.mRoute;
    pool.mPrefillPool = route.mPrefillPool;
    pool.mDecodePool =
      aRequest.IsPlain() ? route.mPlainPool : route.mDecodePool;
    pool.mQueue = RequestQueue::Create(mQueueStrategy);
    if (pool.mQueue == nullptr) {
      pool.mQueue = RequestQueue::Create("fair");
    }
  }
  return pool;
}

double
Dispatcher::CostOf(const Arrival& aArrival) const
{
  const double output = double(aArrival.mMaxTokens);
  const double cost =
    aArrival.mPromptTokens + output * mContext.mSettings.mOutputTokenCost;
  return std::max(1.0, cost);
}

std::uint32_t
Dispatcher::PiecesOf(const Arrival& aArrival) const
{
  const Candidates& engines =
    mContext.mUpstreams.InPool(aArrival.mRoute->mDecodePool);
  if (engines.empty()) {
    return 0;
  }
  // Engines of a pool are alike; the smallest piece holds for all.
  std::uint32_t piece = UINT32_MAX;
  for (const UpstreamState* it : engines) {
    piece = std::min(piece, std::max(1u, it->mConfig.mPieceTokens));
  }
  const std::uint64_t tokens =
    std::uint64_t(aArrival.mPromptTokens) + aArrival.mMaxTokens;
  return std::uint32_t(
    std::max<std::uint64_t>(1, (tokens + piece - 1) / piece));
}

std::optional<RefusalKind>
Dispatcher::Admit(const RequestState& aRequest, Duration& aRetryAfter)
{
  PoolQueue& pool = QueueFor(aRequest);
  const std::string& workspace = aRequest.mArrival.mWorkspace;
  if (pool.mQueue->Length() >= mContext.mSettings.mMaxQueue ||
      pool.mQueue->Length(workspace) >=
        mContext.mSettings.mMaxQueuePerWorkspace) {
    return RefusalKind::QueueFull;
  }
  bool any = false;
  bool fits = false;
  for (const UpstreamState* it : mContext.mUpstreams.InPool(pool.mDecodePool)) {
    any = any || !it->mConfig.mLeaving;
    fits = fits || aRequest.mPieces <= it->TotalPieces();
  }
  if (!any) {
    return RefusalKind::NoUpstream;
  }
  if (!fits && !aRequest.IsPlain()) {
    return RefusalKind::TooLarge;
  }
  const AdmissionQuestion question{ pool.mQueue.get(),
                                    &pool.mRate,
                                    workspace,
                                    aRequest.mItem.mClass,
                                    aRequest.mItem.mCost,
                                    aRequest.mDeadline - mContext.mNow };
  const std::optional<Duration> late = mAdmission->RefuseFor(question);
  if (late) {
    aRetryAfter = std::max(aRetryAfter, *late);
    return RefusalKind::TooLate;
  }
  return std::nullopt;
}

void
Dispatcher::Enqueue(RequestState& aRequest)
{
  Put(aRequest, false);
}

void
Dispatcher::Requeue(RequestState& aRequest)
{
  Put(aRequest, true);
}

void
Dispatcher::Put(RequestState& aRequest, bool aAgain)
{
  PoolQueue& pool = QueueFor(aRequest);
  aRequest.mPhase = RequestPhase::Waiting;
  mContext.mPumpWanted = true;
  if (mContext.mSuspects.IsSuspect(aRequest.mDigest, mContext.mNow)) {
    pool.mSuspects.push_back(aRequest.mArrival.mId);
    return;
  }
  pool.mRate.SetBusy(true, mContext.mNow);
  if (aAgain && aRequest.mItem.mSequence != 0) {
    pool.mQueue->Return(aRequest.mItem);
  } else {
    pool.mQueue->Push(aRequest.mItem);
  }
}

void
Dispatcher::Remove(RequestState& aRequest)
{
  PoolQueue& pool = QueueFor(aRequest);
  const std::uint64_t id = aRequest.mArrival.mId;
  if (!pool.mQueue->Remove(id)) {
    const auto it = std::find(pool.mSuspects.begin(), pool.mSuspects.end(), id);
    if (it != pool.mSuspects.end()) {
      pool.mSuspects.erase(it);
    }
  }
  mContext.mPumpWanted = true;
}

void
Dispatcher::Pump()
{
  WantedPools wanted;
  for (auto& [key, pool] : mPools) {
    PumpSuspects(pool, wanted);
  }
  SetClearing(std::move(wanted));
  for (auto& [key, pool] : mPools) {
    PumpQueue(pool);
    if (pool.mQueue->Length() == 0) {
      pool.mRate.SetBusy(false, mContext.mNow);
    }
  }
}

void
Dispatcher::PumpQueue(PoolQueue& aPool)
{
  while (const QueueItem* front = aPool.mQueue->Front()) {
    const std::uint64_t id = front->mId;
    if (MoveIfSuspect(aPool, id)) {
      continue;
    }
    RequestState& request = *mContext.Find(id);
    if (!TryStart(aPool, request)) {
      WakeAfterBackoff(aPool.mDecodePool);
      WakeAfterBackoff(aPool.mPrefillPool);
      return;
    }
  }
}

bool
Dispatcher::MoveIfSuspect(PoolQueue& aPool, std::uint64_t aId)
{
  const RequestState& request = *mContext.Find(aId);
  if (!mContext.mSuspects.IsSuspect(request.mDigest, mContext.mNow)) {
    return false;
  }
  aPool.mQueue->Remove(aId);
  aPool.mSuspects.push_back(aId);
  mContext.mPumpWanted = true;
  return true;
}

bool
Dispatcher::TryStart(PoolQueue& aPool, RequestState& aRequest)
{
  const std::optional<Placement> placement = Place(aPool, aRequest);
  if (!placement) {
    return false;
  }
  aRequest.mItem = aPool.mQueue->Pop();
  aPool.mRate.OnTaken(aRequest.mItem.mCost, mContext.mNow);
  Begin(aRequest, *placement);
  return true;
}

bool
Dispatcher::Begin(RequestState& aRequest, const Placement& aPlacement)
{
  if (!mListener->OnBeforeStart(aRequest)) {
    return false;
  }
  const std::uint32_t attempt = mAttempts.Start(aRequest, aPlacement);
  mListener->OnStarted(aRequest, attempt);
  return true;
}

std::optional<Placement>
Dispatcher::Place(const PoolQueue& aPool, const RequestState& aRequest)
{
  Placement placement;
  std::string zone = mContext.mSettings.mZone;
  if (!aPool.mPrefillPool.empty()) {
    placement.mPrefill = ChooseFrom(aPool.mPrefillPool, aRequest, zone);
    if (placement.mPrefill == nullptr) {
      return std::nullopt;
    }
    zone = placement.mPrefill->mConfig.mZone;
  }
  placement.mDecode = ChooseFrom(aPool.mDecodePool, aRequest, zone);
  if (placement.mDecode == nullptr) {
    return std::nullopt;
  }
  return placement;
}

UpstreamState*
Dispatcher::ChooseFrom(const std::string& aPool,
                       const RequestState& aRequest,
                       const std::string& aZone)
{
  mCandidates.clear();
  for (UpstreamState* it : mContext.mUpstreams.InPool(aPool)) {
    if (it->TakesWork(mContext.mNow) && !it->IsWithheld() &&
        HasRoom(*it, aRequest)) {
      mCandidates.push_back(it);
    }
  }
  if (mCandidates.empty()) {
    return nullptr;
  }
  const ChooseQuestion question{ &mContext.mHints,
                                 aRequest.mArrival.mPrefixHash,
                                 aRequest.mArrival.mPromptTokens,
                                 aZone };
  return mChooser->Choose(mCandidates, question, *mContext.mRandom);
}

bool
Dispatcher::HasRoom(const UpstreamState& aUpstream,
                    const RequestState& aRequest) const
{
  const EntryCoreSettings& settings = mContext.mSettings;
  if (aUpstream.mRole == UpstreamRole::Prefill) {
    return aUpstream.InFlight() < settings.mPrefillSlots;
  }
  if (aUpstream.mRole == UpstreamRole::Plain) {
    return aUpstream.InFlight() < settings.mPlainSlots;
  }
  return aUpstream.LinksUsed() < settings.mLinkSlots &&
         mContext.mCredits.MayReserve(aUpstream, aRequest.mPieces);
}

void
Dispatcher::PumpSuspects(PoolQueue& aPool, WantedPools& aWanted)
{
  std::size_t waiting = 0;
  for (std::size_t n = 0; n < aPool.mSuspects.size();) {
    const std::uint64_t id = aPool.mSuspects[n];
    RequestState& request = *mContext.Find(id);
    if (!mContext.mSuspects.IsSuspect(request.mDigest, mContext.mNow)) {
      aPool.mSuspects.erase(aPool.mSuspects.begin() + std::ptrdiff_t(n));
      Requeue(request);
      continue;
    }
    const bool ready = IsReady(request);
    if (ready && StartSuspect(aPool, request)) {
      continue;
    }
    waiting += ready ? 1 : 0;
    ++n;
  }
  if (waiting > 0) {
    aWanted[aPool.mDecodePool] += waiting;
    aWanted[aPool.mPrefillPool] += waiting;
  }
}

void
Dispatcher::SetClearing(WantedPools aWanted)
{
  for (const auto& [pool, count] : mWanted) {
    if (aWanted.count(pool) == 0) {
      StopClearing(pool);
    }
  }
  mWanted = std::move(aWanted);
  for (const auto& [pool, count] : mWanted) {
    ClearOne(pool, count);
    WakeAfterBackoff(pool);
  }
}

bool
Dispatcher::IsReady(const RequestState& aRequest) const
{
  return mContext.mRunningDigests.count(aRequest.mDigest) == 0 &&
         !mContext.mSuspects.MustWait(aRequest.mDigest, mContext.mNow);
}

bool
Dispatcher::StartSuspect(PoolQueue& aPool, RequestState& aRequest)
{
  Placement placement;
  placement.mIsolated = true;
  if (!aPool.mPrefillPool.empty()) {
    placement.mPrefill = FindEmpty(aPool.mPrefillPool, aRequest);
    if (placement.mPrefill == nullptr) {
      return false;
    }
  }
  placement.mDecode = FindEmpty(aPool.mDecodePool, aRequest);
  if (placement.mDecode == nullptr) {
    return false;
  }
  const std::uint64_t id = aRequest.mArrival.mId;
  aPool.mSuspects.erase(
    std::find(aPool.mSuspects.begin(), aPool.mSuspects.end(), id));
  placement.mDecode->mClearing = false;
  if (placement.mPrefill != nullptr) {
    placement.mPrefill->mClearing = false;
  }
  Begin(aRequest, placement);
  return true;
}

UpstreamState*
Dispatcher::FindEmpty(const std::string& aPool, const RequestState& aRequest)
{
  mCandidates.clear();
  std::uint32_t least = UINT32_MAX;
  for (UpstreamState* it : mContext.mUpstreams.InPool(aPool)) {
    if (it->InFlight() > 0 || !it->TakesWork(mContext.mNow) ||
        !HasRoom(*it, aRequest)) {
      continue;
    }
    // Others' work counts as well: those that run least are preferred.
    const std::uint32_t running = it->Report().mRunning;
    if (running < least) {
      least = running;
      mCandidates.clear();
    }
    if (running == least) {
      mCandidates.push_back(it);
    }
  }
  if (mCandidates.empty()) {
    return nullptr;
  }
  return mCandidates[mContext.mRandom->Below(mCandidates.size())];
}

void
Dispatcher::ClearOne(const std::string& aPool, std::size_t aWanted)
{
  const Candidates& upstreams = mContext.mUpstreams.InPool(aPool);
  const std::size_t most =
    std::max<std::size_t>(1, upstreams.size() / kClearedShare);
  std::size_t withheld = 0;
  UpstreamState* least = nullptr;
  for (UpstreamState* it : upstreams) {
    withheld += it->IsWithheld() ? 1 : 0;
    const bool usable = it->TakesWork(mContext.mNow) && !it->IsWithheld();
    if (usable && (least == nullptr || it->InFlight() < least->InFlight())) {
      least = it;
    }
  }
  if (least != nullptr && withheld < std::min(most, aWanted)) {
    least->mClearing = true;
  }
}

void
Dispatcher::StopClearing(const std::string& aPool)
{
  for (UpstreamState* it : mContext.mUpstreams.InPool(aPool)) {
    it->mClearing = false;
  }
}

void
Dispatcher::WakeAfterBackoff(const std::string& aPool)
{
  std::optional<TimePoint> wake;
  for (const UpstreamState* it : mContext.mUpstreams.InPool(aPool)) {
    if (it->mBackoffUntil > mContext.mNow &&
        (!wake || it->mBackoffUntil < *wake)) {
      wake = it->mBackoffUntil;
    }
  }
  const bool set = mWakeAt && *mWakeAt > mContext.mNow;
  if (wake && (!set || *wake < *mWakeAt)) {
    mWakeAt = wake;
    mContext.mTimers.Add(*wake, { TimerKind::Pump, 0, 0 });
  }
}

bool
Dispatcher::StartHedge(RequestState& aRequest)
{
  // Only where nothing else of this entry is: a hedge must not add to the
  // load, and if it crashes the upstream, it must not have bystanders.
  Placement placement;
  placement.mDecode = FindEmpty(QueueFor(aRequest).mDecodePool, aRequest);
  if (placement.mDecode == nullptr || placement.mDecode->IsWithheld() ||
      !mContext.mBudget.TakeHedge()) {
    return false;
  }
  placement.mIsolated = true;
  placement.mHedge = true;
  return Begin(aRequest, placement);
}

void
Dispatcher::OnFirstByte(const RequestState& aRequest, Duration aTook)
{
  QueueFor(aRequest).mRate.OnFirstByte(aTook);
}

std::size_t
Dispatcher::QueueLength() const
{
  std::size_t length = 0;
  for (const auto& [key, pool] : mPools) {
    length += pool.mQueue->Length() + pool.mSuspects.size();
  }
  return length;
}

std::size_t
Dispatcher::QueueLength(const std::string& aWorkspace) const
{
  std::size_t length = 0;
  for (const auto& [key, pool] : mPools) {
    length += pool.mQueue->Length(aWorkspace);
  }
  return length;
}

} // namespace peridothoist
