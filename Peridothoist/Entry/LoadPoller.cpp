#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/LoadPoller.h>

#include <Peridothoist/Entry/JsonFields.h>

#include <algorithm>
#include <charconv>

namespace peridothoist {

namespace {

using Json = nlohmann::json;
using detail::UnsignedOf;

LoadReport
ReadReport(const Json& aDocument)
{
  LoadReport report;
  report.mFreePieces =
    static_cast<std::uint32_t>(UnsignedOf(aDocument, "free_pieces"));
  report.mTotalPieces =
    static_cast<std::uint32_t>(UnsignedOf(aDocument, "total_pieces"));
  report.mRunning =
    static_cast<std::uint32_t>(UnsignedOf(aDocument, "running"));
  report.mQueued = static_cast<std::uint32_t>(UnsignedOf(aDocument, "queued"));
  report.mMeasuredAgo =
    std::chrono::milliseconds(UnsignedOf(aDocument, "measured_ms_ago"));
  return report;
}

/// Reads a cache event's prefix, 16 hex digits.
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
  for (auto it = mPolled.begin(); it != mPolled.end();) {
    const bool gone = aConfiguration.mUpstreams.count(it->first) == 0;
    it = gone ? mPolled.erase(it) : std::next(it);
  }
  for (const auto& it : aConfiguration.mUpstreams) {
    const auto pool = aConfiguration.mPools.find(it.second.mPool);
    if (pool == aConfiguration.mPools.end()) {
      continue;
    }
    Polled& polled = mPolled[it.first];
    polled.mAddress = it.second.mAddress;
    polled.mRole = pool->second.mRole;
  }
}

void
LoadPoller::CheckNow(const std::string& aUpstream)
{
  const auto it = mPolled.find(aUpstream);
  if (it == mPolled.end() || it->second.mDead) {
    return;
  }
  Polled& polled = it->second;
  polled.mFailures = std::max(polled.mFailures, mSettings.mDeadAfter - 1);
  if (!polled.mAsking) {
    Ask(aUpstream, polled);
  }
}

void
LoadPoller::PollAll()
{
  for (auto& it : mPolled) {
    if (!it.second.mAsking) {
      Ask(it.first, it.second);
    }
  }
  mTimer = mReactor->Schedule(mSettings.mInterval, [this] { PollAll(); });
}

HttpCall
LoadPoller::MakeCall(const Polled& aPolled, const std::string& aPath) const
{
  HttpCall call;
  call.mUrl = "http://" + aPolled.mAddress + aPath;
  call.mConnectTimeout = mSettings.mAnswerTimeout;
  call.mTotalTimeout = mSettings.mAnswerTimeout;
  return call;
}

void
LoadPoller::Ask(const std::string& aName, Polled& aPolled)
{
  aPolled.mAsking = true;
  mClient->Fetch(
    MakeCall(aPolled, "/v1/load"),
    [this, aName](const HttpCallOutcome& aOutcome, const std::string& aBody) {
      OnLoad(aName, aOutcome, aBody);
    });
  if (aPolled.mRole == UpstreamRole::Prefill) {
    AskCacheEvents(aName, aPolled);
  }
}

void
LoadPoller::AskCacheEvents(const std::string& aName, const Polled& aPolled)
{
  mClient->Fetch(
    MakeCall(aPolled,
             "/v1/cache_events?after=" + std::to_string(aPolled.mCacheAfter)),
    [this, aName](const HttpCallOutcome& aOutcome, const std::string& aBody) {
      if (aOutcome.mFailure == CallFailure::None && aOutcome.mStatus == 200) {
        OnCacheEvents(aName, aBody);
      }
    });
}

void
LoadPoller::OnLoad(const std::string& aName,
                   const HttpCallOutcome& aOutcome,
                   const std::string& aBody)
{
  const auto it = mPolled.find(aName);
  if (it == mPolled.end()) {
    return;
  }
  Polled& polled = it->second;
  polled.mAsking = false;
  if (aOutcome.mFailure != CallFailure::None) {
    OnFailure(aName, polled, aOutcome);
    return;
  }
  polled.mFailures = 0;
  if (polled.mDead) {
    polled.mDead = false;
    mListener->OnUpstreamAlive(aName);
  }
  const Json document = Json::parse(aBody, nullptr, false);
  if (aOutcome.mStatus == 200 && document.is_object()) {
    mListener->OnLoadReport(aName, ReadReport(document));
  }
}

void
LoadPoller::OnFailure(const std::string& aName,
                      Polled& aPolled,
                      const HttpCallOutcome& aOutcome)
{
  ++aPolled.mFailures;
  if (aPolled.mDead || aPolled.mFailures < mSettings.mDeadAfter) {
    return;
  }
  aPolled.mDead = true;
  // A refused or reset connection comes from a host that runs; silence
  // doesn't tell whether the upstream or the network is gone.
  const bool hostAnswers = aOutcome.mFailure == CallFailure::NotConnected ||
                           aOutcome.mFailure == CallFailure::Broken;
  mListener->OnUpstreamDead(
    aName, hostAnswers ? DeathKind::Crashed : DeathKind::Unreachable);
}

void
LoadPoller::OnCacheEvents(const std::string& aName, const std::string& aBody)
{
  const auto polled = mPolled.find(aName);
  const Json document = Json::parse(aBody, nullptr, false);
  if (polled == mPolled.end() || !document.is_object()) {
    return;
  }
  polled->second.mCacheAfter = UnsignedOf(document, "next");
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
