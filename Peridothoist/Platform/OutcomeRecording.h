/// The recording of one outcome: retried until the platform stores it, or until
/// the row turns out to belong to another claim.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/OutcomeStore.h>

namespace peridothoist::detail {

/// Asynchronous operation that keeps itself alive until the row is written.
class OutcomeRecording : public std::enable_shared_from_this<OutcomeRecording>
{
public:
  static void Start(std::shared_ptr<OutcomeStoreContext> aContext,
                    const std::string& aWorkspace,
                    const RequestCommand& aCommand);
  ~OutcomeRecording();
  OutcomeRecording(const OutcomeRecording&) = delete;
  OutcomeRecording& operator=(const OutcomeRecording&) = delete;

private:
  OutcomeRecording(std::shared_ptr<OutcomeStoreContext> aContext,
                   const std::string& aWorkspace,
                   const RequestCommand& aCommand);

  void StoreBody();
  void WriteRow();
  void OnRowWritten(const TransactionResult& aResult);
  void ReadExisting();
  void OnRowRead(const ScanResult& aResult);
  void ScheduleRetry(void (OutcomeRecording::*aMethod)());

  std::shared_ptr<OutcomeStoreContext> mContext;
  std::string mKey;
  OutcomeRow mRow; ///< The row to be written.
  std::string mObjectBody;
  std::uint64_t mExpectedVersion; ///< Expected version of the row; 0: no row.
  Backoff mBackoff;
};

} // namespace peridothoist::detail
