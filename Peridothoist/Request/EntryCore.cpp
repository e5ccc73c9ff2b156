#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/EntryCore.h>
#include <Peridothoist/Request/AttemptMachine.h>
#include <Peridothoist/Request/Dispatcher.h>
#include <Peridothoist/Request/EntryContext.h>
#include <Peridothoist/Request/RequestMachine.h>
#include <Peridothoist/Request/UpstreamWatch.h>

#include <algorithm>
#include <array>
#include <set>

namespace peridothoist {

/// The parts, and the frame round each event.
struct EntryCore::Impl
{
  Impl(const Settings& aSettings,
       std::shared_ptr<const Configuration> aConfiguration,
       DispatchGate* aGate,
       Random* aRandom)
    : mContext(aSettings, std::move(aConfiguration), aGate, aRandom)
    , mAttempts(mContext)
    , mDispatcher(mContext, mAttempts)
    , mWatch(mContext, mAttempts)
    , mRequests(mContext, mAttempts, mDispatcher, mWatch)
  {
    mContext.mUpstreams.SetConfiguration(*mContext.mConfiguration);
    mAttempts.SetListener(&mRequests);
    mDispatcher.SetListener(&mRequests);
  }

  void Begin(TimePoint aNow, RequestCommands& aOut)
  {
    mContext.mNow = std::max(mContext.mNow, aNow);
    mContext.mOut = &aOut;
  }

  /// Places what can be placed now, and drops what is over.
  void Finish()
  {
    while (mContext.mPumpWanted) {
      mContext.mPumpWanted = false;
      mDispatcher.Pump();
    }
    for (std::uint64_t id : mContext.mOver) {
      mContext.mRequests.erase(id);
    }
    mContext.mOver.clear();
    mContext.mOut = nullptr;
  }

  /// The request and open attempt that an answer is for.
  struct Target
  {
    RequestState* mRequest = nullptr;
    Attempt* mAttempt = nullptr; ///< Null: the answer is dropped.
  };

