/// Requests that were present at upstream deaths.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/QuarantineBook.h>

#include <Peridothoist/Peers/PeerCodec.h>

#include <algorithm>

namespace peridothoist {

QuarantineBook::QuarantineBook(const Settings& aSettings)
  : mSettings(aSettings)
{
}

bool
QuarantineBook::Merge(const Messages& aMessages, TimePoint aNow)
{
  bool isNew = false;
  for (const peer::QuarantineEntry& it : aMessages) {
    isNew = MergeOne(it, aNow) || isNew;
  }
  return isNew;
}

bool
QuarantineBook::MergeOne(const peer::QuarantineEntry& aMessage, TimePoint aNow)
{
  const Duration age = FromMicroseconds(aMessage.age_us());
  const Duration lasts =
    std::min(FromMicroseconds(aMessage.lasts_us()), mSettings.mMaxLasts);
  if (age >= lasts || aMessage.digest().empty()) {
    return false;
  }
  const auto it = mEntries.find(aMessage.digest());
  const Entry told{ aNow - age, aNow - age + lasts, aMessage.suspect() };
  if (it == mEntries.end()) {
    if (mEntries.size() >= mSettings.mMaxEntries) {
      return false;
    }
    mEntries.emplace(aMessage.digest(), told);
    return true;
  }
  // A second death makes a suspect quarantined, never the other way round.
  Entry& held = it->second;
  const bool isWorse = held.mSuspect && !told.mSuspect;
  if (isWorse) {
    held = told;
    return true;
  }
  if (held.mSuspect == told.mSuspect) {
    held.mEnds = std::max(held.mEnds, told.mEnds);
  }
  return false;
}

void
QuarantineBook::Fill(Messages& aMessages, TimePoint aNow) const
{
  for (const auto& [digest, entry] : mEntries) {
    if (entry.mEnds <= aNow) {
      continue;
    }
    peer::QuarantineEntry& message = *aMessages.Add();
    message.set_digest(digest);
    message.set_age_us(ToMicroseconds(aNow - entry.mSince));
    message.set_lasts_us(ToMicroseconds(entry.mEnds - entry.mSince));
    message.set_suspect(entry.mSuspect);
  }
}

void
QuarantineBook::Expire(TimePoint aNow)
{
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    it = it->second.mEnds <= aNow ? mEntries.erase(it) : std::next(it);
  }
}

} // namespace peridothoist
