/// All upstreams that this entry knows, by name and by pool.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Routing/UpstreamState.h>

namespace peridothoist {

/// Owns the upstreams' states. An upstream that left the configuration stays
/// until nothing of this entry is there any more.
class UpstreamTable
{
public:
  /// Follows a configuration.
  void SetConfiguration(const Configuration& aConfiguration);

  /// Null when it isn't known.
  UpstreamState* Find(const std::string& aName);
  const UpstreamState* Find(const std::string& aName) const;

  /// The listed upstreams of a pool, in order of name.
  const std::vector<UpstreamState*>& InPool(const std::string& aPool) const;

  /// Forgets unlisted upstreams at which nothing is present.
  /// aKeep says whether something else still needs the upstream.
  void DropUnlisted(const std::function<bool(const std::string&)>& aKeep);

private:
  std::map<std::string, std::unique_ptr<UpstreamState>> mUpstreams;
  std::map<std::string, std::vector<UpstreamState*>> mPools;
};

} // namespace peridothoist
