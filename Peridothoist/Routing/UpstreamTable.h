/// Table of all upstreams that this entry process knows, by name and by pool.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Routing/UpstreamState.h>

namespace peridothoist {

/// Owns the upstreams' states. An upstream that was removed from the
/// configuration is kept until this entry has no attempts there any more.
class UpstreamTable
{
public:
  /// Updates the table to a new configuration.
  void SetConfiguration(const Configuration& aConfiguration);

  /// Returns null when the upstream isn't known.
  UpstreamState* Find(const std::string& aName);
  const UpstreamState* Find(const std::string& aName) const;

  /// Returns the configured upstreams of a pool, ordered by name.
  const std::vector<UpstreamState*>& InPool(const std::string& aPool) const;

  /// Removes upstreams that are no longer configured and have no attempts.
  /// aKeep returns whether an upstream is still needed for another reason.
  void DropUnlisted(const std::function<bool(const std::string&)>& aKeep);

private:
  std::map<std::string, std::unique_ptr<UpstreamState>> mUpstreams;
  std::map<std::string, std::vector<UpstreamState*>> mPools;
};

} // namespace peridothoist
