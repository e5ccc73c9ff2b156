/// Row store decorator that counts and times calls.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/RowStore.h>
#include <Peridothoist/Shell/Metrics.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Forwards calls to another store and records the result and duration of each
/// in the metrics.
class InstrumentedRowStore : public RowStore
{
public:
  /// The pointers are not owned and must outlive all pending calls.
  InstrumentedRowStore(RowStore* aStore, Reactor* aReactor, Metrics* aMetrics)
    : mStore(aStore)
    , mReactor(aReactor)
    , mMetrics(aMetrics)
  {
  }

  // See: RowStore
  void ReadTable(const std::string& aTable, ReadCallback aCallback) override;
  void Change(const RowChange& aChange, ChangeCallback aCallback) override;
  std::optional<StoreClock> Clock() const override { return mStore->Clock(); }
  std::uint64_t Era() const override { return mStore->Era(); }
  void SetListener(RowStoreListener* aListener) override
  {
    mStore->SetListener(aListener);
  }

private:
  void RecordCall(const char* aOperation,
                  const Reason& aReason,
                  TimePoint aStartedAt);

  RowStore* mStore;
  Reactor* mReactor;
  Metrics* mMetrics;
};

} // namespace peridothoist
