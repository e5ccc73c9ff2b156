/// Commits changes of the configuration by compare-and-set on its version.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/ChangeCommitter.h>

#include <Peridothoist/Platform/ConfigRows.h>

namespace peridothoist {

namespace {

std::vector<std::string>
WithdrawnKeys(const ConfigChange& aChange)
{
  std::vector<std::string> keys;
  for (const ItemEdit& it : aChange.mEdits) {
    // Replacing a key also withdraws its previous value.
    if (it.mKind == ItemKind::Key) {
      keys.push_back(it.mName);
    }
  }
  return keys;
}

} // namespace

ChangeCommitter::ChangeCommitter(Reactor& aReactor,
                                 Platform& aPlatform,
                                 const Settings& aSettings,
                                 ChangeCommitterListener& aListener,
                                 std::uint64_t aSeed)
  : mReactor(aReactor)
  , mPlatform(aPlatform)
  , mSettings(aSettings)
  , mListener(aListener)
  , mResolver(aReactor, aPlatform, aSettings.mResolver, aSeed)
  , mIsAlive(std::make_shared<bool>(true))
{
}

ChangeCommitter::~ChangeCommitter()
{
  *mIsAlive = false;
}

template<typename Result>
std::function<void(const Result&)>
ChangeCommitter::Guard(void (ChangeCommitter::*aMethod)(const Result&))
{
  return [this, isAlive = mIsAlive, aMethod](const Result& aResult) {
    if (*isAlive) {
      (this->*aMethod)(aResult);
    }
  };
}

void
ChangeCommitter::Commit(ChangeRecord aRecord, Callback aCallback)
{
  if (mIsInDoubt) {
    CommitResult result;
    result.mReason = { ReasonCode::Unreachable,
                       "an earlier commit is in doubt" };
    aCallback(result);
    return;
  }
  mQueue.push_back({ std::move(aRecord), std::move(aCallback) });
  if (mQueue.size() == 1) {
    StartNext();
  }
}

void
ChangeCommitter::ResolveOtherCommit(const std::string& aOperationId)
{
  mResolver.Resolve(aOperationId, [this, aOperationId](std::uint64_t) {
    mListener.OnCommitResolved(aOperationId);
  });
}

void
ChangeCommitter::StartNext()
{
  if (!mQueue.empty()) {
    ReadHead();
  }
}

void
ChangeCommitter::ReadHead()
{
  ++mQueue.front().mHeadReads;
  mPlatform.ReadRow(kConfigHeadKey, Guard(&ChangeCommitter::OnHeadRead));
}

void
ChangeCommitter::OnHeadRead(const ScanResult& aResult)
{
  if (!aResult.mIsSuccessful) {
    Finish(ReasonCode::Unreachable, "the platform can't be reached", 0);
    return;
  }
  ConfigHead head;
  std::uint64_t rowVersion = 0;
  if (!aResult.mRows.empty()) {
    const auto decoded = DecodeHead(aResult.mRows.front().mValue, nullptr);
    if (!decoded) {
      Finish(
        ReasonCode::Refused, "the configuration's head row is malformed", 0);
      return;
    }
    head = *decoded;
    rowVersion = aResult.mRows.front().mVersion;
  }
  const std::uint64_t version = mQueue.front().mRecord.mChange.mVersion;
  if (head.mVersion + 1 != version) {
    Finish(ReasonCode::Conflict,
           "another change was committed first",
           head.mVersion);
    return;
  }
  if (mQueue.front().mHeadReads > mSettings.mMaxHeadReads) {
    Finish(
      ReasonCode::Unreachable, "the configuration's head row kept changing", 0);
    return;
  }
  SendCommit(head, rowVersion);
}

void
ChangeCommitter::SendCommit(const ConfigHead& aHead, std::uint64_t aRowVersion)
{
  const ChangeRecord& record = mQueue.front().mRecord;
  const std::uint64_t version = record.mChange.mVersion;
  const std::string change = ConfigChangeKey(version);
  const std::string operation = ConfigOperationKey(record.mChange.mOperationId);
  TableTransaction transaction;
  transaction.mConditions = { { kConfigHeadKey, aRowVersion },
                              { change, 0 },
                              { operation, 0 } };
  transaction.mWrites = { { kConfigHeadKey,
                            EncodeHead({ version, aHead.mSnapshot }) },
                          { change, EncodeChange(record) },
                          { operation, EncodeOperationVersion(version) } };
  mListener.OnCommitPending(true);
  mPlatform.Commit(transaction, Guard(&ChangeCommitter::OnCommitResult));
}

void
ChangeCommitter::OnCommitResult(const TransactionResult& aResult)
{
  if (aResult.mStatus != TransactionStatus::InDoubt &&
      aResult.mStatus != TransactionStatus::Committed) {
    mListener.OnCommitPending(false);
  }
  switch (aResult.mStatus) {
    case TransactionStatus::Committed:
      CompleteAccepted();
      return;
    case TransactionStatus::Conflict:
      ReadHead();
      return;
    case TransactionStatus::Refused:
      Finish(ReasonCode::Refused, aResult.mReason, 0);
      return;
    case TransactionStatus::NotReached:
      Finish(ReasonCode::Unreachable, aResult.mReason, 0);
      return;
    case TransactionStatus::InDoubt:
      OnInDoubt();
      return;
  }
}

void
ChangeCommitter::OnInDoubt()
{
  mIsInDoubt = true;
  const ConfigChange& change = mQueue.front().mRecord.mChange;
  KeySuspension suspension;
  suspension.mOperationId = change.mOperationId;
  suspension.mVersion = change.mVersion;
  suspension.mKeyNames = WithdrawnKeys(change);
  mListener.OnCommitInDoubt(suspension);
  const auto isAlive = mIsAlive;
  const std::string operation = change.mOperationId;
  mReactor.Schedule(mSettings.mResultTimeout, [this, isAlive, operation] {
    if (*isAlive && mIsInDoubt &&
        mQueue.front().mRecord.mChange.mOperationId == operation) {
      InvokeCallback(
        ReasonCode::InDoubt, "the platform's response was lost", 0);
    }
  });
  mResolver.Resolve(operation,
                    [this](std::uint64_t aVersion) { OnResolved(aVersion); });
}

void
ChangeCommitter::OnResolved(std::uint64_t aVersion)
{
  mIsInDoubt = false;
  if (aVersion == 0) {
    mListener.OnCommitPending(false);
  }
  const std::string operation = mQueue.front().mRecord.mChange.mOperationId;
  if (aVersion != 0) {
    CompleteAccepted();
  } else {
    Finish(ReasonCode::Unreachable, "the platform did not apply the change", 0);
  }
  mListener.OnCommitResolved(operation);
}

void
ChangeCommitter::CompleteAccepted()
{
  mListener.OnChangeAccepted(mQueue.front().mRecord);
  mListener.OnCommitPending(false);
  Finish(ReasonCode::None, {}, mQueue.front().mRecord.mChange.mVersion);
}

void
ChangeCommitter::InvokeCallback(ReasonCode aCode,
                                std::string aText,
                                std::uint64_t aVersion)
{
  const Callback callback = std::move(mQueue.front().mCallback);
  mQueue.front().mCallback = nullptr;
  if (callback) {
    callback({ { aCode, std::move(aText) }, aVersion });
  }
}

void
ChangeCommitter::Finish(ReasonCode aCode,
                        std::string aText,
                        std::uint64_t aVersion)
{
  InvokeCallback(aCode, std::move(aText), aVersion);
  mQueue.pop_front();
  StartNext();
}

} // namespace peridothoist
