/// A non-idempotent request is claimed by at most one entry, and its outcome is
/// stored, whichever requests or responses of the table service are lost or
/// delayed.
#define BOOST_TEST_MODULE OutcomeStore
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/OutcomeStore.h>

#include <Control/MemoryPlatform.h>
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
  command.mBodyDigest = aBodyDigest;
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
    settings.mInsertLimit = 60ms;
    settings.mInsertBackoff = { 1ms, 4ms };
    settings.mRecordBackoff = { 1ms, 4ms };
    return std::make_unique<OutcomeStore>(*mReactor, mPlatform, settings, 1);
  }

  ClaimAnswer Insert(OutcomeStore& aStore, const RequestCommand& aCommand)
  {
    std::optional<ClaimAnswer> result;
    aStore.InsertClaim("ensenada", aCommand, [&](const ClaimAnswer& aResult) {
      result = aResult;
    });
    test::RunUntil(*mReactor, [&] { return result.has_value(); });
    return result.value_or(ClaimAnswer());
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
    test::RunUntil(*mReactor, [&] { return aStore.OpenRecords() == 0; });
  }

  std::unique_ptr<Reactor> mReactor;
  MemoryPlatform mPlatform;
};

std::vector<CallFate>
ArbitraryFaults()
{
  return *rc::gen::container<std::vector<CallFate>>(
    8,
    rc::gen::element(CallFate::None,
                     CallFate::LoseResponse,
                     CallFate::LoseRequest,
                     CallFate::DelayCommit,
                     CallFate::Unreached));
}

/// Incorrect claim by a single insert, which treats a lost response as success.
bool
NaiveClaim(Fixture& aFixture, const std::string& aInstance)
{
  std::optional<TransactionEnd> end;
  aFixture.mPlatform.Commit(
    { { { "outcome/x", 0 } }, { { "outcome/x", aInstance } } },
    [&](const TransactionResult& aResult) { end = aResult.mStatus; });
  test::RunUntil(*aFixture.mReactor, [&] { return end.has_value(); });
  return end == TransactionEnd::Committed || end == TransactionEnd::InDoubt;
}

} // namespace

RC_BOOST_PROP(OneEntryAtMostClaimsARequest, ())
{
  Fixture fixture;
  auto first = fixture.MakeStore("entry-a");
  auto second = fixture.MakeStore("entry-b");
  const auto faults = ArbitraryFaults();
  fixture.mPlatform.mNextFaults.assign(faults.begin(), faults.end());
  int insertedCount = 0;
  for (OutcomeStore* it : { first.get(), second.get(), first.get() }) {
    const std::uint64_t request = static_cast<std::uint64_t>(insertedCount) + 1;
    const ClaimAnswer result = fixture.Insert(*it, MakeClaim(request));
    insertedCount += result.mKind == ClaimAnswerKind::Inserted ? 1 : 0;
    if (*rc::gen::arbitrary<bool>()) {
      fixture.mPlatform.ApplyDelayed();
    }
  }
  RC_ASSERT(insertedCount <= 1);
}

BOOST_AUTO_TEST_CASE(ClaimThatTrustsALostAnswerRunsTwice)
{
  Fixture fixture;
  fixture.mPlatform.mNextFaults = { CallFate::LoseRequest };
  const bool first = NaiveClaim(fixture, "entry-a");
  const bool second = NaiveClaim(fixture, "entry-b");
  BOOST_TEST((first && second));
}

RC_BOOST_PROP(OutcomeIsKeptThroughFaults, ())
{
  Fixture fixture;
  auto first = fixture.MakeStore("entry-a");
  auto second = fixture.MakeStore("entry-b");
  const ClaimAnswer claim = fixture.Insert(*first, MakeClaim(1));
  RC_ASSERT(claim.mKind == ClaimAnswerKind::Inserted);
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
  const ClaimAnswer repeated = fixture.Insert(*second, MakeClaim(1));
  RC_ASSERT(repeated.mKind == ClaimAnswerKind::ExistsSame);
  RC_ASSERT(repeated.mStoredOutcome.has_value());
  RC_ASSERT(repeated.mStoredOutcome->mStatus == 201);
  RC_ASSERT(repeated.mStoredOutcome->mBody == body);
}

RC_BOOST_PROP(WhatDidNotRunCanBeSentAgain, ())
{
  Fixture fixture;
  auto first = fixture.MakeStore("entry-a");
  auto second = fixture.MakeStore("entry-b");
  const auto faults = ArbitraryFaults();
  fixture.mPlatform.mNextFaults.assign(faults.begin(), faults.end());
  const ClaimAnswer claim = fixture.Insert(*first, MakeClaim(1));
  RC_PRE(claim.mKind == ClaimAnswerKind::Inserted ||
         claim.mKind == ClaimAnswerKind::Unsettled);
  fixture.Record(*first, MakeClaim(1), claim.mRowVersion, OutcomeState::NotRun);
  fixture.mPlatform.mNextFaults.clear();
  fixture.mPlatform.ApplyDelayed();
  const ClaimAnswer repeated = fixture.Insert(*second, MakeClaim(1));
  RC_ASSERT(repeated.mKind == ClaimAnswerKind::Inserted);
  // The claim is taken over only once: the next insert finds it claimed.
  const ClaimAnswer third = fixture.Insert(*first, MakeClaim(2));
  RC_ASSERT(third.mKind == ClaimAnswerKind::ExistsSame);
  RC_ASSERT(!third.mStoredOutcome.has_value());
}

BOOST_AUTO_TEST_CASE(AnotherBodyIsTold)
{
  Fixture fixture;
  auto store = fixture.MakeStore("entry-a");
  fixture.Insert(*store, MakeClaim(1));
  const ClaimAnswer result = fixture.Insert(*store, MakeClaim(2, "other"));
  BOOST_TEST((result.mKind == ClaimAnswerKind::ExistsOtherBody));
}

BOOST_AUTO_TEST_CASE(UnreachedPlatformClaimsNothing)
{
  Fixture fixture;
  auto store = fixture.MakeStore("entry-a");
  fixture.mPlatform.mDefaultFault = CallFate::Unreached;
  const ClaimAnswer result = fixture.Insert(*store, MakeClaim(1));
  BOOST_TEST((result.mKind == ClaimAnswerKind::Unreachable));
  BOOST_TEST(fixture.mPlatform.CountRows("outcome/") == 0u);
}

BOOST_AUTO_TEST_CASE(RowKeyHidesTheCallersKey)
{
  const std::string row = OutcomeRowKey("ensenada", "raft 17");
  BOOST_TEST(row.rfind("outcome/ensenada/", 0) == 0u);
  BOOST_TEST(row.find("raft") == std::string::npos);
}
