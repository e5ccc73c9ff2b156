#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/CancelLedger.h>

#include <algorithm>

namespace peridothoist {

namespace {

constexpr Duration kLongestDelay = 5s; ///< Between two tries of one cancel.

} // namespace

void
CancelLedger::Add(const std::string& aUpstream,
                  const std::string& aAddress,
                  const AttemptKey& aKey,
                  bool aMayOvertake,
                  TimePoint aNow,
                  RequestCommands& aOut)
{
  const Place place{ aUpstream, aKey };
  Entry& entry = mEntries[place];
  entry.mAddress = aAddress;
  entry.mRepeat = entry.mRepeat || aMayOvertake;
  entry.mDelay = mSettings.mCancelRetryDelay;
  mUpstreams[aKey].insert(aUpstream);
  Send(place, entry, aNow, aOut);
}

void
CancelLedger::Send(const Place& aPlace,
                   Entry& aEntry,
                   TimePoint aNow,
                   RequestCommands& aOut)
{
  RequestCommand command;
  command.mKind = RequestCommandKind::Cancel;
  command.mId = aPlace.mKey.mId;
  command.mAttempt = aPlace.mKey.mAttempt;
  command.mUpstream = aPlace.mUpstream;
  command.mAddress = aEntry.mAddress;
  aOut.push_back(std::move(command));
  ++mSent;
  aEntry.mAsked = true;
  SetDue(aPlace, aEntry, aNow + aEntry.mDelay);
  aEntry.mDelay = std::min(aEntry.mDelay * 2, kLongestDelay);
}

void
CancelLedger::SetDue(const Place& aPlace, Entry& aEntry, TimePoint aAt)
{
  mDue.erase(Due{ aEntry.mDueAt, aPlace });
  aEntry.mDueAt = aAt;
  mDue.insert(Due{ aAt, aPlace });
}

void
CancelLedger::Erase(Entries::iterator aIt)
{
  const Place place = aIt->first;
  mDue.erase(Due{ aIt->second.mDueAt, place });
  const auto upstreams = mUpstreams.find(place.mKey);
  upstreams->second.erase(place.mUpstream);
  if (upstreams->second.empty()) {
    mUpstreams.erase(upstreams);
  }
  mEntries.erase(aIt);
}

bool
CancelLedger::OnAnswer(const std::string& aUpstream,
                       const AttemptKey& aKey,
                       bool aOk,
                       TimePoint aNow)
{
  const auto it = mEntries.find(Place{ aUpstream, aKey });
  if (it == mEntries.end() || !it->second.mAsked) {
    return false;
  }
  it->second.mAsked = false;
  if (!aOk) {
    return false;
  }
  if (!it->second.mRepeat) {
    Erase(it);
    return true;
  }
  it->second.mRepeat = false;
  it->second.mDelay = mSettings.mCancelRetryDelay;
  SetDue(it->first, it->second, aNow + mSettings.mCancelRepeat);
  return true;
}

void
CancelLedger::OnLateAnswer(const AttemptKey& aKey,
                           TimePoint aNow,
                           RequestCommands& aOut)
{
  const auto upstreams = mUpstreams.find(aKey);
  if (upstreams == mUpstreams.end()) {
    return;
  }
  for (const std::string& upstream : upstreams->second) {
    const auto it = mEntries.find(Place{ upstream, aKey });
    it->second.mRepeat = true;
    Send(it->first, it->second, aNow, aOut);
  }
}

void
CancelLedger::OnTick(TimePoint aNow, RequestCommands& aOut)
{
  while (!mDue.empty() && mDue.begin()->mAt <= aNow) {
    const Place place = mDue.begin()->mPlace;
    Send(place, mEntries.find(place)->second, aNow, aOut);
  }
}

void
CancelLedger::Drop(const std::string& aUpstream)
{
  auto it = mEntries.lower_bound(Place{ aUpstream, {} });
  while (it != mEntries.end() && it->first.mUpstream == aUpstream) {
    Erase(it++);
  }
}

void
CancelLedger::Hurry(const std::string& aUpstream,
                    TimePoint aNow,
                    RequestCommands& aOut)
{
  auto it = mEntries.lower_bound(Place{ aUpstream, {} });
  for (; it != mEntries.end() && it->first.mUpstream == aUpstream; ++it) {
    it->second.mDelay = mSettings.mCancelRetryDelay;
    Send(it->first, it->second, aNow, aOut);
  }
}

std::set<std::string>
CancelLedger::Upstreams() const
{
  std::set<std::string> upstreams;
  for (const auto& [place, entry] : mEntries) {
    upstreams.insert(place.mUpstream);
  }
  return upstreams;
}

std::optional<TimePoint>
CancelLedger::Next() const
{
  if (mDue.empty()) {
    return std::nullopt;
  }
  return mDue.begin()->mAt;
}

} // namespace peridothoist
