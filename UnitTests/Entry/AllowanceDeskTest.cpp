/// Entries borrow before they refuse: callers of one entry get the whole
/// allowance, and never more than that over all entries.
#define BOOST_TEST_MODULE AllowanceDesk
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/AllowanceDesk.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;

namespace {

constexpr std::size_t kEntries = 3;
constexpr double kBurst = 3000;

/// Carries transfers between books in this process, over the reactor.
class DirectPeers : public AllowancePeers
{
public:
  DirectPeers(Reactor* aReactor, std::map<std::string, AllowanceBook*>* aBooks)
    : mReactor(aReactor)
    , mBooks(aBooks)
  {
  }

  // See: AllowancePeers
  void Borrow(const std::string& aInstance,
              const BorrowAsk& aAsk,
              Borrowed aDone) override
  {
    ++mOnTheWay;
    mMostOnTheWay = std::max(mMostOnTheWay, mOnTheWay);
    mReactor->Post([this, aInstance, aAsk, done = std::move(aDone)] {
      --mOnTheWay;
      done(mBooks->at(aInstance)->Give(aAsk, mReactor->Now()));
    });
  }

  void Send(const ShareTransfer& aTransfer) override
  {
    mBooks->at(aTransfer.mToInstance)->Receive(aTransfer, mReactor->Now());
  }

  std::size_t MostOnTheWay() const { return mMostOnTheWay; }

private:
  Reactor* mReactor;
  std::map<std::string, AllowanceBook*>* mBooks;
  std::size_t mOnTheWay = 0;
  std::size_t mMostOnTheWay = 0;
};

/// Three entries of one workspace whose rate is too low to matter here.
struct Fixture
{
  Fixture()
    : mReactor(Reactor::Create())
    , mPeers(mReactor.get(), &mByName)
  {
    mWorkspace.mName = "w";
    mWorkspace.mTokensPerSecond = 0.001;
    mWorkspace.mBurstTokens = kBurst;
    AllowanceBookSettings settings;
    settings.mRaiseWait = Duration::zero();
    std::vector<std::string> names;
    for (std::size_t n = 0; n < kEntries; ++n) {
      names.push_back("e" + std::to_string(n));
    }
    for (const std::string& name : names) {
      mBooks.push_back(std::make_unique<AllowanceBook>(settings, name));
      mByName[name] = mBooks.back().get();
    }
    for (const auto& book : mBooks) {
      Prepare(*book, names);
    }
    mDesk = std::make_unique<AllowanceDesk>(
      AllowanceDeskSettings{}, mReactor.get(), mBooks[0].get(), &mPeers);
  }

  /// Fills the book: a burst accrues while nobody spends.
  void Prepare(AllowanceBook& aBook, const std::vector<std::string>& aNames)
  {
    const TimePoint now = mReactor->Now();
    Workspace filling = mWorkspace;
    filling.mTokensPerSecond = 1e9;
    const TimePoint before = now - 10s;
    aBook.AllowUntil(now + 60s, before);
    aBook.SetWorkspaces({ { "w", filling } }, before);
    aBook.SetPlan(1, aNames, before);
    aBook.Account("w", before + 1s);
    aBook.Account("w", before + 5s);
    aBook.SetWorkspaces({ { "w", mWorkspace } }, now);
    aBook.Account("w", now);
  }

  double Total() const
  {
    double total = 0;
    for (const auto& book : mBooks) {
      total += book->Account("w", mReactor->Now()).mBalance;
    }
    return total;
  }

  /// Spends aCount times aTokens at the first entry; how many were granted.
  std::size_t SpendMany(std::size_t aCount, double aTokens)
  {
    std::size_t granted = 0;
    std::size_t answered = 0;
    for (std::size_t n = 0; n < aCount; ++n) {
      mDesk->Spend(mWorkspace, aTokens, [&](const AllowanceAnswer& aAnswer) {
        granted += aAnswer.mRefusal == SpendRefusal::None ? 1 : 0;
        if (++answered == aCount) {
          mReactor->Stop();
        }
      });
    }
    if (answered < aCount) {
      mReactor->Run();
    }
    BOOST_TEST(answered == aCount);
    return granted;
  }

  std::unique_ptr<Reactor> mReactor;
  Workspace mWorkspace;
  std::vector<std::unique_ptr<AllowanceBook>> mBooks;
  std::map<std::string, AllowanceBook*> mByName;
  DirectPeers mPeers;
  std::unique_ptr<AllowanceDesk> mDesk;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(CallersOfOneEntryGetMoreThanItsShare, Fixture)
{
  const double before = Total();
  BOOST_TEST(before <= kBurst + 1);
  BOOST_TEST(before >= kBurst - 1);
  const std::size_t granted = SpendMany(25, 100);
  // More than its own third, and no more than the whole.
  BOOST_TEST(granted > 10u);
  BOOST_TEST(granted * 100.0 <= before);
  BOOST_TEST(Total() + granted * 100.0 <= before + 1);
}

BOOST_FIXTURE_TEST_CASE(RequestsThatWaitShareOneAsk, Fixture)
{
  SpendMany(30, 100);
  BOOST_TEST(mPeers.MostOnTheWay() == 1u);
}

BOOST_FIXTURE_TEST_CASE(ARequestBeyondTheBurstIsRefusedForGood, Fixture)
{
  AllowanceAnswer answer;
  mDesk->Spend(mWorkspace, kBurst * 2, [&](const AllowanceAnswer& aAnswer) {
    answer = aAnswer;
  });
  BOOST_TEST((answer.mRefusal == SpendRefusal::NeverAffordable));
  BOOST_TEST(answer.mRetryAfter.count() == 0);
}

BOOST_FIXTURE_TEST_CASE(ARefusalSaysWhenToComeBack, Fixture)
{
  SpendMany(40, 100);
  AllowanceAnswer answer;
  mDesk->Spend(mWorkspace, 2000, [&](const AllowanceAnswer& aAnswer) {
    answer = aAnswer;
    mReactor->Stop();
  });
  mReactor->Run();
  BOOST_TEST((answer.mRefusal == SpendRefusal::Short));
  BOOST_TEST(answer.mRetryAfter.count() > 0);
}

BOOST_FIXTURE_TEST_CASE(SettlingGivesBackWhatWasNotUsed, Fixture)
{
  const double before = Total();
  SpendMany(1, 500);
  mDesk->Settle("w", 500, 100);
  BOOST_TEST(Total() <= before - 99);
  BOOST_TEST(Total() >= before - 101);
}
