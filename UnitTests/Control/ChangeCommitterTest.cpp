/// Each change takes effect exactly once or never, and committing and polling
/// processes reach the same configuration, whichever platform requests or
/// responses are lost or delayed.
#define BOOST_TEST_MODULE ChangeCommitter
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/ConfigurationStore.h>
#include <Peridothoist/Platform/ChangeCommitter.h>
#include <Peridothoist/Platform/ConfigPoller.h>
#include <Peridothoist/Platform/ConfigRows.h>
#include <Peridothoist/Platform/ConfigCompactor.h>

#include <Control/InMemoryPlatform.h>
#include <Shell/ShellFixture.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;

namespace {

ChangeRecord
MakeChange(std::uint64_t aVersion, const std::string& aOperation)
{
  const std::string json = R"({"role":"plain","model":")" + aOperation + "\"}";
  return { { aVersion, aOperation, { { ItemKind::Pool, "p", json } } },
           "maria" };
}

/// View of one control process, which records the events it receives.
struct RecordingView
  : ChangeCommitterListener
  , ConfigPollerListener
{
  // See: ChangeCommitterListener
  void OnCommitPending(bool aIsPending) override
  {
    mIsCommitPending = aIsPending;
  }
  void OnChangeAccepted(const ChangeRecord& aRecord) override
  {
    mAccepted.push_back(aRecord.mChange.mOperationId);
    OnPlatformChange(aRecord);
  }
  void OnCommitInDoubt(const KeySuspension& aSuspension) override
  {
    mSuspended.push_back(aSuspension);
  }
  void OnCommitResolved(const std::string& aOperationId) override
  {
    mSettled.push_back(aOperationId);
  }

  // See: ConfigPollerListener
  std::uint64_t CurrentViewVersion() const override
  {
    return mStore.Get().mVersion;
  }
  void OnPlatformRead(const ViewStamp& aStamp, TimePoint) override
  {
    mConfirmed = aStamp;
    ++mReadCount;
  }
  void OnPlatformUnreachable() override { ++mUnreachableCount; }
  void OnPlatformChange(const ChangeRecord& aRecord) override
  {
    if (aRecord.mChange.mVersion == CurrentViewVersion() + 1) {
      mStore.Apply(aRecord.mChange, nullptr);
    }
  }
  void OnPlatformSnapshot(const Configuration& aConfiguration) override
  {
    mStore = ConfigurationStore(aConfiguration);
    ++mSnapshotCount;
  }
  void OnPlatformSharePlan(const SharePlan&, std::uint64_t) override {}

  ConfigurationStore mStore;
  bool mIsCommitPending = false;
  std::vector<std::string> mAccepted;
  std::vector<KeySuspension> mSuspended;
  std::vector<std::string> mSettled;
  ViewStamp mConfirmed;
  int mReadCount = 0;
  int mUnreachableCount = 0;
  int mSnapshotCount = 0;
};

struct Fixture
{
  Fixture()
    : mReactor(Reactor::Create())
    , mPlatform(*mReactor)
  {
    mSettings.mResultTimeout = 30ms;
    mSettings.mResolver.mBackoff = { 1ms, 4ms };
  }

  std::unique_ptr<ChangeCommitter> MakeCommitter(RecordingView& aView)
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

  /// Polls the platform until the view was confirmed.
  void PollUntilConfirmed(RecordingView& aView)
  {
    ConfigPoller poller(*mReactor, mPlatform, { 1ms, 3 }, aView, 1);
    poller.Start();
    const int reads = aView.mReadCount;
    test::RunUntil(*mReactor, [&] { return aView.mReadCount > reads; });
  }

  std::unique_ptr<Reactor> mReactor;
  InMemoryPlatform mPlatform;
  ChangeCommitterSettings mSettings;
};

} // namespace

RC_BOOST_PROP(ConcurrentCommitsApplyOnceInOneOrder, ())
{
  Fixture fixture;
  RecordingView a;
  RecordingView b;
  auto first = fixture.MakeCommitter(a);
  auto second = fixture.MakeCommitter(b);
  std::vector<std::string> reportedOperations;
  for (int n = 0; n < 4; ++n) {
    const auto faults = *rc::gen::container<std::vector<InjectedFault>>(
      5,
      rc::gen::weightedElement<InjectedFault>(
        { { 4, InjectedFault::None },
          { 1, InjectedFault::LoseResponse },
          { 1, InjectedFault::LoseRequest },
          { 1, InjectedFault::DelayCommit },
          { 1, InjectedFault::Unreached } }));
    fixture.mPlatform.mNextFaults.assign(faults.begin(), faults.end());
    const bool useFirst = *rc::gen::arbitrary<bool>();
    RecordingView& view = useFirst ? a : b;
    ChangeCommitter& committer = useFirst ? *first : *second;
    const std::string operation = "op-" + std::to_string(n);
    const CommitResult result = fixture.Commit(
      committer, MakeChange(view.CurrentViewVersion() + 1, operation));
    if (result.mReason.mCode == ReasonCode::None) {
      reportedOperations.push_back(operation);
    }
    if (*rc::gen::arbitrary<bool>()) {
      fixture.mPlatform.ApplyDelayed();
    }
    fixture.mPlatform.mNextFaults.clear();
    test::RunUntil(*fixture.mReactor,
                   [&] { return !first->IsInDoubt() && !second->IsInDoubt(); });
    fixture.mPlatform.ApplyDelayed();
    if (*rc::gen::arbitrary<bool>()) {
      fixture.PollUntilConfirmed(view);
    }
  }
  // Exactly the accepted changes took effect, once each and in order.
  RecordingView reader;
  fixture.PollUntilConfirmed(reader);
  const std::size_t acceptedCount = a.mAccepted.size() + b.mAccepted.size();
  RC_ASSERT(reader.CurrentViewVersion() == acceptedCount);
  RC_ASSERT(reportedOperations.size() <= acceptedCount);
  fixture.PollUntilConfirmed(a);
  fixture.PollUntilConfirmed(b);
  RC_ASSERT(EncodeSnapshot(a.mStore.Get()) ==
            EncodeSnapshot(reader.mStore.Get()));
  RC_ASSERT(EncodeSnapshot(b.mStore.Get()) ==
            EncodeSnapshot(reader.mStore.Get()));
  RC_ASSERT(!a.mIsCommitPending);
  RC_ASSERT(!b.mIsCommitPending);
  RC_ASSERT(a.mSuspended.size() == a.mSettled.size());
  RC_ASSERT(b.mSuspended.size() == b.mSettled.size());
}

