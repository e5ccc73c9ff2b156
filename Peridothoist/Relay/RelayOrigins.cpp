/// The part of RelayStateMachine that keeps each stream at the software version
/// that began it, also when a caller resumes it with a new attempt.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/ContentKey.h>
#include <Peridothoist/Relay/RelayStateMachine.h>

namespace peridothoist {

/// Returns whether the upstream may generate events of the request's stream.
bool
RelayStateMachine::FitsOrigin(const State& aState,
                              const RelayUpstream& aUpstream) const
{
  if (!aState.mOrigin) {
    return !BeginsResumableStream(aState) || aUpstream.mMayBeginStreams;
  }
  return (aState.mOrigin->mService == aUpstream.mService &&
          aState.mOrigin->mSoftwareVersion == aUpstream.mSoftwareVersion);
}

/// Returns whether the request is a stream that can be resumed and has not
/// begun.
bool
RelayStateMachine::BeginsResumableStream(const State& aState)
{
  const RelayRoute& route = *aState.mRequest.mRoute;
  return route.mKind == RouteKind::Stream && route.mIsResumable &&
         !aState.mOrigin;
}

/// Returns whether the list still states the software version that the upstream
/// of a stream's call had when the call started.
bool
RelayStateMachine::HasCallVersion(const Call& aCall) const
{
  if (aCall.mKind != RelayCallKind::Stream) {
    return true;
  }
  const RelayUpstream* upstream = mUpstreamList.Find(aCall.mUpstream);
  return upstream != nullptr &&
         upstream->mSoftwareVersion == aCall.mSoftwareVersion;
}

/// Returns the software version to which the request is bound; nullopt: none.
std::optional<std::string>
RelayStateMachine::VersionOf(const State& aState)
{
  return aState.mOrigin
           ? std::optional<std::string>(aState.mOrigin->mSoftwareVersion)
           : std::nullopt;
}

/// Called before the first event of a stream goes to the caller. Binds the
/// stream to the software version that generated it.
void
RelayStateMachine::PinOrigin(State& aState, const Call& aCall)
{
  const AdmittedRequest& request = aState.mRequest;
  if (aState.mOrigin || request.mIsResumed || !request.mRoute->mIsResumable) {
    return;
  }
  aState.mOrigin = StreamOrigin{ request.mService, aCall.mSoftwareVersion };
  mOrigins.Add(request.mOriginKey, *aState.mOrigin, mNow);
  ++mCounters.mOriginsAnnounced;
  AnnounceOrigin(aState, request.mContentKey);
  AnnounceOrigin(aState, request.mOriginKey);
}

/// Tells other VMs the request's origin under a key, unless that is empty.
void
RelayStateMachine::AnnounceOrigin(const State& aState, const std::string& aKey)
{
  if (aKey.empty()) {
    return;
  }
  RelayCommand& command = Command(RelayCommandKind::AnnounceOrigin, aState);
  command.mOriginKey = aKey;
  command.mOrigin = aState.mOrigin;
}

/// Returns the key under which the origin of a resumed stream is looked up:
/// that of the attempt which the caller names, else that of the content.
const std::string&
RelayStateMachine::LookupKeyOf(const State& aState)
{
  const AdmittedRequest& request = aState.mRequest;
  return request.mOriginKey.empty() ? request.mContentKey : request.mOriginKey;
}

/// Places a stream that the caller resumes, once its origin is known. Streams
/// of which the attempt is not named need no lookup while a single version
/// serves.
void
RelayStateMachine::PlaceResumed(State& aState)
{
  const std::string& key = LookupKeyOf(aState);
  const StreamOrigin* origin = mOrigins.Find(key, mNow);
  if (origin != nullptr) {
    ContinueAt(aState, *origin);
    return;
  }
  const bool isNamed = !aState.mRequest.mOriginKey.empty();
  if (key.empty() || (!isNamed && SoleOriginOf(aState))) {
    ContinueAtSoleVersion(aState);
    return;
  }
  const std::uint64_t id = aState.mRequest.mId;
  aState.mAwaitsOrigin = true;
  mAwaitingOrigin[key].insert(id);
  mTimers.Add(mNow + mSettings.mOriginLookupTimeout,
              { TimerKind::Dispatch, id, 0 });
  ++mCounters.mOriginsLookedUp;
  Command(RelayCommandKind::FindOrigin, aState).mOriginKey = key;
}

void
RelayStateMachine::OnOriginFound(const std::string& aKey,
                                 std::optional<StreamOrigin> aOrigin,
                                 TimePoint aNow,
                                 RelayCommands& aOut)
{
  mNow = aNow;
  mOut = &aOut;
  if (aOrigin && !IsContentKey(aKey)) {
    // Other VMs may learn another origin of a content at any time.
    mOrigins.Add(aKey, *aOrigin, aNow);
  }
  const auto waiting = mAwaitingOrigin.find(aKey);
  if (waiting == mAwaitingOrigin.end()) {
    return;
  }
  const std::set<std::uint64_t> ids = waiting->second;
  for (const std::uint64_t id : ids) {
    State* state = Find(id);
    if (state == nullptr) {
      continue;
    }
    StopAwaitingOrigin(*state);
    if (aOrigin) {
      ++mCounters.mOriginsFound;
      ContinueAt(*state, *aOrigin);
    } else {
      ContinueAtSoleVersion(*state);
    }
  }
  DispatchWaiting();
}

void
RelayStateMachine::StopAwaitingOrigin(State& aState)
{
  if (!std::exchange(aState.mAwaitsOrigin, false)) {
    return;
  }
  const auto it = mAwaitingOrigin.find(LookupKeyOf(aState));
  it->second.erase(aState.mRequest.mId);
  if (it->second.empty()) {
    mAwaitingOrigin.erase(it);
  }
}

/// Handles the end of a wait, for the origin of a stream or for capacity.
void
RelayStateMachine::OnWaitTimer(State& aState)
{
  if (aState.mAwaitsOrigin) {
    StopAwaitingOrigin(aState);
    ContinueAtSoleVersion(aState);
    return;
  }
  // The timer of a lookup that has ended must not place a request out of turn.
  const bool hasWaited = aState.mWaitDeadline && mNow >= *aState.mWaitDeadline;
  if (!aState.mCall && hasWaited) {
    PlaceRequest(aState);
  }
}

void
RelayStateMachine::ContinueAt(State& aState, const StreamOrigin& aOrigin)
{
  if (!aState.mRequest.mRoute->LeadsTo(aOrigin.mService)) {
    RefuseUnknownOrigin(aState);
    return;
  }
  aState.mOrigin = aOrigin;
  aState.mRequest.mService = aOrigin.mService;
  // The next attempt may come when what the first one announced is forgotten.
  AnnounceOrigin(aState, aState.mRequest.mContentKey);
  PlaceRequest(aState);
}

/// Returns the only origin that a stream can have: its route leads to one
/// service, of which no other version was listed until this attempt arrived.
/// nullopt: it may have begun at several, perhaps at one that was listed while
/// this VM was cut off or paused.
std::optional<StreamOrigin>
RelayStateMachine::SoleOriginOf(const State& aState) const
{
  const AdmittedRequest& request = aState.mRequest;
  if (request.mRoute->mTargets.size() != 1) {
    return std::nullopt;
  }
  auto version =
    mUpstreamList.SoleVersion(request.mService,
                              request.mArrivedAt - mSettings.mSoleVersionPeriod,
                              request.mArrivedAt);
  const ServiceVersions* record = mVersions.Find(request.mService);
  const bool isContradicted =
    version && record != nullptr && record->mListed.size() > 1;
  if (!version || isContradicted) {
    version = RecordedSoleVersion(request);
  }
  if (!version) {
    return std::nullopt;
  }
  return StreamOrigin{ request.mService, *version };
}

/// Returns the only version of the request's service by the record, if that was
/// read since the request arrived and this VM lists no other version.
std::optional<std::string>
RelayStateMachine::RecordedSoleVersion(const AdmittedRequest& aRequest) const
{
  const auto version = mVersions.SoleVersion(aRequest.mService,
                                             mSettings.mSoleVersionPeriod +
                                               mSettings.mVersionRecordMargin,
                                             aRequest.mArrivedAt);
  if (!version || !mUpstreamList.IsCurrent(mNow)) {
    return std::nullopt;
  }
  const ListedVersions listed = mUpstreamList.Versions();
  const auto own = listed.find(aRequest.mService);
  const bool isAlone =
    own == listed.end() || own->second == std::set<std::string>{ *version };
  return isAlone ? version : std::nullopt;
}

void
RelayStateMachine::OnVersionsRead(VersionsByService aRecords,
                                  std::optional<std::uint64_t> aNowMs,
                                  TimePoint aStartedAt,
                                  TimePoint aNow,
                                  RelayCommands& aOut)
{
  mVersions.OnRead(std::move(aRecords), aNowMs, aStartedAt);
  OnBeginnersChanged(mVersions.Listed(), aNow, aOut);
  ContinueProven();
}

/// Continues the streams that wait for their origin if a single version can
/// have begun them. VMs that are gone don't respond, and would be waited for.
void
RelayStateMachine::ContinueProven()
{
  std::vector<std::uint64_t> ids;
  for (const auto& [key, waiting] : mAwaitingOrigin) {
    ids.insert(ids.end(), waiting.begin(), waiting.end());
  }
  for (const std::uint64_t id : ids) {
    State* state = Find(id);
    const auto origin = state == nullptr ? std::nullopt : SoleOriginOf(*state);
    if (origin) {
      StopAwaitingOrigin(*state);
      ContinueAt(*state, *origin);
    }
  }
}

void
RelayStateMachine::OnBeginnersChanged(std::optional<ListedVersions> aVersions,
                                      TimePoint aNow,
                                      RelayCommands& aOut)
{
  mNow = aNow;
  mOut = &aOut;
  mUpstreamList.SetRecordedVersions(std::move(aVersions));
  DispatchWaiting();
}

/// Continues a stream of unknown origin if it can only have begun at one
/// version.
void
RelayStateMachine::ContinueAtSoleVersion(State& aState)
{
  const auto origin = SoleOriginOf(aState);
  if (!origin) {
    RefuseUnknownOrigin(aState);
    return;
  }
  ContinueAt(aState, *origin);
}

void
RelayStateMachine::RefuseUnknownOrigin(State& aState)
{
  ++mCounters.mOriginsUnknown;
  Refuse(aState, RefusalKind::OriginUnknown);
}

} // namespace peridothoist
