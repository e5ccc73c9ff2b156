/// Changes take effect once or never, and who commits and who follows come to
/// the same configuration, whatever answers are lost.
#define BOOST_TEST_MODULE ChangeCommitter
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/ConfigurationStore.h>
#include <Peridothoist/Platform/ChangeCommitter.h>
#include <Peridothoist/Platform/ConfigFollower.h>
#include <Peridothoist/Platform/ConfigRows.h>
#include <Peridothoist/Platform/SnapshotKeeper.h>

#include <Control/MemoryPlatform.h>
#include <Shell/ShellFixture.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;

namespace {

ChangeRecord
Change(std::uint64_t aVersion, const std::string& aOperation)
{
  const std::string json = R"({"role":"plain","model":")" + aOperation + "\"}";
  return { { aVersion, aOperation, { { ItemKind::Pool, "p", json } } },
           "maria" };
}

/// One control process's view, as far as these classes need it.
struct View
  : ChangeCommitterListener
  , ConfigFollowerListener
{
  // See: ChangeCommitterListener
  void OnCommitOpen(bool aOpen) override { mOpen = aOpen; }
  void OnChangeAccepted(const ChangeRecord& aRecord) override
  {
    mAccepted.push_back(aRecord.mChange.mOperationId);
    OnPlatformChange(aRecord);
  }
  void OnCommitInDoubt(const KeySuspension& aSuspension) override
  {
    mSuspended.push_back(aSuspension);
  }
  void OnCommitSettled(const std::string& aOperationId) override
  {
    mSettled.push_back(aOperationId);
  }

  // See: ConfigFollowerListener
  std::uint64_t HeldVersion() const override { return mStore.Get().mVersion; }
  void OnPlatformRead(const ViewStamp& aStamp, TimePoint) override
  {
    mConfirmed = aStamp;
    ++mReads;
  }
  void OnPlatformSilent() override { ++mSilences; }
  void OnPlatformChange(const ChangeRecord& aRecord) override
  {
    if (aRecord.mChange.mVersion == HeldVersion() + 1) {
      mStore.Apply(aRecord.mChange, nullptr);
    }
  }
  void OnPlatformSnapshot(const Configuration& aConfiguration) override
  {
    mStore = ConfigurationStore(aConfiguration);
    ++mSnapshots;
  }
  void OnPlatformPlan(const SharePlan&, std::uint64_t) override {}

  ConfigurationStore mStore;
  bool mOpen = false;
  std::vector<std::string> mAccepted;
  std::vector<KeySuspension> mSuspended;
  std::vector<std::string> mSettled;
  ViewStamp mConfirmed;
  int mReads = 0;
  int mSilences = 0;
  int mSnapshots = 0;
};

struct Fixture
{
  Fixture()
    : mReactor(Reactor::Create())
    , mPlatform(*mReactor)
  {
    mSettings.mAnswerLimit = 30ms;
    mSettings.mSettler.mBackoff = { 1ms, 4ms };
  }

  std::unique_ptr<ChangeCommitter> MakeCommitter(View& aView)
  {
    return std::make_unique<ChangeCommitter>(
      *mReactor, mPlatform, mSettings, aView, 1);
  }

  CommitResult Commit(ChangeCommitter& aCommitter, const ChangeRecord& aRecord)
  {
    std::optional<CommitResult> result;
    aCommitter.Commit(aRecord,
                      [&](const CommitResult& aResult) { result = aResult; });
    test::RunUntil(*mReactor, [&] { return result.has_value(); });
    return result.value_or(CommitResult());
  }

  /// Follows until the view was confirmed.
  void Follow(View& aView)
  {
    ConfigFollower follower(*mReactor, mPlatform, { 1ms, 3 }, aView, 1);
    follower.Start();
    const int reads = aView.mReads;
    test::RunUntil(*mReactor, [&] { return aView.mReads > reads; });
  }

  std::unique_ptr<Reactor> mReactor;
  MemoryPlatform mPlatform;
  ChangeCommitterSettings mSettings;
};

} // namespace

