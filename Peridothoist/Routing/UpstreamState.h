/// What this entry knows of one upstream: its reported load, and what this
/// entry itself put there.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Request/Answers.h>

namespace peridothoist {

/// Names one attempt of one request.
struct AttemptKey
{
  std::uint64_t mId = 0;
  std::uint32_t mAttempt = 0;

  bool operator<(const AttemptKey& aOther) const
  {
    return mId != aOther.mId ? mId < aOther.mId : mAttempt < aOther.mAttempt;
  }
};

/// What one attempt has at an upstream, from the choice until the upstream
/// answered its last call or acknowledged its cancel.
struct Presence
{
  std::uint32_t mPieces = 0;       ///< Decode memory.
  std::uint32_t mPromptTokens = 0; ///< Prefill work.
  bool mLink = false;              ///< Holds a link slot.
  bool mExecuting = false;         ///< Content of the request is there.
  bool mIsolated = false;          ///< Nothing else may be there.
  std::string mDigest;             ///< Of workspace, route and body.
  TimePoint mAt;                   ///< When it was placed.
};

/// One upstream.
class UpstreamState
{
public:
  UpstreamState(const Upstream& aConfig, UpstreamRole aRole)
    : mConfig(aConfig)
    , mRole(aRole)
  {
  }

  // Placement
  void Join(const AttemptKey& aKey, Presence aPresence);
  /// Harmless when it isn't there.
  void Leave(const AttemptKey& aKey);
  Presence* Find(const AttemptKey& aKey);
  void ReleaseLink(const AttemptKey& aKey);
  void Clear();
  const std::map<AttemptKey, Presence>& Present() const { return mPresent; }
  std::uint32_t InFlight() const { return std::uint32_t(mPresent.size()); }
  std::uint32_t LinksUsed() const { return mLinks; }
  std::uint32_t PiecesHeld() const { return mPieces; }
  std::uint64_t PromptTokens() const { return mPromptTokens; }

  /// An isolated request is here, or the upstream is being cleared for one.
  bool IsWithheld() const { return mClearing || mIsolatedCount > 0; }

  // Load
  void OnReport(const LoadReport& aReport, TimePoint aNow);
  /// The engine said that it is full.
  void OnFull(std::optional<std::uint32_t> aFreePieces,
              Duration aBackoff,
              TimePoint aNow);
  void OnConnectFailed(Duration aBackoff, TimePoint aNow);
  std::uint32_t TotalPieces() const;
  /// Free memory: the last report less what was reserved here since, and
  /// never more than the total less what is held here.
  std::uint32_t FreePieces() const;
  const LoadReport& Report() const { return mReport; }

  /// A call broke, and no sign of life or death came since.
  bool IsDoubtful(TimePoint aNow) const { return aNow < mDoubtfulUntil; }

  /// Whether new work may be sent here at all.
  bool TakesWork(TimePoint aNow) const
  {
    return mListed && !mConfig.mLeaving && !mDead && aNow >= mBackoffUntil &&
           !IsDoubtful(aNow);
  }

  Upstream mConfig;
  UpstreamRole mRole;
  bool mListed = true;      ///< In the configuration in force.
  bool mDead = false;       ///< Reported dead and not alive again.
  bool mClearing = false;   ///< Being emptied for an isolated request.
  TimePoint mDoubtfulUntil; ///< See IsDoubtful().
  TimePoint mBackoffUntil;  ///< No new work before this.

private:
  std::map<AttemptKey, Presence> mPresent;
  std::uint32_t mLinks = 0;         ///< Sum over mPresent.
  std::uint32_t mPieces = 0;        ///< Sum over mPresent.
  std::uint64_t mPromptTokens = 0;  ///< Sum over mPresent.
  std::uint32_t mIsolatedCount = 0; ///< Sum over mPresent.
  LoadReport mReport;
  bool mHasReport = false;
  TimePoint mMeasuredAt; ///< What the report describes.
};

} // namespace peridothoist