  /// Finds an answer's target. An answer for an attempt that is over, or for
  /// a call that isn't open, is dropped; one that says that something is held
  /// (aOk) makes the attempt's cancels go out again.
  Target Find(std::uint64_t aId,
              std::uint32_t aAttempt,
              AttemptStep aStep,
              bool aOk)
  {
    Target target;
    target.mRequest = mContext.Find(aId);
    Attempt* attempt = target.mRequest == nullptr
                         ? nullptr
                         : target.mRequest->FindAttempt(aAttempt);
    if (attempt == nullptr) {
      ++mContext.mCounters.mEventsDropped;
      if (aOk) {
        mContext.mCancels.OnLateAnswer(
          { aId, aAttempt }, mContext.mNow, *mContext.mOut);
      }
      return target;
    }
    const AttemptStep step = attempt->Step();
    const bool open = step == AttemptStep::Prefill ? attempt->mPrefill.mCallOpen
                                                   : attempt->mDecode.mCallOpen;
    if (step != aStep || !open) {
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
      &Impl::OnDeadline,    &Impl::OnHedge,       &Impl::OnTokenGap,
      &Impl::OnImportRetry, &Impl::OnOutcomeWait, &Impl::OnCancels,
      &Impl::OnPump
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

  void OnOutcomeWait(const Timer& aTimer)
  {
    RequestState* request = mContext.Find(aTimer.mId);
    if (request != nullptr) {
      mRequests.OnOutcomeWaitOver(*request);
    }
  }

  void OnCancels(const Timer& /*aTimer*/) {}

  void OnPump(const Timer& /*aTimer*/) { mContext.mPumpWanted = true; }

  /// Tells of new quarantines.
  void Announce(const std::vector<std::string>& aQuarantined)
  {
    mContext.mCounters.mQuarantined += aQuarantined.size();
    for (const std::string& it : aQuarantined) {
      mRequests.OnQuarantined(it);
    }
  }

  /// Forgets upstreams that are out of the configuration and that nothing of
  /// this entry needs any more.
  void DropGone()
  {
    for (const std::string& name : mContext.mCancels.Upstreams()) {
      UpstreamState* upstream = mContext.mUpstreams.Find(name);
      if (upstream != nullptr && !upstream->mListed && upstream->mDead) {
        mContext.mCancels.Drop(name);
        upstream->Clear();
      }
    }
    const std::set<std::string> needed = mContext.mCancels.Upstreams();
    mContext.mUpstreams.DropUnlisted(
      [&needed](const std::string& aName) { return needed.count(aName) > 0; });
  }

  /// Whether a cancel is open at an upstream that could answer it.
  bool HasLiveCancels()
  {
    for (const std::string& name : mContext.mCancels.Upstreams()) {
      const UpstreamState* upstream = mContext.mUpstreams.Find(name);
      if (upstream != nullptr && !upstream->mDead) {
        return true;
      }
    }
    return false;
  }

  static std::vector<QuarantinedDigest> Listed(
    const std::vector<ListedDigest>& aDigests,
    TimePoint aNow)
  {
    std::vector<QuarantinedDigest> listed;
    listed.reserve(aDigests.size());
    for (const ListedDigest& it : aDigests) {
      listed.push_back({ it.mDigest, it.mUntil - aNow });
    }
    return listed;
  }

  EntryContext mContext;
  AttemptMachine mAttempts;
  Dispatcher mDispatcher;
  UpstreamWatch mWatch;
  RequestMachine mRequests;
};

std::unique_ptr<EntryCore>
EntryCore::Create(const Settings& aSettings,
                  std::shared_ptr<const Configuration> aConfiguration,
                  DispatchGate* aGate,
                  Random* aRandom)
{
  if (aConfiguration == nullptr || aGate == nullptr || aRandom == nullptr) {
    return nullptr;
  }
  auto impl = std::make_unique<Impl>(
    aSettings, std::move(aConfiguration), aGate, aRandom);
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
  mImpl->Begin(aNow, aOut);
  context.mConfiguration = std::move(aConfiguration);
  context.mUpstreams.SetConfiguration(*context.mConfiguration);
  mImpl->DropGone();
  mImpl->mDispatcher.OnConfiguration();
  context.mPumpWanted = true;
  mImpl->Finish();
}

void
EntryCore::SetEntryCount(std::uint32_t aCount)
{
  mImpl->mContext.mCredits.SetEntryCount(aCount);
}

void
EntryCore::OnArrival(Arrival aArrival, TimePoint aNow, RequestCommands& aOut)
{
  mImpl->Begin(aNow, aOut);
  mImpl->mRequests.OnArrival(std::move(aArrival));
  mImpl->Finish();
}

void
EntryCore::OnCallerGone(std::uint64_t aId,
                        TimePoint aNow,
                        RequestCommands& aOut)
{
  mImpl->Begin(aNow, aOut);
  RequestState* request = mImpl->mContext.Find(aId);
  if (request != nullptr) {
    mImpl->mRequests.OnCallerGone(*request);
  }
  mImpl->Finish();
}

void
EntryCore::OnClaimAnswer(std::uint64_t aId,
                         const ClaimAnswer& aAnswer,
                         TimePoint aNow,
                         RequestCommands& aOut)
{
  mImpl->Begin(aNow, aOut);
  RequestState* request = mImpl->mContext.Find(aId);
  if (request != nullptr) {
    mImpl->mRequests.OnClaim(*request, aAnswer);
  } else {
    ++mImpl->mContext.mCounters.mEventsDropped;
  }
  mImpl->Finish();
}

void
EntryCore::OnReserveAnswer(std::uint64_t aId,
                           std::uint32_t aAttempt,
                           const ReserveAnswer& aAnswer,
                           TimePoint aNow,
                           RequestCommands& aOut)
{
  mImpl->Begin(aNow, aOut);
  const auto target =
    mImpl->Find(aId, aAttempt, AttemptStep::Reserve, aAnswer.mCall.Ok());
  if (target.mAttempt != nullptr) {
    mImpl->mAttempts.OnReserve(*target.mRequest, *target.mAttempt, aAnswer);
  }
  mImpl->Finish();
}

void
EntryCore::OnPrefillAnswer(std::uint64_t aId,
                           std::uint32_t aAttempt,
                           const PrefillAnswer& aAnswer,
                           TimePoint aNow,
                           RequestCommands& aOut)
{
  mImpl->Begin(aNow, aOut);
  const auto target =
    mImpl->Find(aId, aAttempt, AttemptStep::Prefill, aAnswer.mCall.Ok());
  if (target.mAttempt != nullptr) {
    mImpl->mAttempts.OnPrefill(*target.mRequest, *target.mAttempt, aAnswer);
  }
  mImpl->Finish();
}

void
EntryCore::OnImportAnswer(std::uint64_t aId,
                          std::uint32_t aAttempt,
                          const ImportAnswer& aAnswer,
                          TimePoint aNow,
                          RequestCommands& aOut)
{
  mImpl->Begin(aNow, aOut);
  const auto target =
    mImpl->Find(aId, aAttempt, AttemptStep::Import, aAnswer.mCall.Ok());
  if (target.mAttempt != nullptr) {
    mImpl->mAttempts.OnImport(*target.mRequest, *target.mAttempt, aAnswer);
  }
  mImpl->Finish();
}

void
EntryCore::OnToken(std::uint64_t aId,
                   std::uint32_t aAttempt,
                   std::uint32_t aIndex,
                   std::string aText,
                   TimePoint aNow,
                   RequestCommands& aOut)
{
  mImpl->Begin(aNow, aOut);
  const auto target = mImpl->Find(aId, aAttempt, AttemptStep::Decode, false);
  if (target.mAttempt != nullptr) {
    mImpl->mAttempts.OnToken(
      *target.mRequest, *target.mAttempt, aIndex, std::move(aText));
  }
  mImpl->Finish();
}

void
EntryCore::OnDecodeEnd(std::uint64_t aId,
                       std::uint32_t aAttempt,
                       const DecodeEnd& aEnd,
                       TimePoint aNow,
                       RequestCommands& aOut)
{
  mImpl->Begin(aNow, aOut);
  const auto target = mImpl->Find(aId, aAttempt, AttemptStep::Decode, false);
  if (target.mAttempt != nullptr) {
    mImpl->mAttempts.OnDecodeEnd(*target.mRequest, *target.mAttempt, aEnd);
  }
  mImpl->Finish();
}

void
EntryCore::OnPlainAnswer(std::uint64_t aId,
                         std::uint32_t aAttempt,
                         PlainAnswer aAnswer,
                         TimePoint aNow,
                         RequestCommands& aOut)
{
  mImpl->Begin(aNow, aOut);
  const auto target = mImpl->Find(aId, aAttempt, AttemptStep::CallPlain, false);
  if (target.mAttempt != nullptr) {
    mImpl->mAttempts.OnPlain(
      *target.mRequest, *target.mAttempt, std::move(aAnswer));
  }
  mImpl->Finish();
}

void
EntryCore::OnCancelAnswer(const std::string& aUpstream,
                          std::uint64_t aId,
                          std::uint32_t aAttempt,
                          bool aOk,
                          TimePoint aNow,
                          RequestCommands& aOut)
{
  mImpl->Begin(aNow, aOut);
  EntryContext& context = mImpl->mContext;
  const AttemptKey key{ aId, aAttempt };
  if (context.mCancels.OnAnswer(aUpstream, key, aOk, context.mNow)) {
    UpstreamState* upstream = context.mUpstreams.Find(aUpstream);
    if (upstream != nullptr) {
      upstream->Leave(key);
      context.mPumpWanted = true;
    }
  }
  mImpl->Finish();
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
  mImpl->Begin(aNow, aOut);
  mImpl->mWatch.OnReport(aUpstream, aReport);
  mImpl->Finish();
}

void
EntryCore::OnCacheEvent(const std::string& aUpstream,
                        std::uint64_t aPrefix,
                        bool aStored,
                        TimePoint /*aNow*/)
{
  PrefixHints& hints = mImpl->mContext.mHints;
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
  mImpl->Begin(aNow, aOut);
  mImpl->Announce(mImpl->mWatch.OnDead(aUpstream, aKind));
  mImpl->Finish();
}

void
EntryCore::OnUpstreamAlive(const std::string& aUpstream,
                           TimePoint aNow,
                           RequestCommands& aOut)
{
  mImpl->Begin(aNow, aOut);
  mImpl->mWatch.OnAlive(aUpstream);
  mImpl->Finish();
}

void
EntryCore::OnQuarantine(const std::string& aDigest,
                        Duration aLasts,
                        TimePoint aNow,
                        RequestCommands& aOut)
{
  mImpl->Begin(aNow, aOut);
  EntryContext& context = mImpl->mContext;
  context.mSuspects.Quarantine(aDigest, context.mNow + aLasts, context.mNow);
  mImpl->mRequests.OnQuarantined(aDigest);
  mImpl->Finish();
}

void
EntryCore::OnSuspect(const std::string& aDigest,
                     Duration aLasts,
                     TimePoint aNow)
{
  mImpl->mContext.mSuspects.Suspect(aDigest, aNow + aLasts, aNow);
}

std::vector<QuarantinedDigest>
EntryCore::Quarantined(TimePoint aNow) const
{
  return Impl::Listed(mImpl->mContext.mSuspects.Quarantined(aNow), aNow);
}

std::vector<QuarantinedDigest>
EntryCore::Suspects(TimePoint aNow) const
{
  return Impl::Listed(mImpl->mContext.mSuspects.Suspects(aNow), aNow);
}

void
EntryCore::OnTick(TimePoint aNow, RequestCommands& aOut)
{
  mImpl->Begin(aNow, aOut);
  while (const auto timer = mImpl->mContext.mTimers.TakeDue(aNow)) {
    mImpl->OnTimer(*timer);
  }
  mImpl->mContext.mCancels.OnTick(aNow, aOut);
  mImpl->Finish();
}

std::optional<TimePoint>
EntryCore::NextTick() const
{
  const std::optional<TimePoint> timer = mImpl->mContext.mTimers.Next();
  const std::optional<TimePoint> cancel = mImpl->mContext.mCancels.Next();
  if (timer && cancel) {
    return std::min(*timer, *cancel);
  }
  return timer ? timer : cancel;
}

void
EntryCore::StartDrain()
{
  mImpl->mContext.mDraining = true;
}

bool
EntryCore::IsIdle() const
{
  return mImpl->mContext.mRequests.empty() && !mImpl->HasLiveCancels();
}

const EntryCounters&
EntryCore::Counters() const
{
  mImpl->mContext.mCounters.mCancelsSent = mImpl->mContext.mCancels.Sent();
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
  return upstream == nullptr ? 0 : upstream->InFlight();
}

std::size_t
EntryCore::OpenCancels() const
{
  return mImpl->mContext.mCancels.Size();
}

} // namespace peridothoist
