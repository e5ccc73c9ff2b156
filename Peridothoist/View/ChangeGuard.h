/// Decides whether a control process may accept a change (an operator's, or a
/// new share plan). It may only if every VM that acts by rule (c) of the
/// freshness rule (see OutageAgreement) must learn of the change.
///
/// A set S of VMs that is cut off from the platform and acts by rule (c)
/// receives a response from every VM that it knows. The check ensures that S
/// contains a VM that exchanged members with this process, so that S learns of
/// this process:
///   - at least one VM of every listed zone responded within the limit;
///   - every silent VM knows a VM that responded (or this one), so that it
///     needs that VM's report and learns of this process. That is certain if
///     the silent VM once exchanged members with this process; or if one that
///     responded has been a member for longer than the silent one has not been
///     seen plus the lag of the platform's list; or, for a VM that was never
///     seen by any VM, if one that responded was known as early as it.
///     Without this rule, new VMs in every zone could be enough to accept a
///     change while all older VMs are cut off together.
/// All ages are as this process knows them; clocks are never compared.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// What the check needs to know of one listed VM, this one included.
struct ChangeGuardMember
{
  std::string mVm;
  std::string mZone;
  bool mIsSelf = false;
  bool mIsListed = true;   ///< On the platform's list, or learned by exchange.
  Duration mKnownFor{ 0 }; ///< Time since any VM first knew it.
  /// Time since it last responded to this process itself; empty: never.
  std::optional<Duration> mLastExchangeAge;
  /// Time since any VM last received a message from it; empty: never.
  std::optional<Duration> mLastSeenAge;
};

/// Limits of a ChangeGuard.
struct ChangeGuardSettings
{
  Duration mExchangeTimeout = std::chrono::seconds(2);
  /// Lag of the platform's list. To be sure that a silent VM knew another one,
  /// that one must have been known for longer than the silence by this time.
  Duration mListLag = std::chrono::seconds(30);
};

/// The result of a check.
struct ChangeGuardResult
{
  bool mIsAllowed = false;    ///< The change may be accepted.
  bool mIsOverridden = false; ///< It may be, but only by the operator's reason.
  std::vector<std::string> mSilentZones; ///< Sorted, without duplicates.
  /// Silent VMs that may not know any VM that responded.
  std::vector<std::string> mSilentVms;
};

/// Checks whether a change may be accepted.
class ChangeGuard
{
public:
  using Settings = ChangeGuardSettings;

  explicit ChangeGuard(const Settings& aSettings);

  /// aOverrideReason is the operator's written reason, or empty for none.
  ChangeGuardResult Check(const std::vector<ChangeGuardMember>& aMembers,
                          std::string_view aOverrideReason) const;

private:
  bool HasResponded(const ChangeGuardMember& aMember) const;
  /// Returns whether a VM is silent and may not know any VM that responded.
  bool MayBeUnaware(const ChangeGuardMember& aMember,
                    Duration aLongestKnownFor) const;

  Settings mSettings;
};

} // namespace peridothoist
