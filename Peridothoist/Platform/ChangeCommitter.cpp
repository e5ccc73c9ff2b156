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
    // A key that is replaced is withdrawn too.
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
  , mSettler(aReactor, aPlatform, aSettings.mSettler, aSeed)
  , mAlive(std::make_shared<bool>(true))
{
}

ChangeCommitter::~ChangeCommitter()
{
  *mAlive = false;
}

template<typename Result>
std::function<void(const Result&)>
ChangeCommitter::Guard(void (ChangeCommitter::*aMethod)(const Result&))
{
  return [this, alive = mAlive, aMethod](const Result& aResult) {
    if (*alive) {
      (this->*aMethod)(aResult);
    }
  };
}

void
ChangeCommitter::Commit(ChangeRecord aRecord, Done aDone)
{
  if (mInDoubt) {
    CommitResult result;
    result.mReason = { ReasonCode::Unreachable,
                       "an earlier commit is in doubt" };
    aDone(result);
    return;
  }
  mOrders.push_back({ std::move(aRecord), std::move(aDone) });
  if (mOrders.size() == 1) {
    StartNext();
  }
}

void
ChangeCommitter::SettleOther(const std::string& aOperationId)
{
  mSettler.Settle(aOperationId, [this, aOperationId](std::uint64_t) {
    mListener.OnCommitSettled(aOperationId);
  });
}

void
ChangeCommitter::StartNext()
{
  if (!mOrders.empty()) {
    ReadHead();
  }
}

void
ChangeCommitter::ReadHead()
{
  ++mOrders.front().mTries;
  mPlatform.ReadRow(kConfigHeadRow, Guard(&ChangeCommitter::OnHead));
}

void
ChangeCommitter::OnHead(const ScanResult& aResult)
{
  if (!aResult.mReached) {
    Finish(ReasonCode::Unreachable, "the platform doesn't answer", 0);
    return;
  }
  ConfigHead head;
  std::uint64_t rowVersion = 0;
  if (!aResult.mRows.empty()) {
    const auto read = DecodeHead(aResult.mRows.front().mValue, nullptr);
    if (!read) {
      Finish(ReasonCode::Refused, "the head row can't be read", 0);
      return;
    }
    head = *read;
    rowVersion = aResult.mRows.front().mVersion;
  }
  const std::uint64_t version = mOrders.front().mRecord.mChange.mVersion;
  if (head.mVersion + 1 != version) {
    Finish(ReasonCode::Conflict, "another change came first", head.mVersion);
    return;
  }
  if (mOrders.front().mTries > mSettings.mMaxTries) {
    Finish(ReasonCode::Unreachable, "the head row keeps changing", 0);
    return;
  }
  Write(head, rowVersion);
}

void
ChangeCommitter::Write(const ConfigHead& aHead, std::uint64_t aRowVersion)
{
  const ChangeRecord& record = mOrders.front().mRecord;
  const std::uint64_t version = record.mChange.mVersion;
  const std::string change = ConfigChangeRow(version);
  const std::string operation = ConfigOperationRow(record.mChange.mOperationId);
  TableTransaction transaction;
  transaction.mConditions = { { kConfigHeadRow, aRowVersion },
                              { change, 0 },
                              { operation, 0 } };
  transaction.mWrites = { { kConfigHeadRow,
                            EncodeHead({ version, aHead.mSnapshot }) },
                          { change, EncodeChange(record) },
                          { operation, EncodeOperation(version) } };
  mListener.OnCommitOpen(true);
  mPlatform.Commit(transaction, Guard(&ChangeCommitter::OnWritten));
}

void
ChangeCommitter::OnWritten(const TransactionResult& aResult)
{
  if (aResult.mEnd != TransactionEnd::InDoubt &&
      aResult.mEnd != TransactionEnd::Committed) {
    mListener.OnCommitOpen(false);
  }
  switch (aResult.mEnd) {
    case TransactionEnd::Committed:
      Accept();
      return;
    case TransactionEnd::Conflict:
      ReadHead();
      return;
    case TransactionEnd::Refused:
      Finish(ReasonCode::Refused, aResult.mReason, 0);
      return;
    case TransactionEnd::NotReached:
      Finish(ReasonCode::Unreachable, aResult.mReason, 0);
      return;
    case TransactionEnd::InDoubt:
      StartDoubt();
      return;
  }
}

void
ChangeCommitter::StartDoubt()
{
  mInDoubt = true;
  const ConfigChange& change = mOrders.front().mRecord.mChange;
  KeySuspension suspension;
  suspension.mOperationId = change.mOperationId;
  suspension.mVersion = change.mVersion;
  suspension.mKeyNames = WithdrawnKeys(change);
  mListener.OnCommitInDoubt(suspension);
  const auto alive = mAlive;
  const std::string operation = change.mOperationId;
  mReactor.Schedule(mSettings.mAnswerLimit, [this, alive, operation] {
    if (*alive && mInDoubt &&
        mOrders.front().mRecord.mChange.mOperationId == operation) {
      Answer(ReasonCode::InDoubt, "the platform's answer was lost", 0);
    }
  });
  mSettler.Settle(operation,
                  [this](std::uint64_t aVersion) { OnSettled(aVersion); });
}

void
ChangeCommitter::OnSettled(std::uint64_t aVersion)
{
  mInDoubt = false;
  if (aVersion == 0) {
    mListener.OnCommitOpen(false);
  }
  const std::string operation = mOrders.front().mRecord.mChange.mOperationId;
  if (aVersion != 0) {
    Accept();
  } else {
    Finish(ReasonCode::Unreachable, "the platform didn't take the change", 0);
  }
  mListener.OnCommitSettled(operation);
}

void
ChangeCommitter::Accept()
{
  mListener.OnChangeAccepted(mOrders.front().mRecord);
  mListener.OnCommitOpen(false);
  Finish(ReasonCode::None, {}, mOrders.front().mRecord.mChange.mVersion);
}

void
ChangeCommitter::Answer(ReasonCode aCode,
                        std::string aText,
                        std::uint64_t aVersion)
{
  const Done done = std::move(mOrders.front().mDone);
  mOrders.front().mDone = nullptr;
  if (done) {
    done({ { aCode, std::move(aText) }, aVersion });
  }
}

void
ChangeCommitter::Finish(ReasonCode aCode,
                        std::string aText,
                        std::uint64_t aVersion)
{
  Answer(aCode, std::move(aText), aVersion);
  mOrders.pop_front();
  StartNext();
}

} // namespace peridothoist
