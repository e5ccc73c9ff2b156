/// LRU list of cached prompts and its event feed.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/PrefixCache.h>
#include <StandIns/TokenText.h>

#include <algorithm>

namespace peridothoist::standin {

namespace {

constexpr std::size_t kMaxEvents = 1000;

} // namespace

std::uint32_t
PrefixCache::MatchPrefix(const std::string& aText)
{
  const auto it = Find(PrefixId(aText));
  if (it == mEntries.end()) {
    return 0;
  }
  mEntries.splice(mEntries.begin(), mEntries, it);
  const std::string& cached = mEntries.front().mText;
  const std::size_t shorter = std::min(cached.size(), aText.size());
  const auto mismatch =
    std::mismatch(cached.begin(), cached.begin() + shorter, aText.begin());
  const std::size_t common = mismatch.first - cached.begin();
  return static_cast<std::uint32_t>(common / kBytesPerToken);
}

std::vector<CacheEvent>
PrefixCache::Store(const std::string& aText)
{
  const std::string prefix = PrefixId(aText);
  std::vector<CacheEvent> events;
  const auto known = Find(prefix);
  if (known != mEntries.end()) {
    mEntries.erase(known);
  } else {
    events.push_back({ 0, prefix, true });
  }
  mEntries.push_front({ prefix, aText });
  while (mEntries.size() > mMaxEntries) {
    events.push_back({ 0, mEntries.back().mPrefix, false });
    mEntries.pop_back();
  }
  return events;
}

std::list<PrefixCache::Entry>::iterator
PrefixCache::Find(const std::string& aPrefix)
{
  return std::find_if(
    mEntries.begin(), mEntries.end(), [&](const Entry& aEntry) {
      return aEntry.mPrefix == aPrefix;
    });
}

void
CacheEventFeed::Publish(TimePoint aNow, CacheEvent aEvent, Random& aRandom)
{
  ++mSequence;
  if (aRandom.UniformFraction() < mLossProbability) {
    return;
  }
  aEvent.mSequence = mSequence;
  mEntries.push_back({ aNow + mDelay, std::move(aEvent) });
  if (mEntries.size() > kMaxEvents) {
    mEntries.pop_front();
  }
}

std::vector<CacheEvent>
CacheEventFeed::Read(TimePoint aNow, std::uint64_t aAfter) const
{
  std::vector<CacheEvent> events;
  for (const Entry& it : mEntries) {
    if (it.mVisibleAt <= aNow && it.mEvent.mSequence > aAfter) {
      events.push_back(it.mEvent);
    }
  }
  return events;
}

} // namespace peridothoist::standin
