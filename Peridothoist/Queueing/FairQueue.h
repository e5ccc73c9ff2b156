/// Start-time fair queueing by estimated cost: all workspaces get equal service
/// in terms of cost, however many requests each of them queues. Within a
/// workspace, more urgent classes are served first.
///
/// All operations except Items() take O(log n) time in the number of queued
/// items and workspaces, Pop() amortized.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Queueing/RequestQueue.h>

#include <set>
#include <unordered_map>

namespace peridothoist {

/// The strategy "fair".
class FairQueue : public RequestQueue
{
public:
  // See: RequestQueue
  void Push(QueueItem aItem) override;
  const QueueItem* Front() const override;
  QueueItem Pop() override;
  void PutBack(QueueItem aItem) override;
  bool Remove(std::uint64_t aId) override;
  Backlog BacklogAhead(const std::string& aWorkspace,
                       RequestClass aClass,
                       double aCost) const override;
  std::size_t Length() const override { return mLocations.size(); }
  std::size_t Length(const std::string& aWorkspace) const override;
  std::vector<QueueItem> Items() const override;

private:
  /// Order within a workspace: urgent classes first, then by arrival.
  struct ItemOrder
  {
    RequestClass mClass;
    std::uint64_t mSequence;

    bool operator<(const ItemOrder& aOther) const
    {
      return mClass != aOther.mClass ? mClass < aOther.mClass
                                     : mSequence < aOther.mSequence;
    }
  };

  /// The items of one workspace.
  struct Flow
  {
    double mVirtualStart = 0; ///< Virtual start time of its next item.
    std::map<ItemOrder, QueueItem> mItems;
    std::array<double, kRequestClasses> mCost{}; ///< Queued cost by class.
  };

  /// Order of the flows: by virtual start time.
  struct FlowOrder
  {
    double mVirtualStart;
    std::string mWorkspace;

    bool operator<(const FlowOrder& aOther) const
    {
      return mVirtualStart != aOther.mVirtualStart
               ? mVirtualStart < aOther.mVirtualStart
               : mWorkspace < aOther.mWorkspace;
    }
  };

  /// Where an item is queued.
  struct ItemLocation
  {
    std::string mWorkspace;
    ItemOrder mItemOrder;
  };

  void Insert(QueueItem aItem);
  /// Adds aCost, which may be negative, to the queued cost.
  void AddQueuedCost(Flow& aFlow, RequestClass aClass, double aCost);
  void SetVirtualStart(const std::string& aWorkspace,
                       Flow& aFlow,
                       double aVirtualStart);
  /// Moves the flow to the idle flows if it has no queued items.
  void MarkIdleIfEmpty(const std::string& aWorkspace, Flow& aFlow);
  /// Removes idle flows whose virtual start time has passed.
  void DropPassedIdleFlows();

  std::map<std::string, Flow> mFlows;
  std::set<FlowOrder> mActive; ///< Flows with queued items.
  std::set<FlowOrder> mIdle;   ///< Flows without queued items, kept while their
                               ///< virtual start time is in the future.
  std::unordered_map<std::uint64_t, ItemLocation> mLocations;
  double mVirtualTime = 0; ///< Invariant: never decreases.
  double mTotalCost = 0;   ///< Cost of all queued items.
  std::uint64_t mNextSequence = 1;
};

} // namespace peridothoist
