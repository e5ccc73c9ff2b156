/// The interface between the fake cluster and the router under test: the
/// entry's core, or a naive counterpart that must fail the tests.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/EntryCore.h>

namespace peridothoist::test {

/// Kinds of events that a router handles.
enum class EventKind
{
  Arrival,
  CallerGone,
  Claim,
  Reserve,
  Prefill,
  Import,
  Token,
  DecodeResult,
  Plain,
  CancelAck,
  Load,
  Dead,
  Alive,
  Tick,
  Config
};

/// One event for a router. The kind determines which fields are used.
struct Event
{
  EventKind mKind = EventKind::Tick;
  std::uint64_t mId = 0;
  std::uint32_t mAttempt = 0;
  std::string mUpstream;
  CallResult mCall;
  bool mSucceeded = true;   ///< CancelAck.
  std::uint32_t mIndex = 0; ///< Token: index; DecodeResult: number of tokens.
  std::string mText;        ///< Token; Prefill: handle; Plain: body.
  bool mDone = false;       ///< DecodeResult: the final event was received.
  DeathKind mDeath = DeathKind::Crashed;
  LoadReport mLoad;
  Arrival mArrival;
  ClaimResult mClaim;
  std::shared_ptr<const Configuration> mConfig;
};

/// Handles events and appends the resulting commands.
class Router
{
public:
  virtual ~Router() = default;
  virtual void Handle(const Event& aEvent,
                      TimePoint aNow,
                      RequestCommands& aOut) = 0;
  virtual bool MayStillSend(std::uint64_t aId,
                            std::uint32_t aAttempt,
                            TimePoint aNow) = 0;
  virtual std::optional<TimePoint> NextTick() const { return std::nullopt; }
  virtual bool IsIdle() const { return true; }
  /// Returns the quarantined request bodies.
  virtual std::vector<std::string> Quarantined(TimePoint) const { return {}; }
};

/// Permits every dispatch while mRefusal is empty.
class FakeDispatchPolicy : public DispatchPolicy
{
public:
  std::optional<RefusalKind> CheckDispatch(const std::string&,
                                           const std::string&,
                                           TimePoint) override
  {
    return mRefusal;
  }

  std::optional<RefusalKind> mRefusal;
};

/// The entry's core as a router.
class CoreRouter : public Router
{
public:
  CoreRouter(const EntryCoreSettings& aSettings,
             std::shared_ptr<const Configuration> aConfig,
             std::uint64_t aSeed)
    : mRandom(aSeed)
    , mCore(EntryCore::Create(aSettings, aConfig, &mDispatchPolicy, &mRandom))
  {
  }

  void Handle(const Event& aEvent,
              TimePoint aNow,
              RequestCommands& aOut) override
  {
    const Event& e = aEvent;
    switch (e.mKind) {
      case EventKind::Arrival:
        mCore->OnArrival(e.mArrival, aNow, aOut);
        break;
      case EventKind::CallerGone:
        mCore->OnCallerDisconnected(e.mId, aNow, aOut);
        break;
      case EventKind::Claim:
        mCore->OnClaimResult(e.mId, e.mClaim, aNow, aOut);
        break;
      case EventKind::Reserve:
        mCore->OnReserveResult(
          e.mId, e.mAttempt, { e.mCall, std::nullopt }, aNow, aOut);
        break;
      case EventKind::Prefill:
        mCore->OnPrefillResult(e.mId,
                               e.mAttempt,
                               { e.mCall, e.mText, 1, 100, 0, 800ms },
                               aNow,
                               aOut);
        break;
      case EventKind::Import:
        mCore->OnImportResult(e.mId, e.mAttempt, { e.mCall, 1 }, aNow, aOut);
        break;
      case EventKind::Token:
        mCore->OnToken(e.mId, e.mAttempt, e.mIndex, e.mText, aNow, aOut);
        break;
      case EventKind::DecodeResult:
        mCore->OnDecodeResult(e.mId,
                              e.mAttempt,
                              { e.mCall, e.mDone, "stop", e.mIndex },
                              aNow,
                              aOut);
        break;
      case EventKind::Plain:
        mCore->OnPlainResult(
          e.mId, e.mAttempt, { e.mCall, e.mText, {} }, aNow, aOut);
        break;
      case EventKind::CancelAck:
        mCore->OnCancelResult(
          e.mUpstream, e.mId, e.mAttempt, e.mSucceeded, aNow, aOut);
        break;
      case EventKind::Load:
        mCore->OnLoadReport(e.mUpstream, e.mLoad, aNow, aOut);
        break;
      case EventKind::Dead:
        mCore->OnUpstreamDead(e.mUpstream, e.mDeath, aNow, aOut);
        break;
      case EventKind::Alive:
        mCore->OnUpstreamAlive(e.mUpstream, aNow, aOut);
        break;
      case EventKind::Tick:
        mCore->OnTick(aNow, aOut);
        break;
      case EventKind::Config:
        mCore->SetConfiguration(e.mConfig, aNow, aOut);
        break;
    }
  }

  bool MayStillSend(std::uint64_t aId,
                    std::uint32_t aAttempt,
                    TimePoint aNow) override
  {
    return mCore->MayStillSend(aId, aAttempt, aNow);
  }

  std::optional<TimePoint> NextTick() const override
  {
    return mCore->NextTick();
  }

  bool IsIdle() const override { return mCore->IsIdle(); }

  std::vector<std::string> Quarantined(TimePoint aNow) const override
  {
    std::vector<std::string> digests;
    for (const QuarantinedDigest& it : mCore->Quarantined(aNow)) {
      digests.push_back(it.mDigest.substr(it.mDigest.rfind('/') + 1));
    }
    return digests;
  }

  EntryCore& Core() { return *mCore; }
  FakeDispatchPolicy& Policy() { return mDispatchPolicy; }

private:
  FakeDispatchPolicy mDispatchPolicy;
  Random mRandom;
  std::unique_ptr<EntryCore> mCore;
};

} // namespace peridothoist::test
