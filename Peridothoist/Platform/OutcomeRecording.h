/// The writing of one outcome: tried until the platform takes it, or the row
/// turns out to be another claim's.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/OutcomeStore.h>

namespace peridothoist::detail {

/// Lives until its row is written.
class OutcomeRecording : public std::enable_shared_from_this<OutcomeRecording>
{
public:
  static void Start(std::shared_ptr<OutcomeContext> aContext,
                    const std::string& aWorkspace,
                    const RequestCommand& aCommand);
  ~OutcomeRecording();
  OutcomeRecording(const OutcomeRecording&) = delete;
  OutcomeRecording& operator=(const OutcomeRecording&) = delete;

private:
  OutcomeRecording(std::shared_ptr<OutcomeContext> aContext,
                   const std::string& aWorkspace,
                   const RequestCommand& aCommand);

  void StoreBody();
  void Write();
  void OnWritten(const TransactionResult& aResult);
  void Read();
  void OnRead(const ScanResult& aResult);
  void TryAgain(void (OutcomeRecording::*aStep)());

  std::shared_ptr<OutcomeContext> mContext;
  std::string mKey;
  OutcomeRow mRow; ///< As it is to stand.
  std::string mObjectBody;
  std::uint64_t mVersion; ///< Condition of the next write; 0: row is absent.
  Backoff mBackoff;
};

} // namespace peridothoist::detail
