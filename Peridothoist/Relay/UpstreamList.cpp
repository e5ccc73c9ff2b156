#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/UpstreamList.h>

#include <xxhash.h>

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

namespace {

std::uint64_t
DigestOf(const std::map<std::string, UpstreamList::Entry>& aEntries)
{
  std::string text;
  for (const auto& [id, entry] : aEntries) {
    const RelayUpstream& upstream = entry.mUpstream;
    for (const std::string& part :
         { id, upstream.mService, upstream.mAddress, upstream.mZone }) {
      text += part + '\n';
    }
    text += std::to_string(static_cast<int>(upstream.mStage)) + ' ' +
            std::to_string(upstream.mSlots) + ' ' +
            std::to_string(upstream.mIsLeaving ? 1 : 0) + ' ' +
            std::to_string(upstream.mIncarnationId) + '\n';
  }
  return XXH3_64bits(text.data(), text.size());
}

} // namespace

std::vector<UpstreamLoss>
UpstreamList::OnListRead(std::vector<RelayUpstream> aUpstreams, TimePoint aNow)
{
  if (mUnreachable) {
    mUnreachable = false;
    mKeepMissingUntil = aNow + mSettings.mMissingGracePeriod;
  }
  mListedAt = aNow;
  std::vector<UpstreamLoss> lost;
  std::map<std::string, Entry> entries;
  for (RelayUpstream& it : aUpstreams) {
    const RelayUpstream* known = Find(it.mId);
    if (known != nullptr && known->mIncarnationId != it.mIncarnationId) {
      lost.push_back({ it.mId, known->mIsLeaving });
    }
    const std::string id = it.mId;
    entries[id] = { std::move(it), false };
  }
  for (auto& [id, entry] : mEntries) {
    if (entries.count(id) > 0) {
      continue;
    }
    if (aNow < mKeepMissingUntil) {
      entry.mIsMissing = true;
      entries[id] = std::move(entry);
      continue;
    }
    lost.push_back({ id, entry.mUpstream.mIsLeaving });
  }
  mEntries = std::move(entries);
  mDigest = DigestOf(mEntries);
  return lost;
}

const RelayUpstream*
UpstreamList::Find(const std::string& aId) const
{
  const auto it = mEntries.find(aId);
  return it == mEntries.end() ? nullptr : &it->second.mUpstream;
}

bool
UpstreamList::IsMissing(const std::string& aId) const
{
  const auto it = mEntries.find(aId);
  return it != mEntries.end() && it->second.mIsMissing;
}

} // namespace peridothoist
