#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/UpstreamRoster.h>

#include <array>

namespace peridothoist {

const char*
ToName(RelayStage aStage)
{
  static constexpr std::array<const char*, 3> kNames = { "plain",
                                                         "prefill",
                                                         "decode" };
  return kNames[static_cast<std::size_t>(aStage)];
}

std::vector<UpstreamLoss>
UpstreamRoster::OnListed(std::vector<RelayUpstream> aUpstreams, TimePoint aNow)
{
  if (mUnreachable) {
    mUnreachable = false;
    mKeepMissingUntil = aNow + mSettings.mReturnTime;
  }
  mListedAt = aNow;
  std::vector<UpstreamLoss> lost;
  std::map<std::string, Entry> entries;
  for (RelayUpstream& it : aUpstreams) {
    const RelayUpstream* known = Find(it.mId);
    if (known != nullptr && known->mBorn != it.mBorn) {
      lost.push_back({ it.mId, known->mLeaving });
    }
    const std::string id = it.mId;
    entries[id] = { std::move(it), false };
  }
  for (auto& [id, entry] : mEntries) {
    if (entries.count(id) > 0) {
      continue;
    }
    if (aNow < mKeepMissingUntil) {
      entry.mLapsed = true;
      entries[id] = std::move(entry);
      continue;
    }
    lost.push_back({ id, entry.mUpstream.mLeaving });
  }
  mEntries = std::move(entries);
  return lost;
}

const RelayUpstream*
UpstreamRoster::Find(const std::string& aId) const
{
  const auto it = mEntries.find(aId);
  return it == mEntries.end() ? nullptr : &it->second.mUpstream;
}

bool
UpstreamRoster::IsLapsed(const std::string& aId) const
{
  const auto it = mEntries.find(aId);
  return it != mEntries.end() && it->second.mLapsed;
}

} // namespace peridothoist
