/// The writing of one outcome.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/OutcomeRecording.h>

#include <Peridothoist/Shell/Log.h>

namespace peridothoist::detail {

namespace {

OutcomeRowState
RowStateOf(OutcomeState aState)
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
OutcomeRecording::Start(std::shared_ptr<OutcomeContext> aContext,
                        const std::string& aWorkspace,
                        const RequestCommand& aCommand)
{
  const std::shared_ptr<OutcomeRecording> recording(
    new OutcomeRecording(std::move(aContext), aWorkspace, aCommand));
  recording->StoreBody();
}

OutcomeRecording::OutcomeRecording(std::shared_ptr<OutcomeContext> aContext,
                                   const std::string& aWorkspace,
                                   const RequestCommand& aCommand)
  : mContext(std::move(aContext))
  , mKey(OutcomeRowKey(aWorkspace, aCommand.mIdempotencyKey))
  , mVersion(aCommand.mRowVersion)
  , mBackoff(mContext->mSettings.mRecordBackoff)
{
  ++mContext->mOpenRecords;
  mRow.mState = RowStateOf(aCommand.mOutcome);
  mRow.mBodyDigest = aCommand.mBodyDigest;
  mRow.mAttempt = mContext->AttemptOf(aCommand.mId);
  if (mRow.mState == OutcomeRowState::Done) {
    mRow.mKept = { aCommand.mStatus, aCommand.mBody, aCommand.mHeaders };
    if (!FitsOutcomeRow(aCommand.mBody)) {
      mObjectBody = aCommand.mBody;
      mRow.mObject = "outcome-" + mRow.mAttempt;
    }
  }
}

OutcomeRecording::~OutcomeRecording()
{
  --mContext->mOpenRecords;
}

void
OutcomeRecording::StoreBody()
{
  if (mRow.mObject.empty()) {
    mVersion != 0 ? Write() : Read();
    return;
  }
  mContext->mPlatform.PutObject(
    mRow.mObject, mObjectBody, [self = shared_from_this()](bool aStored) {
      if (!aStored) {
        self->TryAgain(&OutcomeRecording::StoreBody);
        return;
      }
      self->mVersion != 0 ? self->Write() : self->Read();
    });
}

void
OutcomeRecording::Write()
{
  mRow.mWrittenAt = UnixNow();
  const TableTransaction transaction{ { { mKey, mVersion } },
                                      { { mKey, EncodeOutcomeRow(mRow) } } };
  mContext->mPlatform.Commit(
    transaction, [self = shared_from_this()](const TransactionResult& aResult) {
      self->OnWritten(aResult);
    });
}

void
OutcomeRecording::OnWritten(const TransactionResult& aResult)
{
  switch (aResult.mEnd) {
    case TransactionEnd::Committed:
      return;
    case TransactionEnd::Refused:
      Log::Error("outcome_refused")
        .Field("row", mKey)
        .Field("reason", aResult.mReason);
      TryAgain(&OutcomeRecording::Read);
      return;
    case TransactionEnd::Conflict:
      Read();
      return;
    case TransactionEnd::NotReached:
    case TransactionEnd::InDoubt:
      TryAgain(&OutcomeRecording::Read);
      return;
  }
}

void
OutcomeRecording::Read()
{
  mContext->mPlatform.ReadRow(
    mKey, [self = shared_from_this()](const ScanResult& aResult) {
      self->OnRead(aResult);
    });
}

void
OutcomeRecording::OnRead(const ScanResult& aResult)
{
  if (!aResult.mReached) {
    TryAgain(&OutcomeRecording::Read);
    return;
  }
  if (aResult.mRows.empty()) {
    // The claim's insert may still be on its way; a row that stands first
    // keeps it from taking effect.
    mVersion = 0;
    Write();
    return;
  }
  const TableRow& found = aResult.mRows.front();
  const std::optional<OutcomeRow> row = DecodeOutcomeRow(found.mValue);
  const bool isOurs = row && row->mAttempt == mRow.mAttempt;
  if (isOurs && row->mState == mRow.mState) {
    return;
  }
  // Our claim may have been about to take this row over; writing it again
  // keeps a late take-over from taking effect.
  const bool bothNotRun = row && row->mState == OutcomeRowState::NotRun &&
                          mRow.mState == OutcomeRowState::NotRun;
  const bool isSettled = row && row->mState == OutcomeRowState::Settled;
  if ((!isOurs && !bothNotRun) || isSettled) {
    Log::Warning("outcome_not_kept")
      .Field("row", mKey)
      .Field("state", ToName(mRow.mState));
    return;
  }
  mVersion = found.mVersion;
  Write();
}

void
OutcomeRecording::TryAgain(void (OutcomeRecording::*aStep)())
{
  const Duration wait = mBackoff.Next(mContext->mRandom);
  mContext->mReactor.Schedule(
    wait, [self = shared_from_this(), aStep] { ((*self).*aStep)(); });
}

} // namespace peridothoist::detail
