/// The state of one upstream as this entry process knows it: its reported load,
/// and the attempts that this entry itself has there.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Request/CallResults.h>

namespace peridothoist {

/// Identifies one attempt of one request.
struct AttemptKey
{
  std::uint64_t mId = 0;
  std::uint32_t mAttempt = 0;

  bool operator<(const AttemptKey& aOther) const
  {
    return mId != aOther.mId ? mId < aOther.mId : mAttempt < aOther.mAttempt;
  }
};

/// Resources that one attempt uses at an upstream, from the selection of the
/// upstream until it responded to the last call or acknowledged the
/// cancellation.
struct AttemptUsage
{
  std::uint32_t mPieces = 0;       ///< Decode memory.
  std::uint32_t mPromptTokens = 0; ///< Prefill work.
  bool mHoldsLink = false;         ///< The attempt holds a link slot.
  bool mExecuting = false;         ///< The upstream has the request's content.
  bool mIsolated = false;          ///< No other attempt may be there.
  std::string mDigest;             ///< Digest of workspace, route and body.
  TimePoint mAt;                   ///< When the upstream was selected.
};

/// State of one upstream.
class UpstreamState
{
public:
  UpstreamState(const Upstream& aConfig, UpstreamRole aRole)
    : mConfig(aConfig)
    , mRole(aRole)
  {
  }

  // Attempts at this upstream.

  void AddAttempt(const AttemptKey& aKey, AttemptUsage aUsage);
  /// Does nothing when the attempt isn't there.
  void RemoveAttempt(const AttemptKey& aKey);
  /// Returns null when the attempt isn't there.
  AttemptUsage* FindAttempt(const AttemptKey& aKey);
  void ReleaseLink(const AttemptKey& aKey);
  /// Removes all attempts.
  void ClearAttempts();
  const std::map<AttemptKey, AttemptUsage>& Attempts() const
  {
    return mAttempts;
  }
  /// Returns the number of attempts here.
  std::uint32_t AttemptCount() const { return std::uint32_t(mAttempts.size()); }
  std::uint32_t LinksUsed() const { return mLinksUsed; }
  std::uint32_t PiecesHeld() const { return mPieces; }
  std::uint64_t PromptTokens() const { return mPromptTokens; }

  /// Returns whether an isolated request runs here or the upstream is being
  /// emptied for one. No other request may be sent here then.
  bool IsReservedForIsolation() const
  {
    return mClearingForIsolation || mIsolatedCount > 0;
  }

  // Load.

  /// Takes a load report, unless it is older than the last one.
  void OnReport(const LoadReport& aReport, TimePoint aNow);
  /// Called when the engine refuses a request because it is full.
  void OnFull(std::optional<std::uint32_t> aFreePieces,
              Duration aBackoff,
              TimePoint aNow);
  void OnConnectFailed(Duration aBackoff, TimePoint aNow);
  /// Returns the reported decode memory, or the configured one before any
  /// report.
  std::uint32_t TotalPieces() const;
  /// Returns the free memory: the last reported value minus what this entry
  /// reserved since, and at most the total minus what this entry holds.
  std::uint32_t FreePieces() const;
  const LoadReport& Report() const { return mReport; }

  /// Returns whether a call broke and it isn't known since whether the
  /// upstream is alive.
  bool IsLivenessUnknown(TimePoint aNow) const
  {
    return aNow < mLivenessUnknownUntil;
  }

  /// Returns whether new requests may be sent here.
  bool AcceptsRequests(TimePoint aNow) const
  {
    return mListed && !mConfig.mIsLeaving && !mDead && aNow >= mBackoffUntil &&
           !IsLivenessUnknown(aNow);
  }

  Upstream mConfig;
  UpstreamRole mRole;
  bool mListed = true; ///< Part of the current configuration.
  bool mDead = false;  ///< Reported dead, and not reported alive since.
  /// The upstream is being emptied for an isolated request.
  bool mClearingForIsolation = false;
  TimePoint mLivenessUnknownUntil; ///< See IsLivenessUnknown().
  TimePoint mBackoffUntil;         ///< No new requests are sent before this.

private:
  std::map<AttemptKey, AttemptUsage> mAttempts;
  std::uint32_t mLinksUsed = 0;     ///< Sum over mAttempts.
  std::uint32_t mPieces = 0;        ///< Sum over mAttempts.
  std::uint64_t mPromptTokens = 0;  ///< Sum over mAttempts.
  std::uint32_t mIsolatedCount = 0; ///< Sum over mAttempts.
  LoadReport mReport;
  bool mHasReport = false;
  TimePoint mMeasuredAt; ///< When the values of mReport were measured.
};

} // namespace peridothoist
