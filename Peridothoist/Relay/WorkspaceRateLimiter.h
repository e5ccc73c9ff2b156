/// Limits each workspace to its allowance across all VMs: a token bucket of the
/// rate and the burst, and a bound on the tokens granted in any window. Every
/// VM counts its own grants at once, and those of the others when it receives
/// their gossip. For VMs that are unreachable it leaves their equal share
/// unused, since they may be spending it.
///
/// In any window all VMs together grant at most rate x window + burst, plus
/// what they grant before they receive reports of each other's grants, which is
/// bounded by the interval between their messages. A VM that just started does
/// not know what was granted before, so its allowance grows from zero, and a
/// restart of all VMs gives no workspace a second burst.
///
/// Both limits are needed. The window alone would let a workspace spend a whole
/// window's tokens at once and then refuse it until the window has passed. The
/// bucket alone would bound every window equally if reports of grants arrived
/// at once; but until a late report arrives, the bucket appears fuller than it
/// is and is refilled as if those tokens were not spent.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayConfiguration.h>

#include <deque>

namespace peridothoist {

/// Net tokens that one VM granted since its start, by workspace.
using GrantedTokens = std::map<std::string, std::int64_t>;

/// Settings of WorkspaceRateLimiter.
struct WorkspaceRateLimiterSettings
{
  Duration mWindow = 8s; ///< Length of the windows that are bounded.
  /// Fraction of the burst that is reserved for small requests. Admitting
  /// slightly fewer large requests leaves tokens for many small ones.
  double mSmallRequestReserve = 0.05;
  /// A small request takes at most this fraction of the burst.
  double mSmallRequestFraction = 0.02;
};

/// Grants tokens of all workspaces' allowances, for one VM.
class WorkspaceRateLimiter
{
public:
  using Settings = WorkspaceRateLimiterSettings;

  /// aNow is the time from which this VM knows of grants.
  WorkspaceRateLimiter(const Settings& aSettings, TimePoint aNow);

  /// Sets the limits from a configuration. A lower limit applies at once.
  void SetWorkspaces(const std::map<std::string, RelayWorkspace>& aWorkspaces);

  /// Sets the fraction of all VMs that are reachable, this one included; they
  /// may spend this fraction of each allowance.
  void SetReachableFraction(double aFraction)
  {
    mReachableFraction = aFraction;
  }

  /// Charges aTokens and returns nullopt, or returns how long until they are
  /// available. A workspace without a limit is always granted them.
  std::optional<Duration> SpendOrGetWait(const std::string& aWorkspace,
                                         double aTokens,
                                         TimePoint aNow);

  /// Returns how long until aTokens are expected to be available after aAhead
  /// others were granted here; 0 for a workspace without a limit. The aAhead
  /// tokens are granted at the part of the rate that this VM has of late, since
  /// the other VMs go on spending the rest.
  Duration EstimateWait(const std::string& aWorkspace,
                        double aTokens,
                        double aAhead,
                        TimePoint aNow);

  /// Refunds aTokens to a workspace whose request did not run.
  void Refund(const std::string& aWorkspace, double aTokens, TimePoint aNow);

  /// Records what another VM's instance has granted since its start. The first
  /// report of an instance is the baseline and is not charged. Returns what was
  /// granted since the last report.
  GrantedTokens OnPeerGranted(const std::string& aInstance,
                              const GrantedTokens& aGranted,
                              TimePoint aNow);

  /// Forgets the baseline of an instance that is gone.
  void ForgetPeer(const std::string& aInstance) { mPeers.erase(aInstance); }

  /// Returns the tokens available now, for each workspace with a limit.
  std::map<std::string, double> AvailableTokens(TimePoint aNow);

  /// Returns what this VM granted, to report to other VMs.
  const GrantedTokens& Granted() const { return mGranted; }

private:
  struct Grant
  {
    TimePoint mAt;
    double mTokens = 0;  ///< Negative: a refund.
    bool mIsOwn = false; ///< Granted by this VM.
  };
  struct Account
  {
    double mRate = 0;          ///< Tokens per second, over all VMs.
    double mBurst = 0;         ///< Tokens, over all VMs.
    std::deque<Grant> mGrants; ///< Within the window, in order.
    double mSum = 0;           ///< Sum over mGrants.
    double mOwnSum = 0;        ///< Part of mSum that this VM granted.
    double mLevel = 0;         ///< Bucket level; negative after late reports.
    TimePoint mLevelTime;      ///< Time at which mLevel was computed.
  };

  Account* FindLimitedAccount(const std::string& aWorkspace);
  void AddGrant(Account& aAccount, const Grant& aGrant) const;
  void DropExpired(Account& aAccount, TimePoint aNow) const;
  void Refill(Account& aAccount, TimePoint aNow) const;
  double WindowLimit(const Account& aAccount, TimePoint aNow) const;
  double ReservedForSmall(const Account& aAccount, double aTokens) const;
  Duration TimeUntilFilled(const Account& aAccount, double aMissing) const;
  Duration TimeUntilInWindow(const Account& aAccount,
                             double aExcess,
                             TimePoint aNow) const;
  Duration TimeUntilFreed(const Account& aAccount,
                          double aExcess,
                          TimePoint aNow) const;

  Settings mSettings;
  TimePoint mStart;
  std::map<std::string, Account> mAccounts;    ///< By workspace.
  std::map<std::string, GrantedTokens> mPeers; ///< Last report, by instance.
  GrantedTokens mGranted;
  double mReachableFraction = 1; ///< Fraction of all VMs that are reachable.
};

} // namespace peridothoist
