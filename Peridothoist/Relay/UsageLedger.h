/// Spends workspaces' allowances over all VMs together: a token bucket of the
/// rate and the burst, and besides it a bound on every window. Every VM counts
/// what it and the others granted, its own grants at once and the others' as it
/// hears of them. For a VM that it doesn't hear, it sets that VM's equal part
/// aside, since that VM may be spending.
///
/// Over any window all VMs together grant at most rate x window + burst and
/// what they granted unheard of each other, which is bounded by the interval
/// between their messages. A VM that started a moment ago doesn't know what
/// was granted before and lets the allowance grow from nothing, so a restart
/// of all VMs gives nobody a second burst. The bucket alone would hold a window
/// to the same; but news that come late would fill it while it is full.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayConfiguration.h>

#include <deque>

namespace peridothoist {

/// Net tokens that one VM granted since its start, by workspace.
using GrantedTokens = std::map<std::string, std::int64_t>;

/// Settings of a UsageLedger.
struct UsageLedgerSettings
{
  Duration mWindow = 8s; ///< Any span of this length counts.
  /// This part of the burst is kept for small requests: a few large ones less
  /// leave room for many of them.
  double mKeptForSmall = 0.05;
  /// A small request takes at most this part of a burst.
  double mSmallPart = 0.02;
};

/// One VM's view of all workspaces' allowances.
class UsageLedger
{
public:
  using Settings = UsageLedgerSettings;

  /// aNow: the start of this VM's knowledge.
  UsageLedger(const Settings& aSettings, TimePoint aNow);

  /// Takes limits from a configuration. A lower one holds at once.
  void SetWorkspaces(const std::map<std::string, RelayWorkspace>& aWorkspaces);

  /// The part of the whole that VMs which hear each other may spend, this one
  /// among them: 1 when all are heard.
  void SetHeardPart(double aPart) { mPart = aPart; }

  /// Takes aTokens and gives nothing; else how long until they could be had. A
  /// workspace without a limit always gets them.
  std::optional<Duration> Spend(const std::string& aWorkspace,
                                double aTokens,
                                TimePoint aNow);

  /// A request that took aTokens has not run.
  void Refund(const std::string& aWorkspace, double aTokens, TimePoint aNow);

  /// What another VM's instance granted since its start. The first word of an
  /// instance is where counting starts.
  void OnPeerGranted(const std::string& aInstance,
                     const GrantedTokens& aGranted,
                     TimePoint aNow);

  /// An instance is gone; its grants need no more counting.
  void ForgetPeer(const std::string& aInstance) { mPeers.erase(aInstance); }

  /// Tokens that could be had now, by workspace with a limit.
  std::map<std::string, double> Left(TimePoint aNow);

  /// What this VM granted, for the others.
  const GrantedTokens& Granted() const { return mGranted; }

private:
  struct Grant
  {
    TimePoint mAt;
    double mTokens = 0; ///< Below 0: given back.
  };
  struct Account
  {
    double mRate = 0;          ///< Tokens a second, of the whole.
    double mBurst = 0;         ///< Tokens, of the whole.
    std::deque<Grant> mGrants; ///< Of the window, in order.
    double mSum = 0;           ///< Over mGrants.
    double mLevel = 0;         ///< Of the bucket; below 0 after late news.
    TimePoint mLevelAt;        ///< As of which mLevel is.
  };

  Account* Limited(const std::string& aWorkspace);
  void Add(Account& aAccount, double aTokens, TimePoint aNow) const;
  void Drop(Account& aAccount, TimePoint aNow) const;
  void Fill(Account& aAccount, TimePoint aNow) const;
  double LimitOf(const Account& aAccount, TimePoint aNow) const;
  double KeptFrom(const Account& aAccount, double aTokens) const;
  Duration WaitFor(const Account& aAccount,
                   double aExcess,
                   TimePoint aNow) const;

  Settings mSettings;
  TimePoint mStart;
  std::map<std::string, Account> mAccounts;
  std::map<std::string, GrantedTokens> mPeers; ///< By instance, as last heard.
  GrantedTokens mGranted;
  double mPart = 1;
};

} // namespace peridothoist
