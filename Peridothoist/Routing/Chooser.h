/// Selects one upstream among those that can accept a request. The selection
/// strategy is configured by name.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Routing/PrefixHints.h>
#include <Peridothoist/Routing/UpstreamState.h>

namespace peridothoist {

/// Inputs of one selection.
struct ChoiceQuery
{
  const PrefixHints* mHints = nullptr; ///< Prefixes that are probably cached.
  std::uint64_t mPrefixHash = 0;
  std::uint32_t mPromptTokens = 0;
  std::string mZone; ///< Availability zone of the request or its KV cache.
};

/// Interface of the selection strategies.
class Chooser
{
public:
  virtual ~Chooser() = default;

  /// Creates a strategy by name: "cost", "round_robin" or "least_loaded".
  /// Returns null for any other name.
  static std::unique_ptr<Chooser> Create(std::string_view aStrategy);

  /// Returns one of aCandidates, which must not be empty and must all have the
  /// same role.
  virtual UpstreamState* Choose(const std::vector<UpstreamState*>& aCandidates,
                                const ChoiceQuery& aQuery,
                                Random& aRandom) = 0;
};

} // namespace peridothoist
