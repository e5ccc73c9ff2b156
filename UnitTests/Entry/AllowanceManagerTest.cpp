/// Tests that an entry process borrows from other entries before it refuses a
/// request, so that callers of one entry can use the whole allowance, and that
/// all entries together never grant more than the allowance.
#define BOOST_TEST_MODULE AllowanceManager
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/AllowanceManager.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;

namespace {

constexpr std::size_t kEntries = 3;
constexpr double kBurst = 3000;

/// Transfers shares between the entries of the test through the reactor.
class InProcessPeerClient : public AllowancePeerClient
{
public:
  InProcessPeerClient(Reactor* aReactor,
                      std::map<std::string, AllowanceTable*>* aEntryShares)
    : mReactor(aReactor)
    , mEntryShares(aEntryShares)
  {
  }

  // See: AllowancePeerClient
  void Borrow(const std::string& aInstance,
              const ShareRequest& aRequest,
              BorrowCallback aDone) override
  {
    ++mPendingBorrows;
    mMaxPendingBorrows = std::max(mMaxPendingBorrows, mPendingBorrows);
    mReactor->Post([this, aInstance, aRequest, done = std::move(aDone)] {
      --mPendingBorrows;
      done(mEntryShares->at(aInstance)->Lend(aRequest, mReactor->Now()));
    });
  }

  void Send(const ShareTransfer& aTransfer) override
  {
    mEntryShares->at(aTransfer.mToInstance)
      ->Receive(aTransfer, mReactor->Now());
  }

  std::size_t MaxPendingBorrows() const { return mMaxPendingBorrows; }

private:
  Reactor* mReactor;
  std::map<std::string, AllowanceTable*>* mEntryShares;
  std::size_t mPendingBorrows = 0;
  std::size_t mMaxPendingBorrows = 0;
};

/// Three entries of one workspace. Its token rate is negligible, so that only
/// its burst can be spent.
struct Fixture
{
  Fixture()
    : mReactor(Reactor::Create())
    , mPeers(mReactor.get(), &mSharesByName)
  {
    mWorkspace.mName = "w";
    mWorkspace.mTokensPerSecond = 0.001;
    mWorkspace.mBurstTokens = kBurst;
    AllowanceTableSettings settings;
    settings.mRaiseDelay = Duration::zero();
    std::vector<std::string> names;
    for (std::size_t n = 0; n < kEntries; ++n) {
      names.push_back("e" + std::to_string(n));
    }
    for (const std::string& name : names) {
      mEntryShares.push_back(std::make_unique<AllowanceTable>(settings, name));
      mSharesByName[name] = mEntryShares.back().get();
    }
    for (const auto& shares : mEntryShares) {
      FillShares(*shares, names);
    }
    mManager = std::make_unique<AllowanceManager>(AllowanceManagerSettings{},
                                                  mReactor.get(),
                                                  mEntryShares[0].get(),
                                                  &mPeers);
  }

  /// Lets aShares accrue up to its share of the burst.
  void FillShares(AllowanceTable& aShares,
                  const std::vector<std::string>& aNames)
  {
    const TimePoint now = mReactor->Now();
    Workspace fastWorkspace = mWorkspace;
    fastWorkspace.mTokensPerSecond = 1e9;
    const TimePoint before = now - 10s;
    aShares.SetFreshUntil(now + 60s, before);
    aShares.SetWorkspaces({ { "w", fastWorkspace } }, before);
    aShares.SetPlan(1, aNames, before);
    aShares.AccountStatus("w", before + 1s);
    aShares.AccountStatus("w", before + 5s);
    aShares.SetWorkspaces({ { "w", mWorkspace } }, now);
    aShares.AccountStatus("w", now);
  }

  double TotalBalance() const
  {
    double total = 0;
    for (const auto& shares : mEntryShares) {
      total += shares->AccountStatus("w", mReactor->Now()).mBalance;
    }
    return total;
  }

  /// Requests aTokens aCount times at the first entry. Returns the number of
  /// granted requests.
  std::size_t SpendMany(std::size_t aCount, double aTokens)
  {
    std::size_t granted = 0;
    std::size_t completed = 0;
    for (std::size_t n = 0; n < aCount; ++n) {
      mManager->Spend(mWorkspace, aTokens, [&](const AllowanceResult& aResult) {
        granted += aResult.mRefusal == SpendRefusal::None ? 1 : 0;
        if (++completed == aCount) {
          mReactor->Stop();
        }
      });
    }
    if (completed < aCount) {
      mReactor->Run();
    }
    BOOST_TEST(completed == aCount);
    return granted;
  }

  std::unique_ptr<Reactor> mReactor;
  Workspace mWorkspace;
  std::vector<std::unique_ptr<AllowanceTable>> mEntryShares;
  std::map<std::string, AllowanceTable*> mSharesByName;
  InProcessPeerClient mPeers;
  std::unique_ptr<AllowanceManager> mManager;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(OneEntryBorrowsBeyondItsOwnShare, Fixture)
{
  const double before = TotalBalance();
  BOOST_TEST(before <= kBurst + 1);
  BOOST_TEST(before >= kBurst - 1);
  const std::size_t granted = SpendMany(25, 100);
  // More than the entry's own third, but at most the whole allowance.
  BOOST_TEST(granted > 10u);
  BOOST_TEST(granted * 100.0 <= before);
  BOOST_TEST(TotalBalance() + granted * 100.0 <= before + 1);
}

BOOST_FIXTURE_TEST_CASE(WaitingRequestsShareOneBorrowRequest, Fixture)
{
  SpendMany(30, 100);
  BOOST_TEST(mPeers.MaxPendingBorrows() == 1u);
}

BOOST_FIXTURE_TEST_CASE(RequestAboveTheBurstIsRefusedWithoutRetryAfter, Fixture)
{
  AllowanceResult result;
  mManager->Spend(mWorkspace, kBurst * 2, [&](const AllowanceResult& aResult) {
    result = aResult;
  });
  BOOST_TEST((result.mRefusal == SpendRefusal::NeverAffordable));
  BOOST_TEST(result.mRetryAfter.count() == 0);
}

BOOST_FIXTURE_TEST_CASE(RefusalOfAnAffordableRequestHasRetryAfter, Fixture)
{
  SpendMany(40, 100);
  AllowanceResult result;
  mManager->Spend(mWorkspace, 2000, [&](const AllowanceResult& aResult) {
    result = aResult;
    mReactor->Stop();
  });
  mReactor->Run();
  BOOST_TEST((result.mRefusal == SpendRefusal::InsufficientTokens));
  BOOST_TEST(result.mRetryAfter.count() > 0);
}

BOOST_FIXTURE_TEST_CASE(SettlingRefundsUnusedTokens, Fixture)
{
  const double before = TotalBalance();
  SpendMany(1, 500);
  mManager->Settle("w", 500, 100);
  BOOST_TEST(TotalBalance() <= before - 99);
  BOOST_TEST(TotalBalance() >= before - 101);
}
