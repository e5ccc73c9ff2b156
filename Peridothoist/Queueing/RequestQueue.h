/// A queue of requests that wait for an upstream of one pool. The order is
/// determined by a strategy, selected by name.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>

#include <array>

namespace peridothoist {

constexpr std::size_t kRequestClasses = 3; ///< Number of request classes.

/// One waiting request.
struct QueueItem
{
  std::uint64_t mId = 0;
  std::string mWorkspace;
  RequestClass mClass = RequestClass::Draft;
  double mCost = 1;            ///< Estimated cost, above 0.
  std::uint64_t mSequence = 0; ///< Set by Push(); kept by PutBack().
  double mVirtualStart = 0;    ///< Set by Pop(): virtual start time.
};

/// The queued work that is served before an item.
struct Backlog
{
  double mCostAhead = 0; ///< Estimated cost.
};

/// Holds and orders waiting requests.
class RequestQueue
{
public:
  virtual ~RequestQueue() = default;

  /// Creates a queue by strategy name ("fair", "fifo"); returns null for other
  /// names.
  static std::unique_ptr<RequestQueue> Create(std::string_view aStrategy);

  /// Adds an item.
  virtual void Push(QueueItem aItem) = 0;

  /// Returns the item to serve next; null if the queue is empty.
  virtual const QueueItem* Front() const = 0;

  /// Removes and returns the front item. The queue must not be empty.
  virtual QueueItem Pop() = 0;

  /// Puts an item that was removed by Pop() back into its former position.
  virtual void PutBack(QueueItem aItem) = 0;

  /// Removes an item. Returns false if it is not queued.
  virtual bool Remove(std::uint64_t aId) = 0;

  /// Returns what would be served before a new item of this workspace, class
  /// and cost.
  virtual Backlog BacklogAhead(const std::string& aWorkspace,
                               RequestClass aClass,
                               double aCost) const = 0;

  virtual std::size_t Length() const = 0;
  virtual std::size_t Length(const std::string& aWorkspace) const = 0;

  /// Returns all items in unspecified order, to move them to another queue.
  virtual std::vector<QueueItem> Items() const = 0;
};

} // namespace peridothoist
