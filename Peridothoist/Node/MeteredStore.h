/// A store whose calls are counted and timed.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/RowStore.h>
#include <Peridothoist/Shell/Metrics.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Passes calls on to another store and notes how each ended.
class MeteredStore : public RowStore
{
public:
  /// Nothing is owned; all outlive the answers.
  MeteredStore(RowStore* aStore, Reactor* aReactor, Metrics* aMetrics)
    : mStore(aStore)
    , mReactor(aReactor)
    , mMetrics(aMetrics)
  {
  }

  // See: RowStore
  void ReadTable(const std::string& aTable, RowsDone aDone) override;
  void Change(const RowChange& aChange, ChangeDone aDone) override;

private:
  void Note(const char* aCall, const Reason& aReason, TimePoint aBegan);

  RowStore* mStore;
  Reactor* mReactor;
  Metrics* mMetrics;
};

} // namespace peridothoist
