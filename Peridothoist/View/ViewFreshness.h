/// Decides whether a VM may act on the view it holds.
///
/// A confirmation is a point in time t on this process's clock for which it is
/// known that every change accepted before t is covered by a stamp. The view
/// is fresh while now < t + mStalenessLimit, for the latest t whose stamp is
/// covered by the held one. A VM therefore acts without a change that was
/// accepted at T until T + mStalenessLimit at most, whatever the source of the
/// confirmation:
///   (a) a read of the platform confirms the time before the read was *sent*;
///   (b) a peer's reply confirms the time before our request was sent, less
///       the age of the peer's own confirmation. The time in transit counts as
///       age, so ages add up along a path and never reset;
///   (c) an agreement (OutageAgreement) confirms the time of the oldest report
///       in it.
/// Only replies confirm. An incoming request may have waited in a buffer while
/// this process was paused, which its age doesn't include. Its changes are
/// applied, its age is ignored.
///
/// A confirmation with a stamp that the held view doesn't cover yet is kept,
/// and counts from the moment when the view covers it. Until then the older
/// confirmation stays valid up to its limit.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Reason.h>
#include <Peridothoist/View/ViewStamp.h>

namespace peridothoist {

/// Limits of a ViewFreshness.
struct ViewFreshnessSettings
{
  /// Flag viewStalenessLimit: the time after the last confirmation from which
  /// the view may not be acted on.
  Duration mStalenessLimit = std::chrono::seconds(2);
  Duration mRetryAfter = std::chrono::seconds(1); ///< Sent with refusals.
};

/// Why a view may not be acted on.
struct StaleViewRefusal
{
  Reason mReason;         ///< Stale, with a text for the caller.
  Duration mRetryAfter{}; ///< When the caller should retry.
};

/// Holds a view's stamp and its latest confirmation.
class ViewFreshness
{
public:
  using Settings = ViewFreshnessSettings;

  explicit ViewFreshness(const Settings& aSettings);

  /// Called when the process holds the view aStamp. Returns false and does
  /// nothing when the version or the epoch is lower than the held one.
  bool AdvanceStamp(const ViewStamp& aStamp);

  /// (a) Confirms by a read of the platform that was sent at aSent and found
  /// aStamp.
  void ConfirmByPlatform(const ViewStamp& aStamp, TimePoint aSent);

  /// (b) Confirms by a reply to a request that was sent at aSent. The peer
  /// holds aStamp, and its last confirmation was aAge old when it replied.
  void ConfirmByPeer(const ViewStamp& aStamp, Duration aAge, TimePoint aSent);

  /// (c) Confirms by an agreement of all members that no change beyond aStamp
  /// was accepted until aAsOf. Does nothing before the first confirmation by
  /// (a) or (b): a process that just started doesn't know all members yet.
  void ConfirmByAgreement(const ViewStamp& aStamp, TimePoint aAsOf);

  /// Returns why the view may not be acted on at aNow, or nullopt if it may
  /// be. Read the clock directly before the guarded action.
  std::optional<StaleViewRefusal> CheckFreshness(TimePoint aNow) const;

  /// Returns whether the view may be acted on at aNow.
  bool IsFresh(TimePoint aNow) const;

  /// Returns the age of the last confirmation, or nullopt before the first.
  std::optional<Duration> Age(TimePoint aNow) const;

  /// Returns the end of the time in which the view may be acted on if it isn't
  /// confirmed again.
  std::optional<TimePoint> FreshUntil() const;

  /// Returns the time up to which the last confirmation covers all changes.
  const std::optional<TimePoint>& ConfirmedAt() const { return mConfirmedAt; }

  const ViewStamp& Stamp() const { return mStamp; }
  const Settings& GetSettings() const { return mSettings; }

private:
  struct Confirmation
  {
    ViewStamp mStamp;
    TimePoint mAsOf;
  };

  void Confirm(const Confirmation& aConfirmation);

  Settings mSettings;
  ViewStamp mStamp; ///< Neither version nor epoch ever decreases.
  std::optional<TimePoint> mConfirmedAt; ///< Never decreases.
  /// Latest confirmation whose stamp the held view doesn't cover yet.
  std::optional<Confirmation> mPending;
};

} // namespace peridothoist
