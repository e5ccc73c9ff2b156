#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/MemoryBudget.h>

#include <algorithm>

namespace peridothoist {

namespace {

/// The name of a use, and up to which part of the budget it may be drawn.
struct MemoryUseRow
{
  const char* mName;
  double mMaxPart;
};

constexpr std::array<MemoryUseRow, kMemoryUses> kUses = { {
  { "large_request", 0.6 },
  { "request", 0.8 },
  { "large_response", 0.9 },
  { "response", 1.0 },
  { "document", 1.0 },
} };

const MemoryUseRow&
RowOf(MemoryUse aUse)
{
  return kUses[static_cast<std::size_t>(aUse)];
}

} // namespace

const char*
ToName(MemoryUse aUse)
{
  return RowOf(aUse).mName;
}

bool
MemoryBudget::HasRoom(MemoryUse aUse, std::size_t aBytes) const
{
  if (mMaxBytes == 0) {
    return true;
  }
  const double max = static_cast<double>(mMaxBytes) * RowOf(aUse).mMaxPart;
  return static_cast<double>(mUsedBytes) + static_cast<double>(aBytes) <= max;
}

bool
MemoryBudget::TryDraw(MemoryUse aUse, std::size_t aBytes)
{
  if (!HasRoom(aUse, aBytes)) {
    ++mRefusals[static_cast<std::size_t>(aUse)];
    return false;
  }
  Draw(aBytes);
  return true;
}

void
MemoryBudget::Draw(std::size_t aBytes)
{
  mUsedBytes += aBytes;
  mPeakBytes = std::max(mPeakBytes, mUsedBytes);
}

void
MemoryBudget::Return(std::size_t aBytes)
{
  PH_ASSERT(aBytes <= mUsedBytes);
  mUsedBytes -= aBytes;
}

MemoryCharge&
MemoryCharge::operator=(MemoryCharge&& aOther) noexcept
{
  if (this != &aOther) {
    Set(0);
    mBudget = std::move(aOther.mBudget);
    mBytes = std::exchange(aOther.mBytes, 0);
  }
  return *this;
}

bool
MemoryCharge::TryGrow(MemoryUse aUse, std::size_t aBytes)
{
  if (aBytes <= mBytes) {
    return true;
  }
  if (mBudget != nullptr && !mBudget->TryDraw(aUse, aBytes - mBytes)) {
    return false;
  }
  mBytes = aBytes;
  return true;
}

void
MemoryCharge::Set(std::size_t aBytes)
{
  if (mBudget != nullptr && aBytes > mBytes) {
    mBudget->Draw(aBytes - mBytes);
  } else if (mBudget != nullptr) {
    mBudget->Return(mBytes - aBytes);
  }
  mBytes = aBytes;
}

} // namespace peridothoist
