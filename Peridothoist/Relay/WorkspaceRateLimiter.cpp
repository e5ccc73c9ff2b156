#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/WorkspaceRateLimiter.h>

#include <Peridothoist/Core/DurationUnits.h>

#include <algorithm>

namespace peridothoist {

namespace {

/// Lower bound of the reachable fraction when a wait is computed, so that the
/// returned waits are bounded.
constexpr double kMinReachableFraction = 0.01;

/// Lower bound of this VM's part of a workspace's grants when a wait is
/// estimated. A VM that granted nothing of late gets some part again as soon as
/// requests wait there.
constexpr double kMinOwnPart = 0.1;

Duration
FromSeconds(double aSeconds)
{
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace

WorkspaceRateLimiter::WorkspaceRateLimiter(const Settings& aSettings,
                                           TimePoint aNow)
  : mSettings(aSettings)
  , mStart(aNow)
{
}

void
WorkspaceRateLimiter::SetWorkspaces(
  const std::map<std::string, RelayWorkspace>& aWorkspaces)
{
  std::map<std::string, Account> accounts;
  for (const auto& [name, workspace] : aWorkspaces) {
    Account& account = accounts[name];
    account.mLevelTime = mStart;
    const auto known = mAccounts.find(name);
    if (known != mAccounts.end()) {
      account = std::move(known->second);
    }
    account.mRate = workspace.mTokensPerSecond;
    account.mBurst = workspace.mBurstTokens;
  }
  mAccounts = std::move(accounts);
}

WorkspaceRateLimiter::Account*
WorkspaceRateLimiter::FindLimitedAccount(const std::string& aWorkspace)
{
  const auto it = mAccounts.find(aWorkspace);
  return it == mAccounts.end() || it->second.mRate <= 0 ? nullptr : &it->second;
}

void
WorkspaceRateLimiter::AddGrant(Account& aAccount, const Grant& aGrant) const
{
  aAccount.mGrants.push_back(aGrant);
  aAccount.mSum += aGrant.mTokens;
  aAccount.mOwnSum += aGrant.mIsOwn ? aGrant.mTokens : 0;
  aAccount.mLevel -= aGrant.mTokens;
}

/// Refills the bucket for the time since its last refill.
void
WorkspaceRateLimiter::Refill(Account& aAccount, TimePoint aNow) const
{
  const double passed =
    ToSeconds(std::max(Duration(0), aNow - aAccount.mLevelTime));
  const double filled =
    aAccount.mLevel + aAccount.mRate * mReachableFraction * passed;
  aAccount.mLevel = std::min(aAccount.mBurst * mReachableFraction, filled);
  aAccount.mLevelTime = std::max(aAccount.mLevelTime, aNow);
}

void
WorkspaceRateLimiter::DropExpired(Account& aAccount, TimePoint aNow) const
{
  while (!aAccount.mGrants.empty() &&
         aAccount.mGrants.front().mAt <= aNow - mSettings.mWindow) {
    const Grant& oldest = aAccount.mGrants.front();
    aAccount.mSum -= oldest.mTokens;
    aAccount.mOwnSum -= oldest.mIsOwn ? oldest.mTokens : 0;
    aAccount.mGrants.pop_front();
  }
}

double
WorkspaceRateLimiter::WindowLimit(const Account& aAccount, TimePoint aNow) const
{
  const double window = ToSeconds(mSettings.mWindow);
  const double known =
    std::min(window, ToSeconds(std::max(Duration(0), aNow - mStart)));
  const double whole = (aAccount.mRate + aAccount.mBurst / window) * known;
  return whole * mReachableFraction;
}

/// Returns the tokens that a request of aTokens must leave to small requests.
double
WorkspaceRateLimiter::ReservedForSmall(const Account& aAccount,
                                       double aTokens) const
{
  const double burst = aAccount.mBurst * mReachableFraction;
  const bool small = aTokens <= burst * mSettings.mSmallRequestFraction;
  return small ? 0 : burst * mSettings.mSmallRequestReserve;
}

/// Returns how long until aExcess tokens have left the window.
Duration
WorkspaceRateLimiter::TimeUntilFreed(const Account& aAccount,
                                     double aExcess,
                                     TimePoint aNow) const
{
  double freed = 0;
  for (const Grant& it : aAccount.mGrants) {
    freed += it.mTokens;
    if (freed >= aExcess) {
      return it.mAt + mSettings.mWindow - aNow;
    }
  }
  return mSettings.mWindow;
}

/// Returns how long until aMissing tokens have filled into the bucket.
Duration
WorkspaceRateLimiter::TimeUntilFilled(const Account& aAccount,
                                      double aMissing) const
{
  return FromSeconds(
    aMissing /
    (aAccount.mRate * std::max(mReachableFraction, kMinReachableFraction)));
}

/// Returns how long until aExcess tokens over the window's limit fit into it:
/// older grants leave the window, and the limit of a VM that started within the
/// last window grows.
Duration
WorkspaceRateLimiter::TimeUntilInWindow(const Account& aAccount,
                                        double aExcess,
                                        TimePoint aNow) const
{
  const Duration freed = TimeUntilFreed(aAccount, aExcess, aNow);
  if (aNow - mStart >= mSettings.mWindow) {
    return freed;
  }
  const double growth =
    (aAccount.mRate + aAccount.mBurst / ToSeconds(mSettings.mWindow)) *
    std::max(mReachableFraction, kMinReachableFraction);
  return std::min(freed, FromSeconds(aExcess / growth));
}

Duration
WorkspaceRateLimiter::EstimateWait(const std::string& aWorkspace,
                                   double aTokens,
                                   double aAhead,
                                   TimePoint aNow)
{
  Account* account = FindLimitedAccount(aWorkspace);
  if (account == nullptr) {
    return Duration(0);
  }
  DropExpired(*account, aNow);
  Refill(*account, aNow);
  const double ownPart =
    account->mSum > 0 ? account->mOwnSum / account->mSum : 1;
  const double ahead = aAhead / std::clamp(ownPart, kMinOwnPart, 1.0);
  const double full = account->mBurst * mReachableFraction;
  const double needed =
    std::min(full, aTokens + ReservedForSmall(*account, aTokens)) + ahead;
  const double missing = std::max(0.0, needed - account->mLevel);
  const double limit = WindowLimit(*account, aNow);
  const double excess = account->mSum + aTokens + ahead - limit;
  const bool isFirstInWindow = account->mSum + ahead <= 0 && limit > 0;
  const Duration window = excess > 0 && !isFirstInWindow
                            ? TimeUntilInWindow(*account, excess, aNow)
                            : Duration(0);
  return std::max(TimeUntilFilled(*account, missing), window);
}

std::optional<Duration>
WorkspaceRateLimiter::SpendOrGetWait(const std::string& aWorkspace,
                                     double aTokens,
                                     TimePoint aNow)
{
  Account* account = FindLimitedAccount(aWorkspace);
  if (account == nullptr) {
    return std::nullopt;
  }
  DropExpired(*account, aNow);
  Refill(*account, aNow);
  const double limit = WindowLimit(*account, aNow);
  // A request that costs more than the burst is admitted while the bucket is
  // full, since it could never run otherwise.
  const double full = account->mBurst * mReachableFraction;
  const double needed =
    std::min(full, aTokens + ReservedForSmall(*account, aTokens));
  const bool isFirstInWindow = account->mSum <= 0 && limit > 0;
  const double excess = account->mSum + aTokens - limit;
  if (account->mLevel < needed) {
    return TimeUntilFilled(*account, needed - account->mLevel);
  }
  if (excess > 0 && !isFirstInWindow) {
    return TimeUntilFreed(*account, excess, aNow);
  }
  AddGrant(*account, { aNow, aTokens, true });
  mGranted[aWorkspace] += static_cast<std::int64_t>(aTokens);
  return std::nullopt;
}

void
WorkspaceRateLimiter::Refund(const std::string& aWorkspace,
                             double aTokens,
                             TimePoint aNow)
{
  Account* account = FindLimitedAccount(aWorkspace);
  if (account == nullptr) {
    return;
  }
  Refill(*account, aNow);
  AddGrant(*account, { aNow, -aTokens, true });
  mGranted[aWorkspace] -= static_cast<std::int64_t>(aTokens);
}

GrantedTokens
WorkspaceRateLimiter::OnPeerGranted(const std::string& aInstance,
                                    const GrantedTokens& aGranted,
                                    TimePoint aNow)
{
  const auto known = mPeers.find(aInstance);
  if (known == mPeers.end()) {
    mPeers[aInstance] = aGranted;
    return {};
  }
  GrantedTokens added;
  for (const auto& [workspace, granted] : aGranted) {
    const auto before = known->second.find(workspace);
    const std::int64_t delta =
      granted - (before == known->second.end() ? 0 : before->second);
    if (delta == 0) {
      continue;
    }
    added[workspace] = delta;
    Account* account = FindLimitedAccount(workspace);
    if (account != nullptr) {
      DropExpired(*account, aNow);
      Refill(*account, aNow);
      AddGrant(*account, { aNow, static_cast<double>(delta), false });
    }
  }
  known->second = aGranted;
  return added;
}

std::map<std::string, double>
WorkspaceRateLimiter::AvailableTokens(TimePoint aNow)
{
  std::map<std::string, double> left;
  for (auto& [workspace, account] : mAccounts) {
    if (account.mRate > 0) {
      DropExpired(account, aNow);
      Refill(account, aNow);
      left[workspace] =
        std::min(account.mLevel, WindowLimit(account, aNow) - account.mSum);
    }
  }
  return left;
}

} // namespace peridothoist
