/// Records which prefill engines probably have which prompt prefix cached.
/// Cache events arrive late and some are lost, so the result is only a hint.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <list>
#include <unordered_map>

namespace peridothoist {

/// Limits of PrefixHints.
struct PrefixHintsSettings
{
  /// With more prefixes, the least recently stored one is evicted.
  std::size_t mMaxPrefixes = 16384;
  /// With more upstreams, the one with the oldest report is removed.
  std::size_t mMaxUpstreamsPerPrefix = 4;
};

/// A bounded LRU map from prefix hashes to the upstreams that may have them
/// cached.
class PrefixHints
{
public:
  using Settings = PrefixHintsSettings;

  explicit PrefixHints(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Called when aUpstream reports that it cached a prefix.
  void OnStored(std::uint64_t aPrefix, const std::string& aUpstream);
  /// Called when aUpstream reports that it evicted a prefix.
  void OnEvicted(std::uint64_t aPrefix, const std::string& aUpstream);
  bool IsLikelyCached(std::uint64_t aPrefix,
                      const std::string& aUpstream) const;
  /// Returns the upstreams that probably have the prefix, oldest report first.
  const std::vector<std::string>& Holders(std::uint64_t aPrefix) const;

private:
  struct Entry
  {
    std::vector<std::string> mUpstreams; ///< Oldest first; never empty.
    std::list<std::uint64_t>::iterator mRecencyPosition; ///< In mRecency.
  };

  Settings mSettings;
  std::unordered_map<std::uint64_t, Entry> mEntries;
  std::list<std::uint64_t> mRecency; ///< Prefixes, most recently stored first.
};

} // namespace peridothoist
