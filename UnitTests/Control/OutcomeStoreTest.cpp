/// A non-idempotent request is claimed by at most one entry, and its outcome is
/// stored, whichever requests or responses of the table service are lost or
/// delayed.
#define BOOST_TEST_MODULE OutcomeStore
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/OutcomeStore.h>

#include <Control/InMemoryPlatform.h>
#include <Shell/ShellFixture.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;

namespace {

RequestCommand
MakeClaim(std::uint64_t aRequest, const std::string& aBodyDigest = "body")
{
  RequestCommand command;
  command.mKind = RequestCommandKind::InsertClaim;
  command.mId = aRequest;
  command.mIdempotencyKey = "raft 17, certificate 2026";
  command.mRequestDigest = aBodyDigest;
  return command;
}

/// Outcome stores of several entries on one platform.
struct Fixture
{
  Fixture()
    : mReactor(Reactor::Create())
    , mPlatform(*mReactor)
  {
  }

  std::unique_ptr<OutcomeStore> MakeStore(const std::string& aInstance)
  {
    OutcomeStoreSettings settings;
    settings.mEntryInstance = aInstance;
    settings.mInsertTimeout = 60ms;
    settings.mInsertBackoff = { 1ms, 4ms };
    settings.mRecordBackoff = { 1ms, 4ms };
    return std::make_unique<OutcomeStore>(*mReactor, mPlatform, settings, 1);
  }

  ClaimResult Insert(OutcomeStore& aStore, const RequestCommand& aCommand)
  {
    std::optional<ClaimResult> result;
    aStore.InsertClaim("ensenada", aCommand, [&](const ClaimResult& aResult) {
      result = aResult;
    });
    test::RunUntil(*mReactor, [&] { return result.has_value(); });
    return result.value_or(ClaimResult());
  }

  void Record(OutcomeStore& aStore,
              RequestCommand aCommand,
              std::uint64_t aRowVersion,
              OutcomeState aState,
              const std::string& aBody = {})
  {
    aCommand.mRowVersion = aRowVersion;
    aCommand.mOutcome = aState;
    aCommand.mStatus = 201;
    aCommand.mBody = aBody;
    aStore.RecordOutcome("ensenada", aCommand);
    test::RunUntil(*mReactor, [&] { return aStore.PendingOutcomes() == 0; });
  }

  std::unique_ptr<Reactor> mReactor;
  InMemoryPlatform mPlatform;
};

std::vector<InjectedFault>
ArbitraryFaults()
{
  return *rc::gen::container<std::vector<InjectedFault>>(
    8,
    rc::gen::element(InjectedFault::None,
                     InjectedFault::LoseResponse,
                     InjectedFault::LoseRequest,
                     InjectedFault::DelayCommit,
                     InjectedFault::Unreached));
}

/// Incorrect claim by a single insert, which treats a lost response as success.
bool
NaiveClaim(Fixture& aFixture, const std::string& aInstance)
{
  std::optional<TransactionStatus> end;
  aFixture.mPlatform.Commit(
    { { { "outcome/x", 0 } }, { { "outcome/x", aInstance } } },
    [&](const TransactionResult& aResult) { end = aResult.mStatus; });
  test::RunUntil(*aFixture.mReactor, [&] { return end.has_value(); });
  return end == TransactionStatus::Committed ||
         end == TransactionStatus::InDoubt;
}

} // namespace

RC_BOOST_PROP(AtMostOneEntryClaimsRequest, ())
{
  Fixture fixture;
  auto first = fixture.MakeStore("entry-a");
  auto second = fixture.MakeStore("entry-b");
  const auto faults = ArbitraryFaults();
  fixture.mPlatform.mNextFaults.assign(faults.begin(), faults.end());
  int insertedCount = 0;
  for (OutcomeStore* it : { first.get(), second.get(), first.get() }) {
    const std::uint64_t request = static_cast<std::uint64_t>(insertedCount) + 1;
    const ClaimResult result = fixture.Insert(*it, MakeClaim(request));
    insertedCount += result.mKind == ClaimResultKind::Inserted ? 1 : 0;
    if (*rc::gen::arbitrary<bool>()) {
      fixture.mPlatform.ApplyDelayed();
    }
  }
  RC_ASSERT(insertedCount <= 1);
}

