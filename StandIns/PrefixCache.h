/// Prompt prefixes that an engine stand-in has in memory, least recently used
/// out first, and the feed of events about them: late and with gaps.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>

#include <deque>
#include <list>

namespace peridothoist::standin {

/// One change of the cache, as published.
struct CacheEvent
{
  std::uint64_t mSequence = 0;
  std::string mPrefix;  ///< See PrefixId().
  bool mStored = false; ///< False: evicted.
};

/// Cached prompts by prefix id.
class PrefixCache
{
public:
  explicit PrefixCache(std::size_t aMaxEntries)
    : mMaxEntries(aMaxEntries)
  {
  }

  /// Tokens at the start of aText that are cached; makes them recently used.
  std::uint32_t Match(const std::string& aText);

  /// Stores aText under its prefix, and returns what changed.
  std::vector<CacheEvent> Store(const std::string& aText);

private:
  /// A cached text.
  struct Entry
  {
    std::string mPrefix;
    std::string mText;
  };

  std::list<Entry>::iterator Find(const std::string& aPrefix);

  std::size_t mMaxEntries;
  std::list<Entry> mEntries; ///< Most recently used first.
};

/// Publishes cache events after a delay, and loses some.
class CacheEventFeed
{
public:
  CacheEventFeed(Duration aDelay, double aLossProbability)
    : mDelay(aDelay)
    , mLossProbability(aLossProbability)
  {
  }

  /// Numbers an event and publishes it, unless it is lost.
  void Add(TimePoint aNow, CacheEvent aEvent, Random& aRandom);

  /// Published events with a sequence number above aAfter.
  std::vector<CacheEvent> Read(TimePoint aNow, std::uint64_t aAfter) const;

private:
  /// An event and when it may be seen.
  struct Entry
  {
    TimePoint mVisible;
    CacheEvent mEvent;
  };

  Duration mDelay;
  double mLossProbability;
  std::uint64_t mSequence = 0;
  std::deque<Entry> mEntries; ///< The newest kMaxEvents.
};

} // namespace peridothoist::standin
