/// The insertion of one claim.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/ClaimInsertion.h>

namespace peridothoist::detail {

void
ClaimInsertion::Start(std::shared_ptr<OutcomeContext> aContext,
                      const std::string& aWorkspace,
                      const RequestCommand& aCommand,
                      ClaimDesk::ClaimDone aDone)
{
  const std::shared_ptr<ClaimInsertion> insertion(new ClaimInsertion(
    std::move(aContext), aWorkspace, aCommand, std::move(aDone)));
  insertion->WriteNew();
}

ClaimInsertion::ClaimInsertion(std::shared_ptr<OutcomeContext> aContext,
                               const std::string& aWorkspace,
                               const RequestCommand& aCommand,
                               ClaimDesk::ClaimDone aDone)
  : mContext(std::move(aContext))
  , mKey(OutcomeRowKey(aWorkspace, aCommand.mIdempotencyKey))
  , mAttempt(mContext->AttemptOf(aCommand.mId))
  , mBodyDigest(aCommand.mBodyDigest)
  , mDone(std::move(aDone))
  , mGiveUpAt(mContext->mReactor.Now() + mContext->mSettings.mInsertLimit)
  , mBackoff(mContext->mSettings.mInsertBackoff)
{
}

void
ClaimInsertion::Write(std::uint64_t aIfVersion)
{
  OutcomeRow row;
  row.mBodyDigest = mBodyDigest;
  row.mAttempt = mAttempt;
  row.mWrittenAt = UnixNow();
  const TableTransaction transaction{ { { mKey, aIfVersion } },
                                      { { mKey, EncodeOutcomeRow(row) } } };
  mContext->mPlatform.Commit(
    transaction, [self = shared_from_this()](const TransactionResult& aResult) {
      self->OnWritten(aResult);
    });
}

void
ClaimInsertion::OnWritten(const TransactionResult& aResult)
{
  switch (aResult.mEnd) {
    case TransactionEnd::Committed:
      Answer(ClaimAnswerKind::Inserted, aResult.mRevision);
      return;
    case TransactionEnd::Conflict:
      Read();
      return;
    case TransactionEnd::Refused:
      Answer(ClaimAnswerKind::Unreachable);
      return;
    case TransactionEnd::NotReached:
      TryAgain(mMayBeOurs ? &ClaimInsertion::Read : &ClaimInsertion::WriteNew);
      return;
    case TransactionEnd::InDoubt:
      mMayBeOurs = true;
      TryAgain(&ClaimInsertion::Read);
      return;
  }
}

void
ClaimInsertion::Read()
{
  mContext->mPlatform.ReadRow(
    mKey, [self = shared_from_this()](const ScanResult& aResult) {
      self->OnRead(aResult);
    });
}

void
ClaimInsertion::OnRead(const ScanResult& aResult)
{
  if (!aResult.mReached) {
    TryAgain(&ClaimInsertion::Read);
    return;
  }
  if (aResult.mRows.empty()) {
    // Writing again is safe: of two inserts of ours at most one takes effect.
    TryAgain(&ClaimInsertion::WriteNew);
    return;
  }
  const TableRow& found = aResult.mRows.front();
  const std::optional<OutcomeRow> row = DecodeOutcomeRow(found.mValue);
  if (!row) {
    Answer(ClaimAnswerKind::ExistsSame);
    return;
  }
  OnRow(*row, found.mVersion);
}

void
ClaimInsertion::OnRow(const OutcomeRow& aRow, std::uint64_t aVersion)
{
  if (aRow.mBodyDigest != mBodyDigest) {
    Answer(ClaimAnswerKind::ExistsOtherBody);
    return;
  }
  if (aRow.mAttempt == mAttempt && aRow.mState == OutcomeRowState::Claimed) {
    Answer(ClaimAnswerKind::Inserted, aVersion);
    return;
  }
  if (aRow.mState == OutcomeRowState::NotRun) {
    if (mContext->mReactor.Now() >= mGiveUpAt) {
      Answer(ClaimAnswerKind::Unreachable);
      return;
    }
    Write(aVersion);
    return;
  }
  AnswerKept(aRow);
}

void
ClaimInsertion::AnswerKept(const OutcomeRow& aRow)
{
  if (aRow.mObject.empty() || !aRow.mKept) {
    Answer(ClaimAnswerKind::ExistsSame, 0, aRow.mKept);
    return;
  }
  mContext->mPlatform.GetObject(
    aRow.mObject,
    [self = shared_from_this(),
     kept = *aRow.mKept](const ObjectResult& aResult) mutable {
      if (!aResult.mFound) {
        self->TryAgain(&ClaimInsertion::Read);
        return;
      }
      kept.mBody = aResult.mBody;
      self->Answer(ClaimAnswerKind::ExistsSame, 0, std::move(kept));
    });
}

void
ClaimInsertion::TryAgain(void (ClaimInsertion::*aStep)())
{
  Reactor& reactor = mContext->mReactor;
  const Duration wait = mBackoff.Next(mContext->mRandom);
  if (reactor.Now() + wait >= mGiveUpAt) {
    Answer(mMayBeOurs ? ClaimAnswerKind::Unsettled
                      : ClaimAnswerKind::Unreachable);
    return;
  }
  reactor.Schedule(wait,
                   [self = shared_from_this(), aStep] { ((*self).*aStep)(); });
}

void
ClaimInsertion::Answer(ClaimAnswerKind aKind,
                       std::uint64_t aVersion,
                       std::optional<KeptOutcome> aKept)
{
  ClaimAnswer answer;
  answer.mKind = aKind;
  answer.mRowVersion = aVersion;
  answer.mKept = std::move(aKept);
  const ClaimDesk::ClaimDone done = std::move(mDone);
  mDone = nullptr;
  done(answer);
}

} // namespace peridothoist::detail