RC_BOOST_PROP(RacingCommitsTakeEffectInOneOrder, ())
{
  Fixture fixture;
  View a;
  View b;
  auto first = fixture.MakeCommitter(a);
  auto second = fixture.MakeCommitter(b);
  std::vector<std::string> told;
  for (int n = 0; n < 4; ++n) {
    const auto fates = *rc::gen::container<std::vector<CallFate>>(
      5,
      rc::gen::weightedElement<CallFate>({ { 4, CallFate::Answer },
                                           { 1, CallFate::LoseAnswer },
                                           { 1, CallFate::LoseRequest },
                                           { 1, CallFate::Late },
                                           { 1, CallFate::NotReach } }));
    fixture.mPlatform.mNextFates.assign(fates.begin(), fates.end());
    const bool byFirst = *rc::gen::arbitrary<bool>();
    View& view = byFirst ? a : b;
    ChangeCommitter& committer = byFirst ? *first : *second;
    const std::string operation = "op-" + std::to_string(n);
    const CommitResult result =
      fixture.Commit(committer, Change(view.HeldVersion() + 1, operation));
    if (result.mReason.mCode == ReasonCode::None) {
      told.push_back(operation);
    }
    if (*rc::gen::arbitrary<bool>()) {
      fixture.mPlatform.ApplyLate();
    }
    fixture.mPlatform.mNextFates.clear();
    test::RunUntil(*fixture.mReactor,
                   [&] { return !first->IsInDoubt() && !second->IsInDoubt(); });
    fixture.mPlatform.ApplyLate();
    if (*rc::gen::arbitrary<bool>()) {
      fixture.Follow(view);
    }
  }
  // What took effect is what was accepted, each exactly once, in order.
  View reader;
  fixture.Follow(reader);
  const std::size_t accepted = a.mAccepted.size() + b.mAccepted.size();
  RC_ASSERT(reader.HeldVersion() == accepted);
  RC_ASSERT(told.size() <= accepted);
  fixture.Follow(a);
  fixture.Follow(b);
  RC_ASSERT(EncodeSnapshot(a.mStore.Get()) ==
            EncodeSnapshot(reader.mStore.Get()));
  RC_ASSERT(EncodeSnapshot(b.mStore.Get()) ==
            EncodeSnapshot(reader.mStore.Get()));
  RC_ASSERT(!a.mOpen);
  RC_ASSERT(!b.mOpen);
  RC_ASSERT(a.mSuspended.size() == a.mSettled.size());
  RC_ASSERT(b.mSuspended.size() == b.mSettled.size());
}

BOOST_AUTO_TEST_CASE(LateCommitThatWasGivenUpNeverTakesEffect)
{
  Fixture fixture;
  View view;
  auto committer = fixture.MakeCommitter(view);
  fixture.mPlatform.mNextFates = { CallFate::Answer, CallFate::Late };
  const CommitResult result = fixture.Commit(*committer, Change(1, "op"));
  BOOST_TEST((result.mReason.mCode == ReasonCode::Unreachable));
  fixture.mPlatform.ApplyLate();
  View reader;
  fixture.Follow(reader);
  BOOST_TEST(reader.HeldVersion() == 0u);
}

BOOST_AUTO_TEST_CASE(WithdrawnKeysAreSuspendedWhileInDoubt)
{
  Fixture fixture;
  View view;
  auto committer = fixture.MakeCommitter(view);
  fixture.mPlatform.mNextFates = { CallFate::Answer, CallFate::LoseAnswer };
  fixture.mPlatform.mFate = CallFate::NotReach;
  const CommitResult result = fixture.Commit(
    *committer, { { 1, "op", { { ItemKind::Key, "k1", "" } } }, "maria" });
  BOOST_TEST((result.mReason.mCode == ReasonCode::InDoubt));
  BOOST_TEST(committer->IsInDoubt());
  BOOST_TEST(view.mOpen);
  BOOST_REQUIRE(view.mSuspended.size() == 1u);
  BOOST_TEST(view.mSuspended[0].mVersion == 1u);
  BOOST_TEST(
    (view.mSuspended[0].mKeyNames == std::vector<std::string>{ "k1" }));
  BOOST_TEST((fixture.Commit(*committer, Change(1, "next")).mReason.mCode ==
              ReasonCode::Unreachable));
  fixture.mPlatform.mFate = CallFate::Answer;
  test::RunUntil(*fixture.mReactor, [&] { return !committer->IsInDoubt(); });
  BOOST_TEST((view.mSettled == std::vector<std::string>{ "op" }));
  BOOST_TEST((view.mAccepted == std::vector<std::string>{ "op" }));
}

BOOST_AUTO_TEST_CASE(SnapshotsReplaceOldChanges)
{
  Fixture fixture;
  View view;
  auto committer = fixture.MakeCommitter(view);
  SnapshotKeeper keeper(fixture.mPlatform, { 5, 4, 3 });
  for (std::uint64_t version = 1; version <= 23; ++version) {
    const std::string operation = "op-" + std::to_string(version);
    const CommitResult result =
      fixture.Commit(*committer, Change(version, operation));
    BOOST_TEST((result.mReason.mCode == ReasonCode::None),
               result.mReason.mText);
    keeper.OnCommitted(view.mStore.Get());
    fixture.Follow(view);
    fixture.Follow(view);
  }
  BOOST_TEST(fixture.mPlatform.mObjects.count("config-snapshot-20") == 1u);
  BOOST_TEST(fixture.mPlatform.CountRows("config/change/") < 15u);
  BOOST_TEST(fixture.mPlatform.CountRows("config/operation/") < 15u);
  View reader;
  fixture.Follow(reader);
  BOOST_TEST(reader.mSnapshots == 1);
  BOOST_TEST(EncodeSnapshot(reader.mStore.Get()) ==
             EncodeSnapshot(view.mStore.Get()));
}

BOOST_AUTO_TEST_CASE(SilentPlatformIsTold)
{
  Fixture fixture;
  View view;
  fixture.mPlatform.mFate = CallFate::NotReach;
  ConfigFollower follower(
    *fixture.mReactor, fixture.mPlatform, { 1ms, 3 }, view, 1);
  follower.Start();
  test::RunUntil(*fixture.mReactor, [&] { return view.mSilences > 1; });
  BOOST_TEST(view.mSilences > 1);
  BOOST_TEST(view.mReads == 0);
}
