/// The insertion of one claim: writes the row if it doesn't exist, resolves
/// lost responses by reading it, and takes over a row in state NotRun.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/OutcomeStore.h>

namespace peridothoist::detail {

/// Asynchronous operation that keeps itself alive until its callback was
/// called.
class InsertClaimOperation
  : public std::enable_shared_from_this<InsertClaimOperation>
{
public:
  static void Start(std::shared_ptr<OutcomeStoreContext> aContext,
                    const std::string& aWorkspace,
                    const RequestCommand& aCommand,
                    ClaimStore::ClaimCallback aCallback);

private:
  InsertClaimOperation(std::shared_ptr<OutcomeStoreContext> aContext,
                       const std::string& aWorkspace,
                       const RequestCommand& aCommand,
                       ClaimStore::ClaimCallback aCallback);

  void WriteClaim(std::uint64_t aExpectedVersion);
  void OnClaimWritten(const TransactionResult& aResult);
  void ReadClaim();
  void OnClaimRead(const ScanResult& aResult);
  void OnExistingClaim(const OutcomeRow& aRow, std::uint64_t aVersion);
  void CompleteWithStoredOutcome(const OutcomeRow& aRow);
  void ScheduleRetry(void (InsertClaimOperation::*aMethod)());
  void WriteNewClaim() { WriteClaim(0); }
  void Complete(ClaimResultKind aKind,
                std::uint64_t aVersion = 0,
                std::optional<StoredOutcome> aStoredOutcome = std::nullopt);

  std::shared_ptr<OutcomeStoreContext> mContext;
  std::string mKey;
  std::string mAttemptId;
  std::string mRequestDigest;
  ClaimStore::ClaimCallback mCallback; ///< Empty after it was called.
  TimePoint mDeadline;
  Backoff mBackoff;
  bool mMayHoldOurClaim = false; ///< The response to a write was lost.
};

} // namespace peridothoist::detail
