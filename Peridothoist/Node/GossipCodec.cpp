#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/GossipCodec.h>

#include <Peridothoist/Node/CborMessage.h>
#include <Peridothoist/Shell/FlagsFromEnvironment.h>

#include <algorithm>
#include <cmath>

namespace peridothoist {

namespace {

using detail::FromCbor;
using detail::ToCbor;
using nlohmann::json;

// Keys of a gossip message, short to reduce traffic.
constexpr const char* kVm = "v";
constexpr const char* kZone = "z";
constexpr const char* kRedirect = "d";
constexpr const char* kInstance = "i";
constexpr const char* kSequence = "n";
constexpr const char* kCallerAddress = "a";
constexpr const char* kPeerAddress = "p";
constexpr const char* kServing = "s";
constexpr const char* kLeaving = "l";
constexpr const char* kGranted = "g";
constexpr const char* kWork = "w";
constexpr const char* kWaiting = "q"; ///< Over all services.
constexpr const char* kWaitingByService = "b";
constexpr const char* kGone = "x";
constexpr const char* kFailing = "f";
constexpr const char* kCrashes = "c";
constexpr const char* kLimits = "m";
constexpr const char* kDemand = "h";
constexpr const char* kLeavingUpstreams = "y";
constexpr const char* kTunnelAddress = "t";
constexpr const char* kPoolWork = "pw";
constexpr const char* kPriorities = "wp"; ///< Waiting requests by priority.
constexpr const char* kCold = "cd";
constexpr const char* kSpeeds = "sp";
constexpr const char* kAnnouncesContents = "ca";

// Further keys of a summary.
constexpr const char* kCell = "e";
constexpr const char* kReachable = "r";
constexpr const char* kCallers = "o";

constexpr Duration kMaxAge = 24h; ///< Longer than any evidence is kept.
constexpr double kMaxRate = 1e9;  ///< Requests a second.

/// Factors of speeds are encoded as integers in percent.
constexpr double kFactorScale = 100;
constexpr std::uint32_t kMaxFactorPercent = 10000;
constexpr std::uint32_t kMaxSpeedSamples = 1000;

/// Call counts are encoded as integers in hundredths.
constexpr double kCountScale = 100;
constexpr const char* kKnownPeers = "k";

json
EncodeWork(const WorkByUpstream& aWork)
{
  json work = json::object();
  for (const auto& [id, it] : aWork) {
    work[id] = { it.mRequests, it.mTokens };
  }
  return work;
}

json
EncodeCrashes(const std::vector<CrashReport>& aCrashes)
{
  json crashes = json::array();
  for (const CrashReport& report : aCrashes) {
    json sightings = json::array();
    for (const ReportedSighting& it : report.mSightings) {
      sightings.push_back({ it.mCrash,
                            it.mWorkspace,
                            it.mAge.count(),
                            it.mRunTime.count(),
                            it.mIsExcused });
    }
    // Builds that know no sightings read the first four elements, and drop a
    // report without a lifetime.
    crashes.push_back({ report.mContent,
                        report.OpenCrashes(),
                        false,
                        0,
                        std::move(sightings) });
  }
  return crashes;
}

json
EncodeLimits(const LimitsByUpstream& aLimits)
{
  json limits = json::object();
  for (const auto& [id, it] : aLimits) {
    const json perSecond = it.mPerSecond ? json(*it.mPerSecond) : json();
    limits[id] = { perSecond, it.mAge.count() };
  }
  return limits;
}

json
EncodeCold(const ColdTimes& aTimes)
{
  json times = json::object();
  for (const auto& [id, it] : aTimes) {
    times[id] = it.count();
  }
  return times;
}

json
EncodeSpeeds(const SpeedsByUpstream& aSpeeds)
{
  json speeds = json::object();
  for (const auto& [id, it] : aSpeeds) {
    speeds[id] = { std::llround(it.mFactor * kFactorScale),
                   it.mSamples,
                   it.mProcess };
  }
  return speeds;
}

json
EncodeDemand(const DemandByService& aDemand)
{
  json demand = json::object();
  for (const auto& [service, perSecond] : aDemand) {
    demand[service] = std::llround(perSecond * kCountScale);
  }
  return demand;
}

json
EncodeFailing(const CountsByUpstream& aFailing)
{
  json failing = json::object();
  for (const auto& [id, it] : aFailing) {
    failing[id] = { std::llround(it.mFailed * kCountScale),
                    std::llround(it.mSucceeded * kCountScale) };
  }
  return failing;
}

CountsByUpstream
DecodeFailing(const json& aValue)
{
  CountsByUpstream failing;
  for (const auto& [id, counts] : aValue.items()) {
    failing[id] = { counts.at(0).get<std::uint32_t>() / kCountScale,
                    counts.at(1).get<std::uint32_t>() / kCountScale };
  }
  return failing;
}

ServingState
ServingStateOf(int aNumber)
{
  const bool known =
    aNumber >= 0 && aNumber <= static_cast<int>(ServingState::Everything);
  return known ? static_cast<ServingState>(aNumber) : ServingState::Nothing;
}

WorkByUpstream
DecodeWork(const json& aValue)
{
  WorkByUpstream all;
  for (const auto& [id, work] : aValue.items()) {
    all[id] = { work.at(0).get<std::uint32_t>(),
                work.at(1).get<std::uint64_t>() };
  }
  return all;
}

WaitingRequests
DecodeWaiting(const json& aValue)
{
  return { aValue.at(0).get<std::uint32_t>(),
           aValue.at(1).get<std::uint32_t>() };
}

json
EncodeWaitingByService(const WaitingByService& aWaiting)
{
  json services = json::object();
  for (const auto& [service, it] : aWaiting) {
    services[service] = { it.mInTime, it.mLate };
  }
  return services;
}

WaitingByService
DecodeWaitingByService(const json& aValue)
{
  WaitingByService waiting;
  for (const auto& [service, it] : aValue.items()) {
    waiting[service] = DecodeWaiting(it);
  }
  return waiting;
}

json
EncodePriorities(const PriorityWaitingByService& aWaiting)
{
  json services = json::object();
  for (const auto& [service, byPriority] : aWaiting) {
    json& rows = services[service] = json::array();
    for (const auto& [priority, it] : byPriority) {
      rows.push_back({ priority, it.mInTime, it.mLate });
    }
  }
  return services;
}

json
EncodePoolWork(const WorkByPool& aWork)
{
  json rows = json::array();
  for (const auto& [pool, work] : aWork) {
    rows.push_back(
      { pool.mService, pool.mStage, pool.mZone, work.mRequests, work.mTokens });
  }
  return rows;
}

/// Builds that know no pools send none.
WorkByPool
DecodePoolWork(const json& aBody)
{
  WorkByPool pools;
  if (aBody.contains(kPoolWork)) {
    for (const json& it : aBody.at(kPoolWork)) {
      const UpstreamPool pool{ it.at(0).get<std::string>(),
                               it.at(1).get<int>(),
                               it.at(2).get<std::string>() };
      pools[pool] +=
        { it.at(3).get<std::uint32_t>(), it.at(4).get<std::uint64_t>() };
    }
  }
  return pools;
}

/// Builds that do not tell priorities send none.
PriorityWaitingByService
DecodePriorities(const json& aBody)
{
  PriorityWaitingByService waiting;
  if (aBody.contains(kPriorities)) {
    for (const auto& [service, rows] : aBody.at(kPriorities).items()) {
      WaitingByPriority& byPriority = waiting[service];
      for (const json& it : rows) {
        byPriority[it.at(0).get<std::uint32_t>()] = {
          it.at(1).get<std::uint32_t>(), it.at(2).get<std::uint32_t>()
        };
      }
    }
  }
  return waiting;
}

/// Decodes a time that has passed; later ones count as the maximum.
Duration
DecodeAge(const json& aValue)
{
  const Duration age(aValue.get<std::int64_t>());
  return std::clamp(age, Duration(0), kMaxAge);
}

std::vector<CrashReport>
DecodeCrashes(const json& aValue)
{
  std::vector<CrashReport> crashes;
  for (const json& report : aValue) {
    if (report.size() < 5) {
      continue; // Of a build that knows no sightings.
    }
    CrashReport decoded{ report.at(0).get<std::string>(), {} };
    for (const json& it : report.at(4)) {
      decoded.mSightings.push_back({ it.at(0).get<std::uint64_t>(),
                                     it.at(1).get<std::uint64_t>(),
                                     DecodeAge(it.at(2)),
                                     DecodeAge(it.at(3)),
                                     it.at(4).get<bool>() });
    }
    crashes.push_back(std::move(decoded));
  }
  return crashes;
}

/// Builds that know no limits send none.
LimitsByUpstream
DecodeLimits(const json& aBody)
{
  LimitsByUpstream limits;
  if (!aBody.contains(kLimits)) {
    return limits;
  }
  for (const auto& [id, it] : aBody.at(kLimits).items()) {
    ReportedLimit limit;
    if (!it.at(0).is_null()) {
      limit.mPerSecond = std::clamp(it.at(0).get<double>(), 0.0, kMaxRate);
    }
    limit.mAge = DecodeAge(it.at(1));
    limits[id] = limit;
  }
  return limits;
}

/// Builds that know no cold upstreams send none.
ColdTimes
DecodeCold(const json& aBody)
{
  ColdTimes times;
  if (aBody.contains(kCold)) {
    for (const auto& [id, it] : aBody.at(kCold).items()) {
      times[id] = DecodeAge(it);
    }
  }
  return times;
}

/// Builds that learn no speeds send none.
SpeedsByUpstream
DecodeSpeeds(const json& aBody)
{
  SpeedsByUpstream speeds;
  if (aBody.contains(kSpeeds)) {
    for (const auto& [id, it] : aBody.at(kSpeeds).items()) {
      const std::uint32_t percent =
        std::min(it.at(0).get<std::uint32_t>(), kMaxFactorPercent);
      speeds[id] = { percent / kFactorScale,
                     std::min(it.at(1).get<std::uint32_t>(), kMaxSpeedSamples),
                     it.at(2).get<std::uint32_t>() };
    }
  }
  return speeds;
}

json
EncodeProcesses(const std::vector<UpstreamProcess>& aProcesses)
{
  json processes = json::array();
  for (const UpstreamProcess& it : aProcesses) {
    processes.push_back({ it.mUpstream, it.mIncarnationId });
  }
  return processes;
}

/// Builds that read no such statements send none.
std::vector<UpstreamProcess>
DecodeLeaving(const json& aBody)
{
  std::vector<UpstreamProcess> processes;
  if (aBody.contains(kLeavingUpstreams)) {
    for (const json& it : aBody.at(kLeavingUpstreams)) {
      processes.push_back(
        { it.at(0).get<std::string>(), it.at(1).get<std::uint64_t>() });
    }
  }
  return processes;
}

DemandByService
DecodeDemand(const json& aBody)
{
  DemandByService demand;
  if (aBody.contains(kDemand)) {
    for (const auto& [service, it] : aBody.at(kDemand).items()) {
      demand[service] = it.get<std::uint32_t>() / kCountScale;
    }
  }
  return demand;
}

/// Returns the address of a VM's tunnels; "" if it is none.
std::string
DecodeTunnel(const std::string& aAddress)
{
  return ParseSocketAddress(aAddress) ? aAddress : std::string();
}

GossipMessage
DecodeMessage(const json& aValue)
{
  GossipMessage message;
  message.mVm = aValue.at(kVm).get<std::string>();
  message.mZone = aValue.value(kZone, "");
  message.mInstance = aValue.at(kInstance).get<std::string>();
  message.mSequence = aValue.at(kSequence).get<std::uint64_t>();
  message.mCallerAddress = aValue.at(kCallerAddress).get<std::string>();
  message.mPeerAddress = aValue.at(kPeerAddress).get<std::string>();
  message.mServing = ServingStateOf(aValue.at(kServing).get<int>());
  message.mIsLeaving = aValue.at(kLeaving).get<bool>();
  message.mGranted = aValue.at(kGranted).get<GrantedTokens>();
  message.mWork = DecodeWork(aValue.at(kWork));
  if (aValue.contains(kWaitingByService)) {
    message.mWaiting = DecodeWaitingByService(aValue.at(kWaitingByService));
  } else {
    message.mWaiting[""] = DecodeWaiting(aValue.at(kWaiting));
  }
  message.mPriorities = DecodePriorities(aValue);
  message.mGoneUpstreams = aValue.at(kGone).get<std::vector<std::string>>();
  message.mFailingUpstreams = DecodeFailing(aValue.at(kFailing));
  message.mCrashReports = DecodeCrashes(aValue.at(kCrashes));
  message.mTunnelAddress = DecodeTunnel(aValue.value(kTunnelAddress, ""));
  message.mLeavingUpstreams = DecodeLeaving(aValue);
  message.mLimits = DecodeLimits(aValue);
  message.mCold = DecodeCold(aValue);
  message.mSpeeds = DecodeSpeeds(aValue);
  message.mAnnouncesContents = aValue.value(kAnnouncesContents, false);
  message.mDemand = DecodeDemand(aValue);
  message.mPeers = aValue.at(kKnownPeers).get<std::vector<std::string>>();
  message.mIsRedirect = aValue.value(kRedirect, false);
  return message;
}

json
EncodeCallers(const std::vector<CallerAddress>& aCallers)
{
  json callers = json::array();
  for (const CallerAddress& it : aCallers) {
    callers.push_back({ it.mZone,
                        it.mAddress,
                        static_cast<int>(it.mServing),
                        it.mTunnelAddress });
  }
  return callers;
}

std::vector<CallerAddress>
DecodeCallers(const json& aValue)
{
  std::vector<CallerAddress> callers;
  for (const json& it : aValue) {
    callers.push_back({ it.at(0).get<std::string>(),
                        it.at(1).get<std::string>(),
                        ServingStateOf(it.at(2).get<int>()),
                        it.size() > 3 // Older builds don't send it.
                          ? DecodeTunnel(it.at(3).get<std::string>())
                          : std::string() });
  }
  return callers;
}

/// A summary is an array of kSummaryTag and an object.
constexpr const char* kSummaryTag = "sum";

/// Checks the tag of an array. Throws the library's exception on a mismatch.
void
CheckTag(const json& aValue, const char* aTag)
{
  if (aValue.at(0).get<std::string>() != aTag) {
    throw json::type_error::create(0, "message tag mismatch", nullptr);
  }
}

GossipSummary
DecodeSummary(const json& aValue)
{
  CheckTag(aValue, kSummaryTag);
  const json& body = aValue.at(1);
  GossipSummary summary;
  summary.mVm = body.at(kVm).get<std::string>();
  summary.mInstance = body.at(kInstance).get<std::string>();
  summary.mSequence = body.at(kSequence).get<std::uint64_t>();
  summary.mPeerAddress = body.at(kPeerAddress).get<std::string>();
  if (body.contains(kCell)) {
    const json& cell = body.at(kCell);
    summary.mCell =
      CellId{ cell.at(0).get<std::string>(), cell.at(1).get<std::uint32_t>() };
  }
  summary.mReachableVms = body.at(kReachable).get<std::uint32_t>();
  summary.mGranted = body.at(kGranted).get<GrantedTokens>();
  summary.mWaiting = DecodeWaitingByService(body.at(kWaitingByService));
  summary.mPriorities = DecodePriorities(body);
  summary.mPoolWork = DecodePoolWork(body);
  summary.mWork = DecodeWork(body.at(kWork));
  summary.mGoneUpstreams = body.at(kGone).get<std::vector<std::string>>();
  summary.mFailingUpstreams = DecodeFailing(body.at(kFailing));
  summary.mCrashReports = DecodeCrashes(body.at(kCrashes));
  summary.mLeavingUpstreams = DecodeLeaving(body);
  summary.mLimits = DecodeLimits(body);
  summary.mCold = DecodeCold(body);
  summary.mSpeeds = DecodeSpeeds(body);
  summary.mAnnounceContents = body.value(kAnnouncesContents, false);
  summary.mCallers = DecodeCallers(body.at(kCallers));
  return summary;
}

// View queries and responses are arrays that begin with one of these tags.
constexpr const char* kViewQueryTag = "ask";
constexpr const char* kViewResponseTag = "tell";

ViewQuery
ParseViewQuery(const json& aValue)
{
  CheckTag(aValue, kViewQueryTag);
  return { aValue.at(1).get<std::uint64_t>(), aValue.at(2).get<std::string>() };
}

ViewResponse
ParseViewResponse(const json& aValue)
{
  CheckTag(aValue, kViewResponseTag);
  ViewResponse response;
  response.mStamp = aValue.at(1).get<std::uint64_t>();
  response.mVersion = aValue.at(2).get<std::uint64_t>();
  response.mConfigurationAge = Duration(aValue.at(3).get<std::int64_t>());
  response.mListDigest = aValue.at(4).get<std::uint64_t>();
  response.mListAge = Duration(aValue.at(5).get<std::int64_t>());
  // Builds that send no views end the message here.
  if (aValue.size() > 7) {
    response.mVmDigest = aValue.at(6).get<std::uint64_t>();
    response.mViewAddress = aValue.at(7).get<std::string>();
  }
  if (aValue.size() > 8) { // Older builds know no evacuated zones.
    response.mEvacuationDigest = aValue.at(8).get<std::uint64_t>();
  }
  if (aValue.size() > 9) { // Older builds know no eras of the store.
    response.mStoreEra = aValue.at(9).get<std::uint64_t>();
  }
  return response;
}

} // namespace

std::string
EncodeGossipMessage(const GossipMessage& aMessage)
{
  WaitingRequests waiting;
  for (const auto& [service, it] : aMessage.mWaiting) {
    waiting += it;
  }
  json body = { { kVm, aMessage.mVm },
                { kZone, aMessage.mZone },
                { kInstance, aMessage.mInstance },
                { kSequence, aMessage.mSequence },
                { kCallerAddress, aMessage.mCallerAddress },
                { kPeerAddress, aMessage.mPeerAddress },
                { kServing, static_cast<int>(aMessage.mServing) },
                { kLeaving, aMessage.mIsLeaving },
                { kRedirect, aMessage.mIsRedirect },
                { kGranted, aMessage.mGranted },
                { kWork, EncodeWork(aMessage.mWork) },
                { kWaiting, { waiting.mInTime, waiting.mLate } },
                { kWaitingByService,
                  EncodeWaitingByService(aMessage.mWaiting) },
                { kGone, aMessage.mGoneUpstreams },
                { kFailing, EncodeFailing(aMessage.mFailingUpstreams) },
                { kCrashes, EncodeCrashes(aMessage.mCrashReports) },
                { kKnownPeers, aMessage.mPeers } };
  if (aMessage.mAnnouncesContents) {
    body[kAnnouncesContents] = true;
  }
  if (!aMessage.mPriorities.empty()) {
    body[kPriorities] = EncodePriorities(aMessage.mPriorities);
  }
  if (!aMessage.mTunnelAddress.empty()) {
    body[kTunnelAddress] = aMessage.mTunnelAddress;
  }
  if (!aMessage.mLeavingUpstreams.empty()) {
    body[kLeavingUpstreams] = EncodeProcesses(aMessage.mLeavingUpstreams);
  }
  if (!aMessage.mLimits.empty()) {
    body[kLimits] = EncodeLimits(aMessage.mLimits);
  }
  if (!aMessage.mCold.empty()) {
    body[kCold] = EncodeCold(aMessage.mCold);
  }
  if (!aMessage.mSpeeds.empty()) {
    body[kSpeeds] = EncodeSpeeds(aMessage.mSpeeds);
  }
  if (!aMessage.mDemand.empty()) {
    body[kDemand] = EncodeDemand(aMessage.mDemand);
  }
  return ToCbor(body);
}

std::optional<GossipMessage>
DecodeGossipMessage(std::string_view aBytes)
{
  return FromCbor(aBytes, &DecodeMessage);
}

std::string
EncodeGossipSummary(const GossipSummary& aSummary)
{
  json body = { { kVm, aSummary.mVm },
                { kInstance, aSummary.mInstance },
                { kSequence, aSummary.mSequence },
                { kPeerAddress, aSummary.mPeerAddress },
                { kReachable, aSummary.mReachableVms },
                { kGranted, aSummary.mGranted },
                { kWaitingByService,
                  EncodeWaitingByService(aSummary.mWaiting) },
                { kWork, EncodeWork(aSummary.mWork) },
                { kGone, aSummary.mGoneUpstreams },
                { kFailing, EncodeFailing(aSummary.mFailingUpstreams) },
                { kCrashes, EncodeCrashes(aSummary.mCrashReports) },
                { kCallers, EncodeCallers(aSummary.mCallers) } };
  if (!aSummary.mPoolWork.empty()) {
    body[kPoolWork] = EncodePoolWork(aSummary.mPoolWork);
  }
  if (aSummary.mAnnounceContents) {
    body[kAnnouncesContents] = true;
  }
  if (!aSummary.mPriorities.empty()) {
    body[kPriorities] = EncodePriorities(aSummary.mPriorities);
  }
  if (!aSummary.mLeavingUpstreams.empty()) {
    body[kLeavingUpstreams] = EncodeProcesses(aSummary.mLeavingUpstreams);
  }
  if (!aSummary.mLimits.empty()) {
    body[kLimits] = EncodeLimits(aSummary.mLimits);
  }
  if (!aSummary.mCold.empty()) {
    body[kCold] = EncodeCold(aSummary.mCold);
  }
  if (!aSummary.mSpeeds.empty()) {
    body[kSpeeds] = EncodeSpeeds(aSummary.mSpeeds);
  }
  if (aSummary.mCell) {
    body[kCell] = { aSummary.mCell->mZone, aSummary.mCell->mNumber };
  }
  return ToCbor(json::array({ kSummaryTag, std::move(body) }));
}

std::optional<GossipSummary>
DecodeGossipSummary(std::string_view aBytes)
{
  return FromCbor(aBytes, &DecodeSummary);
}

std::string
EncodeViewQuery(const ViewQuery& aQuery)
{
  return ToCbor(
    json::array({ kViewQueryTag, aQuery.mStamp, aQuery.mReplyAddress }));
}

std::optional<ViewQuery>
DecodeViewQuery(std::string_view aBytes)
{
  return FromCbor(aBytes, &ParseViewQuery);
}

std::string
EncodeViewResponse(const ViewResponse& aResponse)
{
  return ToCbor(json::array({ kViewResponseTag,
                              aResponse.mStamp,
                              aResponse.mVersion,
                              aResponse.mConfigurationAge.count(),
                              aResponse.mListDigest,
                              aResponse.mListAge.count(),
                              aResponse.mVmDigest,
                              aResponse.mViewAddress,
                              aResponse.mEvacuationDigest,
                              aResponse.mStoreEra }));
}

std::optional<ViewResponse>
DecodeViewResponse(std::string_view aBytes)
{
  return FromCbor(aBytes, &ParseViewResponse);
}

} // namespace peridothoist
