/// First come, first served, over all workspaces and classes.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Queueing/RequestQueue.h>

#include <unordered_map>

namespace peridothoist {

/// The strategy "fifo".
class FifoQueue : public RequestQueue
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
  std::size_t Length() const override { return mItems.size(); }
  std::size_t Length(const std::string& aWorkspace) const override;
  std::vector<QueueItem> Items() const override;

private:
  void Insert(QueueItem aItem);
  void OnRemoved(const QueueItem& aItem);

  std::map<std::uint64_t, QueueItem> mItems;                   ///< By sequence.
  std::unordered_map<std::uint64_t, std::uint64_t> mSequences; ///< By id.
  std::map<std::string, std::size_t> mLengths; ///< By workspace; never 0.
  double mTotalCost = 0;
  std::uint64_t mNextSequence = 1;
};

} // namespace peridothoist
