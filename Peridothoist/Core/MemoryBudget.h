/// The memory that a process may hold for others: requests, responses, and what
/// is buffered from and for peers and the store. Whatever reads bytes from
/// outside draws from one budget before it keeps them.
///
/// What draws decides how full the budget may become: a new request is refused
/// while there is still room for the responses of those that have been passed
/// on, and a large one before a small one.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <array>

namespace peridothoist {

/// What memory is drawn for, from what is refused first to what is refused
/// last.
enum class MemoryUse
{
  LargeRequest,  ///< A request's body of more than kLargeBytes.
  Request,       ///< Any other request, or a connection of a peer.
  LargeResponse, ///< More than kLargeBytes of one response.
  Response,      ///< The first bytes of a response.
  Document       ///< Views of peers and rows of the store.
};

constexpr std::size_t kMemoryUses = 5; ///< Count of MemoryUse.

/// Returns the name of a use for metrics.
const char*
ToName(MemoryUse aUse);

/// Counts the bytes that a process holds for others, and bounds them.
class MemoryBudget
{
public:
  /// A message of more bytes counts as large.
  static constexpr std::size_t kLargeBytes = 128 * 1024;

  /// aMaxBytes: the bound; 0: none.
  explicit MemoryBudget(std::size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// Draws bytes if there is room for this use. Otherwise, counts a refusal and
  /// returns false.
  bool TryDraw(MemoryUse aUse, std::size_t aBytes);

  /// Draws bytes that are held in any case, such as what is left of a response
  /// that its caller does not read. May exceed the bound.
  void Draw(std::size_t aBytes);

  /// Gives bytes back that were drawn.
  void Return(std::size_t aBytes);

  /// Returns whether bytes may be drawn for this use.
  bool HasRoom(MemoryUse aUse, std::size_t aBytes) const;

  std::size_t MaxBytes() const { return mMaxBytes; }
  std::size_t UsedBytes() const { return mUsedBytes; }
  /// Returns the largest number of bytes that was in use.
  std::size_t PeakBytes() const { return mPeakBytes; }
  std::uint64_t RefusalCount(MemoryUse aUse) const
  {
    return mRefusals[static_cast<std::size_t>(aUse)];
  }

private:
  const std::size_t mMaxBytes;
  std::size_t mUsedBytes = 0;
  std::size_t mPeakBytes = 0;
  std::array<std::uint64_t, kMemoryUses> mRefusals = {};
};

/// Bytes drawn by one holder, which are given back when it is destroyed.
/// Holders outlive the process's parts, in calls and tasks that are not
/// finished, so they share the budget.
class MemoryCharge
{
public:
  /// aBudget: null: nothing is bounded.
  explicit MemoryCharge(std::shared_ptr<MemoryBudget> aBudget = nullptr)
    : mBudget(std::move(aBudget))
  {
  }
  ~MemoryCharge() { Set(0); }
  MemoryCharge(MemoryCharge&& aOther) noexcept
    : mBudget(std::move(aOther.mBudget))
    , mBytes(std::exchange(aOther.mBytes, 0))
  {
  }
  MemoryCharge& operator=(MemoryCharge&& aOther) noexcept;
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  /// Makes the charge at least aBytes in all. Returns false, and changes
  /// nothing, if there is no room for the difference.
  bool TryGrow(MemoryUse aUse, std::size_t aBytes);

  /// Sets the charge, whether there is room or not.
  void Set(std::size_t aBytes);

  std::size_t Bytes() const { return mBytes; }

private:
  std::shared_ptr<MemoryBudget> mBudget; ///< Null after it was moved from.
  std::size_t mBytes = 0;
};

} // namespace peridothoist
