/// Whether a control process may accept a change (an operator's, or a new
/// share plan), so that VMs that act by rule (c) can't miss it.
///
/// A set S of VMs that is cut off from the platform and acts by rule (c) gets
/// an answer from every VM it knows of. The gate makes sure that S contains a
/// VM that this process exchanged members with, so that S learns of it:
///   - at least one VM of every listed zone answered within the limit;
///   - every VM that is silent knows a VM that answered (or this one), so that
///     it counts on its word and hears of us. It does if it once exchanged
///     members with this process; or if one that answered was a member for
///     longer than the silent one was not heard, and the lag of the
///     platform's list besides; or, for a VM that nobody ever heard, if one
///     that answered was known as early as it.
///     Without this, newcomers in every zone could vouch for each other
///     while all older VMs are cut off together.
/// All ages are as this process knows them: nobody compares clocks.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// What the gate needs to know of one listed VM, itself included.
struct ChangeGuardMember
{
  std::string mVm;
  std::string mZone;
  bool mSelf = false;
  bool mListed = true;     ///< On the platform's list, or learned by exchange.
  Duration mKnownFor{ 0 }; ///< Since anyone first knew it.
  /// Since it last answered this process itself; empty: never did.
  std::optional<Duration> mLastExchangeAge;
  /// Since anyone last heard it; empty: nobody ever did.
  std::optional<Duration> mLastSeenAge;
};

/// Limits of a ChangeGate.
struct ChangeGateSettings
{
  Duration mExchangeLimit = std::chrono::seconds(2);
  /// How much longer a VM must have been known than another is silent to be
  /// sure that the other one knew it: lag of the platform's list.
  Duration mListLag = std::chrono::seconds(30);
};

/// The gate's answer.
struct GateResult
{
  bool mOpen = false;
  bool mOverridden = false;              ///< Open only by the given reason.
  std::vector<std::string> mSilentZones; ///< In order, without repeats.
  std::vector<std::string> mSilentVms;   ///< That nobody here vouches for.
};

/// Decides about one change.
class ChangeGate
{
public:
  using Settings = ChangeGateSettings;

  explicit ChangeGate(const Settings& aSettings);

  /// aOverrideReason is the operator's written reason; empty: none.
  GateResult Check(const std::vector<ChangeGuardMember>& aMembers,
                   std::string_view aOverrideReason) const;

private:
  bool HasAnswered(const ChangeGuardMember& aMember) const;
  bool IsUnreached(const ChangeGuardMember& aMember, Duration aLongestKnownFor) const;

  Settings mSettings;
};

} // namespace peridothoist
