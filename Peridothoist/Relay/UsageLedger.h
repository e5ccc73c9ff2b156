/// Spends workspaces' allowances over all VMs together. Every VM keeps one
/// bucket for each workspace's whole allowance, takes its own grants off at
/// once and those of other VMs as it hears of them. For a VM that it doesn't
/// hear, it sets that VM's equal part aside, since that VM may be spending.
///
/// Over any window all VMs together grant at most rate x window + burst and
/// what they granted unheard of each other, which is bounded by the interval
/// between their messages. Buckets start empty, so a restart of all VMs gives
/// nobody a second burst.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayConfiguration.h>

namespace peridothoist {

/// Net tokens that one VM granted since its start, by workspace.
using GrantedTokens = std::map<std::string, std::int64_t>;

/// One VM's view of all workspaces' allowances.
class UsageLedger
{
public:
  /// Takes limits from a configuration. A lower one holds at once.
  void SetWorkspaces(const std::map<std::string, RelayWorkspace>& aWorkspaces,
                     TimePoint aNow);

  /// The part of the whole that VMs which hear each other may spend, this one
  /// among them: 1 when all are heard.
  void SetHeardPart(double aPart, TimePoint aNow);

  /// Takes aTokens; else how long until they could be had here. A workspace
  /// without a limit always gets them.
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

  /// What this VM granted, for the others.
  const GrantedTokens& Granted() const { return mGranted; }

private:
  struct Bucket
  {
    double mRate = 0;  ///< Tokens a second, of the whole.
    double mBurst = 0; ///< Tokens, of the whole.
    double mLevel = 0; ///< Tokens; below 0 when others' grants came late.
    TimePoint mAt;     ///< When mLevel was brought up to date.
  };

  void Accrue(Bucket& aBucket, TimePoint aNow) const;
  Bucket* Limited(const std::string& aWorkspace);

  std::map<std::string, Bucket> mBuckets;
  std::map<std::string, GrantedTokens> mPeers; ///< By instance, as last heard.
  GrantedTokens mGranted;
  double mPart = 1;
};

} // namespace peridothoist
