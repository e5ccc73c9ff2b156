#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/EntryCore.h>
#include <Peridothoist/Request/AttemptStateMachine.h>
#include <Peridothoist/Request/Dispatcher.h>
#include <Peridothoist/Request/EntryContext.h>
#include <Peridothoist/Request/RequestStateMachine.h>
#include <Peridothoist/Request/UpstreamHealthTracker.h>

#include <algorithm>
#include <array>
#include <set>

namespace peridothoist {

/// The components, and what is done before and after each event.
struct EntryCore::Impl
{
  Impl(const Settings& aSettings,
       std::shared_ptr<const Configuration> aConfiguration,
       DispatchPolicy* aDispatchPolicy,
       Random* aRandom)
    : mContext(aSettings, std::move(aConfiguration), aDispatchPolicy, aRandom)
    , mAttempts(mContext)
    , mDispatcher(mContext, mAttempts)
    , mUpstreamHealth(mContext, mAttempts)
    , mRequests(mContext, mAttempts, mDispatcher, mUpstreamHealth)
  {
    mContext.mUpstreams.SetConfiguration(*mContext.mConfiguration);
    mAttempts.SetListener(&mRequests);
    mDispatcher.SetListener(&mRequests);
  }

  void BeginEvent(TimePoint aNow, RequestCommands& aOut)
  {
    mContext.mNow = std::max(mContext.mNow, aNow);
    mContext.mCommands = &aOut;
  }

  /// Dispatches waiting requests and removes finished ones.
  void FinishEvent()
  {
    while (mContext.mDispatchNeeded) {
      mContext.mDispatchNeeded = false;
      mDispatcher.DispatchWaiting();
    }
    for (std::uint64_t id : mContext.mFinishedRequests) {
      mContext.mRequests.erase(id);
    }
    mContext.mFinishedRequests.clear();
    mContext.mCommands = nullptr;
  }

  /// The request and open attempt that a result belongs to.
  struct ResultTarget
  {
    RequestState* mRequest = nullptr;
    Attempt* mAttempt = nullptr; ///< Null: the result is dropped.
  };

  /// Finds the target of a result. A result for an attempt that has ended, or
  /// for a call that is not open, is dropped. If such an attempt's call
  /// succeeded (aOk), the upstream may hold resources, so the attempt's cancels
  /// are sent again.
  ResultTarget Find(std::uint64_t aId,
                    std::uint32_t aAttempt,
                    AttemptStep aStep,
                    bool aOk)
  {
    ResultTarget target;
    target.mRequest = mContext.Find(aId);
    Attempt* attempt = target.mRequest == nullptr
                         ? nullptr
                         : target.mRequest->FindAttempt(aAttempt);
    if (attempt == nullptr) {
      ++mContext.mCounters.mEventsDropped;
      if (aOk) {
        mContext.mCancels.OnLateResult(
          { aId, aAttempt }, mContext.mNow, *mContext.mCommands);
      }
      return target;
    }
    const AttemptStep step = attempt->Step();
    const bool isOpen = step == AttemptStep::Prefill
                          ? attempt->mPrefill.mIsCallOpen
                          : attempt->mDecode.mIsCallOpen;
    if (step != aStep || !isOpen) {
      ++mContext.mCounters.mEventsDropped;
      return target;
    }
    target.mAttempt = attempt;
    return target;
  }

  // Timers
  using TimerHandler = void (Impl::*)(const Timer&);

  void OnTimer(const Timer& aTimer)
  {
    static constexpr std::array<TimerHandler, kTimerKinds> kHandlers = {
      &Impl::OnDeadline,    &Impl::OnHedge,          &Impl::OnTokenGap,
      &Impl::OnImportRetry, &Impl::OnOutcomeTimeout, &Impl::OnCancelDue,
      &Impl::OnDispatchDue
    };
    const TimerHandler handler =
      kHandlers[static_cast<std::size_t>(aTimer.mKind)];
    (this->*handler)(aTimer);
  }

