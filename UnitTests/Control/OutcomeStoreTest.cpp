/// A request that must not repeat is claimed by one entry at most, whatever
/// answers of the table service are lost, and its outcome is kept.
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
Claim(std::uint64_t aRequest, const std::string& aBodyDigest = "body")
{
  RequestCommand command;
  command.mKind = RequestCommandKind::InsertClaim;
  command.mId = aRequest;
  command.mIdempotencyKey = "raft 17, certificate 2026";
  command.mBodyDigest = aBodyDigest;
  return command;
}

/// Entries that share one platform.
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
    std::optional<ClaimAnswer> answer;
    aStore.Insert("ensenada", aCommand, [&](const ClaimAnswer& aAnswer) {
      answer = aAnswer;
    });
    test::RunUntil(*mReactor, [&] { return answer.has_value(); });
    return answer.value_or(ClaimAnswer());
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
    aStore.Record("ensenada", aCommand);
    test::RunUntil(*mReactor, [&] { return aStore.OpenRecords() == 0; });
  }

  std::unique_ptr<Reactor> mReactor;
  MemoryPlatform mPlatform;
};

std::vector<CallFate>
ArbitraryFates()
{
  return *rc::gen::container<std::vector<CallFate>>(
    8,
    rc::gen::element(CallFate::Answer,
                     CallFate::LoseAnswer,
                     CallFate::LoseRequest,
                     CallFate::Late,
                     CallFate::NotReach));
}

/// Claims by an insert alone: takes a lost answer for an insert that worked.
bool
NaiveClaim(Fixture& aFixture, const std::string& aInstance)
{
  std::optional<TransactionEnd> end;
  aFixture.mPlatform.Commit(
    { { { "outcome/x", 0 } }, { { "outcome/x", aInstance } } },
    [&](const TransactionResult& aResult) { end = aResult.mEnd; });
  test::RunUntil(*aFixture.mReactor, [&] { return end.has_value(); });
  return end == TransactionEnd::Committed || end == TransactionEnd::InDoubt;
}

} // namespace

RC_BOOST_PROP(OneEntryAtMostClaimsARequest, ())
{
  Fixture fixture;
  auto first = fixture.MakeStore("entry-a");
  auto second = fixture.MakeStore("entry-b");
  const auto fates = ArbitraryFates();
  fixture.mPlatform.mNextFates.assign(fates.begin(), fates.end());
  int claims = 0;
  for (OutcomeStore* it : { first.get(), second.get(), first.get() }) {
    const std::uint64_t request = static_cast<std::uint64_t>(claims) + 1;
    const ClaimAnswer answer = fixture.Insert(*it, Claim(request));
    claims += answer.mKind == ClaimAnswerKind::Inserted ? 1 : 0;
    if (*rc::gen::arbitrary<bool>()) {
      fixture.mPlatform.ApplyLate();
    }
  }
  RC_ASSERT(claims <= 1);
}

BOOST_AUTO_TEST_CASE(ClaimThatTrustsALostAnswerRunsTwice)
{
  Fixture fixture;
  fixture.mPlatform.mNextFates = { CallFate::LoseRequest };
  const bool first = NaiveClaim(fixture, "entry-a");
  const bool second = NaiveClaim(fixture, "entry-b");
  BOOST_TEST((first && second));
}

RC_BOOST_PROP(OutcomeIsKeptThroughFaults, ())
{
  Fixture fixture;
  auto first = fixture.MakeStore("entry-a");
  auto second = fixture.MakeStore("entry-b");
  const ClaimAnswer claim = fixture.Insert(*first, Claim(1));
  RC_ASSERT(claim.mKind == ClaimAnswerKind::Inserted);
  const auto fates = ArbitraryFates();
  fixture.mPlatform.mNextFates.assign(fates.begin(), fates.end());
  const auto length = *rc::gen::element<std::size_t>(0, 100, 40000);
  const bool isText = *rc::gen::arbitrary<bool>();
  const std::string body(length, isText ? 'c' : '\xfe');
  const bool knowsVersion = *rc::gen::arbitrary<bool>();
  fixture.Record(*first,
                 Claim(1),
                 knowsVersion ? claim.mRowVersion : 0,
                 OutcomeState::Done,
                 body);
  fixture.mPlatform.mNextFates.clear();
  fixture.mPlatform.ApplyLate();
  const ClaimAnswer again = fixture.Insert(*second, Claim(1));
  RC_ASSERT(again.mKind == ClaimAnswerKind::ExistsSame);
  RC_ASSERT(again.mKept.has_value());
  RC_ASSERT(again.mKept->mStatus == 201);
  RC_ASSERT(again.mKept->mBody == body);
}

RC_BOOST_PROP(WhatDidNotRunCanBeSentAgain, ())
{
  Fixture fixture;
  auto first = fixture.MakeStore("entry-a");
  auto second = fixture.MakeStore("entry-b");
  const auto fates = ArbitraryFates();
  fixture.mPlatform.mNextFates.assign(fates.begin(), fates.end());
  const ClaimAnswer claim = fixture.Insert(*first, Claim(1));
  RC_PRE(claim.mKind == ClaimAnswerKind::Inserted ||
         claim.mKind == ClaimAnswerKind::Unsettled);
  fixture.Record(*first, Claim(1), claim.mRowVersion, OutcomeState::NotRun);
  fixture.mPlatform.mNextFates.clear();
  fixture.mPlatform.ApplyLate();
  const ClaimAnswer again = fixture.Insert(*second, Claim(1));
  RC_ASSERT(again.mKind == ClaimAnswerKind::Inserted);
  // Taken over once: a third one finds it claimed.
  const ClaimAnswer third = fixture.Insert(*first, Claim(2));
  RC_ASSERT(third.mKind == ClaimAnswerKind::ExistsSame);
  RC_ASSERT(!third.mKept.has_value());
}

BOOST_AUTO_TEST_CASE(AnotherBodyIsTold)
{
  Fixture fixture;
  auto store = fixture.MakeStore("entry-a");
  fixture.Insert(*store, Claim(1));
  const ClaimAnswer answer = fixture.Insert(*store, Claim(2, "other"));
  BOOST_TEST((answer.mKind == ClaimAnswerKind::ExistsOtherBody));
}

BOOST_AUTO_TEST_CASE(UnreachedPlatformClaimsNothing)
{
  Fixture fixture;
  auto store = fixture.MakeStore("entry-a");
  fixture.mPlatform.mFate = CallFate::NotReach;
  const ClaimAnswer answer = fixture.Insert(*store, Claim(1));
  BOOST_TEST((answer.mKind == ClaimAnswerKind::Unreachable));
  BOOST_TEST(fixture.mPlatform.CountRows("outcome/") == 0u);
}

BOOST_AUTO_TEST_CASE(RowKeyHidesTheCallersKey)
{
  const std::string row = OutcomeRowKey("ensenada", "raft 17");
  BOOST_TEST(row.rfind("outcome/ensenada/", 0) == 0u);
  BOOST_TEST(row.find("raft") == std::string::npos);
}
