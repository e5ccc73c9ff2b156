#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/Dispatcher.h>

#include <algorithm>

namespace peridothoist {

namespace {

/// At most one upstream of a pool in this many, but always one, may be reserved
/// for suspects.
constexpr std::size_t kUpstreamsPerReserved = 2;

} // namespace

Dispatcher::Dispatcher(EntryContext& aContext, AttemptStateMachine& aAttempts)
  : mContext(aContext)
  , mAttempts(aAttempts)
{
  OnConfiguration();
}

void
Dispatcher::OnConfiguration()
{
  const Defaults& defaults = mContext.mConfiguration->mDefaults;
  mContext.mRetryBudget.SetRetryFraction(defaults.mRetryBudget);
  mAdmission = AdmissionPolicy::Create(defaults.mAdmitStrategy);
  if (mAdmission == nullptr) {
    mAdmission = AdmissionPolicy::Create("early");
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
  // Sequence numbers of the old queues have no meaning in the new ones.
  for (auto& [id, request] : mContext.mRequests) {
    request->mQueueItem.mSequence = 0;
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
  PoolQueue& pool = mPools[aRequest.mQueueKey];
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
Dispatcher::EstimateCost(const Arrival& aArrival) const
{
  const double output = double(aArrival.mMaxTokens);
  const double cost =
    aArrival.mPromptTokens + output * mContext.mSettings.mOutputTokenCost;
  return std::max(1.0, cost);
}

std::uint32_t
Dispatcher::EstimatePieces(const Arrival& aArrival) const
{
  const Candidates& engines =
    mContext.mUpstreams.InPool(aArrival.mRoute->mDecodePool);
  if (engines.empty()) {
    return 0;
  }
  // Engines of a pool are expected to be alike. If their piece sizes differ,
  // the smallest gives an estimate that is sufficient for all of them.
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
Dispatcher::CheckAdmission(const RequestState& aRequest, Duration& aRetryAfter)
{
  PoolQueue& pool = QueueFor(aRequest);
  const std::string& workspace = aRequest.mArrival.mWorkspace;
  if (pool.mQueue->Length() >= mContext.mSettings.mMaxQueueLength ||
      pool.mQueue->Length(workspace) >=
        mContext.mSettings.mMaxQueueLengthPerWorkspace) {
    return RefusalKind::QueueFull;
  }
  bool hasUpstream = false;
  bool canFit = false;
  for (const UpstreamState* it : mContext.mUpstreams.InPool(pool.mDecodePool)) {
    hasUpstream = hasUpstream || !it->mConfig.mIsLeaving;
    canFit = canFit || aRequest.mPieces <= it->TotalPieces();
  }
  if (!hasUpstream) {
    return RefusalKind::NoUpstream;
  }
  if (!canFit && !aRequest.IsPlain()) {
    return RefusalKind::TooLarge;
  }
  const AdmissionQuery query{ pool.mQueue.get(),
                              &pool.mServiceRate,
                              workspace,
                              aRequest.mQueueItem.mClass,
                              aRequest.mQueueItem.mCost,
                              aRequest.mDeadline - mContext.mNow };
  const std::optional<Duration> retryAfter =
    mAdmission->RetryAfterIfRefused(query);
  if (retryAfter) {
    aRetryAfter = std::max(aRetryAfter, *retryAfter);
    return RefusalKind::TooLate;
  }
  return std::nullopt;
}

void
Dispatcher::Enqueue(RequestState& aRequest)
{
  Insert(aRequest, false);
}

void
Dispatcher::Requeue(RequestState& aRequest)
{
  Insert(aRequest, true);
}

void
Dispatcher::Insert(RequestState& aRequest, bool aIsRequeue)
{
  PoolQueue& pool = QueueFor(aRequest);
  aRequest.mPhase = RequestPhase::Waiting;
  mContext.mDispatchNeeded = true;
  if (mContext.mSuspects.IsSuspect(aRequest.mDigest, mContext.mNow)) {
    pool.mSuspects.push_back(aRequest.mArrival.mId);
    return;
  }
  pool.mServiceRate.SetHasBacklog(true, mContext.mNow);
  if (aIsRequeue && aRequest.mQueueItem.mSequence != 0) {
    pool.mQueue->PutBack(aRequest.mQueueItem);
  } else {
    pool.mQueue->Push(aRequest.mQueueItem);
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
  mContext.mDispatchNeeded = true;
}

void
Dispatcher::DispatchWaiting()
{
  WaitingSuspects waiting;
  for (auto& [key, pool] : mPools) {
    DispatchSuspects(pool, waiting);
  }
  UpdateClearing(std::move(waiting));
  for (auto& [key, pool] : mPools) {
    DispatchQueue(pool);
    if (pool.mQueue->Length() == 0) {
      pool.mServiceRate.SetHasBacklog(false, mContext.mNow);
    }
  }
}

void
Dispatcher::DispatchQueue(PoolQueue& aPool)
{
  while (const QueueItem* front = aPool.mQueue->Front()) {
    const std::uint64_t id = front->mId;
    if (MoveIfSuspect(aPool, id)) {
      continue;
    }
    RequestState& request = *mContext.Find(id);
    if (!TryStart(aPool, request)) {
      SetBackoffTimer(aPool.mDecodePool);
      SetBackoffTimer(aPool.mPrefillPool);
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
  mContext.mDispatchNeeded = true;
  return true;
}

bool
Dispatcher::TryStart(PoolQueue& aPool, RequestState& aRequest)
{
  const std::optional<Placement> placement = ChoosePlacement(aPool, aRequest);
  if (!placement) {
    return false;
  }
  aRequest.mQueueItem = aPool.mQueue->Pop();
  aPool.mServiceRate.OnCostTaken(aRequest.mQueueItem.mCost, mContext.mNow);
  StartAttempt(aRequest, *placement);
  return true;
}

bool
Dispatcher::StartAttempt(RequestState& aRequest, const Placement& aPlacement)
{
  if (!mListener->OnBeforeStart(aRequest)) {
    return false;
  }
  const std::uint32_t attempt = mAttempts.Start(aRequest, aPlacement);
  mListener->OnStarted(aRequest, attempt);
  return true;
}

std::optional<Placement>
Dispatcher::ChoosePlacement(const PoolQueue& aPool,
                            const RequestState& aRequest)
{
  Placement placement;
  std::string zone = mContext.mSettings.mZone;
  if (!aPool.mPrefillPool.empty()) {
    placement.mPrefill = ChooseUpstream(aPool.mPrefillPool, aRequest, zone);
    if (placement.mPrefill == nullptr) {
      return std::nullopt;
    }
    zone = placement.mPrefill->mConfig.mZone;
  }
  placement.mDecode = ChooseUpstream(aPool.mDecodePool, aRequest, zone);
  if (placement.mDecode == nullptr) {
    return std::nullopt;
  }
  return placement;
}

UpstreamState*
Dispatcher::ChooseUpstream(const std::string& aPool,
                           const RequestState& aRequest,
                           const std::string& aZone)
{
  mCandidates.clear();
  for (UpstreamState* it : mContext.mUpstreams.InPool(aPool)) {
    if (it->AcceptsRequests(mContext.mNow) && !it->IsReservedForIsolation() &&
        HasCapacity(*it, aRequest)) {
      mCandidates.push_back(it);
    }
  }
  if (mCandidates.empty()) {
    return nullptr;
  }
  const ChoiceQuery query{ &mContext.mPrefixHints,
                           aRequest.mArrival.mPrefixHash,
                           aRequest.mArrival.mPromptTokens,
                           aZone };
  return mChooser->Choose(mCandidates, query, *mContext.mRandom);
}

bool
Dispatcher::HasCapacity(const UpstreamState& aUpstream,
                        const RequestState& aRequest) const
{
  const EntryCoreSettings& settings = mContext.mSettings;
  if (aUpstream.mRole == UpstreamRole::Prefill) {
    return aUpstream.AttemptCount() < settings.mPrefillSlots;
  }
  if (aUpstream.mRole == UpstreamRole::Plain) {
    return aUpstream.AttemptCount() < settings.mPlainSlots;
  }
  return aUpstream.LinksUsed() < settings.mLinkSlots &&
         mContext.mReservationPolicy.MayReserve(aUpstream, aRequest.mPieces);
}

void
Dispatcher::DispatchSuspects(PoolQueue& aPool, WaitingSuspects& aWaiting)
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
    const bool isReady = IsSuspectReady(request);
    if (isReady && StartSuspect(aPool, request)) {
      continue;
    }
    waiting += isReady ? 1 : 0;
    ++n;
  }
  if (waiting > 0) {
    aWaiting[aPool.mDecodePool] += waiting;
    aWaiting[aPool.mPrefillPool] += waiting;
  }
}

void
Dispatcher::UpdateClearing(WaitingSuspects aWaiting)
{
  for (const auto& [pool, count] : mWaitingSuspects) {
    if (aWaiting.count(pool) == 0) {
      StopClearing(pool);
    }
  }
  mWaitingSuspects = std::move(aWaiting);
  for (const auto& [pool, count] : mWaitingSuspects) {
    ClearOneUpstream(pool, count);
    SetBackoffTimer(pool);
  }
}

bool
Dispatcher::IsSuspectReady(const RequestState& aRequest) const
{
  return mContext.mRunningDigests.count(aRequest.mDigest) == 0 &&
         !mContext.mSuspects.MustDefer(aRequest.mDigest, mContext.mNow);
}

bool
Dispatcher::StartSuspect(PoolQueue& aPool, RequestState& aRequest)
{
  Placement placement;
  placement.mIsIsolated = true;
  if (!aPool.mPrefillPool.empty()) {
    placement.mPrefill = FindIdle(aPool.mPrefillPool, aRequest);
    if (placement.mPrefill == nullptr) {
      return false;
    }
  }
  placement.mDecode = FindIdle(aPool.mDecodePool, aRequest);
  if (placement.mDecode == nullptr) {
    return false;
  }
  const std::uint64_t id = aRequest.mArrival.mId;
  aPool.mSuspects.erase(
    std::find(aPool.mSuspects.begin(), aPool.mSuspects.end(), id));
  placement.mDecode->mClearingForIsolation = false;
  if (placement.mPrefill != nullptr) {
    placement.mPrefill->mClearingForIsolation = false;
  }
  StartAttempt(aRequest, placement);
  return true;
}

UpstreamState*
Dispatcher::FindIdle(const std::string& aPool, const RequestState& aRequest)
{
  mCandidates.clear();
  std::uint32_t fewestRunning = UINT32_MAX;
  for (UpstreamState* it : mContext.mUpstreams.InPool(aPool)) {
    if (it->AttemptCount() > 0 || !it->AcceptsRequests(mContext.mNow) ||
        !HasCapacity(*it, aRequest)) {
      continue;
    }
    // Work of other VMs counts as well: upstreams that report the fewest
    // running requests are preferred.
    const std::uint32_t running = it->Report().mRunning;
    if (running < fewestRunning) {
      fewestRunning = running;
      mCandidates.clear();
    }
    if (running == fewestRunning) {
      mCandidates.push_back(it);
    }
  }
  if (mCandidates.empty()) {
    return nullptr;
  }
  return mCandidates[mContext.mRandom->UniformBelow(mCandidates.size())];
}

void
Dispatcher::ClearOneUpstream(const std::string& aPool, std::size_t aWaiting)
{
  const Candidates& upstreams = mContext.mUpstreams.InPool(aPool);
  const std::size_t maxReserved =
    std::max<std::size_t>(1, upstreams.size() / kUpstreamsPerReserved);
  std::size_t reserved = 0;
  UpstreamState* leastLoaded = nullptr;
  for (UpstreamState* it : upstreams) {
    reserved += it->IsReservedForIsolation() ? 1 : 0;
    const bool isUsable =
      it->AcceptsRequests(mContext.mNow) && !it->IsReservedForIsolation();
    if (isUsable && (leastLoaded == nullptr ||
                     it->AttemptCount() < leastLoaded->AttemptCount())) {
      leastLoaded = it;
    }
  }
  if (leastLoaded != nullptr && reserved < std::min(maxReserved, aWaiting)) {
    leastLoaded->mClearingForIsolation = true;
  }
}

void
Dispatcher::StopClearing(const std::string& aPool)
{
  for (UpstreamState* it : mContext.mUpstreams.InPool(aPool)) {
    it->mClearingForIsolation = false;
  }
}

void
Dispatcher::SetBackoffTimer(const std::string& aPool)
{
  std::optional<TimePoint> wake;
  for (const UpstreamState* it : mContext.mUpstreams.InPool(aPool)) {
    if (it->mBackoffUntil > mContext.mNow &&
        (!wake || it->mBackoffUntil < *wake)) {
      wake = it->mBackoffUntil;
    }
  }
  const bool isSet = mNextBackoffTimer && *mNextBackoffTimer > mContext.mNow;
  if (wake && (!isSet || *wake < *mNextBackoffTimer)) {
    mNextBackoffTimer = wake;
    mContext.mTimers.Add(*wake, { TimerKind::Dispatch, 0, 0 });
  }
}

bool
Dispatcher::StartHedge(RequestState& aRequest)
{
  // Uses only upstreams on which this entry has no other request: a hedge must
  // not add to their load, and must not affect other requests if it crashes the
  // upstream.
  Placement placement;
  placement.mDecode = FindIdle(QueueFor(aRequest).mDecodePool, aRequest);
  if (placement.mDecode == nullptr ||
      placement.mDecode->IsReservedForIsolation() ||
      !mContext.mRetryBudget.TryTakeHedge()) {
    return false;
  }
  placement.mIsIsolated = true;
  placement.mIsHedge = true;
  return StartAttempt(aRequest, placement);
}

void
Dispatcher::OnFirstByte(const RequestState& aRequest, Duration aDuration)
{
  QueueFor(aRequest).mServiceRate.OnFirstByte(aDuration);
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
