/// Prefill results of an engine stand-in, each kept for a short while.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <StandIns/EngineMemory.h>

namespace peridothoist::standin {

/// KV caches that wait to be fetched. Counts those that nobody fetched.
class KvShelf
{
public:
  explicit KvShelf(Duration aKeep)
    : mKeep(aKeep)
  {
  }

  /// Keeps a result and returns its id.
  std::string Put(TimePoint aNow, const std::string& aRequest, KvCache aKv);

  /// A result that has not expired; nothing afterwards. Taking it again
  /// before it expires gives it again.
  std::optional<KvCache> Get(TimePoint aNow, const std::string& aId);

  /// How much longer a result is kept; zero when it has expired.
  Duration KeptFor(TimePoint aNow, const std::string& aId) const;

  /// Drops the results of one request.
  void Cancel(const std::string& aRequest);

  /// Drops what has expired.
  void Expire(TimePoint aNow);

  std::size_t Size() const { return mKept.size(); }

  /// Results that expired or were dropped without ever being fetched.
  std::uint64_t Wasted() const { return mWasted; }

private:
  /// A kept result.
  struct Entry
  {
    std::string mRequest;
    TimePoint mUntil;
    KvCache mKv;
    bool mFetched = false;
  };

  void Drop(std::map<std::string, Entry>::iterator aEntry);

  Duration mKeep;
  std::uint64_t mNextId = 1;
  std::uint64_t mWasted = 0;
  std::map<std::string, Entry> mKept; ///< By id.
};

} // namespace peridothoist::standin
