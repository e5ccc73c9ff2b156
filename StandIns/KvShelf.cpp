/// Expiry by a scan: an engine keeps few results at a time.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/KvShelf.h>

namespace peridothoist::standin {

std::string
KvShelf::Put(TimePoint aNow, const std::string& aRequest, KvCache aKv)
{
  Expire(aNow);
  std::string id = "kv" + std::to_string(mNextId);
  ++mNextId;
  mKept[id] = { aRequest, aNow + mKeep, std::move(aKv), false };
  return id;
}

std::optional<KvCache>
KvShelf::Get(TimePoint aNow, const std::string& aId)
{
  Expire(aNow);
  const auto it = mKept.find(aId);
  if (it == mKept.end()) {
    return std::nullopt;
  }
  it->second.mFetched = true;
  return it->second.mKv;
}

Duration
KvShelf::KeptFor(TimePoint aNow, const std::string& aId) const
{
  const auto it = mKept.find(aId);
  return it == mKept.end() ? Duration::zero() : it->second.mUntil - aNow;
}

void
KvShelf::Cancel(const std::string& aRequest)
{
  for (auto it = mKept.begin(); it != mKept.end();) {
    const auto next = std::next(it);
    if (it->second.mRequest == aRequest) {
      Drop(it);
    }
    it = next;
  }
}

void
KvShelf::Expire(TimePoint aNow)
{
  for (auto it = mKept.begin(); it != mKept.end();) {
    const auto next = std::next(it);
    if (it->second.mUntil <= aNow) {
      Drop(it);
    }
    it = next;
  }
}

void
KvShelf::Drop(std::map<std::string, Entry>::iterator aEntry)
{
  if (!aEntry->second.mFetched) {
    ++mWasted;
  }
  mKept.erase(aEntry);
}

} // namespace peridothoist::standin
