/// Expired results are found by a linear scan, since an engine stores few
/// results at a time.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/PrefillResultStore.h>

namespace peridothoist::standin {

std::string
PrefillResultStore::Put(TimePoint aNow,
                        const std::string& aRequest,
                        KvCache aKv)
{
  RemoveExpired(aNow);
  std::string id = "kv" + std::to_string(mNextId);
  ++mNextId;
  mResults[id] = { aRequest, aNow + mLifetime, std::move(aKv), false };
  return id;
}

std::optional<KvCache>
PrefillResultStore::Get(TimePoint aNow, const std::string& aId)
{
  RemoveExpired(aNow);
  const auto it = mResults.find(aId);
  if (it == mResults.end()) {
    return std::nullopt;
  }
  it->second.mIsFetched = true;
  return it->second.mKv;
}

Duration
PrefillResultStore::RemainingLifetime(TimePoint aNow,
                                      const std::string& aId) const
{
  const auto it = mResults.find(aId);
  return it == mResults.end() ? Duration::zero() : it->second.mExpiresAt - aNow;
}

void
PrefillResultStore::RemoveRequestResults(const std::string& aRequest)
{
  for (auto it = mResults.begin(); it != mResults.end();) {
    const auto next = std::next(it);
    if (it->second.mRequest == aRequest) {
      Remove(it);
    }
    it = next;
  }
}

void
PrefillResultStore::RemoveExpired(TimePoint aNow)
{
  for (auto it = mResults.begin(); it != mResults.end();) {
    const auto next = std::next(it);
    if (it->second.mExpiresAt <= aNow) {
      Remove(it);
    }
    it = next;
  }
}

void
PrefillResultStore::Remove(std::map<std::string, Entry>::iterator aEntry)
{
  if (!aEntry->second.mIsFetched) {
    ++mUnfetchedCount;
  }
  mResults.erase(aEntry);
}

} // namespace peridothoist::standin
