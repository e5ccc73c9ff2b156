/// Prompt prefix cache of an engine stand-in with LRU eviction, and the feed of
/// its events, which are delayed and may be lost.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>

#include <deque>
#include <list>

namespace peridothoist::standin {

/// A published change of the cache.
struct CacheEvent
{
  std::uint64_t mSequence = 0;
  std::string mPrefix;    ///< See PrefixId().
  bool mIsStored = false; ///< False if the prefix was evicted.
};

/// Cached prompts by prefix id, with LRU eviction.
class PrefixCache
{
public:
  explicit PrefixCache(std::size_t aMaxEntries)
    : mMaxEntries(aMaxEntries)
  {
  }

  /// Returns the number of leading tokens of aText that are cached, and marks
  /// the entry as most recently used.
  std::uint32_t MatchPrefix(const std::string& aText);

  /// Stores aText under its prefix id and returns the resulting events.
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

/// Publishes cache events after a delay and loses a random fraction of them.
class CacheEventFeed
{
public:
  CacheEventFeed(Duration aDelay, double aLossProbability)
    : mDelay(aDelay)
    , mLossProbability(aLossProbability)
  {
  }

  /// Assigns the next sequence number and publishes the event unless it is
  /// lost. A lost event leaves a gap in the sequence.
  void Publish(TimePoint aNow, CacheEvent aEvent, Random& aRandom);

  /// Returns the published events with a sequence number above aAfter.
  std::vector<CacheEvent> Read(TimePoint aNow, std::uint64_t aAfter) const;

private:
  /// An event and the time from which it is visible.
  struct Entry
  {
    TimePoint mVisibleAt;
    CacheEvent mEvent;
  };

  Duration mDelay;
  double mLossProbability;
  std::uint64_t mSequence = 0;
  std::deque<Entry> mEntries; ///< At most kMaxEvents; the oldest is dropped.
};

} // namespace peridothoist::standin
