#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/MeteredStore.h>

namespace peridothoist {

void
MeteredStore::ReadTable(const std::string& aTable, RowsDone aDone)
{
  const TimePoint began = mReactor->Now();
  mStore->ReadTable(
    aTable,
    [this, began, done = std::move(aDone)](
      std::optional<std::vector<StoredRow>> aRows, const Reason& aReason) {
      Note("read", aRows ? Reason() : aReason, began);
      done(std::move(aRows), aReason);
    });
}

void
MeteredStore::Change(const RowChange& aChange, ChangeDone aDone)
{
  const TimePoint began = mReactor->Now();
  mStore->Change(aChange,
                 [this, began, done = std::move(aDone)](
                   const Reason& aReason, std::uint64_t aVersion) {
                   Note("change", aReason, began);
                   done(aReason, aVersion);
                 });
}

void
MeteredStore::Note(const char* aCall, const Reason& aReason, TimePoint aBegan)
{
  mMetrics
    ->GetCounter("peridothoist_store_calls_total",
                 { { "call", aCall }, { "result", ToName(aReason.mCode) } })
    .Add();
  mMetrics
    ->GetHistogram("peridothoist_store_call_seconds", { { "call", aCall } })
    .Observe(mReactor->Now() - aBegan);
}

} // namespace peridothoist
