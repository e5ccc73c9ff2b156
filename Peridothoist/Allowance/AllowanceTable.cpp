#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Allowance/AllowanceTable.h>
#include <Peridothoist/Membership/Rendezvous.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace peridothoist {

namespace {

/// Tolerated rounding error of a share.
constexpr double kRoundingSlack = 1e-9;

/// Returns whether a number from another process is a fraction of a total.
bool
IsShare(double aShare)
{
  return aShare >= 0 && aShare <= 1 + kRoundingSlack;
}

/// Returns whether a number from another process is a valid amount.
bool
IsAmount(double aAmount)
{
  return aAmount >= 0 && std::isfinite(aAmount);
}

} // namespace

const char*
ToName(SpendRefusal aRefusal)
{
  static constexpr std::array<const char*, 5> kNames = {
    "none", "unknown_workspace", "not_fresh", "short", "never_affordable"
  };
  return kNames[static_cast<std::size_t>(aRefusal)];
}

AllowanceTable::AllowanceTable(const Settings& aSettings,
                               std::string aSelfInstance)
  : mSettings(aSettings)
  , mSelf(std::move(aSelfInstance))
{
}

void
AllowanceTable::SetFreshUntil(TimePoint aUntil, TimePoint aNow)
{
  mClock.SetFreshUntil(aUntil, aNow);
}

void
AllowanceTable::SetWorkspaces(
  const std::map<std::string, Workspace>& aWorkspaces,
  TimePoint aNow)
{
  std::map<std::string, TotalAllowance> totals;
  for (const auto& [name, workspace] : aWorkspaces) {
    totals[name] = { workspace.mTokensPerSecond, workspace.mBurstTokens };
  }
  // Accounts of deleted workspaces are kept: shares that were transferred to
  // other entries must not reappear here when a workspace of the same name is
  // created.
  for (auto& [name, account] : mAccounts) {
    const auto found = totals.find(name);
    const TotalAllowance total =
      found == totals.end() ? TotalAllowance{} : found->second;
    if (!(total == account.Total())) {
      FindUpToDate(name, aNow);
      account.SetTotal(total);
    }
  }
  mTotals = std::move(totals);
}

void
AllowanceTable::SetPlan(std::uint64_t aEpoch,
                        std::vector<std::string> aEntryInstances,
                        TimePoint aNow)
{
  if (aEpoch <= Epoch()) {
    return;
  }
  mPlans.push_back(
    { aEpoch, std::move(aEntryInstances), mClock.CountedTime(aNow) });
  if (mPlans.size() > mSettings.mMaxPlans) {
    mPlans.pop_front();
  }
  mSentTransfers.clear();
  mReceivedTransferIds.clear();
}

bool
AllowanceTable::HasShares(TimePoint aNow) const
{
  const Duration now = mClock.CountedTime(aNow);
  return std::any_of(mPlans.begin(), mPlans.end(), [&](const Plan& aPlan) {
    const auto& entries = aPlan.mEntries;
    const bool isIncluded =
      std::find(entries.begin(), entries.end(), mSelf) != entries.end();
    return isIncluded && aPlan.mReceivedAt + mSettings.mRaiseDelay <= now;
  });
}

SpendResult
AllowanceTable::Spend(const std::string& aWorkspace,
                      double aTokens,
                      TimePoint aNow)
{
  SpendResult result;
  if (mTotals.count(aWorkspace) == 0) {
    result.mRefusal = SpendRefusal::UnknownWorkspace;
    return result;
  }
  if (!mClock.IsRunning(aNow)) {
    result.mRefusal = SpendRefusal::NotFresh;
    return result;
  }
  ShareAccount& account = *FindUpToDate(aWorkspace, aNow);
  if (aTokens > account.Total().mBurst) {
    result.mRefusal = SpendRefusal::NeverAffordable;
    return result;
  }
  if (aTokens <= account.Balance()) {
    account.Spend(aTokens, mClock.CountedTime(aNow));
    return result;
  }
  result.mRefusal = SpendRefusal::InsufficientTokens;
  result.mMissingTokens = aTokens - account.Balance();
  if (aTokens <= account.BurstCap() && account.Rate() > 0) {
    const std::chrono::duration<double> wait(result.mMissingTokens /
                                             account.Rate());
    // Rounded up, so that the tokens are affordable after that time.
    result.mAffordableIn =
      std::chrono::duration_cast<Duration>(wait) + Duration{ 1 };
  }
  return result;
}

