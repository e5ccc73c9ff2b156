/// Whether a VM may act on the view it holds.
///
/// A confirmation is a point in time t on this process's clock, with the claim
/// "every change accepted before t is covered by this stamp". The view is
/// fresh while now < t + mStalenessLimit for the latest t whose stamp the held
/// one covers. A change accepted at T is therefore acted against until
/// T + mStalenessLimit at most, wherever the confirmation came from:
///   (a) a read of the platform proves it for the time before the read was
///       *sent*;
///   (b) a peer's reply proves it for the time before our request was sent,
///       less the age that the peer's own confirmation has. Transit counts as
///       age, so ages add up along a path and never reset;
///   (c) an agreement (OutageAgreement) proves it for the oldest word in it.
/// Only replies confirm. A request that came in may have waited in a buffer
/// while this process was paused, and its age says nothing about that; its
/// changes are taken, its age is not.
///
/// A confirmation with a stamp that the held view doesn't cover yet is kept
/// and counts from the moment the view has caught up. While it is pending and
/// newer it doesn't withdraw the older confirmation: the limit does that.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Reason.h>
#include <Peridothoist/View/ViewStamp.h>

namespace peridothoist {

/// Limits of a FreshView.
struct FreshViewSettings
{
  /// Flag viewStalenessLimit: a view without a confirmation for this long
  /// isn't acted on.
  Duration mStalenessLimit = std::chrono::seconds(2);
  Duration mRetryAfter = std::chrono::seconds(1); ///< Told when refusing.
};

/// Why a view may not be acted on.
struct StaleViewRefusal
{
  Reason mReason;         ///< Stale, with a text for the caller.
  Duration mRetryAfter{}; ///< When to come back.
};

/// Holds a view's stamp and its latest confirmation.
class FreshView
{
public:
  using Settings = FreshViewSettings;

  explicit FreshView(const Settings& aSettings);

  /// The process now holds the view aStamp. False, and nothing changes, when
  /// any part of it is lower than what is held.
  bool Hold(const ViewStamp& aStamp);

  /// (a) A read of the platform that was sent at aSent found aStamp.
  void ConfirmByPlatform(const ViewStamp& aStamp, TimePoint aSent);

  /// (b) A reply to a request sent at aSent: the peer holds aStamp, and its
  /// last confirmation was aAge old when it replied.
  void ConfirmByPeer(const ViewStamp& aStamp, Duration aAge, TimePoint aSent);

  /// (c) Every member agreed at aAsOf that nothing beyond aStamp was accepted.
  /// Does nothing before the first confirmation by (a) or (b): a process that
  /// just started doesn't know yet who has to agree.
  void ConfirmByAgreement(const ViewStamp& aStamp, TimePoint aAsOf);

  /// Empty when the view may be acted on at aNow. Call it with the clock read
  /// last, directly before what it guards.
  std::optional<StaleViewRefusal> MayAct(TimePoint aNow) const;

  /// The same as a truth value.
  bool IsFresh(TimePoint aNow) const;

  /// How old the last confirmation is; empty when there never was one.
  std::optional<Duration> Age(TimePoint aNow) const;

  /// Until when the view may be acted on unless it is confirmed again.
  std::optional<TimePoint> FreshUntil() const;

  /// The time for which the last confirmation holds.
  const std::optional<TimePoint>& ConfirmedAt() const { return mConfirmed; }

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
  ViewStamp mStamp;                     ///< Never decreases in any part.
  std::optional<TimePoint> mConfirmed;  ///< Never moves back.
  std::optional<Confirmation> mPending; ///< Newest one not yet covered.
};

} // namespace peridothoist
