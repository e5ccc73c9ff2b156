/// Chooses one upstream among those that may take a request. The way of
/// choosing is a strategy, chosen by name.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Routing/PrefixHints.h>
#include <Peridothoist/Routing/UpstreamState.h>

namespace peridothoist {

/// What a choice looks at.
struct ChooseQuestion
{
  const PrefixHints* mHints = nullptr;
  std::uint64_t mPrefixHash = 0;
  std::uint32_t mPromptTokens = 0;
  std::string mZone; ///< Where the request or its KV cache comes from.
};

/// A strategy of choice.
class Chooser
{
public:
  virtual ~Chooser() = default;

  /// Makes a chooser by name ("cost", "round_robin", "least_loaded"); null
  /// for others.
  static std::unique_ptr<Chooser> Create(std::string_view aStrategy);

  /// Chooses one of aCandidates, which must not be empty and are all of the
  /// same role.
  virtual UpstreamState* Choose(const std::vector<UpstreamState*>& aCandidates,
                                const ChooseQuestion& aQuestion,
                                Random& aRandom) = 0;
};

} // namespace peridothoist
