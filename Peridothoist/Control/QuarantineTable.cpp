/// Suspect and quarantined requests known to a control process.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/QuarantineTable.h>

#include <Peridothoist/Peers/PeerCodec.h>

#include <algorithm>

namespace peridothoist {

QuarantineTable::QuarantineTable(const Settings& aSettings)
  : mSettings(aSettings)
{
}

bool
QuarantineTable::Merge(const Messages& aMessages, TimePoint aNow)
{
  bool isNew = false;
  for (const peer::QuarantineEntry& it : aMessages) {
    isNew = MergeEntry(it, aNow) || isNew;
  }
  return isNew;
}

bool
QuarantineTable::MergeEntry(const peer::QuarantineEntry& aMessage,
                            TimePoint aNow)
{
  const Duration age = FromMicroseconds(aMessage.age_us());
  const Duration duration =
    std::min(FromMicroseconds(aMessage.lasts_us()), mSettings.mMaxDuration);
  if (age >= duration || aMessage.digest().empty()) {
    return false;
  }
  const auto it = mEntries.find(aMessage.digest());
  const Entry reported{ aNow - age, aNow - age + duration, aMessage.suspect() };
  if (it == mEntries.end()) {
    if (mEntries.size() >= mSettings.mMaxEntries) {
      return false;
    }
    mEntries.emplace(aMessage.digest(), reported);
    return true;
  }
  // A suspect request becomes quarantined after a second upstream death; a
  // quarantined request never becomes suspect again.
  Entry& existing = it->second;
  const bool isWorse = existing.mIsSuspect && !reported.mIsSuspect;
  if (isWorse) {
    existing = reported;
    return true;
  }
  if (existing.mIsSuspect == reported.mIsSuspect) {
    existing.mExpiresAt = std::max(existing.mExpiresAt, reported.mExpiresAt);
  }
  return false;
}

void
QuarantineTable::AppendTo(Messages& aMessages, TimePoint aNow) const
{
  for (const auto& [digest, entry] : mEntries) {
    if (entry.mExpiresAt <= aNow) {
      continue;
    }
    peer::QuarantineEntry& message = *aMessages.Add();
    message.set_digest(digest);
    message.set_age_us(ToMicroseconds(aNow - entry.mReportedAt));
    message.set_lasts_us(ToMicroseconds(entry.mExpiresAt - entry.mReportedAt));
    message.set_suspect(entry.mIsSuspect);
  }
}

void
QuarantineTable::Expire(TimePoint aNow)
{
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    it = it->second.mExpiresAt <= aNow ? mEntries.erase(it) : std::next(it);
  }
}

} // namespace peridothoist