  void OnDeadline(const Timer& aTimer)
  {
    RequestState* request = mContext.Find(aTimer.mId);
    if (request != nullptr) {
      mRequests.OnDeadline(*request);
    }
  }

  void OnHedge(const Timer& aTimer)
  {
    RequestState* request = mContext.Find(aTimer.mId);
    if (request != nullptr) {
      mRequests.OnHedgeDue(*request, aTimer.mAttempt);
    }
  }

  void OnTokenGap(const Timer& aTimer)
  {
    RequestState* request = mContext.Find(aTimer.mId);
    Attempt* attempt =
      request == nullptr ? nullptr : request->FindAttempt(aTimer.mAttempt);
    if (attempt != nullptr) {
      mAttempts.OnTokenGap(*request, *attempt);
    }
  }

  void OnImportRetry(const Timer& aTimer)
  {
    RequestState* request = mContext.Find(aTimer.mId);
    Attempt* attempt =
      request == nullptr ? nullptr : request->FindAttempt(aTimer.mAttempt);
    if (attempt != nullptr) {
      mAttempts.OnImportRetry(*request, *attempt);
    }
  }

  void OnOutcomeTimeout(const Timer& aTimer)
  {
    RequestState* request = mContext.Find(aTimer.mId);
    if (request != nullptr) {
      mRequests.OnOutcomeTimeout(*request);
    }
  }

  /// Does nothing: EntryCore::OnTick() sends the cancels that are due.
  void OnCancelDue(const Timer& /*aTimer*/) {}

  void OnDispatchDue(const Timer& /*aTimer*/)
  {
    mContext.mDispatchNeeded = true;
  }

  /// Counts newly quarantined digests and refuses their waiting requests.
  void OnQuarantined(const std::vector<std::string>& aQuarantined)
  {
    mContext.mCounters.mQuarantined += aQuarantined.size();
    for (const std::string& it : aQuarantined) {
      mRequests.OnQuarantined(it);
    }
  }

  /// Removes upstreams that are no longer in the configuration and that this
  /// entry no longer needs.
  void DropRemovedUpstreams()
  {
    for (const std::string& name : mContext.mCancels.Upstreams()) {
      UpstreamState* upstream = mContext.mUpstreams.Find(name);
      if (upstream != nullptr && !upstream->mListed && upstream->mDead) {
        mContext.mCancels.RemoveUpstream(name);
        upstream->ClearAttempts();
      }
    }
    const std::set<std::string> needed = mContext.mCancels.Upstreams();
    mContext.mUpstreams.DropUnlisted(
      [&needed](const std::string& aName) { return needed.count(aName) > 0; });
  }

  /// Returns whether a cancel is open at an upstream that is not dead.
  bool HasCancelsAtLiveUpstreams()
  {
    for (const std::string& name : mContext.mCancels.Upstreams()) {
      const UpstreamState* upstream = mContext.mUpstreams.Find(name);
      if (upstream != nullptr && !upstream->mDead) {
        return true;
      }
    }
    return false;
  }

  static std::vector<QuarantinedDigest> ToQuarantinedDigests(
    const std::vector<SuspectSummary>& aDigests,
    TimePoint aNow)
  {
    std::vector<QuarantinedDigest> listed;
    listed.reserve(aDigests.size());
    for (const SuspectSummary& it : aDigests) {
      listed.push_back({ it.mDigest, it.mExpiresAt - aNow });
    }
    return listed;
  }