void
AllowanceTable::Refund(const std::string& aWorkspace,
                       double aTokens,
                       TimePoint aNow)
{
  ShareAccount* account = FindUpToDate(aWorkspace, aNow);
  if (account != nullptr && aTokens > 0) {
    account->Refund(aTokens);
  }
}

double
AllowanceTable::Charge(const std::string& aWorkspace,
                       double aTokens,
                       TimePoint aNow)
{
  ShareAccount* account = FindUpToDate(aWorkspace, aNow);
  if (account == nullptr || aTokens <= 0) {
    return 0;
  }
  const double paid = std::clamp(account->Balance(), 0.0, aTokens);
  account->Spend(aTokens, mClock.CountedTime(aNow));
  return aTokens - paid;
}

ShareTransfer
AllowanceTable::Lend(const ShareRequest& aRequest, TimePoint aNow)
{
  const auto sent = mSentTransfers.find(aRequest.mTransferId);
  if (sent != mSentTransfers.end()) {
    return sent->second;
  }
  ShareTransfer emptyTransfer;
  emptyTransfer.mTransferId = aRequest.mTransferId;
  emptyTransfer.mFromInstance = mSelf;
  emptyTransfer.mToInstance = aRequest.mInstance;
  emptyTransfer.mEpoch = Epoch();
  emptyTransfer.mWorkspace = aRequest.mWorkspace;
  const bool canLend =
    mSettings.mShareStrategy == "demand" && aRequest.mEpoch == Epoch() &&
    aRequest.mInstance != mSelf && IsAmount(aRequest.mTokens) &&
    IsAmount(aRequest.mRate) && mClock.IsRunning(aNow);
  ShareAccount* account =
    canLend ? FindUpToDate(aRequest.mWorkspace, aNow) : nullptr;
  if (account == nullptr) {
    return emptyTransfer;
  }
  const ShareAmount amount = account->ComputeLendable(
    aRequest.mTokens, aRequest.mRate, mClock.CountedTime(aNow));
  ShareTransfer transfer =
    Subtract(aRequest.mWorkspace, *account, amount, aRequest.mInstance);
  transfer.mTransferId = aRequest.mTransferId;
  if (!transfer.IsEmpty()) {
    mSentTransfers[aRequest.mTransferId] = transfer;
  }
  return transfer;
}

bool
AllowanceTable::Receive(const ShareTransfer& aTransfer, TimePoint aNow)
{
  const bool isValid = IsAmount(aTransfer.mTokens) &&
                       IsShare(aTransfer.mBurstShare) &&
                       IsShare(aTransfer.mRateShare);
  if (!isValid || aTransfer.mToInstance != mSelf ||
      aTransfer.mEpoch != Epoch()) {
    return false;
  }
  ShareAccount* account = FindUpToDate(aTransfer.mWorkspace, aNow);
  if (account == nullptr ||
      !mReceivedTransferIds.insert(aTransfer.mTransferId).second) {
    return false;
  }
  account->AddReceived(
    { aTransfer.mTokens, aTransfer.mBurstShare, aTransfer.mRateShare },
    aTransfer.mFromInstance);
  return true;
}

std::vector<ShareTransfer>
AllowanceTable::ReturnUnusedShares(TimePoint aNow)
{
  std::vector<ShareTransfer> transfers;
  for (auto& [workspace, account] : mAccounts) {
    FindUpToDate(workspace, aNow);
    for (const auto& it : account.ComputeReturns(mClock.CountedTime(aNow))) {
      transfers.push_back(Subtract(workspace, account, it.mAmount, it.mTo));
    }
  }
  return transfers;
}

