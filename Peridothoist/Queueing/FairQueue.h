/// Start-time fair queueing over estimated cost: workspaces share the
/// service evenly by cost, whatever each of them queues, and inside a
/// workspace the more urgent class goes first.
///
/// Every operation is O(log n) in the queued items and workspaces.
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
  void Return(QueueItem aItem) override;
  bool Remove(std::uint64_t aId) override;
  Backlog Ahead(const std::string& aWorkspace,
                RequestClass aClass,
                double aCost) const override;
  std::size_t Length() const override { return mPlaces.size(); }
  std::size_t Length(const std::string& aWorkspace) const override;
  std::vector<QueueItem> Items() const override;

private:
  /// Place inside a workspace: urgent classes first, then in order of arrival.
  struct Place
  {
    RequestClass mClass;
    std::uint64_t mSequence;

    bool operator<(const Place& aOther) const
    {
      return mClass != aOther.mClass ? mClass < aOther.mClass
                                     : mSequence < aOther.mSequence;
    }
  };

  /// One workspace's items.
  struct Flow
  {
    double mStart = 0; ///< Virtual time at which its next item may start.
    std::map<Place, QueueItem> mItems;
    std::array<double, kRequestClasses> mCost{}; ///< Queued, by class.
  };

  /// Where a flow stands among the others.
  struct Turn
  {
    double mStart;
    std::string mWorkspace;

    bool operator<(const Turn& aOther) const
    {
      return mStart != aOther.mStart ? mStart < aOther.mStart
                                     : mWorkspace < aOther.mWorkspace;
    }
  };

  /// Where an item is.
  struct Location
  {
    std::string mWorkspace;
    Place mPlace;
  };

  void Insert(QueueItem aItem);
  void Account(Flow& aFlow, RequestClass aClass, double aCost);
  void SetStart(const std::string& aWorkspace, Flow& aFlow, double aStart);
  void Park(const std::string& aWorkspace, Flow& aFlow);
  void DropIdle();

  std::map<std::string, Flow> mFlows;
  std::set<Turn> mActive; ///< Flows with items.
  std::set<Turn> mIdle;   ///< Flows without, kept while they are ahead.
  std::unordered_map<std::uint64_t, Location> mPlaces;
  double mVirtual = 0;   ///< Invariant: never decreases.
  double mTotalCost = 0; ///< Of all queued items.
  std::uint64_t mNextSequence = 1;
};

} // namespace peridothoist
