/// Executes the actions of a LeaseStateMachine on the platform's table.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/LeaseExecutor.h>

#include <Peridothoist/Shell/Log.h>

#include <nlohmann/json.hpp>

namespace peridothoist {

using nlohmann::json;

namespace {

LeaseWriteResult
ToLeaseWriteResult(TransactionStatus aStatus)
{
  switch (aStatus) {
    case TransactionStatus::Committed:
      return LeaseWriteResult::Committed;
    case TransactionStatus::Conflict:
      return LeaseWriteResult::Conflict;
    case TransactionStatus::Refused:
    case TransactionStatus::NotReached:
      return LeaseWriteResult::NotSent;
    case TransactionStatus::InDoubt:
      return LeaseWriteResult::InDoubt;
  }
  PH_ASSERT(false);
}

} // namespace

std::string
EncodeLeaseRow(const LeaseRow& aRow)
{
  return json({ { "holder", aRow.mHolder },
                { "fence", aRow.mFence },
                { "lasts_ms", aRow.mDuration / std::chrono::milliseconds(1) } })
    .dump();
}

std::optional<LeaseRow>
DecodeLeaseRow(std::string_view aText)
{
  constexpr std::uint64_t kMaxDurationMs = 3600 * 1000;
  const json value = json::parse(aText, nullptr, false);
  if (!value.is_object() || !value.value("holder", json()).is_string() ||
      !value.value("fence", json()).is_number_unsigned() ||
      !value.value("lasts_ms", json()).is_number_unsigned()) {
    return std::nullopt;
  }
  const auto durationMs = value["lasts_ms"].get<std::uint64_t>();
  if (durationMs > kMaxDurationMs) {
    return std::nullopt;
  }
  LeaseRow row;
  row.mHolder = value["holder"].get<std::string>();
  row.mFence = value["fence"].get<std::uint64_t>();
  row.mDuration = std::chrono::milliseconds(durationMs);
  return row;
}

LeaseExecutor::LeaseExecutor(Reactor& aReactor,
                             Platform& aPlatform,
                             const LeaseStateMachineSettings& aSettings,
                             const std::string& aGroup,
                             const std::string& aSelfInstance)
  : mReactor(aReactor)
  , mPlatform(aPlatform)
  , mRow("lease/" + aGroup)
  , mStateMachine(aSettings, aSelfInstance)
  , mAlive(std::make_shared<bool>(true))
{
}

LeaseExecutor::~LeaseExecutor()
{
  *mAlive = false;
}

void
LeaseExecutor::OnTick()
{
  const LeaseAction action = mStateMachine.NextAction(mReactor.Now());
  switch (action.mKind) {
    case LeaseActionKind::None:
      return;
    case LeaseActionKind::Read:
      Read();
      return;
    case LeaseActionKind::Write:
      Write(action);
      return;
  }
}

void
LeaseExecutor::Read()
{
  mPlatform.ReadRow(mRow, [this, alive = mAlive](const ScanResult& aResult) {
    if (!*alive) {
      return;
    }
    const TimePoint now = mReactor.Now();
    if (!aResult.mIsSuccessful) {
      mStateMachine.OnReadFailed(now);
      return;
    }
    LeaseRowRead read;
    if (!aResult.mRows.empty()) {
      const auto row = DecodeLeaseRow(aResult.mRows.front().mValue);
      if (!row) {
        Log::Error("lease_row_unreadable").Field("row", mRow);
        mStateMachine.OnReadFailed(now);
        return;
      }
      read = { *row, aResult.mRows.front().mVersion };
    }
    mHolder = read.mRow.mHolder;
    mStateMachine.OnRead(read, now);
  });
}

void
LeaseExecutor::Write(const LeaseAction& aAction)
{
  const TableTransaction transaction{ { { mRow, aAction.mIfRowVersion } },
                                      { { mRow,
                                          EncodeLeaseRow(aAction.mRow) } } };
  mPlatform.Commit(transaction,
                   [this, alive = mAlive, holder = aAction.mRow.mHolder](
                     const TransactionResult& aResult) {
                     if (!*alive) {
                       return;
                     }
                     if (aResult.mStatus == TransactionStatus::Committed) {
                       mHolder = holder;
                     }
                     mStateMachine.OnWrite(ToLeaseWriteResult(aResult.mStatus),
                                           aResult.mRevision,
                                           mReactor.Now());
                   });
}

} // namespace peridothoist
