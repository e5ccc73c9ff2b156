/// A fake table service with conditional writes.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/CallResults.h>
#include <Peridothoist/Request/RequestCommand.h>

namespace peridothoist::test {

/// The claim rows.
class FakeClaimTable
{
public:
  /// Inserts a claim if its row is absent or was closed as "not run"; otherwise
  /// returns what the row holds. A repeated insert by the same request finds
  /// its own row.
  ClaimResult Insert(const std::string& aWorkspace,
                     const RequestCommand& aCommand)
  {
    Row& row = mRows[aWorkspace + "/" + aCommand.mIdempotencyKey];
    const bool isReleased =
      !row.mIsClaimed && row.mState == OutcomeState::NotRun;
    if (row.mVersion == 0 ||
        (isReleased && row.mDigest == aCommand.mRequestDigest)) {
      row = Row();
      row.mVersion = ++mVersion;
      row.mDigest = aCommand.mRequestDigest;
      row.mToken = aCommand.mId;
    }
    ClaimResult result;
    result.mRowVersion = row.mVersion;
    result.mKind = ClaimResultKind::ExistsSame;
    if (row.mDigest != aCommand.mRequestDigest) {
      result.mKind = ClaimResultKind::ExistsOtherBody;
    } else if (row.mIsClaimed && row.mToken == aCommand.mId) {
      result.mKind = ClaimResultKind::Inserted;
    } else if (!row.mIsClaimed && row.mState == OutcomeState::Done) {
      result.mStoredOutcome = StoredOutcome{ row.mStatus, row.mBody, {} };
    }
    return result;
  }

  /// Writes an outcome if the row still belongs to this claim.
  void Write(const std::string& aWorkspace, const RequestCommand& aCommand)
  {
    Row& row = mRows[aWorkspace + "/" + aCommand.mIdempotencyKey];
    const bool isOwnRow = row.mIsClaimed && row.mToken == aCommand.mId;
    const bool isCurrent =
      aCommand.mRowVersion == 0 || aCommand.mRowVersion == row.mVersion;
    if (!isOwnRow || !isCurrent || row.mVersion == 0) {
      return;
    }
    row.mVersion = ++mVersion;
    row.mIsClaimed = false;
    row.mState = aCommand.mOutcome;
    row.mStatus = aCommand.mStatus;
    row.mBody = aCommand.mIsCompletion ? aCommand.mText : aCommand.mBody;
  }

private:
  struct Row
  {
    std::uint64_t mVersion = 0;
    OutcomeState mState = OutcomeState::MayHaveRun;
    bool mIsClaimed = true; ///< No outcome written yet.
    std::string mDigest;
    std::uint64_t mToken = 0; ///< The claiming request.
    int mStatus = 0;
    std::string mBody;
  };

  std::map<std::string, Row> mRows;
  std::uint64_t mVersion = 0;
};

} // namespace peridothoist::test
