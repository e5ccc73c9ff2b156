/// Decides whether a decode engine reads a prompt itself or takes the result
/// of a prefill engine. Reading it itself moves no memory and can't lose a
/// handle, but is slower and delays the engine's other streams; so it is done
/// while the engine has little to read.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/LoadBoard.h>

namespace peridothoist {

/// Settings of a RelayPlanner.
struct RelayPlanSettings
{
  /// Requests at the decode engine from which on a prefill engine reads.
  std::uint32_t mSplitFrom = 0;
  /// Prefills at a prefill engine from which on it is no help.
  std::uint32_t mMostPrefills = 6;
  /// Shorter prompts are always read by the decode engine, in tokens.
  std::uint64_t mLeastPrompt = 256;
  /// Memory is reserved before the prompt is read from this part of the
  /// engine's memory on; and always where news of other VMs' work are old.
  double mReserveFrom = 0.6;
};

/// What the decision looks at.
struct PlanQuestion
{
  std::uint64_t mPromptTokens = 0;
  UpstreamWork mAtDecode;
  std::optional<UpstreamWork> mAtPrefill; ///< Empty: no prefill engine.
};

/// Makes the decision.
class RelayPlanner
{
public:
  using Settings = RelayPlanSettings;

  explicit RelayPlanner(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Whether a prefill engine is to read the prompt.
  bool IsSplit(const PlanQuestion& aQuestion) const
  {
    return aQuestion.mAtPrefill &&
           aQuestion.mPromptTokens >= mSettings.mLeastPrompt &&
           aQuestion.mAtDecode.mRequests >= mSettings.mSplitFrom &&
           aQuestion.mAtPrefill->mRequests < mSettings.mMostPrefills;
  }

  /// Whether memory is to be reserved at the decode engine first.
  bool IsReserved(const UpstreamWork& aAtDecode,
                  std::uint64_t aMemoryTokens,
                  bool aNewsAreOld) const
  {
    const double used = static_cast<double>(aAtDecode.mTokens);
    return aNewsAreOld ||
           used >= mSettings.mReserveFrom * static_cast<double>(aMemoryTokens);
  }

private:
  Settings mSettings;
};

} // namespace peridothoist
