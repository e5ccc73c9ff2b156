#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Routing/PrefixHints.h>

#include <algorithm>

namespace peridothoist {

void
PrefixHints::OnStored(std::uint64_t aPrefix, const std::string& aUpstream)
{
  auto it = mEntries.find(aPrefix);
  if (it == mEntries.end()) {
    mRecency.push_front(aPrefix);
    it = mEntries.emplace(aPrefix, Entry{ {}, mRecency.begin() }).first;
  }
  mRecency.splice(mRecency.begin(), mRecency, it->second.mRecencyPosition);
  std::vector<std::string>& upstreams = it->second.mUpstreams;
  const auto known = std::find(upstreams.begin(), upstreams.end(), aUpstream);
  if (known != upstreams.end()) {
    upstreams.erase(known);
  }
  upstreams.push_back(aUpstream);
  if (upstreams.size() > mSettings.mMaxUpstreamsPerPrefix) {
    upstreams.erase(upstreams.begin());
  }
  if (mEntries.size() > mSettings.mMaxPrefixes) {
    mEntries.erase(mRecency.back());
    mRecency.pop_back();
  }
}

void
PrefixHints::OnEvicted(std::uint64_t aPrefix, const std::string& aUpstream)
{
  const auto it = mEntries.find(aPrefix);
  if (it == mEntries.end()) {
    return;
  }
  std::vector<std::string>& upstreams = it->second.mUpstreams;
  upstreams.erase(std::remove(upstreams.begin(), upstreams.end(), aUpstream),
                  upstreams.end());
  if (upstreams.empty()) {
    mRecency.erase(it->second.mRecencyPosition);
    mEntries.erase(it);
  }
}

bool
PrefixHints::IsLikelyCached(std::uint64_t aPrefix,
                            const std::string& aUpstream) const
{
  const std::vector<std::string>& holders = Holders(aPrefix);
  return std::find(holders.begin(), holders.end(), aUpstream) != holders.end();
}

const std::vector<std::string>&
PrefixHints::Holders(std::uint64_t aPrefix) const
{
  static const std::vector<std::string> kEmpty;
  const auto it = mEntries.find(aPrefix);
  return it == mEntries.end() ? kEmpty : it->second.mUpstreams;
}

} // namespace peridothoist
