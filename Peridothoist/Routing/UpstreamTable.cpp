#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Routing/UpstreamTable.h>

namespace peridothoist {

void
UpstreamTable::SetConfiguration(const Configuration& aConfiguration)
{
  mPools.clear();
  for (auto& [name, state] : mUpstreams) {
    state->mListed = false;
  }
  for (const auto& [name, upstream] : aConfiguration.mUpstreams) {
    const auto pool = aConfiguration.mPools.find(upstream.mPool);
    if (pool == aConfiguration.mPools.end()) {
      continue;
    }
    std::unique_ptr<UpstreamState>& state = mUpstreams[name];
    if (state == nullptr) {
      state = std::make_unique<UpstreamState>(upstream, pool->second.mRole);
    }
    state->mConfig = upstream;
    state->mRole = pool->second.mRole;
    state->mListed = true;
    mPools[upstream.mPool].push_back(state.get());
  }
}

UpstreamState*
UpstreamTable::Find(const std::string& aName)
{
  const auto it = mUpstreams.find(aName);
  return it == mUpstreams.end() ? nullptr : it->second.get();
}

const UpstreamState*
UpstreamTable::Find(const std::string& aName) const
{
  const auto it = mUpstreams.find(aName);
  return it == mUpstreams.end() ? nullptr : it->second.get();
}

const std::vector<UpstreamState*>&
UpstreamTable::InPool(const std::string& aPool) const
{
  static const std::vector<UpstreamState*> kEmpty;
  const auto it = mPools.find(aPool);
  return it == mPools.end() ? kEmpty : it->second;
}

void
UpstreamTable::DropUnlisted(
  const std::function<bool(const std::string&)>& aKeep)
{
  for (auto it = mUpstreams.begin(); it != mUpstreams.end();) {
    const UpstreamState& state = *it->second;
    const bool unused = !state.mListed && state.AttemptCount() == 0;
    it = unused && !aKeep(it->first) ? mUpstreams.erase(it) : std::next(it);
  }
}

} // namespace peridothoist
