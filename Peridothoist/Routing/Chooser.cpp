#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Routing/Chooser.h>

#include <algorithm>
#include <array>

namespace peridothoist {

namespace {

constexpr std::size_t kSample = 16;  ///< Candidates that are looked at.
constexpr double kNearShare = 0.15;  ///< Costs this close count as equal.
constexpr double kCachedShare = 0.2; ///< Prefill left with a cached prefix.
constexpr double kUsualPromptTokens = 2000; ///< Of a request in a queue.
constexpr double kZoneShare = 0.1; ///< Cost of crossing zones, of the usual.

/// The strategy "cost": the least estimated cost, among near equals the
/// better of two random ones.
class CostChooser : public Chooser
{
public:
  // See: Chooser
  UpstreamState* Choose(const std::vector<UpstreamState*>& aCandidates,
                        const ChooseQuestion& aQuestion,
                        Random& aRandom) override
  {
    mScored.clear();
    if (aCandidates.size() <= kSample) {
      for (UpstreamState* it : aCandidates) {
        Score(it, aQuestion);
      }
    } else {
      ScoreSample(aCandidates, aQuestion, aRandom);
    }
    return PickNearEqual(aRandom);
  }

private:
  struct Scored
  {
    UpstreamState* mUpstream;
    double mCost;
  };

  using CostFunction = double (CostChooser::*)(const UpstreamState&,
                                               const ChooseQuestion&) const;

  void ScoreSample(const std::vector<UpstreamState*>& aCandidates,
                   const ChooseQuestion& aQuestion,
                   Random& aRandom)
  {
    for (std::size_t n = 0; n < kSample; ++n) {
      Score(aCandidates[aRandom.Below(aCandidates.size())], aQuestion);
    }
    for (UpstreamState* it : aCandidates) {
      if (aQuestion.mHints->Has(aQuestion.mPrefixHash, it->mConfig.mName)) {
        Score(it, aQuestion);
      }
    }
  }

  void Score(UpstreamState* aUpstream, const ChooseQuestion& aQuestion)
  {
    static constexpr std::array<CostFunction, 3> kCosts = {
      &CostChooser::PrefillCost,
      &CostChooser::DecodeCost,
      &CostChooser::PlainCost
    };
    const CostFunction cost =
      kCosts[static_cast<std::size_t>(aUpstream->mRole)];
    const bool near = aUpstream->mConfig.mZone == aQuestion.mZone;
    const double zone = near ? 0.0 : kZoneShare;
    mScored.push_back(
      { aUpstream, (this->*cost)(*aUpstream, aQuestion) + zone });
  }

  /// Prompts ahead and this one's uncached part, in usual prompts.
  double PrefillCost(const UpstreamState& aUpstream,
                     const ChooseQuestion& aQuestion) const
  {
    const bool cached =
      aQuestion.mHints != nullptr &&
      aQuestion.mHints->Has(aQuestion.mPrefixHash, aUpstream.mConfig.mName);
    const double own = aQuestion.mPromptTokens * (cached ? kCachedShare : 1.0);
    const double here = static_cast<double>(aUpstream.PromptTokens());
    return (own + here) / kUsualPromptTokens + aUpstream.Report().mQueued;
  }

  /// The used share of memory.
  double DecodeCost(const UpstreamState& aUpstream,
                    const ChooseQuestion& /*aQuestion*/) const
  {
    const double total = std::max<std::uint32_t>(1, aUpstream.TotalPieces());
    return 1.0 - aUpstream.FreePieces() / total;
  }

  /// Calls there, from here or as reported.
  double PlainCost(const UpstreamState& aUpstream,
                   const ChooseQuestion& /*aQuestion*/) const
  {
    const LoadReport& report = aUpstream.Report();
    return std::max(aUpstream.InFlight(), report.mRunning + report.mQueued);
  }

  UpstreamState* PickNearEqual(Random& aRandom)
  {
    double best = mScored.front().mCost;
    for (const Scored& it : mScored) {
      best = std::min(best, it.mCost);
    }
    const double limit = best + std::max(best * kNearShare, kNearShare / 2);
    mScored.erase(std::remove_if(mScored.begin(),
                                 mScored.end(),
                                 [limit](const Scored& aScored) {
                                   return aScored.mCost > limit;
                                 }),
                  mScored.end());
    const Scored& one = mScored[aRandom.Below(mScored.size())];
    const Scored& two = mScored[aRandom.Below(mScored.size())];
    return one.mCost <= two.mCost ? one.mUpstream : two.mUpstream;
  }

  std::vector<Scored> mScored; ///< Kept between choices to save allocations.
};

/// The strategy "round_robin": in turn, whatever the load.
class RoundRobinChooser : public Chooser
{
public:
  // See: Chooser
  UpstreamState* Choose(const std::vector<UpstreamState*>& aCandidates,
                        const ChooseQuestion& /*aQuestion*/,
                        Random& /*aRandom*/) override
  {
    return aCandidates[mNext++ % aCandidates.size()];
  }

private:
  std::size_t mNext = 0;
};

/// The strategy "least_loaded": the least load by the last report alone.
class LeastLoadedChooser : public Chooser
{
public:
  // See: Chooser
  UpstreamState* Choose(const std::vector<UpstreamState*>& aCandidates,
                        const ChooseQuestion& /*aQuestion*/,
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

/// A strategy and its name.
struct ChooseStrategy
{
  std::string_view mName;
  std::unique_ptr<Chooser> (*mMake)();
};

constexpr std::array<ChooseStrategy, 3> kStrategies = {
  { { "cost", &Make<CostChooser> },
    { "round_robin", &Make<RoundRobinChooser> },
    { "least_loaded", &Make<LeastLoadedChooser> } }
};

} // namespace

std::unique_ptr<Chooser>
Chooser::Create(std::string_view aStrategy)
{
  for (const ChooseStrategy& it : kStrategies) {
    if (it.mName == aStrategy) {
      return it.mMake();
    }
  }
  return nullptr;
}

} // namespace peridothoist
