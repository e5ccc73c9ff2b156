#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/ContentOriginExchange.h>

#include <Peridothoist/Core/DurationUnits.h>
#include <Peridothoist/Core/RequestDigest.h>
#include <Peridothoist/Shell/FlagsFromEnvironment.h>
#include <Peridothoist/Shell/Log.h>

#include <algorithm>

namespace peridothoist {

namespace {

/// Returns a name as messages carry it. One that is too long is replaced by its
/// digest: it fits no upstream, but keeps the content from having another
/// origin alone.
std::string
WithinBound(const std::string& aName)
{
  return aName.size() <= kMaxOriginNameBytes ? aName
                                             : DigestRequest(aName, "", "");
}

} // namespace

// Query ids start at the time, so that responses to queries of a former process
// at this address match none of this one.
ContentOriginExchange::ContentOriginExchange(const Settings& aSettings,
                                             const VmRecord& aSelf,
                                             Reactor* aReactor,
                                             PeerSender* aSender,
                                             StreamOriginListener* aListener)
  : mSettings(aSettings)
  , mOwnAddress(aSelf.mPeerAddress)
  , mReactor(aReactor)
  , mSender(aSender)
  , mListener(aListener)
  , mReplicas(aSettings.mReplicas, aSelf.mName)
  , mTable(aSettings.mTable, Reactor::ReadClock())
  , mLastQueryId(static_cast<std::uint64_t>(
      Reactor::ReadClock().time_since_epoch().count()))
  , mCatchUp(aSettings.mCatchUp,
             OriginKind::Content,
             aSelf,
             aReactor,
             aSender,
             this)
{
}

ContentOriginExchange::~ContentOriginExchange()
{
  for (const auto& [key, lookup] : mLookups) {
    mReactor->CancelTimer(lookup.mTimer);
  }
}

void
ContentOriginExchange::SetVms(const VmRecords& aVms)
{
  if (aVms == mVms) {
    return;
  }
  const bool isAnyGone =
    std::any_of(mVms.begin(), mVms.end(), [&](const auto& aEntry) {
      return aVms.count(aEntry.first) == 0;
    });
  if (isAnyGone) {
    // This VM may replace one that is gone, after which VMs that are gone too
    // can't announce again what that one kept.
    mTable.OnMissed(mReactor->Now());
  }
  mVms = aVms;
  mReplicas.SetVms(aVms);
  mCatchUp.SetVms(aVms);
  RemoveOldAnnouncements();
  for (Announcement& it : mAnnouncements) {
    SendToReplicas(it);
  }
}

void
ContentOriginExchange::Announce(const std::string& aKey,
                                const StreamOrigin& aOrigin)
{
  const StreamOrigin origin{ WithinBound(aOrigin.mService),
                             WithinBound(aOrigin.mSoftwareVersion) };
  if (!FitsOriginMessage(aKey, origin)) {
    Log::Warning("content_key_too_long").Field("key_bytes", aKey.size());
    return; // The content is unknown everywhere.
  }
  ++mCounts.mAnnounced;
  mTable.Add(aKey, origin, mReactor->Now());
  RemoveOldAnnouncements();
  mAnnouncements.push_back({ mReactor->Now(), { aKey, origin }, {} });
  SendToReplicas(mAnnouncements.back());
}

/// Sends an origin to the VMs that are to keep it and have not been sent it.
void
ContentOriginExchange::SendToReplicas(Announcement& aAnnouncement)
{
  const KeyedStreamOrigin& origin = aAnnouncement.mOrigin;
  for (const std::string& address : mReplicas.PeerAddressesOf(origin.mKey)) {
    if (aAnnouncement.mSentTo.insert(address).second) {
      ++mCounts.mNoticesSent;
      mSender->Send(address, EncodeContentOriginNotice(origin));
    }
  }
}

void
ContentOriginExchange::SendKeptTo(const VmRecord& aVm)
{
  const TimePoint now = mReactor->Now();
  for (const std::string& key :
       mTable.KeysSince(now - mSettings.mReannouncePeriod)) {
    if (!mReplicas.IsReplica(key, aVm)) {
      continue;
    }
    for (const StreamOrigin& it : mTable.Find(key, now).mOrigins) {
      ++mCounts.mNoticesSent;
      mSender->Send(aVm.mPeerAddress, EncodeContentOriginNotice({ key, it }));
    }
  }
}

void
ContentOriginExchange::RemoveOldAnnouncements()
{
  const TimePoint oldest = mReactor->Now() - mSettings.mReannouncePeriod;
  while (!mAnnouncements.empty() && mAnnouncements.front().mAt < oldest) {
    mAnnouncements.pop_front();
  }
}

void
ContentOriginExchange::Find(const std::string& aKey)
{
  if (mLookups.count(aKey) > 0) {
    return;
  }
  const bool isValid = !aKey.empty() && aKey.size() <= kMaxOriginKeyBytes;
  if (!isValid || mLookups.size() >= mSettings.mMaxLookups) {
    ++mCounts.mUnknown;
    Log::Info("stream_origin_lookup_refused")
      .Field("key_bytes", aKey.size())
      .Field("open", mLookups.size());
    mListener->OnOriginFound(aKey, std::nullopt);
    return;
  }
  Lookup& lookup = mLookups[aKey];
  lookup.mStartedAt = mReactor->Now();
  AddStatement(lookup, mTable.Find(aKey, mReactor->Now()));
  for (std::string& address : mReplicas.PeerAddressesOf(aKey)) {
    lookup.mUnanswered[++mLastQueryId] = std::move(address);
  }
  if (lookup.mUnanswered.empty()) {
    EndLookup(aKey);
  } else {
    Ask(aKey, lookup);
  }
}

/// Sends a query to the VMs that have not responded, and schedules the next.
void
ContentOriginExchange::Ask(const std::string& aKey, Lookup& aLookup)
{
  for (const auto& [id, address] : aLookup.mUnanswered) {
    ++mCounts.mQueriesSent;
    mSender->Send(address, EncodeContentOriginQuery({ id, aKey, mOwnAddress }));
  }
  const Duration left =
    aLookup.mStartedAt + mSettings.mLookupTimeout - mReactor->Now();
  aLookup.mTimer = mReactor->Schedule(std::min(mSettings.mRetryInterval, left),
                                      [this, aKey] { OnLookupTimer(aKey); });
}

void
ContentOriginExchange::OnLookupTimer(const std::string& aKey)
{
  Lookup& lookup = mLookups.at(aKey);
  if (mReactor->Now() >= lookup.mStartedAt + mSettings.mLookupTimeout) {
    EndLookup(aKey);
  } else {
    Ask(aKey, lookup);
  }
}

void
ContentOriginExchange::AddStatement(Lookup& aLookup,
                                    const ContentOrigins& aKnown) const
{
  for (const StreamOrigin& it : aKnown.mOrigins) {
    std::vector<StreamOrigin>& known = aLookup.mOrigins;
    if (std::find(known.begin(), known.end(), it) == known.end()) {
      known.push_back(it);
    }
  }
  const bool isWitness =
    !aKnown.mOrigins.empty() && aKnown.mCompleteFor >= mSettings.mCertainPeriod;
  aLookup.mWitnesses += isWitness ? 1 : 0;
}

void
ContentOriginExchange::EndLookup(const std::string& aKey)
{
  const auto entry = mLookups.extract(aKey); // Holds aKey from here on.
  const Lookup& lookup = entry.mapped();
  mReactor->CancelTimer(lookup.mTimer);
  mListener->OnOriginFound(entry.key(), Decide(lookup));
}

/// Returns the origin of a lookup's key, if it is certain.
std::optional<StreamOrigin>
ContentOriginExchange::Decide(const Lookup& aLookup)
{
  const std::size_t needed =
    std::min(mSettings.mMinWitnesses, std::max<std::size_t>(mVms.size(), 1));
  const bool isCertain = aLookup.mWitnesses >= needed;
  if (aLookup.mOrigins.size() == 1 && isCertain) {
    ++mCounts.mFound;
    return aLookup.mOrigins.front();
  }
  const char* cause = "unknown";
  if (aLookup.mOrigins.size() > 1) {
    cause = "ambiguous";
    ++mCounts.mAmbiguous;
  } else if (!aLookup.mOrigins.empty()) {
    cause = "uncertain";
    ++mCounts.mUncertain;
  } else {
    ++mCounts.mUnknown;
  }
  Log::Info("content_origin_not_found")
    .Field("cause", cause)
    .Field("witnesses", aLookup.mWitnesses)
    .Field("unanswered", aLookup.mUnanswered.size())
    .Field("ms", ToMillis(mReactor->Now() - aLookup.mStartedAt));
  return std::nullopt;
}

bool
ContentOriginExchange::OnMessage(std::string_view aBytes)
{
  if (const auto notice = DecodeContentOriginNotice(aBytes)) {
    mTable.Add(notice->mKey, notice->mOrigin, mReactor->Now());
    return true;
  }
  if (const auto query = DecodeContentOriginQuery(aBytes)) {
    OnQuery(*query);
    return true;
  }
  if (const auto response = DecodeContentOriginResponse(aBytes)) {
    OnResponse(*response);
    return true;
  }
  return mCatchUp.OnMessage(aBytes);
}

void
ContentOriginExchange::OnQuery(const OriginQuery& aQuery)
{
  if (!ParseSocketAddress(aQuery.mReplyAddress)) {
    return;
  }
  const ContentOriginResponse response{
    aQuery.mId, aQuery.mKey, mTable.Find(aQuery.mKey, mReactor->Now())
  };
  mSender->Send(aQuery.mReplyAddress, EncodeContentOriginResponse(response));
}

void
ContentOriginExchange::OnResponse(const ContentOriginResponse& aResponse)
{
  const auto it = mLookups.find(aResponse.mKey);
  const bool isAwaited =
    it != mLookups.end() && it->second.mUnanswered.erase(aResponse.mId) > 0;
  if (!isAwaited) {
    return;
  }
  AddStatement(it->second, aResponse.mKnown);
  if (it->second.mUnanswered.empty() || it->second.mOrigins.size() > 1) {
    EndLookup(aResponse.mKey);
  }
}

} // namespace peridothoist
