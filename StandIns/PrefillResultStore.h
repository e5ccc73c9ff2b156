/// Prefill results of an engine stand-in, each stored for a limited time.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <StandIns/EngineMemory.h>

namespace peridothoist::standin {

/// Stores KV caches until they expire and counts those that were never fetched.
class PrefillResultStore
{
public:
  explicit PrefillResultStore(Duration aLifetime)
    : mLifetime(aLifetime)
  {
  }

  /// Stores a result and returns its id.
  std::string Put(TimePoint aNow, const std::string& aRequest, KvCache aKv);

  /// Returns a result, or nullopt if it is unknown or has expired. A result can
  /// be fetched several times before it expires.
  std::optional<KvCache> Get(TimePoint aNow, const std::string& aId);

  /// Returns the time until a result expires, or zero if it is not stored.
  Duration RemainingLifetime(TimePoint aNow, const std::string& aId) const;

  /// Removes the results of one request.
  void RemoveRequestResults(const std::string& aRequest);

  /// Removes all expired results.
  void RemoveExpired(TimePoint aNow);

  std::size_t Size() const { return mResults.size(); }

  /// Returns the number of results that expired or were removed without ever
  /// being fetched.
  std::uint64_t UnfetchedCount() const { return mUnfetchedCount; }

private:
  /// A stored result.
  struct Entry
  {
    std::string mRequest;
    TimePoint mExpiresAt;
    KvCache mKv;
    bool mIsFetched = false;
  };

  void Remove(std::map<std::string, Entry>::iterator aEntry);

  Duration mLifetime;
  std::uint64_t mNextId = 1;
  std::uint64_t mUnfetchedCount = 0;
  std::map<std::string, Entry> mResults; ///< By result id.
};

} // namespace peridothoist::standin
