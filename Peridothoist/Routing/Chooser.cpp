#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Routing/Chooser.h>

#include <algorithm>
#include <array>

namespace peridothoist {

namespace {

/// Number of candidates that are scored when there are more.
constexpr std::size_t kSampleSize = 16;
/// Costs within this fraction of the lowest one count as equal.
constexpr double kNearEqualFraction = 0.15;
/// Fraction of the prompt that is left to prefill when its prefix is cached.
constexpr double kUncachedFraction = 0.2;
/// Prompt length that is assumed for a queued request.
constexpr double kTypicalPromptTokens = 2000;
/// Cost that is added for an upstream in another zone, in the unit of the
/// role's cost function.
constexpr double kCrossZoneCost = 0.1;

/// The strategy "cost": selects the upstream with the lowest estimated cost.
/// Among near-equal costs it takes the better of two random candidates.
class CostStrategy : public Chooser
{
public:
  // See: Chooser
  UpstreamState* Choose(const std::vector<UpstreamState*>& aCandidates,
                        const ChoiceQuery& aQuery,
                        Random& aRandom) override
  {
    mScored.clear();
    if (aCandidates.size() <= kSampleSize) {
      for (UpstreamState* it : aCandidates) {
        Score(it, aQuery);
      }
    } else {
      ScoreSample(aCandidates, aQuery, aRandom);
    }
    return ChooseAmongNearEqual(aRandom);
  }

private:
  struct Scored
  {
    UpstreamState* mUpstream;
    double mCost;
  };

  using CostFunction = double (CostStrategy::*)(const UpstreamState&,
                                                const ChoiceQuery&) const;

  /// Scores a random sample, and all candidates that probably have the prefix
  /// cached.
  void ScoreSample(const std::vector<UpstreamState*>& aCandidates,
                   const ChoiceQuery& aQuery,
                   Random& aRandom)
  {
    for (std::size_t n = 0; n < kSampleSize; ++n) {
      Score(aCandidates[aRandom.UniformBelow(aCandidates.size())], aQuery);
    }
    for (UpstreamState* it : aCandidates) {
      if (aQuery.mHints->IsLikelyCached(aQuery.mPrefixHash,
                                        it->mConfig.mName)) {
        Score(it, aQuery);
      }
    }
  }

  void Score(UpstreamState* aUpstream, const ChoiceQuery& aQuery)
  {
    static constexpr std::array<CostFunction, 3> kCosts = {
      &CostStrategy::PrefillCost,
      &CostStrategy::DecodeCost,
      &CostStrategy::PlainCost
    };
    const CostFunction cost =
      kCosts[static_cast<std::size_t>(aUpstream->mRole)];
    const bool isSameZone = aUpstream->mConfig.mZone == aQuery.mZone;
    const double zoneCost = isSameZone ? 0.0 : kCrossZoneCost;
    mScored.push_back(
      { aUpstream, (this->*cost)(*aUpstream, aQuery) + zoneCost });
  }

  /// Returns the number of prompts of typical length that are left to prefill:
  /// those placed at the upstream, its queued requests and the uncached
  /// fraction of this prompt.
  double PrefillCost(const UpstreamState& aUpstream,
                     const ChoiceQuery& aQuery) const
  {
    const bool isCached = aQuery.mHints != nullptr &&
                          aQuery.mHints->IsLikelyCached(
                            aQuery.mPrefixHash, aUpstream.mConfig.mName);
    const double own =
      aQuery.mPromptTokens * (isCached ? kUncachedFraction : 1.0);
    const double placed = static_cast<double>(aUpstream.PromptTokens());
    return (own + placed) / kTypicalPromptTokens + aUpstream.Report().mQueued;
  }

  /// Returns the used fraction of the decode memory.
  double DecodeCost(const UpstreamState& aUpstream,
                    const ChoiceQuery& /*aQuery*/) const
  {
    const double total = std::max<std::uint32_t>(1, aUpstream.TotalPieces());
    return 1.0 - aUpstream.FreePieces() / total;
  }

  /// Returns the number of calls at the upstream: the larger of this entry's
  /// own and the reported number.
  double PlainCost(const UpstreamState& aUpstream,
                   const ChoiceQuery& /*aQuery*/) const
  {
    const LoadReport& report = aUpstream.Report();
    return std::max(aUpstream.AttemptCount(), report.mRunning + report.mQueued);
  }

  /// Returns the better of two random candidates whose cost is near the lowest.
  UpstreamState* ChooseAmongNearEqual(Random& aRandom)
  {
    double best = mScored.front().mCost;
    for (const Scored& it : mScored) {
      best = std::min(best, it.mCost);
    }
    const double limit =
      best + std::max(best * kNearEqualFraction, kNearEqualFraction / 2);
    mScored.erase(std::remove_if(mScored.begin(),
                                 mScored.end(),
                                 [limit](const Scored& aScored) {
                                   return aScored.mCost > limit;
                                 }),
                  mScored.end());
    const Scored& one = mScored[aRandom.UniformBelow(mScored.size())];
    const Scored& two = mScored[aRandom.UniformBelow(mScored.size())];
    return one.mCost <= two.mCost ? one.mUpstream : two.mUpstream;
  }

  std::vector<Scored> mScored; ///< A member to reuse its allocation.
};

/// The strategy "round_robin": takes the candidates in turn, whatever their
/// load.
class RoundRobinStrategy : public Chooser
{
public:
  // See: Chooser
  UpstreamState* Choose(const std::vector<UpstreamState*>& aCandidates,
                        const ChoiceQuery& /*aQuery*/,
                        Random& /*aRandom*/) override
  {
    return aCandidates[mNext++ % aCandidates.size()];
  }

private:
  std::size_t mNext = 0;
};

/// The strategy "least_loaded": selects the lowest load by the last load
/// reports alone.
class LeastLoadedStrategy : public Chooser
{
public:
  // See: Chooser
  UpstreamState* Choose(const std::vector<UpstreamState*>& aCandidates,
                        const ChoiceQuery& /*aQuery*/,
                        Random& /*aRandom*/) override
  {
    return *std::min_element(
      aCandidates.begin(),
      aCandidates.end(),
      [](const UpstreamState* aOne, const UpstreamState* aTwo) {
        return ReportedLoad(*aOne) < ReportedLoad(*aTwo);
      });
  }

private:
  static std::uint32_t ReportedLoad(const UpstreamState& aUpstream)
  {
    const LoadReport& report = aUpstream.Report();
    return report.mRunning + report.mQueued;
  }
};

template<typename Strategy>
std::unique_ptr<Chooser>
Make()
{
  return std::make_unique<Strategy>();
}

/// A strategy's name and its factory function.
struct NamedStrategy
{
  std::string_view mName;
  std::unique_ptr<Chooser> (*mMake)();
};

constexpr std::array<NamedStrategy, 3> kNamedStrategies = {
  { { "cost", &Make<CostStrategy> },
    { "round_robin", &Make<RoundRobinStrategy> },
    { "least_loaded", &Make<LeastLoadedStrategy> } }
};

} // namespace

std::unique_ptr<Chooser>
Chooser::Create(std::string_view aStrategy)
{
  for (const NamedStrategy& it : kNamedStrategies) {
    if (it.mName == aStrategy) {
      return it.mMake();
    }
  }
  return nullptr;
}

} // namespace peridothoist
