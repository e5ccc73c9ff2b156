/// The insertion of one claim.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/InsertClaimOperation.h>

namespace peridothoist::detail {

void
InsertClaimOperation::Start(std::shared_ptr<OutcomeStoreContext> aContext,
                            const std::string& aWorkspace,
                            const RequestCommand& aCommand,
                            ClaimStore::ClaimCallback aCallback)
{
  const std::shared_ptr<InsertClaimOperation> operation(
    new InsertClaimOperation(
      std::move(aContext), aWorkspace, aCommand, std::move(aCallback)));
  operation->WriteNewClaim();
}

InsertClaimOperation::InsertClaimOperation(
  std::shared_ptr<OutcomeStoreContext> aContext,
  const std::string& aWorkspace,
  const RequestCommand& aCommand,
  ClaimStore::ClaimCallback aCallback)
  : mContext(std::move(aContext))
  , mKey(OutcomeRowKey(aWorkspace, aCommand.mIdempotencyKey))
  , mAttemptId(mContext->MakeAttemptId(aCommand.mId))
  , mRequestDigest(aCommand.mRequestDigest)
  , mCallback(std::move(aCallback))
  , mDeadline(mContext->mReactor.Now() + mContext->mSettings.mInsertTimeout)
  , mBackoff(mContext->mSettings.mInsertBackoff)
{
}

void
InsertClaimOperation::WriteClaim(std::uint64_t aExpectedVersion)
{
  OutcomeRow row;
  row.mRequestDigest = mRequestDigest;
  row.mAttemptId = mAttemptId;
  row.mWrittenAt = UnixTimeSeconds();
  const TableTransaction transaction{ { { mKey, aExpectedVersion } },
                                      { { mKey, EncodeOutcomeRow(row) } } };
  mContext->mPlatform.Commit(
    transaction, [self = shared_from_this()](const TransactionResult& aResult) {
      self->OnClaimWritten(aResult);
    });
}

void
InsertClaimOperation::OnClaimWritten(const TransactionResult& aResult)
{
  switch (aResult.mStatus) {
    case TransactionStatus::Committed:
      Complete(ClaimResultKind::Inserted, aResult.mRevision);
      return;
    case TransactionStatus::Conflict:
      ReadClaim();
      return;
    case TransactionStatus::Refused:
      Complete(ClaimResultKind::Unreachable);
      return;
    case TransactionStatus::NotReached:
      ScheduleRetry(mMayHoldOurClaim ? &InsertClaimOperation::ReadClaim
                                     : &InsertClaimOperation::WriteNewClaim);
      return;
    case TransactionStatus::InDoubt:
      mMayHoldOurClaim = true;
      ScheduleRetry(&InsertClaimOperation::ReadClaim);
      return;
  }
}

void
InsertClaimOperation::ReadClaim()
{
  mContext->mPlatform.ReadRow(
    mKey, [self = shared_from_this()](const ScanResult& aResult) {
      self->OnClaimRead(aResult);
    });
}

void
InsertClaimOperation::OnClaimRead(const ScanResult& aResult)
{
  if (!aResult.mIsSuccessful) {
    ScheduleRetry(&InsertClaimOperation::ReadClaim);
    return;
  }
  if (aResult.mRows.empty()) {
    // Retrying is safe: at most one of our inserts takes effect, since each
    // requires that the row doesn't exist.
    ScheduleRetry(&InsertClaimOperation::WriteNewClaim);
    return;
  }
  const TableRow& found = aResult.mRows.front();
  const std::optional<OutcomeRow> row = DecodeOutcomeRow(found.mValue);
  if (!row) {
    Complete(ClaimResultKind::ExistsSame);
    return;
  }
  OnExistingClaim(*row, found.mVersion);
}

void
InsertClaimOperation::OnExistingClaim(const OutcomeRow& aRow,
                                      std::uint64_t aVersion)
{
  if (aRow.mRequestDigest != mRequestDigest) {
    Complete(ClaimResultKind::ExistsOtherBody);
    return;
  }
  if (aRow.mAttemptId == mAttemptId &&
      aRow.mState == OutcomeRowState::Claimed) {
    Complete(ClaimResultKind::Inserted, aVersion);
    return;
  }
  if (aRow.mState == OutcomeRowState::NotRun) {
    if (mContext->mReactor.Now() >= mDeadline) {
      Complete(ClaimResultKind::Unreachable);
      return;
    }
    WriteClaim(aVersion);
    return;
  }
  CompleteWithStoredOutcome(aRow);
}

void
InsertClaimOperation::CompleteWithStoredOutcome(const OutcomeRow& aRow)
{
  if (aRow.mObjectName.empty() || !aRow.mStoredOutcome) {
    Complete(ClaimResultKind::ExistsSame, 0, aRow.mStoredOutcome);
    return;
  }
  mContext->mPlatform.GetObject(
    aRow.mObjectName,
    [self = shared_from_this(),
     outcome = *aRow.mStoredOutcome](const ObjectResult& aResult) mutable {
      if (!aResult.mIsFound) {
        self->ScheduleRetry(&InsertClaimOperation::ReadClaim);
        return;
      }
      outcome.mBody = aResult.mBody;
      self->Complete(ClaimResultKind::ExistsSame, 0, std::move(outcome));
    });
}

void
InsertClaimOperation::ScheduleRetry(void (InsertClaimOperation::*aMethod)())
{
  Reactor& reactor = mContext->mReactor;
  const Duration wait = mBackoff.NextDelay(mContext->mRandom);
  if (reactor.Now() + wait >= mDeadline) {
    Complete(mMayHoldOurClaim ? ClaimResultKind::Indeterminate
                              : ClaimResultKind::Unreachable);
    return;
  }
  reactor.Schedule(
    wait, [self = shared_from_this(), aMethod] { ((*self).*aMethod)(); });
}

void
InsertClaimOperation::Complete(ClaimResultKind aKind,
                               std::uint64_t aVersion,
                               std::optional<StoredOutcome> aStoredOutcome)
{
  ClaimResult result;
  result.mKind = aKind;
  result.mRowVersion = aVersion;
  result.mStoredOutcome = std::move(aStoredOutcome);
  const ClaimStore::ClaimCallback callback = std::move(mCallback);
  mCallback = nullptr;
  callback(result);
}

} // namespace peridothoist::detail
