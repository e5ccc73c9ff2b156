/// The insertion of one claim: writes the row if it is absent, settles lost
/// answers by reading it, and takes over a row that says "not run".
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/OutcomeStore.h>

namespace peridothoist::detail {

/// Lives until its answer was given.
class ClaimInsertion : public std::enable_shared_from_this<ClaimInsertion>
{
public:
  static void Start(std::shared_ptr<OutcomeContext> aContext,
                    const std::string& aWorkspace,
                    const RequestCommand& aCommand,
                    ClaimDesk::ClaimDone aDone);

private:
  ClaimInsertion(std::shared_ptr<OutcomeContext> aContext,
                 const std::string& aWorkspace,
                 const RequestCommand& aCommand,
                 ClaimDesk::ClaimDone aDone);

  void Write(std::uint64_t aIfVersion);
  void OnWritten(const TransactionResult& aResult);
  void Read();
  void OnRead(const ScanResult& aResult);
  void OnRow(const OutcomeRow& aRow, std::uint64_t aVersion);
  void AnswerKept(const OutcomeRow& aRow);
  void TryAgain(void (ClaimInsertion::*aStep)());
  void WriteNew() { Write(0); }
  void Answer(ClaimAnswerKind aKind,
              std::uint64_t aVersion = 0,
              std::optional<KeptOutcome> aKept = std::nullopt);

  std::shared_ptr<OutcomeContext> mContext;
  std::string mKey;
  std::string mAttempt;
  std::string mBodyDigest;
  ClaimDesk::ClaimDone mDone; ///< Empty once called.
  TimePoint mGiveUpAt;
  Backoff mBackoff;
  bool mMayBeOurs = false; ///< A write's answer was lost.
};

} // namespace peridothoist::detail
