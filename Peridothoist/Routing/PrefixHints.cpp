#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Routing/PrefixHints.h>

#include <algorithm>

namespace peridothoist {

void
PrefixHints::OnStored(std::uint64_t aPrefix, const std::string& aUpstream)
{
  auto it = mEntries.find(aPrefix);
  if (it == mEntries.end()) {
    mUses.push_front(aPrefix);
    it = mEntries.emplace(aPrefix, Entry{ {}, mUses.begin() }).first;
  }
  mUses.splice(mUses.begin(), mUses, it->second.mUse);
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
    mEntries.erase(mUses.back());
    mUses.pop_back();
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
    mUses.erase(it->second.mUse);
    mEntries.erase(it);
  }
}

bool
PrefixHints::Has(std::uint64_t aPrefix, const std::string& aUpstream) const
{
  const std::vector<std::string>& holders = Holders(aPrefix);
  return std::find(holders.begin(), holders.end(), aUpstream) != holders.end();
}

const std::vector<std::string>&
PrefixHints::Holders(std::uint64_t aPrefix) const
{
  static const std::vector<std::string> kNone;
  const auto it = mEntries.find(aPrefix);
  return it == mEntries.end() ? kNone : it->second.mUpstreams;
}

} // namespace peridothoist
