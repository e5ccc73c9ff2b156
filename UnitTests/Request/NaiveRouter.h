/// A deliberately naive router that the tests must find faulty. It retries
/// after any error even if the request may have run, takes any response to be
/// that of the current attempt, never releases resources, knows no retry
/// budget, and quarantines every request that was present when an upstream died
/// twice.
#pragma once

#include <Request/Router.h>

#include <set>

namespace peridothoist::test {

class NaiveRouter : public Router
{
public:
  explicit NaiveRouter(std::shared_ptr<const Configuration> aConfig)
    : mConfig(std::move(aConfig))
  {
  }

  void Handle(const Event& aEvent,
              TimePoint /*aNow*/,
              RequestCommands& aOut) override
  {
    mOut = &aOut;
    if (aEvent.mKind == EventKind::Arrival) {
      mRequests[aEvent.mArrival.mId].mArrival = aEvent.mArrival;
      StartAttempt(mRequests[aEvent.mArrival.mId]);
      return;
    }
    if (aEvent.mKind == EventKind::Dead) {
      OnDead(aEvent.mUpstream);
      return;
    }
    const auto it = mRequests.find(aEvent.mId);
    if (it != mRequests.end()) {
      OnResult(it->second, aEvent);
    }
  }

  bool MayStillSend(std::uint64_t, std::uint32_t, TimePoint) override
  {
    return true;
  }

  std::vector<std::string> Quarantined(TimePoint) const override
  {
    return { mQuarantined.begin(), mQuarantined.end() };
  }

private:
  struct Request
  {
    Arrival mArrival;
    std::uint32_t mAttempt = 0;
    std::uint32_t mTokens = 0;
    std::string mPrefill;
    std::string mDecode;
  };

  bool IsPlain(const Request& aRequest) const
  {
    return !aRequest.mArrival.mRoute->mPlainPool.empty();
  }

  std::string Next(const std::string& aPool)
  {
    std::vector<std::string> names;
    for (const auto& [name, upstream] : mConfig->mUpstreams) {
      if (upstream.mPool == aPool) {
        names.push_back(name);
      }
    }
    return names[mNextIndex++ % names.size()];
  }

  RequestCommand& Command(RequestCommandKind aKind, Request& aRequest)
  {
    RequestCommand command;
    command.mKind = aKind;
    command.mId = aRequest.mArrival.mId;
    command.mAttempt = aRequest.mAttempt;
    mOut->push_back(command);
    return mOut->back();
  }

  void StartAttempt(Request& aRequest)
  {
    if (aRequest.mAttempt++ >= kMaxAttempts) {
      RunVerdictTracker tracker;
      Command(RequestCommandKind::SendRefusal, aRequest).mRefusal =
        Refusal::Make(RefusalKind::UpstreamFailed, tracker, 1s);
      return;
    }
    const Route& route = *aRequest.mArrival.mRoute;
    if (IsPlain(aRequest)) {
      aRequest.mDecode = Next(route.mPlainPool);
      Command(RequestCommandKind::CallPlain, aRequest).mUpstream =
        aRequest.mDecode;
      return;
    }
    aRequest.mPrefill = Next(route.mPrefillPool);
    aRequest.mDecode = Next(route.mDecodePool);
    RequestCommand& command = Command(RequestCommandKind::Reserve, aRequest);
    command.mUpstream = aRequest.mDecode;
    command.mPieces = 1;
  }

  void OnResult(Request& aRequest, const Event& aEvent)
  {
    const bool ok = aEvent.mCall.IsSuccess();
    switch (aEvent.mKind) {
      case EventKind::Reserve:
        Continue(aRequest, ok, RequestCommandKind::Prefill, aRequest.mPrefill);
        break;
      case EventKind::Prefill:
        Continue(aRequest, ok, RequestCommandKind::Import, aRequest.mDecode);
        break;
      case EventKind::Import:
        Continue(aRequest, ok, RequestCommandKind::Decode, aRequest.mDecode);
        break;
      case EventKind::Token:
        OnToken(aRequest, aEvent);
        break;
      case EventKind::DecodeResult:
      case EventKind::Plain:
        OnEnd(aRequest, aEvent, ok);
        break;
      case EventKind::CallerGone:
        mRequests.erase(aRequest.mArrival.mId);
        break;
      default:
        break;
    }
  }

  void Continue(Request& aRequest,
                bool aOk,
                RequestCommandKind aKind,
                const std::string& aUpstream)
  {
    if (!aOk) {
      StartAttempt(aRequest);
      return;
    }
    RequestCommand& command = Command(aKind, aRequest);
    command.mUpstream = aUpstream;
    command.mResumeFrom = aRequest.mTokens;
  }

  void OnToken(Request& aRequest, const Event& aEvent)
  {
    if (!aRequest.mArrival.mStreaming) {
      return;
    }
    if (aRequest.mTokens++ == 0) {
      Command(RequestCommandKind::SendHead, aRequest);
    }
    RequestCommand& command = Command(RequestCommandKind::SendToken, aRequest);
    command.mTokenIndex = aEvent.mIndex;
    command.mText = aEvent.mText;
  }

  void OnEnd(Request& aRequest, const Event& aEvent, bool aOk)
  {
    if (!aOk) {
      StartAttempt(aRequest);
      return;
    }
    const bool stream = !IsPlain(aRequest) && aRequest.mArrival.mStreaming;
    RequestCommand& command = Command(stream ? RequestCommandKind::EndStream
                                             : RequestCommandKind::SendWhole,
                                      aRequest);
    command.mStatus = 200;
    command.mBody = aEvent.mText;
  }

  void OnDead(const std::string& aUpstream)
  {
    for (const auto& [id, request] : mRequests) {
      const std::string& body = request.mArrival.mRequestDigest;
      const bool isThere =
        request.mDecode == aUpstream || request.mPrefill == aUpstream;
      if (isThere && ++mDeaths[body] == 2) {
        mQuarantined.insert(body);
      }
    }
  }

  static constexpr std::uint32_t kMaxAttempts = 6;

  std::shared_ptr<const Configuration> mConfig;
  std::map<std::uint64_t, Request> mRequests;
  std::map<std::string, int> mDeaths;
  std::set<std::string> mQuarantined;
  RequestCommands* mOut = nullptr;
  std::size_t mNextIndex = 0;
};

} // namespace peridothoist::test