std::vector<ShareTransfer>
AllowanceTable::ReleaseAllShares(TimePoint aNow)
{
  std::vector<ShareTransfer> transfers;
  for (auto& [workspace, account] : mAccounts) {
    FindUpToDate(workspace, aNow);
    account.CancelRaise();
    const std::string to = OtherHome(workspace);
    if (to.empty()) {
      continue;
    }
    ShareTransfer transfer =
      Subtract(workspace, account, account.EntireShare(), to);
    if (!transfer.IsEmpty()) {
      transfers.push_back(std::move(transfer));
    }
  }
  return transfers;
}

std::vector<std::string>
AllowanceTable::HomeEntries(const std::string& aWorkspace) const
{
  if (mPlans.empty()) {
    return {};
  }
  return TopRendezvousNodes(
    aWorkspace, mPlans.back().mEntries, mSettings.mHomeEntriesPerWorkspace);
}

std::vector<std::string>
AllowanceTable::Lenders(const std::string& aWorkspace) const
{
  std::vector<std::string> lenders = HomeEntries(aWorkspace);
  const auto account = mAccounts.find(aWorkspace);
  if (account == mAccounts.end()) {
    return lenders;
  }
  for (std::string& borrower : account->second.Borrowers()) {
    if (std::find(lenders.begin(), lenders.end(), borrower) == lenders.end()) {
      lenders.push_back(std::move(borrower));
    }
  }
  return lenders;
}

ShareStatus
AllowanceTable::AccountStatus(const std::string& aWorkspace, TimePoint aNow)
{
  const ShareAccount* account = FindUpToDate(aWorkspace, aNow);
  return account == nullptr ? ShareStatus{} : account->Status();
}

std::uint64_t
AllowanceTable::Epoch() const
{
  return mPlans.empty() ? 0 : mPlans.back().mEpoch;
}

ShareAccount*
AllowanceTable::FindUpToDate(const std::string& aWorkspace, TimePoint aNow)
{
  auto found = mAccounts.find(aWorkspace);
  if (found == mAccounts.end()) {
    const auto total = mTotals.find(aWorkspace);
    if (total == mTotals.end()) {
      return nullptr;
    }
    found = mAccounts.emplace(aWorkspace, ShareAccount(total->second)).first;
  }
  ShareAccount& account = found->second;
  for (const Plan& plan : mPlans) {
    if (plan.mEpoch > account.Epoch()) {
      account.AccrueTo(plan.mReceivedAt);
      account.EnterPlan(plan.mEpoch,
                        HomeShare(aWorkspace, plan),
                        plan.mReceivedAt,
                        mSettings.mRaiseDelay);
    }
  }
  account.AccrueTo(mClock.CountedTime(aNow));
  return &account;
}

double
AllowanceTable::HomeShare(const std::string& aWorkspace,
                          const Plan& aPlan) const
{
  const std::vector<std::string> homes = TopRendezvousNodes(
    aWorkspace, aPlan.mEntries, mSettings.mHomeEntriesPerWorkspace);
  const bool isHome =
    std::find(homes.begin(), homes.end(), mSelf) != homes.end();
  return isHome ? 1.0 / static_cast<double>(homes.size()) : 0.0;
}

std::string
AllowanceTable::OtherHome(const std::string& aWorkspace) const
{
  for (const std::string& home : HomeEntries(aWorkspace)) {
    if (home != mSelf) {
      return home;
    }
  }
  return {};
}

ShareTransfer
AllowanceTable::Subtract(const std::string& aWorkspace,
                         ShareAccount& aAccount,
                         const ShareAmount& aAmount,
                         const std::string& aTo)
{
  const ShareAmount taken = aAccount.Subtract(aAmount, aTo);
  ShareTransfer transfer;
  transfer.mTransferId = mSelf + "/" + std::to_string(mNextTransfer++);
  transfer.mFromInstance = mSelf;
  transfer.mToInstance = aTo;
  transfer.mEpoch = Epoch();
  transfer.mWorkspace = aWorkspace;
  transfer.mTokens = taken.mTokens;
  transfer.mBurstShare = taken.mBurstShare;
  transfer.mRateShare = taken.mRateShare;
  return transfer;
}

} // namespace peridothoist
