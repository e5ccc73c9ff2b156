#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/BoundedBuffer.h>

#include <algorithm>

namespace peridothoist {

bool
BoundedBuffer::Fail(BufferError aError)
{
  mError = aError;
  std::string().swap(mBytes);
  mCharge.Set(0);
  return false;
}

bool
BoundedBuffer::Reserve(std::size_t aBytes)
{
  if (mError != BufferError::None) {
    return false;
  }
  if (aBytes > mMaxBytes) {
    return Fail(BufferError::TooLarge);
  }
  const std::size_t before = mBytes.capacity();
  if (aBytes <= before) {
    return true;
  }
  const MemoryUse use =
    aBytes > MemoryBudget::kLargeBytes ? mUse.mLarge : mUse.mSmall;
  // The old bytes are held until they are copied.
  const std::size_t old = mBytes.empty() ? 0 : before;
  if (!mCharge.TryGrow(use, aBytes + old)) {
    return Fail(BufferError::NoMemory);
  }
  mBytes.reserve(aBytes);
  mCharge.Set(mBytes.capacity());
  return true;
}

bool
BoundedBuffer::Append(std::string_view aBytes)
{
  const std::size_t size = mBytes.size() + aBytes.size();
  if (mError != BufferError::None) {
    return false;
  }
  if (size > mMaxBytes) {
    return Fail(BufferError::TooLarge);
  }
  const std::size_t doubled = std::min(2 * mBytes.capacity(), mMaxBytes);
  if (size > mBytes.capacity() && !Reserve(std::max(size, doubled))) {
    return false;
  }
  mBytes.append(aBytes);
  return true;
}

} // namespace peridothoist
