/// Decides whether a decode engine reads a prompt itself or uses the result of
/// a prefill engine. Reading it itself transfers no memory and needs no handle
/// that could expire, but it is slower and delays the engine's other streams.
/// The decode engine therefore reads only short prompts, and others while it
/// has few requests or the prefill engine is busy.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/UpstreamLoadTracker.h>

#include <algorithm>

namespace peridothoist {

/// Settings of PrefillPlanner.
struct PrefillPlannerSettings
{
  /// Minimum number of requests at the decode engine for using a prefill
  /// engine.
  std::uint32_t mMinDecodeRequests = 0;
  /// A prefill engine with this many prefills is not used; a slow one with as
  /// many fewer as its work takes longer.
  std::uint32_t mMaxPrefills = 6;
  /// Prompts with fewer tokens are always read by the decode engine.
  std::uint64_t mMinPromptTokens = 256;
  /// Memory is reserved before the prompt is read when at least this fraction
  /// of the engine's memory is used; and always when the load reports of other
  /// VMs are old.
  double mReserveFraction = 0.6;
};

/// Inputs of PrefillPlanner::ShouldUsePrefillEngine().
struct PrefillQuery
{
  std::uint64_t mPromptTokens = 0;
  UpstreamWork mDecodeWork;                 ///< Open work at the decode engine.
  std::optional<UpstreamWork> mPrefillWork; ///< Empty: no prefill engine.
  double mPrefillFactor = 1; ///< Duration of work at that engine.
};

/// Plans the use of prefill engines and of memory reservations.
class PrefillPlanner
{
public:
  using Settings = PrefillPlannerSettings;

  explicit PrefillPlanner(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Returns whether a prefill engine is to read the prompt.
  bool ShouldUsePrefillEngine(const PrefillQuery& aQuery) const
  {
    return aQuery.mPrefillWork &&
           aQuery.mPromptTokens >= mSettings.mMinPromptTokens &&
           aQuery.mDecodeWork.mRequests >= mSettings.mMinDecodeRequests &&
           aQuery.mPrefillWork->mRequests *
               std::max(1.0, aQuery.mPrefillFactor) <
             mSettings.mMaxPrefills;
  }

  /// Returns whether memory is to be reserved at the decode engine first.
  bool ShouldReserve(const UpstreamWork& aDecodeWork,
                     std::uint64_t aMemoryTokens,
                     bool aPeerLoadIsOld) const
  {
    const double used = static_cast<double>(aDecodeWork.mTokens);
    return aPeerLoadIsOld || used >= mSettings.mReserveFraction *
                                       static_cast<double>(aMemoryTokens);
  }

private:
  Settings mSettings;
};

} // namespace peridothoist