  EntryContext mContext;
  AttemptStateMachine mAttempts;
  Dispatcher mDispatcher;
  UpstreamHealthTracker mUpstreamHealth;
  RequestStateMachine mRequests;
};

std::unique_ptr<EntryCore>
EntryCore::Create(const Settings& aSettings,
                  std::shared_ptr<const Configuration> aConfiguration,
                  DispatchPolicy* aDispatchPolicy,
                  Random* aRandom)
{
  if (aConfiguration == nullptr || aDispatchPolicy == nullptr ||
      aRandom == nullptr) {
    return nullptr;
  }
  auto impl = std::make_unique<Impl>(
    aSettings, std::move(aConfiguration), aDispatchPolicy, aRandom);
  return std::unique_ptr<EntryCore>(new EntryCore(std::move(impl)));
}

EntryCore::EntryCore(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

EntryCore::~EntryCore() = default;

void
EntryCore::SetConfiguration(std::shared_ptr<const Configuration> aConfiguration,
                            TimePoint aNow,
                            RequestCommands& aOut)
{
  EntryContext& context = mImpl->mContext;
  mImpl->BeginEvent(aNow, aOut);
  context.mConfiguration = std::move(aConfiguration);
  context.mUpstreams.SetConfiguration(*context.mConfiguration);
  mImpl->DropRemovedUpstreams();
  mImpl->mDispatcher.OnConfiguration();
  context.mDispatchNeeded = true;
  mImpl->FinishEvent();
}

void
EntryCore::SetEntryCount(std::uint32_t aCount)
{
  mImpl->mContext.mReservationPolicy.SetEntryCount(aCount);
}

void
EntryCore::OnArrival(Arrival aArrival, TimePoint aNow, RequestCommands& aOut)
{
  mImpl->BeginEvent(aNow, aOut);
  mImpl->mRequests.OnArrival(std::move(aArrival));
  mImpl->FinishEvent();
}

void
EntryCore::OnCallerDisconnected(std::uint64_t aId,
                                TimePoint aNow,
                                RequestCommands& aOut)
{
  mImpl->BeginEvent(aNow, aOut);
  RequestState* request = mImpl->mContext.Find(aId);
  if (request != nullptr) {
    mImpl->mRequests.OnCallerDisconnected(*request);
  }
  mImpl->FinishEvent();
}

void
EntryCore::OnClaimResult(std::uint64_t aId,
                         const ClaimResult& aResult,
                         TimePoint aNow,
                         RequestCommands& aOut)
{
  mImpl->BeginEvent(aNow, aOut);
  RequestState* request = mImpl->mContext.Find(aId);
  if (request != nullptr) {
    mImpl->mRequests.OnClaim(*request, aResult);
  } else {
    ++mImpl->mContext.mCounters.mEventsDropped;
  }
  mImpl->FinishEvent();
}

void
EntryCore::OnReserveResult(std::uint64_t aId,
                           std::uint32_t aAttempt,
                           const ReserveResult& aResult,
                           TimePoint aNow,
                           RequestCommands& aOut)
{
  mImpl->BeginEvent(aNow, aOut);
  const auto target =
    mImpl->Find(aId, aAttempt, AttemptStep::Reserve, aResult.mCall.IsSuccess());
  if (target.mAttempt != nullptr) {
    mImpl->mAttempts.OnReserve(*target.mRequest, *target.mAttempt, aResult);
  }
  mImpl->FinishEvent();
}

void
EntryCore::OnPrefillResult(std::uint64_t aId,
                           std::uint32_t aAttempt,
                           const PrefillResult& aResult,
                           TimePoint aNow,
                           RequestCommands& aOut)
{
  mImpl->BeginEvent(aNow, aOut);
  const auto target =
    mImpl->Find(aId, aAttempt, AttemptStep::Prefill, aResult.mCall.IsSuccess());
  if (target.mAttempt != nullptr) {
    mImpl->mAttempts.OnPrefill(*target.mRequest, *target.mAttempt, aResult);
  }
  mImpl->FinishEvent();
}

void
EntryCore::OnImportResult(std::uint64_t aId,
                          std::uint32_t aAttempt,
                          const ImportResult& aResult,
                          TimePoint aNow,
                          RequestCommands& aOut)
{
  mImpl->BeginEvent(aNow, aOut);
  const auto target =
    mImpl->Find(aId, aAttempt, AttemptStep::Import, aResult.mCall.IsSuccess());
  if (target.mAttempt != nullptr) {
    mImpl->mAttempts.OnImport(*target.mRequest, *target.mAttempt, aResult);
  }
  mImpl->FinishEvent();
}

void
EntryCore::OnToken(std::uint64_t aId,
                   std::uint32_t aAttempt,
                   std::uint32_t aIndex,
                   std::string aText,
                   TimePoint aNow,
                   RequestCommands& aOut)
{
  mImpl->BeginEvent(aNow, aOut);
  const auto target = mImpl->Find(aId, aAttempt, AttemptStep::Decode, false);
  if (target.mAttempt != nullptr) {
    mImpl->mAttempts.OnToken(
      *target.mRequest, *target.mAttempt, aIndex, std::move(aText));
  }
  mImpl->FinishEvent();
}

void
EntryCore::OnDecodeResult(std::uint64_t aId,
                          std::uint32_t aAttempt,
                          const DecodeResult& aResult,
                          TimePoint aNow,
                          RequestCommands& aOut)
{
  mImpl->BeginEvent(aNow, aOut);
  const auto target = mImpl->Find(aId, aAttempt, AttemptStep::Decode, false);
  if (target.mAttempt != nullptr) {
    mImpl->mAttempts.OnDecodeResult(
      *target.mRequest, *target.mAttempt, aResult);
  }
  mImpl->FinishEvent();
}

void
EntryCore::OnPlainResult(std::uint64_t aId,
                         std::uint32_t aAttempt,
                         PlainResult aResult,
                         TimePoint aNow,
                         RequestCommands& aOut)
{
  mImpl->BeginEvent(aNow, aOut);
  const auto target = mImpl->Find(aId, aAttempt, AttemptStep::CallPlain, false);
  if (target.mAttempt != nullptr) {
    mImpl->mAttempts.OnPlain(
      *target.mRequest, *target.mAttempt, std::move(aResult));
  }
  mImpl->FinishEvent();
}

void
EntryCore::OnCancelResult(const std::string& aUpstream,
                          std::uint64_t aId,
                          std::uint32_t aAttempt,
                          bool aOk,
                          TimePoint aNow,
                          RequestCommands& aOut)
{
  mImpl->BeginEvent(aNow, aOut);
  EntryContext& context = mImpl->mContext;
  const AttemptKey key{ aId, aAttempt };
  if (context.mCancels.OnResult(aUpstream, key, aOk, context.mNow)) {
    UpstreamState* upstream = context.mUpstreams.Find(aUpstream);
    if (upstream != nullptr) {
      upstream->RemoveAttempt(key);
      context.mDispatchNeeded = true;
    }
  }
  mImpl->FinishEvent();
}

bool
EntryCore::MayStillSend(std::uint64_t aId,
                        std::uint32_t aAttempt,
                        TimePoint aNow)
{
  mImpl->mContext.mNow = std::max(mImpl->mContext.mNow, aNow);
  RequestState* request = mImpl->mContext.Find(aId);
  Attempt* attempt =
    request == nullptr ? nullptr : request->FindAttempt(aAttempt);
  return attempt != nullptr &&
         mImpl->mRequests.MayStillSend(*request, *attempt);
}

void
EntryCore::OnLoadReport(const std::string& aUpstream,
                        const LoadReport& aReport,
                        TimePoint aNow,
                        RequestCommands& aOut)
{
  mImpl->BeginEvent(aNow, aOut);
  mImpl->mUpstreamHealth.OnLoadReport(aUpstream, aReport);
  mImpl->FinishEvent();
}

void
EntryCore::OnCacheEvent(const std::string& aUpstream,
                        std::uint64_t aPrefix,
                        bool aStored,
                        TimePoint /*aNow*/)
{
  PrefixHints& hints = mImpl->mContext.mPrefixHints;
  if (aStored) {
    hints.OnStored(aPrefix, aUpstream);
  } else {
    hints.OnEvicted(aPrefix, aUpstream);
  }
}

void
EntryCore::OnUpstreamDead(const std::string& aUpstream,
                          DeathKind aKind,
                          TimePoint aNow,
                          RequestCommands& aOut)
{
  mImpl->BeginEvent(aNow, aOut);
  mImpl->OnQuarantined(mImpl->mUpstreamHealth.OnDead(aUpstream, aKind));
  mImpl->FinishEvent();
}

void
EntryCore::OnUpstreamAlive(const std::string& aUpstream,
                           TimePoint aNow,
                           RequestCommands& aOut)
{
  mImpl->BeginEvent(aNow, aOut);
  mImpl->mUpstreamHealth.OnAlive(aUpstream);
  mImpl->FinishEvent();
}

void
EntryCore::OnQuarantine(const std::string& aDigest,
                        Duration aRemaining,
                        TimePoint aNow,
                        RequestCommands& aOut)
{
  mImpl->BeginEvent(aNow, aOut);
  EntryContext& context = mImpl->mContext;
  context.mSuspects.AddQuarantine(
    aDigest, context.mNow + aRemaining, context.mNow);
  mImpl->mRequests.OnQuarantined(aDigest);
  mImpl->FinishEvent();
}

void
EntryCore::OnSuspect(const std::string& aDigest,
                     Duration aRemaining,
                     TimePoint aNow)
{
  mImpl->mContext.mSuspects.AddSuspect(aDigest, aNow + aRemaining, aNow);
}

std::vector<QuarantinedDigest>
EntryCore::Quarantined(TimePoint aNow) const
{
  return Impl::ToQuarantinedDigests(
    mImpl->mContext.mSuspects.ListQuarantined(aNow), aNow);
}

std::vector<QuarantinedDigest>
EntryCore::Suspects(TimePoint aNow) const
{
  return Impl::ToQuarantinedDigests(
    mImpl->mContext.mSuspects.ListSuspects(aNow), aNow);
}

void
EntryCore::OnTick(TimePoint aNow, RequestCommands& aOut)
{
  mImpl->BeginEvent(aNow, aOut);
  while (const auto timer = mImpl->mContext.mTimers.TakeDue(aNow)) {
    mImpl->OnTimer(*timer);
  }
  mImpl->mContext.mCancels.OnTick(aNow, aOut);
  mImpl->FinishEvent();
}

std::optional<TimePoint>
EntryCore::NextTick() const
{
  const std::optional<TimePoint> timer = mImpl->mContext.mTimers.NextDueTime();
  const std::optional<TimePoint> cancel =
    mImpl->mContext.mCancels.NextDueTime();
  if (timer && cancel) {
    return std::min(*timer, *cancel);
  }
  return timer ? timer : cancel;
}

void
EntryCore::StartDrain()
{
  mImpl->mContext.mIsDraining = true;
}

bool
EntryCore::IsIdle() const
{
  return mImpl->mContext.mRequests.empty() &&
         !mImpl->HasCancelsAtLiveUpstreams();
}

const EntryCounters&
EntryCore::Counters() const
{
  mImpl->mContext.mCounters.mCancelsSent = mImpl->mContext.mCancels.SentCount();
  return mImpl->mContext.mCounters;
}

std::size_t
EntryCore::OpenRequests() const
{
  return mImpl->mContext.mRequests.size();
}

std::size_t
EntryCore::QueueLength() const
{
  return mImpl->mDispatcher.QueueLength();
}

std::size_t
EntryCore::QueueLength(const std::string& aWorkspace) const
{
  return mImpl->mDispatcher.QueueLength(aWorkspace);
}

std::uint32_t
EntryCore::InFlight(const std::string& aUpstream) const
{
  const UpstreamState* upstream = mImpl->mContext.mUpstreams.Find(aUpstream);
  return upstream == nullptr ? 0 : upstream->AttemptCount();
}

std::size_t
EntryCore::OpenCancels() const
{
  return mImpl->mContext.mCancels.OpenCount();
}

} // namespace peridothoist