BOOST_AUTO_TEST_CASE(ClaimThatTreatsLostResponseAsSuccessRunsTwice)
{
  Fixture fixture;
  fixture.mPlatform.mNextFaults = { InjectedFault::LoseRequest };
  const bool first = NaiveClaim(fixture, "entry-a");
  const bool second = NaiveClaim(fixture, "entry-b");
  BOOST_TEST((first && second));
}

RC_BOOST_PROP(OutcomeIsStoredDespitePlatformFaults, ())
{
  Fixture fixture;
  auto first = fixture.MakeStore("entry-a");
  auto second = fixture.MakeStore("entry-b");
  const ClaimResult claim = fixture.Insert(*first, MakeClaim(1));
  RC_ASSERT(claim.mKind == ClaimResultKind::Inserted);
  const auto faults = ArbitraryFaults();
  fixture.mPlatform.mNextFaults.assign(faults.begin(), faults.end());
  const auto length = *rc::gen::element<std::size_t>(0, 100, 40000);
  const bool isText = *rc::gen::arbitrary<bool>();
  const std::string body(length, isText ? 'c' : '\xfe');
  const bool isVersionKnown = *rc::gen::arbitrary<bool>();
  fixture.Record(*first,
                 MakeClaim(1),
                 isVersionKnown ? claim.mRowVersion : 0,
                 OutcomeState::Done,
                 body);
  fixture.mPlatform.mNextFaults.clear();
  fixture.mPlatform.ApplyDelayed();
  const ClaimResult retried = fixture.Insert(*second, MakeClaim(1));
  RC_ASSERT(retried.mKind == ClaimResultKind::ExistsSame);
  RC_ASSERT(retried.mStoredOutcome.has_value());
  RC_ASSERT(retried.mStoredOutcome->mStatus == 201);
  RC_ASSERT(retried.mStoredOutcome->mBody == body);
}

RC_BOOST_PROP(RequestThatDidNotRunCanBeClaimedAgain, ())
{
  Fixture fixture;
  auto first = fixture.MakeStore("entry-a");
  auto second = fixture.MakeStore("entry-b");
  const auto faults = ArbitraryFaults();
  fixture.mPlatform.mNextFaults.assign(faults.begin(), faults.end());
  const ClaimResult claim = fixture.Insert(*first, MakeClaim(1));
  RC_PRE(claim.mKind == ClaimResultKind::Inserted ||
         claim.mKind == ClaimResultKind::Indeterminate);
  fixture.Record(*first, MakeClaim(1), claim.mRowVersion, OutcomeState::NotRun);
  fixture.mPlatform.mNextFaults.clear();
  fixture.mPlatform.ApplyDelayed();
  const ClaimResult retried = fixture.Insert(*second, MakeClaim(1));
  RC_ASSERT(retried.mKind == ClaimResultKind::Inserted);
  // The claim is taken over only once: the next insert finds it claimed.
  const ClaimResult third = fixture.Insert(*first, MakeClaim(2));
  RC_ASSERT(third.mKind == ClaimResultKind::ExistsSame);
  RC_ASSERT(!third.mStoredOutcome.has_value());
}

BOOST_AUTO_TEST_CASE(ReusedIdempotencyKeyWithOtherBodyIsReported)
{
  Fixture fixture;
  auto store = fixture.MakeStore("entry-a");
  fixture.Insert(*store, MakeClaim(1));
  const ClaimResult result = fixture.Insert(*store, MakeClaim(2, "other"));
  BOOST_TEST((result.mKind == ClaimResultKind::ExistsOtherBody));
}

BOOST_AUTO_TEST_CASE(UnreachablePlatformInsertsNoClaim)
{
  Fixture fixture;
  auto store = fixture.MakeStore("entry-a");
  fixture.mPlatform.mDefaultFault = InjectedFault::Unreached;
  const ClaimResult result = fixture.Insert(*store, MakeClaim(1));
  BOOST_TEST((result.mKind == ClaimResultKind::Unreachable));
  BOOST_TEST(fixture.mPlatform.CountRows("outcome/") == 0u);
}

BOOST_AUTO_TEST_CASE(RowKeyDoesNotContainIdempotencyKey)
{
  const std::string row = OutcomeRowKey("ensenada", "raft 17");
  BOOST_TEST(row.rfind("outcome/ensenada/", 0) == 0u);
  BOOST_TEST(row.find("raft") == std::string::npos);
}
