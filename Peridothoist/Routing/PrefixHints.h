/// Which prefill engines probably have which prompt prefix cached. Cache
/// events come late and with gaps, so this is only ever a hint.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <list>
#include <unordered_map>

namespace peridothoist {

/// Limits of the memory for hints.
struct PrefixHintsSettings
{
  std::size_t mMaxPrefixes = 16384;       ///< The least recent go first.
  std::size_t mMaxUpstreamsPerPrefix = 4; ///< The oldest go first.
};

/// A bounded map from prefixes to the upstreams that may have them.
class PrefixHints
{
public:
  using Settings = PrefixHintsSettings;

  explicit PrefixHints(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  void OnStored(std::uint64_t aPrefix, const std::string& aUpstream);
  void OnEvicted(std::uint64_t aPrefix, const std::string& aUpstream);
  bool Has(std::uint64_t aPrefix, const std::string& aUpstream) const;
  /// Holders of a prefix; empty when none is known.
  const std::vector<std::string>& Holders(std::uint64_t aPrefix) const;

private:
  struct Entry
  {
    std::vector<std::string> mUpstreams; ///< Oldest first; never empty.
    std::list<std::uint64_t>::iterator mUse;
  };

  Settings mSettings;
  std::unordered_map<std::uint64_t, Entry> mEntries;
  std::list<std::uint64_t> mUses; ///< Most recent first.
};

} // namespace peridothoist
