#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/StreamOriginTable.h>

namespace peridothoist {

void
StreamOriginTable::Add(const std::string& aKey,
                       StreamOrigin aOrigin,
                       TimePoint aNow)
{
  RemoveOld(aNow);
  const bool isNew = mOrigins.emplace(aKey, std::move(aOrigin)).second;
  if (isNew) {
    mByAge.push_back({ aNow, aKey });
  }
}

const StreamOrigin*
StreamOriginTable::Find(const std::string& aKey, TimePoint aNow)
{
  RemoveOld(aNow);
  const auto it = mOrigins.find(aKey);
  return it == mOrigins.end() ? nullptr : &it->second;
}

std::vector<std::string>
StreamOriginTable::KeysSince(TimePoint aSince) const
{
  std::vector<std::string> keys;
  for (auto it = mByAge.rbegin(); it != mByAge.rend() && it->mAt >= aSince;
       ++it) {
    keys.push_back(it->mKey);
  }
  return keys;
}

void
StreamOriginTable::RemoveOld(TimePoint aNow)
{
  const auto isOld = [&](const Added& aAdded) {
    return aAdded.mAt + mSettings.mRetention <= aNow ||
           mByAge.size() > mSettings.mMaxOrigins;
  };
  while (!mByAge.empty() && isOld(mByAge.front())) {
    mOrigins.erase(mByAge.front().mKey);
    mByAge.pop_front();
  }
}

} // namespace peridothoist
