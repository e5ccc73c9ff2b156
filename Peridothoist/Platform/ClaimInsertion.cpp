/// The insertion of one claim.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/ClaimInsertion.h>

namespace peridothoist::detail {

void
ClaimInsertion::Start(std::shared_ptr<OutcomeStoreContext> aContext,
                      const std::string& aWorkspace,
                      const RequestCommand& aCommand,
                      ClaimDesk::ClaimDone aCallback)
{
  const std::shared_ptr<ClaimInsertion> operation(new ClaimInsertion(
    std::move(aContext), aWorkspace, aCommand, std::move(aCallback)));
  operation->WriteNewClaim();
}

ClaimInsertion::ClaimInsertion(std::shared_ptr<OutcomeStoreContext> aContext,
                               const std::string& aWorkspace,
                               const RequestCommand& aCommand,
                               ClaimDesk::ClaimDone aCallback)
  : mContext(std::move(aContext))
  , mKey(OutcomeRowKey(aWorkspace, aCommand.mIdempotencyKey))
  , mAttempt(mContext->MakeAttemptId(aCommand.mId))
  , mBodyDigest(aCommand.mBodyDigest)
  , mCallback(std::move(aCallback))
  , mDeadline(mContext->mReactor.Now() + mContext->mSettings.mInsertLimit)
  , mBackoff(mContext->mSettings.mInsertBackoff)
{
}

void
ClaimInsertion::WriteClaim(std::uint64_t aExpectedVersion)
{
  OutcomeRow row;
  row.mBodyDigest = mBodyDigest;
  row.mAttemptId = mAttempt;
  row.mWrittenAt = UnixNow();
  const TableTransaction transaction{ { { mKey, aExpectedVersion } },
                                      { { mKey, EncodeOutcomeRow(row) } } };
  mContext->mPlatform.Commit(
    transaction, [self = shared_from_this()](const TransactionResult& aResult) {
      self->OnClaimWritten(aResult);
    });
}

void
ClaimInsertion::OnClaimWritten(const TransactionResult& aResult)
{
  switch (aResult.mStatus) {
    case TransactionEnd::Committed:
      Complete(ClaimAnswerKind::Inserted, aResult.mRevision);
      return;
    case TransactionEnd::Conflict:
      ReadClaim();
      return;
    case TransactionEnd::Refused:
      Complete(ClaimAnswerKind::Unreachable);
      return;
    case TransactionEnd::NotReached:
      ScheduleRetry(mMayHoldOurClaim ? &ClaimInsertion::ReadClaim
                                     : &ClaimInsertion::WriteNewClaim);
      return;
    case TransactionEnd::InDoubt:
      mMayHoldOurClaim = true;
      ScheduleRetry(&ClaimInsertion::ReadClaim);
      return;
  }
}

void
ClaimInsertion::ReadClaim()
{
  mContext->mPlatform.ReadRow(
    mKey, [self = shared_from_this()](const ScanResult& aResult) {
      self->OnClaimRead(aResult);
    });
}

void
ClaimInsertion::OnClaimRead(const ScanResult& aResult)
{
  if (!aResult.mReached) {
    ScheduleRetry(&ClaimInsertion::ReadClaim);
    return;
  }
  if (aResult.mRows.empty()) {
    // Retrying is safe: at most one of our inserts takes effect, since each
    // requires that the row doesn't exist.
    ScheduleRetry(&ClaimInsertion::WriteNewClaim);
    return;
  }
  const TableRow& found = aResult.mRows.front();
  const std::optional<OutcomeRow> row = DecodeOutcomeRow(found.mValue);
  if (!row) {
    Complete(ClaimAnswerKind::ExistsSame);
    return;
  }
  OnExistingClaim(*row, found.mVersion);
}

void
ClaimInsertion::OnExistingClaim(const OutcomeRow& aRow, std::uint64_t aVersion)
{
  if (aRow.mBodyDigest != mBodyDigest) {
    Complete(ClaimAnswerKind::ExistsOtherBody);
    return;
  }
  if (aRow.mAttemptId == mAttempt && aRow.mState == OutcomeRowState::Claimed) {
    Complete(ClaimAnswerKind::Inserted, aVersion);
    return;
  }
  if (aRow.mState == OutcomeRowState::NotRun) {
    if (mContext->mReactor.Now() >= mDeadline) {
      Complete(ClaimAnswerKind::Unreachable);
      return;
    }
    WriteClaim(aVersion);
    return;
  }
  CompleteWithStoredOutcome(aRow);
}

void
ClaimInsertion::CompleteWithStoredOutcome(const OutcomeRow& aRow)
{
  if (aRow.mObjectName.empty() || !aRow.mStoredOutcome) {
    Complete(ClaimAnswerKind::ExistsSame, 0, aRow.mStoredOutcome);
    return;
  }
  mContext->mPlatform.GetObject(
    aRow.mObjectName,
    [self = shared_from_this(),
     outcome = *aRow.mStoredOutcome](const ObjectResult& aResult) mutable {
      if (!aResult.mFound) {
        self->ScheduleRetry(&ClaimInsertion::ReadClaim);
        return;
      }
      outcome.mBody = aResult.mBody;
      self->Complete(ClaimAnswerKind::ExistsSame, 0, std::move(outcome));
    });
}

void
ClaimInsertion::ScheduleRetry(void (ClaimInsertion::*aMethod)())
{
  Reactor& reactor = mContext->mReactor;
  const Duration wait = mBackoff.NextDelay(mContext->mRandom);
  if (reactor.Now() + wait >= mDeadline) {
    Complete(mMayHoldOurClaim ? ClaimAnswerKind::Unsettled
                              : ClaimAnswerKind::Unreachable);
    return;
  }
  reactor.Schedule(
    wait, [self = shared_from_this(), aMethod] { ((*self).*aMethod)(); });
}

void
ClaimInsertion::Complete(ClaimAnswerKind aKind,
                         std::uint64_t aVersion,
                         std::optional<KeptOutcome> aStoredOutcome)
{
  ClaimAnswer result;
  result.mKind = aKind;
  result.mRowVersion = aVersion;
  result.mStoredOutcome = std::move(aStoredOutcome);
  const ClaimDesk::ClaimDone callback = std::move(mCallback);
  mCallback = nullptr;
  callback(result);
}

} // namespace peridothoist::detail