BOOST_AUTO_TEST_CASE(DelayedCommitNeverAppliesAfterTimeout)
{
  Fixture fixture;
  RecordingView view;
  auto committer = fixture.MakeCommitter(view);
  fixture.mPlatform.mNextFaults = { InjectedFault::None,
                                    InjectedFault::DelayCommit };
  const CommitResult result = fixture.Commit(*committer, MakeChange(1, "op"));
  BOOST_TEST((result.mReason.mCode == ReasonCode::Unreachable));
  fixture.mPlatform.ApplyDelayed();
  RecordingView reader;
  fixture.PollUntilConfirmed(reader);
  BOOST_TEST(reader.CurrentViewVersion() == 0u);
}

BOOST_AUTO_TEST_CASE(DeletedKeysAreSuspendedWhileCommitIsInDoubt)
{
  Fixture fixture;
  RecordingView view;
  auto committer = fixture.MakeCommitter(view);
  fixture.mPlatform.mNextFaults = { InjectedFault::None,
                                    InjectedFault::LoseResponse };
  fixture.mPlatform.mDefaultFault = InjectedFault::Unreached;
  const CommitResult result = fixture.Commit(
    *committer, { { 1, "op", { { ItemKind::Key, "k1", "" } } }, "maria" });
  BOOST_TEST((result.mReason.mCode == ReasonCode::InDoubt));
  BOOST_TEST(committer->IsInDoubt());
  BOOST_TEST(view.mIsCommitPending);
  BOOST_REQUIRE(view.mSuspended.size() == 1u);
  BOOST_TEST(view.mSuspended[0].mVersion == 1u);
  BOOST_TEST(
    (view.mSuspended[0].mKeyNames == std::vector<std::string>{ "k1" }));
  BOOST_TEST((fixture.Commit(*committer, MakeChange(1, "next")).mReason.mCode ==
              ReasonCode::Unreachable));
  fixture.mPlatform.mDefaultFault = InjectedFault::None;
  test::RunUntil(*fixture.mReactor, [&] { return !committer->IsInDoubt(); });
  BOOST_TEST((view.mSettled == std::vector<std::string>{ "op" }));
  BOOST_TEST((view.mAccepted == std::vector<std::string>{ "op" }));
}

BOOST_AUTO_TEST_CASE(SnapshotsReplaceOldChanges)
{
  Fixture fixture;
  RecordingView view;
  auto committer = fixture.MakeCommitter(view);
  ConfigCompactor compactor(fixture.mPlatform, { 5, 4, 3 });
  for (std::uint64_t version = 1; version <= 23; ++version) {
    const std::string operation = "op-" + std::to_string(version);
    const CommitResult result =
      fixture.Commit(*committer, MakeChange(version, operation));
    BOOST_TEST((result.mReason.mCode == ReasonCode::None),
               result.mReason.mText);
    compactor.OnCommitted(view.mStore.Get());
    fixture.PollUntilConfirmed(view);
    fixture.PollUntilConfirmed(view);
  }
  BOOST_TEST(fixture.mPlatform.mObjects.count("config-snapshot-20") == 1u);
  BOOST_TEST(fixture.mPlatform.CountRows("config/change/") < 15u);
  BOOST_TEST(fixture.mPlatform.CountRows("config/operation/") < 15u);
  RecordingView reader;
  fixture.PollUntilConfirmed(reader);
  BOOST_TEST(reader.mSnapshotCount == 1);
  BOOST_TEST(EncodeSnapshot(reader.mStore.Get()) ==
             EncodeSnapshot(view.mStore.Get()));
}

BOOST_AUTO_TEST_CASE(UnreachablePlatformIsReported)
{
  Fixture fixture;
  RecordingView view;
  fixture.mPlatform.mDefaultFault = InjectedFault::Unreached;
  ConfigPoller poller(
    *fixture.mReactor, fixture.mPlatform, { 1ms, 3 }, view, 1);
  poller.Start();
  test::RunUntil(*fixture.mReactor, [&] { return view.mUnreachableCount > 1; });
  BOOST_TEST(view.mUnreachableCount > 1);
  BOOST_TEST(view.mReadCount == 0);
}
