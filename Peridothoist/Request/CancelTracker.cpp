#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/CancelTracker.h>

#include <algorithm>

namespace peridothoist {

namespace {

constexpr Duration kMaxRetryDelay = 5s; ///< Between resends of one cancel.

} // namespace

void
CancelTracker::Add(const std::string& aUpstream,
                   const std::string& aAddress,
                   const AttemptKey& aKey,
                   bool aMayOvertake,
                   TimePoint aNow,
                   RequestCommands& aOut)
{
  const EntryKey entryKey{ aUpstream, aKey };
  Entry& entry = mEntries[entryKey];
  entry.mAddress = aAddress;
  entry.mSendAgain = entry.mSendAgain || aMayOvertake;
  entry.mRetryDelay = mSettings.mCancelRetryDelay;
  mUpstreams[aKey].insert(aUpstream);
  Send(entryKey, entry, aNow, aOut);
}

void
CancelTracker::Send(const EntryKey& aEntryKey,
                    Entry& aEntry,
                    TimePoint aNow,
                    RequestCommands& aOut)
{
  RequestCommand command;
  command.mKind = RequestCommandKind::Cancel;
  command.mId = aEntryKey.mKey.mId;
  command.mAttempt = aEntryKey.mKey.mAttempt;
  command.mUpstream = aEntryKey.mUpstream;
  command.mAddress = aEntry.mAddress;
  aOut.push_back(std::move(command));
  ++mSentCount;
  aEntry.mAwaitsResponse = true;
  SetDue(aEntryKey, aEntry, aNow + aEntry.mRetryDelay);
  aEntry.mRetryDelay = std::min(aEntry.mRetryDelay * 2, kMaxRetryDelay);
}

void
CancelTracker::SetDue(const EntryKey& aEntryKey, Entry& aEntry, TimePoint aAt)
{
  mDue.erase(Due{ aEntry.mDueAt, aEntryKey });
  aEntry.mDueAt = aAt;
  mDue.insert(Due{ aAt, aEntryKey });
}

void
CancelTracker::Erase(Entries::iterator aIt)
{
  const EntryKey entryKey = aIt->first;
  mDue.erase(Due{ aIt->second.mDueAt, entryKey });
  const auto upstreams = mUpstreams.find(entryKey.mKey);
  upstreams->second.erase(entryKey.mUpstream);
  if (upstreams->second.empty()) {
    mUpstreams.erase(upstreams);
  }
  mEntries.erase(aIt);
}

bool
CancelTracker::OnResult(const std::string& aUpstream,
                        const AttemptKey& aKey,
                        bool aOk,
                        TimePoint aNow)
{
  const auto it = mEntries.find(EntryKey{ aUpstream, aKey });
  if (it == mEntries.end() || !it->second.mAwaitsResponse) {
    return false;
  }
  it->second.mAwaitsResponse = false;
  if (!aOk) {
    return false;
  }
  if (!it->second.mSendAgain) {
    Erase(it);
    return true;
  }
  it->second.mSendAgain = false;
  it->second.mRetryDelay = mSettings.mCancelRetryDelay;
  SetDue(it->first, it->second, aNow + mSettings.mCancelResendDelay);
  return true;
}

void
CancelTracker::OnLateResult(const AttemptKey& aKey,
                            TimePoint aNow,
                            RequestCommands& aOut)
{
  const auto upstreams = mUpstreams.find(aKey);
  if (upstreams == mUpstreams.end()) {
    return;
  }
  for (const std::string& upstream : upstreams->second) {
    const auto it = mEntries.find(EntryKey{ upstream, aKey });
    it->second.mSendAgain = true;
    Send(it->first, it->second, aNow, aOut);
  }
}

void
CancelTracker::OnTick(TimePoint aNow, RequestCommands& aOut)
{
  while (!mDue.empty() && mDue.begin()->mAt <= aNow) {
    const EntryKey entryKey = mDue.begin()->mEntryKey;
    Send(entryKey, mEntries.find(entryKey)->second, aNow, aOut);
  }
}

void
CancelTracker::RemoveUpstream(const std::string& aUpstream)
{
  auto it = mEntries.lower_bound(EntryKey{ aUpstream, {} });
  while (it != mEntries.end() && it->first.mUpstream == aUpstream) {
    Erase(it++);
  }
}

void
CancelTracker::ResendAll(const std::string& aUpstream,
                         TimePoint aNow,
                         RequestCommands& aOut)
{
  auto it = mEntries.lower_bound(EntryKey{ aUpstream, {} });
  for (; it != mEntries.end() && it->first.mUpstream == aUpstream; ++it) {
    it->second.mRetryDelay = mSettings.mCancelRetryDelay;
    Send(it->first, it->second, aNow, aOut);
  }
}

std::set<std::string>
CancelTracker::Upstreams() const
{
  std::set<std::string> upstreams;
  for (const auto& [entryKey, entry] : mEntries) {
    upstreams.insert(entryKey.mUpstream);
  }
  return upstreams;
}

std::optional<TimePoint>
CancelTracker::NextDueTime() const
{
  if (mDue.empty()) {
    return std::nullopt;
  }
  return mDue.begin()->mAt;
}

} // namespace peridothoist
