#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/ContentOriginTable.h>

#include <algorithm>

namespace peridothoist {

namespace {

/// Two origins make a content ambiguous; further ones add nothing.
constexpr std::size_t kMaxOriginsPerKey = 2;

} // namespace

void
ContentOriginTable::Add(const std::string& aKey,
                        const StreamOrigin& aOrigin,
                        TimePoint aNow)
{
  RemoveOld(aNow);
  std::vector<Kept>& kept = mOrigins[aKey];
  const auto it = std::find_if(kept.begin(), kept.end(), [&](const Kept& aIt) {
    return aIt.mOrigin == aOrigin;
  });
  if (it != kept.end()) {
    it->mAt = aNow;
  } else {
    if (kept.size() == kMaxOriginsPerKey) {
      const auto isOlder = [](const Kept& aLeft, const Kept& aRight) {
        return aLeft.mAt < aRight.mAt;
      };
      kept.erase(std::min_element(kept.begin(), kept.end(), isOlder));
    }
    kept.push_back({ aOrigin, aNow });
  }
  mByAge.push_back({ aNow, aKey });
  while (mByAge.size() > mSettings.mMaxOrigins) {
    mCompleteSince = std::max(mCompleteSince, mByAge.front().mAt);
    RemoveOldest();
  }
}

ContentOrigins
ContentOriginTable::Find(const std::string& aKey, TimePoint aNow)
{
  RemoveOld(aNow);
  ContentOrigins found;
  found.mCompleteFor =
    std::clamp(aNow - mCompleteSince, Duration(0), mSettings.mRetention);
  const auto it = mOrigins.find(aKey);
  if (it == mOrigins.end()) {
    return found;
  }
  for (const Kept& kept : it->second) {
    if (aNow < kept.mAt + mSettings.mRetention) {
      found.mOrigins.push_back(kept.mOrigin);
    }
  }
  return found;
}

void
ContentOriginTable::RemoveOld(TimePoint aNow)
{
  while (!mByAge.empty() && mByAge.front().mAt + mSettings.mRetention <= aNow) {
    RemoveOldest();
  }
}

/// Removes the oldest addition, and what was added then and not again.
void
ContentOriginTable::RemoveOldest()
{
  const Added oldest = std::move(mByAge.front());
  mByAge.pop_front();
  const auto it = mOrigins.find(oldest.mKey);
  if (it == mOrigins.end()) {
    return;
  }
  std::vector<Kept>& kept = it->second;
  kept.erase(
    std::remove_if(kept.begin(),
                   kept.end(),
                   [&](const Kept& aKept) { return aKept.mAt <= oldest.mAt; }),
    kept.end());
  if (kept.empty()) {
    mOrigins.erase(it);
  }
}

std::set<std::string>
ContentOriginTable::KeysSince(TimePoint aSince) const
{
  std::set<std::string> keys;
  for (auto it = mByAge.rbegin(); it != mByAge.rend() && it->mAt >= aSince;
       ++it) {
    keys.insert(it->mKey);
  }
  return keys;
}

} // namespace peridothoist
