/// The recording of one outcome.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/RecordOutcomeOperation.h>

#include <Peridothoist/Shell/Log.h>

namespace peridothoist::detail {

namespace {

OutcomeRowState
ToRowState(OutcomeState aState)
{
  switch (aState) {
    case OutcomeState::NotRun:
      return OutcomeRowState::NotRun;
    case OutcomeState::MayHaveRun:
      return OutcomeRowState::MayHaveRun;
    case OutcomeState::Done:
      return OutcomeRowState::Done;
  }
  PH_ASSERT(false);
}

} // namespace

void
RecordOutcomeOperation::Start(std::shared_ptr<OutcomeStoreContext> aContext,
                              const std::string& aWorkspace,
                              const RequestCommand& aCommand)
{
  const std::shared_ptr<RecordOutcomeOperation> operation(
    new RecordOutcomeOperation(std::move(aContext), aWorkspace, aCommand));
  operation->StoreBody();
}

RecordOutcomeOperation::RecordOutcomeOperation(
  std::shared_ptr<OutcomeStoreContext> aContext,
  const std::string& aWorkspace,
  const RequestCommand& aCommand)
  : mContext(std::move(aContext))
  , mKey(OutcomeRowKey(aWorkspace, aCommand.mIdempotencyKey))
  , mExpectedVersion(aCommand.mRowVersion)
  , mBackoff(mContext->mSettings.mRecordBackoff)
{
  ++mContext->mPendingOutcomes;
  mRow.mState = ToRowState(aCommand.mOutcome);
  mRow.mRequestDigest = aCommand.mRequestDigest;
  mRow.mAttemptId = mContext->MakeAttemptId(aCommand.mId);
  if (mRow.mState == OutcomeRowState::Done) {
    mRow.mStoredOutcome = { aCommand.mStatus,
                            aCommand.mBody,
                            aCommand.mHeaders };
    if (!FitsOutcomeRow(aCommand.mBody)) {
      mObjectBody = aCommand.mBody;
      mRow.mObjectName = "outcome-" + mRow.mAttemptId;
    }
  }
}

RecordOutcomeOperation::~RecordOutcomeOperation()
{
  --mContext->mPendingOutcomes;
}

void
RecordOutcomeOperation::StoreBody()
{
  if (mRow.mObjectName.empty()) {
    mExpectedVersion != 0 ? WriteRow() : ReadExisting();
    return;
  }
  mContext->mPlatform.PutObject(
    mRow.mObjectName, mObjectBody, [self = shared_from_this()](bool aStored) {
      if (!aStored) {
        self->ScheduleRetry(&RecordOutcomeOperation::StoreBody);
        return;
      }
      self->mExpectedVersion != 0 ? self->WriteRow() : self->ReadExisting();
    });
}

void
RecordOutcomeOperation::WriteRow()
{
  mRow.mWrittenAt = UnixTimeSeconds();
  const TableTransaction transaction{ { { mKey, mExpectedVersion } },
                                      { { mKey, EncodeOutcomeRow(mRow) } } };
  mContext->mPlatform.Commit(
    transaction, [self = shared_from_this()](const TransactionResult& aResult) {
      self->OnRowWritten(aResult);
    });
}

void
RecordOutcomeOperation::OnRowWritten(const TransactionResult& aResult)
{
  switch (aResult.mStatus) {
    case TransactionStatus::Committed:
      return;
    case TransactionStatus::Refused:
      Log::Error("outcome_refused")
        .Field("row", mKey)
        .Field("reason", aResult.mReason);
      ScheduleRetry(&RecordOutcomeOperation::ReadExisting);
      return;
    case TransactionStatus::Conflict:
      ReadExisting();
      return;
    case TransactionStatus::NotReached:
    case TransactionStatus::InDoubt:
      ScheduleRetry(&RecordOutcomeOperation::ReadExisting);
      return;
  }
}

void
RecordOutcomeOperation::ReadExisting()
{
  mContext->mPlatform.ReadRow(
    mKey, [self = shared_from_this()](const ScanResult& aResult) {
      self->OnRowRead(aResult);
    });
}

void
RecordOutcomeOperation::OnRowRead(const ScanResult& aResult)
{
  if (!aResult.mIsSuccessful) {
    ScheduleRetry(&RecordOutcomeOperation::ReadExisting);
    return;
  }
  if (aResult.mRows.empty()) {
    // The claim's insert may still be in transit; it fails if this row exists
    // before it arrives.
    mExpectedVersion = 0;
    WriteRow();
    return;
  }
  const TableRow& found = aResult.mRows.front();
  const std::optional<OutcomeRow> row = DecodeOutcomeRow(found.mValue);
  const bool isOurs = row && row->mAttemptId == mRow.mAttemptId;
  if (isOurs && row->mState == mRow.mState) {
    return;
  }
  // Our claim's write to take over this row may still be in transit; writing
  // the row again changes its version, so that the late write fails.
  const bool bothNotRun = row && row->mState == OutcomeRowState::NotRun &&
                          mRow.mState == OutcomeRowState::NotRun;
  const bool isSettled = row && row->mState == OutcomeRowState::Settled;
  if ((!isOurs && !bothNotRun) || isSettled) {
    Log::Warning("outcome_not_kept")
      .Field("row", mKey)
      .Field("state", ToName(mRow.mState));
    return;
  }
  mExpectedVersion = found.mVersion;
  WriteRow();
}

void
RecordOutcomeOperation::ScheduleRetry(void (RecordOutcomeOperation::*aMethod)())
{
  const Duration wait = mBackoff.NextDelay(mContext->mRandom);
  mContext->mReactor.Schedule(
    wait, [self = shared_from_this(), aMethod] { ((*self).*aMethod)(); });
}

} // namespace peridothoist::detail
