#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/InstrumentedRowStore.h>

namespace peridothoist {

void
InstrumentedRowStore::ReadTable(const std::string& aTable,
                                ReadCallback aCallback)
{
  const TimePoint startedAt = mReactor->Now();
  mStore->ReadTable(
    aTable,
    [this, startedAt, callback = std::move(aCallback)](
      std::optional<std::vector<StoredRow>> aRows, const Reason& aReason) {
      RecordCall("read", aRows ? Reason() : aReason, startedAt);
      callback(std::move(aRows), aReason);
    });
}

void
InstrumentedRowStore::Change(const RowChange& aChange, ChangeCallback aCallback)
{
  const TimePoint startedAt = mReactor->Now();
  mStore->Change(aChange,
                 [this, startedAt, callback = std::move(aCallback)](
                   const Reason& aReason, StoreVersion aVersion) {
                   RecordCall("change", aReason, startedAt);
                   callback(aReason, aVersion);
                 });
}

void
InstrumentedRowStore::RecordCall(const char* aOperation,
                                 const Reason& aReason,
                                 TimePoint aStartedAt)
{
  mMetrics
    ->GetCounter(
      "peridothoist_store_calls_total",
      { { "call", aOperation }, { "result", ToName(aReason.mCode) } })
    .Add();
  mMetrics
    ->GetHistogram("peridothoist_store_call_seconds",
                   { { "call", aOperation } })
    .Observe(mReactor->Now() - aStartedAt);
}

} // namespace peridothoist
