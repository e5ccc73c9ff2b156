#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/LoadPoller.h>

#include <Peridothoist/Entry/JsonFields.h>

#include <algorithm>
#include <charconv>

namespace peridothoist {

namespace {

using Json = nlohmann::json;
using detail::UnsignedField;

LoadReport
ReadReport(const Json& aDocument)
{
  LoadReport report;
  report.mFreePieces =
    static_cast<std::uint32_t>(UnsignedField(aDocument, "free_pieces"));
  report.mTotalPieces =
    static_cast<std::uint32_t>(UnsignedField(aDocument, "total_pieces"));
  report.mRunning =
    static_cast<std::uint32_t>(UnsignedField(aDocument, "running"));
  report.mQueued =
    static_cast<std::uint32_t>(UnsignedField(aDocument, "queued"));
  report.mMeasuredAgo =
    std::chrono::milliseconds(UnsignedField(aDocument, "measured_ms_ago"));
  return report;
}

/// Reads the prefix hash of a cache event, 16 hex digits.
std::optional<std::uint64_t>
ReadPrefix(const Json& aEvent)
{
  const auto it = aEvent.find("prefix");
  if (it == aEvent.end() || !it->is_string()) {
    return std::nullopt;
  }
  const std::string text = it->get<std::string>();
  std::uint64_t prefix = 0;
  const auto result =
    std::from_chars(text.data(), text.data() + text.size(), prefix, 16);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return prefix;
}

} // namespace

LoadPoller::LoadPoller(const Settings& aSettings,
                       Reactor* aReactor,
                       HttpClient* aClient,
                       LoadPollerListener* aListener)
  : mSettings(aSettings)
  , mReactor(aReactor)
  , mClient(aClient)
  , mListener(aListener)
{
  PollAll();
}

LoadPoller::~LoadPoller()
{
  mReactor->CancelTimer(mTimer);
}

void
LoadPoller::SetConfiguration(const Configuration& aConfiguration)
{
  for (auto it = mUpstreams.begin(); it != mUpstreams.end();) {
    const bool wasRemoved = aConfiguration.mUpstreams.count(it->first) == 0;
    it = wasRemoved ? mUpstreams.erase(it) : std::next(it);
  }
  for (const auto& it : aConfiguration.mUpstreams) {
    const auto pool = aConfiguration.mPools.find(it.second.mPool);
    if (pool == aConfiguration.mPools.end()) {
      continue;
    }
    PolledUpstream& upstream = mUpstreams[it.first];
    upstream.mAddress = it.second.mAddress;
    upstream.mRole = pool->second.mRole;
  }
}

void
LoadPoller::ProbeNow(const std::string& aName)
{
  const auto it = mUpstreams.find(aName);
  if (it == mUpstreams.end() || it->second.mIsDead) {
    return;
  }
  PolledUpstream& upstream = it->second;
  upstream.mFailures =
    std::max(upstream.mFailures, mSettings.mDeadAfterFailures - 1);
  if (!upstream.mIsRequestPending) {
    RequestLoad(aName, upstream);
  }
}

void
LoadPoller::PollAll()
{
  for (auto& it : mUpstreams) {
    if (!it.second.mIsRequestPending) {
      RequestLoad(it.first, it.second);
    }
  }
  mTimer = mReactor->Schedule(mSettings.mInterval, [this] { PollAll(); });
}

HttpCall
LoadPoller::MakeCall(const PolledUpstream& aUpstream,
                     const std::string& aPath) const
{
  HttpCall call;
  call.mUrl = "http://" + aUpstream.mAddress + aPath;
  call.mConnectTimeout = mSettings.mResponseTimeout;
  call.mTotalTimeout = mSettings.mResponseTimeout;
  return call;
}

void
LoadPoller::RequestLoad(const std::string& aName, PolledUpstream& aUpstream)
{
  aUpstream.mIsRequestPending = true;
  mClient->Fetch(
    MakeCall(aUpstream, "/v1/load"),
    [this, aName](const HttpCallResult& aResult, const std::string& aBody) {
      OnLoad(aName, aResult, aBody);
    });
  if (aUpstream.mRole == UpstreamRole::Prefill) {
    RequestCacheEvents(aName, aUpstream);
  }
}

void
LoadPoller::RequestCacheEvents(const std::string& aName,
                               const PolledUpstream& aUpstream)
{
  mClient->Fetch(
    MakeCall(aUpstream,
             "/v1/cache_events?after=" +
               std::to_string(aUpstream.mNextCacheEvent)),
    [this, aName](const HttpCallResult& aResult, const std::string& aBody) {
      if (aResult.mFailure == CallFailure::None && aResult.mStatus == 200) {
        OnCacheEvents(aName, aBody);
      }
    });
}

void
LoadPoller::OnLoad(const std::string& aName,
                   const HttpCallResult& aResult,
                   const std::string& aBody)
{
  const auto it = mUpstreams.find(aName);
  if (it == mUpstreams.end()) {
    return;
  }
  PolledUpstream& upstream = it->second;
  upstream.mIsRequestPending = false;
  if (aResult.mFailure != CallFailure::None) {
    OnFailure(aName, upstream, aResult);
    return;
  }
  upstream.mFailures = 0;
  if (upstream.mIsDead) {
    upstream.mIsDead = false;
    mListener->OnUpstreamAlive(aName);
  }
  const Json document = Json::parse(aBody, nullptr, false);
  if (aResult.mStatus == 200 && document.is_object()) {
    mListener->OnLoadReport(aName, ReadReport(document));
  }
}

void
LoadPoller::OnFailure(const std::string& aName,
                      PolledUpstream& aUpstream,
                      const HttpCallResult& aResult)
{
  ++aUpstream.mFailures;
  if (aUpstream.mIsDead || aUpstream.mFailures < mSettings.mDeadAfterFailures) {
    return;
  }
  aUpstream.mIsDead = true;
  // A refused or reset connection shows that the host is running. A timeout
  // does not tell whether the upstream or the network is down.
  const bool isHostReachable = aResult.mFailure == CallFailure::NotConnected ||
                               aResult.mFailure == CallFailure::Broken;
  mListener->OnUpstreamDead(
    aName, isHostReachable ? DeathKind::Crashed : DeathKind::Unreachable);
}

void
LoadPoller::OnCacheEvents(const std::string& aName, const std::string& aBody)
{
  const auto upstream = mUpstreams.find(aName);
  const Json document = Json::parse(aBody, nullptr, false);
  if (upstream == mUpstreams.end() || !document.is_object()) {
    return;
  }
  upstream->second.mNextCacheEvent = UnsignedField(document, "next");
  const auto events = document.find("events");
  if (events == document.end() || !events->is_array()) {
    return;
  }
  for (const Json& event : *events) {
    if (!event.is_object() || !event.contains("stored")) {
      continue;
    }
    const auto prefix = ReadPrefix(event);
    if (prefix && event["stored"].is_boolean()) {
      mListener->OnCacheEvent(aName, *prefix, event["stored"].get<bool>());
    }
  }
}

} // namespace peridothoist
