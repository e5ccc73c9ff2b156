#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/UsageLedger.h>

#include <algorithm>

namespace peridothoist {

namespace {

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

UsageLedger::UsageLedger(const Settings& aSettings, TimePoint aNow)
  : mSettings(aSettings)
  , mStart(aNow)
{
}

void
UsageLedger::SetWorkspaces(
  const std::map<std::string, RelayWorkspace>& aWorkspaces)
{
  std::map<std::string, Account> accounts;
  for (const auto& [name, workspace] : aWorkspaces) {
    Account& account = accounts[name];
    const auto known = mAccounts.find(name);
    if (known != mAccounts.end()) {
      account = std::move(known->second);
    }
    account.mRate = workspace.mTokensPerSecond;
    account.mBurst = workspace.mBurstTokens;
  }
  mAccounts = std::move(accounts);
}

UsageLedger::Account*
UsageLedger::Limited(const std::string& aWorkspace)
{
  const auto it = mAccounts.find(aWorkspace);
  return it == mAccounts.end() || it->second.mRate <= 0 ? nullptr : &it->second;
}

void
UsageLedger::Add(Account& aAccount, double aTokens, TimePoint aNow) const
{
  aAccount.mGrants.push_back({ aNow, aTokens });
  aAccount.mSum += aTokens;
}

void
UsageLedger::Drop(Account& aAccount, TimePoint aNow) const
{
  while (!aAccount.mGrants.empty() &&
         aAccount.mGrants.front().mAt <= aNow - mSettings.mWindow) {
    aAccount.mSum -= aAccount.mGrants.front().mTokens;
    aAccount.mGrants.pop_front();
  }
}

double
UsageLedger::LimitOf(const Account& aAccount, TimePoint aNow) const
{
  const double window = ToSeconds(mSettings.mWindow);
  const double known =
    std::min(window, ToSeconds(std::max(Duration(0), aNow - mStart)));
  const double whole = (aAccount.mRate + aAccount.mBurst / window) * known;
  return whole * mPart;
}

/// The limit for a request of aTokens.
double
UsageLedger::RoomFor(const Account& aAccount,
                     double aTokens,
                     TimePoint aNow) const
{
  const double limit = LimitOf(aAccount, aNow);
  const bool small = aTokens <= limit * mSettings.mSmallPart;
  return small ? limit : limit * (1 - mSettings.mKeptForSmall);
}

/// How long until aExcess tokens have left the window.
Duration
UsageLedger::WaitFor(const Account& aAccount,
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

std::optional<Duration>
UsageLedger::Spend(const std::string& aWorkspace,
                   double aTokens,
                   TimePoint aNow)
{
  Account* account = Limited(aWorkspace);
  if (account == nullptr) {
    return std::nullopt;
  }
  Drop(*account, aNow);
  const double limit = RoomFor(*account, aTokens, aNow);
  // A request above the whole limit is let in while nothing else was: else it
  // could never run.
  const bool alone = account->mSum <= 0 && limit > 0;
  if (account->mSum + aTokens > limit && !alone) {
    return WaitFor(*account, account->mSum + aTokens - limit, aNow);
  }
  Add(*account, aTokens, aNow);
  mGranted[aWorkspace] += static_cast<std::int64_t>(aTokens);
  return std::nullopt;
}

void
UsageLedger::Refund(const std::string& aWorkspace,
                    double aTokens,
                    TimePoint aNow)
{
  Account* account = Limited(aWorkspace);
  if (account == nullptr) {
    return;
  }
  Add(*account, -aTokens, aNow);
  mGranted[aWorkspace] -= static_cast<std::int64_t>(aTokens);
}

void
UsageLedger::OnPeerGranted(const std::string& aInstance,
                           const GrantedTokens& aGranted,
                           TimePoint aNow)
{
  const auto known = mPeers.find(aInstance);
  if (known == mPeers.end()) {
    mPeers[aInstance] = aGranted;
    return;
  }
  for (const auto& [workspace, granted] : aGranted) {
    const auto before = known->second.find(workspace);
    const std::int64_t delta =
      granted - (before == known->second.end() ? 0 : before->second);
    Account* account = Limited(workspace);
    if (account != nullptr && delta != 0) {
      Drop(*account, aNow);
      Add(*account, static_cast<double>(delta), aNow);
    }
  }
  known->second = aGranted;
}

std::map<std::string, double>
UsageLedger::Left(TimePoint aNow)
{
  std::map<std::string, double> left;
  for (auto& [workspace, account] : mAccounts) {
    if (account.mRate > 0) {
      Drop(account, aNow);
      left[workspace] = LimitOf(account, aNow) - account.mSum;
    }
  }
  return left;
}

} // namespace peridothoist
