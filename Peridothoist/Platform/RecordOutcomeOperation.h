/// The recording of one outcome: retried until the platform stores it, or until
/// the row turns out to belong to another claim.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/OutcomeStore.h>

namespace peridothoist::detail {

/// Asynchronous operation that keeps itself alive until the row is written.
class RecordOutcomeOperation
  : public std::enable_shared_from_this<RecordOutcomeOperation>
{
public:
  static void Start(std::shared_ptr<OutcomeStoreContext> aContext,
                    const std::string& aWorkspace,
                    const RequestCommand& aCommand);
  ~RecordOutcomeOperation();
  RecordOutcomeOperation(const RecordOutcomeOperation&) = delete;
  RecordOutcomeOperation& operator=(const RecordOutcomeOperation&) = delete;

private:
  RecordOutcomeOperation(std::shared_ptr<OutcomeStoreContext> aContext,
                         const std::string& aWorkspace,
                         const RequestCommand& aCommand);

  void StoreBody();
  void WriteRow();
  void OnRowWritten(const TransactionResult& aResult);
  void ReadExisting();
  void OnRowRead(const ScanResult& aResult);
  void ScheduleRetry(void (RecordOutcomeOperation::*aMethod)());

  std::shared_ptr<OutcomeStoreContext> mContext;
  std::string mKey;
  OutcomeRow mRow; ///< The row to be written.
  std::string mObjectBody;
  std::uint64_t mExpectedVersion; ///< Expected version of the row; 0: no row.
  Backoff mBackoff;
};

} // namespace peridothoist::detail
