#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/StreamOriginExchange.h>

#include <Peridothoist/Core/DurationUnits.h>
#include <Peridothoist/Shell/FlagsFromEnvironment.h>
#include <Peridothoist/Shell/Log.h>

#include <algorithm>

namespace peridothoist {

// Query ids start at the time, so that responses to queries of a former process
// at this address match none of this one.
StreamOriginExchange::StreamOriginExchange(const Settings& aSettings,
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
  , mTable(aSettings.mTable)
  , mLastQueryId(static_cast<std::uint64_t>(
      Reactor::ReadClock().time_since_epoch().count()))
  , mCatchUp(aSettings.mCatchUp,
             OriginKind::Attempt,
             aSelf,
             aReactor,
             aSender,
             this)
{
}

StreamOriginExchange::~StreamOriginExchange()
{
  mReactor->CancelTimer(mBatchTimer);
  for (const auto& [key, lookup] : mLookups) {
    mReactor->CancelTimer(lookup.mTimer);
  }
}

void
StreamOriginExchange::Announce(const std::string& aKey,
                               const StreamOrigin& aOrigin)
{
  if (!FitsOriginMessage(aKey, aOrigin)) {
    Log::Warning("stream_origin_too_long")
      .Field("key_bytes", aKey.size())
      .Field("service", aOrigin.mService);
    return;
  }
  ++mCounts.mAnnounced;
  Learn(aKey, aOrigin);
  RemoveOldAnnouncements();
  mAnnouncements.push_back({ mReactor->Now(), { aKey, aOrigin }, {} });
  SendToReplicas(mAnnouncements.back());
}

void
StreamOriginExchange::SetVms(const VmRecords& aVms)
{
  if (aVms == mVms) {
    return;
  }
  mVms = aVms;
  mReplicas.SetVms(aVms);
  mCatchUp.SetVms(aVms);
  RemoveOldAnnouncements();
  for (Announcement& it : mAnnouncements) {
    SendToReplicas(it);
  }
}

/// Sends an origin to the VMs that are to keep it and have not been sent it.
void
StreamOriginExchange::SendToReplicas(Announcement& aAnnouncement)
{
  const KeyedStreamOrigin& origin = aAnnouncement.mOrigin;
  for (const std::string& address : mReplicas.PeerAddressesOf(origin.mKey)) {
    if (aAnnouncement.mSentTo.insert(address).second) {
      AddToBatch(address, origin);
    }
  }
}

void
StreamOriginExchange::SendKeptTo(const VmRecord& aVm)
{
  const TimePoint now = mReactor->Now();
  for (const std::string& key :
       mTable.KeysSince(now - mSettings.mReannouncePeriod)) {
    const StreamOrigin* origin = mTable.Find(key, now);
    if (origin != nullptr && mReplicas.IsReplica(key, aVm)) {
      AddToBatch(aVm.mPeerAddress, { key, *origin });
    }
  }
  SendBatches();
}

void
StreamOriginExchange::RemoveOldAnnouncements()
{
  const TimePoint oldest = mReactor->Now() - mSettings.mReannouncePeriod;
  while (!mAnnouncements.empty() && mAnnouncements.front().mAt < oldest) {
    mAnnouncements.pop_front();
  }
}

void
StreamOriginExchange::AddToBatch(const std::string& aAddress,
                                 const KeyedStreamOrigin& aOrigin)
{
  OriginNotice& batch = mBatches[aAddress];
  batch.mOrigins.push_back(aOrigin);
  const bool isFull = batch.mOrigins.size() == kMaxOriginsPerNotice;
  if (isFull || mSettings.mBatchDelay == Duration(0)) {
    SendNotice(aAddress, batch);
    mBatches.erase(aAddress);
  } else if (mBatchTimer == 0) {
    mBatchTimer =
      mReactor->Schedule(mSettings.mBatchDelay, [this] { SendBatches(); });
  }
}

void
StreamOriginExchange::SendBatches()
{
  mReactor->CancelTimer(std::exchange(mBatchTimer, 0));
  for (const auto& [address, notice] : std::exchange(mBatches, {})) {
    SendNotice(address, notice);
  }
}

void
StreamOriginExchange::SendNotice(const std::string& aAddress,
                                 const OriginNotice& aNotice)
{
  ++mCounts.mNoticesSent;
  mSender->Send(aAddress, EncodeOriginNotice(aNotice));
}

void
StreamOriginExchange::Find(const std::string& aKey)
{
  if (mLookups.count(aKey) > 0) {
    return;
  }
  const StreamOrigin* known = mTable.Find(aKey, mReactor->Now());
  if (known != nullptr) {
    ++mCounts.mFoundHere;
    mListener->OnOriginFound(aKey, StreamOrigin(*known));
    return;
  }
  const bool isValid = !aKey.empty() && aKey.size() <= kMaxOriginKeyBytes;
  if (!isValid || mLookups.size() >= mSettings.mMaxLookups) {
    ++mCounts.mRefused;
    Log::Info("stream_origin_lookup_refused")
      .Field("key_bytes", aKey.size())
      .Field("open", mLookups.size());
    mListener->OnOriginFound(aKey, std::nullopt);
    return;
  }
  StartLookup(aKey);
}

void
StreamOriginExchange::StartLookup(const std::string& aKey)
{
  Lookup& lookup = mLookups[aKey];
  lookup.mStartedAt = mReactor->Now();
  for (std::string& address : mReplicas.PeerAddressesOf(aKey)) {
    lookup.mUnanswered[++mLastQueryId] = std::move(address);
  }
  lookup.mAsked = lookup.mUnanswered.size();
  if (lookup.mAsked == 0) {
    EndLookup(aKey, std::nullopt);
  } else {
    Ask(aKey, lookup);
  }
}

/// Sends a query to the VMs that have not responded, and schedules the next.
void
StreamOriginExchange::Ask(const std::string& aKey, Lookup& aLookup)
{
  for (const auto& [id, address] : aLookup.mUnanswered) {
    ++mCounts.mQueriesSent;
    mSender->Send(address, EncodeOriginQuery({ id, aKey, mOwnAddress }));
  }
  const Duration left =
    aLookup.mStartedAt + mSettings.mLookupTimeout - mReactor->Now();
  aLookup.mTimer = mReactor->Schedule(std::min(mSettings.mRetryInterval, left),
                                      [this, aKey] { OnLookupTimer(aKey); });
}

void
StreamOriginExchange::OnLookupTimer(const std::string& aKey)
{
  Lookup& lookup = mLookups.at(aKey);
  if (mReactor->Now() >= lookup.mStartedAt + mSettings.mLookupTimeout) {
    EndLookup(aKey, std::nullopt);
  } else {
    Ask(aKey, lookup);
  }
}

void
StreamOriginExchange::EndLookup(const std::string& aKey,
                                std::optional<StreamOrigin> aOrigin)
{
  const auto entry = mLookups.extract(aKey); // Holds aKey from here on.
  const Lookup& lookup = entry.mapped();
  mReactor->CancelTimer(lookup.mTimer);
  ++(aOrigin ? mCounts.mFoundAtPeers : mCounts.mUnknown);
  if (!aOrigin) {
    Log::Info("stream_origin_unknown")
      .Field("key", entry.key())
      .Field("replicas", lookup.mAsked)
      .Field("responses", lookup.mAsked - lookup.mUnanswered.size())
      .Field("ms", ToMillis(mReactor->Now() - lookup.mStartedAt));
  }
  mListener->OnOriginFound(entry.key(), std::move(aOrigin));
}

/// Keeps an origin, and ends a lookup of its key.
void
StreamOriginExchange::Learn(const std::string& aKey,
                            const StreamOrigin& aOrigin)
{
  const TimePoint now = mReactor->Now();
  mTable.Add(aKey, aOrigin, now);
  if (mLookups.count(aKey) > 0) {
    const StreamOrigin* kept = mTable.Find(aKey, now);
    EndLookup(aKey, kept == nullptr ? aOrigin : StreamOrigin(*kept));
  }
}

bool
StreamOriginExchange::OnMessage(std::string_view aBytes)
{
  if (const auto notice = DecodeOriginNotice(aBytes)) {
    mCounts.mOriginsReceived += notice->mOrigins.size();
    for (const KeyedStreamOrigin& it : notice->mOrigins) {
      Learn(it.mKey, it.mOrigin);
    }
    return true;
  }
  if (const auto query = DecodeOriginQuery(aBytes)) {
    OnQuery(*query);
    return true;
  }
  if (const auto response = DecodeOriginResponse(aBytes)) {
    OnResponse(*response);
    return true;
  }
  return mCatchUp.OnMessage(aBytes);
}

void
StreamOriginExchange::OnQuery(const OriginQuery& aQuery)
{
  ++mCounts.mQueriesReceived;
  if (!ParseSocketAddress(aQuery.mReplyAddress)) {
    return;
  }
  OriginResponse response;
  response.mId = aQuery.mId;
  response.mKey = aQuery.mKey;
  const StreamOrigin* known = mTable.Find(aQuery.mKey, mReactor->Now());
  if (known != nullptr) {
    response.mOrigin = *known;
  }
  mSender->Send(aQuery.mReplyAddress, EncodeOriginResponse(response));
}

void
StreamOriginExchange::OnResponse(const OriginResponse& aResponse)
{
  if (aResponse.mOrigin) {
    Learn(aResponse.mKey, *aResponse.mOrigin);
    return;
  }
  // Negative responses to another lookup of the key may be out of date.
  const auto it = mLookups.find(aResponse.mKey);
  if (it != mLookups.end() && it->second.mUnanswered.erase(aResponse.mId) > 0 &&
      it->second.mUnanswered.empty()) {
    EndLookup(aResponse.mKey, std::nullopt);
  }
}

} // namespace peridothoist
