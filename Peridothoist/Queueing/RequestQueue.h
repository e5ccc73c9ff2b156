/// A queue of requests that wait for an upstream of one pool. The order is a
/// strategy, chosen by name.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>

#include <array>

namespace peridothoist {

constexpr std::size_t kRequestClasses = 3; ///< Count of RequestClass.

/// One waiting request.
struct QueueItem
{
  std::uint64_t mId = 0;
  std::string mWorkspace;
  RequestClass mClass = RequestClass::Draft;
  double mCost = 1;            ///< Estimated, above 0.
  std::uint64_t mSequence = 0; ///< Set by the queue; kept when returned.
  double mStart = 0;           ///< Set by the queue: virtual start when taken.
};

/// What an item would have to wait for.
struct Backlog
{
  double mCostAhead = 0; ///< Estimated cost that is served before it.
};

/// Holds and orders waiting requests.
class RequestQueue
{
public:
  virtual ~RequestQueue() = default;

  /// Makes a queue by strategy name ("fair", "fifo"); null for others.
  static std::unique_ptr<RequestQueue> Create(std::string_view aStrategy);

  /// Adds an item at its place.
  virtual void Push(QueueItem aItem) = 0;

  /// The item to serve next; null when empty.
  virtual const QueueItem* Front() const = 0;

  /// Takes the front item. The queue must not be empty.
  virtual QueueItem Pop() = 0;

  /// Puts a taken item back at its place, as if it had not been taken.
  virtual void Return(QueueItem aItem) = 0;

  /// Removes an item; false when it isn't queued.
  virtual bool Remove(std::uint64_t aId) = 0;

  /// What a new item of this workspace and class would wait for.
  virtual Backlog Ahead(const std::string& aWorkspace,
                        RequestClass aClass,
                        double aCost) const = 0;

  virtual std::size_t Length() const = 0;
  virtual std::size_t Length(const std::string& aWorkspace) const = 0;

  /// All items in any order, to move them to another queue.
  virtual std::vector<QueueItem> Items() const = 0;
};

} // namespace peridothoist
