/// Executes the actions of a LeaseMachine on the platform's table.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/LeaseRunner.h>

#include <Peridothoist/Shell/Log.h>

#include <nlohmann/json.hpp>

namespace peridothoist {

using nlohmann::json;

namespace {

LeaseWriteResult
ToLeaseWriteResult(TransactionEnd aEnd)
{
  switch (aEnd) {
    case TransactionEnd::Committed:
      return LeaseWriteResult::Committed;
    case TransactionEnd::Conflict:
      return LeaseWriteResult::Conflict;
    case TransactionEnd::Refused:
    case TransactionEnd::NotReached:
      return LeaseWriteResult::NotSent;
    case TransactionEnd::InDoubt:
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

LeaseRunner::LeaseRunner(Reactor& aReactor,
                         Platform& aPlatform,
                         const LeaseMachineSettings& aSettings,
                         const std::string& aGroup,
                         const std::string& aSelfInstance)
  : mReactor(aReactor)
  , mPlatform(aPlatform)
  , mRow("lease/" + aGroup)
  , mStateMachine(aSettings, aSelfInstance)
  , mAlive(std::make_shared<bool>(true))
{
}

LeaseRunner::~LeaseRunner()
{
  *mAlive = false;
}

void
LeaseRunner::OnTick()
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
LeaseRunner::Read()
{
  mPlatform.ReadRow(mRow, [this, alive = mAlive](const ScanResult& aResult) {
    if (!*alive) {
      return;
    }
    const TimePoint now = mReactor.Now();
    if (!aResult.mReached) {
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
LeaseRunner::Write(const LeaseAction& aAction)
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
                     if (aResult.mStatus == TransactionEnd::Committed) {
                       mHolder = holder;
                     }
                     mStateMachine.OnWrite(ToLeaseWriteResult(aResult.mStatus),
                                           aResult.mRevision,
                                           mReactor.Now());
                   });
}

} // namespace peridothoist
